# The platform is stale, garbled, cut short, endless, slow, goes back, shows
# different readers different sets, is down: no node ever reverts, calls go
# on, and what was published meanwhile is in force once it is well again.  What
# a reader can tell to be wrong is counted.  Sets come in several parts.
. tools/fleet.sh
trap fleet_down EXIT
set -e

FLEET_WARM=0
fleet_up examples/great-lakes.json "$1"

# Waits, for at most 30 s, until more failed reads are counted than before.
wait_failures() {
	for _ in $(seq 300); do
		[[ $(counter_sum source_failures_total) -gt $1 ]] && return 0
		sleep 0.1
	done
	echo "no failed read was counted" >&2
	return 1
}

n=1000
for mode in stale garbled truncated endless slow back split down; do
	failures=$(counter_sum source_failures_total)
	fault $mode
	n=$((n + 1))
	sed "s/\"deadline_ms\": 1000,/\"deadline_ms\": $n,/" \
	    examples/great-lakes.json > "$1/next.json"
	held=$VERSION
	publish "$1/next.json" --part-size 700
	[[ $(wc -l < "$1/packed") -gt 3 ]]
	sleep 0.5
	for vm in "${!VM_IP[@]}"; do
		now=$(status_of "$vm" version)
		echo "$mode: $vm holds $now of $held"
		[[ $now -ge $held ]]
	done
	calls 1 50 > "$1/calls"
	grep -q '"calls": 50, "answered": 50,' "$1/calls"
	[[ $mode == stale || $mode == split ]] || wait_failures "$failures"
	fault none
	wait_status version "$VERSION" "${!VM_IP[@]}"
done
