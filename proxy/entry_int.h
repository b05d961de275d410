/* Shared by the parts of the entry: requests, and what becomes of them. */
#ifndef ENTRY_INT_H
#define ENTRY_INT_H

#include "proxy_int.h"

#define RETRY_AFTER_MIN_MS 50 /* a refused caller comes back no sooner */

struct request {
	struct entry *entry;
	struct http_exchange *exchange; /* NULL: its caller has gone */
	struct http_message *msg;
	struct view_config *config;
	const struct view_route *route;
	const char *service;
	char *id, *caller; /* owned: settings may change meanwhile */
	int64_t arrived, answer_by;
	struct job job;
	struct peer *peer; /* it was sent to, or NULL */
	int local;	   /* it is at the gate here */
	GPtrArray *tried;  /* addresses, owned */
	int offers, sends; /* offers; of these, sent to a target */
	int maybe_ran;	   /* 1: a sending may have run */
	int status;	   /* of a long answer */
	enum call_outcome last;
	struct http_message *failure; /* a target's, if nothing better comes */
	struct event *timer;
};

/* entry.c */
/* This node's share of the budget of repeats to a service. */
struct spend *entry_retry_budget(struct entry *, const char *service);
/* An answer of the node's own; back_ms 0 names no time to return. */
void entry_reply_error(struct http_exchange *, struct entry *, int status,
    int back_ms, const char *why);

/* offer.c */
/* Offers a request to the next target. */
void request_offer(struct request *);
/* Calls of the job that a request is. */
void request_on_head(struct job *, const struct http_message *);
void request_on_piece(struct job *, const void *, size_t);
void request_on_done(struct job *, const struct job_result *);
/* Calls of the server. */
void request_on_disconnect(void *, struct http_exchange *);
void request_on_written(void *, struct http_exchange *, size_t);
/* Time is over. */
void request_on_timer(evutil_socket_t, short, void *);

#endif
