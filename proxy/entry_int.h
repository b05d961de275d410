/* Internal interface of the entry: requests of callers and their state. */
#ifndef ENTRY_INT_H
#define ENTRY_INT_H

#include "proxy_int.h"

#define KINDS_MAX	   4096 /* of requests, whose estimates are kept */
#define RETRY_AFTER_MIN_MS 50	/* least Retry-After of a refusal */

struct request {
	struct entry *entry;
	struct http_exchange *exchange; /* NULL: the caller disconnected */
	struct http_message *msg;
	struct view_config *config;
	const struct view_route *route;
	const char *service;
	char *id, *caller; /* owned copies, as the settings may change */
	int64_t leaves_at; /* ms; the caller waits no longer */
	int64_t age_ms;	   /* since the caller's first attempt, on arrival */
	int64_t arrived, answer_by; /* ms, monotonic; arrival and deadline */
	struct job job;
	struct peer *peer; /* target of the current offer, or NULL */
	int local;	   /* the current offer is to this node's guard */
	GPtrArray *tried;  /* of struct peer, offered to before */
	struct forecast forecast; /* of the current offer */
	int64_t offered_at;	  /* ms */
	int64_t body_bytes;	  /* of a streamed answer */
	int offers, sends; /* offers to guards; requests sent to targets */
	int may_have_run;  /* some target may have run it */
	int status;	   /* HTTP status of a streamed answer */
	int64_t body_left; /* bytes to come of its body; below 0: unknown */
	enum call_outcome last_outcome; /* of the last offer */
	int wait_ms; /* least wait that a guard reported; 0: none did */
	struct http_message *failure; /* 5xx kept in case retries fail */
	struct event *timer;
};

/* entry.c */
/* This node's share of the fleet's retry quota for a service. */
struct retry_quota *entry_retry_quota(struct entry *, const char *service);
/* Sends an error response; without Retry-After if retry_after_ms is 0. */
void entry_reply_error(struct http_exchange *, struct entry *, int status,
    int retry_after_ms, const char *why);

/* leaving.c: which requests a draining node still passes on */
/* Records the time from arrival to answer of a request, by its kind. */
void leaving_record(struct entry *, uint32_t kind, int64_t took_ms);
/* Whether a request can end, with left_ms until its time limit. */
int leaving_can_end(
    const struct entry *, uint32_t kind, int64_t left_ms, int64_t now);

/* offer.c */
/* Offers a request to the next target, or refuses it if there is none. */
void request_offer(struct request *);
/* Callbacks of struct job; its arg is the request. */
void request_on_head(struct job *, const struct http_message *);
void request_on_piece(struct job *, const void *, size_t);
void request_on_done(struct job *, const struct job_result *);
/* Callbacks of the HTTP server. */
void request_on_disconnect(void *, struct http_exchange *);
void request_on_written(void *, struct http_exchange *, size_t);
/* Asks whether the request was started; refuses it if it cannot have been. */
void request_ask(struct request *);
/* Ends a request whose timeout has passed. */
void request_on_timer(evutil_socket_t, short, void *);

#endif
