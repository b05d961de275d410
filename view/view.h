/*
 * A node's copy of the platform's state: the configuration in force, the listed
 * targets, and the data centres that are out.  Does no I/O and reads no clock.
 * The code that reads the platform updates it; the code that routes requests
 * queries it.
 */
#ifndef VIEW_H
#define VIEW_H

#include "../base/base.h"

/* Errors of this package. */
enum view_err {
	VIEW_OK = 0,
	VIEW_EOLDER = -701,   /* not newer than the configuration held */
	VIEW_ENOROUTE = -702, /* no route matches */
};

#define VIEW_ID_MAX 64 /* bytes in the id of a request or target */
#define VIEW_SERVICE_UNKNOWN \
	(-1) /* handle of a service with an unparsed name */

/* A revision of the platform's store. */
struct view_revision {
	uint64_t era;	 /* rises when the store is restored; 0: unknown */
	uint64_t number; /* rises with each change; a restore sets it back */
};

/* Orders two revisions, by era first, as strcmp() orders strings. */
int view_revision_compare(struct view_revision, struct view_revision);

/*
 * ---- configuration ----
 *
 * A part of the configuration that could not be decoded is unparsed.  It does
 * not invalidate the rest; only requests that depend on it are refused.
 */

struct view_service {
	char *name;
	char *health_path; /* of the health check */
	int connections;   /* that one target accepts */
	int cold_ms;	   /* warm-up time of a target after its start */
	double cold_per_s; /* requests a second that a cold target sustains */
};

/* One service of a route's traffic split. */
struct view_split {
	int service; /* handle, or VIEW_SERVICE_UNKNOWN */
	int weight;
	int credit; /* state of the weighted round-robin */
};

/* One route, reference-counted, as versions of a configuration share it. */
struct view_route {
	int refs;
	uint32_t hash; /* of key */
	char *key;     /* host in lower case and prefix; NULL if unparsed */
	char *name;
	char *host;
	char *prefix;	/* begins and ends with a slash; NULL if unparsed */
	int repeatable; /* 1: its requests may run more than once */
	int timeout_ms; /* longest time for which a caller waits */
	int goal_ms;	/* latency goal: an answer within it is worth most */
	int attempts;	/* targets to which one request may be sent at most */
	int priority;	/* 0 is the most urgent */
	struct view_split *parts;
	int nparts;
	int unusable;  /* 1: partly unparsed, so its requests are refused */
	int unparsed;  /* number of its parts that are */
	char *problem; /* with the first of them, or NULL */
};

/* Limits for callers' requests and connections; below 0: not set. */
struct view_limits {
	int head_bytes, body_bytes;
	int head_ms; /* to receive a whole header */
	int idle_ms; /* between requests */
};

/* Where a route stands in the text of its configuration; length 0: unknown. */
struct view_extent {
	uint32_t at, length; /* bytes */
};

/*
 * One configuration, reference-counted.  It is immutable once complete, except
 * for the round-robin state of its routes.
 */
struct view_config {
	int refs;
	uint64_t version;
	struct view_service *services;
	int nservices;
	GPtrArray *routes; /* of struct view_route, each with a reference */
	struct view_limits limits;
	GHashTable *index; /* set of struct view_route by their keys */
	/* Encoded, or NULL; the next version is compared with it. */
	GBytes *text;
	GArray *extents; /* of struct view_extent, by route; or empty */
	/* Hosts of routes with an unparsed prefix; "" stands for any host. */
	GHashTable *unparsed_hosts;
};

/* Creates an empty configuration with one reference, of the caller. */
struct view_config *view_config_new(void);
/* Adds a reference; returns its argument. */
struct view_config *view_config_ref(struct view_config *);
/* Drops a reference; the last one releases it.  NULL is allowed. */
void view_config_unref(struct view_config *);
/* Drops the encoded text, which only the next version needs. */
void view_config_retire(struct view_config *);
/* Creates a route with one reference; the prefix may be NULL. */
struct view_route *
view_route_new(const char *name, const char *host, const char *prefix);
struct view_route *view_route_ref(struct view_route *);
void view_route_unref(struct view_route *);
/*
 * Adds a route and takes over the caller's reference.  Returns 0 if it shares
 * host and prefix with another one, and is not indexed then.
 */
int view_config_add(struct view_config *, struct view_route *);
/* A route by its position. */
struct view_route *view_config_route(const struct view_config *, guint);
/* Handle of a service, or -1. */
int view_find_service(const struct view_config *, const char *name);
/* The route of the longest prefix, or NULL; ignores a port and a query. */
struct view_route *
view_route(const struct view_config *, const char *host, const char *path);
/* Adds the host of a route with an unparsed prefix; "" for any host. */
void view_add_unparsed_host(struct view_config *, const char *host);
/*
 * Whether a request that view_route finds no route for may match one with an
 * unparsed prefix.
 */
int view_has_unparsed_route(const struct view_config *, const char *host);
/*
 * Chooses a service of the route's traffic split by weight.  Returns its
 * handle, or VIEW_SERVICE_UNKNOWN.  Random sets the start of the first round.
 */
int view_next_service(struct view_route *, uint32_t random);

/* ---- targets ---- */

enum view_state {
	VIEW_READY,
	VIEW_DRAINING,
};

/* A target's entry in the platform's list. */
struct view_target {
	char id[VIEW_ID_MAX + 1];
	char service[VIEW_ID_MAX + 1];
	char addr[ADDRESS_MAX]; /* at which it accepts requests */
	char dc[VIEW_ID_MAX + 1];
	int slots; /* requests that it runs at a time */
	enum view_state state;
	int cold_ms;	 /* rest of its warm-up time */
	int64_t born_ms; /* wall time of its start, 0 if not given */
	struct view_revision revision; /* of the store, when it changed */
};

struct view {
	struct view_config *config; /* or NULL */
	GHashTable *targets;	    /* id to struct view_target, owned */
	GHashTable *out;	    /* data centres that are out, owned */
	/* rises with each change of the targets or of what is out */
	uint64_t changes;
	/* of the newest complete list; number 0: none */
	struct view_revision listed_revision;
	int64_t synced_at; /* all changes up to then are applied (ms), or 0 */
	/* the store's answer on which synced_at is based */
	uint64_t synced_reader; /* id of the node's reader that received it */
	uint64_t
	    synced_answer; /* its number among that reader's answers, from 1 */
};

/* Creates an empty view, released by view_free. */
struct view *view_new(void);
void view_free(struct view *);
/*
 * Puts a configuration in force and takes over the caller's reference.  Returns
 * VIEW_OK, or VIEW_EOLDER if it is not newer; the reference is dropped then.
 */
int view_set_config(struct view *, struct view_config *);
/*
 * Adds or updates a target.  The caller knows which of two entries is newer.
 * Returns 1 if the target is new or its state, slots, start time, address or
 * service changed.
 */
int view_set_target(struct view *, const struct view_target *);
/* Removes a target; returns 1 if there was one. */
int view_remove_target(struct view *, const char *id);
/* Whether a data centre is out. */
int view_is_out(const struct view *, const char *dc);
/* Sets whether a data centre is out; returns 1 if that was a change. */
int view_set_out(struct view *, const char *dc, int out);
/* The newest entry of a target with that address and service, or NULL. */
const struct view_target *
view_find_target(const struct view *, const char *addr, const char *service);

#endif
