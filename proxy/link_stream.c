/*
 * Long answers on a link: their pieces take turns, and no more of them is
 * written than leaves in a moment, so that what is short does not wait for
 * what is long.
 */
#include <string.h>

#include "link_int.h"

#define OUTPUT_AHEAD_MAX \
	(32 * 1024) /* bytes written to a link and not sent yet */

static void enqueue(struct served_job *);
static void write_piece(struct served_job *);
static void write_end(struct served_job *);

/* A long answer begins. */
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

/* The next bytes of it. */
void
link_stream_piece(struct job *j, const void *bytes, size_t len)
{
	struct served_job *s = j->arg;

	evbuffer_add(s->pending, bytes, len);
	enqueue(s);
	link_stream_pump(j->link);
}

/* The target is done; the end follows the last piece. */
void
link_stream_end(struct served_job *s, int whole, int load)
{
	s->ended = 1;
	s->whole = whole;
	s->load = load;
	enqueue(s);
	link_stream_pump(s->job.link);
}

/* Gives a job a turn, if it has something to send that the other end takes. */
static void
enqueue(struct served_job *s)
{
	size_t n = evbuffer_get_length(s->pending);

	if (s->queued || (n == 0 && !s->ended) || (n > 0 && s->credit <= 0))
		return;
	s->queued = 1;
	g_queue_push_tail(&s->job.link->send_queue, s);
}

/* The other end takes more. */
void
link_stream_credit(struct link *l, uint32_t stream, size_t n)
{
	struct served_job *s;

	s = g_hash_table_lookup(l->jobs, GUINT_TO_POINTER(stream));
	if (s == NULL || s->pending == NULL)
		return;
	s->credit += (int64_t)n;
	enqueue(s);
	link_stream_pump(l);
}

/* Writes one piece; the target may send as much more. */
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

/* Writes the end, and releases the job. */
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

/* Gives turns while the link takes more. */
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
			enqueue(s);
	}
}

/* A served job is given up. */
void
link_stream_drop(struct served_job *s)
{
	if (s->queued)
		g_queue_remove(&s->job.link->send_queue, s);
	if (s->pending != NULL)
		evbuffer_free(s->pending);
}
