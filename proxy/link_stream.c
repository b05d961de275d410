/*
 * Streamed answers on a link.  Their pieces are sent in turn, and only a few
 * are written before the socket has sent the previous ones, so that short
 * frames do not wait for long answers.
 */
#include <string.h>

#include "link_int.h"

#define OUTPUT_AHEAD_MAX (32 * 1024) /* bytes written but not yet sent */

static void enqueue_job(struct served_job *);
static void write_piece(struct served_job *);
static void write_end(struct served_job *);

/* Begins a stream: sends the head of the answer. */
void
link_stream_head(struct job *j, const struct http_message *m)
{
	struct served_job *s = j->arg;
	Link__Frame f = LINK__FRAME__INIT;
	Link__Answer a = LINK__ANSWER__INIT;

	s->pending = evbuffer_new();
	s->credit = STREAM_WINDOW;
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
	link_write_frame(j->link, &f);
	link_headers_free(a.headers, a.n_headers);
}

/* Queues the next bytes of a stream. */
void
link_stream_piece(struct job *j, const void *bytes, size_t len)
{
	struct served_job *s = j->arg;

	evbuffer_add(s->pending, bytes, len);
	enqueue_job(s);
	link_stream_pump(j->link);
}

/* Ends a stream; the end frame follows the last piece. */
void
link_stream_end(struct served_job *s, int whole, int load)
{
	s->ended = 1;
	s->whole = whole;
	s->load = load;
	enqueue_job(s);
	link_stream_pump(s->job.link);
}

/* Queues a job with a piece to send and credit for it, or an end to send. */
static void
enqueue_job(struct served_job *s)
{
	size_t n = evbuffer_get_length(s->pending);

	if (s->queued || (n == 0 && !s->ended) || (n > 0 && s->credit <= 0))
		return;
	s->queued = 1;
	g_queue_push_tail(&s->job.link->send_queue, s);
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
	enqueue_job(s);
	link_stream_pump(l);
}

/* Writes one piece, and grants the target as many bytes. */
static void
write_piece(struct served_job *s)
{
	Link__Frame f = LINK__FRAME__INIT;
	Link__Piece p = LINK__PIECE__INIT;
	size_t n = evbuffer_get_length(s->pending);

	n = MIN(MIN(n, PIECE_MAX), (size_t)s->credit);
	f.stream = s->job.stream;
	f.body_case = LINK__FRAME__BODY_PIECE;
	f.piece = &p;
	p.data.len = n;
	p.data.data = evbuffer_pullup(s->pending, (ev_ssize_t)n);
	link_write_frame(s->job.link, &f);
	evbuffer_drain(s->pending, n);
	s->credit -= (int64_t)n;
	if (!s->ended)
		proxy_guard_credit(s->job.guard, &s->job, n);
}

/* Writes the end frame, and releases the job. */
static void
write_end(struct served_job *s)
{
	Link__Frame f = LINK__FRAME__INIT;
	Link__End e = LINK__END__INIT;
	struct link *l = s->job.link;

	f.stream = s->job.stream;
	f.body_case = LINK__FRAME__BODY_END;
	f.end = &e;
	e.whole = s->whole;
	e.load = (uint32_t)s->load;
	link_write_frame(l, &f);
	g_hash_table_remove(l->jobs, GUINT_TO_POINTER(s->job.stream));
	link_served_free(s);
}

/* Writes pieces of the queued jobs in turn, while the output has room. */
void
link_stream_pump(struct link *l)
{
	struct evbuffer *out = bufferevent_get_output(l->bev);
	struct served_job *s;

	while (evbuffer_get_length(out) < OUTPUT_AHEAD_MAX &&
	       (s = g_queue_pop_head(&l->send_queue)) != NULL) {
		s->queued = 0;
		if (evbuffer_get_length(s->pending) > 0)
			write_piece(s);
		if (s->ended &&
		    (evbuffer_get_length(s->pending) == 0 || !s->whole))
			write_end(s);
		else
			enqueue_job(s);
	}
}

/* Releases the stream of a job. */
void
link_stream_drop(struct served_job *s)
{
	if (s->queued)
		g_queue_remove(&s->job.link->send_queue, s);
	if (s->pending != NULL)
		evbuffer_free(s->pending);
}
