#!/usr/bin/env bash
# Runs the integration tests, all or the one given, each in a process and a
# temporary folder of its own.  Tests judge by ledgers and states, not by
# timing.  Tests listed in KNOWN-RED.txt may fail; their outcome is printed.
set -u
cd "$(dirname "$0")/.."
passed=0 failed=0 red=0

# Prints the last warnings and errors of each node of a failed test.
print_last_warnings() {
	local log
	for log in "$1"/vm-*.log; do
		[[ $log == *.target.log ]] && continue
		echo "-- $(basename "$log")"
		grep -v 'level=info\|level=debug' "$log" | tail -n 3
	done
}
for t in ${1:-test/*.sh}; do
	name=$(basename "$t" .sh)
	dir=$(mktemp -d)
	if timeout -k 5 300 bash "$t" "$dir" > "$dir/test.log" 2>&1; then
		passed=$((passed + 1))
		echo "passed: $name"
	elif grep -qs "^test: $name\$" KNOWN-RED.txt; then
		red=$((red + 1))
		echo "KNOWN RED: $name"
		tail -n 5 "$dir/test.log"
	else
		failed=$((failed + 1))
		echo "FAILED: $name"
		tail -n 40 "$dir/test.log"
		print_last_warnings "$dir"
	fi
	rm -rf "$dir"
done
echo "integration: $passed passed, $failed failed, $red known red"
[[ $failed == 0 ]]
