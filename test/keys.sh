# Key rotation under load, one data centre after the other: first all nodes also
# accept the new key, then all use it, then the old key is removed.  No call may
# end with an unknown outcome, nodes that use different keys forward each
# other's calls, a new version still reaches all nodes, and a node with only the
# old key cannot join.
. tools/fleet.sh
trap fleet_down EXIT
set -e

FLEET_WARM=0
fleet_up examples/tema.json "$1"
cp "$1/fleet.key" "$1/old.key"
"$FLEET_BIN/teaselctl" key "$1/new.key"

# Restarts the nodes of a data centre, so that they read the key file again.
restart() {
	local vm
	for vm in $(vms_of "$1"); do kill -TERM "${NODE_PID[$vm]}"; done
	for vm in $(vms_of "$1"); do
		wait "${NODE_PID[$vm]}"
		node_start "$vm"
	done
	wait_ready $(vms_of "$1")
}
# Checks that calls with the callers' own ids are all answered; their homes are
# on all nodes, whichever key these use.  First waits until the guards' memories
# cover new ids: those created 5 s (GUARD_SKEW_MS) after the guard's start.
expect_all_answered() {
	sleep 6
	calls 3 60 --own-ids > "$1/mixed"
	cat "$1/mixed"
	grep -q '"calls": 180, "answered": 180,' "$1/mixed"
}

calls 45 50 > "$1/calls" 2> "$1/err" &
load=$!
cat "$1/old.key" "$1/new.key" > "$FLEET_DIR/fleet.key"
for dc in slip-north slip-south harbour-office; do restart $dc; done
cat "$1/new.key" "$1/old.key" > "$FLEET_DIR/fleet.key"
restart slip-north
expect_all_answered "$1"
restart slip-south
restart harbour-office
publish examples/tema.json
wait_status version 2 "${!VM_IP[@]}"
cat "$1/new.key" > "$FLEET_DIR/fleet.key"
for dc in slip-north slip-south harbour-office; do restart $dc; done
sed 's/30000/25000/' examples/tema.json > "$1/3.json"
publish "$1/3.json"
wait_status version 3 "${!VM_IP[@]}"
wait "$load"
cat "$1/calls" "$1/err"
grep -q '"unknown": 0,' "$1/calls"

cat "$1/old.key" > "$FLEET_DIR/fleet.key"
VM_IP[vm-old]=127.0.1.99
VM_DC[vm-old]=slip-north
refused=$(counter_sum datagrams_refused_total)
node_start vm-old
wait_ready vm-old
for _ in $(seq 100); do
	[[ $(counter_sum datagrams_refused_total) -gt $refused ]] && break
	sleep 0.1
done
[[ $(counter_sum datagrams_refused_total) -gt $refused ]]
! curl -sf "http://${VM_IP[vm-01]}:$OPERATOR_PORT/peers" | grep vm-old
