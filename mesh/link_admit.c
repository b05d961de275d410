/* Admission control for a link: commitments in bytes, estimates of sizes. */
#include <math.h>
#include <string.h>

#include "link_admit.h"

#define US_PER_MS 1000
/* Expected size until the first answer, just long enough to count as long. */
#define INITIAL_BYTES  LINK_ADMIT_SHORT_MAX
#define SIZE_SMOOTHING 8 /* a sample has a weight of 1/8 */
/* The rest is reserved for short answers and calls. */
#define LONG_SHARE 0.9
/*
 * Sizes of answers vary: answers that are not known yet are taken for so many
 * standard deviations of their sum above its mean.
 */
#define MARGIN_DEVIATIONS 1.5
/*
 * Weighted fair queueing gives short answers 16 parts and the classes of state
 * and requests 24, so these delay them by 1.5 times their own bytes at most.
 */
#define OTHERS_PER_SHORT 1.5

/* What the link has to send before a new answer, in bytes. */
struct backlog {
	double bytes;  /* queued in the scheduler, and committed */
	double var;    /* of the committed part */
	double shorts; /* short answers, queued and committed */
};

static int find_kind(const struct link_admit *, uint32_t);
static int add_kind(struct link_admit *, uint32_t);
static const struct link_size *size_of(const struct link_admit *, int);
static int is_long(const struct link_size *);
static void record_size(struct link_size *, double);
static void record(struct link_admit *, struct link_commit *, int64_t);
static void get_backlog(const struct link_admit *, const struct egress *,
    int64_t, struct backlog *);
static double bytes_ms(double, double);
static double long_free_at(
    const struct link_admit *, const struct backlog *, double, int64_t);
static double short_wait_ms(
    const struct egress *, const struct backlog *, double, double, int64_t);
static int is_urgent(const struct link_admit *, const struct link_request *);
static double limit_of(const struct link_request *);
static double free_at_for(const struct link_admit *,
    const struct link_request *, const struct backlog *, double, int64_t);
static void correct(struct link_admit *, const struct link_commit *, double);
static int is_trial(const struct link_admit *, int);
static double
short_excess_ms(const struct egress *, const struct link_request *,
    const struct backlog *, double, double, int64_t);
static double
long_excess_ms(const struct link_admit *, const struct link_request *,
    const struct backlog *, const struct link_size *, double, double, int64_t);

/* Without estimates, each answer is expected to have INITIAL_BYTES. */
void
link_admit_init(struct link_admit *la)
{
	memset(la, 0, sizeof(*la));
	la->size.mean = INITIAL_BYTES;
}

/* Index of a kind's estimates, or -1 if it has none. */
static int
find_kind(const struct link_admit *la, uint32_t kind)
{
	int i;

	for (i = 0; i < la->nkinds; i++)
		if (la->kinds[i].kind == kind)
			return i;
	return -1;
}

/*
 * Index of a kind's estimates, added if it has none.  When the table is full,
 * those that were not used for longest are replaced, but not while a commitment
 * refers to them; if all are referred to, the kind shares those of another.
 */
static int
add_kind(struct link_admit *la, uint32_t kind)
{
	int i, k = find_kind(la, kind);

	if (k < 0 && la->nkinds < LINK_ADMIT_KINDS) {
		k = la->nkinds++;
		la->kinds[k] = (struct link_kind){ .kind = kind };
	} else if (k < 0) {
		for (i = 0; i < la->nkinds; i++)
			if (la->kinds[i].commits == 0 &&
			    (k < 0 ||
				la->kinds[i].last_use < la->kinds[k].last_use))
				k = i;
		if (k >= 0)
			la->kinds[k] = (struct link_kind){ .kind = kind };
		else
			k = (int)(kind % LINK_ADMIT_KINDS);
	}
	la->kinds[k].last_use = ++la->uses;
	return k;
}

/* A kind that was never answered is taken for an average one. */
static const struct link_size *
size_of(const struct link_admit *la, int i)
{
	return i >= 0 && la->kinds[i].size.samples > 0 ? &la->kinds[i].size
						       : &la->size;
}

/* Whether answers are sent in pieces, behind short ones. */
static int
is_long(const struct link_size *s)
{
	return s->mean >= LINK_ADMIT_SHORT_MAX;
}

/* The first sample replaces the mean that there was. */
static void
record_size(struct link_size *s, double bytes)
{
	double off;

	if (s->samples++ == 0) {
		s->mean = bytes;
		s->var = 0;
		return;
	}
	off = bytes - s->mean;
	s->mean += off / SIZE_SMOOTHING;
	s->var += (off * off - s->var) / SIZE_SMOOTHING;
}

/* Records the size of a job's answer, once. */
static void
record(struct link_admit *la, struct link_commit *c, int64_t bytes)
{
	if (c->measured)
		return;
	c->measured = 1;
	record_size(&la->kinds[c->kind].size, (double)bytes);
	record_size(&la->size, (double)bytes);
}

/* Time that the link needs for bytes. */
static double
bytes_ms(double bytes, double rate)
{
	return bytes / rate * BASE_MS_PER_S;
}

/*
 * The kinds are few; this runs for each job, not for each piece.  Streams that
 * wait although the link is idle wait for their readers, and do not count.
 */
static void
get_backlog(const struct link_admit *la, const struct egress *e, int64_t now,
    struct backlog *b)
{
	const struct link_kind *k;
	const struct link_size *s;
	int i;

	enum egress_class class = EGRESS_BULK;

	if (egress_next_at(e, now * US_PER_MS) == 0)
		class = EGRESS_SHORT;
	b->bytes = egress_rate(e) * egress_wait_ms(e, class, now * US_PER_MS) /
		       BASE_MS_PER_S +
		   (double)la->begun;
	b->var = 0;
	b->shorts = (double)egress_queued(e, EGRESS_SHORT);
	for (i = 0; i < la->nkinds; i++) {
		k = &la->kinds[i];
		s = size_of(la, i);
		b->bytes += k->open * s->mean;
		b->var += k->open * s->var;
		if (!is_long(s))
			b->shorts += k->open * s->mean;
	}
}

/*
 * Time at which the link has sent what is committed.  Answers that are not
 * ready yet may leave it idle before, which the bytes do not show: busy_until
 * was advanced for each answer from the time at which it was to be ready.  The
 * link is busy for the bytes at least, and idle at most until the last answer
 * is ready.
 */
static double
long_free_at(const struct link_admit *la, const struct backlog *b, double rate,
    int64_t now)
{
	double least = (double)now + bytes_ms(b->bytes, rate);
	double idle = la->open > 0 ? (double)MAX(la->last_ready - now, 0) : 0;

	return CLAMP(la->busy_until, least, least + idle);
}

/* Wait of a short answer: what is sent before it, with its own bytes. */
static double
short_wait_ms(const struct egress *e, const struct backlog *b, double bytes,
    double rate, int64_t now)
{
	double own = b->shorts + bytes;
	double others = bytes_ms(own * OTHERS_PER_SHORT, rate);
	double queued = egress_wait_ms(e, EGRESS_SHORT, now * US_PER_MS) -
			bytes_ms((double)egress_queued(e, EGRESS_SHORT), rate);

	return bytes_ms(own, rate) + CLAMP(queued, 0, others);
}

/*
 * Whether an answer is sent before those of callers with the lowest priority,
 * which is the greatest number offered so far.
 */
static int
is_urgent(const struct link_admit *la, const struct link_request *r)
{
	return r->is_call || r->priority < la->lowest_priority;
}

/*
 * A call may use all of its time limit: its caller holds a slot of another
 * target, and its work is lost with the call.
 */
static double
limit_of(const struct link_request *r)
{
	return (double)(r->is_call ? r->deadline : MIN(r->goal, r->deadline));
}

/* Time at which the link has sent what precedes a long answer. */
static double
free_at_for(const struct link_admit *la, const struct link_request *r,
    const struct backlog *b, double rate, int64_t now)
{
	double all = long_free_at(la, b, rate, now);

	return is_urgent(la, r) ? CLAMP(la->urgent_until, (double)now, all)
				: all;
}

/* Changes what a commitment is expected to send by some bytes. */
static void
correct(struct link_admit *la, const struct link_commit *c, double bytes)
{
	la->busy_until += bytes_ms(bytes, la->rate);
	if (c->urgent)
		la->urgent_until += bytes_ms(bytes, la->rate);
}

/*
 * Whether a kind may have a trial: it was never answered, so its size is not
 * known, and would not get known while the link is too full for the mean.
 */
static int
is_trial(const struct link_admit *la, int i)
{
	return i < 0 ||
	       (la->kinds[i].size.samples == 0 && la->kinds[i].trials == 0);
}

/*
 * Short answers are sent before bulk, so what is bulk does not delay them; a
 * late one, whose goal has passed or cannot be met, only has to meet its
 * deadline, as it hardly takes time from others.
 */
static double
short_excess_ms(const struct egress *e, const struct link_request *r,
    const struct backlog *b, double limit, double bytes, int64_t now)
{
	double rate = egress_rate(e), own = bytes_ms(bytes, rate);
	double ready = (double)MAX(r->ready, now);
	double sent = (double)now + short_wait_ms(e, b, bytes, rate, now);

	if (b->shorts <= 0)
		return 0;
	if (ready + own > limit)
		limit = (double)r->deadline;
	return MAX(ready + own, sent) - limit;
}

/*
 * A late answer is admitted if the link is free when it is ready, so that
 * nothing else needs the link.  It must then meet its deadline, unless it is
 * the only one: an estimate that is too large would never be corrected.
 */
static double
long_excess_ms(const struct link_admit *la, const struct link_request *r,
    const struct backlog *b, const struct link_size *s, double limit,
    double rate, int64_t now)
{
	double own = bytes_ms(s->mean, rate),
	       ready = (double)MAX(r->ready, now);
	double free_at = free_at_for(la, r, b, rate, now);
	double margin = bytes_ms(MARGIN_DEVIATIONS * sqrt(s->var), rate);

	int late = ready + own / LONG_SHARE + margin > limit;

	if (free_at <= ready &&
	    (la->open == 0 || (late && ready + own <= (double)r->deadline)))
		return 0;
	if (late)
		return MAX(free_at - ready, 1);
	/* What is less urgent does not delay an urgent answer. */
	if (!is_urgent(la, r))
		margin =
		    bytes_ms(MARGIN_DEVIATIONS * sqrt(b->var + s->var), rate) +
		    bytes_ms(b->bytes + s->mean, rate) * (1 / LONG_SHARE - 1);
	return MAX(free_at, ready) + own + margin - limit;
}

/* What exceeds the limit falls by a ms in each ms, so it is the wait. */
int
link_admit_check(struct link_admit *la, const struct egress *e,
    const struct link_request *r, int64_t now)
{
	int i = find_kind(la, r->kind);
	const struct link_size *s = size_of(la, i);
	double rate = egress_rate(e), limit, excess;
	struct backlog b;

	la->lowest_priority = MAX(la->lowest_priority, r->priority);
	if (rate <= 0 || (la->size.samples > 0 && is_trial(la, i)))
		return 0;
	get_backlog(la, e, now, &b);
	limit = limit_of(r);
	excess = is_long(s) ? long_excess_ms(la, r, &b, s, limit, rate, now)
			    : short_excess_ms(e, r, &b, limit, s->mean, now);
	return excess > 0 ? (int)ceil(excess) : 0;
}

/* The answer joins the link when it is ready, behind what is committed. */
void
link_admit_commit(struct link_admit *la, const struct egress *e,
    const struct link_request *r, struct link_commit *c, int64_t now)
{
	double rate = egress_rate(e), own, busy, urgent;
	struct link_kind *k;
	struct backlog b;

	if (rate <= 0)
		return;
	get_backlog(la, e, now, &b);
	busy = long_free_at(la, &b, rate, now);
	urgent = free_at_for(la, r, &b, rate, now);
	*c = (struct link_commit){ .state = LINK_COMMIT_OPEN,
		.kind = add_kind(la, r->kind),
		.urgent = is_urgent(la, r),
		.goal = r->goal };
	k = &la->kinds[c->kind];
	own = bytes_ms(size_of(la, c->kind)->mean, rate);
	c->trial = k->size.samples == 0;
	k->trials += c->trial;
	k->open++;
	k->commits++;
	la->last_ready =
	    la->open++ > 0 ? MAX(la->last_ready, r->ready) : r->ready;
	la->rate = rate;
	la->busy_until = MAX(busy, (double)r->ready) + own;
	if (c->urgent)
		la->urgent_until = MAX(urgent, (double)r->ready) + own;
}

/*
 * A length that is stated is recorded at once, for the jobs that follow.  What
 * is left of an answer at its goal does not count, as answers that can still
 * meet their goals precede it then.
 */
void
link_admit_begin(struct link_admit *la, struct link_commit *c, size_t head,
    int64_t length, int64_t now)
{
	double mean, most;

	if (c->state != LINK_COMMIT_OPEN)
		return;
	mean = size_of(la, c->kind)->mean;
	most = la->rate * (double)MAX(c->goal - now, 0) / BASE_MS_PER_S;
	c->state = LINK_COMMIT_BEGUN;
	c->arrived = (int64_t)head;
	c->left = length >= 0 ? length : MAX((int64_t)mean - c->arrived, 0);
	if ((double)c->left > most)
		c->left = (int64_t)most;
	la->kinds[c->kind].open--;
	la->kinds[c->kind].trials -= c->trial;
	la->begun += c->left;
	correct(la, c, (double)(c->arrived + c->left) - mean);
	if (length >= 0)
		record(la, c, c->arrived + length);
}

/* Bytes beyond what was expected are counted when they are queued. */
void
link_admit_arrived(struct link_admit *la, struct link_commit *c, size_t n)
{
	int64_t part;

	if (c->state != LINK_COMMIT_BEGUN)
		return;
	part = MIN(c->left, (int64_t)n);
	c->arrived += (int64_t)n;
	c->left -= part;
	la->begun -= part;
}

/*
 * An answer that broke off says only that its kind is at least as long as what
 * arrived of it.
 */
void
link_admit_settle(struct link_admit *la, struct link_commit *c, int64_t size)
{
	double mean, bytes = (double)size;
	struct link_kind *k;

	if (c->state == LINK_COMMIT_NONE)
		return;
	k = &la->kinds[c->kind];
	mean = size_of(la, c->kind)->mean;
	k->commits--;
	la->open--;
	if (c->state == LINK_COMMIT_OPEN) {
		k->open--;
		k->trials -= c->trial;
		correct(la, c, MAX(bytes, 0) - mean);
		if (size >= 0)
			record(la, c, size);
	} else {
		la->begun -= c->left;
		correct(la, c, -(double)c->left);
		if (size >= 0 || (double)c->arrived > mean)
			record(la, c, c->arrived);
	}
	c->state = LINK_COMMIT_NONE;
}

/* A long answer waits for all that is committed. */
int
link_admit_wait_ms(const struct link_admit *la, const struct egress *e,
    uint32_t kind, int64_t now)
{
	const struct link_size *s = size_of(la, find_kind(la, kind));
	double rate = egress_rate(e);
	struct backlog b;

	if (rate <= 0)
		return 0;
	get_backlog(la, e, now, &b);
	if (!is_long(s))
		return (int)short_wait_ms(e, &b, 0, rate, now);
	return (int)(long_free_at(la, &b, rate, now) - (double)now);
}

/* The answer joins the queue of the link when it is ready. */
int64_t
link_admit_finish_ms(const struct link_admit *la, const struct egress *e,
    uint32_t kind, int64_t ready, int64_t now)
{
	double rate = egress_rate(e);
	int64_t wait = MAX(ready - now, 0);

	if (rate <= 0)
		return wait;
	return MAX(wait, link_admit_wait_ms(la, e, kind, now)) +
	       (int64_t)bytes_ms((double)link_admit_size(la, kind), rate);
}

/* Without what waits in the scheduler. */
int64_t
link_admit_committed(const struct link_admit *la)
{
	double bytes = (double)la->begun;
	int i;

	for (i = 0; i < la->nkinds; i++)
		bytes += la->kinds[i].open * size_of(la, i)->mean;
	return (int64_t)bytes;
}

/* The mean over all kinds for one that was never answered. */
int64_t
link_admit_size(const struct link_admit *la, uint32_t kind)
{
	return (int64_t)size_of(la, find_kind(la, kind))->mean;
}
