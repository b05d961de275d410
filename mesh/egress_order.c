/* Egress scheduler: the order of frames within a class. */
#include "egress_int.h"

/*
 * Each fourth slice of a class goes to what has waited longest, so that the
 * less urgent and the late do not starve.
 */
#define TURN_PERIOD 4
/*
 * Share of the link's rate that the first stream gets at least, in percent; the
 * rest goes to turns and to other classes.
 */
#define FIRST_PERCENT 65

static int is_eligible(const struct egress_frame *);
static int is_sequence(const struct egress *, enum egress_class);
static int64_t rest_us(const struct egress *, const struct egress_frame *);
static int
misses_deadline(const struct egress *, const struct egress_frame *, int64_t);
static int precedes(const struct egress *, const struct egress_frame *,
    const struct egress_frame *, int64_t);
static int waited_longer(const struct egress *, const struct egress_frame *,
    const struct egress_frame *, int64_t);

/*
 * Whether the peer can be sent the frame now.  Bytes of frames are never
 * interleaved on a connection.
 */
static int
is_eligible(const struct egress_frame *f)
{
	const struct egress_peer *p = f->peer;

	if (p->partial != NULL && p->partial != f)
		return 0;
	if (f->class == EGRESS_CONTROL)
		return 1;
	return !p->blocked && (f->class != EGRESS_BULK || !p->stalled);
}

/*
 * Whether frames of a class keep the order in which they were queued.  Without
 * a rate all do, and so streams, which are queued anew after each piece, are
 * sent in turn.
 */
static int
is_sequence(const struct egress *e, enum egress_class class)
{
	return e->rate_max <= 0 || class == EGRESS_CONTROL ||
	       class == EGRESS_STATE;
}

/* Time that the rest of a frame takes on the link alone. */
static int64_t
rest_us(const struct egress *e, const struct egress_frame *f)
{
	double rate = egress_rate(e), left = f->class == EGRESS_BULK
						 ? (double)f->left
						 : (double)f->len;

	return rate > 0 ? (int64_t)(left / rate * US_PER_S) : 0;
}

/*
 * Whether a frame can no longer arrive by its goal.  A stream of known length
 * that began in time keeps its place until it is complete: otherwise, under
 * load, many would be begun and none completed.
 */
int
egress_is_late(
    const struct egress *e, const struct egress_frame *f, int64_t now)
{
	if (f->in_goal && f->left > 0)
		return 0;
	return f->goal_us <= now + rest_us(e, f) * 100 / FIRST_PERCENT;
}

/* Whether a stream that has its turns alone will be cancelled half-way. */
static int
misses_deadline(
    const struct egress *e, const struct egress_frame *f, int64_t now)
{
	return f->deadline_us != 0 &&
	       f->deadline_us < now + rest_us(e, f) * TURN_PERIOD;
}

/*
 * Order within a class: calls, then priority, then a frame that was written in
 * part, as it holds up its connection, then goals that can still be met, the
 * earlier first, then what has waited longest.
 */
static int
precedes(const struct egress *e, const struct egress_frame *x,
    const struct egress_frame *y, int64_t now)
{
	int late_x, late_y;

	if (is_sequence(e, x->class))
		return x->number < y->number;
	if (x->is_call != y->is_call)
		return x->is_call;
	if (x->priority != y->priority)
		return x->priority < y->priority;
	if (x->class != EGRESS_BULK && x->begun != y->begun)
		return x->begun;
	late_x = egress_is_late(e, x, now);
	late_y = egress_is_late(e, y, now);
	if (late_x != late_y)
		return late_y;
	if (!late_x && x->goal_us != y->goal_us)
		return x->goal_us < y->goal_us;
	return waited_longer(e, x, y, now);
}

/*
 * Order of each fourth slice.  What has begun is completed first, and what
 * cannot be completed in time is not begun.
 */
static int
waited_longer(const struct egress *e, const struct egress_frame *x,
    const struct egress_frame *y, int64_t now)
{
	int missed_x = misses_deadline(e, x, now),
	    missed_y = misses_deadline(e, y, now);

	if (missed_x != missed_y)
		return missed_y;
	if (x->begun != y->begun)
		return x->begun;
	return x->number < y->number;
}

/*
 * In each fourth slice, what has waited longest precedes the frame that would
 * be first otherwise.
 */
struct egress_frame *
egress_first(const struct egress *e, enum egress_class class, int64_t now)
{
	const GPtrArray *queue = e->queues[class];
	struct egress_frame *f, *first = NULL, *turn = NULL;
	guint i;

	for (i = 0; i < queue->len; i++) {
		f = g_ptr_array_index(queue, i);
		if (is_eligible(f) &&
		    (first == NULL || precedes(e, f, first, now)))
			first = f;
	}
	if (is_sequence(e, class) ||
	    e->turns[class] % TURN_PERIOD < TURN_PERIOD - 1)
		return first;
	for (i = 0; i < queue->len; i++) {
		f = g_ptr_array_index(queue, i);
		if (f != first && is_eligible(f) &&
		    (turn == NULL || waited_longer(e, f, turn, now)))
			turn = f;
	}
	return turn != NULL ? turn : first;
}

/* Whether a class has a frame that can be sent. */
int
egress_has_eligible(const struct egress *e, enum egress_class class)
{
	guint i;

	for (i = 0; i < e->queues[class]->len; i++)
		if (is_eligible(g_ptr_array_index(e->queues[class], i)))
			return 1;
	return 0;
}
