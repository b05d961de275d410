# Targets start cold, and some become cold again without announcing it.  Guards
# must lower the load so far that no target crashes from overload, and callers
# get answers to at least 99 % of their requests.
. tools/fleet.sh
trap fleet_down EXIT
set -e

export FLEET_WARM=5000 FLEET_WORK=20
fleet_up examples/tema.json "$1"
calls 10 400 --threads 128 > "$1/calls" &
load=$!
sleep 6
for vm in vm-01 vm-05 vm-08; do
	curl -sf -X POST "http://${VM_IP[$vm]}:$CONTROL_PORT/cold" > /dev/null
done
wait $load
cat "$1/calls"
for vm in "${!VM_IP[@]}"; do
	curl -sf "http://${VM_IP[$vm]}:$CONTROL_PORT/stats" | tee -a "$1/stats"
done
! grep -v '"falls": 0' "$1/stats"
answered=$(sed -n 's/.*"answered": \([0-9]*\).*/\1/p' "$1/calls")
[[ $answered -ge 3960 ]]
