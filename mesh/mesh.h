/*
 * The decisions of the mesh, without I/O and without a clock of their own:
 * each is a function of its state, an event and the time now.  All times are
 * monotonic ms; all randomness is passed in by the caller of the function.
 */
#ifndef MESH_H
#define MESH_H

#include "../base/base.h"
#include "poison.h"

/* Errors of this package. */
enum mesh_err {
	MESH_OK = 0,
	MESH_EREFUSED = -201,  /* the check refused the set */
	MESH_ENOROUTE = -202,  /* no route matches */
	MESH_ENOTFOUND = -203, /* no object of that name */
	MESH_EOLDER = -204,    /* not newer than the version held */
	MESH_EHASH = -205,     /* content does not fit its hash */
	MESH_ERULES = -206,    /* needs newer check rules than known here */
	MESH_EFULL = -207,     /* a bounded table is full */
};

#define MESH_NAME_MAX 63  /* bytes in a name */
#define MESH_PATH_MAX 255 /* bytes in a route's path */

/*
 * Number of the newest check rules known to this program.  A set states the
 * rules it was written for; rules with a later number are not applied to it,
 * so that old and new programs give one verdict on every set both accept.
 */
#define MESH_RULES 1

/* ---- the set of declared objects ---- */

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
	int line;
	int state; /* enum set_state */
};

struct set_service {
	char *name;
	int line;
	int slots;	 /* requests that one target runs at a time */
	int connections; /* connections that one target accepts */
	int *targets;	 /* handles, owned */
	int ntargets;
	uint64_t homes; /* hash of its targets' names and VMs */
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
	int repeatable;
	int deadline_ms;
	int priority; /* enum set_priority */
	int from;     /* enum set_from */
	int service;  /* handle */
};

/* One accepted set; a handle is an index into its table.  Never changed. */
struct set {
	int rules; /* check rules it was written for */
	struct set_dc *dcs;
	struct set_service *services;
	struct set_target *targets;
	struct set_route *routes;
	int ndcs, nservices, ntargets, nroutes;
	GHashTable *route_index; /* "METHOD PATH" to handle + 1 */
	GHashTable *vm_index;	 /* VM to target handle + 1 */
};

/*
 * Parses and checks a whole set.  Every problem goes into the report.  NULL
 * when the report has errors; otherwise owned by the caller.
 */
struct set *set_parse(const char *text, size_t len, struct report *);
void set_free(struct set *);
/* Handle of an object by name, or MESH_ENOTFOUND. */
int set_find_dc(const struct set *, const char *name);
int set_find_service(const struct set *, const char *name);
int set_find_target(const struct set *, const char *name);
/* Handle of the target on a VM, or MESH_ENOTFOUND. */
int set_target_of_vm(const struct set *, const char *vm);
/* Whether the set lets a target take new work: itself and its data centre. */
int set_target_in(const struct set *, int target);
/* Handle of the route with the longest match, or MESH_ENOROUTE. */
int set_route(const struct set *, const char *method, const char *path);
/* Handle of a route by name, or MESH_ENOTFOUND. */
int set_find_route(const struct set *, const char *name);
/* Words of the enumerations above. */
extern const char *const set_state_names[];
extern const char *const set_priority_names[];
extern const char *const set_from_names[];

/* Appends what changes from one set to the other, by object. */
int set_diff(const struct set *, const struct set *, int json, GString *out);

/*
 * Edits a set's text: gives a data centre or target the state.  Comments and
 * layout stay.  The new text is appended to out.
 */
int set_edit_state(const char *text, size_t len, const char *section,
    const char *name, enum set_state, GString *out, struct report *);

/* ---- versions ---- */

#define VERSION_HASH_LEN 16 /* bytes of BLAKE2b kept as the content hash */

/* Identity of a published set.  Ordered by number, then by hash. */
struct version {
	uint64_t number; /* 0: none yet */
	unsigned char hash[VERSION_HASH_LEN];
};

/* Order of two versions: below 0, 0, above 0. */
int version_cmp(const struct version *, const struct version *);
/* Hash of a set's text. */
void version_hash(const char *text, size_t len, unsigned char *hash);
/* NUMBER-HASH, the hash shortened to 8 digits; buf has VERSION_STR_LEN. */
#define VERSION_STR_LEN 40
const char *version_str(const struct version *, char *buf);
/* Full hash as hexadecimal digits and back. */
void hash_to_hex(const unsigned char *hash, char *hex);
int hash_from_hex(const char *hex, unsigned char *hash);
#define HASH_HEX_LEN (2 * VERSION_HASH_LEN + 1)

/* Decision over an offered version. */
enum offer_verdict {
	OFFER_OLDER,	      /* not newer than one ever held: ignored */
	OFFER_CONFLICT_WINS,  /* same number, greater hash: taken, reported */
	OFFER_CONFLICT_LOSES, /* same number, lesser hash: not taken, reported
			       */
	OFFER_REJECTED,	      /* newer, but refused by the check before */
	OFFER_FETCH,	      /* newer: its text is wanted */
};

/* What a node remembers of versions. */
#define VERSION_REASON_LEN 256

struct version_state {
	struct version held;	 /* in force */
	struct version rejected; /* newest one rejected, number 0 if none */
	char reason[VERSION_REASON_LEN]; /* why it was rejected */
	struct version conflict; /* the losing side of a conflict seen */
	struct version told;	 /* newest one that another node rejected */
	char told_reason[VERSION_REASON_LEN];
	char told_by[MESH_NAME_MAX + 1];
};

enum offer_verdict
version_offer(struct version_state *, const struct version *offered);
/* Takes a fully verified version; 0 or MESH_EOLDER. */
int version_take(struct version_state *, const struct version *);
/* Remembers a rejected version. */
void version_reject(
    struct version_state *, const struct version *, const char *reason);
/*
 * Remembers what another node rejected, for the status alone: whether this
 * node rejects it as well is for its own check, whose rules may be others.
 */
void version_told(struct version_state *, const struct version *,
    const char *reason, const char *by);
/*
 * The newest version that is known to be rejected and is newer than what is
 * held, or NULL; reason and by point into the state, by is "" for this node.
 */
const struct version *version_rejected(
    const struct version_state *, const char **reason, const char **by);

/* ---- choice of a target ---- */

/* What an entry knows of a target when it chooses. */
struct candidate {
	int target; /* handle */
	int local;  /* 1: in the entry's data centre */
	int usable; /* 1: in, alive and not leaving */
	int load;   /* percent of its limit in use, as last told, with ours */
	int64_t avoid_until; /* refused or silent lately */
};

#define PICK_SPILL_LOAD 90 /* percent; local targets above it spill over */

/*
 * Index of the chosen candidate, or MESH_ENOTFOUND: local ones first, of two
 * random ones the less loaded, others when the local ones are loaded.
 */
int pick_target(
    const struct candidate *, int n, uint32_t r1, uint32_t r2, int64_t now);
/*
 * Weight of a target for an id; the target with the greatest is the id's home.
 * An id that carries a target's tag has that target for its home, any other
 * one by rendezvous hashing.
 */
uint64_t pick_home(const char *id, const char *target);
/* Index of the k-th home of an id among n targets, or MESH_ENOTFOUND. */
int home_at(const char *id, const char *const *names, int n, int k);
/* Tag of a target that reqid_make puts into ids. */
uint16_t pick_tag(const char *target);
/*
 * Chooses at most want of n named members by rendezvous hashing over a key;
 * fills chosen with their indexes in descending order.
 */
int pick_rendezvous(
    const char *key, const char *const *names, int n, int *chosen, int want);

/* ---- concurrency limit of a target ---- */

/* What an exchange with the target said. */
enum exchange {
	EXCHANGE_OK,
	EXCHANGE_SHED,	  /* the target refused for load: not run */
	EXCHANGE_SLOW,	  /* the deadline passed while it ran */
	EXCHANGE_REFUSED, /* no connection: not run, the target may be fresh */
	EXCHANGE_BROKEN,  /* the connection broke while it ran: a crash */
};

struct limit {
	int slots;		     /* ceiling */
	int current;		     /* requests allowed at a time */
	int successes;		     /* since the last step up */
	int64_t recent_us, usual_us; /* latency, smoothed fast and slowly */
	int64_t step_ms;	     /* between two steps up */
	int64_t step_at;	     /* no step up before */
	int64_t hold_until;	     /* no step down before */
};

void limit_init(struct limit *, int slots);
/* Changes the ceiling when the set does. */
void limit_slots(struct limit *, int slots);
/* The target is, or may be, fresh: begins again from one. */
void limit_cold(struct limit *, int64_t now);
/* Learns from an exchange that began when inflight requests ran. */
void limit_note(struct limit *, enum exchange, int64_t latency_us, int inflight,
    int64_t now);

/* ---- retry budget ---- */

/* Retries as a share of successes; tokens are tenths of a retry. */
struct budget {
	int tokens;
};

#define BUDGET_PER_SUCCESS 1 /* tokens: one retry per ten successes */
#define BUDGET_PER_RETRY   10
#define BUDGET_MAX	   100

void budget_init(struct budget *);
void budget_success(struct budget *);
/* Takes a retry from the budget; 0 when there is none. */
int budget_retry(struct budget *);

/* ---- guard: admission to the target beside the node ---- */

#define GUARD_ID_MAX	  64	 /* bytes in a request id */
#define GUARD_REMEMBER_MS 120000 /* ids are remembered this long */
#define GUARD_IDS_MAX	  300000 /* 120 s of 2,500 such calls a second, 41 MB */
#define GUARD_QUEUE_MAX	  64	 /* requests that wait for a slot */
#define GUARD_SKEW_MS	  5000	 /* allowed difference of two wall clocks */

enum guard_verdict {
	GUARD_RUN,	 /* hand it to the target now */
	GUARD_QUEUE,	 /* it waits; guard_next gives it out */
	GUARD_BUSY,	 /* refused, not run: no room before the deadline */
	GUARD_OUT,	 /* refused, not run: leaving or out */
	GUARD_LATE,	 /* refused, not run: the deadline has passed */
	GUARD_FENCED,	 /* refused, not run: fenced before it came */
	GUARD_POISON,	 /* refused, not run here: it crashed targets */
	GUARD_DUPLICATE, /* the id is held: waiting, running or done here */
	GUARD_UNKNOWN,	 /* the id is older than this guard's memory */
};

/* One request as the guard sees it. */
struct guard_request {
	char id[GUARD_ID_MAX + 1];
	int once;  /* 1: may run at most once under this id */
	int fresh; /* 1: made by its entry and sent nowhere else before */
	int64_t born_wall_ms;	/* when the id was made */
	int64_t deadline;	/* monotonic ms of this node */
	int priority;		/* enum set_priority */
	uint64_t fingerprint;	/* of method, path and body */
	struct crashes crashes; /* that its sender knows of */
	void *cookie;		/* of the layer above */
	int64_t arrived;	/* ms, when it was admitted */
	int inflight; /* requests at the target when it was handed out */
	int suspect;  /* 1: was under suspicion when it was handed out */
};

struct guard; /* opaque: see guard.c */

/*
 * Slots are those of the target; memory of ids begins at wall_ms.  The origin,
 * of which no two processes have the same, sets apart the crashes seen here.
 */
struct guard *guard_new(int slots, int64_t wall_ms, uint64_t origin);
void guard_free(struct guard *);
struct limit *guard_limit(struct guard *);
/* Whether an id made at a time is one that this guard would remember. */
int guard_covers(const struct guard *, int64_t born_wall_ms, int64_t wall_ms);
/* Admits or refuses; the request is copied when it is taken. */
enum guard_verdict guard_admit(
    struct guard *, const struct guard_request *, int64_t now, int64_t wall_ms);
/* A request came back from the target. */
void guard_done(struct guard *, const struct guard_request *, enum exchange,
    int64_t latency_us, int64_t now);
/*
 * Takes a waiting request: GUARD_RUN to run it, GUARD_LATE or GUARD_BUSY to
 * refuse it as not run.  0 when none can be taken.
 */
int guard_next(
    struct guard *, struct guard_request *, enum guard_verdict *, int64_t now);
/* Removes a waiting request by cookie, not run.  0 when none was waiting. */
int guard_cancel(struct guard *, const void *cookie);
/*
 * Fences an id: GUARD_FENCED when it was not seen and now never will be run
 * here, GUARD_DUPLICATE when it is held, GUARD_UNKNOWN when the memory does
 * not reach back to its birth.
 */
enum guard_verdict guard_fence(struct guard *, const char *id, int fresh,
    int64_t born_wall_ms, int64_t now, int64_t wall_ms);
/* Refuses all new work from now on, or admits again. */
void guard_set_out(struct guard *, int out);
/*
 * A target that shared the homes of ids left the set: ids born before, for
 * which it came before self, may have run there.
 */
void guard_note_removed(
    struct guard *, const char *self, const char *target, int64_t wall_ms);
/* Forgets all ids; those born before wall_ms are unknown from now on. */
void guard_forget(struct guard *, int64_t wall_ms);
/* Requests at the target now, waiting now, ids remembered. */
int guard_running(const struct guard *);
int guard_waiting(const struct guard *);
int guard_remembered(const struct guard *);
/* Load as percent of the limit in use, queue included. */
int guard_load(const struct guard *);
/* ms after which a refused sender may come back. */
int guard_retry_after(const struct guard *);
/* Learns of crashes under a fingerprint from another guard. */
void guard_suspect(
    struct guard *, uint64_t fingerprint, const struct crashes *, int64_t now);
/* Crashes counted under a fingerprint, 0 once they have been forgotten. */
int guard_crashes(struct guard *, uint64_t fingerprint, int64_t now);
/* The ids of these. */
void guard_crash_ids(
    struct guard *, uint64_t fingerprint, struct crashes *, int64_t now);
/* Calls f for each fingerprint under which crashes count. */
void guard_each_crash(struct guard *, int64_t now,
    void (*f)(void *, uint64_t, const struct crashes *, int64_t until),
    void *arg);
/* Forgets a quarantine by the operator's word; 0 when there was none. */
int guard_release(struct guard *, uint64_t fingerprint);
/* Appends the quarantined fingerprints as a JSON array. */
void guard_print_poison(struct guard *, GString *out, int64_t now);

/* ---- request ids ---- */

#define REQID_LEN    36
#define REQID_RANDOM 8 /* random bytes in an id */

/*
 * Makes a UUIDv7 from the wall time, the tag of the target that is to be its
 * home and random bytes; buf has REQID_LEN + 1 bytes.
 */
void reqid_make(
    char *buf, int64_t wall_ms, uint16_t tag, const unsigned char *random);
/* The tag of an id, or -1 when the text is not a UUIDv7. */
int reqid_tag(const char *id);
/* Birth in wall ms that a UUIDv7 states, or 0 for any other text. */
int64_t reqid_born(const char *id);

#endif
