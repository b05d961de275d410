#!/usr/bin/env bash
# Runs the fault soak of teaselside: soak-side.sh [FROM [TO [SECONDS]]].  Runs
# the seeds that failed before (soak/seeds), then those from FROM to TO, by
# default none.  RESTORES=MS lets the store come back from a copy in all runs.
# The output and logs of failed runs are kept in soak/found/.
set -u
cd "$(dirname "$0")/.."
bin=${BIN:-bin}
from=${1:-1} to=${2:-0} seconds=${3:-15}
jobs=${JOBS:-2}
restores=${RESTORES:-0}
failed=0

# One run; NET selects its addresses: run SEED NODES EVERY NET.
run() {
	local dir out
	dir=$(mktemp -d)
	"$bin/teaselsoak" --seed "$1" --nodes "$2" --every "$3" --net "$4" \
	    --restores "$restores" --seconds "$seconds" --program "$bin/teaselside" --dir "$dir" \
	    > "$dir/soak.log" 2>&1
	out=$?
	if [[ $out == 0 ]]; then
		echo "passed: $(tail -n 1 "$dir/soak.log")"
		rm -rf "$dir"
		return 0
	fi
	echo "FAILED: soak --seed $1 --nodes $2 --every $3 --restores $restores --seconds $seconds"
	grep '^broken' "$dir/soak.log" | head -n 10
	tail -n 1 "$dir/soak.log"
	mkdir -p soak/found
	mv "$dir" "soak/found/seed-$1-$(date +%s)"
	return 1
}

# Prints all runs, as "SEED NODES EVERY".
seeds() {
	sed 's/#.*//' soak/seeds | awk 'NF > 0 { print $1, $2, $3 }'
	for ((s = from; s <= to; s++)); do
		echo "$s $((3 + s % 4 * 3)) $((100 + s % 5 * 50))"
	done
}

n=0
while read -r seed nodes every; do
	run "$seed" "$nodes" "$every" $((70 + n % jobs)) &
	n=$((n + 1))
	if ((n % jobs == 0)); then
		for _ in $(seq "$jobs"); do wait -n || failed=$((failed + 1)); done
	fi
done < <(seeds)
while [[ -n $(jobs -rp) ]]; do wait -n || failed=$((failed + 1)); done
echo "soak: $n runs, $failed failed"
[[ $failed == 0 ]]
