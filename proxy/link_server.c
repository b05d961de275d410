/* Server side of links: jobs that other nodes send to the local guard. */
#include <string.h>

#include "link_int.h"

static void refuse_for_memory(struct served_job *);
static void on_job_done(struct job *, const struct job_result *);

/* Releases a job with its request; the caller removes it from the link. */
void
link_served_free(struct served_job *s)
{
	link_stream_drop(s);
	http_message_free(s->job.msg);
	g_free(s->service);
	g_free(s->caller);
	g_free(s->id);
	g_free(s);
}

/* Handles a request frame: submits its job to the guard. */
void
link_serve_request(struct link *l, uint32_t stream, const Link__Request *r)
{
	struct served_job *s = g_new0(struct served_job, 1);
	int64_t now = base_now_ms();

	s->service = g_strdup(r->service);
	s->caller = g_strdup(r->caller);
	s->id = g_strdup(r->id);
	s->job.msg = http_message_new();
	s->job.msg->method = g_strdup(r->method);
	s->job.msg->path = g_strdup(r->path);
	link_read_headers(s->job.msg, r->headers, r->n_headers);
	g_byte_array_append(s->job.msg->body, r->body.data, (guint)r->body.len);
	s->job.service = s->service;
	s->job.caller = s->caller;
	s->job.id = s->id;
	s->job.kind = r->kind;
	s->job.fingerprint = request_fingerprint(s->job.msg);
	s->job.priority = (int)r->priority;
	s->job.repeatable = r->repeatable;
	s->job.goal = now + r->goal_ms;
	s->job.deadline = now + r->remaining_ms;
	s->job.head = link_stream_head;
	s->job.piece = link_stream_piece;
	s->job.done = on_job_done;
	s->job.arg = s;
	s->job.link = l;
	s->job.stream = stream;
	g_hash_table_insert(l->jobs, GUINT_TO_POINTER(stream), s);
	link_receive_crashes(l, s->job.fingerprint, r->crashes, r->n_crashes,
	    r->crashes_left_ms);
	if (link_streams_wait_ms(l->links) == 0)
		proxy_guard_submit(&l->links->proxy->guard, &s->job);
	else
		refuse_for_memory(s);
}

/*
 * A target may complete answers faster than the link takes them, and each holds
 * memory until it has left.  So no more are begun until some have.
 */
static void
refuse_for_memory(struct served_job *s)
{
	struct links *ls = s->job.link->links;
	struct job_result r = { .outcome = OUTCOME_BUSY,
		.retry_after_ms = link_streams_wait_ms(ls),
		.load = proxy_guard_load(&ls->proxy->guard) };

	counter_add(CTR_GUARD_REFUSED, 1);
	base_log(G_LOG_LEVEL_INFO, "gate-refused",
	    "id=%s outcome=%s target=%s load=%d wait_ms=%d "
	    "left_ms=%" G_GINT64_FORMAT " queued=%zu",
	    s->id, outcomes[r.outcome].code, ls->proxy->guard.id, r.load,
	    r.retry_after_ms, s->job.deadline - base_now_ms(),
	    egress_queued(&ls->egress, EGRESS_BULK));
	on_job_done(&s->job, &r);
}

/* Sends the job's answer, refusal or end of stream to the entry. */
static void
on_job_done(struct job *j, const struct job_result *r)
{
	Link__Frame f = LINK__FRAME__INIT;
	Link__Answer a = LINK__ANSWER__INIT;
	Link__Estimate estimate = link_estimate(&r->estimate);
	struct http_message *m = r->answer;
	struct crashes crashes;
	struct link *l = j->link;

	if (j->in_pieces) {
		link_stream_end(j->arg, r);
		return;
	}
	f.stream = j->stream;
	f.body_case = LINK__FRAME__BODY_ANSWER;
	f.answer = &a;
	a.outcome = r->outcome;
	a.load = (uint32_t)r->load;
	a.estimate = &estimate;
	a.retry_after_ms = (uint32_t)r->retry_after_ms;
	if (r->outcome == OUTCOME_ANSWERED) {
		http_strip_hop(m);
		a.status = (uint32_t)m->status;
		a.n_headers = m->headers->len;
		a.headers = link_headers(m);
		a.body.data = m->body->data;
		a.body.len = m->body->len;
	} else {
		a.crashes_left_ms =
		    (uint32_t)link_get_crashes(l, j->fingerprint, &crashes);
		a.crashes = crashes.ids;
		a.n_crashes = (size_t)crashes.n;
	}
	link_write(l, &f, EGRESS_SHORT, j);
	link_headers_free(a.headers, a.n_headers);
	g_hash_table_remove(l->jobs, GUINT_TO_POINTER(j->stream));
	link_served_free(j->arg);
}

/* Cancels a job whose entry no longer waits for the answer. */
void
link_serve_cancel(struct link *l, uint32_t stream)
{
	struct served_job *s;

	s = g_hash_table_lookup(l->jobs, GUINT_TO_POINTER(stream));
	if (s == NULL)
		return;
	g_hash_table_remove(l->jobs, GUINT_TO_POINTER(stream));
	/* The guard has already ended a job whose answer is complete. */
	if (!s->ended)
		proxy_guard_cancel(&l->links->proxy->guard, &s->job);
	link_served_free(s);
}

/* A job that is missing was answered, and its answer is on its way. */
void
link_serve_ask(struct link *l, uint32_t stream)
{
	struct served_job *s;

	s = g_hash_table_lookup(l->jobs, GUINT_TO_POINTER(stream));
	if (s != NULL && !s->ended)
		proxy_guard_revoke(&l->links->proxy->guard, &s->job);
}

/* Cancels all jobs of a link that has ended. */
void
link_serve_end(struct link *l)
{
	GHashTableIter it;
	gpointer key;

	for (;;) {
		g_hash_table_iter_init(&it, l->jobs);
		if (!g_hash_table_iter_next(&it, &key, NULL))
			break;
		link_serve_cancel(l, GPOINTER_TO_UINT(key));
	}
}
