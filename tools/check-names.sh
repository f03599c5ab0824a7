#!/bin/sh
# Checks that C files in src/ don't use the names that the users' platform gives
# its tables, headers and settings: only code in platform/ may use them. Lists
# the lines that do, and fails.
set -eu
cd "$(dirname "$0")/.."

names='rows-(tx|get|feed|parts)|X-(Expect-Instance|Server-Load|Not-Executed'
names="$names|Server-Signature|Instance-Id|Cold-Ms|Shard-Key|Handover)"
names="$names|X-Tenant|cold_left_s|hold_s\\\\\"|max_conns|AUBURNLOOM_NODE_FILE"
if git grep -nE "$names" -- 'src/*.[ch]'
then
	echo "check-names: the lines above use names of the platform;" \
		"move that code to platform/" >&2
	exit 1
fi
