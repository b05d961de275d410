#!/usr/bin/env bash
# Runs all measurements, about 25 minutes; prints one JSON line each.
set -u
cd "$(dirname "$0")/.."
set=$(mktemp)
trap 'rm -f "$set"' EXIT
tools/mkset.sh 1400 52 300 9 > "$set"
"${BIN:-bin}/bench_mesh" "$set"
"${BIN:-bin}/bench_config" 2000 5000 10000
for n in 25 50 200; do
	BENCH_SETTLE=$((10 + n / 2)) tools/bench-control.sh $n
done
tools/bench-control.sh 200 1400 52 300 9
# Baselines: every node reads the source; whole sets instead of deltas.
BENCH_NAME=every_node_reads FLEET_EXTRA='"every_node_reads": true,' \
    tools/bench-control.sh 50
BENCH_NAME=full_sets FLEET_EXTRA='"full_sets": true,' tools/bench-control.sh 50
for set in examples/tema.json examples/great-lakes.json; do
	tools/bench-calls.sh 500 10 "$set"
done
tools/bench-calls.sh 3000 8
# Service while a data centre leaves and returns, with and without slow start;
# then the soak, many calls under many faults.
tools/bench-move.sh examples/tema.json slip-south 500 600
tools/bench-move.sh examples/great-lakes.json erie 1000 200
BENCH_COLD_ONLY=1 tools/bench-move.sh examples/tema.json slip-south 500 1000
BENCH_COLD_ONLY=1 BENCH_NAME=no_slow_start FLEET_EXTRA='"no_slow_start": true,' \
    tools/bench-move.sh examples/tema.json slip-south 500 1000
tools/soak.sh
