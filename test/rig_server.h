/* An HTTP server whose answers a test writes, and one client of it. */
#ifndef RIG_SERVER_H
#define RIG_SERVER_H

#include "../http/http.h"
#include "rig.h"

#define RIG_SERVER_REQUESTS_MAX 64

/*
 * The server's handler stores the requests until a test answers them.  Requests
 * for paths that begin with /once may not be pipelined.
 */
struct rig_server {
	struct event_base *base;
	struct http_server *server;
	struct http_limits limits;
	char addr[ADDRESS_MAX];
	struct bufferevent *client;
	GString *received; /* bytes that the client received */
	int closed;	   /* the client saw the connection end */
	struct http_exchange *exchanges[RIG_SERVER_REQUESTS_MAX];
	char *paths[RIG_SERVER_REQUESTS_MAX];
	int nrequests, naborted;
};

/* Starts the server and connects the client. */
void rig_server_start(struct rig_server *);
void rig_server_stop(struct rig_server *);
/* Sends requests for paths that are separated by spaces. */
void rig_server_send(struct rig_server *, const char *paths);
/* Answers request n, counted from 0, with its path as the body. */
void rig_server_answer(struct rig_server *, int n);
/*
 * Checks the statuses of the received answers with the first 8 bytes of their
 * bodies, e.g. "200 /a,503 x,".
 */
void rig_server_check(struct rig_server *, const char *expected);

#endif
