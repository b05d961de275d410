/*
 * Random walk over callers, two entries, three guards and their targets,
 * through the decision code that runs.  Messages arrive late, crossed or not
 * at all; guards restart and forget; callers send again under the same id.
 * After every step: nothing ran twice, and "not run" was true.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "../mesh/names.h"
#include "walk_int.h"

#define GUARDS	    3
#define SLOTS	    4
#define CALLS_MAX   256
#define FLIGHT_MAX  512
#define RUNNING_MAX 64
#define WALL_BASE   10000000
#define DEADLINE_MS 2000
#define BROKEN_MAX  160 /* bytes of a report */

enum message_kind {
	MESSAGE_FORWARD,
	MESSAGE_FENCE,
	MESSAGE_ACK,
	MESSAGE_OUTCOME
};

/* A call at its entry. */
struct walk_call {
	struct call call;
	int id;	       /* index of the first call with this id */
	int guard;     /* it was last sent to */
	uint64_t boot; /* incarnation it was sent to */
	int over;
	int denied; /* its caller was told "not run" */
};

/* A message under way. */
struct message {
	enum message_kind kind;
	int call, guard;
	uint64_t boot;
	enum call_outcome outcome;
	int sending;		   /* of the call, that this is about */
	char id[GUARD_ID_MAX + 1]; /* of a forward or a fence */
};

/* A request held by a guard. */
struct walk_held {
	struct guard_request req;
	int guard;
	uint64_t boot;
	int call; /* whose message brought it */
	int waiters[CALLS_MAX], sendings[CALLS_MAX], nwaiters;
	int running;
};

struct walk_guard {
	struct guard *guard;
	uint64_t boot;
	uint8_t answered[CALLS_MAX]; /* ids with an answer kept */
};

struct world {
	int64_t now;
	struct walk_guard guards[GUARDS];
	uint64_t believed[GUARDS]; /* incarnations, as entries know them */
	struct walk_call calls[CALLS_MAX];
	int ncalls;
	int runs[CALLS_MAX]; /* by id */
	struct message flight[FLIGHT_MAX];
	int nflight;
	GPtrArray *held; /* of struct walk_held */
	struct budget budget;
	uint64_t boots;
	int about; /* sending that a guard speaks of */
	char broken[BROKEN_MAX];
};

static const char *const target_names[GUARDS] = { "t0", "t1", "t2" };

static int64_t wall(const struct world *);
static void
post(struct world *, enum message_kind, int, int, uint64_t, enum call_outcome);
static void act(struct world *, int, enum call_action);
static void send_call(struct world *, int, int);
static void mint(struct world *, int);
static void refused(struct world *, int);
static void new_call(struct world *, int, int);
static void deliver(struct world *, int);
static void answer(struct world *, const struct message *, enum guard_verdict);
static void on_forward(struct world *, const struct message *);
static void on_fence(struct world *, const struct message *);
static void on_duplicate(struct world *, const struct message *);
static struct walk_held *find_held(struct world *, int, const char *);
static void tell_all(struct world *, struct walk_held *, enum call_outcome);
static void release(struct world *, struct walk_held *);
static void ran(struct world *, const struct walk_held *);
static void do_next(struct world *, int);
static void do_done(struct world *, uint32_t, uint32_t);
static void do_time(struct world *, int64_t);
static void do_restart(struct world *, int);
static void do_dead(struct world *, int);
static void do_step(struct world *, const struct walk_step *);

/* Wall time; all clocks agree here. */
static int64_t
wall(const struct world *w)
{
	return WALL_BASE + w->now;
}

/* Puts a message on its way. */
static void
post(struct world *w, enum message_kind kind, int call, int guard,
    uint64_t boot, enum call_outcome out)
{
	if (w->nflight == FLIGHT_MAX)
		return;
	w->flight[w->nflight++] = (struct message){ .kind = kind,
		.call = call,
		.guard = guard,
		.boot = boot,
		.outcome = out,
		.sending = kind == MESSAGE_FORWARD || kind == MESSAGE_FENCE
			       ? w->calls[call].call.tries
			       : w->about };
	g_strlcpy(w->flight[w->nflight - 1].id, w->calls[call].call.id,
	    GUARD_ID_MAX + 1);
}

/* A refusal ends a call; "not run" must be true now. */
static void
refused(struct world *w, int c)
{
	struct walk_call *k = &w->calls[c];

	k->over = 1;
	if (!call_not_run(&k->call))
		return;
	k->denied = 1;
	if (w->runs[k->id] > 0)
		g_snprintf(w->broken, BROKEN_MAX,
		    "call %d was told not_run (%s), but id %d ran", c,
		    outcomes[k->call.last].code, k->id);
}

/* Does what was decided over a call. */
static void
act(struct world *w, int c, enum call_action a)
{
	struct walk_call *k = &w->calls[c];

	switch (a) {
	case CALL_SEND:
		send_call(w, c, 0);
		break;
	case CALL_SEND_SAME:
		send_call(w, c, 1);
		break;
	case CALL_ASK_SAME:
	case CALL_ASK:
		post(w, MESSAGE_FENCE, c, k->guard, k->boot, OUTCOME_ANSWERED);
		break;
	case CALL_PASS:
		k->over = 1;
		break;
	case CALL_REFUSE:
		refused(w, c);
		break;
	case CALL_WAIT:
		break;
	}
}

/* Sends a call to its next home, or to the same. */
static void
send_call(struct world *w, int c, int same)
{
	struct walk_call *k = &w->calls[c];
	int home;

	if (!same && k->call.minted) {
		/* As an entry does: any target, under an id made for it. */
		k->guard = (c + k->call.tries) % GUARDS;
		mint(w, c);
	} else if (!same) {
		home =
		    home_at(k->call.id, target_names, GUARDS, k->call.walked);
		if (home < 0) {
			act(w, c,
			    call_nobody(&k->call, OUTCOME_NO_TARGET, w->now));
			return;
		}
		k->guard = home;
	}
	k->boot = w->believed[k->guard];
	call_sent(&k->call, w->now);
	post(w, MESSAGE_FORWARD, c, k->guard, k->boot, OUTCOME_ANSWERED);
}

/* Makes the id of a sending, with the guard that was chosen as its home. */
static void
mint(struct world *w, int c)
{
	unsigned char random[REQID_RANDOM] = { 0 };
	struct walk_call *k = &w->calls[c];

	memcpy(random, &c, sizeof(c));
	random[sizeof(c)] = (unsigned char)k->call.tries;
	reqid_make(k->call.id, k->call.born_wall_ms,
	    pick_tag(target_names[k->guard]), random);
}

/* A caller calls: anew, or again under the id of an earlier call. */
static void
new_call(struct world *w, int again, int minted)
{
	unsigned char random[REQID_RANDOM] = { 0 };
	struct walk_call *k;
	int c = w->ncalls;

	if (c == CALLS_MAX)
		return;
	w->ncalls++;
	k = &w->calls[c];
	memset(k, 0, sizeof(*k));
	k->call.once = 1;
	k->call.minted = minted;
	k->call.deadline = w->now + DEADLINE_MS;
	k->call.born_wall_ms = wall(w);
	k->id = c;
	if (again >= 0) {
		k->id = w->calls[again].id;
		k->call.born_wall_ms = w->calls[k->id].call.born_wall_ms;
		memcpy(k->call.id, w->calls[k->id].call.id, sizeof(k->call.id));
	} else if (!minted) {
		memcpy(random, &c, sizeof(c));
		reqid_make(k->call.id, wall(w), (uint16_t)(c * 7919), random);
	}
	act(w, c, call_start(&k->call, w->now));
}

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
		post(w, MESSAGE_ACK, m->call, m->guard, g->boot,
		    OUTCOME_ANSWERED);
	} else {
		post(w, MESSAGE_OUTCOME, m->call, m->guard, g->boot,
		    g->answered[id] ? OUTCOME_ANSWERED : OUTCOME_UNKNOWN);
	}
}

/* What entries are told of a verdict. */
static enum call_outcome
outcome_of(enum guard_verdict v)
{
	static const enum call_outcome by_verdict[] = {
		[GUARD_BUSY] = OUTCOME_BUSY,
		[GUARD_OUT] = OUTCOME_OUT,
		[GUARD_LATE] = OUTCOME_LATE,
		[GUARD_FENCED] = OUTCOME_FENCED,
		[GUARD_POISON] = OUTCOME_POISON,
		[GUARD_UNKNOWN] = OUTCOME_UNKNOWN,
	};

	return by_verdict[v];
}

/* Tells an entry at once what its guard said. */
static void
answer(struct world *w, const struct message *m, enum guard_verdict v)
{
	if (v == GUARD_DUPLICATE)
		on_duplicate(w, m);
	else
		post(w, MESSAGE_OUTCOME, m->call, m->guard,
		    w->guards[m->guard].boot, outcome_of(v));
}

/* A request reaches a guard. */
static void
on_forward(struct world *w, const struct message *m)
{
	struct walk_guard *g = &w->guards[m->guard];
	struct walk_call *k = &w->calls[m->call];
	struct walk_held *h;
	enum guard_verdict v;

	if (m->boot != g->boot) {
		post(w, MESSAGE_OUTCOME, m->call, m->guard, g->boot,
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
	v = guard_admit(g->guard, &h->req, w->now, wall(w));
	if (v == GUARD_QUEUE) {
		g_ptr_array_add(w->held, h);
		post(w, MESSAGE_ACK, m->call, m->guard, g->boot,
		    OUTCOME_ANSWERED);
		return;
	}
	g_free(h);
	answer(w, m, v);
}

/* A question reaches a guard. */
static void
on_fence(struct world *w, const struct message *m)
{
	struct walk_guard *g = &w->guards[m->guard];
	struct walk_call *k = &w->calls[m->call];
	enum guard_verdict v;

	if (m->boot != g->boot) {
		post(w, MESSAGE_OUTCOME, m->call, m->guard, g->boot,
		    OUTCOME_UNKNOWN);
		return;
	}
	v = guard_fence(g->guard, m->id, k->call.minted, k->call.born_wall_ms,
	    w->now, wall(w));
	answer(w, m, v);
}

/* Delivers a message; answers to calls that are over are late. */
static void
deliver(struct world *w, int i)
{
	struct message m = w->flight[i];
	struct walk_call *k = &w->calls[m.call];

	w->flight[i] = w->flight[--w->nflight];
	w->about = m.sending;
	if (m.kind == MESSAGE_FORWARD) {
		on_forward(w, &m);
		return;
	}
	if (m.kind == MESSAGE_FENCE) {
		on_fence(w, &m);
		return;
	}
	/* What is said of an earlier sending is dropped as well. */
	if (k->over || m.sending != k->call.tries)
		return;
	if (m.kind == MESSAGE_ACK) {
		call_acked(&k->call, w->now);
		return;
	}
	w->believed[m.guard] = MAX(w->believed[m.guard], m.boot);
	act(w, m.call, call_outcome(&k->call, m.outcome, &w->budget, w->now));
}

/* Everybody who waits for a request is told. */
static void
tell_all(struct world *w, struct walk_held *h, enum call_outcome out)
{
	int i;

	for (i = 0; i < h->nwaiters; i++) {
		w->about = h->sendings[i];
		post(w, MESSAGE_OUTCOME, h->waiters[i], h->guard, h->boot, out);
	}
	h->nwaiters = 0;
}

/* A request is no longer held. */
static void
release(struct world *w, struct walk_held *h)
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
static void
do_next(struct world *w, int guard)
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
	tell_all(w, h, outcome_of(v));
	release(w, h);
}

/* A target ends one of its requests, one way or another. */
static void
do_done(struct world *w, uint32_t a, uint32_t b)
{
	static const enum exchange results[] = { EXCHANGE_OK, EXCHANGE_OK,
		EXCHANGE_OK, EXCHANGE_OK, EXCHANGE_OK, EXCHANGE_SHED,
		EXCHANGE_REFUSED, EXCHANGE_SLOW, EXCHANGE_BROKEN };
	static const enum call_outcome outs[] = {
		[EXCHANGE_OK] = OUTCOME_ANSWERED,
		[EXCHANGE_SHED] = OUTCOME_SHED,
		[EXCHANGE_SLOW] = OUTCOME_EXPIRED,
		[EXCHANGE_REFUSED] = OUTCOME_REFUSED,
		[EXCHANGE_BROKEN] = OUTCOME_BROKEN,
	};
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
			tell_all(w, h, outs[e]);
		}
		release(w, h);
		return;
	}
}

/* Time passes, and calls whose time has come decide. */
static void
do_time(struct world *w, int64_t ms)
{
	struct walk_call *k;
	int i;

	w->now += ms;
	for (i = 0; i < w->ncalls; i++) {
		k = &w->calls[i];
		if (!k->over && k->call.wake <= w->now)
			act(w, i, call_timer(&k->call, &w->budget, w->now));
	}
}

/* A guard's process dies and starts again: what it knew is gone. */
static void
do_restart(struct world *w, int guard)
{
	struct walk_guard *g = &w->guards[guard];
	struct walk_held *h;
	guint i = 0;

	while (i < w->held->len) {
		h = g_ptr_array_index(w->held, i);
		if (h->guard == guard && !h->running)
			release(w, h);
		else
			i++;
	}
	guard_free(g->guard);
	g->guard = guard_new(SLOTS, wall(w));
	g->boot = ++w->boots;
	memset(g->answered, 0, sizeof(g->answered));
}

/* Entries hold a guard dead, rightly or not. */
static void
do_dead(struct world *w, int guard)
{
	int i;

	for (i = 0; i < w->ncalls; i++)
		if (!w->calls[i].over && w->calls[i].guard == guard)
			act(w, i,
			    call_guard_dead(
				&w->calls[i].call, &w->budget, w->now));
}

/* One step. */
static void
do_step(struct world *w, const struct walk_step *s)
{
	int c;

	switch (s->kind) {
	case STEP_CALL:
		new_call(w, -1, s->a % 2 == 0);
		break;
	case STEP_RESEND:
		if (w->ncalls == 0)
			break;
		c = (int)(s->a % (uint32_t)w->ncalls);
		/* Callers know an id that is their own, or was told them. */
		if (!w->calls[c].call.minted || w->calls[c].over)
			new_call(w, c, 0);
		break;
	case STEP_DELIVER:
		if (w->nflight > 0)
			deliver(w, (int)(s->a % (uint32_t)w->nflight));
		break;
	case STEP_DELIVER_LAST:
		if (w->nflight > 0)
			deliver(w, w->nflight - 1);
		break;
	case STEP_DROP:
		if (w->nflight == 0)
			break;
		c = (int)(s->a % (uint32_t)w->nflight);
		w->flight[c] = w->flight[--w->nflight];
		break;
	case STEP_NEXT:
		do_next(w, (int)(s->a % GUARDS));
		break;
	case STEP_DONE:
		do_done(w, s->a, s->b);
		break;
	case STEP_TIME:
		do_time(w, s->a % 300);
		break;
	case STEP_RESTART:
		do_restart(w, (int)(s->a % GUARDS));
		break;
	case STEP_OUT:
		guard_set_out(w->guards[s->a % GUARDS].guard, s->b % 2 == 0);
		break;
	case STEP_DEAD:
		do_dead(w, (int)(s->a % GUARDS));
		break;
	}
}

/* Walks. */
char *
walk_run(const struct walk_step *s, int n)
{
	struct world *w = g_new0(struct world, 1);
	char *broken = NULL;
	int i;

	w->held = g_ptr_array_new();
	budget_init(&w->budget);
	for (i = 0; i < GUARDS; i++) {
		w->guards[i].guard = guard_new(SLOTS, wall(w));
		w->guards[i].boot = w->believed[i] = ++w->boots;
	}
	w->now += 2 * GUARD_SKEW_MS;
	for (i = 0; i < n && w->broken[0] == '\0'; i++)
		do_step(w, &s[i]);
	if (w->broken[0] != '\0')
		broken = g_strdup_printf("step %d: %s", i, w->broken);
	for (i = 0; i < GUARDS; i++)
		guard_free(w->guards[i].guard);
	while (w->held->len > 0)
		release(w, g_ptr_array_index(w->held, 0));
	g_ptr_array_free(w->held, TRUE);
	g_free(w);
	return broken;
}
