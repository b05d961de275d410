#!/usr/bin/env bash
# Measures the same calls directly to the targets and through the mesh, in one
# run: bench-calls.sh RATE [SECONDS [SET [ROUTE]]].  Prints a JSON line for
# each, and one with the processor time of the nodes per call.
set -u
cd "$(dirname "$0")/.."
. tools/fleet.sh

rate=$1 seconds=${2:-10} set=${3:-examples/tema.json} only=${4:-}
dir=$(mktemp -d)
trap 'fleet_down; rm -rf "$dir"' EXIT
export FLEET_WARM=0 FLEET_WORK=${FLEET_WORK:-0}
fleet_up "$set" "$dir" || exit 1
commit=$(git rev-parse --short HEAD)
name=$(basename "$set" .json)
# Sum of the processor time of all nodes, in ticks of 10 ms.
ticks() {
	local vm
	for vm in "${!NODE_PID[@]}"; do
		awk '{ print $14 + $15 }' "/proc/${NODE_PID[$vm]}/stat"
	done | awk '{ s += $1 } END { print s }'
}
# Sends calls and prints their summary: run PATH ADDRESSES SECONDS.
run() {
	"$FLEET_BIN/teaselcalls" -e "$2" -s "$set" -r "$rate" -t "$3" -j 64 \
	    ${only:+--only "$only"} > "$dir/out"
	sed "s/^{/{\"bench\": \"calls\", \"path\": \"$1\", \"set\": \"$name\", \"commit\": \"$commit\", \"rate\": $rate, /" "$dir/out"
}
# Warm up: the guards' limits grow to those of warm targets.
run warm "$(addresses $CALLER_PORT)" 12 > /dev/null
run direct "$(addresses $TARGET_PORT)" "$seconds"
ticks0=$(ticks)
run mesh "$(addresses $CALLER_PORT)" "$seconds"
ticks1=$(ticks)
echo "{\"bench\": \"calls\", \"path\": \"processor\", \"set\": \"$name\", \"commit\": \"$commit\", \"rate\": $rate, \"us_per_call\": $(((ticks1 - ticks0) * 10000 / (rate * seconds)))}"
