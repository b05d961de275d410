# One request crashes each target that runs it.  Guards that start again, and
# guards that were cut off when it was told, must not send it once more.
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
# Nobody hears what the guards of one data centre tell, for a while.
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
# Each node starts again, one after the other, and gets it at once.
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
