/*
 * Admission control for the link of a VM: limits what its target's answers to
 * other nodes commit of the link, so that an admitted answer arrives by its
 * goal.  Does no I/O and reads no clock: now is the current monotonic time in
 * ms.  The rate and what waits for the link are read from the egress scheduler.
 */
#ifndef LINK_ADMIT_H
#define LINK_ADMIT_H

#include "egress.h"

#define LINK_ADMIT_KINDS 64 /* kinds of requests with their own estimates */
/* A longer answer is bulk on the link; as ANSWER_BUFFER_MAX of the proxy. */
#define LINK_ADMIT_SHORT_MAX (32 * 1024)

/* Answer sizes in bytes, headers included: exponential averages. */
struct link_size {
	double mean, var;
	int samples;
};

/* A kind of requests, and its admitted jobs that have no answer yet. */
struct link_kind {
	uint32_t kind;
	struct link_size size;
	int open;
	int trials;  /* of them, admitted although their size was not known */
	int commits; /* commitments that refer to it, answered or not */
	uint64_t last_use; /* by the count of uses */
};

enum link_commit_state {
	LINK_COMMIT_NONE, /* not admitted, or settled */
	LINK_COMMIT_OPEN, /* no answer yet: its kind's mean is expected */
	LINK_COMMIT_BEGUN /* a long answer arrives from the target */
};

/* What one job commits; zero at first.  The job's owner keeps it in place. */
struct link_commit {
	enum link_commit_state state;
	int kind;	 /* index in the kinds */
	int trial;	 /* admitted although its size was not known */
	int urgent;	 /* sent before others, see urgent_until */
	int measured;	 /* its size was recorded */
	int64_t arrived; /* bytes that came from the target */
	int64_t left;	 /* bytes still to come that count, once it has begun */
	int64_t goal;	 /* ms */
};

/* A job offered for admission.  Times are monotonic ms. */
struct link_request {
	uint32_t kind;
	int priority;	  /* 0 is the most urgent */
	int is_call;	  /* of a target, which holds a slot while it waits */
	int64_t ready;	  /* when its answer is expected from the target */
	int64_t goal;	  /* latency goal: an answer by then is worth most */
	int64_t deadline; /* an answer after it is worthless */
};

struct link_admit {
	struct link_kind kinds[LINK_ADMIT_KINDS];
	int nkinds;
	uint64_t uses;	       /* counts uses of the kinds */
	struct link_size size; /* over all kinds */
	int64_t begun;	       /* bytes to come of answers that have begun */
	int open;	       /* commitments that are not settled */
	int lowest_priority;   /* greatest priority number offered so far */
	double rate;	       /* bytes a second, at the last admission */
	double busy_until;     /* when the link has sent what is committed */
	double urgent_until;   /* the same for urgent answers alone */
	int64_t last_ready;    /* when the last answer is expected */
};

/* No estimates and no commitments; nothing needs to be released. */
void link_admit_init(struct link_admit *);
/*
 * Returns 0 if the link can bring the answer in time, or else the ms after
 * which it would be admitted, at least 1.  Commits nothing.
 */
int link_admit_check(struct link_admit *, const struct egress *,
    const struct link_request *, int64_t now);
/* Commits the answer of a job that is admitted. */
void link_admit_commit(struct link_admit *, const struct egress *,
    const struct link_request *, struct link_commit *, int64_t now);
/*
 * A long answer begins, with head bytes of headers; length is that of its body,
 * or below 0.  Its commitment becomes its own size.
 */
void link_admit_begin(struct link_admit *, struct link_commit *, size_t head,
    int64_t length, int64_t now);
/* Bytes of a long answer have arrived, and wait in the scheduler. */
void link_admit_arrived(struct link_admit *, struct link_commit *, size_t);
/*
 * Ends a commitment; without one it does nothing.  size is that of a short
 * answer, 0 for a long one that is complete, or below 0 if the job ended
 * without a complete answer.
 */
void link_admit_settle(struct link_admit *, struct link_commit *, int64_t size);
/*
 * Ms until an answer of a kind that was ready now could leave: 0 without a
 * rate.
 */
int link_admit_wait_ms(const struct link_admit *, const struct egress *,
    uint32_t kind, int64_t now);
/* Ms from now until a job's answer has been sent, its run included. */
int64_t link_admit_finish_ms(const struct link_admit *, const struct egress *,
    uint32_t kind, int64_t ready, int64_t now);
/* Bytes that admitted jobs are expected to send and that have not arrived. */
int64_t link_admit_committed(const struct link_admit *);
/* Expected answer size of a kind. */
int64_t link_admit_size(const struct link_admit *, uint32_t kind);

#endif
