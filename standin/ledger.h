/* What callers were told, checked against what targets ran. */
#ifndef LEDGER_H
#define LEDGER_H

#include "../base/base.h"

/* What became of one call, as its caller saw it. */
enum told {
	TOLD_ANSWER, /* whole, and to its own request */
	TOLD_WRONG,  /* an answer to something else, or cut */
	TOLD_NOT_RUN,
	TOLD_UNKNOWN,
	TOLD_NOTHING, /* the connection broke or stayed silent */
	TOLD_COUNT
};

extern const char *const told_names[TOLD_COUNT];

/* One call as recorded. */
struct told_call {
	char id[40];
	int once;	/* 1: must run at most once */
	enum told told; /* the last word */
	int64_t at_ms;	/* since the run began */
	int64_t latency_us;
};

/* Contradictions between the two sides. */
struct verdict {
	int64_t runs;	       /* executions of all ids */
	int64_t doubled;       /* ran more than once, though it must not */
	int64_t lost;	       /* answered, though it never ran */
	int64_t false_not_run; /* "not run", though it ran */
};

/*
 * Reads the ledgers of the targets at the given control addresses and
 * compares.  The number of addresses that could not be read is returned.
 */
int ledger_check(const GArray *calls, char **controls, struct verdict *);

#endif
