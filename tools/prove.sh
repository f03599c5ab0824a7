#!/bin/sh
# prove.sh [BUILD [--write]]: runs the tests that verify each invariant. Prints
# for each invariant whether it is proved, and as evidence which tests passed or
# failed. Fails when this differs from the list in docs/PROOF.md; --write first
# replaces that list.
set -u
cd "$(dirname "$0")/.."
build=${1:-build}
page=docs/PROOF.md
logs=$build/prove-logs
rm -rf "$logs"
mkdir -p "$logs"

# One invariant a line: invariant | fuzz target | planted-fault program | its
# faults, separated by commas | process tests as program:case, separated by
# semicolons. A planted fault switches off one rule of the code, which the
# program must detect. A process test is a case of a functional test.
rows='at most one owner of each key|ownership|test_ownership_faults|skip-wait,from-arrival,no-margin,no-expiry,count-restarted,fence-ignores-epoch,fence-ignores-ballot|test_path:each key has one owner;test_owner:a lost owner is replaced;test_owner:a frozen owner is replaced and returns;test_owner:lost assigners are succeeded;test_owner:a frozen assigner returns harmless;test_owner:owner and assigner lost at once
an assignment told as succeeded survives|ownership|test_ownership_faults|publish-early,ignore-epoch,paused-clock|test_owner:serving goes on without the table;test_owner:lost assigners are succeeded
no more to a cold upstream than it can bear|request|planted_request|share used after its end,limit per router,new holder does not wait,new incarnation warm|test_faults:a replaced upstream is spared;test_faults:an upstream back at once is spared
no new work in a zone taken out, within seconds|settings|planted_settings|settings always relied on|test_stop:a zone out gets no new work;test_operators:a zone out gets no new work;test_router:a zone taken out gets nothing new;test_router:without fresh settings nothing is taken
the whole answer to its own request|request|planted_request|truncated passed as complete,suspect connection used|test_router:answers come back whole;test_router:a cut answer never ends cleanly;test_path:a cut answer is broken at the caller;test_router_input:pipelined requests stay apart
told "did not run": it did not run|request|planted_request|not run said after send|test_router:refusals say what is certain;test_path:shed work did not run;test_once:without the table nothing runs
work that is not idempotent runs at most once|request|planted_request|claim after send,claim not read back,retry after may have run|test_once:a repeat runs nothing;test_once:a repeat meanwhile runs nothing;test_once:a killed router repeats nothing;test_once:lost table answers repeat nothing;test_router:work is not repeated behind our back
no new work to an upstream that leaves, within seconds|request|planted_request|leaving ignored|test_stop:a leaving upstream gets no new work;test_operators:a leaving upstream gets no new work
a planned stop cuts off no request||||test_stop:a stopped router cuts no download;test_stop:a stopped assigner hands over;test_router_stop:shutdown cuts nothing off;test_router_stop:a slow reader costs no memory
an accepted configuration is in force everywhere and never reverts|settings|planted_settings|publish not read back,lower version taken over,settings always relied on|test_operators:a lost answer is resolved;test_operators:an outage stops publishing only;test_router:a zone taken out gets nothing new'

# Runs a program of the build folder, unless it ran before. $1: program; $2: its
# arguments. Its output and exit status go to $logs.
run_program() {
	test -f "$logs/$1.status" && return
	"$build/$1" $2 >"$logs/$1.log" 2>&1 </dev/null
	echo "$?" >"$logs/$1.status"
}

# Runs a fuzz target over its corpus and fixed seeds, and prints the seeds and
# the number of steps; fails unless the run passed.
show_target() {
	program=replay-fuzz_$1
	run_program "$program" "--corpus test/fuzz/corpus/fuzz_$1"
	steps=$(grep -o '[0-9]* steps' "$logs/$program.log" | tail -1)
	seeds=$(grep -o 'seeds [0-9]* to [0-9]*' "$logs/$program.log")
	if test "$(cat "$logs/$program.status")" -eq 0
	then
		echo "   $program: $seeds, $steps: passed"
	else
		echo "   $program: FAILED"
		return 1
	fi
}

# Prints each planted fault and the seed with which it was caught; fails when
# one was not caught. $1: program, without unit-; $2: the faults.
show_planted() {
	program=unit-$1
	run_program "$program" ""
	echo "$2" | tr ',' '\n' >"$logs/faults"
	missed=0
	while read -r fault
	do
		seed=$(grep "^# $fault[:,]" "$logs/$program.log" |
			grep -o 'seed [0-9]*' | head -1)
		if test -n "$seed"
		then
			echo "   planted \"$fault\": caught, $seed"
		else
			echo "   planted \"$fault\": NOT caught"
			missed=1
		fi
	done <"$logs/faults"
	return $missed
}

# Prints the result of each process test in $1; fails unless all passed.
show_process() {
	echo "$1" | tr ';' '\n' >"$logs/cases"
	bad=0
	while IFS=: read -r program name
	do
		run_program "functional-$program" ""
		if grep -qx "ok - $name" "$logs/functional-$program.log"
		then
			echo "   functional-$program: \"$name\": passed"
		else
			echo "   functional-$program: \"$name\": FAILED"
			bad=1
		fi
	done <"$logs/cases"
	return $bad
}

# Prints an invariant's number, its name and its verdict, then the evidence. $1:
# number; $2 to $6: the fields of its line in rows.
prove_one() {
	verdict=proved
	: >"$logs/evidence"
	if test -n "$3"
	then
		show_target "$3" >>"$logs/evidence" || verdict="not proved"
		show_planted "$4" "$5" >>"$logs/evidence" ||
			verdict="not proved"
	else
		echo "   no fuzz target, no planted fault" >>"$logs/evidence"
		verdict="not proved"
	fi
	if test -n "$6"
	then
		show_process "$6" >>"$logs/evidence" || verdict="not proved"
	else
		echo "   no process test" >>"$logs/evidence"
		verdict="not proved"
	fi
	echo "$1. $2: $verdict"
	cat "$logs/evidence"
}

number=0
echo "$rows" >"$logs/rows"
while IFS='|' read -r name target planted faults cases
do
	number=$((number + 1))
	prove_one "$number" "$name" "$target" "$planted" "$faults" "$cases" \
		</dev/null
done <"$logs/rows" | tee "$logs/found"

if test "${2:-}" = --write
then
	sed -n '1,/^```$/p' "$page" >"$logs/page"
	cat "$logs/found" >>"$logs/page"
	awk 'fences == 2 || (fences == 1 && /^```$/) { print }
		/^```$/ { fences++ }' "$page" >>"$logs/page"
	cp "$logs/page" "$page"
fi
awk '/^```$/ { inside = !inside; next } inside' "$page" >"$logs/kept"
if diff "$logs/kept" "$logs/found" >"$logs/difference"
then
	echo "prove: the results are those in $page"
else
	echo "prove: the results (>) differ from those in $page (<):"
	cat "$logs/difference"
	exit 1
fi
