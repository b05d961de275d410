/*
 * The event loop.  One thread owns the state of the node and makes all of its
 * decisions; it waits for links, datagrams and events of other threads.
 */
#include <errno.h>
#include <string.h>

#include <zmq.h>

#include "entry.h"
#include "gossip.h"
#include "loop.h"
#include "serve.h"
#include "spread.h"
#include "status.h"

#define TICK_MS		100  /* timer interval of an idle node */
#define TICK_BUSY_MS	5    /* timer interval with calls in flight */
#define PAUSE_MS	1000 /* a gap between ticks that counts as a pause */
#define EVENTS_BATCH	512  /* events handled before others get a turn */
#define READY_WAIT_MS	3000 /* wait for the replies to the first requests */
#define LEAVE_LINGER_MS 2500 /* for gossip and the last answers to be sent */
#define READER_CHECK_MS 1000 /* interval of update_reader */
#define LINK_CHECK_MS	1000 /* interval of close_idle_links */

static void on_message(
    void *, const char *, const struct link_route *, Wire__Envelope *, size_t);
static void on_event(struct node *, const struct event *);
static void handle_events(struct node *);
static void tick(struct node *, int64_t);
static void detect_pause(struct node *, int64_t);
static void update_ready(struct node *, int64_t);
static void close_idle_links(struct node *, int64_t);
static void update_reader(struct node *, int64_t);
static void apply_settings(struct node *, struct settings *);
static void begin_drain(struct node *);
static int is_idle(const struct node *);
static int may_stop(struct node *, int64_t);

/*
 * Dispatches a message of another node.  Requests are accepted only on
 * connections that others opened, and answers only on those of this node.
 */
static void
on_message(void *arg, const char *peer, const struct link_route *from,
    Wire__Envelope *e, size_t bytes)
{
	struct node *n = arg;

	switch (e->body_case) {
	case WIRE__ENVELOPE__BODY_FORWARD:
		if (from != NULL)
			serve_forward(n, from, e->call, e->forward);
		break;
	case WIRE__ENVELOPE__BODY_FENCE:
		if (from != NULL)
			serve_fence(n, from, e->call, e->fence);
		break;
	case WIRE__ENVELOPE__BODY_CANCEL:
		if (from != NULL)
			serve_cancel(n, from, e->call);
		break;
	case WIRE__ENVELOPE__BODY_ACK:
		if (peer != NULL)
			entry_ack(n, e->call, e->ack->load);
		break;
	case WIRE__ENVELOPE__BODY_ANSWER:
		if (peer != NULL)
			entry_answer(n, e->call, e->answer);
		break;
	case WIRE__ENVELOPE__BODY_SET_REQUEST:
		counter_add(CTR_CONTROL_BYTES_RECEIVED, (int64_t)bytes);
		if (from != NULL)
			spread_answer_request(n, from, e->call, e->set_request);
		break;
	case WIRE__ENVELOPE__BODY_SET_REPLY:
		counter_add(CTR_CONTROL_BYTES_RECEIVED, (int64_t)bytes);
		if (peer != NULL)
			spread_receive_reply(n, peer, e->set_reply);
		break;
	default:
		break;
	}
}

/* Dispatches an event that another thread has posted. */
static void
on_event(struct node *n, const struct event *e)
{
	switch (e->kind) {
	case EVENT_CALL:
		entry_call_start(n, e->p);
		break;
	case EVENT_OPERATOR:
		operator_handle(n, e->p);
		break;
	case EVENT_EXCHANGE_DONE:
		serve_exchange_done(n, e->p);
		break;
	case EVENT_CONFIG:
		role_apply_config(n);
		spread_applied(n);
		break;
	case EVENT_VM_LIST:
		gossip_vms(n, e->p);
		break;
	case EVENT_FIRST_READ:
		n->first_reads--;
		n->first_reads_ok += GPOINTER_TO_INT(e->p) == SOURCE_OK;
		break;
	case EVENT_SETTINGS:
		apply_settings(n, e->p);
		break;
	case EVENT_STOP:
		begin_drain(n);
		break;
	}
}

/* Handles the events that other threads have posted, up to a batch. */
static void
handle_events(struct node *n)
{
	struct event e;
	int i;

	for (i = 0; i < EVENTS_BATCH && mailbox_pop(&n->mailbox, &e); i++)
		on_event(n, &e);
}

/*
 * Detects that the process was paused, by a gap between two ticks: its view of
 * members and of the configuration is then stale.  The guard admits nothing
 * until a peer has reported the version that this node holds, or none did so
 * in time.
 */
static void
detect_pause(struct node *n, int64_t now)
{
	int64_t gap = now - n->ticked_at;

	n->ticked_at = now;
	if (gap < PAUSE_MS)
		return;
	counter_add(CTR_PAUSES, 1);
	base_log(G_LOG_LEVEL_WARNING, "paused", "for_ms=%d", (int)gap);
	members_paused(n->members, now);
	if (members_count(n->members) > 0)
		spread_paused(n, now);
}

/*
 * The node becomes ready once it has an active configuration, its first reads
 * of the platform have ended and a peer has replied, if one was requested.
 * Without these answers it becomes ready after READY_WAIT_MS.
 */
static void
update_ready(struct node *n, int64_t now)
{
	int all_answered;

	if (n->ready || config_get(n->config) == NULL)
		return;
	all_answered = n->first_reads == 0 && spread_start_answered(n);
	if (!all_answered && now - n->started_at < READY_WAIT_MS)
		return;
	g_atomic_int_set(&n->ready, 1);
	base_log(G_LOG_LEVEL_MESSAGE, "ready", "after_ms=%d",
	    (int)(now - n->started_at));
}

/*
 * Makes the node watch the source if its rank in its data centre's tree is
 * below settings.readers, or if every node is to read; else, and when the node
 * drains, stops watching.
 */
static void
update_reader(struct node *n, int64_t now)
{
	if (now < n->reader_check_at)
		return;
	n->reader_check_at = now + READER_CHECK_MS;
	reader_set_active(n->reader,
	    !n->leaving && (n->settings.every_node_reads ||
			       spread_rank(n) < n->settings.readers));
}

/* Closes links that were not used for a while. */
static void
close_idle_links(struct node *n, int64_t now)
{
	if (now < n->link_check_at)
		return;
	n->link_check_at = now + LINK_CHECK_MS;
	link_close_idle(n->link, now, n->settings.link_idle_ms);
}

/*
 * Applies reloaded settings and releases them.  Changed keys that need a
 * restart are logged and keep their values.
 */
static void
apply_settings(struct node *n, struct settings *fresh)
{
	GString *applied = g_string_new(NULL), *restart = g_string_new(NULL);

	settings_apply(&n->settings, fresh, applied, restart);
	base_log(G_LOG_LEVEL_MESSAGE, "settings-reloaded", "changed=%s",
	    applied->len > 0 ? applied->str : "-");
	if (restart->len > 0)
		base_log(G_LOG_LEVEL_WARNING, "settings-need-restart",
		    "keys=%s", restart->str);
	g_string_free(applied, TRUE);
	g_string_free(restart, TRUE);
	settings_free(fresh);
	g_free(fresh);
}

/*
 * Begins to drain: the node accepts no new work from now on, and gossip
 * announces to the other nodes that it is leaving.
 */
static void
begin_drain(struct node *n)
{
	if (n->leaving)
		return;
	n->leaving = 1;
	n->leave_by = base_now_ms() + n->settings.drain_ms;
	entry_drain(n);
	members_leave(n->members);
	role_update_out(n);
	base_log(G_LOG_LEVEL_MESSAGE, "leaving", "calls=%d held=%d",
	    entry_inflight(n), serve_request_count(n));
}

/* Whether neither the guard nor the entry has a call in flight. */
static int
is_idle(const struct node *n)
{
	return serve_request_count(n) == 0 && entry_call_count(n) == 0;
}

/*
 * Whether a leaving node may stop: it has been idle for LEAVE_LINGER_MS, or
 * the drain timeout has passed.
 */
static int
may_stop(struct node *n, int64_t now)
{
	if (!n->leaving)
		return 0;
	if (!is_idle(n) || entry_inflight(n) > 0) {
		n->idle_at = 0;
		return now >= n->leave_by;
	}
	if (n->idle_at == 0)
		n->idle_at = now;
	return now - n->idle_at >= LEAVE_LINGER_MS;
}

/* Runs the timers of all modules. */
static void
tick(struct node *n, int64_t now)
{
	detect_pause(n, now);
	gossip_tick(n, now);
	join_tick(n, now);
	spread_tick(n, now);
	entry_tick(n, now);
	serve_tick(n, now);
	update_ready(n, now);
	update_reader(n, now);
	close_idle_links(n, now);
}

/* Runs the loop until the node has drained or its drain timed out. */
void
loop_main(struct node *n)
{
	zmq_pollitem_t items[LINK_SOCKETS + 2];
	void *sockets[LINK_SOCKETS];
	int64_t now, next = 0;
	int i;

	link_sockets(n->link, sockets);
	memset(items, 0, sizeof(items));
	for (i = 0; i < LINK_SOCKETS; i++) {
		items[i].socket = sockets[i];
		items[i].events = ZMQ_POLLIN;
	}
	items[i].fd = n->udp;
	items[i].events = ZMQ_POLLIN;
	items[i + 1].fd = n->mailbox.fd;
	items[i + 1].events = ZMQ_POLLIN;
	n->ticked_at = base_now_ms();
	for (;;) {
		now = base_now_ms();
		zmq_poll(items, LINK_SOCKETS + 2,
		    next > now ? (long)(next - now) : 0);
		config_read_lock();
		now = base_now_ms();
		/*
		 * The tick comes first: a pause must be detected before
		 * the messages that arrived in it are handled.
		 */
		if (now >= next) {
			tick(n, now);
			next = now + (is_idle(n) ? TICK_MS : TICK_BUSY_MS);
		}
		handle_events(n);
		link_receive(n->link);
		gossip_receive(n);
		if (!is_idle(n))
			next = MIN(next, now + TICK_BUSY_MS);
		config_read_unlock();
		if (may_stop(n, now))
			return;
	}
}

/* The links are opened here, as the loop is the handler of their messages. */
int
loop_open_link(struct node *n)
{
	return link_open(&n->link, n->settings.listen, &n->keys, on_message, n);
}
