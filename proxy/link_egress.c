/*
 * Output of links: every frame passes the egress scheduler, which is shared by
 * all links of the node.  A frame that has to wait is kept packed until it is
 * its turn.
 */
#include <errno.h>
#include <string.h>
#include <sys/ioctl.h>

#include <linux/sockios.h>

#include "link_int.h"

#define OUTPUT_AHEAD_MAX (32 * 1024) /* bytes written but not yet sent */
/* A link whose peer reads nothing is closed when so many bytes wait for it. */
#define OUTPUT_BYTES_MAX (4 * 1024 * 1024)
/* Samples in a row in which a peer has read nothing although bytes wait. */
#define STALLED_SAMPLES 3
#define RATE_LOG_MS	1000 /* between two log lines about a lowered rate */

/* A packed frame that waits for its turn. */
struct link_output {
	struct egress_frame frame;
	struct link *link;
	struct evbuffer *bytes;
	struct job *request;	   /* whose request it is, or NULL */
	struct served_job *stream; /* whose head it is, or NULL */
	int64_t queued_at;	   /* ms */
};

/* A sample of what the kernel sends on all links. */
struct link_sample {
	size_t left; /* bytes that have left since the last one */
	size_t held; /* bytes that it holds */
	/*
	 * The most that it holds for one peer.  A peer that reads slowly looks
	 * like a slow link, so a queue counts only where several peers have
	 * one.
	 */
	size_t most;
};

static void output_detach(struct link_output *);
static void output_free(struct link_output *);
static void write_slice(struct link_output *);
static void update_blocked(struct link *);
static void schedule(struct links *);
static void on_due(evutil_socket_t, short, void *);
static size_t held_by_kernel(const struct link *);
static void sample_link(struct link *, struct link_sample *);
static void sample_table(GHashTable *, struct link_sample *);
static size_t waiting_behind(const struct link *);
static struct link *find_overfull(GHashTable *);

/* Names of the classes on the metrics page. */
static const char *const class_names[EGRESS_CLASSES] = {
	[EGRESS_CONTROL] = "control",
	[EGRESS_STATE] = "state",
	[EGRESS_SHORT] = "short",
	[EGRESS_REQUEST] = "request",
	[EGRESS_BULK] = "bulk",
};

/* Bytes on the wire of each class, as counters. */
static const enum counter class_bytes[EGRESS_CLASSES] = {
	[EGRESS_CONTROL] = CTR_EGRESS_CONTROL,
	[EGRESS_STATE] = CTR_EGRESS_STATE,
	[EGRESS_SHORT] = CTR_EGRESS_SHORT,
	[EGRESS_REQUEST] = CTR_EGRESS_REQUEST,
	[EGRESS_BULK] = CTR_EGRESS_BULK,
};

/* The rate is that of the settings, in Mbit/s; 0 turns pacing off. */
void
link_egress_open(struct links *ls)
{
	egress_init(&ls->egress);
	ls->egress_timer = evtimer_new(ls->proxy->base, on_due, ls);
	link_egress_set_rate(ls);
}

/* Called when all links have been closed. */
void
link_egress_close(struct links *ls)
{
	event_free(ls->egress_timer);
	egress_clear(&ls->egress);
}

/* Frames that wait are written at the new rate, or at once without one. */
void
link_egress_set_rate(struct links *ls)
{
	egress_set_rate(&ls->egress,
	    ls->proxy->settings->link_mbps * BYTES_PER_S_PER_MBPS,
	    base_now_us());
	link_egress_pump(ls);
}

/* Clears what refers to a frame. */
static void
output_detach(struct link_output *o)
{
	if (o->request != NULL)
		o->request->waiting = NULL;
	if (o->stream != NULL)
		o->stream->head_waiting = NULL;
	o->request = NULL;
	o->stream = NULL;
}

/* Releases a frame that is not queued any more. */
static void
output_free(struct link_output *o)
{
	output_detach(o);
	g_queue_remove(&o->link->outputs, o);
	evbuffer_free(o->bytes);
	g_free(o);
}

/* A full output buffer stops the link until the socket has taken most of it. */
static void
update_blocked(struct link *l)
{
	l->out.blocked = evbuffer_get_length(bufferevent_get_output(l->bev)) >=
			 OUTPUT_AHEAD_MAX;
}

/* Counts bytes that were added to the output of a link. */
void
link_egress_count(struct link *l, enum egress_class class, size_t n)
{
	l->written += n;
	counter_add(CTR_LINK_BYTES, (int64_t)n);
	counter_add(class_bytes[class], (int64_t)n);
}

/*
 * Writes a frame now or queues it.  The job sets the frame's order in its
 * class; NULL: there is none.  Returns the queued frame, or NULL.
 */
struct link_output *
link_write(struct link *l, const Link__Frame *f, enum egress_class class,
    const struct job *j)
{
	struct egress *e = &l->links->egress;
	struct link_output *o;
	struct egress_frame frame = { .class = class,
		.peer = &l->out,
		.len = link_frame_size(f),
		.is_call = j != NULL && j->is_call,
		.priority = j != NULL ? j->priority : 0,
		.goal_us = j != NULL ? j->goal * US_PER_MS : 0 };

	if (egress_take(e, &frame, base_now_us())) {
		link_pack_frame(bufferevent_get_output(l->bev), f);
		link_egress_count(l, class, frame.len);
		if (e->rate_max > 0)
			update_blocked(l);
		return NULL;
	}
	o = g_new0(struct link_output, 1);
	o->frame = frame;
	o->link = l;
	o->queued_at = base_now_ms();
	o->bytes = evbuffer_new();
	link_pack_frame(o->bytes, f);
	g_queue_push_tail(&l->outputs, o);
	egress_enqueue(e, &o->frame);
	schedule(l->links);
	return o;
}

/* Writes a frame that is not part of a request. */
void
link_write_frame(struct link *l, const Link__Frame *f, enum egress_class class)
{
	link_write(l, f, class, NULL);
}

/* The request of a job; while it waits, it has not been sent. */
void
link_write_request(struct link *l, const Link__Frame *f, struct job *j)
{
	j->waiting = link_write(l, f, EGRESS_REQUEST, j);
	if (j->waiting != NULL)
		j->waiting->request = j;
}

/* The head of a streamed answer; its pieces follow when it is written. */
void
link_write_head(struct link *l, const Link__Frame *f, struct served_job *s)
{
	s->head_waiting = link_write(l, f, EGRESS_SHORT, &s->job);
	if (s->head_waiting != NULL)
		s->head_waiting->stream = s;
}

/* One that was written in part is completed, and its peer may then run it. */
int
links_is_unsent(const struct job *j)
{
	return j->waiting != NULL && !j->waiting->frame.begun;
}

/* One that was written in part is completed: its peer waits for the rest. */
int
link_egress_withdraw(struct link_output *o)
{
	if (o == NULL)
		return 0;
	if (o->frame.begun) {
		output_detach(o);
		return 0;
	}
	egress_remove(&o->link->links->egress, &o->frame);
	output_free(o);
	return 1;
}

/* Drops the frames of a link that closes. */
void
link_egress_drop(struct link *l)
{
	struct link_output *o;

	while ((o = g_queue_peek_head(&l->outputs)) != NULL) {
		egress_remove(&l->links->egress, &o->frame);
		output_free(o);
	}
	egress_set_stalled(&l->links->egress, &l->out, 0);
}

/* Writes the next bytes of a frame whose turn it is. */
static void
write_slice(struct link_output *o)
{
	struct served_job *s = o->stream;
	struct link *l = o->link;
	size_t n = o->frame.slice;

	evbuffer_remove_buffer(o->bytes, bufferevent_get_output(l->bev), n);
	link_egress_count(l, o->frame.class, n);
	update_blocked(l);
	if (o->frame.queued)
		return;
	histogram_add(HIST_EGRESS_WAIT, base_now_ms() - o->queued_at);
	output_free(o);
	if (s != NULL)
		link_stream_ready(s);
}

/* Writes what may leave now, and schedules the rest. */
void
link_egress_pump(struct links *ls)
{
	struct egress_frame *f;
	struct served_job *s;
	struct link *l;

	while ((f = egress_next(&ls->egress, base_now_us())) != NULL) {
		if (f->class != EGRESS_BULK) {
			write_slice((struct link_output *)(void *)f);
			continue;
		}
		s = (struct served_job *)(void *)((char *)f -
						  offsetof(
						      struct served_job, bulk));
		l = s->job.link;
		link_stream_write(s);
		update_blocked(l);
	}
	schedule(ls);
}

/* Sets the timer for the next frame, if any can be sent. */
static void
schedule(struct links *ls)
{
	int64_t now = base_now_us(), at = egress_next_at(&ls->egress, now);
	struct timeval tv;

	if (at == 0) {
		evtimer_del(ls->egress_timer);
		return;
	}
	at = MAX(at - now, 0);
	tv.tv_sec = at / (BASE_MS_PER_S * US_PER_MS);
	tv.tv_usec = at % (BASE_MS_PER_S * US_PER_MS);
	evtimer_add(ls->egress_timer, &tv);
}

/* The pace allows more bytes. */
static void
on_due(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	link_egress_pump(arg);
}

/* ---- measurement ---- */

/* Bytes written to the socket that the peer has not acknowledged. */
static size_t
held_by_kernel(const struct link *l)
{
	int n = 0;

	if (ioctl(bufferevent_getfd(l->bev), SIOCOUTQ, &n) != 0)
		return 0;
	return (size_t)MAX(n, 0);
}

/*
 * Adds what has left on a link and what is held.  A peer that reads nothing
 * shows nothing about the rate of the link.
 */
static void
sample_link(struct link *l, struct link_sample *s)
{
	size_t before = l->held + l->buffered, buffered, n;

	if (l->written == 0 && before == 0)
		return;
	buffered = evbuffer_get_length(bufferevent_get_output(l->bev));
	l->held = l->connected || l->addr == NULL ? held_by_kernel(l) : 0;
	l->buffered = buffered;
	n = before + l->written;
	n -= MIN(n, l->held + buffered);
	l->written = 0;
	if (n > 0 || l->held + buffered == 0)
		l->idle_samples = 0;
	else
		l->idle_samples++;
	egress_set_stalled(
	    &l->links->egress, &l->out, l->idle_samples >= STALLED_SAMPLES);
	if (l->out.stalled)
		return;
	s->left += n;
	s->held += l->held;
	s->most = MAX(s->most, l->held);
}

/* Samples all links of a table. */
static void
sample_table(GHashTable *links, struct link_sample *s)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, links);
	while (g_hash_table_iter_next(&it, NULL, &value))
		sample_link(value, s);
}

/* Bytes that wait for a peer, without the frame that is written first. */
static size_t
waiting_behind(const struct link *l)
{
	const struct link_output *o = g_queue_peek_head((GQueue *)&l->outputs);
	const struct egress_frame *first = l->out.partial;

	if (o == NULL)
		return l->buffered;
	if (first == NULL)
		first = &o->frame;
	return l->buffered + egress_peer_queued(&l->out) - first->len;
}

/* A link whose peer reads less than is sent to it, with too much queued. */
static struct link *
find_overfull(GHashTable *links)
{
	GHashTableIter it;
	struct link *l;
	gpointer value;

	g_hash_table_iter_init(&it, links);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		l = value;
		if ((l->out.stalled || l->out.blocked) &&
		    waiting_behind(l) > OUTPUT_BYTES_MAX)
			return l;
	}
	return NULL;
}

/*
 * Measures the rate of the link, and which peers read nothing.  Returns a link
 * to be closed as its peer reads too little, or NULL.
 */
struct link *
link_egress_meter(struct links *ls)
{
	struct egress *e = &ls->egress;
	int64_t now = base_now_us();
	struct link_sample s = { 0 };
	struct link *l;

	if (e->rate_max <= 0)
		return NULL;
	sample_table(ls->in, &s);
	sample_table(ls->out, &s);
	s.held -= s.most;
	if (egress_meter(e, s.left, s.held, now) &&
	    now - ls->rate_logged_us > RATE_LOG_MS * US_PER_MS) {
		ls->rate_logged_us = now;
		base_log(G_LOG_LEVEL_MESSAGE, "link-rate",
		    "kbps=%d setting_kbps=%d held=%zu left=%zu",
		    (int)(e->rate / BYTES_PER_S_PER_KBPS),
		    (int)(e->rate_max / BYTES_PER_S_PER_KBPS), s.held, s.left);
	}
	if ((l = find_overfull(ls->in)) == NULL)
		l = find_overfull(ls->out);
	return l;
}

/* The rate in use, and the bytes that wait. */
void
links_print_metrics(const struct links *ls, GString *out)
{
	int i;

	g_string_append_printf(out,
	    "# TYPE teaselstep_egress_rate_bytes gauge\n"
	    "teaselstep_egress_rate_bytes %.0f\n"
	    "# TYPE teaselstep_egress_queued_bytes gauge\n",
	    egress_rate(&ls->egress));
	for (i = 0; i < EGRESS_CLASSES; i++)
		g_string_append_printf(out,
		    "teaselstep_egress_queued_bytes{class=\"%s\"} %zu\n",
		    class_names[i], egress_queued(&ls->egress, i));
}
