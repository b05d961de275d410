# A node restarts while one entry cannot hear it, so that the entry still means
# the incarnation before.  Calls with the callers' own ids that it sends there
# in that time, and asks about once the way is whole again, have known outcomes:
# their ids are younger than the restart.
. tools/fleet.sh
trap fleet_down EXIT
set -e

export FLEET_FAULT=1 FLEET_WARM=0
fleet_up examples/tema.json "$1"
deaf=vm-02 restarted=vm-05  # of two data centres, as a cut is between those
# Its incarnation is known once it has been heard, by a probe within its turn.
for _ in $(seq 300); do
	curl -sf "http://${VM_IP[$deaf]}:$OPERATOR_PORT/peers" |
	    grep -q "\"$restarted\".*\"version\": 1," && break
	sleep 0.1
done
inject cut $restarted $deaf
kill -KILL "${NODE_PID[$restarted]}"
wait "${NODE_PID[$restarted]}" || true
node_start $restarted
wait_ready $restarted
# A guard answers for ids made five seconds after its start.
sleep 6
"$FLEET_BIN/teaselcalls" -e "${VM_IP[$deaf]}:$CALLER_PORT" -s "$FLEET_SET" \
    -t 3 -r 40 --own-ids --threads 128 \
    --ledgers "$(addresses $CONTROL_PORT)" > "$1/calls" &
load=$!
sleep 1
inject heal
wait $load
cat "$1/calls"
grep -q '"unknown": 0,' "$1/calls"
