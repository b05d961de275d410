/*
 * Health of the services that a target calls.  The node beside a target is the
 * guard of the requests that it runs (parents) and the entry of their calls.
 * While many calls fail, a parent that is started most likely ends with 500
 * after it ran.  So parents are admitted only at the rate at which their calls
 * are served, and otherwise refused as not run.  Pure: now is monotonic ms.
 */
#ifndef CALLEE_HEALTH_H
#define CALLEE_HEALTH_H

#include <stdint.h>

#define CALLEE_KINDS_MAX 64
#define CALLEE_SLICES	 10
#define CALLEE_SLICE_MS	 100 /* the window is 1 s */
/* With fewer ended calls in the window nothing is concluded from them. */
#define CALLEE_CALLS_MIN 4
/* Parents are limited while fewer than this share of their calls is served. */
#define CALLEE_SERVED_PERCENT 75
/* One parent in this time is admitted in any case, to learn of a recovery. */
#define CALLEE_TRIAL_MS 250

/* Runs of a kind that ended, and those of them that failed. */
struct callee_runs {
	int ended, failed;
};

/* What is known of a kind. */
struct callee_kind {
	uint32_t kind;
	struct callee_runs calm;     /* no call failed during the run */
	struct callee_runs troubled; /* some call of the target failed */
};

struct callee_health {
	int64_t slice; /* number of the newest */
	int served[CALLEE_SLICES], failed[CALLEE_SLICES]; /* calls */
	int started[CALLEE_SLICES];			  /* parents */
	int limited;					  /* calls fail */
	int usual;	       /* parents a second before that */
	int64_t limited_at;    /* last time at which they were limited */
	int64_t known_at;      /* when the first parent was admitted, or 0 */
	int64_t failed_at;     /* when a call failed last, or 0 */
	int64_t started_at;    /* when a parent was admitted last */
	int64_t repeatable_at; /* when a repeatable one was offered */
	double parents, calls; /* for the number of calls of each */
	struct callee_kind kinds[CALLEE_KINDS_MAX];
	int n;
};

/* Records the end of a call that the target sent. */
void callee_call_ended(struct callee_health *, int served, int64_t now);
/* Records the end of a run that began at the given time. */
void callee_run_ended(
    struct callee_health *, uint32_t kind, int failed, int64_t began);
/* Whether runs of the kind fail when calls of the target fail. */
int callee_is_parent(const struct callee_health *, uint32_t kind);
/* Whether a request may be admitted now. */
int callee_admits(
    struct callee_health *, uint32_t kind, int repeatable, int64_t now);
/* Records that a request was admitted. */
void callee_admitted(struct callee_health *, uint32_t kind, int64_t now);
/* Calls of the last second, and parents admitted in it. */
void callee_window(struct callee_health *, int64_t now, int *served,
    int *failed, int *started);
/* Forgets all kinds except these. */
void callee_retain(struct callee_health *, const uint32_t *kinds, int n);

#endif
