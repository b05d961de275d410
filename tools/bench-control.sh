#!/usr/bin/env bash
# Measures the control plane of N nodes without calls: convergence, bytes, reads
# of the source, memory and processor time: bench-control.sh N [TARGETS
# SERVICES ROUTES DATA_CENTRES].  Prints one JSON line.
set -u
cd "$(dirname "$0")/.."
. tools/fleet.sh

n=$1
targets=${2:-$n} services=${3:-3} routes=${4:-6} dcs=${5:-3}
changes=${BENCH_CHANGES:-10}
rest_s=${BENCH_REST:-20}
dir=$(mktemp -d)
trap 'fleet_down; rm -rf "$dir"' EXIT
tools/mkset.sh "$targets" "$services" "$routes" "$dcs" > "$dir/set.json"
export FLEET_LIMIT=$n FLEET_NO_TARGETS=1 FLEET_SPREAD=1000
fleet_up "$dir/set.json" "$dir/fleet" || exit 1
# A counter of the platform; "?reset=1" also resets it: count KEY [QUERY].
count() { curl -s "http://$PLATFORM/count${2:-}" | sed -n "s/.*\"$1\": \([0-9]*\).*/\1/p"; }
# Sum of the processor time of all nodes, in ticks of 10 ms.
ticks() {
	local vm
	for vm in "${!NODE_PID[@]}"; do
		awk '{ print $14 + $15 }' "/proc/${NODE_PID[$vm]}/stat"
	done | awk '{ s += $1 } END { print s }'
}
start_reads=$(count reads) start_peak=$(count peak_per_second '?reset=1')
# Wait until the gossip about the start has ended.
sleep "${BENCH_SETTLE:-10}"

# At rest.
ticks0=$(ticks) sent0=$(counter_sum control_bytes_sent_total)
received0=$(counter_sum control_bytes_received_total)
reads0=$(count reads)
sleep "$rest_s"
ticks1=$(ticks) sent1=$(counter_sum control_bytes_sent_total)
received1=$(counter_sum control_bytes_received_total)
reads1=$(count reads)
rss=$(for vm in "${!NODE_PID[@]}"; do
	awk '/VmRSS/ { print $2 }' "/proc/${NODE_PID[$vm]}/status"
done | sort -n | tail -n 1)

# Changes of one target each.
set_bytes0=$(counter_sum config_bytes_sent_total) change_reads0=$(count reads)
cp "$dir/set.json" "$dir/next.json"
for i in $(seq "$changes"); do
	state=out
	[[ $((i % 2)) == 0 ]] && state=in
	"$FLEET_BIN/teaselctl" $state target target-0001 "$dir/next.json" \
	    2> /dev/null > "$dir/edited.json"
	mv "$dir/edited.json" "$dir/next.json"
	publish "$dir/next.json"
	echo "$PUBLISHED_AT" >> "$dir/published"
	wait_status version "$VERSION" "${!VM_IP[@]}" || exit 1
	# Stay well within each node's budget of reads.
	sleep 3
done
set_bytes1=$(counter_sum config_bytes_sent_total) change_reads1=$(count reads)
fulls=$(counter_sum config_full_sets_total)

# Time from publication until a node applies it and that of its check, a line
# per node and change: MS US.
first=$((VERSION - changes))
grep -h 'event=config_applied' "$dir"/fleet/vm-*.log |
    sed 's/time=\([^ ]*\) .*version=\([0-9]*\)-.*check_us=\([0-9]*\).*/\1 \2 \3/' |
    while read -r at version us; do
	[[ $version -gt $first ]] || continue
	p=$(sed -n "$((version - first))p" "$dir/published")
	echo "$(($(date -d "$at" +%s%3N) - p)) $us"
    done | sort -n > "$dir/applied"
# Quantile Q of a column of sorted lines: pick Q COLUMN.
pick() { awk -v q="$1" -v f="$2" '{ v[NR] = $f } END { i = int(NR * q); print v[i < 1 ? 1 : i] }'; }
p50=$(pick 0.5 1 < "$dir/applied") p99=$(pick 0.99 1 < "$dir/applied")
worst=$(tail -n 1 "$dir/applied" | cut -d' ' -f1)
check=$(sort -n -k2 "$dir/applied" | pick 0.5 2)
rows=$(wc -l < "$dir/applied")

# All nodes are killed and started at once.
count reads '?reset=1' > /dev/null
for vm in "${!NODE_PID[@]}"; do kill -KILL "${NODE_PID[$vm]}"; done
for vm in "${!NODE_PID[@]}"; do wait "${NODE_PID[$vm]}" 2> /dev/null; done
for vm in "${!VM_IP[@]}"; do node_start "$vm"; done
wait_ready "${!VM_IP[@]}" || exit 1
herd_reads=$(count reads) herd_peak=$(count peak_per_second)

awk -v n="$n" -v targets="$targets" -v commit="$(git rev-parse --short HEAD)" \
    -v extra="${BENCH_NAME:-}" \
    -v rest="$rest_s" -v t="$((ticks1 - ticks0))" -v s="$((sent1 - sent0))" \
    -v r="$((received1 - received0))" -v c="$((reads1 - reads0))" -v rss="$rss" \
    -v b="$((set_bytes1 - set_bytes0))" \
    -v k="$((change_reads1 - change_reads0))" -v ch="$changes" \
    -v p50="$p50" -v p99="$p99" -v worst="$worst" -v check="$check" \
    -v rows="$rows" -v fulls="$fulls" -v sr="$start_reads" \
    -v sp="$start_peak" -v hr="$herd_reads" -v hp="$herd_peak" 'BEGIN {
	printf "{\"bench\": \"control\", \"variant\": \"%s\", \"commit\": \"%s\", \"nodes\": %d, \"targets\": %d, ", extra, commit, n, targets
	printf "\"changes\": %d, \"applied\": %d, \"converge_ms_p50\": %d, \"converge_ms_p99\": %d, \"converge_ms_max\": %d, ", ch, rows, p50, p99, worst
	printf "\"bytes_per_change_node\": %.1f, \"full_sets\": %d, \"check_swap_us_p50\": %d, ", b / ch / n, fulls, check
	printf "\"rest_bytes_per_s_node\": %.1f, \"rest_core_percent\": %.3f, \"rss_max_kb\": %d, ", (s + r) / rest / n, t / rest / n, rss
	printf "\"reads_per_change\": %.1f, \"reads_per_min_rest\": %.1f, \"start_reads\": %d, \"start_peak_s\": %d, \"herd_reads\": %d, \"herd_peak_s\": %d}\n", k / ch, c * 60 / rest, sr, sp, hr, hp
}'
