/*
 * A call as its entry sees it: when to send it, to ask about it, to send it
 * again, to give up, and what to say then.
 */
#ifndef CALL_H
#define CALL_H

#include "mesh.h"

/* What a guard says of a request or a fence; also reasons of an entry. */
enum call_outcome {
	OUTCOME_ANSWERED,    /* the target's answer */
	OUTCOME_BUSY,	     /* no room before the deadline */
	OUTCOME_OUT,	     /* leaving or taken out */
	OUTCOME_STALE,	     /* the entry holds an older set */
	OUTCOME_BEHIND,	     /* the guard holds an older set */
	OUTCOME_RESTARTED,   /* the guard is not the incarnation meant */
	OUTCOME_LATE,	     /* the deadline passed before it ran */
	OUTCOME_FENCED,	     /* never seen, and now never to be run here */
	OUTCOME_POISON,	     /* it crashed targets before */
	OUTCOME_SHED,	     /* the target refused it for load */
	OUTCOME_REFUSED,     /* the target takes no connections */
	OUTCOME_DUPLICATE,   /* the id is held here */
	OUTCOME_UNKNOWN,     /* it may have run */
	OUTCOME_BROKEN,	     /* the target broke while it ran */
	OUTCOME_EXPIRED,     /* the deadline passed while it ran */
	OUTCOME_UNDELIVERED, /* the link took nothing */
	OUTCOME_TOO_LARGE,   /* the target's answer exceeds the bound */
	/* reasons of the entry itself */
	OUTCOME_NO_ROUTE,
	OUTCOME_FORBIDDEN,
	OUTCOME_BAD_REQUEST,
	OUTCOME_BODY_TOO_LARGE,
	OUTCOME_TOO_MANY,  /* calls in flight at this entry */
	OUTCOME_NOT_READY, /* no accepted set yet */
	OUTCOME_LEAVING,   /* this entry stops */
	OUTCOME_NO_TARGET, /* no target can take it */
	OUTCOME_GIVEN_UP,  /* tried, and no retry is left */
	OUTCOME_CANCELLED, /* the caller went away */
	OUTCOME_COUNT
};

/* Fixed facts of an outcome. */
struct outcome_info {
	const char *code; /* stable, in refusals */
	int status;	  /* HTTP status of a refusal */
	int not_run;	  /* 1: the request has not run and will not */
	int recorded;	  /* 1: the guard refuses the id from now on */
	int free_retry;	  /* 1: a retry does not count as load */
	int final;	  /* 1: no retry is of use */
	int repeat;	  /* 1: the caller may repeat it later */
};

extern const struct outcome_info outcomes[OUTCOME_COUNT];
/* What an entry is told of a guard's verdict, and of an exchange. */
extern const enum call_outcome outcome_by_verdict[];
extern const enum call_outcome outcome_by_exchange[];

#define CALL_ACK_MS    100  /* silence after which an entry asks */
#define CALL_ASK_MS    250  /* between two questions */
#define CALL_LOOK_MS   1000 /* an acknowledged call is asked about so often */
#define CALL_TRIES     6    /* sendings of one call */
#define CALL_LEFT_ASKS 4    /* questions that one who said goodbye may miss */
#define CALL_PAUSE_MS  20   /* before the same guard is tried again, doubling */

enum call_state {
	CALL_NEW,
	CALL_SENT,
	CALL_ACKED,
	CALL_ASKING,
	CALL_PAUSED
};

struct call {
	char id[GUARD_ID_MAX + 1];
	int once;   /* 1: may run at most once */
	int minted; /* 1: the id was made here and is known to nobody */
	int64_t born_wall_ms;
	int64_t deadline;
	enum call_state state;
	int tries;    /* sendings so far */
	int asks;     /* questions since the last sign of life */
	int relinked; /* 1: its connection was replaced since it was sent over
		       */
	int walked;   /* homes passed by, each with the id recorded */
	int64_t wake; /* when call_timer is due */
	enum call_outcome last; /* why it was not answered yet */
	int retry_after_ms;
	struct crashes crashes; /* of targets, under its fingerprint */
	int maybe_run;		/* 1: a sending of this call may have run */
	int unsure; /* 1: a call before, under the same id, may have run */
};

enum call_action {
	CALL_WAIT,	/* until call->wake or an event */
	CALL_SEND,	/* choose a target and send */
	CALL_SEND_SAME, /* send to the same target */
	CALL_ASK_SAME,	/* ask the guard on the connection there is */
	CALL_ASK,	/* ask the same guard on a fresh connection */
	CALL_PASS,	/* pass the answer to the caller */
	CALL_REFUSE,	/* refuse with call->last */
};

/* Whether a refusal of this call may say "not run". */
int call_not_run(const struct call *);
/* Begins a call; the caller of this function sends it. */
enum call_action call_start(struct call *, int64_t now);
/* It was handed to the link. */
void call_sent(struct call *, int64_t now);
/* No target could be chosen, or the link took nothing. */
enum call_action call_nobody(struct call *, enum call_outcome, int64_t now);
/* The guard has it. */
void call_acked(struct call *, int64_t now);
/* An outcome came, of the request or of a question. */
enum call_action
call_outcome(struct call *, enum call_outcome, struct budget *, int64_t now);
/* call->wake has come. */
enum call_action call_timer(struct call *, struct budget *, int64_t now);
/* The connection to the guard was given up: an answer may be lost with it. */
void call_link_lost(struct call *, int64_t now);
/*
 * Whether a call waits for a guard in vain: one held dead, or one that said
 * goodbye and, though it finishes what it holds, has not answered questions.
 */
int call_is_lost(const struct call *, int dead, int left);
/* The guard is held dead: no answer will come from it. */
enum call_action call_guard_dead(struct call *, struct budget *, int64_t now);

#endif
