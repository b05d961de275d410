/*
 * Chooses the node that reads the store for this one.  Requests to the store
 * cost, traffic within a data centre does not.  So the nodes of each data
 * centre are ranked by a hash of their addresses, the node of rank 0 reads the
 * store, and it publishes to the others, which subscribe to it, in a large data
 * centre by way of relays (rank.c).  A node whose publisher is lost or times
 * out fails over to the next rank, from a relay to rank 0, and after
 * FOLLOW_RANKS_MAX of them reads the store itself.  It returns when its first
 * choice has sent it fresh state.  There is no election: a node reads the store
 * if another one is subscribed to it.  If the store does not answer a node that
 * reads for others, relay.c finds it another source.
 */
#include <string.h>

#include "follow_int.h"

#define CHECK_MS     200 /* between two checks of the publisher */
#define HEARTBEAT_MS 400 /* between two messages to the subscribers */
/* An advance of the view's synced_at by this much is published at once. */
#define AGE_STEP_MS 200
#define FRESH_MS    800 /* greatest age of a publisher's view to rely on it */
/* Without a message for so long, two heartbeats, the publisher is late. */
#define LATE_MS 800
/*
 * No publisher can be chosen while no target of the own data centre is listed.
 * The first list may be stale by up to EMPTY_LIST_MS.  It is read again every
 * RELIST_MS until then, as a stale list costs a tenth of an exact one; then
 * this node reads the store itself.
 */
#define EMPTY_LIST_MS  3000
#define SMALL_DC_NODES 8 /* nodes that may all read the store at once */
#define RELIST_MS      400
/* A check that comes so late is logged: the event loop was busy for as long. */
#define LOOP_DELAY_LOG_MS 100

static void on_timer(evutil_socket_t, short, void *);
static void record_delay(struct feed *, short, int64_t);
static enum proxy_subscription subscription(int);
static void choose_publisher(struct follow *);
static int is_dc_empty(const struct follow *);
static void try_first(struct follow *, int64_t);
static void give_up_first(struct follow *, int64_t);
static int reads_store(const struct follow *);
static void fail_over(struct follow *, const char *, int);
static int64_t silent_ms(const struct follow *, int64_t);
static void check_publisher(struct follow *, int64_t);
static void check_messages(struct follow *, int64_t);

/* Starts the periodic check of the publisher. */
void
feed_start(struct follow *f)
{
	struct timeval tv = { 0, CHECK_MS * 1000L };

	f->feed.started_at = base_now_ms();
	f->feed.timer = event_new(f->base, -1, EV_PERSIST, on_timer, f);
	evtimer_add(f->feed.timer, &tv);
	relay_start(f);
}

/* Stops the periodic check. */
void
feed_stop(struct follow *f)
{
	relay_stop(f);
	event_free(f->feed.timer);
}

/*
 * Makes the check due in this iteration of the event loop.  The next one comes
 * CHECK_MS after it; with EV_TIMEOUT, libevent would put it off by as much from
 * the time for which it was due, with each call.
 */
void
feed_check_now(struct follow *f)
{
	event_active(f->feed.timer, EV_READ, 0);
}

/* Whether this node has no publisher and reads the store itself. */
static int
reads_store(const struct follow *f)
{
	return f->feed.publisher.addr[0] == '\0';
}

/* What is asked of a publisher by its rank: a relay does not read the store. */
static enum proxy_subscription
subscription(int rank)
{
	return rank == FOLLOW_RANK_RELAY ? PROXY_SUBSCRIBE_RELAY
					 : PROXY_SUBSCRIBE_READ;
}

/*
 * Subscribes to the candidate of the current rank.  If no candidate before this
 * node has that rank, or FOLLOW_RANKS_MAX have been tried, this node reads the
 * store itself.
 */
static void
choose_publisher(struct follow *f)
{
	GArray *list = rank_candidates(f, f->settings->proxy.data_centre);
	struct publisher *p = &f->feed.publisher;
	guint own = rank_own(f, list);
	int max_rank = (int)MIN(own, FOLLOW_RANKS_MAX);
	const char *addr = rank_relay(list, own);

	f->feed.first_rank = addr != NULL ? FOLLOW_RANK_RELAY : 0;
	if (f->feed.chosen_at == 0 || f->feed.rank < f->feed.first_rank)
		f->feed.rank = f->feed.first_rank;
	/* This node reads already, and still has no candidate to try. */
	if (f->feed.chosen_at != 0 && reads_store(f) &&
	    f->feed.rank >= max_rank) {
		f->feed.chosen_at = base_now_ms();
		g_array_free(list, TRUE);
		return;
	}
	if (f->feed.rank >= 0)
		addr = f->feed.rank < max_rank
			   ? g_array_index(
				 list, struct candidate_node, f->feed.rank)
				 .addr
			   : NULL;
	f->feed.chosen_at = p->received_at = base_now_ms();
	g_strlcpy(p->addr, addr != NULL ? addr : "", sizeof(p->addr));
	base_log(G_LOG_LEVEL_MESSAGE, "publisher", "addr=%s rank=%d of=%u",
	    addr != NULL ? addr : "self", f->feed.rank, own);
	/*
	 * A node that reads because no candidate was usable subscribes to the
	 * first one, so as to return when that sends fresh state again.
	 */
	if (addr == NULL && own > 0)
		addr = g_array_index(list, struct candidate_node, 0).addr;
	f->feed.ncandidates = (int)list->len;
	proxy_subscribe(
	    f->proxy, PROXY_SLOT_PUBLISHER, addr, subscription(f->feed.rank));
	g_array_free(list, TRUE);
}

/* Whether no target of the own data centre is listed. */
static int
is_dc_empty(const struct follow *f)
{
	const struct view_target *t;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, f->view->targets);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		t = value;
		if (strcmp(t->dc, f->settings->proxy.data_centre) == 0)
			return 0;
	}
	return 1;
}

/*
 * Subscribes to the first choice, a relay or the node of rank 0, beside the
 * publisher, which is left only once that node has sent fresh state: it may be
 * as slow as when it was given up, or be starting.
 */
static void
try_first(struct follow *f, int64_t now)
{
	GArray *list = rank_candidates(f, f->settings->proxy.data_centre);
	guint own = rank_own(f, list);
	const char *relay = rank_relay(list, own), *addr;
	struct publisher *p = &f->feed.first;
	int is_same;

	f->feed.chosen_at = now;
	f->feed.first_rank = relay != NULL ? FOLLOW_RANK_RELAY : 0;
	addr = relay != NULL
		   ? relay
		   : g_array_index(list, struct candidate_node, 0).addr;
	if (strcmp(addr, f->feed.publisher.addr) == 0) {
		is_same = subscription(f->feed.rank) ==
			  subscription(f->feed.first_rank);
		f->feed.rank = f->feed.first_rank;
		if (!is_same)
			choose_publisher(f);
	} else if (own == 0) {
		f->feed.rank = 0;
		choose_publisher(f);
	} else {
		*p = (struct publisher){ .received_at = now };
		g_strlcpy(p->addr, addr, sizeof(p->addr));
		proxy_subscribe(f->proxy, PROXY_SLOT_FIRST, addr,
		    subscription(f->feed.first_rank));
	}
	g_array_free(list, TRUE);
}

/* Keeps the publisher for another FOLLOW_FAILBACK_MS or FOLLOW_RECHECK_MS. */
static void
give_up_first(struct follow *f, int64_t now)
{
	f->feed.first = (struct publisher){ 0 };
	f->feed.chosen_at = now;
	proxy_subscribe(f->proxy, PROXY_SLOT_FIRST, NULL, PROXY_UNSUBSCRIBED);
}

/*
 * Fails over to the candidate of the next rank.  If reads is set, this node
 * reads the store itself until its new publisher sends fresh state.
 */
static void
fail_over(struct follow *f, const char *reason, int reads)
{
	char lost_addr[ADDRESS_MAX];

	if (reads_store(f))
		return;
	base_log(G_LOG_LEVEL_MESSAGE, "publisher-lost", "addr=%s reason=\"%s\"",
	    f->feed.publisher.addr, reason);
	f->feed.reads_meanwhile = reads;
	/* Ranks may have shifted meanwhile: do not choose the same node. */
	g_strlcpy(lost_addr, f->feed.publisher.addr, sizeof(lost_addr));
	do {
		f->feed.rank++;
		choose_publisher(f);
	} while (strcmp(f->feed.publisher.addr, lost_addr) == 0);
}

/*
 * The publisher sent an update.  A node that has given up its publisher and
 * reads the store itself returns to it as soon as it sends fresh state.
 */
void
feed_on_update(struct follow *f, const struct proxy_update *u)
{
	int is_fresh = u->age_ms <= FRESH_MS;

	f->feed.publisher.received_at = base_now_ms();
	if (u->unsubscribe) {
		/*
		 * In a large data centre, all subscribers reading the store
		 * at once would overload it.
		 */
		fail_over(
		    f, "unsubscribed", f->feed.ncandidates <= SMALL_DC_NODES);
		return;
	}
	if (reads_store(f)) {
		if (!is_fresh || f->feed.rank == 0)
			return;
		f->feed.rank = 0;
		choose_publisher(f);
	}
	if (is_fresh)
		f->feed.reads_meanwhile = 0;
	if (u->age_ms <= FOLLOW_STALE_MS)
		proxy_target_reported(f->proxy);
}

/* The link to the publisher was lost: reads until the next one is fresh. */
void
feed_on_lost(struct follow *f)
{
	fail_over(f, "link lost", 1);
}

/* The first choice becomes the publisher once its state is fresh. */
void
feed_on_first_update(struct follow *f, const struct proxy_update *u)
{
	int64_t now = base_now_ms();

	f->feed.first.received_at = now;
	if (u->unsubscribe) {
		give_up_first(f, now);
	} else if (u->age_ms <= FRESH_MS) {
		f->feed.rank = f->feed.first_rank;
		choose_publisher(f);
		give_up_first(f, now);
	}
}

/* The publisher is kept. */
void
feed_on_first_lost(struct follow *f)
{
	give_up_first(f, base_now_ms());
}

/*
 * Sends the age of this node's view to its subscribers.  A node that drains or
 * is isolated unsubscribes them, so that they choose another publisher.
 */
void
feed_publish_age(struct follow *f, int64_t now)
{
	f->feed.published_at = now;
	f->feed.published_up_to = f->view->synced_at;
	proxy_publish(f->proxy, NULL, 0, f->draining || f->relay.isolated);
}

/* Publishes the age at once if the view has advanced by AGE_STEP_MS. */
void
feed_on_synced(struct follow *f)
{
	if (f->view->synced_at - f->feed.published_up_to >= AGE_STEP_MS)
		feed_publish_age(f, base_now_ms());
}

/*
 * For how long nothing has arrived from the publisher.  A large update takes
 * its link longer than a publisher may be silent.
 */
static int64_t
silent_ms(const struct follow *f, int64_t now)
{
	return now - MAX(f->feed.publisher.received_at,
			 proxy_receiving_at(f->proxy, PROXY_SLOT_PUBLISHER));
}

/*
 * Fails over from a publisher that timed out or a relay that is stale, tries
 * the first choice again after FOLLOW_FAILBACK_MS, and follows changes of the
 * ranking.
 */
static void
check_publisher(struct follow *f, int64_t now)
{
	int reads = reads_store(f), rank = f->feed.rank;
	int64_t kept_ms = now - f->feed.chosen_at;

	if (f->feed.first.addr[0] != '\0' &&
	    now - f->feed.first.received_at > FOLLOW_TIMEOUT_MS)
		give_up_first(f, now);
	if (reads && rank > 0 && kept_ms > FOLLOW_FAILBACK_MS) {
		/* A node that reads goes on until rank 0 sends fresh state. */
		f->feed.reads_meanwhile = 1;
		f->feed.rank = 0;
		choose_publisher(f);
	} else if (!reads && silent_ms(f, now) > FOLLOW_TIMEOUT_MS) {
		fail_over(f, "silent", 1);
	} else if (rank == FOLLOW_RANK_RELAY && relay_lacks_backup(f)) {
		/* It may follow this node itself, by an older list. */
		fail_over(f, "stale", 0);
	} else if (reads && rank == 0) {
		choose_publisher(f);
	} else if (!reads && f->feed.first.addr[0] == '\0' &&
		   kept_ms > (rank > f->feed.first_rank ? FOLLOW_FAILBACK_MS
							: FOLLOW_RECHECK_MS)) {
		/* Nodes that chose from incomplete lists converge. */
		try_first(f, now);
	}
}

/*
 * Reads the store while the publisher's messages are late.  A slow publisher
 * sends often enough not to be given up, and those that replace it may be slow
 * too: the time until a change arrives must not depend on how many of them are.
 */
static void
check_messages(struct follow *f, int64_t now)
{
	int64_t late_ms = silent_ms(f, now);

	if (reads_store(f) || f->feed.reads_meanwhile || late_ms <= LATE_MS)
		return;
	base_log(G_LOG_LEVEL_MESSAGE, "publisher-slow",
	    "addr=%s silent_ms=%" G_GINT64_FORMAT " known_ms=%" G_GINT64_FORMAT,
	    f->feed.publisher.addr, late_ms, now - f->view->synced_at);
	counter_add(CTR_PUBLISHER_SLOW, 1);
	f->feed.reads_meanwhile = 1;
}

/*
 * Records how late the check is: a pass of the event loop took as long.  One
 * that was asked for has no due time.
 */
static void
record_delay(struct feed *feed, short what, int64_t now)
{
	int64_t delay_ms = MAX(now - feed->check_due_at, 0);

	if (feed->check_due_at != 0 && (what & EV_TIMEOUT) != 0) {
		histogram_add(HIST_LOOP_DELAY, delay_ms);
		if (delay_ms >= LOOP_DELAY_LOG_MS)
			base_log(G_LOG_LEVEL_MESSAGE, "loop-delayed",
			    "delay_ms=%" G_GINT64_FORMAT, delay_ms);
	}
	feed->check_due_at = now + CHECK_MS;
}

/*
 * The periodic check: chooses a publisher once targets are listed, keeps the
 * store reader watching while this node or a subscriber needs it, checks the
 * other sources and sends the heartbeat.
 */
static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct follow *f = arg;
	int64_t now = base_now_ms();
	int subscribers, helping, reads;

	(void)fd;
	record_delay(&f->feed, what, now);
	if (f->view->listed_revision.number == 0)
		return;
	if (f->feed.chosen_at == 0 && is_dc_empty(f) &&
	    now - f->feed.started_at < EMPTY_LIST_MS) {
		if (now - f->feed.relisted_at >= RELIST_MS) {
			store_reader_relist(f->reader);
			f->feed.relisted_at = now;
		}
		return;
	}
	check_publisher(f, now);
	check_messages(f, now);
	/*
	 * It takes more than a second to detect that a publisher is silent.  A
	 * node that has lost its publisher therefore reads the store meanwhile,
	 * as the next publisher may be silent as well.
	 */
	if (relay_lacks_backup(f) && f->feed.ncandidates <= SMALL_DC_NODES)
		f->feed.reads_meanwhile = 1;
	reads =
	    reads_store(f) || verify_is_pending(f) || f->feed.reads_meanwhile;
	helping = proxy_subscribers(f->proxy, PROXY_SUBSCRIBE_HELP) > 0;
	subscribers =
	    helping + proxy_subscribers(f->proxy, PROXY_SUBSCRIBE_READ);
	/*
	 * After FOLLOW_RANKS_MAX failures this is probably one of many nodes
	 * that read for themselves, unless others are subscribed to it.
	 */
	store_reader_watch(f->reader, reads || subscribers > 0,
	    f->feed.rank >= FOLLOW_RANKS_MAX && subscribers == 0
		? f->feed.ncandidates
		: 0,
	    helping);
	relay_check(f, now);
	if (now - f->feed.published_at >= HEARTBEAT_MS)
		feed_publish_age(f, now);
}
