/*
 * Who reads the store for whom.  Calls of the store cost, bytes within a data
 * centre do not: the nodes of each data centre have one order, the first reads
 * and publishes to the others.  A node whose publisher is lost or silent turns
 * to the next in the order, and after a few of them reads for itself.  Nobody
 * agrees on anything: whoever is subscribed to reads.  If the store does not
 * answer a node that reads for others, that node looks for another source.
 */
#include <string.h>

#include <xxhash.h>

#include "follow_int.h"

#define LOOK_MS 200 /* between two looks at the publisher */
#define TELL_MS 400 /* between two words to those who are subscribed */
#define STEP_MS 200 /* newer knowledge is told of at once */
#define NEW_MS	800 /* age of news of a node that can be relied on */
/*
 * While no target near by is listed, nobody can be chosen.  A list that may be
 * old is read again, for a tenth of the price, for as long as it may be old;
 * then this node reads for itself.
 */
#define FIRST_MS  3000
#define FEW	  8 /* nodes of a data centre */
#define GLANCE_MS 400

static void on_look(evutil_socket_t, short, void *);
static int compare(const void *, const void *);
static guint place(const struct follow *, const GArray *);
static void choose(struct follow *);
static int is_alone(const struct follow *);
static int is_first(struct follow *);
static int reads_itself(const struct follow *);
static void next_publisher(struct follow *, const char *, int);
static void look_after_publisher(struct follow *, int64_t);

/* Begins to look after the publisher. */
void
feed_start(struct follow *f)
{
	struct timeval tv = { 0, LOOK_MS * 1000L };

	f->feed.started_at = base_now_ms();
	f->feed.timer = event_new(f->base, -1, EV_PERSIST, on_look, f);
	evtimer_add(f->feed.timer, &tv);
	relay_start(f);
}

/* Ends it. */
void
feed_stop(struct follow *f)
{
	relay_stop(f);
	event_free(f->feed.timer);
}

/* Looks after it in this turn of the loop. */
void
feed_look_now(struct follow *f)
{
	event_active(f->feed.timer, EV_TIMEOUT, 0);
}

static int
compare(const void *x, const void *y)
{
	const struct candidate_node *a = x, *b = y;

	if (a->weight != b->weight)
		return a->weight < b->weight ? -1 : 1;
	return strcmp(a->addr, b->addr);
}

/* Nodes of a data centre with their targets, in order; this one in its own. */
GArray *
feed_order(struct follow *f, const char *dc)
{
	const struct proxy_settings *s = &f->settings->proxy;
	const struct view_target *t;
	struct candidate_node c;
	GArray *list = g_array_new(FALSE, FALSE, sizeof(c));
	GHashTableIter it;
	gpointer value;
	guint i;

	if (strcmp(dc, s->data_centre) == 0) {
		c = (struct candidate_node){ s->target,
			XXH64(s->target, strlen(s->target), 0) };
		g_array_append_val(list, c);
	}
	g_hash_table_iter_init(&it, f->view->targets);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		t = value;
		if (t->state != VIEW_READY || strcmp(t->dc, dc) != 0)
			continue;
		c = (struct candidate_node){ t->addr,
			XXH64(t->addr, strlen(t->addr), 0) };
		g_array_append_val(list, c);
	}
	g_array_sort(list, compare);
	for (i = 1; i < list->len;) {
		if (strcmp(g_array_index(list, struct candidate_node, i).addr,
			g_array_index(list, struct candidate_node, i - 1)
			    .addr) == 0)
			g_array_remove_index(list, i);
		else
			i++;
	}
	return list;
}

/* Place of this node in the order: how many go before it. */
static guint
place(const struct follow *f, const GArray *list)
{
	const char *self = f->settings->proxy.target;
	guint i;

	for (i = 0; i < list->len; i++)
		if (strcmp(g_array_index(list, struct candidate_node, i).addr,
			self) == 0)
			break;
	return i;
}

/* Whether no other node reads for this one. */
static int
reads_itself(const struct follow *f)
{
	return f->feed.publisher.addr[0] == '\0';
}

/* Turns to the publisher whose turn it is, or reads. */
static void
choose(struct follow *f)
{
	GArray *list = feed_order(f, f->settings->proxy.data_centre);
	struct publisher *p = &f->feed.publisher;
	const char *addr = NULL;
	guint before = place(f, list), most = MIN(before, FOLLOW_RANKS_MAX);

	/* A node that reads, as none was listed before it, goes on. */
	if (f->feed.chosen_at != 0 && reads_itself(f) &&
	    (guint)f->feed.rank >= most) {
		f->feed.chosen_at = base_now_ms();
		g_array_free(list, TRUE);
		return;
	}
	if ((guint)f->feed.rank < most)
		addr = g_array_index(list, struct candidate_node, f->feed.rank)
			   .addr;
	f->feed.chosen_at = p->heard_at = base_now_ms();
	g_strlcpy(p->addr, addr != NULL ? addr : "", sizeof(p->addr));
	base_log(G_LOG_LEVEL_MESSAGE, "publisher", "addr=%s rank=%d of=%u",
	    addr != NULL ? addr : "self", f->feed.rank, before);
	/* Who reads as no other can hears from the first when that can again.
	 */
	if (addr == NULL && before > 0)
		addr = g_array_index(list, struct candidate_node, 0).addr;
	f->feed.others = (int)list->len;
	proxy_subscribe(f->proxy, PROXY_PUBLISHER, addr, PROXY_READ);
	g_array_free(list, TRUE);
}

/* Whether no target of the own data centre is listed yet. */
static int
is_alone(const struct follow *f)
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

/* Whether the publisher is still the first in the order. */
static int
is_first(struct follow *f)
{
	GArray *list = feed_order(f, f->settings->proxy.data_centre);
	int first;

	first = strcmp(g_array_index(list, struct candidate_node, 0).addr,
		    f->feed.publisher.addr) == 0;
	g_array_free(list, TRUE);
	return first;
}

/* The publisher is of no use: the next one is tried; reads: until it is. */
static void
next_publisher(struct follow *f, const char *why, int reads)
{
	char lost[ADDRESS_MAX];

	if (reads_itself(f))
		return;
	base_log(G_LOG_LEVEL_MESSAGE, "publisher-lost", "addr=%s reason=\"%s\"",
	    f->feed.publisher.addr, why);
	f->feed.orphan = reads;
	/* The order may have changed: one that is of no use is passed by. */
	g_strlcpy(lost, f->feed.publisher.addr, sizeof(lost));
	do {
		f->feed.rank++;
		choose(f);
	} while (strcmp(f->feed.publisher.addr, lost) == 0);
}

/*
 * The publisher told something.  One that was given up is taken again as soon
 * as it has news.
 */
void
feed_heard(struct follow *f, const struct proxy_news *n)
{
	int is_new = n->age_ms <= NEW_MS;

	f->feed.publisher.heard_at = base_now_ms();
	if (n->unsubscribe) {
		/* Many would ask the store at once. */
		next_publisher(f, "unsubscribed", f->feed.others <= FEW);
		return;
	}
	if (reads_itself(f)) {
		if (!is_new || f->feed.rank == 0)
			return;
		f->feed.rank = 0;
		choose(f);
	}
	if (is_new)
		f->feed.orphan = 0;
	if (n->age_ms <= FOLLOW_STALE_MS)
		proxy_target_reported(f->proxy);
}

/* The link to the publisher was lost. */
void
feed_lost(struct follow *f)
{
	next_publisher(f, "link lost", 1);
}

/* Tells those who are subscribed how old it is what this node knows. */
void
feed_tell(struct follow *f, int64_t now)
{
	f->feed.told_at = now;
	f->feed.told_known_at = f->view->known_at;
	proxy_publish(f->proxy, NULL, 0, f->leaving || f->relay.isolated);
}

/* Tells them at once of what makes a difference. */
void
feed_known(struct follow *f)
{
	if (f->view->known_at - f->feed.told_known_at >= STEP_MS)
		feed_tell(f, base_now_ms());
}

/* Leaves a publisher that is silent, returns to the first. */
static void
look_after_publisher(struct follow *f, int64_t now)
{
	int self = reads_itself(f);

	if (f->feed.rank > 0 && now - f->feed.chosen_at > FOLLOW_RETURN_MS) {
		/* What reads goes on until the one returned to has news. */
		f->feed.orphan |= self;
		f->feed.rank = 0;
		choose(f);
	} else if (!self &&
		   now - f->feed.publisher.heard_at > FOLLOW_SILENT_MS) {
		next_publisher(f, "silent", 1);
	} else if (self && f->feed.rank == 0) {
		choose(f);
	} else if (!self && now - f->feed.chosen_at > FOLLOW_AGAIN_MS &&
		   f->feed.rank == 0) {
		/* Nodes that chose from a short list find together. */
		f->feed.chosen_at = now;
		if (!is_first(f))
			choose(f);
	}
}

/*
 * Looks after the publisher: begins when there is a list to choose from, and
 * lets the reader read as long as this node, or one that is subscribed, needs
 * it.
 */
static void
on_look(evutil_socket_t fd, short what, void *arg)
{
	struct follow *f = arg;
	int64_t now = base_now_ms();
	int subscribers, helps, self;

	(void)fd;
	(void)what;
	if (f->view->listed_at == 0)
		return;
	if (f->feed.chosen_at == 0 && is_alone(f) &&
	    now - f->feed.started_at < FIRST_MS) {
		if (now - f->feed.glanced_at >= GLANCE_MS) {
			store_reader_glance(f->reader);
			f->feed.glanced_at = now;
		}
		return;
	}
	look_after_publisher(f, now);
	/*
	 * Publishers that are silent take over a second each to be found out;
	 * who has lost one reads in the meantime.
	 */
	self = reads_itself(f) || now < f->verify_until || f->feed.orphan;
	helps = proxy_subscribers(f->proxy, PROXY_HELP) > 0;
	subscribers = helps + proxy_subscribers(f->proxy, PROXY_READ);
	/* Who reads as others cannot is one of many, and none of those. */
	store_reader_watch(f->reader, self || subscribers > 0,
	    f->feed.rank >= FOLLOW_RANKS_MAX && subscribers == 0
		? f->feed.others
		: 0,
	    helps);
	relay_look(f, now);
	if (now - f->feed.told_at >= TELL_MS)
		feed_tell(f, now);
}
