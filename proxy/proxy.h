/*
 * The mesh's data path on a platform of the users.  The entry receives requests
 * of the VM's callers and of its target, a guard beside each target admits what
 * the target can serve, and links carry requests between nodes.  Everything
 * runs in one event loop without threads.
 */
#ifndef PROXY_H
#define PROXY_H

#include <event2/event.h>

#include "../view/view.h"

/* Errors of this package. */
enum proxy_err {
	PROXY_OK = 0,
	PROXY_ELISTEN = -801, /* an address cannot be listened on */
};

/* Header names of requests and answers, which the platform's adapter sets. */
struct header_names {
	const char *id;		   /* of an attempt, echoed in answers */
	const char *remaining_ms;  /* how long the sender will wait */
	const char *seal;	   /* set on answers by targets only */
	const char *expect_target; /* id; other targets refuse the request */
	const char *not_run;	   /* the target did not run the request */
	const char *caller;	   /* service beside the entry */
	const char *target;	   /* id of the target, in status checks */
	const char *cold_ms;	   /* warm-up time left, in status checks */
	const char *retry_after;   /* s, until the caller may retry */
};

/* Settings of the data path. */
struct proxy_settings {
	char *name; /* of the VM */
	char *data_centre;
	char *service; /* of the target beside the node */
	char *target;  /* address of the target */
	char *callers; /* address for callers and the target */
	char *links;   /* address for other nodes */
	char *ready;   /* address for readiness checks */
	int memory_mb; /* limit of the process */
	int grace_ms;  /* from the stop signal until the process is killed */
	int retry_window_ms;
	double retry_ratio; /* retries for each request, fleet-wide */
	double cold_ratio;  /* bound of a cold target: its rate times this */
	double cold_slack;  /* plus this, in requests a second */
	int slow_start;	    /* limits targets that have started or recovered */
	double link_mbps;   /* rate of the VM's link; 0: not known */
	double retry_slack; /* retries a window beyond the ratio, fleet-wide */
};

struct proxy; /* opaque: see proxy_int.h */

/*
 * Starts to listen on all addresses.  Settings, names and view are borrowed and
 * must outlive the proxy.  Returns PROXY_OK, or PROXY_ELISTEN with a proxy that
 * is incomplete: it must not be used or freed.
 */
int
proxy_start(struct proxy **, struct event_base *, const struct proxy_settings *,
    const struct header_names *, const char *ready_path, struct view *);
/* Closes all connections and listeners at once, and releases the proxy. */
void proxy_free(struct proxy *);
/* Applies a change of the configuration, the targets or the data centres. */
void proxy_view_changed(struct proxy *);
/* Applies a change of the settings in place; listeners are kept. */
void proxy_settings_changed(struct proxy *);
/*
 * The store has reported on the target beside the node, or cannot be reached.
 * A target may become cold at any time; while reports are missing the guard
 * polls its status check instead.
 */
void proxy_target_reported(struct proxy *);
void proxy_store_lost(struct proxy *);
/* Times in ms from the stop signal, in this order within the grace period. */
int proxy_last_answer_ms(int grace_ms);
int proxy_exit_ms(int grace_ms);

/* Starts to drain: not ready, but new calls are served for part of grace_ms. */
void proxy_drain(struct proxy *);
/* An update that a node publishes to its subscribers. */
struct proxy_update {
	const char *state; /* NULL: no change, only the staleness */
	size_t len;
	int64_t age_ms;	 /* staleness of the sender's state */
	uint64_t reader; /* random number of the node that read the store */
	uint64_t answer; /* number of the store's answer that it received */
	int unsubscribe; /* the subscriber must choose another publisher */
};

/* Subscriptions of a node, each to one other node. */
enum proxy_slot {
	PROXY_SLOT_PUBLISHER, /* publishes the platform's state */
	PROXY_SLOT_FIRST,     /* may replace it, as it ranks first */
	PROXY_SLOT_BACKUP,    /* does the same in another data centre */
	PROXY_SLOT_HELPERS,   /* read the store while it does not answer here */
	PROXY_SLOT_COUNT = PROXY_SLOT_HELPERS + 4
};

/* Kinds of subscription. */
enum proxy_subscription {
	PROXY_UNSUBSCRIBED,
	PROXY_SUBSCRIBE_READ,  /* the publisher must read the store */
	PROXY_SUBSCRIBE_HELP,  /* the same, as the store does not answer the
				  subscriber */
	PROXY_SUBSCRIBE_RELAY, /* the publisher may relay what it receives */
};

/* Digests of the items that a node holds, the array being borrowed. */
struct proxy_held {
	const uint64_t *digests;
	size_t n;
};

/* A value with which updates can be compressed, if both nodes have it. */
struct proxy_base {
	uint64_t digest;
	GBytes *value;
};

/*
 * Callbacks for the state of the platform that nodes exchange.  list_held adds
 * the digest of each item of this node to an array of uint64_t, list_bases the
 * large values that it has or had, newest first, to one of struct proxy_base;
 * the caller gets a reference to each.  write_state appends the items of this
 * node that another one lacks.  read_state merges what another node has sent.
 */
struct proxy_state_calls {
	void *arg;
	void (*list_held)(void *arg, GArray *digests);
	void (*list_bases)(void *arg, GArray *bases);
	void (*write_state)(void *arg, const struct proxy_held *, GString *out);
	void (*read_state)(void *arg, const char *state, size_t len);
	/* An update arrived; without a state it only carries the staleness. */
	void (*updated)(
	    void *arg, enum proxy_slot, const struct proxy_update *);
	/* The link to the publisher of a slot was lost. */
	void (*publisher_lost)(void *arg, enum proxy_slot);
	/* Another node has subscribed to this one. */
	void (*subscribed)(void *arg);
};
/* Copies the callbacks. */
void proxy_set_state(struct proxy *, const struct proxy_state_calls *);
/* Replaces the subscription of a slot; addr NULL only ends the old one. */
void proxy_subscribe(
    struct proxy *, enum proxy_slot, const char *addr, enum proxy_subscription);
/*
 * Time in ms of base_now_ms() of the last input from the publisher in a slot,
 * if that was a part of a frame that is still incomplete, else 0.
 */
int64_t proxy_receiving_at(const struct proxy *, enum proxy_slot);
/* Number of nodes with this kind of subscription to this one. */
int proxy_subscribers(const struct proxy *, enum proxy_subscription);
/*
 * Publishes an update with the current staleness to all subscribers; len 0 for
 * the staleness alone.  unsubscribe makes them choose another publisher.
 */
void
proxy_publish(struct proxy *, const char *state, size_t len, int unsubscribe);
/* Requests the state of the node on a host, which read_state receives. */
void proxy_request_state(struct proxy *, const char *addr);
/* Whether no request or answer is pending. */
int proxy_idle(const struct proxy *);
/*
 * Closes the callers' connections before the process exits, once other nodes
 * have been told that it does: first the
 * listener, then, when called again, what is idle.  Returns whether all are
 * closed.
 */
int proxy_close_callers(struct proxy *);
/* Logs what is pending as the process exits, ms after it began to drain. */
void proxy_log_pending(const struct proxy *, int64_t drained_ms);
/* Id of the target beside the node by its status check, or "". */
const char *proxy_target_id(const struct proxy *);
/* Appends counters and gauges in the Prometheus text format. */
void proxy_print_metrics(const struct proxy *, GString *out);
/*
 * Appends as text where a request would go now: its route, the services, and
 * each target with its state.  Sends nothing and changes no state.
 */
void
proxy_explain(struct proxy *, const char *host, const char *path, GString *out);

#endif
