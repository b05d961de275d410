/*
 * Whether the target has ended, and under which requests.  One that broke off
 * is counted when the target is found to be gone, or another one in its place,
 * before it has answered anything that was sent later.
 */
#include "gate_int.h"

#define CRASH_US 2000000 /* from a request that broke off to the finding */

static uint64_t crash_id(GRand *);

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

	while (n < g->broken->len &&
	       g_array_index(g->broken, struct broken, n).at_us <= sent_us)
		n++;
	g_array_remove_range(g->broken, 0, n);
}

/* An id that no other crash has. */
static uint64_t
crash_id(GRand *rand)
{
	return (uint64_t)g_rand_int(rand) << 32 | g_rand_int(rand);
}

/* The target has ended: what broke off is counted, and told. */
void
crash_found(struct gate *g)
{
	const struct broken *b;
	struct crashes c = { 1, { crash_id(g->proxy->rand) } };
	int64_t now = base_now_ms();
	guint i;

	if (!crash_is_open(g))
		return;
	for (i = 0; i < g->broken->len; i++) {
		b = &g_array_index(g->broken, struct broken, i);
		poison_add(g->poison, b->fingerprint, &c,
		    now + POISON_QUARANTINE_MS, now);
		links_suspect(&g->proxy->links, b->fingerprint, &c);
		base_log(G_LOG_LEVEL_MESSAGE, "crash-suspect",
		    "fingerprint=%016" G_GINT64_MODIFIER
		    "x crashes=%d target=%s",
		    b->fingerprint,
		    poison_crashes(g->poison, b->fingerprint, now), g->id);
	}
	counter_add(CTR_TARGET_CRASHES, 1);
	g_array_set_size(g->broken, 0);
}
