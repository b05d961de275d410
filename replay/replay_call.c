/* Replays an entry's decisions about one call. */
#include <string.h>

#include "../mesh/names.h"
#include "replay.h"

#define DEADLINE_DEFAULT_MS 2000

struct state {
	struct call call;
	struct budget budget;
};

static void *state_new(const struct json *);
static int apply_event(void *, const struct json *, char *);
static void state_free(void *);

const struct replay_module replay_call = { "call", state_new, apply_event,
	state_free };

/* Creates a call; the trace's times count from 0, in ms. */
static void *
state_new(const struct json *head)
{
	struct state *s;

	s = g_new0(struct state, 1);
	budget_init(&s->budget);
	s->budget.tokens = (int)json_int(head, "tokens", s->budget.tokens);
	s->call.once = (int)json_int(head, "once", 1);
	s->call.minted = (int)json_int(head, "minted", 1);
	s->call.deadline = json_int(head, "deadline", DEADLINE_DEFAULT_MS);
	return s;
}

/* Frees the call and its retry budget. */
static void
state_free(void *state)
{
	g_free(state);
}

/*
 * Applies one event.  The decision is the action; for a refusal also its code
 * and whether the caller may be told that the request has not run.
 */
static int
apply_event(void *state, const struct json *j, char *decision)
{
	struct state *s = state;
	const char *op = json_str(j, "do", "");
	int64_t at = json_int(j, "at", 0);
	enum call_action a = CALL_WAIT;
	int out;

	out = outcome_index(json_str(j, "outcome", "no_target"));
	if (out < 0)
		return REPLAY_EFORMAT;
	replay_read_crashes(j, &s->call.crashes);
	if (strcmp(op, "start") == 0)
		a = call_start(&s->call, at);
	else if (strcmp(op, "sent") == 0)
		call_sent(&s->call, at);
	else if (strcmp(op, "ack") == 0)
		call_acked(&s->call, at);
	else if (strcmp(op, "outcome") == 0)
		a = call_outcome(
		    &s->call, (enum call_outcome)out, &s->budget, at);
	else if (strcmp(op, "nobody") == 0)
		a = call_not_sent(&s->call, (enum call_outcome)out, at);
	else if (strcmp(op, "timer") == 0)
		a = call_timer(&s->call, &s->budget, at);
	else if (strcmp(op, "guard_dead") == 0)
		a = call_guard_dead(&s->call, &s->budget, at);
	else
		return REPLAY_EFORMAT;
	g_strlcpy(decision, call_action_names[a], REPLAY_DECISION_MAX);
	if (a == CALL_REFUSE) {
		g_strlcat(decision, " ", REPLAY_DECISION_MAX);
		g_strlcat(
		    decision, outcomes[s->call.last].code, REPLAY_DECISION_MAX);
		g_strlcat(decision,
		    call_not_run(&s->call) ? " not_run" : " unknown",
		    REPLAY_DECISION_MAX);
	}
	return REPLAY_OK;
}
