# A data centre goes out by the set, a VM by the VM list, another by a signal,
# and all come back, under load: no call fails, nothing in flight is cut, and
# whoever is out gets no new work after 2 s.
. tools/fleet.sh
trap fleet_down EXIT
set -e

FLEET_WARM=1000 FLEET_WORK=10
set=examples/tema.json
fleet_up "$set" "$1"
# Requests that the targets of some VMs have run.
runs() {
	target_sum runs "$@"
}
# Checks that no work comes to VMs that have been out for 2 s.
no_work() {
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
no_work $south
publish "$set"
sleep 1.5
[[ $(runs $south) -gt 0 ]]

"$FLEET_BIN/teaselctl" out target logbook-1 "$set" > "$1/out.json"
publish "$1/out.json"
no_work vm-01
publish "$set"

publish_vms vm-05 vm-06
no_work vm-05 vm-06
publish_vms
before=$(runs vm-05 vm-06)
sleep 3
[[ $(runs vm-05 vm-06) -gt $before ]]

kill -TERM "${NODE_PID[vm-08]}"
wait "${NODE_PID[vm-08]}"
no_work vm-08
node_start vm-08
wait_ready vm-08
sleep 3
# Entries that stop refuse, so its callers see refusals, all of them true.
wait $load
cat "$1/calls" "$1/err"
failed=$(sed -n 's/.*"not_run": \([0-9]*\), "unknown": \([0-9]*\).*/\1 \2/p' "$1/calls")
[[ ${failed#* } == 0 ]]
