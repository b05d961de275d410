/*
 * Shared inside the package.  A request flows one way: entry, choose, link or
 * gate, upstream; each knows those after it only, and answers come back by the
 * callback that was given along.
 */
#ifndef PROXY_INT_H
#define PROXY_INT_H

#include "../http/http.h"
#include "../mesh/admit.h"
#include "../mesh/call.h"
#include "../mesh/outlier.h"
#include "../mesh/poison.h"
#include "../mesh/spend.h"
#include "link.pb-c.h"
#include "proxy.h"

/*
 * A target's answer up to this size is held whole, and may be replaced by that
 * of another target; a longer one goes to its caller as it comes.
 */
#define ANSWER_BUFFER_MAX (32 * 1024) /* bytes */
/* Bytes of a long answer that are on their way between two of its stations. */
#define STREAM_WINDOW (128 * 1024)
#define PIECE_MAX     (16 * 1024) /* bytes; what is urgent waits for so many */
#define STREAM_MAX    (1024LL * 1024 * 1024) /* bytes of a long answer */

/* ---- jobs: requests for the target of some gate ---- */

struct job;

/* What became of a job. */
struct job_result {
	enum call_outcome outcome;
	struct http_message
	    *answer; /* of the target; owned by the job's side */
	int retry_after_ms;
	int load; /* percent of the target's slots */
};

/* A request on its way to a target; its owner keeps it until it is done. */
struct job {
	struct http_message *msg; /* the owner's */
	const char *service, *caller, *id;
	uint32_t kind;
	uint64_t fingerprint;
	int priority, repeatable;
	int64_t goal, deadline;
	/*
	 * A long answer comes as its head, pieces and done, with an answer that
	 * is NULL, when it is whole.  They may not give the job up.
	 */
	void (*head)(struct job *, const struct http_message *);
	void (*piece)(struct job *, const void *, size_t);
	void (*done)(struct job *, const struct job_result *);
	void *arg;
	int in_pieces; /* its head was given */
	/* of the gate */
	struct proxy_guard *guard;
	struct upstream_exchange *in_flight;
	int64_t offered_at;
	int64_t began_us;
	int64_t head_us; /* when a long answer began */
	int resent;	 /* on another connection, as the first had ended */
	/* of a link */
	struct link *link;
	uint32_t stream;
	int64_t sent_at;
	size_t uncredited; /* bytes taken, and not yet told to the other end */
};

/* ---- upstream: connections to the target beside the node ---- */

enum upstream_result {
	UPSTREAM_ANSWER,      /* the target's whole answer */
	UPSTREAM_REFUSED,     /* nobody listens there: nothing was sent */
	UPSTREAM_NOT_SENT,    /* no connection: nothing was sent */
	UPSTREAM_IDLE_CLOSED, /* a connection that was idle ended without a byte
			       */
	UPSTREAM_BROKEN,      /* it may have run */
};
/* Their names in logs. */
extern const char *const upstream_results[];

struct upstream;	  /* opaque: see upstream.c */
struct upstream_exchange; /* opaque: one request at the target */

struct upstream_calls {
	/* A long answer begins; 0 refuses it.  NULL: none is expected. */
	int (*head)(void *arg, const struct http_message *);
	void (*piece)(void *arg, const void *, size_t);
	/* The answer is the callee's; of a long one it is the head. */
	void (*done)(
	    void *arg, enum upstream_result, struct http_message *answer);
};

/* Kept connections that a request may be sent on. */
enum upstream_reuse {
	UPSTREAM_REUSE_ANY,    /* while the target is thought to keep them */
	UPSTREAM_REUSE_RECENT, /* used so lately that none can have ended */
	UPSTREAM_REUSE_NONE,   /* none: the outcome tells of the target now */
};

struct upstream *upstream_new(
    struct event_base *, const char *addr, const struct header_names *);
void upstream_free(struct upstream *);
/* Another address; kept connections are closed. */
void upstream_set_address(struct upstream *, const char *addr);
/* Closes kept connections. */
void upstream_close_idle(struct upstream *);
/*
 * Sends a request, written already, whose answer must echo the id (NULL: any).
 * One that runs once is never sent on a connection that may be closed already.
 */
struct upstream_exchange *
upstream_send(struct upstream *, struct evbuffer *written, const char *id,
    enum upstream_reuse, int is_head, const struct upstream_calls *, void *arg);
/* So many more bytes of a long answer may come. */
void upstream_credit(struct upstream_exchange *, size_t);
/* Gives an exchange up: its connection is closed, nothing is called. */
void upstream_cancel(struct upstream_exchange *);

/* ---- gate: the only way to the target beside the node ---- */

enum proxy_guard_state {
	PROXY_GUARD_UNKNOWN, /* nobody has asked the target yet, or it was lost
			      */
	PROXY_GUARD_UP,
	PROXY_GUARD_DRAINING, /* the target or the node drains */
};

/* A request that the target broke off. */
struct interrupted {
	uint64_t fingerprint;
	int64_t at_us;
};

struct proxy_guard {
	struct proxy *proxy;
	int64_t started_at;
	struct upstream *upstream;
	struct admit admit;
	struct outlier outlier;
	int slots; /* of the target, as listed */
	enum proxy_guard_state state;
	char id[VIEW_ID_MAX + 1]; /* of the target, by its status check */
	int64_t born_ms;	  /* by its entry */
	uint64_t revision;	  /* of the entry that was last looked at */
	int dc_out;		  /* its data centre is out */
	int listed;		  /* its entry was seen */
	int delisted;		  /* and is gone */
	struct upstream_exchange *probe;
	int64_t probe_sent_us;
	struct event *probe_timer; /* for its answer, or before the next */
	int probe_delay_ms;
	struct event *report_timer; /* no report of the target came in time */
	int polling;		    /* status checks replace reports */
	struct event *wake;
	GPtrArray *running; /* of struct job */
	uint64_t crash_id;  /* of the target, until it answers again, or 0 */
	GArray
	    *suspects; /* of struct broken, until the target's fate is known */
};

void proxy_guard_init(struct proxy_guard *, struct proxy *);
void proxy_guard_clear(struct proxy_guard *);
void proxy_guard_submit(struct proxy_guard *, struct job *);
/* Nobody waits any more; the job is not called back. */
void proxy_guard_cancel(struct proxy_guard *, struct job *);
/* The view changed. */
void proxy_guard_update(struct proxy_guard *);
/* Changes the gate's state; those who wait are refused unless it is up. */
void proxy_guard_set_state(
    struct proxy_guard *, enum proxy_guard_state, const char *why);
/* Asks the target's status check now. */
void proxy_guard_probe(struct proxy_guard *);
/* A report of the target came; none can come. */
void proxy_guard_report_received(struct proxy_guard *);
void proxy_guard_reports_lost(struct proxy_guard *);
int proxy_guard_load(const struct proxy_guard *);
/* So many bytes of a job's long answer have been passed on. */
void proxy_guard_credit(struct proxy_guard *, struct job *, size_t);
/* Refuses those who wait under a fingerprint, if it is quarantined now. */
void proxy_guard_refuse_quarantined(struct proxy_guard *, uint64_t fingerprint);

/* ---- links between nodes ---- */

struct link;

struct links {
	struct proxy *proxy;
	struct evconnlistener *listener;
	GHashTable *out;     /* address to struct link, made from here */
	GHashTable *in;	     /* of struct link, made by others */
	struct event *timer; /* silence is looked for */
	struct link *publishers[PROXY_SLOTS]; /* subscribed to, or NULL */
	uint64_t base_number; /* of the last news told that are a base */
	GBytes *base;
};

int links_open(struct links *, struct proxy *);
void links_close(struct links *);
/* Sends a job to the gate of the node at an address. */
void links_submit(struct links *, const char *addr, struct job *);
void links_cancel(struct links *, struct job *);
/* So many bytes of a job's long answer have been passed on. */
void links_credit(struct links *, struct job *, size_t);
/* Tells the node at an address of the crashes known under a fingerprint. */
void links_send_suspect(struct links *, const char *addr, uint64_t fingerprint);
/* Tells those that news are exchanged with, but the link it came by. */
void links_spread_suspect(
    struct links *, uint64_t fingerprint, const struct link *from);
/* Address of the node at the other end, or "-". */
const char *link_peer(const struct link *);
/* Subscribes to the node at an address instead of that of the slot. */
void links_subscribe(
    struct links *, enum proxy_slot, const char *addr, enum proxy_subscription);
/* Nodes that are subscribed in that way. */
int links_subscribers(const struct links *, enum proxy_subscription);
void
links_publish(struct links *, const char *state, size_t len, int unsubscribe);
/* Asks the node at an address for its state. */
void links_ask_state(struct links *, const char *addr);
/* Jobs under way for other nodes. */
int links_busy(const struct links *);

/* ---- requests that crash targets ---- */

struct quarantine {
	struct proxy *proxy;
	struct poison *poison;
	GPtrArray *reports; /* of struct tell, owned: crashes seen here */
};

void quarantine_init(struct quarantine *, struct proxy *);
void quarantine_clear(struct quarantine *);
/* How long a request is refused for the targets it crashed, ms, or 0. */
int64_t quarantine_left_ms(struct quarantine *, uint64_t fingerprint);
/* A target answered a request with that status. */
void quarantine_answered(struct quarantine *, uint64_t fingerprint, int status);
/* An id that no other crash has. */
uint64_t quarantine_crash_id(struct quarantine *);
/* The target beside the node ended under requests of these fingerprints. */
void quarantine_report_crash(
    struct quarantine *, uint64_t id, const GArray *fingerprints);
/* The node at the other end of a link knows of crashes. */
void quarantine_receive(struct quarantine *, uint64_t fingerprint,
    const struct crashes *, int64_t left_ms, struct link *);

/* ---- choice of a gate ---- */

/* What an entry knows of the gate beside a target. */
struct peer {
	char addr[ADDRESS_MAX]; /* of the target */
	int load;		/* percent, as last told */
	int64_t load_at;
	int inflight;	   /* sent from here and not answered */
	int load_inflight; /* of these, when the load was told */
	int64_t avoid_until;
};

/*
 * Chooses the target of a service for a request; NULL when none can take it
 * now.  tried lists the addresses that refused it already.
 */
const struct view_target *choose_target(
    struct proxy *, const char *service, const GPtrArray *tried, int64_t now);
struct peer *peer_get(struct proxy *, const char *addr);
/* Address for links of the node beside a target; buf has ADDRESS_MAX. */
void peer_link_addr(const struct proxy *, const char *addr, char *buf);

/* ---- entry ---- */

struct entry {
	struct proxy *proxy;
	struct http_server *server;
	struct http_limits limits;
	GHashTable *requests;	   /* of struct request */
	GHashTable *retry_budgets; /* service to struct spend, owned */
	int nodes; /* the most that were listed: they share the budget */
};

int entry_open(struct entry *, struct proxy *);
/* Takes one repeat to a service from this node's budget; 0: none is left. */
int entry_take_retry(struct entry *, const char *service, int64_t now);
void entry_close(struct entry *);
void entry_update(struct entry *);
/* Gives each request whose answer has not begun a final one. */
void entry_expire_requests(struct entry *);

struct proxy {
	struct event_base *base;
	const struct proxy_settings *settings;
	const struct header_names *names;
	const char *ready_path;
	struct view *view;
	GRand *rand;
	int draining;
	int64_t last_call_at; /* a leaving node takes no call after, or 0 */
	struct event *guard_drain_timer; /* nor its target, from then on */
	int64_t last_answer_at; /* all calls are answered by then, or 0 */
	struct event *last_answer_timer;
	struct proxy_state state;
	struct entry entry;
	struct proxy_guard guard;
	struct links links;
	struct quarantine quarantine;
	GHashTable *peers; /* address to struct peer, owned */
	struct http_server *ready;
	struct http_limits ready_limits;
};

/* Fingerprint of a request: those with equal ones crash targets alike. */
uint64_t request_fingerprint(const struct http_message *);

#endif
