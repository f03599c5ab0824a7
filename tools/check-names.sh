#!/bin/sh
# Fails and lists the uses if names of the platform are used in src/. Only code
# in platform/ may use them.
set -eu
cd "$(dirname "$0")/.."

names='rows-(tx|get|feed|parts)|X-(Expect-Instance|Server-Load|Not-Executed'
names="$names|Server-Signature|Instance-Id|Cold-Ms|Shard-Key|Handover)"
names="$names|cold_left_s|hold_s\\\\\"|max_conns|AUBURNLOOM_NODE_FILE"
if git grep -nE "$names" -- 'src/*.[ch]'
then
	echo "names: the platform's names belong in platform/" >&2
	exit 1
fi
