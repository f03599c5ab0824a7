#!/bin/sh
# Lists the C files that people write, one a line.
cd "$(dirname "$0")/.." || exit 1
git ls-files --cached --others --exclude-standard '*.c' '*.h' |
	grep -v '\.pb-c\.[ch]$' | while read -r file
do
	test -f "$file" && echo "$file"
done
