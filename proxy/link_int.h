/* Internal interface of links: frames, the client side, the server side. */
#ifndef LINK_INT_H
#define LINK_INT_H

#include "proxy_int.h"

#define US_PER_MS	     1000
#define BYTES_PER_S_PER_MBPS 125000.0
#define BYTES_PER_S_PER_KBPS 125.0

struct link_output; /* opaque: see link_egress.c */

struct link {
	struct links *links;
	struct bufferevent *bev;
	char *addr; /* of the peer; NULL for a link that the peer opened */
	int connected;
	int leaving;			/* the peer takes no new requests */
	int64_t opened_at, received_at; /* ms; of the last input */
	int64_t pinged_at;		/* ms; of an unanswered ping, or 0 */
	int pong_due;			/* to the ping after a large update */
	enum proxy_subscription subscriber; /* subscription of the peer */
	uint32_t subscription; /* number of the last one on this link */
	uint64_t base_number;  /* of the base that both ends have, or 0 */
	GBytes *base;	       /* that base, or NULL */
	GArray *bases; /* named in a subscription to the peer, or NULL */
	uint32_t next_stream;
	GHashTable *jobs; /* stream to struct job, or struct served_job */
	/* output, see link_egress.c */
	struct egress_peer out;
	GQueue outputs;	  /* of struct link_output, frames that wait */
	size_t written;	  /* bytes added to the output since the last sample */
	size_t held;	  /* bytes that the kernel held at the last sample */
	size_t buffered;  /* bytes in the output buffer then */
	int idle_samples; /* in a row in which the peer read nothing */
};

/* A job from another node; it owns its request. */
struct served_job {
	struct job job;
	char *service, *caller, *id;
	/* a streamed answer */
	struct evbuffer *pending; /* pieces not sent yet, or NULL */
	int64_t credit;		  /* bytes that the peer accepts */
	size_t read_ahead; /* pending bytes that the target was credited */
	int ended, whole;  /* no more is to come; it is complete */
	int load;	   /* for the end frame */
	struct target_estimate estimate; /* the same */
	struct egress_frame bulk; /* the stream in the egress scheduler */
	struct link_output
	    *head_waiting; /* its head, not written yet, or NULL */
};

/* Bytes of a frame on the wire. */
size_t link_frame_size(const Link__Frame *);
/* Appends one frame to a buffer. */
void link_pack_frame(struct evbuffer *, const Link__Frame *);

/* link_egress.c: output of links, paced and ordered for the whole node */
void link_egress_open(struct links *);
void link_egress_close(struct links *);
/* Applies the rate of the settings. */
void link_egress_set_rate(struct links *);
/* Writes a frame, or queues it for its turn. */
void link_write_frame(struct link *, const Link__Frame *, enum egress_class);
/* The same for a frame of a job; returns it if it waits, or NULL. */
struct link_output *link_write(
    struct link *, const Link__Frame *, enum egress_class, const struct job *);
/* The same for a job's request, which can be withdrawn while it waits. */
void link_write_request(struct link *, const Link__Frame *, struct job *);
/* The same for the head of a stream, whose pieces follow it. */
void link_write_head(struct link *, const Link__Frame *, struct served_job *);
/*
 * Drops a frame that waits, unless it was written in part; 1 if it was dropped.
 * NULL is allowed.
 */
int link_egress_withdraw(struct link_output *);
/* Drops all frames of a link that closes. */
void link_egress_drop(struct link *);
/* Counts bytes that were added to a link's output. */
void link_egress_count(struct link *, enum egress_class, size_t);
/* Writes what may leave now, over all links. */
void link_egress_pump(struct links *);
/* Measures the link's rate; returns a link that has to be closed, or NULL. */
struct link *link_egress_meter(struct links *);
/*
 * Parses the next frame, which the caller frees.  Returns 1, 0 if more bytes
 * are needed, or -1 for an invalid frame.
 */
/* Whether a frame has arrived in part. */
int link_is_receiving(const struct link *);
int link_read_frame(struct link *, Link__Frame **);
/* Converts headers to a list that borrows their strings, and back. */
Link__Header **link_headers(const struct http_message *);
void link_headers_free(Link__Header **, size_t);
void link_read_headers(struct http_message *, Link__Header *const *, size_t);

/* Returns the link to an address, opened if needed; NULL if that fails. */
struct link *link_to(struct links *, const char *addr);

/* Asks for a pong, which shows that all output before it has arrived. */
void link_ping(struct link *);

/* link_frame.c: estimates of a guard; the frame's may be absent */
Link__Estimate link_estimate(const struct target_estimate *);
struct target_estimate link_read_estimate(const Link__Estimate *);

/* link_client.c: client side, jobs that are sent to other nodes */
void link_on_answer(struct link *, uint32_t stream, const Link__Answer *);
void link_on_piece(struct link *, uint32_t stream, const Link__Piece *);
void link_on_end(struct link *, uint32_t stream, const Link__End *);
/*
 * Moves the jobs of a link that closes to the queue of lost ones, and ends
 * these.  Ending a job may cancel others, and open links: the link must have
 * been released before.
 */
void link_detach_jobs(struct link *);
void links_end_lost(struct links *);
/* Whether a job is streaming an answer, which no retry can replace. */
int link_is_streaming(struct link *);

/* link_state.c: the platform's state, which nodes exchange */
void link_send_state(struct link *, const Link__StateRequest *);
void link_set_subscriber(struct link *, const Link__Subscribe *);
/* Whether this node is subscribed to the peer. */
int link_is_publisher(const struct link *);
/* Releases the bases of updates. */
void link_drop_bases(struct link *);
/*
 * Clears subscriptions to the peer of a lost link; returns their slots, a bit
 * for each.
 */
unsigned int link_clear_publisher(struct link *);
/* Reports the loss of the subscriptions in these slots. */
void links_report_lost(struct links *, unsigned int slots);

/*
 * feed_codec.c: compression of updates.  The base is a dictionary or NULL.  The
 * caller owns the result; NULL is an error.
 */
GBytes *feed_compress(const char *, size_t, GBytes *base);
GBytes *feed_decompress(const void *, size_t, size_t full, GBytes *base);
/* Whether an update of this length becomes the base of later ones. */
int feed_is_base(size_t len);
/* Handlers of a publisher's update, and of a state that was requested. */
void link_receive_feed(struct link *, const Link__Feed *);
void link_receive_state(struct link *, const Link__State *);

/* link_suspect.c: crashes, which nodes send each other */
/* Sends the fingerprints with at least so many crashes. */
void link_send_suspects(struct link *, int crashes);
/* Gets the recorded crashes; returns the ms until their record expires. */
int64_t link_get_crashes(struct link *, uint64_t fingerprint, struct crashes *);
/* Records the crashes that a frame carries. */
void link_receive_crashes(struct link *, uint64_t fingerprint,
    const uint64_t *ids, size_t n, uint32_t left_ms);

/* link_server.c: server side, jobs from other nodes for the local guard */
void link_serve_request(struct link *, uint32_t stream, const Link__Request *);
void link_serve_cancel(struct link *, uint32_t stream);
/* Refuses a job that the guard has not started. */
void link_serve_ask(struct link *, uint32_t stream);
/* Cancels all jobs of a link that has ended. */
void link_serve_end(struct link *);
void link_served_free(struct served_job *);

/* link_stream.c: streamed answers */
void link_stream_head(struct job *, const struct http_message *);
void link_stream_piece(struct job *, const void *, size_t);
void link_stream_end(struct served_job *, const struct job_result *);
/*
 * Time until streams may take more memory, in ms; 0 while they hold no more
 * than they may together.
 */
int link_streams_wait_ms(const struct links *);
/* The peer accepts n more bytes of a stream. */
void link_stream_credit(struct link *, uint32_t stream, size_t);
/* Queues a stream that has a piece or its end to send. */
void link_stream_ready(struct served_job *);
/* Writes one piece of a stream, or its end, which releases the job. */
void link_stream_write(struct served_job *);
/* Releases the stream of a job. */
void link_stream_drop(struct served_job *);

#endif
