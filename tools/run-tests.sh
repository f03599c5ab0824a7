#!/bin/sh
# run-tests.sh [BUILD]: runs every test program in a build folder and prints the
# output of those that fail. The last line has the totals of all cases:
# "N passed, N failed". A failed case with a line "test: PROGRAM CASE" in
# KNOWN-RED.txt is printed, but doesn't count as failed.
set -u
cd "$(dirname "$0")/.."
build=${1:-build}
known=KNOWN-RED.txt
logs=$build/test-logs
rm -rf "$logs"
mkdir -p "$logs"

# Unit tests and replays of fuzz targets run in parallel, one per processor.
# Functional tests, each of which starts processes, run three at a time; those
# listed in $alone load the machine and run after them, one at a time.
alone="functional-test_entry_clients functional-test_entry_crowds"
alone="$alone functional-test_entry_fleet_crowds functional-test_entry_promises"
for program in "$build"/unit-* "$build"/replay-*
do
	test -x "$program" && echo "$program"
done | xargs -P "$(nproc)" -I{} sh -c '
	name=$(basename "$1")
	case $name in
	replay-*) set -- "$1" "$2" --corpus \
		"test/fuzz/corpus/${name#replay-}" ;;
	esac
	program=$1 logs=$2
	shift 2
	"$program" "$@" >"$logs/$name.log" 2>&1 </dev/null
	echo $? >"$logs/$name.status"' sh {} "$logs"
for program in "$build"/functional-*
do
	case " $alone " in
	*" $(basename "$program") "*) continue ;;
	esac
	test -x "$program" && echo "$program"
done | xargs -P 3 -I{} sh -c '
	name=$(basename "$1")
	timeout 150 "$1" >"$2/$name.log" 2>&1 </dev/null
	echo $? >"$2/$name.status"' sh {} "$logs"
for name in $alone
do
	test -x "$build/$name" || continue
	timeout 900 "$build/$name" >"$logs/$name.log" 2>&1 </dev/null
	echo $? >"$logs/$name.status"
done

passed=0
failed=0
# Failed cases that are listed in KNOWN-RED.txt.
red=0
for status in "$logs"/*.status
do
	test -f "$status" || continue
	name=$(basename "$status" .status)
	log=$logs/$name.log
	ok=$(grep -c '^ok ' "$log")
	bad=$(grep -c '^not ok ' "$log")
	code=$(cat "$status")
	grep '^not ok ' "$log" >"$logs/bad"
	while read -r _ _ case_name
	do
		if test -f "$known" &&
			grep -q "^test: $name $case_name\$" "$known"
		then
			echo "KNOWN-RED $name $case_name"
			bad=$((bad - 1))
			red=$((red + 1))
			test "$bad" -eq 0 && test "$code" -eq 1 && code=0
		fi
	done <"$logs/bad"
	if test "$code" -ne 0 || test "$bad" -ne 0
	then
		echo "== $name failed with status $code"
		grep -B 5 '^not ok ' "$log"
		tail -n 60 "$log"
		test "$bad" -eq 0 && bad=1
	fi
	passed=$((passed + ok))
	failed=$((failed + bad))
done
test "$red" -gt 0 && echo "$red failed as listed in $known"
echo "$passed passed, $failed failed"
test "$failed" -eq 0 && test "$passed" -gt 0
