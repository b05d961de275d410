/*
 * State machine of a call at its entry, the node that received it from the
 * caller.  Decides when to send the request to a guard, when to fence it, when
 * to retry, when to give up, and whether the refusal may state that the request
 * did not run.
 *
 * To fence a request is to send its id to the guard that may have received it.
 * A guard that has seen the id replies with its outcome; one that has not
 * records the id and never runs it.  Either way the entry learns what happened
 * without sending the request twice.
 *
 * All times are monotonic ms except where wall time is mentioned.
 */
#ifndef CALL_H
#define CALL_H

#include "mesh.h"

/*
 * A guard's reply to a request or a fence, or the entry's own reason for a
 * refusal.  The numbers are sent on the wire.
 */
enum call_outcome {
	OUTCOME_ANSWERED,    /* the target answered */
	OUTCOME_BUSY,	     /* no slot would be free before the deadline */
	OUTCOME_OUT,	     /* the guard is leaving or its target is out */
	OUTCOME_STALE,	     /* the entry holds an older set */
	OUTCOME_BEHIND,	     /* the guard holds an older set */
	OUTCOME_RESTARTED,   /* the guard restarted since the entry chose it */
	OUTCOME_LATE,	     /* the deadline passed before it ran */
	OUTCOME_FENCED,	     /* not seen before the fence; it never will run */
	OUTCOME_POISON,	     /* quarantined, since it crashed targets */
	OUTCOME_SHED,	     /* the target refused it because of load */
	OUTCOME_REFUSED,     /* the target refuses connections */
	OUTCOME_DUPLICATE,   /* the guard has received the id before */
	OUTCOME_UNKNOWN,     /* it may have run */
	OUTCOME_BROKEN,	     /* the target's connection broke while it ran */
	OUTCOME_EXPIRED,     /* the deadline passed while it ran */
	OUTCOME_UNDELIVERED, /* the link to the guard did not accept it */
	OUTCOME_TOO_LARGE,   /* the target's answer exceeds the size limit */
	/* set by the entry itself */
	OUTCOME_NO_ROUTE,
	OUTCOME_FORBIDDEN,
	OUTCOME_BAD_REQUEST,
	OUTCOME_BODY_TOO_LARGE,
	OUTCOME_TOO_MANY,  /* too many calls in flight at this entry */
	OUTCOME_NOT_READY, /* no set accepted yet */
	OUTCOME_LEAVING,   /* this entry is shutting down */
	OUTCOME_NO_TARGET, /* no usable target */
	OUTCOME_GIVEN_UP,  /* all retries are used up */
	OUTCOME_CANCELLED, /* the caller disconnected */
	OUTCOME_COUNT
};

/* Constant properties of an outcome. */
struct outcome_info {
	const char *code; /* stable identifier, part of refusals */
	int status;	  /* HTTP status of a refusal */
	int not_run;	  /* 1: the request did not run and never will */
	int recorded;	  /* 1: the guard refuses the id from now on */
	int free_retry;	  /* 1: a retry does not use the retry budget */
	int final;	  /* 1: a retry by the entry is pointless */
	int repeat;	  /* 1: the caller may repeat it later */
};

extern const struct outcome_info outcomes[OUTCOME_COUNT];
/* Outcome that a guard reports for its verdict, or for a failed exchange. */
extern const enum call_outcome outcome_by_verdict[];
extern const enum call_outcome outcome_by_exchange[];

#define CALL_ACK_TIMEOUT_MS  100 /* until a silent guard is sent a fence */
#define CALL_FENCE_MS	     250 /* between two fences without a reply */
#define CALL_POLL_MS	     1000 /* between two checks of an acknowledged call */
#define CALL_TRIES_MAX	     6	  /* times that one call is sent at most */
#define CALL_LEFT_FENCES_MAX 4	  /* unanswered by a guard that is leaving */
#define CALL_PAUSE_MS	     20	  /* back-off at one guard; doubles per try */

enum call_state {
	CALL_NEW,
	CALL_SENT,
	CALL_ACKED,   /* the guard has acknowledged the request */
	CALL_FENCING, /* a fence was sent and not answered yet */
	CALL_PAUSED   /* waits before it is sent to the same guard again */
};

struct call {
	char id[GUARD_ID_MAX + 1];
	int once;   /* 1: may run at most once */
	int minted; /* 1: this entry generated the id; no other node uses it */
	int64_t born_wall_ms; /* wall time at which the id was generated */
	int64_t deadline;
	enum call_state state;
	int tries;	   /* times it was sent */
	int fences;	   /* sent since the guard's last reply */
	int link_replaced; /* 1: the connection was lost since the last send */
	int homes_refused; /* homes of the id that have refused it */
	int64_t wake;	   /* when call_timer is due */
	enum call_outcome last;	  /* of the last attempt */
	int retry_after_ms;	  /* as reported by the guard, for the caller */
	struct crashes crashes;	  /* crashes of targets under its fingerprint */
	int may_have_run;	  /* 1: an attempt of this call may have run */
	int earlier_may_have_run; /* 1: an earlier call of this id may have */
};

/* What the entry has to do after an event. */
enum call_action {
	CALL_WAIT,	 /* nothing until call->wake or the next event */
	CALL_SEND,	 /* choose a target and send the request to its guard */
	CALL_SEND_SAME,	 /* send the request to the same target's guard again */
	CALL_FENCE_SAME, /* send a fence on the existing connection */
	CALL_FENCE,	 /* send a fence on a new connection */
	CALL_PASS,	 /* return the answer to the caller */
	CALL_REFUSE,	 /* refuse with call->last */
};

/* Whether a refusal of this call may state that the request did not run. */
int call_not_run(const struct call *);
/* Initialises the state of a call whose id and deadline are set. */
enum call_action call_start(struct call *, int64_t now);
/* Records that the request was handed to the link. */
void call_sent(struct call *, int64_t now);
/* Handles an attempt that could not be made, for the reason given. */
enum call_action call_not_sent(struct call *, enum call_outcome, int64_t now);
/* Handles the guard's acknowledgement of the request. */
void call_acked(struct call *, int64_t now);
/*
 * Handles the outcome of the request or of a fence.  A retry that counts as
 * load is taken from the budget; a success adds to it.
 */
enum call_action
call_outcome(struct call *, enum call_outcome, struct budget *, int64_t now);
/* Handles the timer that is due at call->wake. */
enum call_action call_timer(struct call *, struct budget *, int64_t now);
/*
 * Handles the loss of the connection to the guard, on which an answer may have
 * been lost as well: call->wake becomes due so that the guard is queried.
 */
void call_link_lost(struct call *, int64_t now);
/*
 * Whether to stop waiting for a guard that is dead, or for one that has
 * announced its departure and leaves fences unanswered.  A guard that departs
 * first finishes the requests that it holds, so departure alone is no reason.
 */
int call_should_abandon(const struct call *, int dead, int left);
/* Handles the death of the guard, from which no answer will come any more. */
enum call_action call_guard_dead(struct call *, struct budget *, int64_t now);

#endif
