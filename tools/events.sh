#!/usr/bin/env bash
# Compares the log's events and their fields, as the sources of teaselside emit
# them, with those that teaselside(8) lists; prints what is on one side only.
set -eu
cd "$(dirname "$0")/.."

# "EVENT FIELD" for each field of each base_log call; "EVENT -" for none.
emitted() {
	cat http/*.c platform/*.c proxy/*.c side/*.c view/*.c |
	    tr '\n' ' ' | grep -oE 'base_log\([^;]*;' |
	    sed -E "s/\\\\\"/'/g" |
	    sed -E 's/"[[:space:]]*G_GU?INT64_FORMAT([[:space:]]*")?/N/g
		s/"[[:space:]]*G_GINT64_MODIFIER[[:space:]]*"/N/g
		s/"[[:space:]]+"//g' |
	    awk -F'"' '{
		n = split($4, w, /[ ]+/)
		print $2, "-"
		for (i = 1; i <= n; i++)
			if (match(w[i], /^[a-z_]+=/))
				print $2, substr(w[i], 1, RLENGTH - 1)
	    }' | sort -u
}

# The same from the manual page: ".It Cm EVENT Ar FIELD FIELD".
listed() {
	sed -n '/^\.Sh LOG/,/^\.Sh EXIT/s/^\.It Cm \([a-z-]*\)\( Ar \(.*\)\)\{0,1\}$/\1 - \3/p' \
	    man/teaselside.8 |
	    awk '{ for (i = 2; i <= NF; i++) print $1, $i }' | sort -u
}

diff <(listed) <(emitted) > /dev/null && exit 0
echo "events of the log (<: in the manual page only, >: in the sources only):"
diff <(listed) <(emitted) | grep '^[<>]'
exit 1
