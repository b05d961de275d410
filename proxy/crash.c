/*
 * Whether the target has ended, and under which requests.  One that broke off
 * is counted when the target is found to be gone, or another one in its place,
 * before it has answered anything that was sent later.
 */
#include "gate_int.h"

#define CRASH_US 2000000 /* from a request that broke off to the finding */

/* Prepares the list of requests that broke off. */
void
crash_init(struct gate *g)
{
	g->broken = g_array_new(FALSE, FALSE, sizeof(struct broken));
}

/* Releases it. */
void
crash_clear(struct gate *g)
{
	g_array_free(g->broken, TRUE);
}

/* Whether the target's fate is open; what broke off long ago is dropped. */
int
crash_is_open(struct gate *g)
{
	int64_t now = base_now_us();
	guint n = 0;

	while (
	    n < g->broken->len &&
	    now - g_array_index(g->broken, struct broken, n).at_us > CRASH_US)
		n++;
	g_array_remove_range(g->broken, 0, n);
	return g->broken->len > 0;
}

/* A request broke off: the target is asked whether it lives. */
void
crash_suspect(struct gate *g, uint64_t fingerprint)
{
	struct broken b = { fingerprint, base_now_us() };

	g_array_append_val(g->broken, b);
	gate_probe(g);
}

/* A request was answered after all. */
void
crash_acquit(struct gate *g, uint64_t fingerprint)
{
	guint i = g->broken->len;

	while (i-- > 0)
		if (g_array_index(g->broken, struct broken, i).fingerprint ==
		    fingerprint)
			g_array_remove_index(g->broken, i);
}

/* The target lived on: what broke off before has not ended it. */
void
crash_denied(struct gate *g, int64_t sent_us)
{
	guint n = 0;

	g->crash_id = 0;
	while (n < g->broken->len &&
	       g_array_index(g->broken, struct broken, n).at_us <= sent_us)
		n++;
	g_array_remove_range(g->broken, 0, n);
}

/* The target has ended: what broke off is counted, and told. */
void
crash_found(struct gate *g)
{
	struct quarantine *q = &g->proxy->quarantine;
	GArray *fingerprints;
	guint i;

	if (!crash_is_open(g))
		return;
	fingerprints = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (i = 0; i < g->broken->len; i++)
		g_array_append_val(fingerprints,
		    g_array_index(g->broken, struct broken, i).fingerprint);
	g_array_set_size(g->broken, 0);
	counter_add(CTR_TARGET_CRASHES, g->crash_id == 0);
	/* Some may come back after the crash was found; it is the same one. */
	if (g->crash_id == 0)
		g->crash_id = quarantine_crash_id(q);
	quarantine_crash(q, g->crash_id, fingerprints);
	g_array_free(fingerprints, TRUE);
}
