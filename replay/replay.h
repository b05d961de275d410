/*
 * Replay of traces through the decision code that runs: events in, decisions
 * out, compared with those stated.  A trace is a file of JSON lines; see
 * teaselstep-trace(5).
 */
#ifndef REPLAY_H
#define REPLAY_H

#include "../base/base.h"
#include "../mesh/poison.h"

/* Errors of this package. */
enum replay_err {
	REPLAY_OK = 0,
	REPLAY_EREAD = -701,	/* a trace cannot be read */
	REPLAY_EFORMAT = -702,	/* a line that makes no sense */
	REPLAY_EDIFFERS = -703, /* a decision is not the one stated */
};

#define REPLAY_DECISION_MAX 128 /* bytes of a decision's text */

/* One kind of state that a trace drives. */
struct replay_module {
	const char *name;
	/* Makes the state from the trace's first line. */
	void *(*begin)(const struct json *head);
	/*
	 * Does one event and writes the decision; REPLAY_EFORMAT when there
	 * is no such event.
	 */
	int (*event)(void *state, const struct json *line, char *decision);
	void (*end)(void *state);
};

/*
 * Adds the crashes that a line tells: "crash_ids" in hexadecimal, or a number
 * under "crashes", for which their ids are 1, 2 and so on.
 */
void replay_crashes(const struct json *, struct crashes *);

extern const struct replay_module replay_guard;
extern const struct replay_module replay_call;
extern const struct replay_module replay_version;

/*
 * Replays one trace.  What differs is appended to out, a line each, with the
 * number of lines in *events and of stated decisions in *checked.
 */
int replay_file(const char *path, GString *out, int *events, int *checked);

/* ---- random walk ---- */

/* One step of a walk; what it means depends on the state it meets. */
struct walk_step {
	int kind;
	uint32_t a, b;
};

/*
 * Walks at random from a seed over callers, entries, guards and targets, and
 * checks the promises after every step.  NULL when they hold, otherwise what
 * broke, owned by the caller.
 */
char *walk_run(const struct walk_step *, int n);
/* Makes the steps of a seed. */
void walk_make(uint32_t seed, struct walk_step *, int n);
/* Shrinks failing steps; returns how many are left. */
int walk_shrink(struct walk_step *, int n);
/* Appends steps as text. */
void walk_print(const struct walk_step *, int n, GString *out);

#endif
