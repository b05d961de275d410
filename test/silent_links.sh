# All connections between nodes stall, without being closed, while requests run
# at their targets.  Entries query the outcomes on new connections and retry
# repeatable requests within the retry budget, so at least 95 % are answered;
# the outcomes reported for the others must be true.
. tools/fleet.sh
trap fleet_down EXIT
set -e

export FLEET_FAULT=1 FLEET_WARM=0 FLEET_EXTRA='"no_slow_start": true,'
fleet_up examples/tema.json "$1"
calls 2 60 --work 600 --threads 128 > "$1/calls" &
load=$!
sleep 1
inject silent
wait $load
cat "$1/calls"
answered=$(sed -n 's/.*"answered": \([0-9]*\).*/\1/p' "$1/calls")
[[ $answered -ge 114 ]]
