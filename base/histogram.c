/* Histograms of durations, in the Prometheus text format. */
#include <inttypes.h>
#include <stdatomic.h>

#include "base.h"

/* Upper bounds: the default buckets of Prometheus's client libraries. */
static const int bounds_ms[] = { 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000,
	10000 };

#define BUCKETS (sizeof(bounds_ms) / sizeof(bounds_ms[0]))

static const char *const names[HIST_COUNT] = {
	[HIST_ANSWER] = "answer_seconds",
	[HIST_FIRST_BYTE] = "first_byte_seconds",
	[HIST_GUARD_WAIT] = "gate_wait_seconds",
	[HIST_STATE_AGE] = "knowledge_age_seconds",
	[HIST_EGRESS_WAIT] = "egress_wait_seconds",
	[HIST_OVERDUE] = "answer_overdue_seconds",
	[HIST_LOOP_DELAY] = "loop_delay_seconds",
	[HIST_CONFIG_APPLY] = "config_apply_seconds",
};

static struct {
	_Atomic int64_t buckets[BUCKETS + 1]; /* the last is unbounded */
	_Atomic int64_t sum_ms;
} values[HIST_COUNT];

/* A duration equal to a bound belongs to that bound's bucket. */
void
histogram_add(enum histogram h, int64_t ms)
{
	size_t i;

	for (i = 0; i < BUCKETS && ms > bounds_ms[i]; i++)
		;
	atomic_fetch_add_explicit(
	    &values[h].buckets[i], 1, memory_order_relaxed);
	atomic_fetch_add_explicit(&values[h].sum_ms, ms, memory_order_relaxed);
}

/* In the output each bucket includes the counts of all smaller ones. */
void
histogram_print(GString *out)
{
	int64_t count;
	size_t i;
	int h;

	for (h = 0; h < HIST_COUNT; h++) {
		count = 0;
		g_string_append_printf(
		    out, "# TYPE teaselstep_%s histogram\n", names[h]);
		for (i = 0; i < BUCKETS; i++) {
			count += values[h].buckets[i];
			g_string_append_printf(out,
			    "teaselstep_%s_bucket{le=\"%g\"} %" PRId64 "\n",
			    names[h], bounds_ms[i] / (double)BASE_MS_PER_S,
			    count);
		}
		count += values[h].buckets[BUCKETS];
		g_string_append_printf(out,
		    "teaselstep_%s_bucket{le=\"+Inf\"} %" PRId64 "\n"
		    "teaselstep_%s_sum %g\nteaselstep_%s_count %" PRId64 "\n",
		    names[h], count, names[h],
		    values[h].sum_ms / (double)BASE_MS_PER_S, names[h], count);
	}
}
