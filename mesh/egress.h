/*
 * Egress scheduler of a node: decides which frame leaves next on the link of
 * the VM, over all connections to other nodes, and when.  Frames are paced at
 * the rate of the link, so that no queue builds up in the kernel, where they
 * could not be reordered.  Does no I/O and reads no clock: now is the current
 * monotonic time in us.
 */
#ifndef EGRESS_H
#define EGRESS_H

#include "../base/base.h"

enum egress_class {
	EGRESS_CONTROL, /* small frames that precede all others */
	EGRESS_STATE,	/* the platform's state */
	EGRESS_SHORT,	/* answers, heads of streamed ones, refusals */
	EGRESS_REQUEST,
	EGRESS_BULK, /* bodies of streamed answers */
	EGRESS_CLASSES
};

struct egress_frame;

/* One connection to another node. */
struct egress_peer {
	int blocked; /* its socket accepts no more bytes now */
	/* set by the scheduler */
	int stalled; /* the peer has read nothing for a while */
	size_t queued[EGRESS_CLASSES]; /* bytes */
	struct egress_frame *partial;  /* written in part, or NULL */
};

/*
 * A frame, or a stream of class EGRESS_BULK that has bytes to send.  The caller
 * owns it and keeps it in place while it is queued.
 */
struct egress_frame {
	enum egress_class class;
	struct egress_peer *peer;
	size_t len;	 /* bytes to be written; 0 for a stream */
	int64_t left;	 /* of a stream: bytes until its end, 0 if unknown */
	int is_call;	 /* for a call of a target, which holds a slot */
	int priority;	 /* 0 is the most urgent */
	int64_t goal_us; /* latency goal, or 0 if there is none */
	int64_t deadline_us; /* of a stream: it is cancelled then; 0: never */
	/* set by the scheduler */
	uint64_t number; /* rises with each frame queued */
	int queued;
	int begun;    /* a part has been written */
	int in_goal;  /* as it began, it could meet its goal */
	size_t slice; /* bytes to be written now, see egress_next */
};

struct egress {
	double rate_max; /* bytes a second, by the setting; 0: not limited */
	double rate;	 /* the same, as measured; at most rate_max */
	double tokens;	 /* bytes that may leave now; may be below 0 */
	int64_t filled_us;
	/*
	 * Start-time fair queueing: the tag of the class served last, and the
	 * tags at which each class has had its share.
	 */
	double start_tag;
	double tags[EGRESS_CLASSES];
	unsigned int turns[EGRESS_CLASSES]; /* slices sent of each class */
	GPtrArray *queues[EGRESS_CLASSES];  /* of struct egress_frame */
	size_t bytes[EGRESS_CLASSES];	    /* queued */
	size_t stalled[EGRESS_CLASSES];	    /* of these, for stalled peers */
	uint64_t next_number;
	/* measurement of the rate */
	int64_t metered_us;
	int slow_samples; /* in a row with a long queue in the kernel */
};

void egress_init(struct egress *);
/* Releases the queues; the frames belong to the caller. */
void egress_clear(struct egress *);
/* Sets the rate of the link in bytes a second; 0 turns pacing off. */
void egress_set_rate(struct egress *, double bytes_per_s, int64_t now);
/*
 * Whether a frame may be written at once.  If so, it is charged; if not, it is
 * to be queued.  A stream is always queued.
 */
int egress_take(struct egress *, const struct egress_frame *, int64_t now);
/* Queues a frame or a stream, unless it is queued. */
void egress_enqueue(struct egress *, struct egress_frame *);
/*
 * Returns the frame of which the next slice bytes are to be written now, or
 * NULL.  They have been charged.  The frame has been removed, unless it has
 * further bytes; until these are written, nothing else goes to its peer.  A
 * stream is removed, and not charged: the caller charges what it writes, at
 * most slice bytes of the body.
 */
struct egress_frame *egress_next(struct egress *, int64_t now);
/* Charges bytes that were written for a stream. */
void egress_charge(struct egress *, enum egress_class, size_t);
/*
 * Time at which egress_next is due to be called, in us; 0 if nothing is queued
 * that could be sent.
 */
int64_t egress_next_at(const struct egress *, int64_t now);
/*
 * Removes a frame or a stream from its queue, if it is queued.  One that was
 * written in part must not be removed unless its connection ends.
 */
void egress_remove(struct egress *, struct egress_frame *);
/* Adds to the bytes that wait in streams to a peer, or subtracts from them. */
void egress_add_bulk(struct egress *, struct egress_peer *, int64_t bytes);
/* Sets whether a peer has read nothing for a while. */
void egress_set_stalled(struct egress *, struct egress_peer *, int);
/* Bytes of frames queued for a peer, without streams. */
size_t egress_peer_queued(const struct egress_peer *);
/* Bytes of a stream to be written at a time; bounds the wait of the next. */
size_t egress_piece_size(const struct egress *);
/* How long a frame of a class that is queued now waits, in ms. */
int egress_wait_ms(const struct egress *, enum egress_class, int64_t now);
/* Bytes a second that the link takes; 0 if it is not limited. */
double egress_rate(const struct egress *);
/* Queued bytes of a class. */
size_t egress_queued(const struct egress *, enum egress_class);
/*
 * Adds a sample of the measurement: bytes that have left the kernel since the
 * last one, and bytes that it holds now, without peers that read nothing.
 * Returns 1 if the rate was lowered.
 */
int egress_meter(struct egress *, size_t left, size_t held, int64_t now);

#endif
