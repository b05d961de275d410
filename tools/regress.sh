#!/usr/bin/env bash
# Compares the output of programs with the expected output.  NAME.cmd holds the
# command line, of teaselctl unless it begins with a program's name; NAME.out
# holds the output and the exit code.  With --write, writes the expected output
# instead.
set -u
cd "$(dirname "$0")/.."
bin=$PWD/${BIN:-bin}
passed=0 failed=0
for cmd in regress/*/*.cmd; do
	out=${cmd%.cmd}.out
	read -ra words < "$cmd"
	[[ ${words[0]} == teasel* ]] || words=(teaselctl "${words[@]}")
	got=$(cd "$(dirname "$cmd")" &&
	    "$bin/${words[0]}" "${words[@]:1}" 2>&1; echo "exit $?")
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
