# A request crashes every target that runs it, and its caller resends it.  After
# at most two crashes it is quarantined, until an operator releases it.
. tools/fleet.sh
trap fleet_down EXIT
set -e

FLEET_WARM=0
fleet_up examples/tema.json "$1"
crashes() {
	target_sum crashes "${!VM_IP[@]}"
}
calls 8 60 > "$1/calls" &
load=$!
# The request is repeatable, and its caller sends it to many entries.
for i in $(seq 12); do
	vm=$(printf 'vm-%02d' $((i % 11 + 1)))
	curl -s -X PUT -d poison "http://${VM_IP[$vm]}:$CALLER_PORT/logs/7" \
	    >> "$1/poison"
	sleep 0.3
done
cat "$1/poison"
echo "crashes: $(crashes)"
[[ $(crashes) -le 2 ]]
grep -q '"code": "quarantined"' "$1/poison"
# Other requests that ran when a target crashed are not quarantined, and nearly
# all are answered.
wait $load
cat "$1/calls"
answered=$(sed -n 's/.*"answered": \([0-9]*\).*/\1/p' "$1/calls")
[[ $answered -ge 470 ]]

# The operator releases it.
fp=$("$FLEET_BIN/teaselctl" quarantine $(all_nodes) |
    sed -n 's/.*"fingerprint":"\([0-9a-f]*\)".*/\1/p' | head -1)
echo "fingerprint: $fp"
"$FLEET_BIN/teaselctl" quarantine $(all_nodes) release "$fp"
sleep 0.5
"$FLEET_BIN/teaselctl" quarantine $(all_nodes) > "$1/list"
! grep fingerprint "$1/list"
