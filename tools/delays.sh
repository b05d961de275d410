#!/usr/bin/env bash
# Reads logs of nodes, as `fleetbench run --log all` prints them, and prints how
# near a play came to the time limits: checks of the event loop that were late,
# answers after the limit of their request, and, by config-lag.sh, how late
# versions were in force.  Only the time after FROM seconds counts.
set -eu
FROM=${FROM:-0}
here=$(dirname "$0")

# Prints NAME: the number of values of EVENT's FIELD above each bound, the worst.
count_above() {
	name=$1 event=$2 field=$3
	shift 3
	grep -h "event=$event " "$@" | awk -v from="$FROM" -v name="$name" \
	    -v field="$field" '
	$1 >= from {
		for (i = 3; i <= NF; i++)
			if (index($i, field "=") == 1)
				v = substr($i, length(field) + 2) + 0
		n++
		a += v > 100; b += v > 250; c += v > 500
		if (v > worst) worst = v
	}
	END {
		printf "%s: n=%d over_100=%d over_250=%d over_500=%d worst_ms=%d\n",
		    name, n, a, b, c, worst
	}'
}

count_above loop loop-delayed delay_ms "$@"
count_above answers answer-overdue by_ms "$@"
cat "$@" | grep 'event=config-accepted\|event=st' |
    awk -v from="$FROM" '$1 >= from' | "$here/config-lag.sh" /dev/stdin |
    tail -n 1
