#!/usr/bin/env bash
# Measures calls through the mesh against the same calls to the targets
# directly, in one run: bench-calls.sh RATE [SECONDS [SET [ROUTE]]].  One JSON
# line each on standard output.
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
# Sum of processor time of all nodes, in ticks of 10 ms.
ticks() {
	local vm
	for vm in "${!NODE_PID[@]}"; do
		awk '{ print $14 + $15 }' "/proc/${NODE_PID[$vm]}/stat"
	done | awk '{ s += $1 } END { print s }'
}
run() {
	"$FLEET_BIN/teaselcalls" -e "$2" -s "$set" -r "$rate" -t "$3" -j 64 \
	    ${only:+--only "$only"} > "$dir/out"
	sed "s/^{/{\"bench\": \"calls\", \"path\": \"$1\", \"set\": \"$name\", \"commit\": \"$commit\", \"rate\": $rate, /" "$dir/out"
}
# The limits grow first.
run warm "$(addresses $CALLER_PORT)" 12 > /dev/null
run direct "$(addresses $TARGET_PORT)" "$seconds"
t0=$(ticks)
run mesh "$(addresses $CALLER_PORT)" "$seconds"
t1=$(ticks)
echo "{\"bench\": \"calls\", \"path\": \"processor\", \"set\": \"$name\", \"commit\": \"$commit\", \"rate\": $rate, \"us_per_call\": $(((t1 - t0) * 10000 / (rate * seconds)))}"
