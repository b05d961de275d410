# A data centre is partitioned with an old version, and the platform is down.
# Both sides serve with the version that they hold, and no node goes back to an
# older one; after healing the newest is in force on both.
. tools/fleet.sh
trap fleet_down EXIT
set -e

export FLEET_FAULT=1 FLEET_WARM=0
fleet_up examples/tema.json "$1"
cut=$(vms_of slip-south)

# The nodes of the data centre are stopped while version 2 is published, and go
# on when they are cut off.
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

# Each side answers what its targets can serve; `calls` fails if a refusal as
# "not run" was false.
calls 3 60 > "$1/calls"
cat "$1/calls"
answered=$(sed -n 's/.*"answered": \([0-9]*\).*/\1/p' "$1/calls")
[[ $answered -ge 90 ]]

inject heal
wait_status version 2 $cut
calls 2 60 > "$1/calls"
cat "$1/calls"
