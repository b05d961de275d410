/*
 * Calls and requests of callers.  Nothing on the wire tells a call, which a
 * target sends while it runs another request, from a caller's request.  But
 * calls come only from the entries beside one service, that of their parents,
 * while requests of callers come from entries beside all services.  A guard
 * learns from this which kinds are calls, and reports it with its answers;
 * entries remember what guards report.  Pure; tables are bounded.
 */
#ifndef CALL_KINDS_H
#define CALL_KINDS_H

#include <stdint.h>

#define CALL_KINDS_MAX 256 /* further kinds are taken for callers' requests */
/*
 * Requests in a row from one service's entries that make a kind a call.  A
 * kind of callers of whose requests nine in ten come from one service reaches
 * it once in 68 times.  Each service that interrupts the row doubles the
 * length, up to CALL_ROW_MAX, so that such kinds are not taken for calls again
 * and again.
 */
#define CALL_ROW     40
#define CALL_ROW_MAX 40960
/*
 * Entries of another service must have sent one of the last so many requests
 * of any kind: otherwise nothing distinguishes calls at this guard.
 */
#define CALL_OTHERS_RECENT 1000

/* What a guard has seen of a kind. */
struct call_kind {
	uint32_t kind;
	uint32_t caller; /* hash of the service whose entries sent the row */
	int row;	 /* requests in it */
	int needed;	 /* row that makes it a call */
};

/* What a guard knows of all kinds. */
struct call_kinds {
	struct call_kind kinds[CALL_KINDS_MAX];
	int n;
	int64_t requests; /* so far */
	/* The two services that sent requests last, and when by that count. */
	uint32_t callers[2];
	int64_t seen[2]; /* 0: never */
};

/* Counts a request of a kind that came from an entry beside the caller. */
void call_kinds_learn(struct call_kinds *, uint32_t kind, const char *caller);
/* Whether the kind is a call. */
int call_kinds_is_call(const struct call_kinds *, uint32_t kind);
/* Forgets all kinds except these. */
void call_kinds_retain(struct call_kinds *, const uint32_t *kinds, int n);

/* An entry's record of what guards reported of a kind. */
struct call_report {
	uint32_t kind;
	int score; /* 0 to CALL_SCORE_MAX */
};

#define CALL_SCORE_MAX 256

/*
 * What an entry knows of all kinds.  Guards may differ: one that was just
 * started knows no calls.  So the majority of the last reports decides.
 */
struct call_reports {
	struct call_report kinds[CALL_KINDS_MAX];
	int n;
};

/* Adds a guard's report on a kind. */
void call_reports_add(struct call_reports *, uint32_t kind, int is_call);
/* Whether the kind is taken for a call. */
int call_reports_is_call(const struct call_reports *, uint32_t kind);
/* Forgets all kinds except these. */
void call_reports_retain(struct call_reports *, const uint32_t *kinds, int n);

#endif
