#!/bin/sh
# The platform's names stand in platform/ only; this lists others.
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
