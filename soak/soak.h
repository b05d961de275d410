/*
 * A randomized fault soak of teaselside: real processes on loopback addresses,
 * each beside a stand-in target, before one stand-in store.  Faults come from
 * outside of them; what callers and targets see is judged all the while.
 */
#ifndef SOAK_H
#define SOAK_H

#include <stdio.h>
#include <string.h>
#include <sys/types.h>

#include "../platform/platform.h"
#include "../standin/store.h"

#define SOAK_NODES_MAX 48
#define SOAK_ID_MAX    24 /* bytes of a request's id and its NUL */
#define SOAK_PATH_MAX  128

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
extern const char *const soak_services[];

struct soak;
struct soak_back;
struct soak_pipe;

/* ---- judge.c: what callers and targets saw, and what may not be ---- */

/* One attempt of a caller. */
struct attempt {
	char id[SOAK_ID_MAX];
	char name[SOAK_ID_MAX]; /* ends its path and is its body */
	int crasher;		/* it ends each target that begins to run it */
	int route, node, runs;
	int answered; /* targets gave it a whole answer */
	int refused;  /* the status that promised that it has not run */
	int said;     /* by targets: a bit for each class of status */
	int ended;    /* answered, or its connection ended, or given up */
	int64_t sent_at;
};

enum seen {
	SEEN_SENT,
	SEEN_SERVED,
	SEEN_REFUSED, /* promised: not run */
	SEEN_FAILED,
	SEEN_CUT, /* the connection ended without an answer */
	SEEN_KINDS
};

/* A request that ends each target that begins to run it, sent again. */
struct crasher {
	int number;	  /* the one that is sent now; 0: none was sent */
	int ended;	  /* targets that it ended */
	int64_t third_at; /* it ended the third then, or 0 */
	int later;	  /* targets that it reached long after that */
};

struct judge {
	GHashTable *attempts; /* id to struct attempt, owned */
	struct crasher crasher;
	int crashers_ended; /* targets, by all of them */
	int broken;
	int counts[SEEN_KINDS];
};

void judge_init(struct judge *);
void judge_destroy(struct judge *);
struct attempt *judge_sent(struct soak *, int node, int route);
/* The same of a request that ends targets; callers send one for a while. */
struct attempt *judge_sent_crasher(struct soak *, int node);
/* It ended the target beside a node. */
void judge_crashed(struct soak *, const struct attempt *, int node);
/* A target begins to run a request; NULL when it may not be. */
struct attempt *
judge_run(struct soak *, const struct http_message *, int service);
/* A caller's answer came. */
void judge_answer(struct soak *, struct attempt *, const struct http_message *);
/* The connection of a caller's request ended without an answer. */
void judge_cut(struct soak *, struct attempt *, int killed);
/* At the end: what has to hold over everything seen. */
void judge_all(struct soak *);
/* A promise was broken. */
void judge_broken(struct soak *, const char *rule, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
/* The bytes that a target answers a request with. */
void judge_body(GString *, const char *id, const char *path);

/* ---- back.c: targets ---- */

/* How a target misbehaves until a time. */
enum ill {
	ILL_SLOW,  /* takes five times as long */
	ILL_LOSE,  /* runs requests and ends connections without an answer */
	ILL_CUT,   /* breaks answers off in their body */
	ILL_EXTRA, /* sends a second answer after the first */
	ILL_FAIL,  /* answers 500 */
	ILL_FULL,  /* refuses for its load */
	ILL_LYING, /* its status check fails though it is well */
	ILLS
};

struct soak_back *back_new(struct soak *, int node, int service);
void back_free(struct soak_back *);
void back_ill(struct soak_back *, enum ill, int64_t until);
/* Ends at once and comes back after ms; renewed: under a new id. */
void back_crash(struct soak_back *, int ms, int renewed);
/* Comes back as a server of another service, at the same address. */
void back_swap(struct soak_back *, int ms);
/* Reports that it drains, leaves, and comes back after ms. */
void back_drain(struct soak_back *, int ms);
/* Its entry goes as if its reports had been lost; it reports again. */
void back_lapse(struct soak_back *, int ms);
int back_service(const struct soak_back *);
/* The service that it will be of, when it is coming back as another. */
int back_service_due(const struct soak_back *);
/* Requests that it began to run since the last question. */
int back_runs(struct soak_back *);

/* ---- front.c: callers ---- */

void front_start(struct soak *);
void front_stop(struct soak *);
/* Pause between two requests of a caller, ms. */
void front_pace(struct soak *, int ms);
/* Served requests of a node since the last question. */
int front_served(struct soak *, int node);
/* Requests that wait for an end. */
int front_waiting(struct soak *);

/* ---- pipe.c: a loopback proxy before each node's links ---- */

enum pipe_rule {
	PIPE_PASS,
	PIPE_DELAY,  /* bytes come 40 ms late */
	PIPE_CUT_IN, /* bytes to the node are lost, and so is what follows */
	PIPE_CUT_OUT,
	PIPE_SILENT, /* open connections carry nothing any more */
	PIPE_RESET,  /* open connections are reset */
	PIPE_REFUSE, /* new connections are reset as well */
	PIPE_RULES
};

struct soak_pipe *
pipe_new(struct soak *, const char *listen, const char *forward);
void pipe_free(struct soak_pipe *);
void pipe_set(struct soak_pipe *, enum pipe_rule);

/* ---- fleet.c: the processes ---- */

struct soak_node {
	int i;
	char host[ADDRESS_MAX]; /* of its target, its callers, its pipe */
	char dc[16], config[256], log[256];
	pid_t pid;     /* 0: not running */
	int64_t ended; /* ms: it was last killed, or ended */
	int64_t start; /* it starts at this time, if it does not run */
	int64_t kill;  /* a stopping process is killed at this time, or 0 */
	int64_t thaw;  /* a frozen one goes on at this time, or 0 */
	int stopping;
	int services; /* bits: services that its target has been of */
	int door;     /* of the store */
	struct soak_back *back;
	struct soak_pipe *pipe;
	int64_t heal_pipe, heal_store;
};

int fleet_start(struct soak *);
void fleet_stop(struct soak *);
/* Restarts, kills and thaws what is due; heals what is. */
void fleet_tick(struct soak *, int64_t now);
void node_write_settings(struct soak *, struct soak_node *);
void node_signal(struct soak *, struct soak_node *, int sig);
/* Kills it, to be started again after ms. */
void node_kill(struct soak *, struct soak_node *, int ms);
/* Asks it to stop; it is started again when it has, or is killed. */
void node_term(struct soak *, struct soak_node *);
void node_freeze(struct soak *, struct soak_node *, int ms);
/* Whether it was killed, frozen or stopping after a time. */
int node_disturbed(const struct soak_node *, int64_t since);

/* ---- plan.c: what goes wrong, and when ---- */

void plan_begin(struct soak *);
void plan_tick(struct soak *, int64_t now);
/* Puts the next configuration, in which reading leads to a service. */
void plan_configure(struct soak *, int reads);
/* Ends every fault and starts what does not run. */
void plan_heal(struct soak *);

struct soak {
	struct event_base *base;
	struct store *store;
	struct judge judge;
	GRand *rand;
	struct soak_node nodes[SOAK_NODES_MAX];
	int nnodes, net; /* addresses are 127.NET.x.y */
	const char *program, *dir;
	int64_t next_event;
	int events, version, chance; /* an event in so many ms, about */
	int reads;		     /* service that reading leads to */
	int read_runs[SERVICES];     /* of reading, since the last look */
	int closing;
	GPtrArray *callers;
	int pace;
};

/* A random number below n. */
int soak_below(struct soak *, int n);

#endif
