#!/bin/sh
# bench.sh [BUILD]: runs the benchmarks of a build folder and prints their
# output. Also writes each line "name case value unit baseline ratio" to
# BUILD/bench.jsonl as a JSON object. Exits with 1 when a benchmark failed.
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
		echo "# $program failed, so its results are incomplete" >&2
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
