# Under load, a data centre and a target are taken out by the set, VMs by the VM
# list, and a node by a signal, and all return.  No call may end with an unknown
# outcome, and VMs that are out get no new requests after 2 s.
. tools/fleet.sh
trap fleet_down EXIT
set -e

FLEET_WARM=1000 FLEET_WORK=10
set=examples/tema.json
fleet_up "$set" "$1"
# Number of requests that the targets of the given VMs have run: runs VM...
runs() {
	target_sum runs "$@"
}
# Checks that VMs get no requests once they have been out for 2 s.
expect_no_runs() {
	sleep 2
	local before
	before=$(runs "$@")
	sleep 1
	echo "$*: $before runs, then $(runs "$@")"
	[[ $(runs "$@") == "$before" ]]
}
calls 26 100 > "$1/calls" 2> "$1/err" &
load=$!
sleep 1
south=$(vms_of slip-south)
"$FLEET_BIN/teaselctl" out data-centre slip-south "$set" > "$1/out.json"
publish "$1/out.json"
expect_no_runs $south
publish "$set"
sleep 1.5
[[ $(runs $south) -gt 0 ]]

"$FLEET_BIN/teaselctl" out target logbook-1 "$set" > "$1/out.json"
publish "$1/out.json"
expect_no_runs vm-01
publish "$set"

publish_vms vm-05 vm-06
expect_no_runs vm-05 vm-06
publish_vms
before=$(runs vm-05 vm-06)
sleep 3
[[ $(runs vm-05 vm-06) -gt $before ]]

kill -TERM "${NODE_PID[vm-08]}"
wait "${NODE_PID[vm-08]}"
expect_no_runs vm-08
node_start vm-08
wait_ready vm-08
sleep 3
# An entry that drains refuses its callers' requests as "not run", so refusals
# are expected; the ledgers show that they are true.
wait $load
cat "$1/calls" "$1/err"
failed=$(sed -n 's/.*"not_run": \([0-9]*\), "unknown": \([0-9]*\).*/\1 \2/p' "$1/calls")
[[ ${failed#* } == 0 ]]
