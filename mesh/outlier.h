/*
 * A target that fails what it is given although slots are free: how many of its
 * slots are used, and when it is left alone.  Judged by what became of real
 * requests, as neither its entry nor its status check says so.  No I/O and no
 * clock of its own.
 */
#ifndef OUTLIER_H
#define OUTLIER_H

#include "../base/base.h"

/* What became of a request at the target. */
enum outlier_event {
	OUTLIER_SERVED,
	OUTLIER_SHED,	/* it says that it did not run it */
	OUTLIER_BROKEN, /* no whole answer */
	OUTLIER_EVENTS
};

struct outlier {
	double room;	/* slots that it is trusted with; 0: nothing is known */
	double shed;	/* share of what it was given lately and did not run */
	int failures;	/* in a row */
	int ejected;	/* nothing is given to it but trials */
	int64_t try_at; /* while it is ejected: the next trial */
	int pause_ms;	/* before the trial after that */
	int trying;	/* a trial is under way */
};

void outlier_init(struct outlier *);
/* Learns what became of a request; 1 when the target is ejected by it. */
int outlier_note(struct outlier *, enum outlier_event, int slots, int64_t now);
/* Nobody waits for a request any more, which says nothing of the target. */
void outlier_forget(struct outlier *);
/*
 * Whether a request may be given to the target now; one that may run once is no
 * trial unless none of another kind has come for a while.
 */
int outlier_admits(const struct outlier *, int repeatable, int64_t now);
/* A request is given to the target. */
void outlier_begin(struct outlier *);
/* How many of its slots are used. */
int outlier_slots(const struct outlier *, int slots);
/* Percent of what it is given that it sheds. */
int outlier_shed_percent(const struct outlier *);
/* ms until the next trial; 0 while it is not ejected. */
int outlier_wait_ms(const struct outlier *, int64_t now);

#endif
