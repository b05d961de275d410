/*
 * Random walk over callers, two entries, three guards and their targets,
 * through the decision code that runs.  Messages arrive late, crossed or not
 * at all; guards restart and forget; callers send again under the same id.
 * After every step: nothing ran twice, and "not run" was true.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "walk_int.h"

const char *const walk_targets[GUARDS] = { "t0", "t1", "t2" };

static void refused(struct world *w, int c);
static void act(struct world *w, int c, enum call_action a);
static void send_call(struct world *w, int c, int same);
static void mint(struct world *w, int c);
static void new_call(struct world *w, int again, int minted);
static void deliver(struct world *w, int i);
static void do_time(struct world *w, int64_t ms);
static void do_dead(struct world *w, int guard);
static void do_step(struct world *w, const struct walk_step *s);

/* Wall time; all clocks agree here. */
int64_t
walk_wall(const struct world *w)
{
	return WALL_BASE + w->now;
}

/* Puts a message on its way. */
void
walk_post(struct world *w, enum message_kind kind, int call, int guard,
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
		walk_post(
		    w, MESSAGE_FENCE, c, k->guard, k->boot, OUTCOME_ANSWERED);
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
		    home_at(k->call.id, walk_targets, GUARDS, k->call.walked);
		if (home < 0) {
			act(w, c,
			    call_nobody(&k->call, OUTCOME_NO_TARGET, w->now));
			return;
		}
		k->guard = home;
	}
	k->boot = w->believed[k->guard];
	call_sent(&k->call, w->now);
	walk_post(w, MESSAGE_FORWARD, c, k->guard, k->boot, OUTCOME_ANSWERED);
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
	    pick_tag(walk_targets[k->guard]), random);
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
	k->call.born_wall_ms = walk_wall(w);
	k->id = c;
	if (again >= 0) {
		k->id = w->calls[again].id;
		k->call.born_wall_ms = w->calls[k->id].call.born_wall_ms;
		memcpy(k->call.id, w->calls[k->id].call.id, sizeof(k->call.id));
	} else if (!minted) {
		memcpy(random, &c, sizeof(c));
		reqid_make(
		    k->call.id, walk_wall(w), (uint16_t)(c * 7919), random);
	}
	act(w, c, call_start(&k->call, w->now));
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
		walk_forward(w, &m);
		return;
	}
	if (m.kind == MESSAGE_FENCE) {
		walk_fence(w, &m);
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
		walk_next(w, (int)(s->a % GUARDS));
		break;
	case STEP_DONE:
		walk_done(w, s->a, s->b);
		break;
	case STEP_TIME:
		do_time(w, s->a % 300);
		break;
	case STEP_RESTART:
		walk_restart(w, (int)(s->a % GUARDS));
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
		w->guards[i].boot = w->believed[i] = ++w->boots;
		w->guards[i].guard = guard_new(
		    SLOTS, walk_wall(w), (uint64_t)w->boots << ORIGIN_SHIFT);
	}
	w->now += 2 * GUARD_SKEW_MS;
	for (i = 0; i < n && w->broken[0] == '\0'; i++)
		do_step(w, &s[i]);
	if (w->broken[0] != '\0')
		broken = g_strdup_printf("step %d: %s", i, w->broken);
	for (i = 0; i < GUARDS; i++)
		guard_free(w->guards[i].guard);
	while (w->held->len > 0)
		walk_release(w, g_ptr_array_index(w->held, 0));
	g_ptr_array_free(w->held, TRUE);
	g_free(w);
	return broken;
}
