/*
 * A small deployment for the cases of the review.  Processes of teaselside run
 * as the deploy file starts them, each on a loopback address of its own.  The
 * platform, the servers beside the processes and the clients are stand-ins in
 * the program of the case, on one event loop.
 *
 * Times are monotonic milliseconds (base_now_ms).
 */
#ifndef REVIEW_MESH_H
#define REVIEW_MESH_H

#include <signal.h>
#include <stdio.h>
#include <sys/types.h>

#include "../../platform/platform.h"
#include "../../standin/store_int.h"

#define MESH_NODES_MAX 12
#define MESH_ID_MAX    32

enum mesh_verdict {
	MESH_HELD = 0,
	MESH_BROKEN = 1,
	MESH_CANNOT_RUN = 2,
};

struct mesh;

/* A machine: the process under test, and the server beside it. */
struct mesh_node {
	struct mesh *mesh;
	int i;
	char host[ADDRESS_MAX];
	/* Where its process listens for links; the host, or behind a proxy. */
	char links_host[ADDRESS_MAX];
	char config[256], log[256];
	const char *zone, *service;
	/* the process */
	pid_t pid; /* 0: it does not run */
	int64_t started_at;
	int64_t start_at; /* next start, or 0 */
	int killed;	  /* it was killed by the case */
	int memory_mb, peak_mb;
	int over_memory; /* it was killed for its memory so many times */
	int own_ends;	 /* it ended by itself so many times */
	/* the server */
	struct http_server *server; /* NULL: down */
	char id[MESH_ID_MAX];
	int64_t born_wall_ms, report_at;
	int sequence;
	int leaving; /* no more reports; its status check answers 503 */
};

/* A request of a client, and what became of it. */
struct mesh_request {
	char id[MESH_ID_MAX];
	int node; /* whose process it was sent to */
	int kept; /* its connection had carried an answer before */
	int64_t sent_at, ran_at, ended_at; /* or 0 */
	int runs, ran_on; /* the latter: node beside the last server */
	int status;	  /* of the answer, or 0 */
	int cut;	  /* the connection ended without a complete answer */
};

/* A client's connection to the process of a node. */
struct mesh_client {
	struct mesh *mesh;
	int node, answers;
	struct bufferevent *bev; /* NULL: closed */
	struct http_parse parse;
	GQueue waiting; /* of struct mesh_request, in order of sending */
};

struct mesh {
	struct event_base *base;
	struct event *ticker;
	struct store *store;
	struct http_limits limits;
	struct mesh_node nodes[MESH_NODES_MAX];
	int nnodes;
	int trouble; /* 0: the case runs without its disruption */
	char dir[64];
	int net; /* the addresses are 127.net.* */
	const char *program;
	const char *seeds; /* text of the settings' list of peers */
	FILE *record;
	int64_t began;
	GPtrArray *requests; /* of struct mesh_request, owned */
	GPtrArray *clients;  /* of struct mesh_client, owned */
	int nids;
};

/*
 * Opens the record, the store and the servers; the processes are not started.
 * The arguments are those of the program: the process to test and the path of
 * the record.  Exits with MESH_CANNOT_RUN if that fails.
 */
void mesh_init(struct mesh *, int argc, char **argv, int nnodes,
    const char *const *zones, const char *const *services);
/* Ends all processes and removes the temporary folder. */
int mesh_end(struct mesh *, enum mesh_verdict);
/* Writes a line with the time since the start. */
void mesh_note(struct mesh *, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/* Runs the event loop for ms. */
void mesh_run(struct mesh *, int ms);
/* Writes a version with one route to each service, named as its prefix. */
void mesh_put_config(struct mesh *, int version);
void mesh_write_settings(struct mesh_node *);
void mesh_start(struct mesh_node *);
/* Starts all processes and waits until each is ready, or gives up. */
void mesh_start_all(struct mesh *);
/* Sends a signal to the process; SIGKILL is followed by a restart. */
void mesh_signal(struct mesh_node *, int sig);
/* Whether the process has an open watch at the store, so that it reads. */
int mesh_reads_store(struct mesh_node *);
/* The store refuses the node's calls with 503, or serves them again. */
void mesh_refuse_store(struct mesh_node *, int refuse);
/* Takes the server's entry from the store; it serves on. */
void mesh_remove_entry(struct mesh_node *);
/* Ends the server. */
void mesh_stop_server(struct mesh_node *);
struct mesh_client *mesh_client_open(struct mesh *, int node);
void mesh_client_close(struct mesh_client *);
/*
 * Sends GET /service/wMS/bBYTES/: the server works for so long, and answers
 * with so many bytes, long answers at 64 KB each 50 ms.
 */
struct mesh_request *
mesh_get(struct mesh_client *, const char *service, int work_ms, int bytes);
/* Sends PUT with a body of len bytes. */
struct mesh_request *
mesh_put(struct mesh_client *, const char *service, int work_ms, size_t len);

#endif
