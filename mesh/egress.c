/* Egress scheduler: pacing, classes with weights, and the measured rate. */
#include <string.h>

#include "egress_int.h"

/* The rest is left for headers of TCP and IP and for other connections. */
#define PACE_PERCENT 97
/* What may leave at once, as time on the link; late timers must not cost rate.
 */
#define BURST_MS 15
/* A piece of a stream, as time on the link, and its bounds in bytes. */
#define PIECE_MS  4
#define PIECE_MIN (2 * 1024)
#define PIECE_MAX (16 * 1024)
/*
 * A link is slower than its rate if the kernel holds more than HELD_SLOW_MS of
 * it in SLOW_SAMPLES samples in a row.  The rate then becomes a part of what
 * left, so that the kernel's queue drains.
 */
#define HELD_SLOW_MS  40
#define HELD_SHORT_MS 10
/*
 * Lower bounds of these in bytes.  Peers may delay the acknowledgement of a
 * piece's last segment by 40 ms, in which ten pieces are written: with less the
 * rate would not rise again.
 */
#define HELD_SLOW_MIN  (32 * 1024)
#define HELD_SHORT_MIN (16 * 1024)
#define SLOW_SAMPLES   2
#define SLOW_PERCENT   85
#define RATE_MIN_PART  50 /* the rate is at least rate_max divided by this */
#define RATE_GROWTH    1.05

/*
 * Shares of the link while several classes have frames queued.  With all of
 * them busy, state of 600 KB is through in 1.9 s at 10 Mbit/s.
 */
static const double weights[EGRESS_CLASSES] = {
	[EGRESS_CONTROL] = 1,
	[EGRESS_STATE] = 12,
	[EGRESS_SHORT] = 16,
	[EGRESS_REQUEST] = 16,
	[EGRESS_BULK] = 1,
};

static void refill(struct egress *, int64_t);
static double tokens_at(const struct egress *, int64_t);
static enum egress_class next_class(const struct egress *, int64_t);
static int has_frames(const struct egress *);
static void
add_bytes(struct egress *, struct egress_peer *, enum egress_class, int64_t);
static size_t slice_of(const struct egress *, const struct egress_frame *);

/* Without a rate until egress_set_rate is called. */
void
egress_init(struct egress *e)
{
	int i;

	memset(e, 0, sizeof(*e));
	for (i = 0; i < EGRESS_CLASSES; i++)
		e->queues[i] = g_ptr_array_new();
}

/* Queued frames are dropped. */
void
egress_clear(struct egress *e)
{
	int i;

	for (i = 0; i < EGRESS_CLASSES; i++)
		g_ptr_array_free(e->queues[i], TRUE);
}

/* A measured rate is forgotten when the setting changes. */
void
egress_set_rate(struct egress *e, double bytes_per_s, int64_t now)
{
	if (bytes_per_s == e->rate_max)
		return;
	e->rate_max = e->rate = bytes_per_s;
	e->tokens = 0;
	e->filled_us = e->metered_us = now;
	e->slow_samples = 0;
}

/* Tokens at a time; after a pause no more than a burst. */
static double
tokens_at(const struct egress *e, int64_t now)
{
	double rate = egress_rate(e);
	double burst = rate * BURST_MS * US_PER_MS / US_PER_S;
	double tokens =
	    e->tokens + rate * (double)(now - e->filled_us) / US_PER_S;

	return MIN(tokens, burst);
}

/* Adds the tokens of the time that has passed. */
static void
refill(struct egress *e, int64_t now)
{
	e->tokens = tokens_at(e, now);
	e->filled_us = now;
}

/*
 * The class to be served next, or EGRESS_CLASSES.  Control precedes all others
 * and needs no tokens; of the others it is the one that has had the least of
 * its share.  A class gets no credit for the time in which it had nothing to
 * send.
 */
static enum egress_class
next_class(const struct egress *e, int64_t now)
{
	enum egress_class best = EGRESS_CLASSES;
	double tag, least = 0;
	int i;

	if (egress_has_eligible(e, EGRESS_CONTROL))
		return EGRESS_CONTROL;
	if (e->rate_max > 0 && tokens_at(e, now) <= 0)
		return EGRESS_CLASSES;
	for (i = EGRESS_STATE; i < EGRESS_CLASSES; i++) {
		tag = MAX(e->tags[i], e->start_tag);
		if ((best == EGRESS_CLASSES || tag < least) &&
		    egress_has_eligible(e, i)) {
			best = i;
			least = tag;
		}
	}
	return best;
}

/* Whether a frame, not only a stream, could be sent if there are tokens. */
static int
has_frames(const struct egress *e)
{
	return egress_has_eligible(e, EGRESS_STATE) ||
	       egress_has_eligible(e, EGRESS_SHORT) ||
	       egress_has_eligible(e, EGRESS_REQUEST);
}

/* Adds to the queued bytes of a class and a peer, or subtracts from them. */
static void
add_bytes(
    struct egress *e, struct egress_peer *p, enum egress_class class, int64_t n)
{
	p->queued[class] = (size_t)((int64_t)p->queued[class] + n);
	e->bytes[class] = (size_t)((int64_t)e->bytes[class] + n);
	if (p->stalled)
		e->stalled[class] = (size_t)((int64_t)e->stalled[class] + n);
}

/* Without a rate, a frame is written whole. */
static size_t
slice_of(const struct egress *e, const struct egress_frame *f)
{
	if (f->class == EGRESS_BULK)
		return egress_piece_size(e);
	return e->rate_max > 0 ? MIN(f->len, egress_piece_size(e)) : f->len;
}

/* The frame goes to the end of the queue of its class. */
void
egress_enqueue(struct egress *e, struct egress_frame *f)
{
	if (f->queued)
		return;
	f->number = e->next_number++;
	f->queued = 1;
	g_ptr_array_add(e->queues[f->class], f);
	add_bytes(e, f->peer, f->class, (int64_t)f->len);
}

/*
 * Control frames are small; they are charged, but do not wait for tokens.  A
 * frame longer than a piece is queued, to be written in slices: others would
 * wait for its whole length.
 */
int
egress_take(struct egress *e, const struct egress_frame *f, int64_t now)
{
	const struct egress_peer *p = f->peer;

	if (f->class == EGRESS_BULK || p->partial != NULL ||
	    p->queued[f->class] > 0)
		return 0;
	if (e->rate_max <= 0)
		return 1;
	refill(e, now);
	if (f->class != EGRESS_CONTROL &&
	    (e->tokens <= 0 || p->blocked || f->len > egress_piece_size(e) ||
		has_frames(e)))
		return 0;
	egress_charge(e, f->class, f->len);
	return 1;
}

/* Bytes are charged to the link and to the share of their class. */
void
egress_charge(struct egress *e, enum egress_class class, size_t n)
{
	if (e->rate_max <= 0)
		return;
	e->tokens -= (double)n;
	e->tags[class] =
	    MAX(e->tags[class], e->start_tag) + (double)n / weights[class];
}

/* Without a rate, streams are sent as fast as their peers accept them. */
struct egress_frame *
egress_next(struct egress *e, int64_t now)
{
	enum egress_class class;
	struct egress_frame *f;

	if (e->rate_max > 0)
		refill(e, now);
	if ((class = next_class(e, now)) == EGRESS_CLASSES)
		return NULL;
	f = egress_first(e, class, now);
	f->slice = slice_of(e, f);
	if (class == EGRESS_BULK && !f->begun)
		f->in_goal = !egress_is_late(e, f, now);
	f->begun = 1;
	e->turns[class]++;
	if (class != EGRESS_CONTROL)
		e->start_tag = MAX(e->start_tag, e->tags[class]);
	if (class == EGRESS_BULK) {
		egress_remove(e, f);
		return f;
	}
	egress_charge(e, class, f->slice);
	add_bytes(e, f->peer, class, -(int64_t)f->slice);
	f->len -= f->slice;
	f->peer->partial = f;
	if (f->len == 0)
		egress_remove(e, f);
	return f;
}

/*
 * Short frames are due with the first token.  Streams wait for those of a
 * piece, so that the process does not wake up for each few bytes.
 */
int64_t
egress_next_at(const struct egress *e, int64_t now)
{
	double need, rate = egress_rate(e);
	int frames = has_frames(e);

	if (egress_has_eligible(e, EGRESS_CONTROL))
		return now;
	if (!frames && !egress_has_eligible(e, EGRESS_BULK))
		return 0;
	if (e->rate_max <= 0)
		return now;
	need = frames ? 1 : rate * PIECE_MS * US_PER_MS / US_PER_S;
	need -= tokens_at(e, now);
	return now + MAX((int64_t)(need / rate * US_PER_S) + 1, 0);
}

/* The caller frees the frame. */
void
egress_remove(struct egress *e, struct egress_frame *f)
{
	if (!f->queued)
		return;
	g_ptr_array_remove(e->queues[f->class], f);
	f->queued = 0;
	if (f->peer->partial == f)
		f->peer->partial = NULL;
	add_bytes(e, f->peer, f->class, -(int64_t)f->len);
}

/* Streams are counted as their bytes arrive from the target and leave. */
void
egress_add_bulk(struct egress *e, struct egress_peer *p, int64_t bytes)
{
	add_bytes(e, p, EGRESS_BULK, bytes);
}

/* What waits for a stalled peer delays no others. */
void
egress_set_stalled(struct egress *e, struct egress_peer *p, int stalled)
{
	int i;

	if (stalled == p->stalled)
		return;
	p->stalled = stalled;
	for (i = 0; i < EGRESS_CLASSES; i++) {
		if (stalled)
			e->stalled[i] += p->queued[i];
		else
			e->stalled[i] -= p->queued[i];
	}
}

/* Streams are bounded by the credit of the peer. */
size_t
egress_peer_queued(const struct egress_peer *p)
{
	return p->queued[EGRESS_CONTROL] + p->queued[EGRESS_STATE] +
	       p->queued[EGRESS_SHORT] + p->queued[EGRESS_REQUEST];
}

/* The largest piece without a rate, as the bound is on its time. */
size_t
egress_piece_size(const struct egress *e)
{
	if (e->rate_max <= 0)
		return PIECE_MAX;
	return (size_t)CLAMP(
	    e->rate * PIECE_MS * US_PER_MS / US_PER_S, PIECE_MIN, PIECE_MAX);
}

/*
 * Streams wait for all other classes; those share the link with each other, and
 * a stream delays them by a piece at most.
 */
int
egress_wait_ms(const struct egress *e, enum egress_class class, int64_t now)
{
	double bytes, rate = egress_rate(e);
	int i;

	if (e->rate_max <= 0 || class == EGRESS_CONTROL)
		return 0;
	bytes = -MIN(tokens_at(e, now), 0);
	for (i = EGRESS_STATE; i < EGRESS_CLASSES; i++)
		if (i != EGRESS_BULK || class == EGRESS_BULK)
			bytes += (double)(e->bytes[i] - e->stalled[i]);
	return (int)(bytes / rate * BASE_MS_PER_S);
}

/* The paced rate, which is what frames can use. */
double
egress_rate(const struct egress *e)
{
	return e->rate * PACE_PERCENT / 100;
}

/* Bytes of a stream are counted from their arrival. */
size_t
egress_queued(const struct egress *e, enum egress_class class)
{
	return e->bytes[class];
}

/*
 * The rate rises by a factor for each sample, of which there is one each 100
 * ms, until it is the setting's again.
 */
int
egress_meter(struct egress *e, size_t left, size_t held, int64_t now)
{
	double s = (double)(now - e->metered_us) / US_PER_S, rate;
	double slow =
	    MAX(e->rate * HELD_SLOW_MS / BASE_MS_PER_S, HELD_SLOW_MIN);
	double brief =
	    MAX(e->rate * HELD_SHORT_MS / BASE_MS_PER_S, HELD_SHORT_MIN);

	e->metered_us = now;
	if (e->rate_max <= 0 || s <= 0)
		return 0;
	if ((double)held <= slow) {
		e->slow_samples = 0;
		if ((double)held < brief)
			e->rate = MIN(e->rate * RATE_GROWTH, e->rate_max);
		return 0;
	}
	if (++e->slow_samples < SLOW_SAMPLES)
		return 0;
	rate = (double)left / s * SLOW_PERCENT / 100;
	rate = CLAMP(rate, e->rate_max / RATE_MIN_PART, e->rate_max);
	if (rate >= e->rate)
		return 0;
	e->rate = rate;
	return 1;
}
