#!/usr/bin/env bash
# Writes a page with plots, bench/results/report/, from the JSON lines in
# bench/results.  Of the lines with the same parameters the last one counts.
set -eu
cd "$(dirname "$0")/.."
results=bench/results
out=$results/report
mkdir -p "$out"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Prints the values of keys of JSON lines, separated by tabs: columns FILE
# KEY...  Of lines that agree in the first three keys and "name" only the last
# is printed; lines that lack a key are skipped.
columns() {
	local file=$1
	shift
	[[ -f $file ]] || return 0
	awk -v keys="$*" '
	    function value(key,   s) {
		if (!match($0, "\"" key "\": (\"[^\"]*\"|[-0-9.]+)"))
			return ""
		s = substr($0, RSTART + length(key) + 4, RLENGTH - length(key) - 4)
		gsub(/"/, "", s)
		return s == "" ? "-" : s
	    }
	    BEGIN { n = split(keys, k, " ") }
	    { line = ""
	      for (i = 1; i <= n; i++) {
		v = value(k[i])
		if (v == "") next
		line = line (i > 1 ? "\t" : "") v
	      }
	      first = value(k[1]) "/" value(k[2]) "/" value(k[3]) "/" value("name")
	      if (!(first in last)) order[++m] = first
	      last[first] = line }
	    END { for (i = 1; i <= m; i++) print last[order[i]] }' "$file"
}

# Prints a table of the page: table FILE KEY...
table() {
	local file=$1
	shift
	printf '| %s |\n' "$(printf '%s | ' "$@" | sed 's/ | $//; s/_/ /g')"
	printf '|%s\n' "$(printf ' --- |%.0s' "$@")"
	columns "$file" "$@" | sed 's/\t/ | /g; s/^/| /; s/$/ |/'
	echo
}

# Draws a plot as an SVG file of the page: plot NAME GNUPLOT-COMMANDS.
plot() {
	gnuplot -e "set terminal svg size 760,340 font 'sans,11' background 'white'; set output '$out/$1.svg'; set grid; set key top left" \
	    -e "$2"
}

columns "$results/control.jsonl" nodes targets variant converge_ms_p50 \
    converge_ms_p99 rest_bytes_per_s_node reads_per_change > "$work/control"
awk -F'\t' '$3 == "-" && $1 == $2' "$work/control" | sort -n > "$work/scale"
awk -F'\t' '$1 == 50 && $2 == 50 { sub(/^-$/, "as it is", $3); print $3 "\t" $7 "\t" $4 }' \
    OFS='\t' "$work/control" > "$work/baselines"
plot convergence "set xlabel 'nodes'; set ylabel 'ms until a change is in force'; set yrange [0:]; plot '$work/scale' using 1:4 with linespoints title 'median', '' using 1:5 with linespoints title '99th percentile'"
plot rest "set xlabel 'nodes'; set ylabel 'bytes/s a node, both ways'; set yrange [0:320]; plot '$work/scale' using 1:6 with linespoints title 'at rest', 300 with lines dashtype 2 title 'aim'"
plot reads "set datafile separator '\t'; set style fill solid 0.5; set boxwidth 0.5; set yrange [0:]; set ylabel 'reads of the source a change'; plot '$work/baselines' using 0:2:xtic(1) with boxes title '50 nodes'"
for file in "$results"/move-*.tsv; do
	[[ -f $file ]] || continue
	name=$(basename "$file" .tsv)
	plot "$name" "set xlabel 's'; set ylabel 'calls/s'; set y2label 'longest call, ms'; set y2tics; set yrange [0:]; set y2range [0:]; set key outside; set arrow from 6, graph 0 to 6, graph 1 nohead dashtype 2; set arrow from 14, graph 0 to 14, graph 1 nohead dashtype 2; set arrow from 22, graph 0 to 22, graph 1 nohead dashtype 2; set arrow from 30, graph 0 to 30, graph 1 nohead dashtype 2; plot '$file' using 1:2 with steps linewidth 2 title 'answered', '' using 1:3 with steps linewidth 2 title 'not answered', '' using 1:4 axes x1y2 with lines linecolor 'gray' title 'longest'"
done

{
	echo "# Measurements"
	echo
	echo "Made by \`tools/report.sh\` from the lines in \`bench/results\`; the last line"
	echo "of a kind counts. What was run, and on what, is in \`docs/CAPACITY.md\`."
	echo
	echo "## Control"
	echo
	printf '![convergence](convergence.svg)\n\n![rest](rest.svg)\n\n![reads](reads.svg)\n\n'
	table "$results/control.jsonl" nodes targets variant converge_ms_p50 \
	    converge_ms_p99 bytes_per_change_node rest_bytes_per_s_node \
	    rest_core_percent rss_max_kb reads_per_change commit
	echo "## Calls"
	echo
	table "$results/calls.jsonl" rate path set p50_us p90_us p99_us max_us commit
	table "$results/calls.jsonl" rate path set us_per_call commit
	echo "## A data centre leaves and returns"
	echo
	echo "Out by the set at 6 s, in at 14 s, killed at 22 s, started at 30 s."
	echo
	for file in "$results"/move-*.tsv; do
		[[ -f $file ]] || continue
		name=$(basename "$file" .tsv)
		printf '![%s](%s.svg)\n\n' "$name" "$name"
	done
	table "$results/move.jsonl" set name phase rate calls answered not_run unknown \
	    p50_us p99_us commit
} > "$out/README.md"
echo "$out/README.md"
