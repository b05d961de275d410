/* Counters of decisions, outcomes and bytes, in the Prometheus text format. */
#include <inttypes.h>
#include <stdatomic.h>

#include "base.h"

static _Atomic int64_t values[CTR_COUNT];

static const char *const names[CTR_COUNT] = {
	[CTR_CALLS] = "calls_total",
	[CTR_ANSWERED] = "calls_answered_total",
	[CTR_ANSWERS_TRUNCATED] = "calls_answers_cut_total",
	[CTR_ANSWERS_OVERDUE] = "calls_answers_overdue_total",
	[CTR_REFUSED_NOT_RUN] = "calls_refused_not_run_total",
	[CTR_REFUSED_UNKNOWN] = "calls_refused_unknown_total",
	[CTR_FORWARDS] = "forwards_total",
	[CTR_FORWARDS_FAR] = "forwards_far_total",
	[CTR_RETRIES] = "forward_retries_total",
	[CTR_RETRY_DENIED] = "forward_retries_denied_total",
	[CTR_RETRY_RESERVE] = "forward_retries_reserve_total",
	[CTR_FENCES] = "forward_fences_total",
	[CTR_ASKS] = "forward_asks_total",
	[CTR_LATE_ANSWERS] = "forward_late_answers_total",
	[CTR_GUARD_RUNS] = "guard_runs_total",
	[CTR_GUARD_QUEUED] = "guard_queued_total",
	[CTR_GUARD_REFUSED] = "guard_refused_total",
	[CTR_GUARD_LINK_FULL] = "guard_refused_link_full_total",
	[CTR_GUARD_CALLEES] = "guard_refused_callees_total",
	[CTR_GUARD_UNMEASURED] = "guard_refused_unmeasured_total",
	[CTR_PUBLISHER_SLOW] = "publisher_slow_total",
	[CTR_PUBLISHER_BEHIND] = "publisher_behind_total",
	[CTR_GUARD_REVOKED] = "guard_revoked_total",
	[CTR_GUARD_DUPLICATES] = "guard_duplicates_total",
	[CTR_GUARD_EXPIRED] = "guard_expired_total",
	[CTR_TARGET_FAILURES] = "target_failures_total",
	[CTR_TARGET_CRASHES] = "target_crashes_total",
	[CTR_QUARANTINED] = "quarantined_total",
	[CTR_SOURCE_READS] = "source_reads_total",
	[CTR_SOURCE_FAILURES] = "source_failures_total",
	[CTR_SOURCE_UNPARSED] = "source_parts_unread_total",
	[CTR_SOURCE_OLDER] = "source_older_total",
	[CTR_SOURCE_DEFERRED] = "source_deferred_total",
	[CTR_APPLIED] = "config_applied_total",
	[CTR_REJECTED] = "config_rejected_total",
	[CTR_CONFIG_PARSED] = "config_parsed_bytes_total",
	[CTR_CONFLICTS] = "config_conflicts_total",
	[CTR_PUSHES] = "config_pushes_total",
	[CTR_FETCHES] = "config_fetches_total",
	[CTR_FULL_SETS] = "config_full_sets_total",
	[CTR_LINKS_RELEASED] = "links_released_total",
	[CTR_DATAGRAMS_SENT] = "datagrams_sent_total",
	[CTR_DATAGRAMS_RECEIVED] = "datagrams_received_total",
	[CTR_DATAGRAMS_REFUSED] = "datagrams_refused_total",
	[CTR_CONTROL_BYTES_SENT] = "control_bytes_sent_total",
	[CTR_CONTROL_BYTES_RECEIVED] = "control_bytes_received_total",
	[CTR_CONFIG_BYTES_SENT] = "config_bytes_sent_total",
	[CTR_SUSPECTED] = "peers_suspected_total",
	[CTR_LINK_BYTES] = "link_bytes_sent_total",
	[CTR_EGRESS_CONTROL] = "egress_control_bytes_total",
	[CTR_EGRESS_STATE] = "egress_state_bytes_total",
	[CTR_EGRESS_SHORT] = "egress_short_bytes_total",
	[CTR_EGRESS_REQUEST] = "egress_request_bytes_total",
	[CTR_EGRESS_BULK] = "egress_bulk_bytes_total",
	[CTR_LOG_DROPPED] = "log_lines_dropped_total",
	[CTR_HEALTH_CHECKS] = "status_checks_total",
	[CTR_PAUSES] = "pauses_total",
};

/* Relaxed order suffices, as no other data depends on a counter. */
void
counter_add(enum counter c, int64_t n)
{
	atomic_fetch_add_explicit(&values[c], n, memory_order_relaxed);
}

/* The value may miss additions that other threads make at the same time. */
int64_t
counter_get(enum counter c)
{
	return atomic_load_explicit(&values[c], memory_order_relaxed);
}

/* Called for each read of the metrics page. */
void
counter_print(GString *out)
{
	int i;

	for (i = 0; i < CTR_COUNT; i++)
		g_string_append_printf(out,
		    "# TYPE teaselstep_%s counter\n"
		    "teaselstep_%s %" PRId64 "\n",
		    names[i], names[i], counter_get(i));
}
