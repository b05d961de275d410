# Many faults at the same time, under load with resends: nodes killed and
# frozen, a target down, datagrams lost, duplicated and reordered, connections
# that stall, are reset or are truncated.  The ledgers of the targets must show
# that no request ran twice, none that was answered is missing, and none that
# was refused as "not run" ran.
. tools/fleet.sh
trap fleet_down EXIT
set -e

export FLEET_FAULT=1 FLEET_WARM=500
fleet_up examples/tema.json "$1"
inject loss '*' '*' 5
inject duplicate '*' '*' 20
inject reorder '*' '*' 20
calls 14 150 --resend --threads 64 > "$1/calls" 2> "$1/err" &
load=$!
sleep 1.5
inject silent
kill -KILL "${NODE_PID[vm-05]}"
sleep 1
node_start vm-05
kill -STOP "${NODE_PID[vm-08]}"
curl -sf -X POST "http://${VM_IP[vm-02]}:$CONTROL_PORT/crash" > /dev/null
sleep 2.5
kill -CONT "${NODE_PID[vm-08]}"
kill -KILL "${NODE_PID[vm-01]}" "${NODE_PID[vm-11]}"
inject silent slip-north
sleep 1
inject reset
inject truncate
node_start vm-01
node_start vm-11
kill -STOP "${NODE_PID[vm-06]}"
sleep 1.5
kill -CONT "${NODE_PID[vm-06]}"
wait $load || { cat "$1/calls" "$1/err"; exit 1; }
cat "$1/calls"
answered=$(sed -n 's/.*"answered": \([0-9]*\).*/\1/p' "$1/calls")
[[ $answered -ge 1500 ]]
