/*
 * Admission of other nodes' jobs by the bytes that their answers need on the
 * VM's link; see docs/design/admission-by-bytes.md.  Jobs of the own VM's
 * callers use no link.
 */
#include <string.h>

#include "guard_int.h"

/* Of a status line, and of each header besides its name and value. */
#define STATUS_LINE_BYTES 19
#define HEADER_BYTES	  4
#define BYTES_PER_KBIT	  125 /* for a rate in kbit/s */

static const struct egress *egress_of(const struct proxy_guard *);
static struct link_request
to_request(const struct proxy_guard *, const struct job *, int64_t);
static size_t head_bytes(const struct http_message *);

/* The scheduler of the node's link. */
static const struct egress *
egress_of(const struct proxy_guard *g)
{
	return &g->proxy->links.egress;
}

/* The answer is expected after the wait for a slot and the run. */
static struct link_request
to_request(const struct proxy_guard *g, const struct job *j, int64_t now)
{
	return (struct link_request){ .kind = j->kind,
		.priority = j->priority,
		.is_call = j->is_call,
		.ready = now +
			 admit_wait_ms(&g->admit, j->kind, j->priority, now) +
			 admit_work_ms(&g->admit, j->kind),
		.goal = j->goal,
		.deadline = j->deadline };
}

/* Bytes of an answer's head as the target sent it. */
static size_t
head_bytes(const struct http_message *m)
{
	const struct http_header *h;
	size_t n = STATUS_LINE_BYTES;
	guint i;

	for (i = 0; i < m->headers->len; i++) {
		h = &g_array_index(m->headers, struct http_header, i);
		n += strlen(h->name) + strlen(h->value) + HEADER_BYTES;
	}
	return n;
}

/* A refusal is counted and logged with what it was decided by. */
int
guard_link_admits(
    struct proxy_guard *g, struct job *j, struct link_request *r, int64_t now)
{
	const struct egress *e = egress_of(g);

	if (j->link == NULL || egress_rate(e) <= 0)
		return 1;
	*r = to_request(g, j, now);
	j->link_wait_ms = link_admit_check(&g->link_admit, e, r, now);
	if (j->link_wait_ms == 0)
		return 1;
	counter_add(CTR_GUARD_LINK_FULL, 1);
	base_log(G_LOG_LEVEL_INFO, "gate-link-full",
	    "id=%s bytes=%" G_GINT64_FORMAT " queued=%zu"
	    " committed=%" G_GINT64_FORMAT
	    " kbps=%d link_ms=%d ready_ms=%d goal_ms=%d wait_ms=%d",
	    j->id, link_admit_size(&g->link_admit, j->kind),
	    egress_queued(e, EGRESS_BULK), link_admit_committed(&g->link_admit),
	    (int)(egress_rate(e) / BYTES_PER_KBIT),
	    proxy_guard_link_ms(g, j->kind), (int)(r->ready - now),
	    (int)(r->goal - now), j->link_wait_ms);
	return 0;
}

/* Called before the job is started. */
void
guard_link_commit(struct proxy_guard *g, struct job *j,
    const struct link_request *r, int64_t now)
{
	if (j->link != NULL && egress_rate(egress_of(g)) > 0)
		link_admit_commit(
		    &g->link_admit, egress_of(g), r, &j->commit, now);
}

/* From here on the commitment is what the answer itself still has to send. */
void
guard_link_begin(struct job *j, const struct http_message *head)
{
	if (j->commit.state != LINK_COMMIT_NONE)
		link_admit_begin(&j->guard->link_admit, &j->commit,
		    head_bytes(head), head->length, base_now_ms());
}

/* These bytes wait in the scheduler now, which counts them. */
void
guard_link_arrived(struct job *j, size_t n)
{
	link_admit_arrived(&j->guard->link_admit, &j->commit, n);
}

/*
 * Without an answer the size is not known.  That of an error does not tell what
 * answers of its kind need.
 */
void
guard_link_settle(struct job *j, const struct http_message *m)
{
	int64_t size = -1;

	if (j->commit.state == LINK_COMMIT_NONE)
		return;
	if (m != NULL && m->status < HTTP_STATUS_INTERNAL_SERVER_ERROR)
		size =
		    j->in_pieces ? 0 : (int64_t)(head_bytes(m) + m->body->len);
	link_admit_settle(&j->guard->link_admit, &j->commit, size);
}

/*
 * The wait for a slot falls by a ms in each ms, so that an answer which would
 * miss its goal by some ms is admitted as much later.  A job that is refused
 * for another reason waits until a slot is free.
 */
int
guard_busy_wait_ms(
    const struct proxy_guard *g, const struct job *j, int64_t now)
{
	int wait = admit_wait_ms(&g->admit, j->kind, j->priority, now);
	int64_t until =
	    j->priority < g->admit.lowest_priority ? j->deadline : j->goal;
	int64_t over =
	    now + wait + admit_measured_ms(&g->admit, j->kind) - until;

	if (j->link_wait_ms > 0)
		return over > 0 ? (int)MAX(MIN(over, wait), j->link_wait_ms)
				: j->link_wait_ms;
	return over > 0 ? (int)MIN(over, wait) : wait;
}

/* Long answers wait for bulk, short ones only for what precedes them. */
int
proxy_guard_link_ms(const struct proxy_guard *g, uint32_t kind)
{
	return link_admit_wait_ms(
	    &g->link_admit, egress_of(g), kind, base_now_ms());
}
