# A data centre's traffic is lost in one direction: first all that it sends,
# then all that it should receive.  Callers resend under the same ids, and a
# new version is published meanwhile.  No request may run twice or run after
# "not run", and the version must be in force on all nodes, as each side can
# read the source.
. tools/fleet.sh
trap fleet_down EXIT
set -e

export FLEET_FAULT=1 FLEET_WARM=0
fleet_up examples/tema.json "$1"
n=25000
for way in 'slip-south *' '* slip-south'; do
	read -r from to <<< "$way"
	calls 8 60 --resend --threads 128 > "$1/calls" &
	load=$!
	sleep 1
	inject cut "$from" "$to"
	n=$((n + 1))
	sed "s/30000/$n/" examples/tema.json > "$1/next.json"
	publish "$1/next.json"
	wait_status version "$VERSION" "${!VM_IP[@]}"
	sleep 3
	inject heal
	wait "$load"
	cat "$1/calls"
done
# After healing, once the nodes have found each other, all calls are answered.
for _ in $(seq 10); do
	calls 2 60 > "$1/calls"
	grep -q '"calls": 120, "answered": 120,' "$1/calls" && break
done
cat "$1/calls"
grep -q '"calls": 120, "answered": 120,' "$1/calls"
