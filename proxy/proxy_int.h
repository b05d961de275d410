/*
 * Internal interface of the package.  A request passes the entry, the load
 * balancing, a link or the guard, and upstream, in this order.  Each calls only
 * those after it; answers come back by the callbacks of the job.
 */
#ifndef PROXY_INT_H
#define PROXY_INT_H

#include "../http/http.h"
#include "../mesh/admit.h"
#include "../mesh/call.h"
#include "../mesh/call_kinds.h"
#include "../mesh/callee_health.h"
#include "../mesh/caller_age.h"
#include "../mesh/egress.h"
#include "../mesh/forecast.h"
#include "../mesh/link_admit.h"
#include "../mesh/outlier.h"
#include "../mesh/poison.h"
#include "../mesh/retry_quota.h"
#include "../mesh/slow_start.h"
#include "link.pb-c.h"
#include "proxy.h"

/*
 * Answers up to this size are buffered whole, so that another target's may
 * replace them; longer ones are streamed to the caller.
 */
#define ANSWER_BUFFER_MAX (32 * 1024) /* bytes */
/* Bytes of a streamed answer in flight on one hop, not yet credited. */
#define STREAM_WINDOW (128 * 1024)
/* An update above this size is followed by a ping. */
#define UPDATE_PING_MIN (16 * 1024)
#define STREAM_MAX	(1024LL * 1024 * 1024) /* bytes of a streamed answer */

/* ---- jobs: requests to a target, by way of its guard ---- */

struct job;
struct link_output;

/* Result of a job; valid during the call of done. */
struct job_result {
	enum call_outcome outcome;
	struct http_message *answer; /* owned by the caller of done, or NULL */
	int retry_after_ms;	     /* of a refusal */
	int load;		     /* percent of the target's slots */
	struct target_estimate estimate; /* of the next request of its kind */
};

/* A request to a target; its owner keeps it until done is called. */
struct job {
	struct http_message *msg; /* owned by the job's owner */
	const char *service, *caller, *id;
	uint32_t kind; /* hash of the route */
	uint64_t fingerprint;
	int priority, repeatable;
	int is_call;		/* sent by a target that runs another request */
	int64_t goal, deadline; /* ms, monotonic */
	/*
	 * A long answer is streamed: head, pieces, and done with a NULL answer,
	 * whose outcome says if it is complete.  The callbacks must not cancel
	 * the job.
	 */
	void (*head)(struct job *, const struct http_message *);
	void (*piece)(struct job *, const void *, size_t);
	void (*done)(struct job *, const struct job_result *);
	void *arg;
	int in_pieces; /* head was called */
	/* set by the guard */
	struct proxy_guard *guard;
	struct upstream_exchange *in_flight;
	int64_t offered_at;	   /* ms, to the guard */
	int64_t began_us;	   /* when it got a slot */
	int64_t head_us;	   /* start of a streamed answer, or 0 */
	struct link_commit commit; /* of the link, for other nodes' jobs */
	int link_wait_ms;	   /* until the link admits it, or 0 */
	int resent; /* sent again, as the first connection was closed */
	/* set by the link */
	struct link *link;
	uint32_t stream;	     /* its number on the link */
	int64_t sent_at;	     /* ms */
	struct link_output *waiting; /* the request, not written yet, or NULL */
	size_t uncredited; /* bytes sent to the caller, not yet credited */
	int is_lost;	   /* in the queue of lost jobs */
	enum call_outcome lost_as;
};

/* ---- upstream: connections to the target beside the node ---- */

enum upstream_result {
	UPSTREAM_ANSWER,      /* the target's complete answer */
	UPSTREAM_REFUSED,     /* connection refused: nothing was sent */
	UPSTREAM_NOT_SENT,    /* no connection: nothing was sent */
	UPSTREAM_IDLE_CLOSED, /* a reused idle one, closed without a byte */
	UPSTREAM_BROKEN,      /* no complete answer; it may have run */
};
/* Names in logs, by enum upstream_result. */
extern const char *const upstream_results[];

struct upstream;	  /* opaque: see upstream.c */
struct upstream_exchange; /* opaque: one request and its answer */

struct upstream_calls {
	/* A long answer begins; 0 aborts it.  NULL: it is always aborted. */
	int (*head)(void *arg, const struct http_message *);
	void (*piece)(void *arg, const void *, size_t);
	/* The callee owns the answer, or a streamed one's head; or NULL. */
	void (*done)(
	    void *arg, enum upstream_result, struct http_message *answer);
};

/* Which idle connections a request may reuse. */
enum upstream_reuse {
	UPSTREAM_REUSE_ANY,    /* any that the target should still keep open */
	UPSTREAM_REUSE_RECENT, /* used so recently that none can be closed */
	UPSTREAM_REUSE_NONE,   /* none, to learn if the target accepts now */
};

/* Copies addr and borrows the names.  Connections are opened on demand. */
struct upstream *upstream_new(
    struct event_base *, const char *addr, const struct header_names *);
void upstream_free(struct upstream *);
/* Changes the target's address, and closes idle connections. */
void upstream_set_address(struct upstream *, const char *addr);
/* Closes idle connections. */
void upstream_close_idle(struct upstream *);
/*
 * Sends a request that is already serialised.  Unless id is NULL, answers that
 * echo another id are dropped.  A request that must run at most once may reuse
 * only recent connections.  Returns NULL when no connection can be made; then
 * no callback is called.
 */
struct upstream_exchange *
upstream_send(struct upstream *, struct evbuffer *request, const char *id,
    enum upstream_reuse, int is_head, const struct upstream_calls *, void *arg);
/* Grants n more bytes of a streamed answer. */
void upstream_credit(struct upstream_exchange *, size_t);
/* Aborts an exchange by closing its connection; no callback is called. */
void upstream_cancel(struct upstream_exchange *);

/* ---- guard: admission of requests to the target beside the node ---- */

enum proxy_guard_state {
	PROXY_GUARD_UNKNOWN, /* not checked yet, or the connection was lost */
	PROXY_GUARD_UP,
	PROXY_GUARD_DRAINING, /* the target or the node is draining */
};

/* A request whose connection broke before its answer was complete. */
struct crash_suspect {
	uint64_t fingerprint;
	int64_t at_us;
};

/*
 * All requests to the target pass its guard, which decides by status checks, by
 * the results of its own requests and by its node's view.  So an entry with a
 * stale view only gets a refusal as "not run".
 */
struct proxy_guard {
	struct proxy *proxy;
	int64_t started_at; /* ms, start of this process */
	struct upstream *upstream;
	struct admit admit;
	struct outlier outlier;
	struct link_admit link_admit; /* for jobs of other nodes */
	struct call_kinds call_kinds;
	struct callee_health callees; /* of the target's calls */
	struct slow_start slow_start;
	int was_ejected; /* outlier.ejected at the last look */
	int slots;	 /* requests the target runs at a time, by the view */
	enum proxy_guard_state state;
	char id[VIEW_ID_MAX + 1];      /* of the target, by its status check */
	int64_t born_ms;	       /* start of the target, by the view */
	struct view_revision revision; /* of the view's record applied last */
	int dc_out;		       /* the data centre is out */
	int listed;		       /* the target is in the view */
	int delisted;		       /* it was in the view and was removed */
	struct upstream_exchange *probe;
	int64_t probe_sent_us;
	struct event *probe_timer; /* probe's timeout, or delay to the next */
	int probe_delay_ms;
	struct event *report_timer; /* timeout of reports, then of polls */
	int polling; /* reports are missing, so the target is polled */
	struct event *wake_timer; /* of the next dispatch */
	GPtrArray *running;	  /* of struct job */
	uint64_t crash_id;	  /* of a crash, until a check is answered */
	GArray *suspects;	  /* of struct crash_suspect, oldest first */
};

void proxy_guard_init(struct proxy_guard *, struct proxy *);
void proxy_guard_clear(struct proxy_guard *);
/*
 * Queues a job, or refuses it at once.  Its done callback may be called before
 * this returns.
 */
void proxy_guard_submit(struct proxy_guard *, struct job *);
/* Cancels a job; its callbacks are not called. */
void proxy_guard_cancel(struct proxy_guard *, struct job *);
/* Refuses a job as not run, if it is still in the queue. */
void proxy_guard_revoke(struct proxy_guard *, struct job *);
/* Applies a change of the view. */
void proxy_guard_update(struct proxy_guard *);
/* Sets the state, and refuses queued jobs unless it is up; why is logged. */
void proxy_guard_set_state(
    struct proxy_guard *, enum proxy_guard_state, const char *why);
/* Sends a status check unless one is in flight or scheduled. */
void proxy_guard_probe(struct proxy_guard *);
/* The store has reported on the target, or cannot report any more. */
void proxy_guard_report_received(struct proxy_guard *);
void proxy_guard_reports_lost(struct proxy_guard *);
/* Load in percent of the slots, queued jobs and shed requests included. */
int proxy_guard_load(const struct proxy_guard *);
/*
 * Expected ms until an answer of a kind that was ready now could leave on the
 * VM's link: Estimate.link_ms of link.proto.
 */
int proxy_guard_link_ms(const struct proxy_guard *, uint32_t kind);
/* Estimates the next request of the job's kind and priority. */
void proxy_guard_estimate(
    const struct proxy_guard *, const struct job *, struct target_estimate *);
/* Grants n more bytes of a job's streamed answer. */
void proxy_guard_credit(struct proxy_guard *, struct job *, size_t);
/* Refuses queued jobs of a fingerprint if it is quarantined. */
void proxy_guard_refuse_quarantined(struct proxy_guard *, uint64_t fingerprint);

/* ---- links between nodes ---- */

struct link;

struct links {
	struct proxy *proxy;
	struct evconnlistener *listener;
	GHashTable *out; /* address to struct link, opened by this node */
	GHashTable *in;	 /* of struct link, opened by other nodes */
	GQueue lost; /* of struct job whose link was closed, not ended yet */
	struct event *timer; /* of the checks for silent links */
	struct link *publishers[PROXY_SLOT_COUNT]; /* subscribed to, or NULL */
	uint64_t base_number;	    /* of the last published base, for deltas */
	int64_t arrived_at;	    /* ms; a peer had received a large update */
	struct egress egress;	    /* scheduler of all output */
	struct event *egress_timer; /* of the next frame that waits */
	int64_t rate_logged_us;
};

int links_open(struct links *, struct proxy *);
/*
 * Accepts no further links, and tells the nodes that opened one to send no new
 * requests on it.
 */
void links_drain(struct links *);
void links_close(struct links *);
/* Sends a job to the guard of the node at a link address. */
void links_submit(struct links *, const char *addr, struct job *);
/* Cancels a job, here and at its node; its callbacks are not called. */
void links_cancel(struct links *, struct job *);
/*
 * Asks the guard that has a job to refuse it unless it was started.  Returns 0
 * if it cannot have been: its request has not been written.
 */
int links_ask(struct links *, struct job *);
/* Whether no byte of a job's request has been written to its link. */
int links_is_unsent(const struct job *);
/* Grants n more bytes of a job's streamed answer. */
void links_credit(struct links *, struct job *, size_t);
/* Sends a fingerprint's recorded crashes to the node at a link address. */
void links_send_suspect(struct links *, const char *addr, uint64_t fingerprint);
/* Sends them to publishers and subscribers, except on the link "from". */
void links_spread_suspect(
    struct links *, uint64_t fingerprint, const struct link *from);
/* Address of the peer, or "-" for a link that the peer opened. */
const char *link_peer(const struct link *);
/* Replaces the subscription in a slot; addr NULL only ends the old one. */
void links_subscribe(
    struct links *, enum proxy_slot, const char *addr, enum proxy_subscription);
/* Number of nodes with this kind of subscription. */
/* When a part of a frame arrived from the publisher in a slot (ms), or 0. */
int64_t links_receiving_at(const struct links *, enum proxy_slot);
int links_subscribers(const struct links *, enum proxy_subscription);
/* Publishes an update to all subscribers; len 0: only the staleness. */
void
links_publish(struct links *, const char *state, size_t len, int unsubscribe);
/* Requests the state of the node at a link address. */
void links_request_state(struct links *, const char *addr);
/* Number of jobs from other nodes, and of links with unsent output. */
int links_busy(const struct links *);
/* Appends gauges of the egress scheduler in the Prometheus text format. */
void links_print_metrics(const struct links *, GString *);

/* ---- requests that crash targets ---- */

struct quarantine {
	struct proxy *proxy;
	struct poison *poison;
	GPtrArray *reports; /* of struct crash_report, owned */
};

void quarantine_init(struct quarantine *, struct proxy *);
void quarantine_clear(struct quarantine *);
/* Remaining time of a fingerprint's quarantine in ms, or 0. */
int64_t quarantine_left_ms(struct quarantine *, uint64_t fingerprint);
/* Records a target's answer; a status below 500 clears the fingerprint. */
void quarantine_answered(struct quarantine *, uint64_t fingerprint, int status);
/* Returns a random id, unique among crashes. */
uint64_t quarantine_crash_id(struct quarantine *);
/* Records a crash of the local target, and reports it to other nodes. */
void quarantine_report_crash(
    struct quarantine *, uint64_t id, const GArray *fingerprints);
/* Records crashes that a peer sent, and passes on the new ones. */
void quarantine_receive(struct quarantine *, uint64_t fingerprint,
    const struct crashes *, int64_t left_ms, struct link *);

/* ---- load balancing ---- */

#define PEER_BUSY_KINDS 4 /* kinds that a guard refused last */

/* State that an entry keeps of a target and its guard. */
struct peer {
	char addr[ADDRESS_MAX]; /* of the target */
	int load;		/* percent, as last reported */
	int64_t avoid_until;	/* ms; no offers before this time */
	struct {
		uint32_t kind;
		int64_t until; /* ms; no offers of the kind before this time */
	} busy[PEER_BUSY_KINDS];
	int leaving; /* its node takes no new requests */
	struct forecast_target forecast;
	struct service_targets *service; /* that it was listed under last */
	int area;			 /* its data centre, for forecasts */
};

/* A listed target of a service. */
struct listed_target {
	const struct view_target *target;
	struct peer *peer;
	int is_own; /* beside this node */
	int is_out; /* its data centre is out */
};

/* The targets of a service, and what the entry has learnt of them. */
struct service_targets {
	struct forecast_service means;
	GArray *listed; /* of struct listed_target */
};

/* Index of the view's targets by service. */
struct target_index {
	GHashTable *services; /* name to struct service_targets, owned */
	GPtrArray *areas; /* names of data centres; the own one is the first */
	uint64_t changes; /* of the view, when the index was built */
	int is_stale;	  /* the settings changed since */
	/* of the last comparison; parallel arrays of the usable targets */
	GPtrArray *usable; /* of struct listed_target */
	GArray *forecasts; /* of struct forecast */
};

/* What is compared for a request, without any effect on the state. */
struct comparison {
	struct forecast_query query;
	const GPtrArray *usable; /* of struct listed_target */
	const GArray *forecasts; /* of struct forecast, in the same order */
};

void choose_init(struct proxy *);
void choose_clear(struct proxy *);
/* Why a target is not offered requests of a kind now, or NULL. */
const char *choose_unusable(const struct listed_target *, uint32_t kind,
    const GPtrArray *tried, int64_t now);
/*
 * Compares the targets of the job's service, and stores the forecasts of those
 * that are usable, which are valid until the next call.  goal_ms is the latency
 * goal of its route.  tried lists the peers that it was offered to before.
 */
void choose_compare(struct proxy *, const struct job *, int goal_ms,
    const GPtrArray *tried, int64_t now, struct comparison *);
/* Chooses a target; NULL when none is available.  Copies its forecast. */
const struct listed_target *choose_target(struct proxy *, const struct job *,
    int goal_ms, const GPtrArray *tried, int64_t now, struct forecast *);
/* The targets of a service; created if it is new. */
struct service_targets *choose_service(struct proxy *, const char *service);
/* Records what a guard reported at the end of a job. */
void peer_reported(struct proxy *, struct peer *, const struct job *,
    const struct job_result *, int64_t now);
/* Records the time from an offer until the answer, or its head. */
void peer_answered(struct proxy *, struct peer *, const struct job *,
    const struct forecast *, int64_t took_ms, int64_t now);
/* Returns the state of a target by its address; created if it is new. */
struct peer *peer_get(struct proxy *, const char *addr);
/* The guard refused a kind for load: makes no offers of it until then (ms). */
void peer_set_busy(struct peer *, uint32_t kind, int64_t until);
/* Until when no offers are made of a kind, or 0. */
int64_t peer_busy_until(const struct peer *, uint32_t kind);
/* Sets whether the node at a link address takes no new requests. */
void peers_set_leaving(struct proxy *, const char *link_addr, int leaving);
/* Writes the link address of the node beside a target; buf has ADDRESS_MAX. */
void peer_link_addr(const struct proxy *, const char *addr, char *buf);

/* ---- entry ---- */

struct entry {
	struct proxy *proxy;
	struct http_server *server;
	struct http_limits limits;
	GHashTable *requests;	  /* of struct request */
	GHashTable *retry_quotas; /* service to its quota, owned */
	GHashTable *caller_ages;  /* kind to struct caller_age, owned */
	GHashTable *answer_times; /* kind to struct answer_time, owned */
	struct call_reports call_reports;
	int nodes_max; /* most targets listed; their nodes share the quota */
};

int entry_open(struct entry *, struct proxy *);
/* Takes one retry from this node's quota, for a call also from its reserve. */
enum retry_taken
entry_take_retry(struct entry *, const char *service, int is_call, int64_t now);
void entry_close(struct entry *);
/* Applies the configuration's limits. */
void entry_update(struct entry *);
/* Ends each request whose answer has not begun, with a refusal. */
void entry_expire_requests(struct entry *);
/* Whether the job of another node can end before a draining node stops. */
int leaving_guard_can_end(
    const struct proxy_guard *, const struct job *, int64_t now);

struct proxy {
	struct event_base *base;
	const struct proxy_settings *settings;
	const struct header_names *names;
	const char *ready_path;
	struct view *view;
	GRand *rand;
	int draining;
	int64_t last_call_at; /* ms; new calls are refused from then, or 0 */
	struct event *guard_drain_timer; /* end of new work for the target */
	int64_t exit_after;	/* ms; peers have been told by then, or 0 */
	int64_t last_answer_at; /* ms; deadline of all calls, or 0 */
	struct event *last_answer_timer;
	struct proxy_state_calls state;
	struct entry entry;
	struct proxy_guard guard;
	struct links links;
	struct quarantine quarantine;
	uint64_t calls_version; /* configuration that kinds were kept for */
	GHashTable *peers;	/* address to struct peer, owned */
	struct target_index targets;
	struct http_server *ready;
	struct http_limits ready_limits;
};

/* ---- calls: requests that targets send while they run others ---- */

/* Counts a job that was submitted to the guard; sets whether it is a call. */
void calls_submitted(struct proxy_guard *, struct job *);
/* Records a guard's report on a job of this node's entry. */
void
calls_reported(struct proxy *, const struct job *, const struct job_result *);
/* Records the end of a request of this node's entry, if it is a call. */
void calls_ended(struct proxy *, const struct job *, int served);
/* Whether the guard may admit a job, as its calls are likely to be served. */
int calls_admit(struct proxy_guard *, const struct job *);
/* Forgets kinds whose route the configuration no longer has. */
void calls_config_changed(struct proxy *);

/* Identifies equal requests, which are assumed to crash targets alike. */
uint64_t request_fingerprint(const struct http_message *);

#endif
