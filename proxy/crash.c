/*
 * Whether the target has ended, and under which requests.  One that broke off
 * is counted when the target is found to be gone, or another one in its place,
 * before it has answered anything that was sent later.
 */
#include "gate_int.h"

#define CRASH_WINDOW_US \
	2000000 /* from a request that broke off to the finding */

/* Prepares the list of requests that broke off. */
void
crash_init(struct proxy_guard *g)
{
	g->suspects = g_array_new(FALSE, FALSE, sizeof(struct interrupted));
}

/* Releases it. */
void
crash_clear(struct proxy_guard *g)
{
	g_array_free(g->suspects, TRUE);
}

/* Whether the target's fate is open; what broke off long ago is dropped. */
int
crash_is_pending(struct proxy_guard *g)
{
	int64_t now = base_now_us();
	guint n = 0;

	while (n < g->suspects->len &&
	       now - g_array_index(g->suspects, struct interrupted, n).at_us >
		   CRASH_WINDOW_US)
		n++;
	g_array_remove_range(g->suspects, 0, n);
	return g->suspects->len > 0;
}

/* A request broke off: the target is asked whether it lives. */
void
crash_add_suspect(struct proxy_guard *g, uint64_t fingerprint)
{
	struct interrupted b = { fingerprint, base_now_us() };

	g_array_append_val(g->suspects, b);
	proxy_guard_probe(g);
}

/* A request was answered after all. */
void
crash_clear_suspect(struct proxy_guard *g, uint64_t fingerprint)
{
	guint i = g->suspects->len;

	while (i-- > 0)
		if (g_array_index(g->suspects, struct interrupted, i)
			.fingerprint == fingerprint)
			g_array_remove_index(g->suspects, i);
}

/* The target lived on: what broke off before has not ended it. */
void
crash_refute(struct proxy_guard *g, int64_t sent_us)
{
	guint n = 0;

	g->crash_id = 0;
	while (
	    n < g->suspects->len &&
	    g_array_index(g->suspects, struct interrupted, n).at_us <= sent_us)
		n++;
	g_array_remove_range(g->suspects, 0, n);
}

/* The target has ended: what broke off is counted, and told. */
void
crash_confirm(struct proxy_guard *g)
{
	struct quarantine *q = &g->proxy->quarantine;
	GArray *fingerprints;
	guint i;

	if (!crash_is_pending(g))
		return;
	fingerprints = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (i = 0; i < g->suspects->len; i++)
		g_array_append_val(fingerprints,
		    g_array_index(g->suspects, struct interrupted, i)
			.fingerprint);
	g_array_set_size(g->suspects, 0);
	counter_add(CTR_TARGET_CRASHES, g->crash_id == 0);
	/* Some may come back after the crash was found; it is the same one. */
	if (g->crash_id == 0)
		g->crash_id = quarantine_crash_id(q);
	quarantine_report_crash(q, g->crash_id, fingerprints);
	g_array_free(fingerprints, TRUE);
}
