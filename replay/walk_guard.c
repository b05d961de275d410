/* The guards and targets of a random walk. */
#include <string.h>

#include "walk_int.h"

static struct walk_held *find_held(struct world *w, int guard, const char *id);
static void on_duplicate(struct world *w, const struct message *m);
static void
answer(struct world *w, const struct message *m, enum guard_verdict v);
static void
tell_all(struct world *w, struct walk_held *h, enum call_outcome out);
static void ran(struct world *w, const struct walk_held *h);

/* The request that a guard holds under an id. */
static struct walk_held *
find_held(struct world *w, int guard, const char *id)
{
	struct walk_held *h;
	guint i;

	for (i = 0; i < w->held->len; i++) {
		h = g_ptr_array_index(w->held, i);
		if (h->guard == guard && h->boot == w->guards[guard].boot &&
		    strcmp(h->req.id, id) == 0)
			return h;
	}
	return NULL;
}

/* An id that the guard knows came again. */
static void
on_duplicate(struct world *w, const struct message *m)
{
	struct walk_guard *g = &w->guards[m->guard];
	struct walk_held *h;
	int id = w->calls[m->call].id;

	if ((h = find_held(w, m->guard, m->id)) != NULL) {
		h->sendings[h->nwaiters] = m->sending;
		h->waiters[h->nwaiters++] = m->call;
		walk_post(w, MESSAGE_ACK, m->call, m->guard, g->boot,
		    OUTCOME_ANSWERED);
	} else {
		walk_post(w, MESSAGE_OUTCOME, m->call, m->guard, g->boot,
		    g->answered[id] ? OUTCOME_ANSWERED : OUTCOME_UNKNOWN);
	}
}

/* Tells an entry at once what its guard said. */
static void
answer(struct world *w, const struct message *m, enum guard_verdict v)
{
	if (v == GUARD_DUPLICATE)
		on_duplicate(w, m);
	else
		walk_post(w, MESSAGE_OUTCOME, m->call, m->guard,
		    w->guards[m->guard].boot, outcome_by_verdict[v]);
}

/* A request reaches a guard. */
void
walk_forward(struct world *w, const struct message *m)
{
	struct walk_guard *g = &w->guards[m->guard];
	struct walk_call *k = &w->calls[m->call];
	struct walk_held *h;
	enum guard_verdict v;

	if (m->boot != g->boot) {
		walk_post(w, MESSAGE_OUTCOME, m->call, m->guard, g->boot,
		    OUTCOME_RESTARTED);
		return;
	}
	h = g_new0(struct walk_held, 1);
	g_strlcpy(h->req.id, m->id, sizeof(h->req.id));
	h->req.once = 1;
	h->req.fresh = k->call.minted;
	h->req.born_wall_ms = k->call.born_wall_ms;
	h->req.deadline = k->call.deadline;
	h->req.fingerprint = (uint64_t)k->id + 1;
	h->req.cookie = h;
	h->guard = m->guard;
	h->boot = g->boot;
	h->call = m->call;
	h->sendings[h->nwaiters] = m->sending;
	h->waiters[h->nwaiters++] = m->call;
	v = guard_admit(g->guard, &h->req, w->now, walk_wall(w));
	if (v == GUARD_QUEUE) {
		g_ptr_array_add(w->held, h);
		walk_post(w, MESSAGE_ACK, m->call, m->guard, g->boot,
		    OUTCOME_ANSWERED);
		return;
	}
	g_free(h);
	answer(w, m, v);
}

/* A question reaches a guard. */
void
walk_fence(struct world *w, const struct message *m)
{
	struct walk_guard *g = &w->guards[m->guard];
	struct walk_call *k = &w->calls[m->call];
	enum guard_verdict v;

	if (m->boot != g->boot) {
		walk_post(w, MESSAGE_OUTCOME, m->call, m->guard, g->boot,
		    OUTCOME_UNKNOWN);
		return;
	}
	v = guard_fence(g->guard, m->id, k->call.minted, k->call.born_wall_ms,
	    w->now, walk_wall(w));
	answer(w, m, v);
}

/* Everybody who waits for a request is told. */
static void
tell_all(struct world *w, struct walk_held *h, enum call_outcome out)
{
	int i;

	for (i = 0; i < h->nwaiters; i++) {
		w->about = h->sendings[i];
		walk_post(
		    w, MESSAGE_OUTCOME, h->waiters[i], h->guard, h->boot, out);
	}
	h->nwaiters = 0;
}

/* A request is no longer held. */
void
walk_release(struct world *w, struct walk_held *h)
{
	g_ptr_array_remove_fast(w->held, h);
	g_free(h);
}

/* A target ran a request: for the first time, and of nobody denied. */
static void
ran(struct world *w, const struct walk_held *h)
{
	int id = w->calls[h->call].id;

	if (++w->runs[id] > 1)
		g_snprintf(w->broken, BROKEN_MAX, "id %d ran %d times", id,
		    w->runs[id]);
	else if (w->calls[h->call].denied)
		g_snprintf(w->broken, BROKEN_MAX,
		    "call %d ran after it was told not_run", h->call);
}

/* A guard gives out its next request. */
void
walk_next(struct world *w, int guard)
{
	struct walk_guard *g = &w->guards[guard];
	struct guard_request r;
	enum guard_verdict v;
	struct walk_held *h;

	if (!guard_next(g->guard, &r, &v, w->now))
		return;
	h = r.cookie;
	h->req = r;
	if (v == GUARD_RUN) {
		h->running = 1;
		if (guard_running(g->guard) > guard_limit(g->guard)->current)
			g_snprintf(w->broken, BROKEN_MAX,
			    "guard %d runs %d, over its limit", guard,
			    guard_running(g->guard));
		return;
	}
	tell_all(w, h, outcome_by_verdict[v]);
	walk_release(w, h);
}

/* A target ends one of its requests, one way or another. */
void
walk_done(struct world *w, uint32_t a, uint32_t b)
{
	static const enum exchange results[] = { EXCHANGE_OK, EXCHANGE_OK,
		EXCHANGE_OK, EXCHANGE_OK, EXCHANGE_OK, EXCHANGE_SHED,
		EXCHANGE_REFUSED, EXCHANGE_SLOW, EXCHANGE_BROKEN };
	struct walk_held *h;
	enum exchange e = results[b % G_N_ELEMENTS(results)];
	guint i, n = w->held->len;

	for (i = 0; i < n; i++) {
		h = g_ptr_array_index(w->held, (a + i) % n);
		if (!h->running)
			continue;
		if (e != EXCHANGE_SHED && e != EXCHANGE_REFUSED)
			ran(w, h);
		/* Of a guard that restarted, nobody hears any more. */
		if (h->boot == w->guards[h->guard].boot) {
			guard_done(w->guards[h->guard].guard, &h->req, e, 2000,
			    w->now);
			if (e == EXCHANGE_OK)
				w->guards[h->guard]
				    .answered[w->calls[h->call].id] = 1;
			tell_all(w, h, outcome_by_exchange[e]);
		}
		walk_release(w, h);
		return;
	}
}

/* A guard's process dies and starts again: what it knew is gone. */
void
walk_restart(struct world *w, int guard)
{
	struct walk_guard *g = &w->guards[guard];
	struct walk_held *h;
	guint i = 0;

	while (i < w->held->len) {
		h = g_ptr_array_index(w->held, i);
		if (h->guard == guard && !h->running)
			walk_release(w, h);
		else
			i++;
	}
	guard_free(g->guard);
	g->guard = guard_new(
	    SLOTS, walk_wall(w), (uint64_t)++w->boots << ORIGIN_SHIFT);
	g->boot = w->boots;
	memset(g->answered, 0, sizeof(g->answered));
}
