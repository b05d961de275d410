# A node without the fleet's key, and random bytes sent to a node's port: the
# datagrams and connections are refused, and callers are served as before.
. tools/fleet.sh
trap fleet_down EXIT
set -e

FLEET_WARM=0
fleet_up examples/tema.json "$1"
peers=$(status_of vm-02 alive)
kill -KILL "${NODE_PID[vm-01]}"
# A node with another fleet's key starts on the address of a killed one.
sed -i 's/^./f/' "$1/fleet.key"
sed -i 's/\(.\)$/0/' "$1/fleet.key"
node_start vm-01
for _ in $(seq 200); do
	head -c 100 /dev/urandom > "/dev/udp/${VM_IP[vm-02]}/$NODE_PORT"
done
for _ in $(seq 20); do
	timeout 1 head -c 300 /dev/urandom \
	    > "/dev/tcp/${VM_IP[vm-02]}/$NODE_PORT" || true
done
sleep 8
echo "refused: $(counter_sum datagrams_refused_total)"
[[ $(counter_sum datagrams_refused_total) -ge 200 ]]
wait_status alive $((peers - 1)) vm-02
# The outsider may read the set, which is public, but receives no datagrams.
curl -sf "http://${VM_IP[vm-01]}:$OPERATOR_PORT/metrics" |
    grep '^teaselstep_datagrams_received_total 0$'
entries=$(addresses $CALLER_PORT | tr , '\n' | grep -v "^${VM_IP[vm-01]}:" |
    paste -sd,)
"$FLEET_BIN/teaselcalls" -e "$entries" -s "$FLEET_SET" -r 50 -t 2 \
    --ledgers "$(addresses $CONTROL_PORT)" > "$1/calls"
cat "$1/calls"
grep -q '"calls": 100, "answered": 100,' "$1/calls"
