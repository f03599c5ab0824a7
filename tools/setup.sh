#!/bin/sh
# Installs the Debian packages that the build and the tests need, listed in
# .ci/packages. Fails with the command to run when some are missing and the user
# isn't root.
set -eu
cd "$(dirname "$0")/.."

missing=
for package in $(cat .ci/packages)
do
	dpkg-query -W -f '${Status}' "$package" 2>/dev/null |
		grep -q 'ok installed' || missing="$missing $package"
done
test -z "$missing" && exit 0
if test "$(id -u)" -ne 0
then
	echo "setup: missing packages:$missing" >&2
	echo "setup: run as root: apt-get install -y$missing" >&2
	exit 1
fi
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
