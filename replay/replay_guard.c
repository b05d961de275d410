/* Replays the decisions of a guard, the module that admits requests. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../mesh/names.h"
#include "replay.h"

#define ORIGIN_DEFAULT	    "1000" /* hexadecimal base of the crash ids */
#define SLOTS_DEFAULT	    12
#define WALL_DEFAULT_MS	    1000000
#define DEADLINE_DEFAULT_MS 2000 /* after the event */
#define LATENCY_DEFAULT_US  2000
/*
 * By default events come this long after the guard's start, so that its memory
 * of ids covers them.
 */
#define WALL_AHEAD_MS 60000

struct state {
	struct guard *guard;
	GHashTable *running; /* id to struct guard_request, owned */
	GHashTable *cookies; /* id to its own copy, owned, used as cookie */
	int64_t wall;	     /* wall clock at the trace's time 0, ms */
};

static void *state_new(const struct json *);
static int apply_event(void *, const struct json *, char *);
static void state_free(void *);
static void
read_request(const struct state *, const struct json *, struct guard_request *);
static uint64_t read_fingerprint(const struct json *);
static void *get_cookie(struct state *, const char *);
static void run_next(struct state *, int64_t, char *);
static int end_request(struct state *, const struct json *, int64_t);
static int cancel_request(struct state *, const char *);

const struct replay_module replay_guard = { "guard", state_new, apply_event,
	state_free };

/*
 * Creates a guard.  It begins with the low limit of a cold target unless the
 * trace gives a limit.
 */
static void *
state_new(const struct json *head)
{
	struct state *s;
	int limit = (int)json_int(head, "limit", 0);

	s = g_new0(struct state, 1);
	s->wall = json_int(head, "wall", WALL_DEFAULT_MS);
	s->guard =
	    guard_new((int)json_int(head, "slots", SLOTS_DEFAULT), s->wall,
		strtoull(json_str(head, "origin", ORIGIN_DEFAULT), NULL, 16));
	if (limit > 0)
		guard_limit(s->guard)->current = limit;
	s->cookies =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	s->running =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return s;
}

/* Frees the guard and the copies of its requests. */
static void
state_free(void *state)
{
	struct state *s = state;

	guard_free(s->guard);
	g_hash_table_destroy(s->running);
	g_hash_table_destroy(s->cookies);
	g_free(s);
}

/* Reads a fingerprint in hexadecimal; without one it is the hash of the id. */
static uint64_t
read_fingerprint(const struct json *j)
{
	const char *hex = json_str(j, "fingerprint", NULL);

	if (hex != NULL)
		return strtoull(hex, NULL, 16);
	return g_str_hash(json_str(j, "id", ""));
}

/* Reads a request; members that the line leaves out get usual values. */
static void
read_request(
    const struct state *s, const struct json *j, struct guard_request *r)
{
	int64_t at = json_int(j, "at", 0);

	memset(r, 0, sizeof(*r));
	g_strlcpy(r->id, json_str(j, "id", ""), sizeof(r->id));
	r->once = (int)json_int(j, "once", 1);
	r->fresh = (int)json_int(j, "fresh", 0);
	r->born_wall_ms = json_int(j, "born", s->wall + WALL_AHEAD_MS + at);
	r->deadline = json_int(j, "deadline", at + DEADLINE_DEFAULT_MS);
	r->priority = (int)json_int(j, "priority", PRIORITY_NORMAL);
	r->fingerprint = read_fingerprint(j);
	replay_read_crashes(j, &r->crashes);
}

/* Returns the cookie of an id, so that a cancel finds the request again. */
static void *
get_cookie(struct state *s, const char *id)
{
	char *copy;

	if ((copy = g_hash_table_lookup(s->cookies, id)) == NULL) {
		copy = g_strdup(id);
		g_hash_table_insert(s->cookies, copy, copy);
	}
	return copy;
}

/*
 * Dequeues the next request.  The decision is the verdict and the id; a request
 * to be run is kept until its "done".
 */
static void
run_next(struct state *s, int64_t at, char *decision)
{
	struct guard_request r, *copy;
	enum guard_verdict v;

	if (!guard_next(s->guard, &r, &v, at)) {
		g_strlcpy(decision, "none", REPLAY_DECISION_MAX);
		return;
	}
	snprintf(decision, REPLAY_DECISION_MAX, "%s %s", guard_verdict_names[v],
	    r.id);
	if (v != GUARD_RUN)
		return;
	copy = g_new(struct guard_request, 1);
	*copy = r;
	g_hash_table_replace(s->running, g_strdup(r.id), copy);
}

/* Reports the result of a running request; an unknown id is an error. */
static int
end_request(struct state *s, const struct json *j, int64_t at)
{
	struct guard_request *r;
	int e;

	r = g_hash_table_lookup(s->running, json_str(j, "id", ""));
	e = name_index(exchange_names, json_str(j, "result", "ok"));
	if (r == NULL || e < 0)
		return REPLAY_EFORMAT;
	guard_done(s->guard, r, (enum exchange)e,
	    json_int(j, "us", LATENCY_DEFAULT_US), at);
	g_hash_table_remove(s->running, r->id);
	return REPLAY_OK;
}

/* Cancels a request that waits; 0 when the guard holds none of this id. */
static int
cancel_request(struct state *s, const char *id)
{
	gpointer cookie = g_hash_table_lookup(s->cookies, id);

	return cookie != NULL && guard_cancel(s->guard, cookie);
}

/* Applies one event to the guard; times are in ms since the trace's start. */
static int
apply_event(void *state, const struct json *j, char *decision)
{
	struct state *s = state;
	struct crashes crashes;
	const char *op = json_str(j, "do", ""), *id = json_str(j, "id", "");
	int64_t at = json_int(j, "at", 0);
	int64_t wall = json_int(j, "wall", s->wall + WALL_AHEAD_MS + at);
	struct guard_request r;
	struct limit *l = guard_limit(s->guard);
	enum guard_verdict v;

	if (strcmp(op, "admit") == 0) {
		read_request(s, j, &r);
		r.cookie = get_cookie(s, id);
		v = guard_admit(s->guard, &r, at, wall);
		g_strlcpy(
		    decision, guard_verdict_names[v], REPLAY_DECISION_MAX);
	} else if (strcmp(op, "fence") == 0) {
		v = guard_fence(s->guard, id, (int)json_int(j, "fresh", 0),
		    json_int(j, "born", wall), at, wall);
		g_strlcpy(
		    decision, guard_verdict_names[v], REPLAY_DECISION_MAX);
	} else if (strcmp(op, "next") == 0) {
		run_next(s, at, decision);
	} else if (strcmp(op, "done") == 0) {
		return end_request(s, j, at);
	} else if (strcmp(op, "cancel") == 0) {
		g_strlcpy(decision, cancel_request(s, id) ? "yes" : "no",
		    REPLAY_DECISION_MAX);
	} else if (strcmp(op, "out") == 0) {
		guard_set_out(s->guard, (int)json_int(j, "value", 1));
	} else if (strcmp(op, "removed") == 0) {
		guard_target_removed(s->guard, json_str(j, "self", ""),
		    json_str(j, "target", ""), wall);
	} else if (strcmp(op, "forget") == 0) {
		guard_reset_ids(s->guard, wall);
	} else if (strcmp(op, "suspect") == 0) {
		crashes.n = 0;
		replay_read_crashes(j, &crashes);
		guard_add_crashes(s->guard, read_fingerprint(j), &crashes, at);
	} else if (strcmp(op, "release") == 0) {
		g_strlcpy(decision,
		    guard_release(s->guard, read_fingerprint(j)) ? "yes" : "no",
		    REPLAY_DECISION_MAX);
	} else if (strcmp(op, "slots") == 0) {
		limit_set_slots(l, (int)json_int(j, "value", SLOTS_DEFAULT));
	} else if (strcmp(op, "state") == 0) {
		snprintf(decision, REPLAY_DECISION_MAX,
		    "limit=%d running=%d waiting=%d", l->current,
		    guard_running(s->guard), guard_waiting(s->guard));
	} else {
		return REPLAY_EFORMAT;
	}
	return REPLAY_OK;
}
