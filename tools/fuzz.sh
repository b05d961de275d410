#!/usr/bin/env bash
# Runs every fuzz target on its corpus, with a fixed seed and number of inputs:
# fuzz.sh [RUNS].  Inputs that fail are kept in fuzz/found/.
set -u
cd "$(dirname "$0")/.."
runs=${1:-20000}
failed=0
mkdir -p fuzz/found
for target in bin-fuzz/fuzz_*; do
	name=${target##*/fuzz_}
	# New inputs go to a temporary folder, so that every run has the same
	# corpus.
	new=$(mktemp -d)
	if "$target" -seed=1 -runs="$runs" -max_len=4096 -timeout=20 -close_fd_mask=3 \
	    -artifact_prefix="fuzz/found/$name-" "$new" "fuzz/corpus/$name" \
	    > "$new.log" 2>&1; then
		echo "fuzz: $name passed, $runs inputs"
	else
		failed=1
		echo "FAILED: fuzz $name"
		tail -n 30 "$new.log"
	fi
	rm -rf "$new" "$new.log"
done
rmdir fuzz/found 2> /dev/null
[[ $failed == 0 ]]
