/* Shared by the files of the random walk: steps, simulated mesh, messages. */
#ifndef WALK_INT_H
#define WALK_INT_H

#include "../mesh/call.h"
#include "../mesh/names.h"
#include "replay.h"

/* What a step does. */
enum step_kind {
	STEP_CALL,	   /* a caller sends a new request */
	STEP_RESEND,	   /* a caller sends an earlier request again */
	STEP_DELIVER,	   /* any message in flight arrives */
	STEP_DELIVER_LAST, /* the message that was sent last arrives */
	STEP_DROP,	   /* a message is lost */
	STEP_NEXT,	   /* a guard dequeues its next request */
	STEP_DONE,	   /* a target ends a request */
	STEP_TIME,	   /* time passes */
	STEP_RESTART,	   /* a guard restarts and loses its state */
	STEP_OUT,	   /* a guard is taken out or brought back in */
	STEP_DEAD,	   /* the entries consider a guard dead */
	STEP_KINDS
};

/* ---- the simulated mesh ---- */

#define GUARD_COUNT   3
#define TARGET_SLOTS  4	  /* of each target */
#define CALLS_MAX     256 /* further calls are ignored */
#define IN_FLIGHT_MAX 512 /* messages in flight; further ones are lost */
#define RUNNING_MAX   64
#define WALL_BASE_MS  10000000 /* wall clock at the walk's time 0, ms */
#define DEADLINE_MS   2000
#define LATENCY_US    2000 /* reported for every request that ends */
#define STEP_TIME_MS  300  /* a time step advances the clock by less */
#define ORIGIN_SHIFT  32   /* crash ids: boot above, the guard's count below */
#define FAILURE_MAX   160  /* bytes of a description, with the NUL */

enum message_kind {
	MESSAGE_FORWARD,
	MESSAGE_FENCE,
	MESSAGE_ACK,
	MESSAGE_OUTCOME
};

/* A call at its entry. */
struct walk_call {
	struct call call;
	int id;		     /* index of the first call with this id */
	int guard;	     /* index of the guard it was last sent to */
	uint64_t boot;	     /* incarnation it was sent to */
	int finished;	     /* 1: answered or refused */
	int refused_not_run; /* 1: its caller may take it as not run */
};

/* A message in flight between an entry and a guard. */
struct message {
	enum message_kind kind;
	int call, guard; /* indices */
	uint64_t boot;	 /* incarnation it is sent to, or comes from */
	enum call_outcome outcome; /* of MESSAGE_OUTCOME */
	int attempt;		   /* number of the call's attempt, from 1 */
	char id[GUARD_ID_MAX + 1]; /* of a forward or a fence */
};

/*
 * A request that waits at a guard or runs at its target; it is the cookie of
 * its guard_request.
 */
struct walk_request {
	struct guard_request req;
	int guard;     /* index */
	uint64_t boot; /* incarnation of the guard that admitted it */
	int call;      /* call whose forward was admitted */
	/* Calls that get the outcome, and the attempt of each. */
	int waiters[CALLS_MAX], attempts[CALLS_MAX], nwaiters;
	int running;
};

/* A guard's current incarnation. */
struct walk_guard {
	struct guard *guard;
	uint64_t boot;
	uint8_t answered[CALLS_MAX]; /* 1: the answer of this id is cached */
};

/* The state of a walk: nodes, calls and messages. */
struct walk_mesh {
	int64_t now; /* monotonic clock, ms */
	struct walk_guard guards[GUARD_COUNT];
	/* Incarnations known to the entries. */
	uint64_t known_boots[GUARD_COUNT];
	struct walk_call calls[CALLS_MAX];
	int ncalls;
	int runs[CALLS_MAX]; /* times that a target ran an id */
	struct message messages[IN_FLIGHT_MAX];
	int nmessages;
	GPtrArray *requests; /* of struct walk_request, owned */
	struct budget budget;
	uint64_t boots;	   /* last incarnation that was assigned */
	int reply_attempt; /* attempt that the messages of a guard answer */
	char failure[FAILURE_MAX]; /* first violation, or empty */
};

extern const char *const walk_targets[GUARD_COUNT];

/* Returns the wall clock in ms; all nodes share one clock here. */
int64_t walk_wall_ms(const struct walk_mesh *w);
/* Sends a message; it stays in flight until a step delivers or drops it. */
void walk_send(struct walk_mesh *w, enum message_kind kind, int call, int guard,
    uint64_t boot, enum call_outcome out);
/* Delivers a forwarded request to a guard. */
void walk_receive_forward(struct walk_mesh *w, const struct message *m);
/* Delivers a fence, the query that also blocks the id, to a guard. */
void walk_receive_fence(struct walk_mesh *w, const struct message *m);
/* Removes a request from the simulated mesh and frees it. */
void walk_free_request(struct walk_mesh *w, struct walk_request *wr);
/* Lets a guard dequeue its next request and run or refuse it. */
void walk_run_next(struct walk_mesh *w, int guard);
/* Ends a running request: a selects the request, b the result. */
void walk_end_request(struct walk_mesh *w, uint32_t a, uint32_t b);
/* Restarts a guard as a new incarnation that has lost its state. */
void walk_restart_guard(struct walk_mesh *w, int guard);

#endif
