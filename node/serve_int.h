/* Inside the guard's side: requests held, answers kept, replies to entries. */
#ifndef SERVE_INT_H
#define SERVE_INT_H

#include "serve.h"

#define WAITERS_MAX 4 /* for one request: the first and resends of it */

/* Somebody who waits for a request's outcome. */
struct waiter {
	struct link_route route; /* the answer's way */
	uint64_t call;		 /* number the entry gave it */
};

/* One request that the guard holds. */
struct served {
	struct guard_request req;
	struct waiter waiters[WAITERS_MAX];
	int nwaiters;
	struct exchange_job *job;
	struct trace trace;
	int64_t began_us;
	int64_t queued_us; /* when it left the queue */
	int running;	   /* 1: at the target */
	int answered;	   /* 1: its deadline passed while it ran */
};

/* An answer kept for those who ask again under the same id. */
struct kept {
	char id[GUARD_ID_MAX + 1];
	GBytes *packed; /* a Wire__Answer */
	int64_t until;
};

#define KEPT_BYTES_MAX (4 * 1024 * 1024) /* of all answers kept */
#define KEPT_ANSWER    (64 * 1024)	 /* bytes of one that is kept */
#define KEPT_SHORT_MS  5000		 /* for requests that may be repeated */

struct kept_store {
	GHashTable *answers; /* id to struct kept, owned */
	GQueue *order;	     /* of struct kept, oldest first */
	size_t bytes;
	int64_t keep_ms;
};

struct guard_side {
	struct guard *guard; /* NULL: no target of the set is on this VM */
	char target[MESH_NAME_MAX + 1]; /* beside this node, by the set */
	struct target_pool *pool;
	GPtrArray *held;	     /* of struct served, owned */
	GPtrArray *peers;	     /* names of the service's targets, owned */
	GArray *told;		     /* of struct told, owned */
	int64_t ask_at;		     /* the other guards of the service */
	guint asks;		     /* so far */
	struct kept_store kept_once; /* of requests that run once */
	struct kept_store kept_short; /* of others, whose id was made here */
};

/* ---- suspect.c ---- */

void suspect_init(struct node *);
void suspect_destroy(struct node *);
/* A request of this fingerprint broke at the target. */
void suspect_broken(struct node *, uint64_t fingerprint);
/* Tells and asks again what is due. */
void suspect_tick(struct node *, int64_t now);

/* ---- kept.c ---- */

void kept_init(struct kept_store *, int64_t keep_ms);
void kept_destroy(struct kept_store *);
/* Keeps an answer, if it is small enough. */
void kept_add(
    struct kept_store *, const char *id, const Wire__Answer *, int64_t now);
/* The answer kept under an id, owned by the caller, or NULL. */
Wire__Answer *kept_find(const struct kept_store *, const char *id);
/* Drops what is past its time or over the bound. */
void kept_expire(struct kept_store *, int64_t now);

/* ---- served.c ---- */

/* The request that an entry knows by a number; id NULL matches any. */
struct served *served_find(
    struct node *n, const char *id, const struct link_route *r, uint64_t call);
/* The request held under an id that runs once. */
struct served *served_by_id(struct node *n, const char *id);
/* Releases a request. */
void served_free(gpointer p);
/* Lets somebody wait for a held request; 0 when too many do. */
int served_wait(struct served *s, const struct link_route *r, uint64_t call);

/* ---- reply.c ---- */

/* Tells an entry that its request is held. */
void reply_ack(struct node *n, const struct link_route *r, uint64_t call);
/* Sends an answer its way. */
void reply_answer(
    struct node *n, const struct link_route *r, uint64_t call, Wire__Answer *a);
/* Sends an outcome without an answer of the target. */
void reply_outcome(struct node *n, const struct link_route *r, uint64_t call,
    enum call_outcome out, const struct crashes *);
/* Gives all who wait the same answer. */
void reply_all(struct node *n, struct served *s, Wire__Answer *a);
/* Gives all who wait an outcome without an answer. */
void reply_all_outcome(struct node *n, struct served *s, enum call_outcome out);
/* Sends the answer kept under an id; 0 when there is none. */
int reply_kept(struct node *n, const struct kept_store *from,
    const struct link_route *r, uint64_t call, const char *id);

#endif
