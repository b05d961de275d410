/* The simulated guards and targets of a random walk. */
#include <string.h>

#include "walk_int.h"

static struct walk_request *
find_request(struct walk_mesh *w, int guard, const char *id);
static void answer_duplicate(struct walk_mesh *w, const struct message *m);
static void answer_verdict(
    struct walk_mesh *w, const struct message *m, enum guard_verdict v);
static void answer_waiters(
    struct walk_mesh *w, struct walk_request *wr, enum call_outcome out);
static void record_run(struct walk_mesh *w, const struct walk_request *wr);

/* Finds the request that a guard's current incarnation holds under an id. */
static struct walk_request *
find_request(struct walk_mesh *w, int guard, const char *id)
{
	struct walk_request *wr;
	guint i;

	for (i = 0; i < w->requests->len; i++) {
		wr = g_ptr_array_index(w->requests, i);
		if (wr->guard == guard && wr->boot == w->guards[guard].boot &&
		    strcmp(wr->req.id, id) == 0)
			return wr;
	}
	return NULL;
}

/*
 * Handles an id that the guard has seen before.  While the request is held, the
 * call is added to those that get its outcome; later it gets the cached answer,
 * or OUTCOME_UNKNOWN without one.
 */
static void
answer_duplicate(struct walk_mesh *w, const struct message *m)
{
	struct walk_guard *g = &w->guards[m->guard];
	struct walk_request *wr;
	int id = w->calls[m->call].id;

	if ((wr = find_request(w, m->guard, m->id)) != NULL) {
		wr->attempts[wr->nwaiters] = m->attempt;
		wr->waiters[wr->nwaiters++] = m->call;
		walk_send(w, MESSAGE_ACK, m->call, m->guard, g->boot,
		    OUTCOME_ANSWERED);
	} else {
		walk_send(w, MESSAGE_OUTCOME, m->call, m->guard, g->boot,
		    g->answered[id] ? OUTCOME_ANSWERED : OUTCOME_UNKNOWN);
	}
}

/* Replies to an entry with the guard's verdict. */
static void
answer_verdict(
    struct walk_mesh *w, const struct message *m, enum guard_verdict v)
{
	if (v == GUARD_DUPLICATE)
		answer_duplicate(w, m);
	else
		walk_send(w, MESSAGE_OUTCOME, m->call, m->guard,
		    w->guards[m->guard].boot, outcome_by_verdict[v]);
}

/* Admits a forwarded request, unless it is meant for another incarnation. */
void
walk_receive_forward(struct walk_mesh *w, const struct message *m)
{
	struct walk_guard *g = &w->guards[m->guard];
	struct walk_call *wc = &w->calls[m->call];
	struct walk_request *wr;
	enum guard_verdict v;

	if (m->boot != g->boot) {
		walk_send(w, MESSAGE_OUTCOME, m->call, m->guard, g->boot,
		    OUTCOME_RESTARTED);
		return;
	}
	wr = g_new0(struct walk_request, 1);
	g_strlcpy(wr->req.id, m->id, sizeof(wr->req.id));
	wr->req.once = 1;
	wr->req.fresh = wc->call.minted;
	wr->req.born_wall_ms = wc->call.born_wall_ms;
	wr->req.deadline = wc->call.deadline;
	wr->req.fingerprint = (uint64_t)wc->id + 1;
	wr->req.cookie = wr;
	wr->guard = m->guard;
	wr->boot = g->boot;
	wr->call = m->call;
	wr->attempts[wr->nwaiters] = m->attempt;
	wr->waiters[wr->nwaiters++] = m->call;
	v = guard_admit(g->guard, &wr->req, w->now, walk_wall_ms(w));
	if (v == GUARD_QUEUE) {
		g_ptr_array_add(w->requests, wr);
		walk_send(w, MESSAGE_ACK, m->call, m->guard, g->boot,
		    OUTCOME_ANSWERED);
		return;
	}
	g_free(wr);
	answer_verdict(w, m, v);
}

/*
 * Fences an id.  Another incarnation than the one meant cannot know whether
 * the request ran.
 */
void
walk_receive_fence(struct walk_mesh *w, const struct message *m)
{
	struct walk_guard *g = &w->guards[m->guard];
	struct walk_call *wc = &w->calls[m->call];
	enum guard_verdict v;

	if (m->boot != g->boot) {
		walk_send(w, MESSAGE_OUTCOME, m->call, m->guard, g->boot,
		    OUTCOME_UNKNOWN);
		return;
	}
	v = guard_fence(g->guard, m->id, wc->call.minted, wc->call.born_wall_ms,
	    w->now, walk_wall_ms(w));
	answer_verdict(w, m, v);
}

/* Sends the outcome of a request to every call that waits for it. */
static void
answer_waiters(
    struct walk_mesh *w, struct walk_request *wr, enum call_outcome out)
{
	int i;

	for (i = 0; i < wr->nwaiters; i++) {
		w->reply_attempt = wr->attempts[i];
		walk_send(w, MESSAGE_OUTCOME, wr->waiters[i], wr->guard,
		    wr->boot, out);
	}
	wr->nwaiters = 0;
}

/* Removes a request and frees it; its waiters get no reply. */
void
walk_free_request(struct walk_mesh *w, struct walk_request *wr)
{
	g_ptr_array_remove_fast(w->requests, wr);
	g_free(wr);
}

/*
 * Counts a run of a request and checks the invariants: it is the first run of
 * its id, and the call was not refused as not run.
 */
static void
record_run(struct walk_mesh *w, const struct walk_request *wr)
{
	int id = w->calls[wr->call].id;

	if (++w->runs[id] > 1)
		g_snprintf(w->failure, FAILURE_MAX, "id %d ran %d times", id,
		    w->runs[id]);
	else if (w->calls[wr->call].refused_not_run)
		g_snprintf(w->failure, FAILURE_MAX,
		    "call %d ran after it was refused as not_run", wr->call);
}

/*
 * Dequeues a guard's next request, to run it within the limit or to refuse it.
 */
void
walk_run_next(struct walk_mesh *w, int guard)
{
	struct walk_guard *g = &w->guards[guard];
	struct guard_request r;
	enum guard_verdict v;
	struct walk_request *wr;

	if (!guard_next(g->guard, &r, &v, w->now))
		return;
	wr = r.cookie;
	wr->req = r;
	if (v == GUARD_RUN) {
		wr->running = 1;
		if (guard_running(g->guard) > guard_limit(g->guard)->current)
			g_snprintf(w->failure, FAILURE_MAX,
			    "guard %d runs %d requests, over its limit", guard,
			    guard_running(g->guard));
		return;
	}
	answer_waiters(w, wr, outcome_by_verdict[v]);
	walk_free_request(w, wr);
}

/* Ends the first running request from index a on, with result b. */
void
walk_end_request(struct walk_mesh *w, uint32_t a, uint32_t b)
{
	static const enum exchange results[] = { EXCHANGE_OK, EXCHANGE_OK,
		EXCHANGE_OK, EXCHANGE_OK, EXCHANGE_OK, EXCHANGE_SHED,
		EXCHANGE_REFUSED, EXCHANGE_SLOW, EXCHANGE_BROKEN };
	struct walk_request *wr;
	enum exchange e = results[b % G_N_ELEMENTS(results)];
	guint i, n = w->requests->len;

	for (i = 0; i < n; i++) {
		wr = g_ptr_array_index(w->requests, (a + i) % n);
		if (!wr->running)
			continue;
		/* A target that sheds or refuses a request does not run it. */
		if (e != EXCHANGE_SHED && e != EXCHANGE_REFUSED)
			record_run(w, wr);
		/*
		 * The target goes on when its guard restarts, but the new
		 * incarnation does not learn of the result.
		 */
		if (wr->boot == w->guards[wr->guard].boot) {
			guard_done(w->guards[wr->guard].guard, &wr->req, e,
			    LATENCY_US, w->now);
			if (e == EXCHANGE_OK)
				w->guards[wr->guard]
				    .answered[w->calls[wr->call].id] = 1;
			answer_waiters(w, wr, outcome_by_exchange[e]);
		}
		walk_free_request(w, wr);
		return;
	}
}

/*
 * Restarts a guard: requests that wait are lost, those that run go on at the
 * target, and the new incarnation remembers no ids or answers.
 */
void
walk_restart_guard(struct walk_mesh *w, int guard)
{
	struct walk_guard *g = &w->guards[guard];
	struct walk_request *wr;
	guint i = 0;

	while (i < w->requests->len) {
		wr = g_ptr_array_index(w->requests, i);
		if (wr->guard == guard && !wr->running)
			walk_free_request(w, wr);
		else
			i++;
	}
	guard_free(g->guard);
	g->guard = guard_new(TARGET_SLOTS, walk_wall_ms(w),
	    (uint64_t)++w->boots << ORIGIN_SHIFT);
	g->boot = w->boots;
	memset(g->answered, 0, sizeof(g->answered));
}
