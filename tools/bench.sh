#!/bin/sh
# Runs the benchmarks. Prints one line per measure, "name case value unit
# baseline ratio", and writes the same as JSON lines to build/bench.jsonl.
set -u
cd "$(dirname "$0")/.."
build=${1:-build}
out=$build/bench.jsonl
: >"$out"

status=0
for program in "$build"/bench_*
do
	test -x "$program" && test -f "$program" || continue
	name=$(basename "$program")
	echo "# $name"
	"$program" >"$out.$name" || {
		echo "# $name failed" >&2
		status=1
	}
	cat "$out.$name"
	awk -v program="$name" '!/^#/ && NF >= 6 {
		printf "{\"program\":\"%s\",\"name\":\"%s\",\"case\":\"%s\"," \
			"\"value\":%s,\"unit\":\"%s\",\"baseline\":%s," \
			"\"ratio\":%s}\n", program, $1, $2, $3, $4, $5, $6
	}' "$out.$name" >>"$out"
	rm -f "$out.$name"
done
exit $status
