/*
 * Random walk over simulated callers, entries, three guards and their targets,
 * with the decision code of mesh/.  Messages are delayed, reordered and lost;
 * guards restart and lose their state; callers resend under the same id.
 * Invariants after every step: no id ran twice, and no call that was refused
 * as not run has run or runs later.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "walk_int.h"

const char *const walk_targets[GUARD_COUNT] = { "t0", "t1", "t2" };

static void finish_refused(struct walk_mesh *w, int c);
static void apply_action(struct walk_mesh *w, int c, enum call_action a);
static void send_call(struct walk_mesh *w, int c, int same);
static void make_attempt_id(struct walk_mesh *w, int c);
static void start_call(struct walk_mesh *w, int earlier, int minted);
static void deliver_message(struct walk_mesh *w, int i);
static void advance_time(struct walk_mesh *w, int64_t ms);
static void set_guard_dead(struct walk_mesh *w, int guard);
static void run_step(struct walk_mesh *w, const struct walk_step *s);

/* Returns the wall clock, ms; ids hold the time of their creation. */
int64_t
walk_wall_ms(const struct walk_mesh *w)
{
	return WALL_BASE_MS + w->now;
}

/*
 * Sends a message, which is lost when too many are in flight.  A request or
 * fence has the call's current attempt, a reply the attempt that it answers.
 */
void
walk_send(struct walk_mesh *w, enum message_kind kind, int call, int guard,
    uint64_t boot, enum call_outcome out)
{
	if (w->nmessages == IN_FLIGHT_MAX)
		return;
	w->messages[w->nmessages++] = (struct message){ .kind = kind,
		.call = call,
		.guard = guard,
		.boot = boot,
		.outcome = out,
		.attempt = kind == MESSAGE_FORWARD || kind == MESSAGE_FENCE
			       ? w->calls[call].call.tries
			       : w->reply_attempt };
	g_strlcpy(w->messages[w->nmessages - 1].id, w->calls[call].call.id,
	    GUARD_ID_MAX + 1);
}

/* Ends a call with a refusal; checks that one of "not run" has not run. */
static void
finish_refused(struct walk_mesh *w, int c)
{
	struct walk_call *wc = &w->calls[c];

	wc->finished = 1;
	if (!call_not_run(&wc->call))
		return;
	wc->refused_not_run = 1;
	if (w->runs[wc->id] > 0)
		g_snprintf(w->failure, FAILURE_MAX,
		    "call %d was refused as not_run (%s), but id %d ran", c,
		    outcomes[wc->call.last].code, wc->id);
}

/* Carries out the action that the decision code chose for a call. */
static void
apply_action(struct walk_mesh *w, int c, enum call_action a)
{
	struct walk_call *wc = &w->calls[c];

	switch (a) {
	case CALL_SEND:
		send_call(w, c, 0);
		break;
	case CALL_SEND_SAME:
		send_call(w, c, 1);
		break;
	case CALL_FENCE_SAME:
	case CALL_FENCE:
		walk_send(
		    w, MESSAGE_FENCE, c, wc->guard, wc->boot, OUTCOME_ANSWERED);
		break;
	case CALL_PASS:
		wc->finished = 1;
		break;
	case CALL_REFUSE:
		finish_refused(w, c);
		break;
	case CALL_WAIT:
		break;
	}
}

/*
 * Sends a call to the next of its homes (the guards that own its id, by
 * rendezvous hashing), or to the same guard again.
 */
static void
send_call(struct walk_mesh *w, int c, int same)
{
	struct walk_call *wc = &w->calls[c];
	int home;

	if (!same && wc->call.minted) {
		/*
		 * Like an entry: any target may be chosen, as the id is made
		 * so that the target is its home.
		 */
		wc->guard = (c + wc->call.tries) % GUARD_COUNT;
		make_attempt_id(w, c);
	} else if (!same) {
		home = pick_nth_home(wc->call.id, walk_targets, GUARD_COUNT,
		    wc->call.homes_refused);
		if (home < 0) {
			apply_action(w, c,
			    call_not_sent(
				&wc->call, OUTCOME_NO_TARGET, w->now));
			return;
		}
		wc->guard = home;
	}
	wc->boot = w->known_boots[wc->guard];
	call_sent(&wc->call, w->now);
	walk_send(w, MESSAGE_FORWARD, c, wc->guard, wc->boot, OUTCOME_ANSWERED);
}

/* Makes the id of an attempt, with the chosen guard as its home. */
static void
make_attempt_id(struct walk_mesh *w, int c)
{
	unsigned char random[REQID_RANDOM] = { 0 };
	struct walk_call *wc = &w->calls[c];

	memcpy(random, &c, sizeof(c));
	random[sizeof(c)] = (unsigned char)wc->call.tries;
	reqid_make(wc->call.id, wc->call.born_wall_ms,
	    pick_tag(walk_targets[wc->guard]), random);
}

/*
 * Starts a call: under the id of an earlier call (earlier, its index), or under
 * a new id (earlier is -1) that the entry makes (minted) or the caller.
 */
static void
start_call(struct walk_mesh *w, int earlier, int minted)
{
	unsigned char random[REQID_RANDOM] = { 0 };
	struct walk_call *wc;
	int c = w->ncalls;

	if (c == CALLS_MAX)
		return;
	w->ncalls++;
	wc = &w->calls[c];
	memset(wc, 0, sizeof(*wc));
	wc->call.once = 1;
	wc->call.minted = minted;
	wc->call.deadline = w->now + DEADLINE_MS;
	wc->call.born_wall_ms = walk_wall_ms(w);
	wc->id = c;
	if (earlier >= 0) {
		wc->id = w->calls[earlier].id;
		wc->call.born_wall_ms = w->calls[wc->id].call.born_wall_ms;
		memcpy(
		    wc->call.id, w->calls[wc->id].call.id, sizeof(wc->call.id));
	} else if (!minted) {
		memcpy(random, &c, sizeof(c));
		/* A tag of no target, as callers do not choose targets. */
		reqid_make(
		    wc->call.id, walk_wall_ms(w), (uint16_t)(c * 7919), random);
	}
	apply_action(w, c, call_start(&wc->call, w->now));
}

/* Delivers a message; a reply to a call that has ended is dropped. */
static void
deliver_message(struct walk_mesh *w, int i)
{
	struct message m = w->messages[i];
	struct walk_call *wc = &w->calls[m.call];

	w->messages[i] = w->messages[--w->nmessages];
	w->reply_attempt = m.attempt;
	if (m.kind == MESSAGE_FORWARD) {
		walk_receive_forward(w, &m);
		return;
	}
	if (m.kind == MESSAGE_FENCE) {
		walk_receive_fence(w, &m);
		return;
	}
	/* A reply to an earlier attempt is dropped as well. */
	if (wc->finished || m.attempt != wc->call.tries)
		return;
	if (m.kind == MESSAGE_ACK) {
		call_acked(&wc->call, w->now);
		return;
	}
	w->known_boots[m.guard] = MAX(w->known_boots[m.guard], m.boot);
	apply_action(
	    w, m.call, call_outcome(&wc->call, m.outcome, &w->budget, w->now));
}

/* Advances the clock and runs the timers of calls that are due. */
static void
advance_time(struct walk_mesh *w, int64_t ms)
{
	struct walk_call *wc;
	int i;

	w->now += ms;
	for (i = 0; i < w->ncalls; i++) {
		wc = &w->calls[i];
		if (!wc->finished && wc->call.wake <= w->now)
			apply_action(
			    w, i, call_timer(&wc->call, &w->budget, w->now));
	}
}

/* Makes the entries consider a guard dead, which may be wrong. */
static void
set_guard_dead(struct walk_mesh *w, int guard)
{
	int i;

	for (i = 0; i < w->ncalls; i++)
		if (!w->calls[i].finished && w->calls[i].guard == guard)
			apply_action(w, i,
			    call_guard_dead(
				&w->calls[i].call, &w->budget, w->now));
}

/* Runs one step; a step that does not apply to the state does nothing. */
static void
run_step(struct walk_mesh *w, const struct walk_step *s)
{
	int c;

	switch (s->kind) {
	case STEP_CALL:
		start_call(w, -1, s->a % 2 == 0);
		break;
	case STEP_RESEND:
		if (w->ncalls == 0)
			break;
		c = (int)(s->a % (uint32_t)w->ncalls);
		/*
		 * A caller knows its own ids, and those that the entry made
		 * only after the call has ended.
		 */
		if (!w->calls[c].call.minted || w->calls[c].finished)
			start_call(w, c, 0);
		break;
	case STEP_DELIVER:
		if (w->nmessages > 0)
			deliver_message(
			    w, (int)(s->a % (uint32_t)w->nmessages));
		break;
	case STEP_DELIVER_LAST:
		if (w->nmessages > 0)
			deliver_message(w, w->nmessages - 1);
		break;
	case STEP_DROP:
		if (w->nmessages == 0)
			break;
		c = (int)(s->a % (uint32_t)w->nmessages);
		w->messages[c] = w->messages[--w->nmessages];
		break;
	case STEP_NEXT:
		walk_run_next(w, (int)(s->a % GUARD_COUNT));
		break;
	case STEP_DONE:
		walk_end_request(w, s->a, s->b);
		break;
	case STEP_TIME:
		advance_time(w, s->a % STEP_TIME_MS);
		break;
	case STEP_RESTART:
		walk_restart_guard(w, (int)(s->a % GUARD_COUNT));
		break;
	case STEP_OUT:
		guard_set_out(
		    w->guards[s->a % GUARD_COUNT].guard, s->b % 2 == 0);
		break;
	case STEP_DEAD:
		set_guard_dead(w, (int)(s->a % GUARD_COUNT));
		break;
	}
}

/* Runs steps until the first violation; see replay.h. */
char *
walk_run(const struct walk_step *s, int n)
{
	struct walk_mesh *w = g_new0(struct walk_mesh, 1);
	char *failure = NULL;
	int i;

	w->requests = g_ptr_array_new();
	budget_init(&w->budget);
	for (i = 0; i < GUARD_COUNT; i++) {
		w->guards[i].boot = w->known_boots[i] = ++w->boots;
		w->guards[i].guard = guard_new(TARGET_SLOTS, walk_wall_ms(w),
		    (uint64_t)w->boots << ORIGIN_SHIFT);
	}
	/* The guards' memories cover ids that are created from here on. */
	w->now += 2 * GUARD_SKEW_MS;
	for (i = 0; i < n && w->failure[0] == '\0'; i++)
		run_step(w, &s[i]);
	if (w->failure[0] != '\0')
		failure = g_strdup_printf("step %d: %s", i, w->failure);
	for (i = 0; i < GUARD_COUNT; i++)
		guard_free(w->guards[i].guard);
	while (w->requests->len > 0)
		walk_free_request(w, g_ptr_array_index(w->requests, 0));
	g_ptr_array_free(w->requests, TRUE);
	g_free(w);
	return failure;
}
