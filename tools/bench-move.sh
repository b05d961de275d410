#!/usr/bin/env bash
# Measures service from a cold start, and while a data centre is taken out by
# the set and returns, then is killed and returns: bench-move.sh SET DATA_CENTRE
# DISTANCE_US RATE [TIMELINE].  Prints one JSON line a phase; the timeline, by
# half seconds, goes to a file for tools/report.sh.
set -u
cd "$(dirname "$0")/.."
. tools/fleet.sh

set=$1 dc=$2 distance=$3 rate=$4 timeline=${5:-/dev/null}
name=${BENCH_NAME:-as_it_is}
dir=$(mktemp -d)
trap 'fleet_down; rm -rf "$dir"' EXIT
export FLEET_FAULT=1 FLEET_WORK=50 FLEET_WARM=4000
fleet_up "$set" "$dir/fleet" || exit 1
inject distance '*' '*' "$distance"
commit=$(git rev-parse --short HEAD)
inside=$(vms_of "$dc")
# Calls go only to entries outside the data centre, as its own callers are gone
# with it.
entries=
for vm in "${!VM_IP[@]}"; do
	[[ ${VM_DC[$vm]} == "$dc" ]] ||
	    entries+="${entries:+,}${VM_IP[$vm]}:$CALLER_PORT"
done
"$FLEET_BIN/teaselctl" out data-centre "$dc" "$set" > "$dir/out.json"
# Prints a JSON line on the calls that began in a phase, with further members:
# phase_line NAME FROM_S TO_S MEMBERS.
phase_line() {
	sed 's/[{},:"]/ /g' "$dir/calls" | awk -v a=$(($2 * 1000)) -v b=$(($3 * 1000)) \
	    '$2 >= a && $2 < b { print $2, $4, $6 }' | sort -n -k 3 > "$dir/phase"
	awk -v n="$(wc -l < "$dir/phase")" -v more="$4" -v head="\"bench\": \"move\", \"set\": \"$(basename "$set" .json)\", \"name\": \"$name\", \"commit\": \"$commit\", \"rate\": $rate, \"phase\": \"$1\"" '
	    { got[$2]++ }
	    NR == int(n / 2) { p50 = $3 }
	    NR == int(n * 0.99) { p99 = $3 }
	    END { printf "{%s, \"calls\": %d, \"answered\": %d, \"not_run\": %d, \"unknown\": %d, \"nothing\": %d, \"p50_us\": %d, \"p99_us\": %d%s}\n",
		head, n, got["answered"], got["not_run"], got["unknown"], got["nothing"], p50, p99, more }' "$dir/phase"
}
# Sends calls for some seconds and records each: load SECONDS.
load() {
	"$FLEET_BIN/teaselcalls" -e "$entries" -s "$set" -r "$rate" -t "$1" \
	    -j 256 --timeline "$dir/calls" > "$dir/sum"
}
load 8
# Every target is cold at the start: count what they shed, and overload crashes.
phase_line cold 0 8 ", \"shed\": $(target_sum shed "${!VM_IP[@]}"), \"falls\": $(target_sum falls "${!VM_IP[@]}")"
[[ -z ${BENCH_COLD_ONLY:-} ]] || exit 0

# Phases, NAME:START, in seconds since the load began.
phases="before:2 out:6 back:14 dead:22 returned:30 end:40"
# Sleeps until some seconds after the load began: sleep_until SECONDS.
sleep_until() {
	local left
	left=$(($1 * 1000 - ($(date +%s%3N) - began)))
	[[ $left -le 0 ]] || sleep "$(printf '%d.%03d' $((left / 1000)) $((left % 1000)))"
}
began=$(date +%s%3N)
load 40 &
load_pid=$!
sleep_until 6
publish "$dir/out.json"
sleep_until 14
publish "$set"
sleep_until 22
# Requests in flight at this time belong to the phase before; let them end.
sleep 0.2
for vm in $inside; do
	kill -KILL "${NODE_PID[$vm]}" "${TARGET_PID[$vm]}"
done
sleep_until 30
for vm in $inside; do
	target_start "$vm"
	node_start "$vm"
done
wait "$load_pid"

previous=
for phase in $phases; do
	[[ -z $previous ]] ||
	    phase_line "${previous%:*}" "${previous#*:}" "${phase#*:}" ""
	previous=$phase
done
sed 's/[{},:"]/ /g' "$dir/calls" | awk '{ print $2, $4, $6 }' |
    awk '{ b = int($1 / 500); n[b]++; if ($2 == "answered") ok[b]++
	if ($3 > max[b]) max[b] = $3; if (b > last) last = b }
    END { for (b = 0; b <= last; b++)
	print b / 2, ok[b] * 2 + 0, (n[b] - ok[b]) * 2, max[b] / 1000 }' \
    > "$timeline"
