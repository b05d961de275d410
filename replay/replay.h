/*
 * Replays traces through the decision code of mesh/: feeds it the recorded
 * events and compares each decision with the one that the trace expects.  A
 * trace is a file of JSON lines; see teaselstep-trace(5).
 */
#ifndef REPLAY_H
#define REPLAY_H

#include "../base/base.h"
#include "../mesh/poison.h"

/* Errors of this package. */
enum replay_err {
	REPLAY_OK = 0,
	REPLAY_EREAD = -701,	/* a trace cannot be read */
	REPLAY_EFORMAT = -702,	/* no trace, or an unknown or invalid event */
	REPLAY_EDIFFERS = -703, /* a decision differs from the expected one */
};

#define REPLAY_DECISION_MAX 128 /* bytes of a decision's text, with the NUL */

/* A module of the decision code that a trace can replay. */
struct replay_module {
	const char *name;
	/* Creates the state from the trace's first line. */
	void *(*state_new)(const struct json *head);
	/*
	 * Applies one event and writes the decision, if the event leads to
	 * one, to a buffer of REPLAY_DECISION_MAX bytes.  Returns
	 * REPLAY_EFORMAT when the event is unknown or invalid.
	 */
	int (*apply_event)(
	    void *state, const struct json *line, char *decision);
	/* Frees the state. */
	void (*state_free)(void *state);
};

/*
 * Adds the crashes that a trace line lists: "crash_ids" holds ids in
 * hexadecimal, separated by spaces; "crashes" is a count N and stands for the
 * ids 1 to N.
 */
void replay_read_crashes(const struct json *, struct crashes *);

extern const struct replay_module replay_guard;
extern const struct replay_module replay_call;
extern const struct replay_module replay_version;

/*
 * Replays one trace.  Appends a line to out for each error and for each
 * decision that differs; adds the number of events to *events and that of
 * compared decisions to *checked.  Returns an enum replay_err.
 */
int replay_file(const char *path, GString *out, int *events, int *checked);

/* ---- random walk ---- */

/*
 * One step of a walk.  The numbers a and b select a call, message, guard,
 * result or duration, reduced modulo what exists when the step is run.
 */
struct walk_step {
	int kind; /* enum step_kind */
	uint32_t a, b;
};

/*
 * Runs n steps over simulated callers, entries, guards and targets, and checks
 * the invariants after each step.  Returns NULL when they hold, otherwise a
 * description of the first violation, which the caller frees.
 */
char *walk_run(const struct walk_step *, int n);
/* Generates n steps from a seed; a seed always gives the same steps. */
void walk_generate(uint32_t seed, struct walk_step *, int n);
/*
 * Removes steps in place that the failure does not need; returns the number
 * that remain.
 */
int walk_shrink(struct walk_step *, int n);
/* Appends the steps as text, one per line. */
void walk_print(const struct walk_step *, int n, GString *out);

#endif
