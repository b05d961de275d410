#!/usr/bin/env bash
# Sends many calls under many faults: soak.sh [CALLS [RATE [SET]]].  While
# callers send, and resend under the same ids, nodes are killed, paused and
# stopped, links stall, a data centre is taken out and returns, another is
# partitioned, the platform is down and targets crash.  Exits with 1 when the
# targets' ledgers show that a call was lost, ran twice, or ran though it was
# refused as "not run".  Prints one JSON line.
set -u
cd "$(dirname "$0")/.."
. tools/fleet.sh

calls=${1:-100000} rate=${2:-700} set=${3:-examples/tema.json}
dir=$(mktemp -d)
trap 'fleet_down; rm -rf "$dir"' EXIT
export FLEET_FAULT=1 FLEET_WARM=1000 FLEET_WORK=5
fleet_up "$set" "$dir/fleet" || exit 1
vms=$(printf '%s\n' "${!VM_IP[@]}" | sort)
dcs=$(printf '%s\n' "${VM_DC[@]}" | sort -u)
seconds=$((calls / rate + 1))
round=0
# Line N, modulo the number of lines, of a text: pick N TEXT.
pick() { sed -n "$(($1 % $(wc -l <<< "$2") + 1))p" <<< "$2"; }
# Injects the next of nine faults and ends it, in about six seconds.
inject_next_fault() {
	local vm dc
	vm=$(pick $((round * 5)) "$vms") dc=$(pick "$round" "$dcs")
	case $((round % 9)) in
	0) inject silent ;;
	1) kill -KILL "${NODE_PID[$vm]}"; node_start "$vm" ;;
	2) kill -STOP "${NODE_PID[$vm]}"; sleep 4; kill -CONT "${NODE_PID[$vm]}" ;;
	3) "$FLEET_BIN/teaselctl" out data-centre "$dc" "$set" > "$dir/out.json" 2> /dev/null
	   publish "$dir/out.json"; sleep 4; publish "$set" ;;
	4) inject cut "$dc"; inject cut '*' "$dc"; sleep 4; inject heal ;;
	5) kill -TERM "${NODE_PID[$vm]}"; wait "${NODE_PID[$vm]}"; node_start "$vm" ;;
	6) fault down; inject reset; sleep 3; fault none ;;
	7) curl -s "http://${VM_IP[$vm]}:$CONTROL_PORT/crash" > /dev/null ;;
	8) inject cut '*' "$dc"; sleep 3; inject heal; inject truncate ;;
	esac
	sleep 2
}
calls "$seconds" "$rate" --resend -j 512 > "$dir/sum" 2> "$dir/err" &
load=$!
while kill -0 "$load" 2> /dev/null; do
	inject_next_fault 2> /dev/null
	round=$((round + 1))
done
wait "$load"
verdict=$?
sed "s/^{/{\"bench\": \"soak\", \"set\": \"$(basename "$set" .json)\", \"commit\": \"$(git rev-parse --short HEAD)\", \"rate\": $rate, \"failures\": $round, /" "$dir/sum"
exit "$verdict"
