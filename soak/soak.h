/*
 * Randomized fault-injection test of teaselside.  Real processes run on
 * loopback addresses, each beside a stand-in target, and all use one stand-in
 * store.  Faults are injected from outside the processes, and what callers and
 * targets observe is checked throughout the run.
 *
 * All times are monotonic milliseconds (base_now_ms) unless a name says
 * otherwise.  Everything runs on one thread, on the loop of struct soak.
 */
#ifndef SOAK_H
#define SOAK_H

#include <stdio.h>
#include <string.h>
#include <sys/types.h>

#include "../platform/platform.h"
#include "../standin/store.h"

#define SOAK_NODES_MAX 48
#define SOAK_ID_MAX    24  /* bytes of a request id, with its NUL */
#define SOAK_PATH_MAX  128 /* bytes of a request path, with its NUL */
#define SOAK_DCS       3
#define SOAK_VERSIONS  64 /* newest versions that are remembered */
/* Newest versions that a configuration has a route for. */
#define SOAK_MARKED_MAX 16

/* Services, and the routes that lead to them. */
enum {
	ALPHA,
	BETA,
	SERVICES
};
enum {
	ROUTE_READ,
	ROUTE_WRITE,
	ROUTE_SPLIT,
	ROUTES
};
extern const char *const soak_services[]; /* names by index, NULL at the end */
extern const char *const soak_dcs[SOAK_DCS];

struct soak;
struct soak_target;
struct link_proxy;

/* ---- checks of what callers and targets observed ---- */

/* One request of a caller. */
struct attempt {
	char id[SOAK_ID_MAX];
	char token[SOAK_ID_MAX]; /* last part of the path, and the body */
	int crasher;		 /* number of the crasher request, or 0 */
	int route, node, runs;	 /* runs: how many times targets ran it */
	int answered;		 /* targets that wrote a whole answer */
	int refused; /* status of a "not run" answer to the caller, or 0 */
	int status_classes; /* bit N: a target answered with status Nxx */
	int ended; /* answered, disconnected, or given up by the caller */
	int64_t sent_at;
};

/* What the caller saw; counted over all requests. */
enum count_kind {
	COUNT_SENT,
	COUNT_SERVED,
	COUNT_REFUSED, /* a status that says that the request did not run */
	COUNT_FAILED,
	COUNT_DISCONNECTED, /* the connection closed without an answer */
	COUNT_KINDS
};

/*
 * A request that crashes each target that starts to run it.  Callers send it
 * again and again for a while, under new ids.
 */
struct crasher {
	int number;  /* of the request that is being sent; 0: none yet */
	int crashes; /* targets that it crashed */
	int64_t third_crash_at; /* time of the third crash, or 0 */
	int late_crashes; /* crashes more than LATE_CRASH_MS after the third */
};

struct checker {
	GHashTable *attempts; /* id to struct attempt, owned */
	struct crasher crasher;
	int crash_count; /* targets crashed by all crasher requests */
	int violations;
	int probes; /* answers that showed a node's configuration */
	int counts[COUNT_KINDS];
};

void checker_init(struct checker *);
void checker_destroy(struct checker *);
/* Registers a new request.  The checker owns it until checker_destroy(). */
struct attempt *checker_new_attempt(struct soak *, int node, int route);
/* Registers one more attempt of the current crasher request. */
struct attempt *checker_new_crasher(struct soak *, int node);
/* Records that a crasher request crashed the target beside a node. */
void checker_target_crashed(struct soak *, const struct attempt *, int node);
/*
 * Checks a request that a target of the service starts to run.  Returns NULL
 * when no caller sent a request with its id.
 */
struct attempt *
checker_run_started(struct soak *, const struct http_message *, int service);
/* Checks the answer that a caller received. */
void
checker_answered(struct soak *, struct attempt *, const struct http_message *);
/*
 * Checks a connection that closed before the answer to a request arrived.  If
 * killed is set, the process was killed or exited meanwhile, and that is no
 * violation.
 */
void checker_disconnected(struct soak *, struct attempt *, int killed);
/* Checks at the end of the run that every request has ended. */
void checker_all_ended(struct soak *);
/* Reports that a rule, such as "TWICE", was violated, and counts it. */
void checker_violation(struct soak *, const char *rule, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
/* Stores the body of the right answer to a request. */
void checker_answer_body(GString *, const char *id, const char *path);

/* ---- targets ---- */

/* Fault of a target, in effect until a given time. */
enum target_fault {
	TARGET_SLOW,	     /* takes five times as long */
	TARGET_NO_ANSWER,    /* runs requests, closes without an answer */
	TARGET_CUT_BODY,     /* closes in the middle of the body */
	TARGET_EXTRA_ANSWER, /* sends a second answer after the first */
	TARGET_ERROR,	     /* answers 500 */
	TARGET_FULL,	     /* refuses all requests as if overloaded */
	TARGET_FAIL_CHECK,   /* fails health checks though it serves */
	TARGET_FAULTS
};

/* Starts a target beside a node.  The caller frees it. */
struct soak_target *soak_target_new(struct soak *, int node, int service);
void soak_target_free(struct soak_target *);
void
soak_target_set_fault(struct soak_target *, enum target_fault, int64_t until);
/*
 * Stops at once and restarts after ms.  With new_id it restarts under a new
 * id, and its entry in the store is removed; else the entry stays.
 */
void soak_target_crash(struct soak_target *, int ms, int new_id);
/* Stops, and restarts at the same address as a server of the other service. */
void soak_target_change_service(struct soak_target *, int ms);
/* Reports that it drains, stops after a while, and restarts after ms more. */
void soak_target_drain(struct soak_target *, int ms);
/*
 * Removes its entry from the store, as if the entry had expired because
 * reports were lost.  It reports again after ms.
 */
void soak_target_expire(struct soak_target *, int ms);
/* It reports again within ms, whatever its state. */
void soak_target_report_in(struct soak_target *, int ms);
int soak_target_service(const struct soak_target *);
/* Service of the target from its next start on. */
int soak_target_next_service(const struct soak_target *);
/* Requests that it started to run since the previous call. */
int soak_target_take_runs(struct soak_target *);

/* ---- callers ---- */

void callers_start(struct soak *);
void callers_stop(struct soak *);
/* Sets the mean pause of each caller between two requests. */
void callers_set_pause(struct soak *, int ms);
/* Requests through a node answered with 200 since the previous call. */
int callers_take_served(struct soak *, int node);
/* Requests that have not ended. */
int callers_waiting(struct soak *);

/* ---- a loopback proxy in front of the link listener of each node ---- */

/* Fault of the links that other nodes open to this node. */
enum link_fault {
	LINK_PASS,     /* none */
	LINK_DELAY,    /* bytes are forwarded 40 ms late */
	LINK_DROP_IN,  /* drops bytes to the node, then all of the stream */
	LINK_DROP_OUT, /* the same for bytes from the node */
	LINK_SILENT,   /* open connections forward nothing more */
	LINK_RESET,    /* open connections are reset */
	LINK_REFUSE,   /* open and new connections are reset */
	LINK_FAULTS
};

/* Starts a proxy from one ADDRESS:PORT to another.  The caller frees it. */
struct link_proxy *
link_proxy_new(struct soak *, const char *listen, const char *forward);
void link_proxy_free(struct link_proxy *);
void link_proxy_set_fault(struct link_proxy *, enum link_fault);

/* ---- the processes under test ---- */

struct soak_node {
	int i;			/* index in struct soak */
	char host[ADDRESS_MAX]; /* of its target, callers and link proxy */
	char dc[16], config[256], log[256];
	pid_t pid;	      /* 0: not running */
	int64_t disturbed_at; /* when it was last killed, or exited */
	int64_t start_at;     /* start time while it does not run */
	int64_t kill_at;      /* SIGKILL if still stopping then, or 0 */
	int64_t resume_at;    /* SIGCONT of a stopped process, or 0 */
	int64_t calm_at;      /* the end of its last disturbance */
	int starts;	      /* of its process */
	int stopping;	      /* SIGTERM or SIGKILL was sent */
	int services;	      /* bits: services its target has had */
	int store_address;    /* index of its address of the store */
	struct soak_target *target;
	struct link_proxy *link_proxy;
	int64_t heal_links_at, heal_store_at; /* or 0 */
};

/*
 * Starts the store, the targets and the link proxies; the processes start with
 * the first tick.  Returns -1 when an address cannot be listened on.
 */
int fleet_start(struct soak *);
void fleet_stop(struct soak *);
/* Restarts, kills and resumes processes and ends faults that are due. */
void fleet_tick(struct soak *, int64_t now);
void node_write_settings(struct soak *, struct soak_node *);
void node_signal(struct soak *, struct soak_node *, int sig);
/* Kills the process; it restarts ms later. */
void node_kill(struct soak *, struct soak_node *, int ms);
/*
 * Sends SIGTERM, and SIGKILL after the grace period; the process restarts
 * once it has ended.
 */
void node_term(struct soak *, struct soak_node *);
/* Stops the process with SIGSTOP for ms. */
void node_freeze(struct soak *, struct soak_node *, int ms);
/* Whether the process is down, or was killed or exited since a time. */
int node_disturbed_since(const struct soak_node *, int64_t since);
/*
 * The end of the last disturbance of a node's process, links or address of the
 * store, or of the store by any address; now while one lasts.
 */
int64_t node_calm_at(const struct soak_node *, int64_t now);
int64_t node_store_calm_at(const struct soak *, int64_t now);

/* ---- the operator ---- */

/* A version, and when it was confirmed; G_MAXINT64: the store has lost it. */
struct soak_version {
	int version;
	int64_t acked_at;
};

/* What the operator has written, as far as the store has it. */
struct operator_written {
	int version;
	int out[SOAK_DCS];
};

struct operator_state {
	struct operator_written now, saved; /* saved: in the store's copy */
	int wanted_out[SOAK_DCS];
	struct soak_version versions[SOAK_VERSIONS]; /* the newest last */
	int nversions;
};

/*
 * Publishes the next configuration; the read route leads to the given
 * service.
 */
void operator_put_config(struct soak *, int read_service);
/* Takes a data centre out, or in again. */
void operator_set_out(struct soak *, const char *dc, int out);
/* The store has kept a copy, or has come back from it. */
void operator_saved(struct soak *);
void operator_restored(struct soak *);
/* Writes again what the store has lost. */
void operator_write_again(struct soak *);

/* ---- restores of the store ---- */

struct restore {
	GRand *rand;
	int every_ms; /* mean time between two; 0: none */
	/* Times of the next steps, or 0. */
	int64_t save_at, down_at, back_at, late_at, operator_at, lapse_at;
	int has_copy;
	int change;	 /* a change follows once the operator wrote again */
	GPtrArray *gone; /* ids of targets removed since the copy */
};

void restore_init(struct soak *, int seed, int every_ms);
void restore_destroy(struct soak *);
void restore_begin(struct soak *);
void restore_end(struct soak *);
void restore_tick(struct soak *, int64_t now);
void restore_target_gone(struct soak *, const char *id);
/*
 * Loses changes of the operator that were confirmed lost_ms before; run runs
 * the event loop.
 */
void restore_lose_changes(
    struct soak *, int lost_ms, void (*run)(struct soak *, int));

/* ---- probes of the configuration of each node ---- */

void probes_start(struct soak *);
void probes_stop(struct soak *);

/* ---- the schedule of faults ---- */

void faults_begin(struct soak *);
/* Injects the faults that are due. */
void faults_tick(struct soak *, int64_t now);
/* Ends every fault. */
void faults_heal(struct soak *);

struct soak {
	struct event_base *base;
	struct store *store;
	struct checker checker;
	GRand *rand;
	struct soak_node nodes[SOAK_NODES_MAX];
	int nnodes, net; /* addresses are 127.NET.x.y */
	const char *program, *dir;
	int64_t next_event; /* time of the next fault; 0: no faults now */
	/* Faults injected; version in force; mean ms between two faults. */
	int events, config_version, event_every_ms;
	int read_service;	 /* that the read route leads to */
	int read_runs[SERVICES]; /* of the read route, since the last check */
	int closing;		 /* callers send no more requests */
	int64_t store_calm_at;	 /* its history was last dropped or lost */
	struct operator_state operator;
	struct restore restore;
	GPtrArray *callers, *probes;
	int pause_ms;
};

/* A random number from 0 to n - 1; 0 when n is not positive. */
int soak_random_below(struct soak *, int n);

#endif
