/*
 * Detection of crashes.  A request whose connection broke is a suspect.  It is
 * reported with a crash if the target is found to be down or replaced before it
 * has answered a status check that was sent after the connection broke.
 */
#include "guard_int.h"

/* A suspect is dropped if no crash is detected within this time. */
#define CRASH_WINDOW_US 2000000

/* Initialises an empty list of suspects. */
void
crash_init(struct proxy_guard *g)
{
	g->suspects = g_array_new(FALSE, FALSE, sizeof(struct crash_suspect));
}

/* Releases the list; pending suspects are not reported. */
void
crash_clear(struct proxy_guard *g)
{
	g_array_free(g->suspects, TRUE);
}

/* Whether suspects are left; drops those older than CRASH_WINDOW_US. */
int
crash_is_pending(struct proxy_guard *g)
{
	int64_t now = base_now_us();
	guint n = 0;

	while (n < g->suspects->len &&
	       now - g_array_index(g->suspects, struct crash_suspect, n).at_us >
		   CRASH_WINDOW_US)
		n++;
	g_array_remove_range(g->suspects, 0, n);
	return g->suspects->len > 0;
}

/* Adds a suspect, and requests a status check to learn if the target is up. */
void
crash_add_suspect(struct proxy_guard *g, uint64_t fingerprint)
{
	struct crash_suspect s = { fingerprint, base_now_us() };

	g_array_append_val(g->suspects, s);
	proxy_guard_probe(g);
}

/* Drops suspects of a fingerprint, as the request was answered on a resend. */
void
crash_clear_suspect(struct proxy_guard *g, uint64_t fingerprint)
{
	guint i = g->suspects->len;

	while (i-- > 0)
		if (g_array_index(g->suspects, struct crash_suspect, i)
			.fingerprint == fingerprint)
			g_array_remove_index(g->suspects, i);
}

/*
 * Drops suspects from before sent_us, as the target answered a check that was
 * sent then.  A crash that is detected later is a new one.
 */
void
crash_refute(struct proxy_guard *g, int64_t sent_us)
{
	guint n = 0;

	g->crash_id = 0;
	while (n < g->suspects->len &&
	       g_array_index(g->suspects, struct crash_suspect, n).at_us <=
		   sent_us)
		n++;
	g_array_remove_range(g->suspects, 0, n);
}

/*
 * Reports a crash with the fingerprints of all suspects, if there are any, and
 * counts it, unless the target has answered nothing since the last crash.
 */
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
		    g_array_index(g->suspects, struct crash_suspect, i)
			.fingerprint);
	g_array_set_size(g->suspects, 0);
	counter_add(CTR_TARGET_CRASHES, g->crash_id == 0);
	/* Suspects that are added after the detection belong to that crash. */
	if (g->crash_id == 0)
		g->crash_id = quarantine_crash_id(q);
	quarantine_report_crash(q, g->crash_id, fingerprints);
	g_array_free(fingerprints, TRUE);
}
