/* Shared by the walk and its steps. */
#ifndef WALK_INT_H
#define WALK_INT_H

#include "../mesh/call.h"
#include "../mesh/names.h"
#include "replay.h"

/* What a step does. */
enum step_kind {
	STEP_CALL,
	STEP_RESEND,
	STEP_DELIVER,
	STEP_DELIVER_LAST,
	STEP_DROP,
	STEP_NEXT,
	STEP_DONE,
	STEP_TIME,
	STEP_RESTART,
	STEP_OUT,
	STEP_DEAD,
	STEP_KINDS
};

/* ---- the world that a walk goes through ---- */

#define GUARDS	     3
#define SLOTS	     4
#define CALLS_MAX    256
#define FLIGHT_MAX   512
#define RUNNING_MAX  64
#define WALL_BASE    10000000
#define DEADLINE_MS  2000
#define ORIGIN_SHIFT 32	 /* a guard counts its crashes below its boot */
#define BROKEN_MAX   160 /* bytes of a report */

enum message_kind {
	MESSAGE_FORWARD,
	MESSAGE_FENCE,
	MESSAGE_ACK,
	MESSAGE_OUTCOME
};

/* A call at its entry. */
struct walk_call {
	struct call call;
	int id;	       /* index of the first call with this id */
	int guard;     /* it was last sent to */
	uint64_t boot; /* incarnation it was sent to */
	int over;
	int denied; /* its caller was told "not run" */
};

/* A message under way. */
struct message {
	enum message_kind kind;
	int call, guard;
	uint64_t boot;
	enum call_outcome outcome;
	int sending;		   /* of the call, that this is about */
	char id[GUARD_ID_MAX + 1]; /* of a forward or a fence */
};

/* A request held by a guard. */
struct walk_held {
	struct guard_request req;
	int guard;
	uint64_t boot;
	int call; /* whose message brought it */
	int waiters[CALLS_MAX], sendings[CALLS_MAX], nwaiters;
	int running;
};

struct walk_guard {
	struct guard *guard;
	uint64_t boot;
	uint8_t answered[CALLS_MAX]; /* ids with an answer kept */
};

struct world {
	int64_t now;
	struct walk_guard guards[GUARDS];
	uint64_t believed[GUARDS]; /* incarnations, as entries know them */
	struct walk_call calls[CALLS_MAX];
	int ncalls;
	int runs[CALLS_MAX]; /* by id */
	struct message flight[FLIGHT_MAX];
	int nflight;
	GPtrArray *held; /* of struct walk_held */
	struct budget budget;
	uint64_t boots;
	int about; /* sending that a guard speaks of */
	char broken[BROKEN_MAX];
};

extern const char *const walk_targets[GUARDS];

/* Wall time; all clocks agree here. */
int64_t walk_wall(const struct world *w);
/* Puts a message on its way. */
void walk_post(struct world *w, enum message_kind kind, int call, int guard,
    uint64_t boot, enum call_outcome out);
/* A request reaches a guard. */
void walk_forward(struct world *w, const struct message *m);
/* A question reaches a guard. */
void walk_fence(struct world *w, const struct message *m);
/* A request is no longer held. */
void walk_release(struct world *w, struct walk_held *h);
/* A guard gives out its next request. */
void walk_next(struct world *w, int guard);
/* A target ends one of its requests, one way or another. */
void walk_done(struct world *w, uint32_t a, uint32_t b);
/* A guard's process dies and starts again: what it knew is gone. */
void walk_restart(struct world *w, int guard);

#endif
