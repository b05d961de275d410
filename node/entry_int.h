/* Shared by the files of the entry: request parsing, target choice, sending. */
#ifndef ENTRY_INT_H
#define ENTRY_INT_H

#include "config.h"
#include "entry.h"

#define DEADLINE_HEADER "X-Deadline-Ms"
#define ID_HEADER	"X-Request-Id"
#define TRACE_HEADER	"traceparent"

/* A caller's request, from its acceptance to the reply. */
struct entry_call {
	struct call call; /* retry and timeout state; see mesh/call.h */
	uint64_t number;  /* key in struct entry's table of calls */
	struct server_request *req;
	char route[MESH_NAME_MAX + 1];
	char service[MESH_NAME_MAX + 1];
	int priority;	      /* enum set_priority */
	uint64_t fingerprint; /* hash of method, path and body */
	struct trace_context trace;
	char target[MESH_NAME_MAX + 1]; /* of the last attempt */
	char vm[MESH_NAME_MAX + 1];	/* of that target */
	uint64_t guard_boot;	 /* incarnation that the last attempt was for */
	int64_t began_us;	 /* monotonic */
	int64_t caller_check_at; /* ms; next check for a disconnected caller */
};

/* A target's reported load, and this entry's attempts at it. */
struct target_state {
	int load;	     /* percent, as last reported by its guard */
	int inflight;	     /* attempts of this entry without an outcome */
	int64_t avoid_until; /* monotonic ms; others are preferred until then */
};

struct entry {
	GHashTable *calls;	   /* number to struct entry_call, owned */
	GHashTable *target_states; /* name to struct target_state, owned */
	struct budget budget;
	uint64_t next_number;
	int inflight; /* atomic: accepted calls without a reply */
	int leaving;  /* atomic; 1: new calls are refused */
};

/* ---- choose.c ---- */

/* State of a target, owned by the entry; added on first use. */
struct target_state *entry_target_state(struct node *, const char *target);
/*
 * Chooses the target of the next attempt, and generates the id if the call has
 * none.  Returns the target's handle; MESH_ENOTFOUND when there is no target,
 * MESH_EREFUSED when the home of a caller's id cannot be queried.
 */
int entry_choose(struct node *, struct entry_call *, const struct set *);

/* ---- send.c ---- */

/*
 * Number of a call's current attempt on the wire.  Each attempt has its own,
 * so that a late message about an earlier one is not taken for the current one.
 */
uint64_t send_attempt_number(const struct entry_call *);
/* The call whose current attempt has this number, or NULL. */
struct entry_call *send_find_call(struct node *, uint64_t number);
/*
 * Forwards a call to its last target (same_target) or to one chosen now.
 * Returns CALL_WAIT, or the next action if the request could not be sent.
 */
enum call_action send_call(struct node *, struct entry_call *, int same_target);
/*
 * Queries the guard about a call.  new_link opens a new connection first, for
 * a guard that did not answer over the current one.
 */
void send_fence(struct node *, struct entry_call *, int new_link);
/* Cancels a call at the guard: its caller no longer waits. */
void send_cancel(struct node *, struct entry_call *);
/* Subtracts the current attempt from its target's count in flight. */
void send_end_attempt(struct node *, struct entry_call *);

#endif
