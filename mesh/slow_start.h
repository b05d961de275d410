/*
 * Slow start of a target that has just started or recovered: limits how many
 * of its slots are used until its answers show that it can take more.  Also
 * detects a target that has become slow without a notice, by its own earlier
 * run times.  Does no I/O and reads no clock: now is the current monotonic time
 * in ms.
 */
#ifndef SLOW_START_H
#define SLOW_START_H

#include "../base/base.h"

#define SLOW_START_KINDS 32 /* kinds of requests with a reference */

/* Why a slow start began. */
enum slow_start_reason {
	SLOW_START_BOOT,     /* another target, or the same one cold again */
	SLOW_START_EJECTION, /* the end of its ejection */
	SLOW_START_SLOWNESS, /* its run times have risen for long */
	SLOW_START_REASONS
};

/* What the calling layer does after slow_start_record. */
enum slow_start_event {
	SLOW_START_NONE,
	SLOW_START_CHECK, /* check the status: the target may be cold */
	SLOW_START_BEGAN, /* run times have risen: the limit is set */
	SLOW_START_DOWN,  /* the limit was lowered */
	SLOW_START_ENDED, /* all slots may be used again */
};

/* The end of a run at the target. */
struct slow_start_run {
	uint32_t kind;
	int work_us; /* run time of a served request, or -1 if not known */
	int failed;  /* refused by the target, or broken */
	int is_cold; /* the target says that it is warming up */
	int running; /* requests that the target ran, with this one */
	int slots;   /* that the target has */
};

/*
 * Run times of one kind.  Only the lowest of each batch is used, as the run
 * time of a request contains the calls that it makes to other services.
 */
struct slow_start_kind {
	uint32_t kind;
	int n;		  /* answers in the current batch */
	int lowest_us;	  /* in the current batch */
	int64_t began_at; /* start of the current batch */
	int batches;	  /* that the reference is made of */
	double usual;	 /* reference: mean logarithm of the lowest run times */
	double variance; /* of that logarithm */
	uint64_t last_use; /* by the count of uses */
};

struct slow_start {
	int active;
	enum slow_start_reason reason;
	double limit;	  /* slots in use */
	double threshold; /* from here on the limit rises by one a round */
	int64_t began_at, ended_at;
	int good_full;	 /* good answers in a row with all slots allowed */
	int since_down;	 /* answers since the limit was last lowered */
	int may_grow;	 /* the last batch was no slower than usual */
	int last_ratio;	 /* run time of the last batch, percent of the usual */
	double evidence; /* logarithm of the likelihood that it is slow */
	int64_t slow_since; /* since the evidence was last 0 */
	int64_t checked_at; /* of the last SLOW_START_CHECK */
	int64_t not_before; /* of the next SLOW_START_BEGAN */
	struct slow_start_kind kinds[SLOW_START_KINDS];
	int nkinds;
	uint64_t uses; /* counts uses of the kinds */
};

/* Names in logs, by enum slow_start_reason. */
extern const char *const slow_start_reasons[];

/* Starts without a limit and without references. */
void slow_start_init(struct slow_start *);
/* Drops the references, as another target is at the address. */
void slow_start_forget(struct slow_start *);
/* Begins a slow start of a target that has this many slots. */
void slow_start_begin(
    struct slow_start *, enum slow_start_reason, int slots, int64_t now);
/* Records the end of a run. */
enum slow_start_event slow_start_record(
    struct slow_start *, const struct slow_start_run *, int64_t now);
/* Number of the target's slots that may be used now, at least 1. */
int slow_start_slots(const struct slow_start *, int slots, int64_t now);

#endif
