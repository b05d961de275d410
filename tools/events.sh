#!/usr/bin/env bash
# Compares the log events and their fields in the sources of teaselside with
# those that teaselside(8) lists; prints the differences and fails on any.
set -eu
cd "$(dirname "$0")/.."

# Prints "EVENT FIELD" for each field of each base_log call, and "EVENT -".
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

# Prints the same from the manual page's ".It Cm EVENT Ar FIELD FIELD".
listed() {
	sed -n '/^\.Sh LOG/,/^\.Sh EXIT/s/^\.It Cm \([a-z-]*\)\( Ar \(.*\)\)\{0,1\}$/\1 - \3/p' \
	    man/teaselside.8 |
	    awk '{ for (i = 2; i <= NF; i++) print $1, $i }' | sort -u
}

diff <(listed) <(emitted) > /dev/null && exit 0
echo "events of the log (<: in the manual page only, >: in the sources only):"
diff <(listed) <(emitted) | grep '^[<>]'
exit 1
