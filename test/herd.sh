# Nodes die in a herd while the platform is down and come back: they take the
# newest version that the survivors hold before they are ready; so does a VM
# that is new.  Then all die.
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

# A VM that no list named yet joins by the peers of its settings.
VM_IP[vm-new]=127.0.1.99
VM_DC[vm-new]=slip-north
node_start vm-new
wait_ready vm-new
wait_status version 2 vm-new

# All at once: nobody is left who knows, so the platform has to.
fault none
for vm in "${!VM_IP[@]}"; do kill -KILL "${NODE_PID[$vm]}"; done
for vm in "${!VM_IP[@]}"; do node_start "$vm"; done
wait_ready "${!VM_IP[@]}"
wait_status version 2 "${!VM_IP[@]}"

# A successor started before its predecessor is gone waits for the addresses.
old=${NODE_PID[vm-01]}
node_start vm-01
sleep 0.5
kill -KILL "$old"
wait_ready vm-01
kill -0 "${NODE_PID[vm-01]}"
