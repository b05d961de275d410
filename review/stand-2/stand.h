/*
 * A small deployment on loopback addresses, seen from outside: the platform's
 * store, one server beside each process of teaselside, and clients.  Everything
 * runs on one event loop and the real clock.  All times are ms of base_now_ms.
 */
#ifndef STAND_H
#define STAND_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/types.h>

#include "../../platform/platform.h"
#include "../../standin/store.h"

#define STAND_NODES_MAX 12
#define STAND_ZONES	3
#define CONTACT_MS	3000 /* ContactMs */
#define CONFIG_APPLY_MS 2000 /* ConfigApplyMs */
#define DRAIN_MS	2000 /* DrainMs */
#define WARMUP_MS	3000 /* WarmupS of each service */
#define HEARTBEAT_MS	870
#define SLOTS		6
#define QUEUE		24

/* Exit statuses of a case. */
enum stand_exit {
	CASE_HELD = 0,
	CASE_BROKEN = 1,
	CASE_NOT_RUN = 2,
};

struct stand;
struct server;

/* A client attempt; freed after its end was reported. */
struct attempt {
	struct stand *stand;
	int node;	 /* whose Outbound address it is sent to */
	char id[24];	 /* X-Attempt-Id */
	const char *tag; /* of the case, a constant string */
	char path[64];
	int64_t sent_at;
	int status; /* of the answer, or 0: closed or given up */
	struct bufferevent *bev;
	struct http_parse parse;
	struct event *timer;
};

/* A machine: a process of teaselside and the server beside it. */
struct machine {
	struct stand *stand;
	int i;
	char host[ADDRESS_MAX], zone[16], config[256], log[256];
	const char *service;
	struct server *server;
	pid_t pid;	  /* 0: not running */
	int crashes;	  /* times that it ended by a signal of its own */
	int64_t start_at; /* of the process while it does not run */
	int kills;	  /* by the platform, for its memory */
};

/* Callbacks of a case; any may be NULL. */
struct stand_calls {
	/*
	 * A server begins to run a request.  Returns the ms of work, or -1:
	 * the request crashes the server.
	 */
	int (*run)(struct server *, const struct http_message *);
	/* An attempt ended. */
	void (*ended)(struct attempt *);
	int no_wait; /* the start does not wait until all are ready */
};

struct stand {
	struct event_base *base;
	struct store *store;
	struct machine machines[STAND_NODES_MAX];
	int nmachines, net; /* addresses are 127.NET.x.y */
	const char *program, *dir;
	FILE *record;
	int64_t began;
	int trouble;   /* 0: without the disruption */
	int nseeds;    /* in the settings */
	int memory_mb; /* a larger process is killed; 0: not watched */
	int next_id, next_server;
	int sent, answered, served, closed; /* attempts */
	struct stand_calls calls;
	struct event *tick;
};

/*
 * Starts n machines whose services are taken from the list in turn, the store
 * and its config, and waits until all are ready.  Exits with CASE_NOT_RUN if
 * that fails.
 */
void stand_start(struct stand *, int argc, char **argv, int n,
    const char *const *services, const char *config,
    const struct stand_calls *);
/* Changes the settings to n seeds: machines that are down. */
void stand_set_seeds(struct stand *, int n);
/* Ends all processes. */
void stand_stop(struct stand *);
/* Runs the event loop for a time. */
void stand_run(struct stand *, int ms);
/* Time since the start, ms. */
int stand_now(const struct stand *);
/* Writes a line with the time to record.txt. */
void stand_note(struct stand *, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/* The operator writes a configuration; returns the time of the ack. */
int64_t stand_put_config(struct stand *, const char *config);
/* Appends the start of a configuration, up to VirtualHosts. */
void stand_config_head(GString *, int version, const char *const *services);

/*
 * Sends a request on a new connection, with len bytes of body.  The id of the
 * attempt is made here.  If the tag begins with a hyphen, the record has only
 * sums of such attempts.
 */
struct attempt *
stand_send(struct stand *, int node, const char *method, const char *host,
    const char *path, size_t len, int remaining_ms, const char *tag);

/* ---- servers ---- */

/* Its id is one that the registry shows. */
const char *server_id(const struct server *);
struct machine *server_machine(const struct server *);
/* Requests that it began to run. */
int server_runs(const struct server *);
/* Stops at once and starts again ms later; with a new id or the same one. */
void server_crash(struct server *, int ms, int new_id);
/*
 * Reports that it drains, serves for DrainMs and a little longer, leaves, and
 * starts again under the same id ms after it left.
 */
void server_restart(struct server *, int ms);
/* Becomes cold again, without a restart; its next reports tell so. */
void server_chill(struct server *);
/* Time until it is warm, or 0. */
int server_cold_ms(const struct server *);
/* When its entry first said that it is cold, or 0. */
int64_t server_told_at(const struct server *);

#endif
