/* Shared by the parts of links: frames, the side that asks, the side that
 * serves. */
#ifndef LINK_INT_H
#define LINK_INT_H

#include "proxy_int.h"

struct link {
	struct links *links;
	struct bufferevent *bev;
	char *addr; /* of the node it leads to; NULL: made by the other */
	int connected;
	int64_t opened_at, received_at;
	int64_t pinged_at;		    /* 0: no question is open */
	enum proxy_subscription subscriber; /* of the other end */
	uint64_t base_number; /* of the news that both ends hold, or 0 */
	GBytes *base;	      /* those, at the end that was told */
	uint32_t next_stream;
	GHashTable *jobs; /* stream to struct job, or struct served_job */
	GQueue
	    send_queue; /* of struct served_job with pieces that may be sent */
};

/* A job of another node; it owns its request. */
struct served_job {
	struct job job;
	char *service, *caller, *id;
	/* a long answer */
	struct evbuffer *pending; /* pieces to be sent, or NULL */
	int64_t credit;		  /* bytes that the other end takes */
	int ended, whole;	  /* the target is done */
	int load;		  /* as told with the end */
	int queued;		  /* among the turns of its link */
};

/* Writes one frame. */
void link_write_frame(struct link *, const Link__Frame *);
/* Takes the next whole frame: 1, 0 when more bytes are needed, or below 0. */
int link_read_frame(struct link *, Link__Frame **);
/* Copies the headers of a message into a list for a frame, and back. */
Link__Header **link_headers(const struct http_message *);
void link_headers_free(Link__Header **, size_t);
void link_read_headers(struct http_message *, Link__Header *const *, size_t);

/* The link to an address, opened if there is none; NULL when it cannot be. */
struct link *link_to(struct links *, const char *addr);

/* link_ask.c: jobs that are sent to other nodes */
void link_on_answer(struct link *, uint32_t stream, const Link__Answer *);
void link_on_piece(struct link *, uint32_t stream, const Link__Piece *);
void link_on_end(struct link *, uint32_t stream, const Link__End *);
/* The link is lost: who waits for its jobs is told. */
void link_fail_jobs(struct link *);
/* Whether a long answer is on its way, which nothing can replace. */
int link_is_streaming(struct link *);

/* link_state.c: what nodes tell each other of the platform */
void link_send_state(struct link *);
void link_set_subscriber(struct link *, enum proxy_subscription);
/* Whether this node is subscribed to the one at the other end. */
int link_is_publisher(const struct link *);
/* A link ends: if it was a publisher's, whoever follows is told. */
void link_drop_publisher(struct link *);

/* feed_codec.c: compression of news */
GBytes *feed_compress(const char *, size_t, GBytes *base);
GBytes *feed_decompress(const void *, size_t, size_t full, GBytes *base);
int feed_is_base(size_t len);
void link_receive_feed(struct link *, const Link__Feed *);
void link_receive_state(struct link *, const Link__State *);

/* link_suspect.c: crashes that nodes tell each other */
void link_send_suspects(struct link *, int crashes);
/* Crashes known here; returns how long they are remembered, ms. */
int64_t link_get_crashes(struct link *, uint64_t fingerprint, struct crashes *);
/* Takes those that came with a frame. */
void link_receive_crashes(struct link *, uint64_t fingerprint,
    const uint64_t *ids, size_t n, uint32_t left_ms);

/* link_serve.c: jobs of other nodes for the gate here */
void link_serve_request(struct link *, uint32_t stream, const Link__Request *);
void link_serve_cancel(struct link *, uint32_t stream);
void link_serve_end(struct link *);
void link_served_free(struct served_job *);

/* link_stream.c: long answers, in pieces that take turns on a link */
void link_stream_head(struct job *, const struct http_message *);
void link_stream_piece(struct job *, const void *, size_t);
void link_stream_end(struct served_job *, int whole, int load);
/* The other end takes more. */
void link_stream_credit(struct link *, uint32_t stream, size_t);
/* There is room on the link. */
void link_stream_pump(struct link *);
/* A served job is given up. */
void link_stream_drop(struct served_job *);

#endif
