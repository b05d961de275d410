# A data centre is cut off while a change is published, and the platform goes
# down with it.  Both sides serve with the version they hold; nothing reverts;
# after healing the newest is in force on both.
. tools/fleet.sh
trap fleet_down EXIT
set -e

export FLEET_FAULT=1 FLEET_WARM=0
fleet_up examples/tema.json "$1"
cut=$(vms_of slip-south)

# The cut side sleeps through the publication, then wakes up alone.
for vm in $cut; do kill -STOP "${NODE_PID[$vm]}"; done
sed 's/30000/25000/' examples/tema.json > "$1/2.json"
publish "$1/2.json"
wait_status version 2 $(vms_of slip-north) $(vms_of harbour-office)
fault down
inject cut slip-south
inject cut '*' slip-south
for vm in $cut; do kill -CONT "${NODE_PID[$vm]}"; done
sleep 3
wait_status version 1 $cut
wait_status version 2 $(vms_of slip-north)

# Each side answers what it can, and says the truth about the rest.
calls 3 60 > "$1/calls"
cat "$1/calls"
answered=$(sed -n 's/.*"answered": \([0-9]*\).*/\1/p' "$1/calls")
[[ $answered -ge 90 ]]

inject heal
wait_status version 2 $cut
calls 2 60 > "$1/calls"
cat "$1/calls"
