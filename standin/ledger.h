/* Compares the answers that callers received with the requests targets ran. */
#ifndef LEDGER_H
#define LEDGER_H

#include "../base/base.h"

/* Result of one call, as its caller saw it. */
enum reply {
	REPLY_ANSWER,  /* a whole answer to its own request */
	REPLY_WRONG,   /* 2xx with a body that is not the expected one */
	REPLY_NOT_RUN, /* an error that states that the call did not run */
	REPLY_UNKNOWN, /* an error that does not */
	REPLY_NONE,    /* the connection failed or timed out */
	REPLY_COUNT
};

extern const char *const reply_names[REPLY_COUNT];

/* One call of a caller. */
struct call_record {
	char id[40];
	int at_most_once; /* it must not run twice */
	enum reply reply; /* of the last attempt */
	int64_t at_ms;	  /* start, since the run began */
	int64_t latency_us;
};

/* Executions, and contradictions between callers and targets. */
struct ledger_counts {
	int64_t runs;	       /* executions of all calls */
	int64_t doubled;       /* must run at most once, but ran more often */
	int64_t lost;	       /* answered, but never ran */
	int64_t false_not_run; /* reported as "not run", but ran */
};

/*
 * Reads the ledgers of the targets at the given control addresses, a list that
 * ends with NULL, and compares them with the calls, an array of struct
 * call_record.  Returns the number of ledgers that could not be read.
 */
int ledger_check(const GArray *calls, char **controls, struct ledger_counts *);

#endif
