# The whole path: a set is published, every node takes it, callers' requests
# go through two nodes to targets and back, each whole and to its own caller.
. tools/fleet.sh
trap fleet_down EXIT
set -e

FLEET_WARM=0 FLEET_EXTRA='"link_idle_ms": 2000,'
fleet_up examples/tema.json "$1"
calls 5 100 > "$1/calls"
cat "$1/calls"
grep -q '"calls": 500, "answered": 500,' "$1/calls"

# Routes of the services alone are refused to callers from outside.
ip=${VM_IP[vm-01]}
curl -s "http://$ip:$CALLER_PORT/nothing" | grep '"code": "no_route", "ran": "not_run"'
# A trace shows the hops.
id=0af7651916cd43dd8448eb211c80319c
curl -sf -H "traceparent: 00-$id-b7ad6b7169203331-01" \
    "http://$ip:$CALLER_PORT/logs/1" > /dev/null
"$FLEET_BIN/teaselctl" trace "$id" --node "$ip" --all > "$1/trace"
cat "$1/trace"
grep -q '^entry ' "$1/trace"
grep -q '^  guard ' "$1/trace"
grep -q '^    queue ' "$1/trace"

# Links that are idle are dropped, and opened again when needed.
wait_status links 0 "${!VM_IP[@]}"
[[ $(counter_sum links_released_total) -gt 0 ]]
calls 1 100 > "$1/calls"
grep -q '"calls": 100, "answered": 100,' "$1/calls"

# A planned stop ends by itself, with exit 0.
kill -TERM "${NODE_PID[vm-01]}"
wait "${NODE_PID[vm-01]}"
wait_status left 1 vm-02
