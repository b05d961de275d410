# The whole path: a set is published and accepted by every node, and requests go
# through the entry and the guard to targets.  Every answer must be complete and
# reach the caller of its request.
. tools/fleet.sh
trap fleet_down EXIT
set -e

FLEET_WARM=0 FLEET_EXTRA='"link_idle_ms": 2000,'
fleet_up examples/tema.json "$1"
calls 5 100 > "$1/calls"
cat "$1/calls"
grep -q '"calls": 500, "answered": 500,' "$1/calls"

# A path that matches no route is refused.
ip=${VM_IP[vm-01]}
curl -s "http://$ip:$CALLER_PORT/nothing" | grep '"code": "no_route", "ran": "not_run"'
# A trace shows the hops of a call as a tree.
id=0af7651916cd43dd8448eb211c80319c
curl -sf -H "traceparent: 00-$id-b7ad6b7169203331-01" \
    "http://$ip:$CALLER_PORT/logs/1" > /dev/null
"$FLEET_BIN/teaselctl" trace "$id" --node "$ip" --all > "$1/trace"
cat "$1/trace"
grep -q '^entry ' "$1/trace"
grep -q '^  guard ' "$1/trace"
grep -q '^    queue ' "$1/trace"

# Idle links are closed after link_idle_ms, and opened again by new calls.
wait_status links 0 "${!VM_IP[@]}"
[[ $(counter_sum links_released_total) -gt 0 ]]
calls 1 100 > "$1/calls"
grep -q '"calls": 100, "answered": 100,' "$1/calls"

# A node that is stopped by SIGTERM drains and exits with 0.
kill -TERM "${NODE_PID[vm-01]}"
wait "${NODE_PID[vm-01]}"
wait_status left 1 vm-02
