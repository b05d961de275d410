# The platform gives stale, malformed, truncated, endless, slow or older
# answers, shows readers different sets, or is down.  No node may go back to an
# older version, calls are answered, and the set published meanwhile is in force
# once the fault ends.  Failures that a reader can detect are counted.  Sets are
# published in several parts.
. tools/fleet.sh
trap fleet_down EXIT
set -e

FLEET_WARM=0
fleet_up examples/great-lakes.json "$1"

# Waits at most 30 s until more than N failed reads are counted.
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
