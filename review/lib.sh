# Functions of the cases' scripts, which source this file at the project's root.
# A script exits with 2 when something can't be started.

tools=build/review
folder=$(mktemp -d)
# Process ids of all processes that were started.
started=()
# Callers' and readiness addresses of the entry daemons, and their process ids.
callers=()
ready=()
entries=()

stop_all() {
	local pid

	{
		for pid in "${started[@]}"; do
			kill -KILL "$pid"
		done
		wait
	} 2>/dev/null
	rm -rf "$folder"
}
trap stop_all EXIT
trap 'exit 2' INT TERM

cant_run() {
	echo "can't run: $*" >&2
	exit 2
}

for program in target/auburn-entry $tools/standin-site $tools/free-ports; do
	[ -x "$program" ] || cant_run "$program is missing"
done

# Starts the stand-in of the store and sets store to its address.
start_site() {
	local i

	"$tools/standin-site" >"$folder/site" &
	started+=($!)
	for ((i = 0; i < 100; i++)); do
		store=$(sed -n 's/^listening store=//p' "$folder/site")
		[ -n "$store" ] && return
		sleep 0.05
	done
	cant_run "standin-site doesn't start"
}

# Whether the entry daemon of a number answers that it is ready.
is_ready() {
	local line

	{ exec 9<>"/dev/tcp/${ready[$1]%:*}/${ready[$1]#*:}"; } 2>/dev/null ||
		return 1
	printf 'GET /ready HTTP/1.1\r\nHost: a\r\n\r\n' >&9
	read -r -t 1 line <&9
	exec 9<&-
	[[ $line == *" 200 "* ]]
}

# Starts a number of entry daemons, each on a loopback address of its own, and
# waits until they are ready. link_mbit is the speed of their links.
link_mbit=1000
start_entries() {
	local count=$1 i n ports

	mapfile -t ports < <("$tools/free-ports" 4)
	[ "${#ports[@]}" = 4 ] || cant_run "no free ports"
	for ((n = 0; n < count; n++)); do
		local host=127.0.0.$((n + 1))

		callers[n]=$host:${ports[0]}
		ready[n]=$host:${ports[1]}
		cat >"$folder/entry$n.conf" <<END
[vm]
name = vm$n
zone = z1
link = $link_mbit
[listen]
callers = ${callers[n]}
ready = ${ready[n]}
peers = $host:${ports[2]}
metrics = $host:${ports[3]}
[store]
address = $store
[stop]
grace = 6
END
		target/auburn-entry --settings "$folder/entry$n.conf" \
			>"$folder/entry$n.log" &
		entries[n]=$!
		started+=($!)
	done
	for ((n = 0; n < count; n++)); do
		for ((i = 0; i < 100; i++)); do
			is_ready "$n" && continue 2
			sleep 0.1
		done
		cant_run "an entry daemon isn't ready"
	done
}

# Prints how often the targets of standin-site began to run a request.
runs_of() {
	local line

	exec 7<>"/dev/tcp/${store%:*}/${store#*:}" || return
	printf '%s\r\n' "GET /control/runs?id=$1 HTTP/1.1" "Host: store" \
		"Connection: close" "" >&7
	while read -r -t 2 line <&7; do
		:
	done
	exec 7<&-
	line=${line#*\"runs\":}
	echo "${line%%[!0-9 ]*}" | tr -d ' '
}
