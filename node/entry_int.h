/* Shared by the parts of the entry: intake, choice, calls. */
#ifndef ENTRY_INT_H
#define ENTRY_INT_H

#include "config.h"
#include "entry.h"

#define DEADLINE_HEADER "X-Deadline-Ms"
#define ID_HEADER	"X-Request-Id"
#define TRACE_HEADER	"traceparent"

struct entry_call {
	struct call call;
	uint64_t number;
	struct server_request *req;
	char route[MESH_NAME_MAX + 1];
	char service[MESH_NAME_MAX + 1];
	int priority;
	uint64_t fingerprint;
	struct trace trace;
	char target[MESH_NAME_MAX + 1]; /* it was last sent to */
	char vm[MESH_NAME_MAX + 1];	/* of that target */
	uint64_t guard_boot; /* incarnation of the guard it was sent to */
	int64_t began_us;
	int64_t look_at; /* when to look whether the caller is still there */
};

/* What an entry knows of a target. */
struct view {
	int load;     /* as last told */
	int inflight; /* sent from here, not answered */
	int64_t avoid_until;
};

struct entry {
	GHashTable *calls; /* number to struct entry_call */
	GHashTable *views; /* target to struct view, owned */
	struct budget budget;
	uint64_t next_number;
	int inflight; /* atomic: calls taken and not replied to */
	int leaving;  /* atomic */
};

/* ---- choose.c ---- */

/* What is known of a target; made on first use. */
struct view *entry_view(struct node *, const char *target);
/*
 * Chooses the target of the next sending, making the id of a call that needs
 * one.  MESH_ENOTFOUND when there is none, MESH_EREFUSED when the home of a
 * caller's id cannot be asked.
 */
int entry_choose(struct node *, struct entry_call *, const struct set *);

/* ---- send.c ---- */

/*
 * Number of a call's current sending on the wire.  What is said of an earlier
 * sending must not be taken for the current one.
 */
uint64_t send_number(const struct entry_call *);
/* The call whose current sending has a number, or NULL. */
struct entry_call *send_find(struct node *, uint64_t number);
/*
 * Sends a call to a target, chosen now unless it goes to the same; what comes
 * of a sending that cannot be made is decided in act.
 */
enum call_action send_call(struct node *, struct entry_call *, int same);
/* Asks the guard about a call, on a fresh connection if it was silent. */
void send_ask(struct node *, struct entry_call *, int fresh);
/* Tells the guard that nobody waits any more. */
void send_cancel(struct node *, struct entry_call *);
/* The call is no longer at the target it was sent to. */
void send_settle(struct node *, struct entry_call *);

#endif
