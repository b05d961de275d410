/*
 * What a node believes: the configuration in force, the targets that are
 * listed, the data centres that are out.  No I/O and no clock of its own; who
 * reads a platform fills it, who routes requests asks it.
 */
#ifndef VIEW_H
#define VIEW_H

#include "../base/base.h"

/* Errors of this package. */
enum view_err {
	VIEW_OK = 0,
	VIEW_EOLDER = -701,   /* not newer than what is held */
	VIEW_ENOROUTE = -702, /* no route matches */
};

#define VIEW_ID_MAX 64	 /* bytes in the id of a request or target */
#define VIEW_UNREAD (-1) /* handle of a service whose name was not read */

/* ---- configuration ---- */

struct view_service {
	char *name;
	char *health_path;
	int connections;   /* that one target accepts */
	int cold_ms;	   /* a started target is cold so long */
	double cold_per_s; /* requests a second a cold target bears */
};

/* A service that a route leads to, and its share. */
struct view_part {
	int service; /* handle, or VIEW_UNREAD */
	int weight;
	int credit; /* of smooth weighted turns */
};

struct view_route {
	char *name;
	char *host;
	char *prefix; /* begins and ends with a slash */
	int repeatable;
	int timeout_ms; /* the longest a caller is kept waiting */
	int goal_ms;	/* an answer within it is worth most */
	int attempts;	/* targets that one request may be sent to */
	int priority;	/* 0 goes first */
	struct view_part *parts;
	int nparts;
	int unusable; /* it could not be read: nothing may be sent by it */
};

/* What a caller may send, and how slowly; below 0: not said. */
struct view_limits {
	int head_bytes, body_bytes;
	int head_ms; /* for a whole head */
	int idle_ms; /* between requests */
};

/* One accepted configuration, counted; only turns of parts ever change. */
struct view_config {
	int refs;
	uint64_t version;
	struct view_service *services;
	int nservices;
	struct view_route *routes;
	int nroutes;
	struct view_limits limits;
	GHashTable *index; /* host and prefix to struct view_route */
	/* Hosts with a route whose prefix was not read; "": on any host. */
	GHashTable *unplaced;
};

struct view_config *view_config_new(void);
struct view_config *view_config_ref(struct view_config *);
void view_config_unref(struct view_config *);
/* Builds the index; 0 when two routes share a host and prefix. */
int view_config_index(struct view_config *);
/* Handle of a service, or -1. */
int view_find_service(const struct view_config *, const char *name);
/* The route of the longest prefix, or NULL. */
struct view_route *
view_route(const struct view_config *, const char *host, const char *path);
/* Adds a host, or "", with a route that nobody can place. */
void view_add_unplaced(struct view_config *, const char *host);
/* Whether a request that no route matches may belong to one that is there. */
int view_may_route(const struct view_config *, const char *host);
/*
 * The service whose turn it is, by weight, or VIEW_UNREAD; random starts the
 * first round.
 */
int view_turn(struct view_route *, uint32_t random);

/* ---- targets ---- */

enum view_state {
	VIEW_READY,
	VIEW_DRAINING,
};

/* A target as the platform lists it. */
struct view_target {
	char id[VIEW_ID_MAX + 1];
	char service[VIEW_ID_MAX + 1];
	char addr[ADDRESS_MAX]; /* where it takes requests */
	char dc[VIEW_ID_MAX + 1];
	int slots; /* requests it runs at a time */
	enum view_state state;
	int cold_ms;	   /* it stays cold so much longer */
	int64_t born_ms;   /* wall time of its start, 0 when not said */
	uint64_t revision; /* of the listing's entry */
};

struct view {
	struct view_config *config; /* or NULL */
	GHashTable *targets;	    /* id to struct view_target, owned */
	GHashTable *out;	    /* data centres that are out, owned */
	uint64_t listed_at;	    /* revision of the newest whole list */
	int64_t known_at;	    /* all changes until then are held, or 0 */
	uint64_t reader;	    /* whose answer of the store tells so */
	uint64_t answer;	    /* which of its answers, from 1 */
};

struct view *view_new(void);
void view_free(struct view *);
/* Takes a configuration over; VIEW_EOLDER releases it. */
int view_take_config(struct view *, struct view_config *);
/* Takes what is listed of a target; 1 when more than its times changed. */
int view_take_target(struct view *, const struct view_target *);
/* A target is no longer listed as of a revision; 1 when it was. */
int view_drop_target(struct view *, const char *id, uint64_t revision);
/* Whether a data centre is out. */
int view_is_out(const struct view *, const char *dc);
/* Takes one data centre out or back; 1 when that changed anything. */
int view_set_out(struct view *, const char *dc, int out);
/* The target listed at an address for a service, or NULL. */
const struct view_target *
view_target_at(const struct view *, const char *addr, const char *service);

#endif
