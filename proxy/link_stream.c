/*
 * Streamed answers on a link.  The egress scheduler tells which stream may send
 * its next piece, so that short frames do not wait for long answers.
 */
#include <string.h>

#include "link_int.h"

/*
 * Bytes of one answer that are read before the link has taken them, and the
 * share of memory_mb that all answers together may take so.
 */
#define READ_AHEAD_MAX	   (1024 * 1024)
#define READ_AHEAD_DIVISOR 16
#define BYTES_PER_MB	   (1024 * 1024)

static struct egress *egress_of(const struct served_job *);
static int may_read_ahead(const struct served_job *);
static void write_bulk(struct served_job *, const Link__Frame *);
static void write_piece(struct served_job *);
static void write_end(struct served_job *);

/* The scheduler of the node that sends the stream. */
static struct egress *
egress_of(const struct served_job *s)
{
	return &s->job.link->links->egress;
}

/* Begins a stream: sends the head of the answer. */
void
link_stream_head(struct job *j, const struct http_message *m)
{
	struct served_job *s = j->arg;
	Link__Frame f = LINK__FRAME__INIT;
	Link__Answer a = LINK__ANSWER__INIT;

	s->pending = evbuffer_new();
	s->credit = STREAM_WINDOW;
	s->bulk = (struct egress_frame){ .class = EGRESS_BULK,
		.peer = &j->link->out,
		.is_call = j->is_call,
		.priority = j->priority,
		.goal_us = j->goal * US_PER_MS,
		.deadline_us = j->deadline * US_PER_MS,
		.left = MAX(m->length, 0) };
	f.stream = j->stream;
	f.body_case = LINK__FRAME__BODY_ANSWER;
	f.answer = &a;
	a.outcome = OUTCOME_ANSWERED;
	a.status = (uint32_t)m->status;
	a.load = (uint32_t)proxy_guard_load(j->guard);
	a.more = 1;
	a.length = m->length;
	a.n_headers = m->headers->len;
	a.headers = link_headers(m);
	link_write_head(j->link, &f, s);
	link_headers_free(a.headers, a.n_headers);
}

/*
 * Answers that are complete here and wait for the link count as well.  Without
 * a rate nothing is read ahead, and each takes no more than a window.
 */
int
link_streams_wait_ms(const struct links *ls)
{
	const struct egress *e = &ls->egress;
	size_t max = (size_t)ls->proxy->settings->memory_mb * BYTES_PER_MB /
		     READ_AHEAD_DIVISOR,
	       queued = egress_queued(e, EGRESS_BULK);

	if (e->rate_max <= 0 || queued <= max)
		return 0;
	return 1 + (int)((double)(queued - max + STREAM_WINDOW) *
			 BASE_MS_PER_S / egress_rate(e));
}

/*
 * A target whose answer is not read keeps a slot busy with it.  So where the
 * link is known to be slow an answer is read as fast as the target sends it,
 * while there is memory for what the link has yet to take.
 */
static int
may_read_ahead(const struct served_job *s)
{
	return egress_of(s)->rate_max > 0 &&
	       evbuffer_get_length(s->pending) < READ_AHEAD_MAX &&
	       link_streams_wait_ms(s->job.link->links) == 0;
}

/* Queues the next bytes of a stream. */
void
link_stream_piece(struct job *j, const void *bytes, size_t len)
{
	struct served_job *s = j->arg;

	evbuffer_add(s->pending, bytes, len);
	if (may_read_ahead(s)) {
		s->read_ahead += len;
		proxy_guard_credit(j->guard, j, len);
	}
	egress_add_bulk(egress_of(s), &j->link->out, (int64_t)len);
	link_stream_ready(s);
	link_egress_pump(j->link->links);
}

/* Ends a stream; the end frame follows the last piece. */
void
link_stream_end(struct served_job *s, const struct job_result *r)
{
	s->ended = 1;
	s->whole = r->outcome == OUTCOME_ANSWERED;
	s->load = r->load;
	s->estimate = r->estimate;
	link_stream_ready(s);
	link_egress_pump(s->job.link->links);
}

/* A piece needs credit, and never precedes the head of its answer. */
void
link_stream_ready(struct served_job *s)
{
	size_t n = evbuffer_get_length(s->pending);

	if (s->head_waiting != NULL || (n == 0 && !s->ended) ||
	    (n > 0 && s->credit <= 0))
		return;
	egress_enqueue(egress_of(s), &s->bulk);
}

/* Adds credit that the peer has granted. */
void
link_stream_credit(struct link *l, uint32_t stream, size_t n)
{
	struct served_job *s;

	s = g_hash_table_lookup(l->jobs, GUINT_TO_POINTER(stream));
	if (s == NULL || s->pending == NULL)
		return;
	s->credit += (int64_t)n;
	link_stream_ready(s);
	link_egress_pump(l->links);
}

/* Writes a frame of a stream, and charges it. */
static void
write_bulk(struct served_job *s, const Link__Frame *f)
{
	struct link *l = s->job.link;
	size_t n = link_frame_size(f);

	link_pack_frame(bufferevent_get_output(l->bev), f);
	link_egress_count(l, EGRESS_BULK, n);
	egress_charge(egress_of(s), EGRESS_BULK, n);
}

/* Writes one piece, and grants the target as many bytes. */
static void
write_piece(struct served_job *s)
{
	Link__Frame f = LINK__FRAME__INIT;
	Link__Piece p = LINK__PIECE__INIT;
	size_t n = evbuffer_get_length(s->pending), ahead;

	n = MIN(MIN(n, s->bulk.slice), (size_t)s->credit);
	f.stream = s->job.stream;
	f.body_case = LINK__FRAME__BODY_PIECE;
	f.piece = &p;
	p.data.len = n;
	p.data.data = evbuffer_pullup(s->pending, (ev_ssize_t)n);
	write_bulk(s, &f);
	evbuffer_drain(s->pending, n);
	egress_add_bulk(egress_of(s), &s->job.link->out, -(int64_t)n);
	s->bulk.left = MAX(s->bulk.left - (int64_t)n, 0);
	s->credit -= (int64_t)n;
	ahead = MIN(s->read_ahead, n);
	s->read_ahead -= ahead;
	if (!s->ended && n > ahead)
		proxy_guard_credit(s->job.guard, &s->job, n - ahead);
}

/* Writes the end frame, and releases the job. */
static void
write_end(struct served_job *s)
{
	Link__Frame f = LINK__FRAME__INIT;
	Link__End e = LINK__END__INIT;
	Link__Estimate estimate = link_estimate(&s->estimate);
	struct link *l = s->job.link;

	f.stream = s->job.stream;
	f.body_case = LINK__FRAME__BODY_END;
	f.end = &e;
	e.whole = s->whole;
	e.load = (uint32_t)s->load;
	e.estimate = &estimate;
	write_bulk(s, &f);
	g_hash_table_remove(l->jobs, GUINT_TO_POINTER(s->job.stream));
	link_served_free(s);
}

/* An answer that broke off ends at once, without the bytes that wait. */
void
link_stream_write(struct served_job *s)
{
	if (evbuffer_get_length(s->pending) > 0)
		write_piece(s);
	if (s->ended && (evbuffer_get_length(s->pending) == 0 || !s->whole))
		write_end(s);
	else
		link_stream_ready(s);
}

/* Releases the stream of a job. */
void
link_stream_drop(struct served_job *s)
{
	link_egress_withdraw(s->head_waiting);
	if (s->pending == NULL)
		return;
	egress_remove(egress_of(s), &s->bulk);
	egress_add_bulk(egress_of(s), &s->job.link->out,
	    -(int64_t)evbuffer_get_length(s->pending));
	evbuffer_free(s->pending);
}
