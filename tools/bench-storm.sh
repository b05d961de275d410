#!/usr/bin/env bash
# Measures a storm: a third of N nodes, one data centre, die at once and later
# start at once, without load: bench-storm.sh N.  One JSON line on standard
# output: how long until every survivor holds all of them dead, until all are
# ready again and every survivor holds all alive, and what that cost in bytes.
set -u
cd "$(dirname "$0")/.."
. tools/fleet.sh

n=$1
dir=$(mktemp -d)
trap 'fleet_down; rm -rf "$dir"' EXIT
tools/mkset.sh "$n" 3 6 3 > "$dir/set.json"
export FLEET_LIMIT=$n FLEET_NO_TARGETS=1 FLEET_SPREAD=1000
fleet_up "$dir/set.json" "$dir/fleet" || exit 1
dc=$(printf '%s\n' "${VM_DC[@]}" | sort | uniq -c | sort -n | awk 'NR == 1 { print $2 }')
lost=$(vms_of "$dc")
lost_count=$(wc -w <<< "$lost")
declare -A IS_LOST
for vm in $lost; do IS_LOST[$vm]=1; done
survivors=()
for vm in "${!VM_IP[@]}"; do
	[[ -n ${IS_LOST[$vm]:-} ]] || survivors+=("$vm")
done
now() { date +%s%3N; }
sent() {
	local vm
	for vm in "${survivors[@]}"; do
		curl -sf "http://${VM_IP[$vm]}:$OPERATOR_PORT/metrics"
	done | awk '$1 ~ /control_bytes_(sent|received)_total/ { s += $2 } END { print s + 0 }'
}
# Waits until a count of members is reached on every survivor; ms since $1.
until_count() {
	local vm
	for vm in "${survivors[@]}"; do
		until [[ $(status_of "$vm" "$2") -ge $3 ]]; do
			[[ $(($(now) - $1)) -lt 120000 ]] || return 1
			sleep 0.1
		done
	done
	echo $(($(now) - $1))
}
sleep "${BENCH_SETTLE:-$((10 + n / 2))}"
b0=$(sent) t0=$(now)
for vm in $lost; do kill -KILL "${NODE_PID[$vm]}"; done
dead_ms=$(until_count "$t0" dead "$lost_count")
b1=$(sent) t1=$(now)
for vm in $lost; do node_start "$vm"; done
wait_ready $lost
ready_ms=$(($(now) - t1))
alive_ms=$(until_count "$t1" alive $((n - 1)))
b2=$(sent) t2=$(now)
s=${#survivors[@]}
echo "{\"bench\": \"storm\", \"commit\": \"$(git rev-parse --short HEAD)\", \"nodes\": $n, \"lost\": $lost_count, \"all_dead_ms\": ${dead_ms:-null}, \"death_bytes_per_s_node\": $(((b1 - b0) * 1000 / (t1 - t0) / s)), \"ready_ms\": $ready_ms, \"all_alive_ms\": ${alive_ms:-null}, \"return_bytes_per_s_node\": $(((b2 - b1) * 1000 / (t2 - t1) / s))}"
