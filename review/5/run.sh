#!/usr/bin/env bash
# Runs the case; TROUBLE=0: without the disruption.  Exits with 1 if the rule
# was broken, 0 if it held, 2 if the case could not run.
n=$(basename "$(cd "$(dirname "$0")" && pwd)")
cd "$(dirname "$0")/../.." || exit 2
[ -x "target/review/case$n" ] && [ -x target/teaselside ] || exit 2
timeout -k 2 115 "target/review/case$n" target/teaselside "review/$n/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
