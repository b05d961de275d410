# A node restarts while one entry cannot receive from it, so the entry still
# addresses the previous incarnation.  It forwards calls with the callers' own
# ids there, and queries them after the partition heals.  All outcomes must be
# known, as the ids were created after the restart.
. tools/fleet.sh
trap fleet_down EXIT
set -e

export FLEET_FAULT=1 FLEET_WARM=0
fleet_up examples/tema.json "$1"
entry=vm-02 restarted=vm-05  # the fault proxy cuts between data centres
# The entry learns the other's incarnation from the first gossip message that it
# receives from it, at the latest with the probe of its turn.
for _ in $(seq 300); do
	curl -sf "http://${VM_IP[$entry]}:$OPERATOR_PORT/peers" |
	    grep -q "\"$restarted\".*\"version\": 1," && break
	sleep 0.1
done
inject cut $restarted $entry
kill -KILL "${NODE_PID[$restarted]}"
wait "${NODE_PID[$restarted]}" || true
node_start $restarted
wait_ready $restarted
# A guard's memory covers ids created 5 s (GUARD_SKEW_MS) after its start.
sleep 6
"$FLEET_BIN/teaselcalls" -e "${VM_IP[$entry]}:$CALLER_PORT" -s "$FLEET_SET" \
    -t 3 -r 40 --own-ids --threads 128 \
    --ledgers "$(addresses $CONTROL_PORT)" > "$1/calls" &
load=$!
sleep 1
inject heal
wait $load
cat "$1/calls"
grep -q '"unknown": 0,' "$1/calls"
