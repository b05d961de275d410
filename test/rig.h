/*
 * A small mesh in one process: nodes of the data path on loopback addresses,
 * targets that do as a test says, callers that keep what they were answered.
 */
#ifndef RIG_H
#define RIG_H

#include "../platform/platform.h"

#define RIG_NODES   12
#define RIG_AT_ONCE -1 /* a crashed target is back before anybody can tell */

/* What a scripted target does after its bytes. */
enum rig_then {
	RIG_KEEP,   /* keeps the connection */
	RIG_CLOSE,  /* closes it */
	RIG_RESET,  /* resets it */
	RIG_HANG,   /* says nothing at all */
	RIG_FORGET, /* keeps it, and resets it with the next request */
};

/* A target beside a node. */
struct rig_target {
	struct rig *rig;
	struct http_server *server;
	char addr[ADDRESS_MAX];
	char id[VIEW_ID_MAX + 1];
	int runs;    /* requests that it was given, status checks left out */
	int checks;  /* status checks */
	int work_ms; /* before it answers */
	int status;  /* of its answers */
	int sheds;   /* it says that it has not run what it is given */
	int no_seal; /* its answers carry no proof */
	/*
	 * A request whose path ends with "/crash" ends the target when it
	 * begins; it is back after this, ms, or RIG_AT_ONCE.  0: such a
	 * request is served.
	 */
	int crash_ms;
	int crashes;
	int renews;	   /* it comes back under another id */
	int cold_again_ms; /* it comes back cold */
	struct event *back;
	int cold_ms;	       /* by its status check */
	const char *cold_text; /* what it says of that instead, or NULL */
	char caller[VIEW_ID_MAX + 1]; /* as the last request named it */
	/* a scripted target answers with bytes as they are */
	struct evconnlistener *listener;
	const char *script; /* "ID" stands for the id of the request */
	enum rig_then then;
	int open; /* connections that requests came by and that are open */
};

struct rig_node {
	struct proxy_settings settings;
	struct view *view;
	struct proxy *proxy;
	struct rig_target target;
};

struct rig {
	struct event_base *base;
	struct rig_node nodes[RIG_NODES];
	int nnodes;
	int ports; /* first of the ports that all nodes have */
};

/* One caller's request and what came back. */
struct rig_call {
	struct bufferevent *bev;
	struct http_parse parse;
	struct http_message *answer; /* or NULL */
	int ended;		     /* the connection ended */
	int64_t began, took_ms;
};

/* n nodes, each beside a target of the service "svc", all in one view. */
void rig_start(struct rig *, int n);
void rig_stop(struct rig *);
/* Listens as a target that answers requests after its work. */
void rig_target_open(struct rig_target *);
/* The service that a node's target belongs to, in every view. */
void rig_list(struct rig *, int node, const char *service, enum view_state);
/* Sends a request to a node: "/run/" may be repeated, "/once/" may not. */
void rig_call(struct rig *, struct rig_call *, int node, const char *path,
    const char *id, int remaining_ms);
/* Makes a node's target answer with bytes from now on. */
void rig_script(struct rig *, int node, const char *bytes, enum rig_then);
/* Sends bytes as they are. */
void rig_raw(struct rig *, struct rig_call *, int node, const char *text);
void rig_call_end(struct rig_call *);
/* Ends a node's process at once and starts it again. */
void rig_restart(struct rig *, int node);
/* Lets time pass: for an event loop, for the one of a rig. */
void rig_loop(struct event_base *, int ms);
void rig_run(struct rig *, int ms);
/* Until the call is answered or its connection ended, at most 5 s. */
void rig_wait(struct rig *, struct rig_call *);
/* Lets time pass until a number has a value, at most 5 s; 1 if it has. */
int rig_until(struct rig *, const int *, int value);
/* Status of the answer, or 0. */
int rig_status(const struct rig_call *);

#endif
