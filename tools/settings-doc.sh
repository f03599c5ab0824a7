#!/bin/sh
# settings-doc.sh [BUILD]: prints docs/settings.md, generated from the option
# tables of the programs in a build folder.
set -eu
build=${1:-build}

cat <<'END'
# Settings of the programs

Made from the programs by `tools/settings-doc.sh`. A flag goes before its
environment variable. A bad value is refused at the start with the option's name,
the value and what is allowed; `--check` checks all and exits. Profiles are not
here but in profiles.md.
END
for program in auburn-router auburn-assigner auburnctl
do
	echo
	"$build/$program" --settings-table
done
