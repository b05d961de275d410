/*
 * The mesh's data path on a platform of the users: an entry takes the requests
 * of the VM's callers and of its target, a gate beside each target hands it
 * what it can bear, links carry requests between nodes.  One event loop, no
 * threads.
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

/* Names of headers on requests and answers; the platform's adapter has them. */
struct header_names {
	const char *id;		  /* of a caller's attempt, echoed in answers */
	const char *remaining_ms; /* how long the sender will wait */
	const char *seal;	  /* proof that an answer is a target's */
	const char *expect_target; /* any target but this refuses */
	const char *not_run;	   /* the target did not run the request */
	const char *caller;	   /* service beside which the request began */
	const char *target;	   /* id of the target, in status checks */
	const char *cold_ms;	   /* it stays cold so long, in status checks */
	const char *retry_after;   /* s until the caller may come back */
};

/* What the data path is told of its place. */
struct proxy_settings {
	char *name; /* of the VM */
	char *data_centre;
	char *service; /* of the target beside the node */
	char *target;  /* address of the target */
	char *callers; /* address for callers and the target */
	char *links;   /* address for other nodes */
	char *ready;   /* address for the question whether it is ready */
	int memory_mb; /* that the process may use */
	int grace_ms;  /* from the wish to stop until the process is killed */
	int retry_window_ms;
	double retry_ratio; /* repeats a request of a service, in the fleet */
	double cold_ratio;  /* a cold target bears its rate times this */
	double cold_slack;  /* and so many requests in a second beyond */
	double retry_slack; /* repeats in a window beyond these, in the fleet */
};

struct proxy; /* opaque: see proxy_int.h */

/* Listens on all addresses; the settings and the view stay the caller's. */
int
proxy_start(struct proxy **, struct event_base *, const struct proxy_settings *,
    const struct header_names *, const char *ready_path, struct view *);
void proxy_free(struct proxy *);
/* The configuration, the targets or the data centres that are out changed. */
void proxy_view_changed(struct proxy *);
/* The settings changed in place; addresses listened on stay. */
void proxy_settings_changed(struct proxy *);
/*
 * The platform reports of the target beside the node, or cannot be asked.  A
 * target may become cold at any time; without a report its status check is
 * asked often.
 */
void proxy_target_reported(struct proxy *);
void proxy_store_lost(struct proxy *);
/* Begins to leave: not ready; callers and the target are served a while. */
void proxy_leave(struct proxy *);
/* What one node tells those that subscribed to it. */
struct proxy_news {
	const char *state; /* NULL: there is nothing new */
	size_t len;
	int64_t age_ms;	 /* since all that the sender knew was complete */
	uint64_t reader; /* by an answer that this node had */
	uint64_t answer; /* which of them */
	int unsubscribe; /* another node has to be asked */
};

/* What a node is subscribed to another for; one node for each. */
enum proxy_slot {
	PROXY_PUBLISHER, /* it tells of the platform */
	PROXY_BACKUP,	 /* it does the same in another data centre */
	PROXY_HELPERS,	 /* they read as the store does not answer here */
	PROXY_SLOTS = PROXY_HELPERS + 4
};

/* How a node is subscribed to another. */
enum proxy_subscription {
	PROXY_UNSUBSCRIBED,
	PROXY_READ,  /* the other has to read the store */
	PROXY_HELP,  /* the same, as the store does not answer this one */
	PROXY_RELAY, /* it may pass on what it is told */
};

/*
 * What nodes tell each other of the platform: give appends what is held here,
 * take reads what another node held.
 */
struct proxy_state {
	void *arg;
	void (*write_state)(void *arg, GString *out);
	void (*read_state)(void *arg, const char *state, size_t len);
	/* News, or only how old they are, came from the node of a slot. */
	void (*updated)(void *arg, enum proxy_slot, const struct proxy_news *);
	/* The link to that node was lost. */
	void (*publisher_lost)(void *arg, enum proxy_slot);
	/* Another node has subscribed to this one. */
	void (*subscribed)(void *arg);
};
void proxy_set_state(struct proxy *, const struct proxy_state *);
/* Subscribes to the node on a host instead of that of the slot, or to none. */
void proxy_subscribe(
    struct proxy *, enum proxy_slot, const char *addr, enum proxy_subscription);
/* Nodes that are subscribed to this one in that way. */
int proxy_subscribers(const struct proxy *, enum proxy_subscription);
/* Tells all that are subscribed what is new, or how old all that is known is.
 */
void
proxy_publish(struct proxy *, const char *state, size_t len, int unsubscribe);
/* Asks the node on a host for what it holds; take is called if it answers. */
void proxy_ask_state(struct proxy *, const char *addr);
/* Whether nothing is under way. */
int proxy_idle(const struct proxy *);
/* Id of the target beside the node by its own word, or "". */
const char *proxy_target_id(const struct proxy *);
/* Appends counters and gauges in the Prometheus text format. */
void proxy_print(const struct proxy *, GString *out);

#endif
