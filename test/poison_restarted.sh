# A request crashes every target that runs it.  Guards that restart, and guards
# that were cut off when the crashes were reported, must learn of the quarantine
# before they send the request to a target.
. tools/fleet.sh
trap fleet_down EXIT
set -e

FLEET_WARM=0 dir=$1
export FLEET_FAULT=1
fleet_up examples/tema.json "$dir"
crashes() {
	target_sum crashes "${!VM_IP[@]}"
}
send() {
	curl -s -X PUT -d poison "http://${VM_IP[$1]}:$CALLER_PORT/logs/7" \
	    >> "$dir/answers" 2> /dev/null || true
}
vms=$(printf '%s\n' "${!VM_IP[@]}" | sort)
# For a while the reports of the guards in one data centre are lost.
dc=${VM_DC[vm-01]}
inject cut "$dc" '*'
send vm-01
sleep 0.5
send vm-01
sleep 1
inject heal
sleep 4
for vm in $vms; do
	send "$vm"
	sleep 0.3
done
first=$(crashes)
echo "crashes: $first"
# Each node restarts in turn, and gets the request shortly afterwards.
for vm in $vms; do
	kill -KILL "${NODE_PID[$vm]}"
	wait "${NODE_PID[$vm]}" 2> /dev/null || true
	node_start "$vm"
	sleep 1.5
	send "$vm"
	sleep 0.3
done
echo "crashes: $(crashes)"
[[ $first -le 2 ]]
[[ $(crashes) -le $first ]]
