/*
 * A small mesh in one process: nodes of the data path on loopback addresses,
 * targets whose behaviour a test sets, and callers that keep their answers.
 */
#ifndef RIG_H
#define RIG_H

#include "../platform/platform.h"

#define RIG_NODES_MAX 16
#define RIG_RESTART_AT_ONCE \
	-1 /* crash_ms: restart before any probe can notice */

/* What a scripted target does with the connection after its bytes. */
enum rig_conn_end {
	RIG_KEEP,	  /* keeps it open */
	RIG_CLOSE,	  /* closes it */
	RIG_RESET,	  /* resets it */
	RIG_HANG,	  /* sends no bytes and keeps it open */
	RIG_RESET_REUSED, /* keeps it open, and resets it on the next request */
};

/* A target beside a node. */
struct rig_target {
	struct rig *rig;
	struct http_server *server;
	char addr[ADDRESS_MAX];
	char id[VIEW_ID_MAX + 1];
	int runs;    /* requests received, without health checks */
	int checks;  /* health checks received */
	int work_ms; /* time before it answers */
	int status;  /* HTTP status of its answers */
	int sheds;   /* 1: it sheds requests, answering that they did not run */
	int no_seal; /* 1: its answers lack the server's seal */
	/*
	 * A request whose path ends with "/crash" crashes the target as it
	 * starts; the target restarts after this time, ms, or at once with
	 * RIG_RESTART_AT_ONCE.  0: such a request is served.
	 */
	int crash_ms;
	int crashes;
	int new_id_on_restart; /* 1: it restarts under another id */
	int restart_cold_ms;   /* warm-up time after a restart */
	struct event *back;    /* timer of the restart */
	int cold_ms;	       /* remaining warm-up time in health checks */
	const char *cold_text; /* text in place of cold_ms, or NULL */
	char caller[VIEW_ID_MAX + 1]; /* caller named in the last request */
	/* A scripted target sends fixed bytes in place of an answer. */
	struct evconnlistener *listener;
	const char *script;	  /* "ID" stands for the id of the request */
	const char *check_prefix; /* sent before answers to checks, or NULL */
	enum rig_conn_end then;
	int open; /* open connections that have carried a request */
};

/* A node with its own view of the services, and the target beside it. */
struct rig_node {
	struct proxy_settings settings;
	struct view *view;
	struct proxy *proxy;
	struct rig_target target;
};

/* The whole mesh, run by one event loop. */
struct rig {
	struct event_base *base;
	struct rig_node nodes[RIG_NODES_MAX];
	int nnodes;
	int ports; /* first of the port numbers, the same on all nodes */
};

/* One caller's request and its answer. */
struct rig_call {
	struct bufferevent *bev;
	struct http_parse parse;
	struct http_message *answer; /* or NULL */
	int ended;		     /* 1: the connection ended */
	int64_t began, took_ms;
};

/*
 * Starts n nodes, each with a target of the service "svc" that is listed in
 * the views of all.
 */
void rig_start(struct rig *, int n);
void rig_stop(struct rig *);
/* Starts a target's listener; it answers requests after work_ms. */
void rig_target_open(struct rig_target *);
/* Sets the service and state of a node's target in every view. */
void
rig_list_target(struct rig *, int node, const char *service, enum view_state);
/* Sends a request to a node; "/run/" is repeatable, "/once/" is not. */
void rig_call(struct rig *, struct rig_call *, int node, const char *path,
    const char *id, int remaining_ms);
/* Makes a node's target a scripted one from now on. */
void rig_script(struct rig *, int node, const char *bytes, enum rig_conn_end);
/* Sends a text to a node unchanged, over a new connection. */
void rig_send_raw(struct rig *, struct rig_call *, int node, const char *text);
void rig_call_end(struct rig_call *);
/* Restarts a node without draining it. */
void rig_restart(struct rig *, int node);
/* Run an event loop, or that of a rig, for a time in ms. */
void rig_loop(struct event_base *, int ms);
void rig_run(struct rig *, int ms);
/* Waits until the call is answered or its connection ends, at most 5 s. */
void rig_wait(struct rig *, struct rig_call *);
/* Waits until a counter has a value, at most 5 s; 1 if it has. */
int rig_wait_value(struct rig *, const int *, int value);
/* Status of the answer, or 0. */
int rig_status(const struct rig_call *);

#endif
