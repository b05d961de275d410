/*
 * Which requests a draining node still passes on: those that can end before its
 * process does, by their own time limit or by what such requests take now.  The
 * others are refused at once, as not run, since breaking them off later would
 * leave open whether they ran.
 */
#include "entry_int.h"

#define KINDS_MAX 4096 /* whose times are kept */
/* As for the retransmission timeout of TCP. */
#define MEAN_DIVISOR 8
#define DEV_DIVISOR  4
#define DEV_FACTOR   4

/* Time from arrival to answer of one kind of request, ms. */
struct answer_time {
	double mean, dev; /* exponential averages */
};

/* Records the time that a request took until it was answered. */
void
leaving_record(struct entry *e, uint32_t kind, int64_t took_ms)
{
	gpointer key = GUINT_TO_POINTER(kind);
	struct answer_time *t = g_hash_table_lookup(e->answer_times, key);
	double off;

	if (t == NULL) {
		/* Routes that are gone leave their times behind. */
		if (g_hash_table_size(e->answer_times) >= KINDS_MAX)
			g_hash_table_remove_all(e->answer_times);
		t = g_new(struct answer_time, 1);
		*t = (struct answer_time){ (double)took_ms, 0 };
		g_hash_table_insert(e->answer_times, key, t);
		return;
	}
	off = (double)took_ms - t->mean;
	t->mean += off / MEAN_DIVISOR;
	t->dev += (ABS(off) - t->dev) / DEV_DIVISOR;
}

/*
 * Whether a request with left_ms until its time limit can end before the node
 * stops.  One of a kind that was never answered is taken.
 */
int
leaving_can_end(
    const struct entry *e, uint32_t kind, int64_t left_ms, int64_t now)
{
	int64_t until = e->proxy->last_answer_at;
	const struct answer_time *t;

	if (until == 0 || now + left_ms <= until)
		return 1;
	t = g_hash_table_lookup(e->answer_times, GUINT_TO_POINTER(kind));
	return t == NULL ||
	       (double)now + t->mean + DEV_FACTOR * t->dev <= (double)until;
}

/*
 * The same for a job in the guard's queue.  The answer of another node's job
 * may be long, and then waits for the link behind those before it.
 */
int
leaving_guard_can_end(
    const struct proxy_guard *g, const struct job *j, int64_t now)
{
	int64_t until = g->proxy->last_answer_at;
	int ms;

	if (until == 0 || j->deadline <= until)
		return 1;
	ms = admit_wait_ms(&g->admit, j->kind, j->priority, now) +
	     admit_work_ms(&g->admit, j->kind);
	if (j->link != NULL)
		ms += egress_wait_ms(
		    &g->proxy->links.egress, EGRESS_BULK, base_now_us());
	return now + ms <= until;
}
