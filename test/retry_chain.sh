# Chains of 15 nested calls whose last target always sheds.  Guards against
# retry amplification: if every level retried, the attempts would multiply
# towards the caller.
. tools/fleet.sh
trap fleet_down EXIT
set -e

# A chain occupies several slots of the same targets, so no slow start.
export FLEET_WARM=0 FLEET_EXTRA='"no_slow_start": true,'
fleet_up examples/tema.json "$1"
ip=${VM_IP[vm-01]}
before=$(counter_sum forwards_total)
calls=100
for _ in $(seq $calls); do
	curl -s "http://$ip:$CALLER_PORT/logs/1?chain=14" >> "$1/out"
done
sent=$(($(counter_sum forwards_total) - before))
echo "$calls calls 15 deep: $sent attempts, $(counter_sum forward_fences_total) fence queries, $(counter_sum forward_retries_denied_total) retries denied"
sort "$1/out" | uniq -c | sort -rn | head -4
# A short stall on one hop may end a call as "outcome unknown", hence not all.
[[ $(grep -c 'the next one failed' "$1/out") -ge 95 ]]
[[ $sent -ge $((calls * 15)) ]]
[[ $sent -le $((calls * 15 * 12 / 10)) ]]
