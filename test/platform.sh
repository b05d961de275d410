# The platform is stale, garbled, cut short, endless, goes back, shows
# different readers different sets, is down: no node ever reverts, calls go
# on, and what was published meanwhile is in force once it is well again.
. tools/fleet.sh
trap fleet_down EXIT
set -e

FLEET_WARM=0
fleet_up examples/great-lakes.json "$1"
n=1000
for mode in stale garbled truncated endless back split down; do
	fault $mode
	n=$((n + 1))
	sed "s/\"deadline_ms\": 1000,/\"deadline_ms\": $n,/" \
	    examples/great-lakes.json > "$1/next.json"
	held=$VERSION
	publish "$1/next.json"
	sleep 0.5
	for vm in "${!VM_IP[@]}"; do
		now=$(status_of "$vm" version)
		echo "$mode: $vm holds $now of $held"
		[[ $now -ge $held ]]
	done
	calls 1 50 > "$1/calls"
	grep -q '"calls": 50, "answered": 50,' "$1/calls"
	fault none
	wait_status version "$VERSION" "${!VM_IP[@]}"
done
