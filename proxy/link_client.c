/* Client side of links: jobs that are sent to the guards of other nodes. */
#include <string.h>

#include "link_int.h"

static struct job *find_job(struct link *, uint32_t);
static int may_pass(const Link__Answer *);

/* Jobs of a lost link: not delivered if they were not written, else unknown. */
void
link_detach_jobs(struct link *l)
{
	GHashTableIter it;
	gpointer value;
	struct job *j;

	g_hash_table_iter_init(&it, l->jobs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		j = value;
		j->link = NULL;
		j->is_lost = 1;
		j->lost_as = l->connected && j->waiting == NULL
				 ? OUTCOME_UNKNOWN
				 : OUTCOME_UNDELIVERED;
		g_queue_push_tail(&l->links->lost, j);
	}
	g_hash_table_remove_all(l->jobs);
}

/* The queue is read anew for each job, as callbacks may cancel others in it. */
void
links_end_lost(struct links *ls)
{
	struct job_result r = { 0 };
	struct job *j;

	while ((j = g_queue_pop_head(&ls->lost)) != NULL) {
		j->is_lost = 0;
		r.outcome = j->lost_as;
		j->done(j, &r);
	}
}

/*
 * Sends a job to another node's guard.  It ends undelivered without a link, and
 * if the peer takes no new requests.
 */
void
links_submit(struct links *ls, const char *addr, struct job *j)
{
	Link__Frame f = LINK__FRAME__INIT;
	Link__Request q = LINK__REQUEST__INIT;
	struct job_result undelivered = { .outcome = OUTCOME_UNDELIVERED };
	struct crashes crashes;
	struct link *l;
	int64_t now = base_now_ms();

	if ((l = link_to(ls, addr)) == NULL || l->leaving) {
		j->done(j, &undelivered);
		return;
	}
	if (g_hash_table_size(l->jobs) == 0)
		l->received_at = now;
	j->link = l;
	j->stream = ++l->next_stream;
	j->in_pieces = 0;
	j->uncredited = 0;
	j->sent_at = now;
	j->waiting = NULL;
	g_hash_table_insert(l->jobs, GUINT_TO_POINTER(j->stream), j);
	f.stream = j->stream;
	f.body_case = LINK__FRAME__BODY_REQUEST;
	f.request = &q;
	q.method = j->msg->method;
	q.path = j->msg->path;
	q.n_headers = j->msg->headers->len;
	q.headers = link_headers(j->msg);
	q.body.data = j->msg->body->data;
	q.body.len = j->msg->body->len;
	q.service = (char *)j->service;
	q.caller = (char *)j->caller;
	q.id = (char *)j->id;
	q.kind = j->kind;
	q.remaining_ms = (uint32_t)MAX(j->deadline - now, 0);
	q.goal_ms = (int32_t)(j->goal - now);
	q.priority = (uint32_t)j->priority;
	q.repeatable = j->repeatable;
	q.crashes_left_ms =
	    (uint32_t)link_get_crashes(l, j->fingerprint, &crashes);
	q.crashes = crashes.ids;
	q.n_crashes = (size_t)crashes.n;
	link_write_request(l, &f, j);
	link_headers_free(q.headers, q.n_headers);
}

/* Cancels a job, here and at the other node. */
void
links_cancel(struct links *ls, struct job *j)
{
	Link__Frame f = LINK__FRAME__INIT;
	Link__Cancel c = LINK__CANCEL__INIT;
	struct link *l = j->link;

	if (j->is_lost) {
		j->is_lost = 0;
		g_queue_remove(&ls->lost, j);
	}
	if (l == NULL)
		return;
	g_hash_table_remove(l->jobs, GUINT_TO_POINTER(j->stream));
	j->link = NULL;
	if (link_egress_withdraw(j->waiting))
		return;
	f.stream = j->stream;
	f.body_case = LINK__FRAME__BODY_CANCEL;
	f.cancel = &c;
	link_write_frame(l, &f, EGRESS_CONTROL);
}

/*
 * Asks the guard that has a job to refuse it unless it was started.  Returns 0,
 * and does not ask, if the request has not been written yet: it was not run,
 * and will not be once it is cancelled.
 */
int
links_ask(struct links *ls, struct job *j)
{
	Link__Frame f = LINK__FRAME__INIT;
	Link__Ask a = LINK__ASK__INIT;

	(void)ls;
	if (links_is_unsent(j))
		return 0;
	if (j->link == NULL)
		return 1;
	f.stream = j->stream;
	f.body_case = LINK__FRAME__BODY_ASK;
	f.ask = &a;
	link_write_frame(j->link, &f, EGRESS_CONTROL);
	return 1;
}

/* Returns the job of a stream, or NULL if it was cancelled. */
static struct job *
find_job(struct link *l, uint32_t stream)
{
	return g_hash_table_lookup(l->jobs, GUINT_TO_POINTER(stream));
}

/*
 * Adds n bytes that were passed on to the caller, and credits the peer with
 * them once they are a quarter of the window.
 */
void
links_credit(struct links *ls, struct job *j, size_t n)
{
	Link__Frame f = LINK__FRAME__INIT;
	Link__Credit c = LINK__CREDIT__INIT;

	(void)ls;
	j->uncredited += n;
	if (j->link == NULL || j->uncredited < STREAM_WINDOW / 4)
		return;
	f.stream = j->stream;
	f.body_case = LINK__FRAME__BODY_CREDIT;
	f.credit = &c;
	c.bytes = (uint32_t)j->uncredited;
	j->uncredited = 0;
	link_write_frame(j->link, &f, EGRESS_CONTROL);
}

/* Handles the next bytes of a streamed answer. */
void
link_on_piece(struct link *l, uint32_t stream, const Link__Piece *p)
{
	struct job *j = find_job(l, stream);

	if (j != NULL && j->in_pieces)
		j->piece(j, p->data.data, p->data.len);
}

/* Handles the end of a streamed answer. */
void
link_on_end(struct link *l, uint32_t stream, const Link__End *e)
{
	struct job_result r = { .outcome = e->whole ? OUTCOME_ANSWERED
						    : OUTCOME_BROKEN,
		.load = (int)e->load,
		.estimate = link_read_estimate(e->estimate) };
	struct job *j = find_job(l, stream);

	if (j == NULL || !j->in_pieces)
		return;
	g_hash_table_remove(l->jobs, GUINT_TO_POINTER(stream));
	j->link = NULL;
	j->done(j, &r);
}

/*
 * Whether an answer can be passed on: its status is that of a final answer, and
 * of one that has a body if that follows.
 */
static int
may_pass(const Link__Answer *a)
{
	int status = (int)MIN(a->status, G_MAXINT32);

	return http_status_is_final(status) &&
	       !(a->more && http_status_has_no_body(status));
}

/* Handles an answer, or the head of a streamed one; late ones are dropped. */
void
link_on_answer(struct link *l, uint32_t stream, const Link__Answer *a)
{
	struct job_result r = { .retry_after_ms = (int)a->retry_after_ms,
		.load = (int)a->load,
		.estimate = link_read_estimate(a->estimate) };
	struct http_message *head;
	struct job *j;

	j = find_job(l, stream);
	if (j == NULL || j->in_pieces) {
		counter_add(CTR_LATE_ANSWERS, 1);
		return;
	}
	if (a->outcome == OUTCOME_ANSWERED && !may_pass(a)) {
		links_cancel(&l->links->proxy->links, j);
		r.outcome = OUTCOME_BROKEN;
		j->done(j, &r);
		return;
	}
	if (a->more) {
		j->in_pieces = 1;
		head = http_message_new();
		head->status = (int)a->status;
		head->length = a->length;
		link_read_headers(head, a->headers, a->n_headers);
		j->head(j, head);
		http_message_free(head);
		return;
	}
	g_hash_table_remove(l->jobs, GUINT_TO_POINTER(stream));
	j->link = NULL;
	link_receive_crashes(
	    l, j->fingerprint, a->crashes, a->n_crashes, a->crashes_left_ms);
	r.outcome = a->outcome < OUTCOME_COUNT ? a->outcome : OUTCOME_UNKNOWN;
	if (r.outcome == OUTCOME_ANSWERED) {
		r.answer = http_message_new();
		r.answer->status = (int)a->status;
		link_read_headers(r.answer, a->headers, a->n_headers);
		g_byte_array_append(
		    r.answer->body, a->body.data, (guint)a->body.len);
	}
	j->done(j, &r);
	http_message_free(r.answer);
}

/* Whether a job is streaming an answer, which no retry can replace. */
int
link_is_streaming(struct link *l)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, l->jobs);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (((struct job *)value)->in_pieces)
			return 1;
	return 0;
}
