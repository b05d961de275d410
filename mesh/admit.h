/*
 * Admission control for the target beside a node: limits how many requests
 * the target runs at a time, queues others by urgency, and refuses those that
 * could not be answered in time.  Does no I/O and reads no clock: the current
 * monotonic time in ms is passed in as now.
 */
#ifndef ADMIT_H
#define ADMIT_H

#include "../base/base.h"

#define ADMIT_KINDS 64 /* kinds of requests with their own estimates */

/* A request offered for admission.  All times are monotonic ms. */
struct admit_request {
	void *cookie;  /* identifies the request for the calling layer */
	uint32_t kind; /* requests of one kind take a similar run time */
	int priority;  /* 0 is the most urgent */
	int is_call;   /* its parent holds a slot of another target */
	int64_t arrived;
	int64_t goal;	  /* latency goal: an answer by then is worth most */
	int64_t deadline; /* an answer after it is worthless */
};

/* Estimates for one kind of request. */
struct admit_kind {
	uint32_t kind;
	int work_us; /* run time at the target, exponential average */
	int samples;
	double failure_rate; /* share of failed runs, exponential average */
	int64_t used_us;     /* recent slot time of its runs */
	int reserved;	     /* its runs that were started from the reserve */
	uint64_t last_use;   /* of the entry, by the count of uses */
};

/* Start times kept, which is also the greatest rate of a cold target. */
#define ADMIT_STARTS_MAX 256

struct admit {
	int slots; /* requests that the target runs at a time */
	int running;
	GArray *waiting; /* of struct admit_request, first to run first */
	struct admit_kind kinds[ADMIT_KINDS];
	int nkinds;
	uint64_t uses; /* counts uses of the table's entries */
	/*
	 * Recent slot time of all runs, and of those from the reserve; and how
	 * many of the latter are running.  See admit_reserve.c.
	 */
	int64_t used_us, reserved_us;
	int reserved;
	int mean_us; /* run time over all kinds, exponential average */
	int slot_us; /* time that a run holds a slot, also without answer */
	int lowest_priority; /* greatest priority number offered so far */
	/* A target is cold, that is, warming up, for a time after its start. */
	int64_t cold_until; /* monotonic ms */
	int cold_per_s; /* requests per second that it sustains while cold */
	int64_t starts[ADMIT_STARTS_MAX]; /* ring of the last start times */
	int nstarts;
};

enum admit_verdict {
	ADMIT_WAIT, /* queued; admit_next returns it later */
	ADMIT_BUSY, /* refused: the expected answer would miss its goal */
	ADMIT_LATE, /* refused: too little time is left before its deadline */
};

/* Starts with one slot and no estimates; admit_clear releases the queue. */
void admit_init(struct admit *);
/* Frees the queue; the struct itself belongs to the caller. */
void admit_clear(struct admit *);
/* Sets how many requests the target runs at a time; at least 1. */
void admit_set_slots(struct admit *, int slots);
/* Limits starts to per_s in any second until the given time. */
void admit_set_cold(struct admit *, int64_t until, int per_s);
/*
 * Counts n starts at the time now, for requests that an earlier process of
 * this node may have sent to a cold target.
 */
void admit_assume_starts(struct admit *, int n, int64_t now);
/* Offers a request; copies it into the queue if the verdict is ADMIT_WAIT. */
enum admit_verdict
admit_offer(struct admit *, const struct admit_request *, int64_t now);
/*
 * Removes a request from the queue and copies it out.  Returns 1 if it is to
 * run now, -1 if it is to be refused since its deadline can no longer be met,
 * or 0 if no request is due.
 */
int admit_next(struct admit *, struct admit_request *, int64_t now);
/*
 * Returns the time at which admit_next may return a request even if no run
 * ends before, or 0 if only the end of a run can make one due.
 */
int64_t admit_next_at(const struct admit *, int64_t now);
/* Removes a queued request by its cookie; returns 0 if none was queued. */
int admit_cancel(struct admit *, const void *cookie);
/*
 * Frees the slot of a run that ended.  A work_us of 0 or more updates the
 * estimates; pass -1 if the run time does not represent the work.
 */
void admit_done(struct admit *, uint32_t kind, int work_us);
/* Frees the slot of a run that was given up without an answer. */
void admit_abandoned(struct admit *, uint32_t kind, int held_us);
/*
 * Records whether a run failed.  A kind that mostly fails, for instance since
 * the target's own calls to another service are refused, gets only slots that
 * no other kind needs.
 */
void admit_record(struct admit *, uint32_t kind, int failed);
/* Estimates the ms until a request that arrives now could start. */
int
admit_wait_ms(const struct admit *, uint32_t kind, int priority, int64_t now);
/* The same for a call, which waits behind calls only at its priority. */
int admit_call_wait_ms(
    const struct admit *, uint32_t kind, int priority, int64_t now);
/* Estimated run time of a kind, in ms. */
int admit_work_ms(const struct admit *, uint32_t kind);
/* Run time of a kind that was measured, in ms; 0 if it was not. */
int admit_measured_ms(const struct admit *, uint32_t kind);
/* Run times of a kind on which that estimate is based; 0: of other kinds. */
int admit_samples(const struct admit *, uint32_t kind);
/* Running and queued requests in percent of the usable slots, even over 100. */
int admit_load(const struct admit *, int64_t now);

#endif
