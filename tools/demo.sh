#!/usr/bin/env bash
# Shows the main functions in under a minute: a deployment starts and serves
# calls, a change and an invalid version are published, and a data centre is
# taken out and comes back.
set -u
cd "$(dirname "$0")/.."
. tools/fleet.sh

dir=$(mktemp -d)
trap 'fleet_down; rm -rf "$dir"' EXIT
set=examples/tema.json
say() { printf '\n%s\n' "$*"; }
ctl() { "$FLEET_BIN/teaselctl" "$@"; }
first=127.0.1.1

# Publishes a set and waits until it is in force on all nodes.
change() {
	publish "$1" || exit 1
	ctl wait "$VERSION" --node "$first" --all --timeout 10
}

say "1. Eleven VMs in three data centres start: a node and a target on each."
fleet_up "$set" "$dir" || exit 1
ctl status --node "$first" --all

say "2. Callers send 300 calls a second for 16 s, to all nodes."
"$FLEET_BIN/teaselcalls" -e "$(addresses $CALLER_PORT)" -s "$set" \
    -r 300 -t 16 --ledgers "$(addresses $CONTROL_PORT)" \
    > "$dir/calls" 2> "$dir/calls.err" &
calls=$!
sleep 2

say "3. An operator changes a deadline: version 2."
sed 's/"deadline_ms": 30000/"deadline_ms": 25000/' "$set" > "$dir/2.json"
ctl diff "$set" "$dir/2.json"
change "$dir/2.json"

say "4. A bad version 3 is published past the check; every node refuses it."
sed 's/"service": "signoff", "data_centre": "slip-south"/"service": "signof", "data_centre": "slip-south"/' \
    "$dir/2.json" > "$dir/bad.json"
ctl check "$dir/bad.json"
publish "$dir/bad.json" --unchecked
sleep 1
ctl status --node "$first" --all | grep -A1 -m1 -B1 rejected

say "5. slip-south is taken out: version 4."
ctl out data-centre slip-south "$dir/2.json" > "$dir/4.json"
change "$dir/4.json"
sleep 2
for vm in "${!VM_IP[@]}"; do
	[[ ${VM_DC[$vm]} == slip-south ]] || continue
	curl -s "http://${VM_IP[$vm]}:$CONTROL_PORT/stats" |
	    sed -n 's/.*"target": "\([^"]*\)".*"idle_ms": \([0-9-]*\).*/   \1: no request for \2 ms/p'
done

say "6. slip-south comes back: version 5."
ctl in data-centre slip-south "$dir/4.json" > "$dir/5.json"
change "$dir/5.json"

say "7. What the callers saw, checked against what the targets ran."
wait $calls
verdict=$?
sed 's/[{}"]//g; s/, /\n/g; s/^/   /' "$dir/calls" | sed 's/^ *//; s/^/   /'
cat "$dir/calls.err"

say "8. What it cost."
echo "   bytes between nodes for 4 changes: $(counter_sum config_bytes_sent_total)"
echo "   reads of the platform: $(curl -s "http://$PLATFORM/count" | tr -d '{}"')"
if [[ $verdict == 0 ]]; then
	say "No call was lost, doubled, or answered with another's answer."
else
	say "Calls were lost, doubled or answered wrongly: see above."
fi
exit $verdict
