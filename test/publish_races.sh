# Concurrent and unusual publications: two sets under the same number, a
# rollback, out and in at once, a node that missed three versions, and a set
# that needs newer check rules.  All nodes must agree on the version in force.
. tools/fleet.sh
trap fleet_down EXIT
set -e

FLEET_WARM=0
set=examples/tema.json
fleet_up "$set" "$1"
all=$(all_nodes)

# Two operators edit version 1; the second one overwrites the first one's head.
"$FLEET_BIN/teaselctl" out data-centre slip-south "$set" > "$1/a.json"
sed 's/30000/25000/' "$set" > "$1/b.json"
publish "$1/a.json"
wait_status version 2 vm-01
VERSION=1
publish "$1/b.json"
sleep 3
hashes=$(for vm in "${!VM_IP[@]}"; do status_of "$vm" hash; done | sort -u)
echo "hashes in force: $hashes"
[[ $(wc -l <<< "$hashes") == 1 ]]
# The status reports the version that lost as a conflict.
"$FLEET_BIN/teaselctl" status $all --json > "$1/status"
grep -q '"conflict": "2-' "$1/status"

# A rollback publishes the old content under a new number.
publish "$set"
wait_status version 3 "${!VM_IP[@]}"

# A node is stopped while three versions are published, the first of which takes
# a data centre out, and the next brings it in again.
kill -STOP "${NODE_PID[vm-07]}"
publish "$1/a.json"
publish "$set"
publish "$1/b.json"
wait_status version 6 vm-01 vm-02 vm-03
kill -CONT "${NODE_PID[vm-07]}"
wait_status version 6 "${!VM_IP[@]}"

# A set that names check rules unknown to these programs is rejected.
sed 's/"format": 1,/"format": 1, "rules": 2,/' "$1/b.json" > "$1/rules.json"
publish "$1/rules.json" --unchecked
for _ in $(seq 100); do
	"$FLEET_BIN/teaselctl" status $all --json > "$1/status"
	grep -q '"rejected": "7-' "$1/status" && break
	sleep 0.3
done
grep -q '"rejected": "7-[0-9a-f]*", "reason": ".*rules.* is 2' "$1/status"
# All nodes, not only the readers, report what was rejected, why and by which.
rejected=$(sed -n 's/.*"rejected": "\(7-[0-9a-f]*\)".*/\1/p' "$1/status" | head -n 1)
wait_status rejected "$rejected" "${!VM_IP[@]}"
wait_status version 6 "${!VM_IP[@]}"

# The corrected set is accepted under the same number.
VERSION=6
sed 's/30000/24000/' "$set" > "$1/c.json"
publish "$1/c.json"
wait_status version 7 "${!VM_IP[@]}"
