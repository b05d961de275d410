/*
 * Decision logic of the mesh.  It does no I/O and reads no clock: each function
 * depends only on its state, its arguments and the current time that is passed
 * in as now.  Unless a name says otherwise (_us, wall_ms), times are monotonic
 * ms.  Random numbers are passed in as well.
 */
#ifndef MESH_H
#define MESH_H

#include "../base/base.h"
#include "poison.h"

/* Errors of this package. */
enum mesh_err {
	MESH_OK = 0,
	MESH_EREFUSED = -201,  /* the set is invalid */
	MESH_ENOROUTE = -202,  /* no route matches */
	MESH_ENOTFOUND = -203, /* no object of that name */
	MESH_EOLDER = -204,    /* not newer than the version held */
	MESH_EHASH = -205,     /* content does not match its hash */
	MESH_ERULES = -206,    /* requires newer check rules than MESH_RULES */
	MESH_EFULL = -207,     /* a bounded table is full */
};

#define MESH_NAME_MAX 63  /* bytes in a name */
#define MESH_PATH_MAX 255 /* bytes in a route's path */

/*
 * Version of the newest validation rules that this program implements.  A set
 * states the rules that it was written for, and rules added later are not
 * applied to it.  Old and new programs therefore agree about every set that
 * both can check.
 */
#define MESH_RULES 1

/*
 * ---- set ----
 *
 * A set is the declared configuration of the mesh as a whole: data centres,
 * services, targets and routes.
 */

enum set_state {
	SET_IN,
	SET_OUT
};
enum set_priority {
	PRIORITY_LOW,
	PRIORITY_NORMAL,
	PRIORITY_HIGH
};
enum set_from {
	FROM_ANY,
	FROM_SERVICES
};

struct set_dc {
	char *name;
	int line;  /* of the text, for reports; the same in all objects */
	int state; /* enum set_state */
};

struct set_service {
	char *name;
	int line;
	int slots;	 /* requests that one target runs at a time */
	int connections; /* connections that one target accepts */
	int *targets;	 /* handles, owned */
	int ntargets;
	uint64_t homes; /* hash of its targets' names and VMs in any order */
};

struct set_target {
	char *name;
	int line;
	char *service_name, *dc_name;
	char *vm;
	int state;	 /* enum set_state */
	int service, dc; /* handles */
};

struct set_route {
	char *name;
	int line;
	char *method, *path;
	char *service_name;
	int repeatable; /* 1: its requests may run more than once */
	int deadline_ms;
	int priority; /* enum set_priority */
	int from;     /* enum set_from: who may use the route */
	int service;  /* handle */
};

/*
 * A valid set, immutable once parsed.  A handle is an index into the table of
 * the object's type.
 */
struct set {
	int rules; /* version of the rules that it was written for */
	struct set_dc *dcs;
	struct set_service *services;
	struct set_target *targets;
	struct set_route *routes;
	int ndcs, nservices, ntargets, nroutes;
	GHashTable *route_index; /* "METHOD PATH" to handle + 1 */
	GHashTable *vm_index;	 /* VM to target handle + 1 */
};

/*
 * Parses and validates a set.  Errors and warnings are added to the report.
 * Returns NULL if there are errors, otherwise a set that the caller releases
 * with set_free.
 */
struct set *set_parse(const char *text, size_t len, struct report *);
/* Releases a set; NULL is allowed. */
void set_free(struct set *);
/* Handle of an object by name, or MESH_ENOTFOUND. */
int set_find_dc(const struct set *, const char *name);
int set_find_service(const struct set *, const char *name);
int set_find_target(const struct set *, const char *name);
/* Handle of the target on a VM, or MESH_ENOTFOUND. */
int set_target_of_vm(const struct set *, const char *vm);
/* Whether both a target and its data centre are in the state "in". */
int set_target_in(const struct set *, int target);
/* Handle of the route with the longest match, or MESH_ENOROUTE. */
int set_match_route(const struct set *, const char *method, const char *path);
/* Handle of a route by name, or MESH_ENOTFOUND. */
int set_find_route(const struct set *, const char *name);
/* Names of the enumerators above, as in the text of a set; NULL ends each. */
extern const char *const set_state_names[];
extern const char *const set_priority_names[];
extern const char *const set_from_names[];

/*
 * Appends the changes from the first set to the second, object by object, as
 * lines or as a JSON array.  Returns the number of changes.
 */
int set_diff(const struct set *, const struct set *, int json, GString *out);

/*
 * Sets the state of the named object in a section of a set's text.  Comments
 * and layout stay.  The new text is appended to out.  Returns MESH_OK,
 * MESH_ENOTFOUND if there is no such object, or MESH_EREFUSED if the text is
 * invalid before or after the edit; details are added to the report.
 */
int set_edit_state(const char *text, size_t len, const char *section,
    const char *name, enum set_state, GString *out, struct report *);

/* ---- versions ---- */

#define VERSION_HASH_LEN 16 /* bytes of the BLAKE2b hash of a set */

/* Identity of a published set.  Ordered by number, then by hash. */
struct version {
	uint64_t number; /* 0: none yet */
	unsigned char hash[VERSION_HASH_LEN];
};

/* Order of two versions: below 0, 0, above 0. */
int version_cmp(const struct version *, const struct version *);
/* Computes the hash of a set's text, VERSION_HASH_LEN bytes. */
void version_hash(const char *text, size_t len, unsigned char *hash);
/*
 * Formats a version as NUMBER-HASH, with the first 8 digits of the hash, into
 * buf of VERSION_STR_LEN bytes.  Returns buf, or "none" for number 0.
 */
#define VERSION_STR_LEN 40
const char *version_str(const struct version *, char *buf);
/*
 * Convert a hash to HASH_HEX_LEN - 1 hexadecimal digits and back. hash_from_hex
 * returns MESH_OK, or MESH_EHASH if the text is not exactly that.
 */
void hash_to_hex(const unsigned char *hash, char *hex);
int hash_from_hex(const char *hex, unsigned char *hash);
#define HASH_HEX_LEN (2 * VERSION_HASH_LEN + 1)

/* Verdict on a version that the store or another node offers. */
enum offer_verdict {
	OFFER_OLDER,	      /* not newer than the one held: ignored */
	OFFER_CONFLICT_WINS,  /* same number, greater hash: applied, reported */
	OFFER_CONFLICT_LOSES, /* same number, lesser hash: ignored, reported */
	OFFER_REJECTED,	      /* newer, but found invalid before: ignored */
	OFFER_FETCH,	      /* newer: its text is to be fetched */
};

#define VERSION_REASON_LEN 256 /* bytes, with the final NUL */

/* The versions that a node keeps track of; number 0 where there is none. */
struct version_state {
	struct version held;	 /* in force */
	struct version rejected; /* newest one that this node found invalid */
	char reason[VERSION_REASON_LEN];
	struct version conflict; /* the losing version of the last conflict */
	struct version peer_rejected; /* newest one that a peer found invalid */
	char peer_reason[VERSION_REASON_LEN];
	char peer_name[MESH_NAME_MAX + 1];
};

/* Decides what to do with an offered version; records a lost conflict. */
enum offer_verdict
version_offer(struct version_state *, const struct version *offered);
/*
 * Puts a version in force whose text has been verified.  Returns MESH_OK, or
 * MESH_EOLDER if it is not newer than the one held.
 */
int version_accept(struct version_state *, const struct version *);
/* Records that this node found a version invalid, and why. */
void version_reject(
    struct version_state *, const struct version *, const char *reason);
/*
 * Records that another node found a version invalid.  This only shows in status
 * reports; this node still checks the version itself, since the two programs
 * may implement different rules.
 */
void version_peer_rejected(struct version_state *, const struct version *,
    const char *reason, const char *by);
/*
 * Returns the newest version that is known to be invalid, or NULL if there is
 * none newer than the one held.  Sets reason and by to texts within the state;
 * by is "" if this node rejected the version itself.
 */
const struct version *version_rejected(
    const struct version_state *, const char **reason, const char **by);

/* ---- choice of a target ---- */

/* State of a target as known to the entry that chooses one. */
struct candidate {
	int target; /* handle */
	int local;  /* 1: in the entry's data centre */
	int usable; /* 1: in, alive and not leaving */
	int load;   /* last report plus the entry's own requests, in percent */
	int64_t avoid_until; /* set if it refused or did not answer */
};

/* Load in percent from which local targets spill over to remote ones. */
#define PICK_SPILL_LOAD 90

/*
 * Returns the index of the chosen candidate, or MESH_ENOTFOUND: the less loaded
 * of two random local ones, or, if there is none or its load is at least
 * PICK_SPILL_LOAD, of two random ones in any data centre.  Unusable and avoided
 * candidates are left out.  The random numbers are r1 and r2.
 */
int pick_target(
    const struct candidate *, int n, uint32_t r1, uint32_t r2, int64_t now);
/*
 * Weight of a target for an id.  The targets of a service in descending order
 * of weight are the homes of the id: a request with the id goes to the first
 * home, and to a later one only after those before have refused it.  A target
 * whose tag the id carries has the greatest weight; the other weights come from
 * rendezvous hashing.
 */
uint64_t pick_home_weight(const char *id, const char *target);
/* Index of the k-th home of an id among n targets, or MESH_ENOTFOUND. */
int pick_nth_home(const char *id, const char *const *names, int n, int k);
/* Tag of a target, a hash of its name that reqid_make puts into ids. */
uint16_t pick_tag(const char *target);
/*
 * Chooses at most want of n names by rendezvous hashing over a key.  Writes
 * their indexes to chosen in descending order of weight; returns the number.
 */
int pick_rendezvous(
    const char *key, const char *const *names, int n, int *chosen, int want);

/*
 * ---- concurrency limit of a target ----
 *
 * An exchange is one request and its answer over a connection to the target.
 */

/* Result of an exchange with the target. */
enum exchange {
	EXCHANGE_OK,
	EXCHANGE_SHED,	  /* refused because of load; did not run */
	EXCHANGE_SLOW,	  /* the deadline passed while it ran */
	EXCHANGE_REFUSED, /* no connection; did not run, target may restart */
	EXCHANGE_BROKEN,  /* the connection broke while it ran: a crash */
};

struct limit {
	int slots;		     /* upper bound of current */
	int current;		     /* requests allowed at a time */
	int full_successes;	     /* at full use, since the last step up */
	int64_t recent_us, usual_us; /* latency, fast and slow average */
	int64_t step_up_ms;	     /* pause between two steps up */
	int64_t step_up_at;	     /* earliest time of the next step up */
	int64_t step_down_at;	     /* earliest time of the next step down */
};

/* Starts with a limit of 1 that may grow up to slots. */
void limit_init(struct limit *, int slots);
/* Changes the upper bound. */
void limit_set_slots(struct limit *, int slots);
/* Returns to a limit of 1, as the target has restarted or may have. */
void limit_reset(struct limit *, int64_t now);
/*
 * Adapts the limit to the result of an exchange.  Inflight is the number of
 * requests that ran when it began, itself included.
 */
void limit_update(struct limit *, enum exchange, int64_t latency_us,
    int inflight, int64_t now);

/* ---- retry budget ---- */

/* Bounds retries to a share of successes; a token is a tenth of a retry. */
struct budget {
	int tokens;
};

#define BUDGET_PER_SUCCESS 1 /* tokens: one retry per ten successes */
#define BUDGET_PER_RETRY   10
#define BUDGET_MAX	   100

void budget_init(struct budget *);
/* Adds a success to the budget. */
void budget_add_success(struct budget *);
/* Takes a retry from the budget; returns 0 if there is none left. */
int budget_take_retry(struct budget *);

/*
 * ---- guard ----
 *
 * A guard admits requests to the target beside its node.  It ensures that a
 * request which may run at most once is not run a second time under the same
 * id, and that one reported as "not run" never runs here later.
 */

#define GUARD_ID_MAX	  64	 /* bytes in a request id */
#define GUARD_REMEMBER_MS 120000 /* time for which ids are remembered */
#define GUARD_IDS_MAX	  300000 /* 120 s of 2,500 such calls a second, 41 MB */
#define GUARD_QUEUE_MAX	  64	 /* requests queued for a slot */
#define GUARD_SKEW_MS	  5000	 /* allowed difference of two wall clocks */

enum guard_verdict {
	GUARD_RUN,    /* send it to the target now */
	GUARD_QUEUE,  /* queued; guard_next returns it later */
	GUARD_BUSY,   /* not run: no slot would be free before its deadline */
	GUARD_OUT,    /* not run: the node is leaving or the target is out */
	GUARD_LATE,   /* not run: its deadline has passed */
	GUARD_FENCED, /* not run: fenced or refused earlier */
	GUARD_POISON, /* not run: quarantined, since it crashed targets */
	GUARD_DUPLICATE, /* the id is queued, running or done here */
	GUARD_UNKNOWN,	 /* it may have run; the memory cannot tell */
};

/* A request as offered to a guard. */
struct guard_request {
	char id[GUARD_ID_MAX + 1];
	int once;  /* 1: may run at most once under this id */
	int fresh; /* 1: its entry generated the id and sent it only here */
	int64_t born_wall_ms;	/* wall time at which the id was generated */
	int64_t deadline;	/* monotonic ms of this node */
	int priority;		/* enum set_priority */
	uint64_t fingerprint;	/* hash of method, path and body */
	struct crashes crashes; /* of its fingerprint, known to the entry */
	void *cookie; /* identifies the request for the calling layer */
	/* set by the guard */
	int64_t arrived; /* when it was admitted */
	int inflight; /* requests at the target when it started, with itself */
	int suspect;  /* 1: its fingerprint had crashes when it started */
};

struct guard; /* opaque: see guard.c */

/*
 * Creates a guard of a target with that many slots, released by guard_free.
 * Ids created before wall_ms are not covered by its memory.  The origin is a
 * random number, different in every process, from which the ids of the crashes
 * seen by this guard are derived.
 */
struct guard *guard_new(int slots, int64_t wall_ms, uint64_t origin);
/* Releases a guard; NULL is allowed. */
void guard_free(struct guard *);
/* The target's concurrency limit, owned by the guard. */
struct limit *guard_limit(struct guard *);
/* Whether an id created at that time would be remembered, had it been seen. */
int guard_covers(const struct guard *, int64_t born_wall_ms, int64_t wall_ms);
/* Queues a copy of the request (GUARD_QUEUE) or refuses it. */
enum guard_verdict guard_admit(
    struct guard *, const struct guard_request *, int64_t now, int64_t wall_ms);
/* Records the result of a request that guard_next returned as GUARD_RUN. */
void guard_done(struct guard *, const struct guard_request *, enum exchange,
    int64_t latency_us, int64_t now);
/*
 * Removes a request from the queue and copies it out, with the verdict
 * GUARD_RUN to run it or another one to refuse it.  Returns 0 if no request can
 * leave the queue now, otherwise 1.
 */
int guard_next(
    struct guard *, struct guard_request *, enum guard_verdict *, int64_t now);
/*
 * Removes a queued request by its cookie; it never runs here later.  Returns 0
 * if no such request was queued.
 */
int guard_cancel(struct guard *, const void *cookie);
/*
 * Fences an id.  Returns GUARD_FENCED if no request with the id has run here,
 * and none ever will; GUARD_DUPLICATE if one is queued, running or done; or
 * GUARD_UNKNOWN if the memory does not cover the id's creation or is full.
 */
enum guard_verdict guard_fence(struct guard *, const char *id, int fresh,
    int64_t born_wall_ms, int64_t now, int64_t wall_ms);
/* Refuses all new requests while out is 1. */
void guard_set_out(struct guard *, int out);
/*
 * Records that another target of the service left the set.  Ids created before
 * may have run there if it ranked above self, this guard's target, in the order
 * of their homes.
 */
void guard_target_removed(
    struct guard *, const char *self, const char *target, int64_t wall_ms);
/* Drops all ids; ids created before wall_ms are not covered from now on. */
void guard_reset_ids(struct guard *, int64_t wall_ms);
/* Number of requests at the target, requests queued, and ids remembered. */
int guard_running(const struct guard *);
int guard_waiting(const struct guard *);
int guard_id_count(const struct guard *);
/* Running and queued requests in percent of the limit; may exceed 100. */
int guard_load(const struct guard *);
/* ms after which the sender of a refused request may retry. */
int guard_retry_after(const struct guard *);
/* Adds crashes under a fingerprint that another node has reported. */
void guard_add_crashes(
    struct guard *, uint64_t fingerprint, const struct crashes *, int64_t now);
/* Crashes under a fingerprint that are neither refuted nor expired. */
int guard_crash_count(struct guard *, uint64_t fingerprint, int64_t now);
/* Copies their ids out. */
void guard_crash_ids(
    struct guard *, uint64_t fingerprint, struct crashes *, int64_t now);
/* Calls f for each fingerprint that has such crashes. */
void guard_each_crash(struct guard *, int64_t now,
    void (*f)(void *, uint64_t, const struct crashes *, int64_t until),
    void *arg);
/* Ends a quarantine on an operator's request; returns 0 if there was none. */
int guard_release(struct guard *, uint64_t fingerprint);
/* Appends the fingerprints in quarantine as a JSON array. */
void guard_print_poison(struct guard *, GString *out, int64_t now);

/* ---- request ids ---- */

#define REQID_LEN    36
#define REQID_RANDOM 8 /* random bytes in an id */

/*
 * Makes a UUIDv7 from the wall time, the tag of the target that becomes its
 * first home, and REQID_RANDOM random bytes; buf has REQID_LEN + 1 bytes.
 */
void reqid_make(
    char *buf, int64_t wall_ms, uint16_t tag, const unsigned char *random);
/* Tag within an id, or -1 if the text is not a UUIDv7. */
int reqid_tag(const char *id);
/* Creation time (wall ms) within a UUIDv7, or 0 for any other text. */
int64_t reqid_born(const char *id);

#endif
