/*
 * Admission to the target beside a node: how many requests it runs at a time,
 * who waits, in which order, and who is refused at once.  No I/O and no clock
 * of its own.
 */
#ifndef ADMIT_H
#define ADMIT_H

#include "../base/base.h"

#define ADMIT_KINDS 64 /* kinds of requests with estimates of their own */

/* One request as admission sees it. */
struct admit_request {
	void *cookie;	  /* of the layer above */
	uint32_t kind;	  /* requests of one kind take similar work */
	int priority;	  /* 0 goes first */
	int64_t arrived;  /* ms */
	int64_t goal;	  /* an answer by then is worth most */
	int64_t deadline; /* an answer after it is worth nothing */
};

struct admit_kind {
	uint32_t kind;
	int work_us; /* at the target, smoothed */
	int samples;
	double failing; /* share that ended with a failure lately */
};

#define ADMIT_STARTS \
	256 /* remembered; more than a cold target bears a second */

struct admit {
	int slots; /* requests that the target runs at a time */
	int running;
	GArray *waiting; /* of struct admit_request, in order of turn */
	struct admit_kind kinds[ADMIT_KINDS];
	int nkinds;
	int mean_us;	  /* of all kinds, smoothed */
	int least_urgent; /* greatest priority that was offered */
	/* a cold target bears few requests a second */
	int64_t cold_until;
	int cold_per_s;
	int64_t starts[ADMIT_STARTS]; /* ring of the last starts */
	int nstarts;
};

enum admit_verdict {
	ADMIT_WAIT, /* it is held; admit_next gives it out */
	ADMIT_BUSY, /* refused: it would come too late */
	ADMIT_LATE, /* refused: its time is over */
};

void admit_init(struct admit *);
void admit_clear(struct admit *);
/* The target takes so many at a time. */
void admit_set_slots(struct admit *, int slots);
/* The target is cold until then and bears per_s requests a second. */
void admit_set_cold(struct admit *, int64_t until, int per_s);
/* Counts starts that another process may have made until now. */
void admit_assume_starts(struct admit *, int n, int64_t now);
/* Offers a request, which is copied when it is held. */
enum admit_verdict
admit_offer(struct admit *, const struct admit_request *, int64_t now);
/*
 * Gives out a waiting request: 1 to run it now; -1 to refuse it as it cannot
 * be served any more; 0 when none is due.
 */
int admit_next(struct admit *, struct admit_request *, int64_t now);
/* When admit_next may give out another, or 0 when only a return can tell. */
int64_t admit_wake(const struct admit *, int64_t now);
/* Takes one back by its cookie before it has run; 0 when it does not wait. */
int admit_cancel(struct admit *, const void *cookie);
/* One that ran came back; work_us below 0 says nothing of its work. */
void admit_done(struct admit *, uint32_t kind, int work_us);
/*
 * How the run of a kind ended.  One that mostly fails, as when the calls that
 * its runs make are refused, is given slots that nobody else wants.
 */
void admit_note(struct admit *, uint32_t kind, int failed);
/* ms until a request that comes now could start. */
int
admit_wait_ms(const struct admit *, uint32_t kind, int priority, int64_t now);
/* Estimated work of a kind, in ms. */
int admit_work_ms(const struct admit *, uint32_t kind);
/* Percent of the slots in use, with those who wait. */
int admit_load(const struct admit *, int64_t now);

#endif
