#!/usr/bin/env bash
# Runs teaselctl over inputs kept beside their expected output.  A file
# NAME.cmd holds the arguments; NAME.out the output and the exit code.
# With --write, writes the expected output anew.
set -u
cd "$(dirname "$0")/.."
ctl=${BIN:-bin}/teaselctl
passed=0 failed=0
for cmd in regress/*/*.cmd; do
	out=${cmd%.cmd}.out
	got=$(cd "$(dirname "$cmd")" && eval "\"$OLDPWD/$ctl\" $(cat "$OLDPWD/$cmd")" 2>&1; echo "exit $?")
	if [[ ${1:-} == --write ]]; then
		printf '%s\n' "$got" > "$out"
	elif [[ $got == "$(cat "$out")" ]]; then
		passed=$((passed + 1))
	else
		failed=$((failed + 1))
		echo "FAILED: $cmd"
		diff <(printf '%s\n' "$got") "$out"
	fi
done
echo "regress: $passed passed, $failed failed"
[[ $failed == 0 ]]
