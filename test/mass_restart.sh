# Many nodes are killed at once while the platform is down, and restart: before
# they are ready they fetch the newest version that the remaining nodes hold.
# So does a new VM.  Then all nodes are killed, which leaves the platform as the
# only source.
. tools/fleet.sh
trap fleet_down EXIT
set -e

FLEET_WARM=0
fleet_up examples/tema.json "$1"
sed 's/30000/25000/' examples/tema.json > "$1/2.json"
publish "$1/2.json"
wait_status version 2 "${!VM_IP[@]}"

fault down
dead="vm-01 vm-02 vm-03 vm-05 vm-06 vm-08"
for vm in $dead; do kill -KILL "${NODE_PID[$vm]}"; done
for vm in $dead; do node_start "$vm"; done
wait_ready $dead
wait_status version 2 $dead

# A VM that is not on any VM list joins through the peers in its settings.
VM_IP[vm-new]=127.0.1.99
VM_DC[vm-new]=slip-north
node_start vm-new
wait_ready vm-new
wait_status version 2 vm-new

# With all nodes killed, the version must come from the platform.
fault none
for vm in "${!VM_IP[@]}"; do kill -KILL "${NODE_PID[$vm]}"; done
for vm in "${!VM_IP[@]}"; do node_start "$vm"; done
wait_ready "${!VM_IP[@]}"
wait_status version 2 "${!VM_IP[@]}"

# A node that starts while its predecessor still runs waits for the addresses.
old=${NODE_PID[vm-01]}
node_start vm-01
sleep 0.5
kill -KILL "$old"
wait_ready vm-01
kill -0 "${NODE_PID[vm-01]}"
