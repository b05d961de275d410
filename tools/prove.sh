#!/usr/bin/env bash
# Mutation test: applies each mutation of test/mutations.txt, which disables one
# mechanism, to a copy of the tree and runs the test that must fail then.
set -u
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -z --cached --others --exclude-standard | xargs -0 cp --parents -t "$copy"
cp -r obj bin "$copy"
noticed=0 missed=0
while IFS='|' read -r file expr test; do
	[[ $file == \#* || -z $file ]] && continue
	file=${file// /} test=${test// /} expr=${expr# } expr=${expr% }
	cp "$file" "$copy/original"
	sed "$expr" "$file" > "$copy/$file"
	if cmp -s "$file" "$copy/$file"; then
		echo "NOT APPLIED: $file: $expr"
		missed=$((missed + 1))
		continue
	fi
	run="bin/$test"
	case $test in
	walk) run="bin/teaselreplay --walk 3000" ;;
	traces) run="bin/teaselreplay traces/*.jsonl" ;;
	esac
	if ! make -s -C "$copy" WARN=-w "${run%% *}" > "$copy/log" 2>&1; then
		echo "DOES NOT BUILD: $file: $expr"
		tail -n 3 "$copy/log"
		missed=$((missed + 1))
	elif (cd "$copy" && eval "timeout 60 $run" > log 2>&1); then
		echo "NOT NOTICED by $test: $file: $expr"
		missed=$((missed + 1))
	else
		noticed=$((noticed + 1))
	fi
	cp "$copy/original" "$copy/$file"
done < test/mutations.txt
echo "mutations: $noticed noticed, $missed missed"
[[ $missed == 0 ]]
