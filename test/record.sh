# Nodes record their guards' decisions under load, with targets that shed and
# crash; replaying the traces must give the same decisions.
. tools/fleet.sh
trap fleet_down EXIT
set -e

export FLEET_RECORD=1 FLEET_WARM=3000 FLEET_WORK=10
fleet_up examples/tema.json "$1"
calls 5 200 --threads 96 > "$1/calls" &
load=$!
sleep 2
curl -sf -X POST "http://${VM_IP[vm-01]}:$CONTROL_PORT/crash" > /dev/null
curl -sf -X POST "http://${VM_IP[vm-05]}:$CONTROL_PORT/cold" > /dev/null
wait $load
cat "$1/calls"
kill -TERM "${NODE_PID[@]}"
wait "${NODE_PID[@]}"
wc -l "$1"/*.trace
"$FLEET_BIN/teaselreplay" "$1"/*.trace
