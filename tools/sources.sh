#!/bin/sh
# Lists the hand-written C files, one per line. Leaves out generated files,
# files that Git ignores and tracked files that were deleted.
cd "$(dirname "$0")/.." || exit 1
git ls-files --cached --others --exclude-standard '*.c' '*.h' |
	grep -v '\.pb-c\.[ch]$' | while read -r file
do
	test -f "$file" && echo "$file"
done
