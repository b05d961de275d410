#!/usr/bin/env bash
# Reads logs of nodes, as `fleetbench run --log all` prints them: a time in
# seconds, the node's name, then the line.  Prints for each version how long
# after the first node the last one accepted it or a later one, which node that
# was, and how many nodes took longer than LIMIT seconds; then the worst of all.
# A node that accepts nothing later, as it has stopped or the log ends, does not
# count, nor does one that started or was told to stop within TOUCH seconds
# before the version or before it accepted that.
set -eu
LIMIT=${LIMIT:-2}
TOUCH=${TOUCH:-3}

grep -h 'event=config-accepted\|event=started\|event=stopping' "$@" |
    awk -v limit="$LIMIT" -v touch="$TOUCH" '
/event=st/ {
	changes[$2] = changes[$2] " " $1
	next
}
{
	for (i = 3; i <= NF; i++)
		if ($i ~ /^version=/) {
			version = substr($i, 9) + 0
			break
		}
	if (!(version in first))
		order[n++] = version
	if (!(version in first) || $1 < first[version])
		first[version] = $1
	lines++
	at[lines] = $1
	node[lines] = $2
	accepted[lines] = version
}
# Whether a node started or was stopping between two times.
function is_disturbed(x, from, to,   t, i, m)
{
	m = split(changes[x], t, " ")
	for (i = 1; i <= m; i++)
		if (t[i] + 0 >= from && t[i] + 0 <= to)
			return 1
	return 0
}
END {
	for (k = 0; k < n; k++) {
		v = order[k]
		delete when
		for (i = 1; i <= lines; i++)
			if (accepted[i] >= v &&
			    (!(node[i] in when) || at[i] < when[node[i]]))
				when[node[i]] = at[i]
		last = 0; late = 0; who = "-"
		for (x in when) {
			if (is_disturbed(x, first[v] - touch, when[x]))
				continue
			lag = when[x] - first[v]
			late += lag > limit
			if (lag > last) { last = lag; who = x }
		}
		printf "version=%d at=%.2f last_s=%.2f late=%d node=%s\n",
		    v, first[v], last, late, who
		all += late
		if (last > worst) { worst = last; of = v; whose = who }
	}
	printf "worst_s=%.2f version=%d node=%s late=%d\n",
	    worst, of, whose, all
}'
