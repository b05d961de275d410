/* The loop: one thread that owns all decisions of the node. */
#include <errno.h>
#include <string.h>

#include <zmq.h>

#include "entry.h"
#include "gossip.h"
#include "loop.h"
#include "serve.h"
#include "spread.h"
#include "status.h"

#define TICK_MS		 100  /* between two ticks of an idle node */
#define TICK_BUSY_MS	 5    /* and of one with calls under way */
#define PAUSE_MS	 1000 /* a gap between ticks that means a pause */
#define EVENTS_BATCH	 512  /* events handled before others get a turn */
#define READY_WAIT_MS	 3000 /* for answers of those asked at the start */
#define LEAVE_LINGER_MS	 2500 /* until all have heard, and last answers left */
#define DUTY_EVERY_MS	 1000
#define RELEASE_EVERY_MS 1000

static void on_message(
    void *, const char *, const struct link_route *, Wire__Envelope *, size_t);
static void on_event(struct node *, const struct event *);
static void take_events(struct node *);
static void tick(struct node *, int64_t);
static void notice_pause(struct node *, int64_t);
static void update_ready(struct node *, int64_t);
static void release_links(struct node *, int64_t);
static void update_duty(struct node *, int64_t);
static void take_settings(struct node *, struct settings *);
static void begin_leaving(struct node *);
static int is_idle(const struct node *);
static int may_end(struct node *, int64_t);

/* A message from another node. */
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

/* Something from another thread. */
static void
on_event(struct node *n, const struct event *e)
{
	switch (e->kind) {
	case EVENT_CALL:
		entry_call_begin(n, e->p);
		break;
	case EVENT_OPERATOR:
		operator_handle(n, e->p);
		break;
	case EVENT_EXCHANGE:
		serve_done(n, e->p);
		break;
	case EVENT_CONFIG:
		role_config(n);
		spread_applied(n);
		break;
	case EVENT_VMS:
		gossip_vms(n, e->p);
		break;
	case EVENT_FIRST:
		n->firsts--;
		n->firsts_good += GPOINTER_TO_INT(e->p) == SOURCE_OK;
		break;
	case EVENT_SETTINGS:
		take_settings(n, e->p);
		break;
	case EVENT_STOP:
		begin_leaving(n);
		break;
	}
}

/* Handles what other threads have posted. */
static void
take_events(struct node *n)
{
	struct event e;
	int i;

	for (i = 0; i < EVENTS_BATCH && mailbox_take(&n->mailbox, &e); i++)
		on_event(n, &e);
}

/*
 * A gap between two ticks: the process slept, and what it believes is old.
 * The guard admits nothing until a peer has said what version it holds, or
 * nobody did in time.
 */
static void
notice_pause(struct node *n, int64_t now)
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
 * A node is ready when it has an accepted set and the platform and the peers
 * it asked have answered, or did not in time.
 */
static void
update_ready(struct node *n, int64_t now)
{
	int asked_all;

	if (n->ready || config_get(n->config) == NULL)
		return;
	asked_all = n->firsts == 0 && spread_start_answered(n);
	if (!asked_all && now - n->started_at < READY_WAIT_MS)
		return;
	g_atomic_int_set(&n->ready, 1);
	base_log(G_LOG_LEVEL_MESSAGE, "ready", "after_ms=%d",
	    (int)(now - n->started_at));
}

/* The first nodes of each data centre's tree watch the source. */
static void
update_duty(struct node *n, int64_t now)
{
	if (now < n->duty_at)
		return;
	n->duty_at = now + DUTY_EVERY_MS;
	reader_duty(n->reader,
	    !n->leaving && (n->settings.every_node_reads ||
			       spread_rank(n) < n->settings.readers));
}

/* Links that were not used for a while are dropped. */
static void
release_links(struct node *n, int64_t now)
{
	if (now < n->release_at)
		return;
	n->release_at = now + RELEASE_EVERY_MS;
	link_release(n->link, now, n->settings.link_idle_ms);
}

/* Settings were read anew; what needs a restart is said and left. */
static void
take_settings(struct node *n, struct settings *fresh)
{
	GString *taken = g_string_new(NULL), *kept = g_string_new(NULL);

	settings_change(&n->settings, fresh, taken, kept);
	base_log(G_LOG_LEVEL_MESSAGE, "settings-reloaded", "changed=%s",
	    taken->len > 0 ? taken->str : "-");
	if (kept->len > 0)
		base_log(G_LOG_LEVEL_WARNING, "settings-need-restart",
		    "keys=%s", kept->str);
	g_string_free(taken, TRUE);
	g_string_free(kept, TRUE);
	settings_free(fresh);
	g_free(fresh);
}

/* Leaves: no new work from this moment on. */
static void
begin_leaving(struct node *n)
{
	if (n->leaving)
		return;
	n->leaving = 1;
	n->leave_by = base_now_ms() + n->settings.drain_ms;
	entry_leave(n);
	members_leave(n->members);
	role_set_out(n);
	base_log(G_LOG_LEVEL_MESSAGE, "leaving", "calls=%d held=%d",
	    entry_inflight(n), serve_held(n));
}

/* Whether nothing is under way. */
static int
is_idle(const struct node *n)
{
	return serve_held(n) == 0 && entry_calls(n) == 0;
}

/* Whether a leaving node may end: idle for a moment, or out of time. */
static int
may_end(struct node *n, int64_t now)
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

/* Time passes. */
static void
tick(struct node *n, int64_t now)
{
	notice_pause(n, now);
	gossip_tick(n, now);
	join_tick(n, now);
	spread_tick(n, now);
	entry_tick(n, now);
	serve_tick(n, now);
	update_ready(n, now);
	update_duty(n, now);
	release_links(n, now);
}

/* Runs until the node may end. */
void
loop_main(struct node *n)
{
	zmq_pollitem_t items[LINK_SOCKETS + 2];
	void *socks[LINK_SOCKETS];
	int64_t now, next = 0;
	int i;

	link_sockets(n->link, socks);
	memset(items, 0, sizeof(items));
	for (i = 0; i < LINK_SOCKETS; i++) {
		items[i].socket = socks[i];
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
		config_lock();
		now = base_now_ms();
		/* Time first: a pause must be noticed before old messages. */
		if (now >= next) {
			tick(n, now);
			next = now + (is_idle(n) ? TICK_MS : TICK_BUSY_MS);
		}
		take_events(n);
		link_receive(n->link);
		gossip_receive(n);
		if (!is_idle(n))
			next = MIN(next, now + TICK_BUSY_MS);
		config_unlock();
		if (may_end(n, now))
			return;
	}
}

/* Opens the links; here, as the handler of their messages is the loop's. */
int
loop_open_link(struct node *n)
{
	return link_open(&n->link, n->settings.listen, &n->keys, on_message, n);
}
