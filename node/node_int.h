/*
 * Shared inside the package.  Everything in struct node belongs to the loop
 * thread, but for the mailbox, the configuration store, the reader and the
 * counter of calls, which have their own locks.  Lock order: the reader's,
 * then the store's; neither is held while a mailbox is posted to.
 */
#ifndef NODE_INT_H
#define NODE_INT_H

#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>

#include "../caller/caller.h"
#include "../mesh/call.h"
#include "../mesh/member.h"
#include "../source/source.h"
#include "../upstream/target.h"
#include "config.h"
#include "link.h"
#include "seal.h"

#define TICK_MS	     100  /* between two ticks of an idle node */
#define TICK_BUSY_MS 5	  /* and of one with calls under way */
#define PAUSE_MS     1000 /* a gap between ticks that means a pause */
#define REFRESH_MS   1000 /* after a pause, views are refreshed within */

/* ---- mailbox: how other threads reach the loop ---- */

enum event_kind {
	EVENT_CALL,	/* a caller's request: struct entry_call */
	EVENT_OPERATOR, /* an operator's request: struct server_request */
	EVENT_EXCHANGE, /* back from the target: struct exchange_job */
	EVENT_CONFIG,	/* the store decided over a version */
	EVENT_VMS,	/* a VM list was read: struct vm_list */
	EVENT_FIRST,	/* a first read of the platform has ended */
	EVENT_STOP,	/* stop gracefully */
};

struct event {
	enum event_kind kind;
	void *p;
};

struct mailbox {
	GAsyncQueue *queue; /* of struct event */
	int fd;		    /* readable when the queue is not empty */
};

void mailbox_init(struct mailbox *);
void mailbox_destroy(struct mailbox *);
/* Posts from any thread. */
void mailbox_post(struct mailbox *, enum event_kind, void *);
/* Takes the next event; 0 when there is none. */
int mailbox_take(struct mailbox *, struct event *);

/* A VM list on its way to the loop. */
struct vm_line {
	char name[MESH_NAME_MAX + 1];
	char dc[MESH_NAME_MAX + 1];
	char addr[ADDRESS_MAX];
	int leaving;
};

struct vm_list {
	uint64_t index;
	GArray *lines; /* of struct vm_line */
};

/* ---- spans ---- */

#define SPANS_MAX    2048 /* kept in a node */
#define TRACE_ID_LEN 32	  /* digits */
#define SPAN_ID_LEN  16

/* Where a hop stands in a trace (W3C Trace Context). */
struct trace {
	char trace_id[TRACE_ID_LEN + 1];
	char parent_id[SPAN_ID_LEN + 1]; /* empty at the root */
	char span_id[SPAN_ID_LEN + 1];
};

struct span {
	struct trace trace;
	const char *kind;	      /* "entry", "queue", "guard", "target" */
	char name[MESH_NAME_MAX + 1]; /* route or target */
	const char *outcome;
	int64_t start_wall_ms;
	int64_t duration_us;
};

struct spans {
	struct span *ring;
	uint64_t count; /* ever added */
};

void spans_init(struct spans *);
void spans_destroy(struct spans *);
void spans_add(struct spans *, const struct trace *, const char *kind,
    const char *name, const char *outcome, int64_t duration_us);
/* Appends the spans of a trace as a JSON array. */
void spans_print(const struct spans *, const char *trace_id, GString *out);
/* Begins a hop below a traceparent, or a new trace when it is not valid. */
void trace_begin(struct trace *, const char *traceparent);
/* The traceparent for the next hop; buf has TRACEPARENT_LEN. */
#define TRACEPARENT_LEN 56
void trace_header(const struct trace *, char *buf);

/* ---- entry: calls of callers ---- */

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

/* ---- guard: requests for the target beside the node ---- */

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
	struct kept_store kept_once; /* of requests that run once */
	struct kept_store kept_short; /* of others, whose id was made here */
	int64_t refresh_until;	      /* admits nothing before, after a pause */
	int refreshed;
};

/* ---- spreading of versions ---- */

#define PUSHES_MAX 64

/* A push that was not acknowledged yet. */
struct push {
	int to; /* member */
	int tries;
	int64_t again_at;
};

struct spread {
	struct push pushes[PUSHES_MAX];
	int npushes;
	uint64_t pushed;     /* number of the version last pushed */
	int pushed_by;	     /* member whose push is being applied, or -1 */
	int64_t fetch_until; /* a fetch is under way until then */
	char fetch_from[MESH_NAME_MAX + 1];
	struct version rejected; /* last told to others */
	int tells;		 /* datagrams that still carry it */
	int asked;		 /* peers asked since the start */
	int answered;		 /* of these, answered */
};

struct node {
	struct settings settings;
	struct fleet_keys keys;
	uint32_t prints[NODE_KEYS]; /* fingerprints of the keys */
	uint64_t boot;		    /* incarnation of this process: wall ms */
	struct mailbox mailbox;
	pthread_t thread;
	struct config_store *config;
	struct reader *reader;
	struct server *callers, *services, *operators;
	struct link *link;
	int udp;
	uint64_t datagrams;	    /* sent */
	unsigned char held_hash[8]; /* on each datagram */
	GHashTable *replays;	    /* sender to struct replay, owned */
	struct members *members;
	struct entry entry;
	struct guard_side guard;
	struct spread spread;
	struct spans spans;
	FILE *trace; /* of the guard's decisions, or NULL */
	GRand *rand;
	int listed;	 /* a VM list was read */
	int joins;	 /* greetings sent */
	int64_t join_at; /* when the next greeting is due */
	int firsts;	 /* first reads of the platform still under way */
	int firsts_good; /* of those ended, well */
	int64_t started_at;
	int ready;
	int out;     /* by the set, the VM list or a signal */
	int leaving; /* stopping */
	int64_t leave_by;
	int64_t idle_at;    /* a leaving node has been idle since, or 0 */
	int64_t duty_at;    /* when the reader's duty is looked at next */
	int64_t release_at; /* when idle links are looked for next */
	int64_t ticked_at;
};

/* entry.c */
void entry_init(struct node *);
void entry_destroy(struct node *);
/* For the servers' threads. */
void entry_from_callers(void *node, struct server_request *);
void entry_from_services(void *node, struct server_request *);
void entry_call_begin(struct node *, struct entry_call *);
void entry_ack(struct node *, uint64_t number, int load);
void entry_answer(struct node *, uint64_t number, const Wire__Answer *);
void entry_tick(struct node *, int64_t now);
/* A node is held dead: what waits for it is decided anew. */
void entry_member_dead(struct node *, const char *vm);
/* Appends which route and targets a request would take. */
void entry_explain(
    struct node *, const char *method, const char *path, GString *out);

/* serve.c */
void serve_init(struct node *);
void serve_destroy(struct node *);
void serve_forward(struct node *, const struct link_route *, uint64_t call,
    const Wire__Forward *);
void serve_fence(struct node *, const struct link_route *, uint64_t call,
    const Wire__Fence *);
void serve_cancel(struct node *, const struct link_route *, uint64_t call);
void serve_done(struct node *, struct exchange_job *);
void serve_tick(struct node *, int64_t now);
/* Whether anything is held. */
int serve_busy(const struct node *);

/* role.c */
/* A version came into force. */
void role_config(struct node *);
/* Recomputes whether the guard takes new work. */
void role_set_out(struct node *);

/* kept.c */
void kept_init(struct kept_store *, int64_t keep_ms);
void kept_destroy(struct kept_store *);
/* Keeps an answer, if it is small enough. */
void kept_add(
    struct kept_store *, const char *id, const Wire__Answer *, int64_t now);
/* The answer kept under an id, owned by the caller, or NULL. */
Wire__Answer *kept_find(const struct kept_store *, const char *id);
/* Drops what is past its time or over the bound. */
void kept_expire(struct kept_store *, int64_t now);

/* gossip.c */
int gossip_open(struct node *);
void gossip_close(struct node *);
void gossip_receive(struct node *);
void gossip_tick(struct node *, int64_t now);
/* Sends one datagram to a member; push may be NULL. */
void gossip_send(
    struct node *, const struct member_send *, const struct config_delta *push);
/* Tells the guards of a service of crashes under a fingerprint. */
void
gossip_suspect(struct node *, uint64_t fingerprint, int crashes, int released);
void gossip_vms(struct node *, struct vm_list *);
/* Greets the node at an address, which need not be known. */
void gossip_greet(struct node *, const char *addr);

/* join.c */
void join_tick(struct node *, int64_t now);

/* spread.c */
/* A version came into force here. */
void spread_applied(struct node *);
/* A peer says what it holds. */
void spread_heard(struct node *, int member);
void spread_push(struct node *, int member, const Wire__SetReply *);
void spread_request(struct node *, const struct link_route *, uint64_t call,
    const Wire__SetRequest *);
/* Writes a version as it travels; it points into the delta. */
void
spread_pack(const struct config_delta *, Wire__SetReply *, Wire__Version *);
void spread_reply(struct node *, const char *peer, const Wire__SetReply *);
void spread_tick(struct node *, int64_t now);
/* A rejection that the next datagram should carry: 1, and where it is. */
int spread_rejection(struct node *, const struct version_state *,
    const struct version **, const char **reason, const char **by);
/* Rank of this node among those alive in its data centre. */
int spread_rank(struct node *);

/* status.c */
void operator_request(void *node, struct server_request *);
void operator_handle(struct node *, struct server_request *);

/* loop.c */
int loop_open_link(struct node *);
/* Runs until a leaving node may end. */
void loop_main(struct node *);

#endif
