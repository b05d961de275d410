/*
 * Who reads the store for whom.  Calls of the store cost, bytes within a data
 * centre do not: the nodes of each data centre have one order, the first reads
 * and feeds the others.  A node whose feeder is lost, silent or blind turns to
 * the next in the order, and after a few of them reads for itself.  Nobody
 * agrees on anything: whoever is asked to feed reads.
 */
#include <string.h>

#include <xxhash.h>

#include "follow_int.h"

#define FEEDERS_MAX 3	 /* tried before a node reads for itself */
#define LOOK_MS	    200	 /* between two looks at the feeder */
#define TELL_MS	    400	 /* between two words to those who are fed */
#define SILENT_MS   1200 /* without a word: with the reader's pause below 2 s */
#define RETURN_MS   8000 /* then the first in the order is tried again */
#define BLIND	    "blind" /* why a feeder is lost: it says that it cannot read */
#define HELPLESS_MS                                                       \
	1500	      /* blind for so long, a node that reads asks others \
		       */
#define AGAIN_MS 3000 /* between two looks whether another is first now */
/*
 * While no target near by is listed, nobody can be chosen.  A list that may be
 * old is read again, for a tenth of the price, for as long as it may be old;
 * then this node reads for itself.
 */
#define FIRST_MS  3000
#define FEW	  8 /* nodes of a data centre */
#define GLANCE_MS 400

struct candidate_node {
	const char *addr;
	uint64_t weight;
};

static void on_look(evutil_socket_t, short, void *);
static int compare(const void *, const void *);
static GArray *order(struct follow *);
static guint place(const struct follow *, const GArray *);
static void choose(struct follow *);
static int is_alone(const struct follow *);
static int is_first(struct follow *);
static void next_feeder(struct follow *, const char *);
static void tell(struct follow *, int64_t);
static int seek_help(struct follow *, int64_t);

/* Begins to look after the feeder. */
void
feed_start(struct follow *f)
{
	struct timeval tv = { 0, LOOK_MS * 1000L };

	f->feed.started_at = f->feed.sighted_at = base_now_ms();
	f->feed.timer = event_new(f->base, -1, EV_PERSIST, on_look, f);
	evtimer_add(f->feed.timer, &tv);
}

/* Ends it. */
void
feed_stop(struct follow *f)
{
	event_free(f->feed.timer);
}

static int
compare(const void *x, const void *y)
{
	const struct candidate_node *a = x, *b = y;

	if (a->weight != b->weight)
		return a->weight < b->weight ? -1 : 1;
	return strcmp(a->addr, b->addr);
}

/* Nodes of the own data centre with their targets, in order, this one too. */
static GArray *
order(struct follow *f)
{
	const struct proxy_settings *s = &f->settings->proxy;
	const struct view_target *t;
	struct candidate_node c;
	GArray *list = g_array_new(FALSE, FALSE, sizeof(c));
	GHashTableIter it;
	gpointer value;
	guint i;

	c = (struct candidate_node){ s->target,
		XXH64(s->target, strlen(s->target), 0) };
	g_array_append_val(list, c);
	g_hash_table_iter_init(&it, f->view->targets);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		t = value;
		if (t->state != VIEW_READY ||
		    strcmp(t->dc, s->data_centre) != 0)
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

/* Turns to the feeder whose turn it is, or reads. */
static void
choose(struct follow *f)
{
	GArray *list = order(f);
	const char *addr = NULL;
	guint before = place(f, list), most = MIN(before, FEEDERS_MAX);
	guint after = list->len - before - 1, at = list->len;

	/* A node that reads, as none was listed before it, goes on. */
	if (f->feed.chosen_at != 0 && f->feed.addr[0] == '\0' &&
	    !f->feed.helpless && (guint)f->feed.rank >= most) {
		f->feed.chosen_at = base_now_ms();
		g_array_free(list, TRUE);
		return;
	}

	if ((guint)f->feed.rank < most)
		at = (guint)f->feed.rank;
	else if (f->feed.helpless && after > 0)
		at = before + 1 + f->feed.helper % after;
	if (at < list->len)
		addr = g_array_index(list, struct candidate_node, at).addr;
	f->feed.chosen_at = f->feed.heard_at = base_now_ms();
	g_strlcpy(f->feed.addr, addr != NULL ? addr : "", sizeof(f->feed.addr));
	base_log(G_LOG_LEVEL_MESSAGE, "feeder", "addr=%s rank=%d of=%u",
	    addr != NULL ? addr : "self", f->feed.rank, before);
	/* Who reads as no other can hears from the first when that can again.
	 */
	if (addr == NULL && before > 0 && !f->feed.helpless)
		addr = g_array_index(list, struct candidate_node, 0).addr;
	f->feed.others = (int)list->len;
	proxy_subscribe(f->proxy, addr);
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

/* Whether the feeder is still the first in the order. */
static int
is_first(struct follow *f)
{
	GArray *list = order(f);
	int first;

	first = strcmp(g_array_index(list, struct candidate_node, 0).addr,
		    f->feed.addr) == 0;
	g_array_free(list, TRUE);
	return first;
}

/* The feeder is of no use: the next one is tried. */
static void
next_feeder(struct follow *f, const char *why)
{
	char lost[ADDRESS_MAX];

	if (f->feed.addr[0] == '\0')
		return;
	base_log(G_LOG_LEVEL_MESSAGE, "feeder-lost", "addr=%s reason=\"%s\"",
	    f->feed.addr, why);
	/*
	 * If it only cannot read, the store may be away for this node too; a
	 * few nodes may find that out, many would ask too often.
	 */
	f->feed.orphan = strcmp(why, BLIND) != 0 || f->feed.others <= FEW;
	if (f->feed.helpless) {
		/* As many as anybody tries: then the store is away for all. */
		f->feed.helpless = ++f->feed.helper % FEEDERS_MAX != 0;
		if (!f->feed.helpless)
			f->feed.sighted_at = base_now_ms() + RETURN_MS;
		choose(f);
		return;
	}
	/* The order may have changed: one that is of no use is passed by. */
	g_strlcpy(lost, f->feed.addr, sizeof(lost));
	do {
		f->feed.rank++;
		choose(f);
	} while (strcmp(f->feed.addr, lost) == 0);
}

/*
 * The feeder told something.  What it holds says nothing of whether it reads
 * now: one that was given up is taken again with its next word that it does.
 */
void
feed_heard(struct follow *f, int blind, int is_word)
{
	f->feed.heard_at = base_now_ms();
	if (blind) {
		next_feeder(f, BLIND);
		return;
	}
	if (f->feed.addr[0] == '\0') {
		if (!is_word || f->feed.rank == 0)
			return;
		f->feed.rank = 0;
		choose(f);
	}
	if (is_word)
		f->feed.orphan = 0;
	proxy_target_reported(f->proxy);
}

/* The link to the feeder was lost. */
void
feed_lost(struct follow *f)
{
	next_feeder(f, "link lost");
}

/* Tells those who are fed that this node still reads, or cannot. */
static void
tell(struct follow *f, int64_t now)
{
	int blind = f->leaving || store_reader_blind(f->reader);

	if (now - f->feed.told_at < TELL_MS ||
	    (!f->leaving && !store_reader_settled(f->reader)))
		return;
	f->feed.told_at = now;
	if (store_reader_watches(f->reader))
		proxy_feed(f->proxy, NULL, 0, blind);
}

/*
 * The store may turn away the very node that reads for all.  Those it feeds
 * turn to others when it says so; it asks one of those that come after it,
 * which then reads.  After a while it tries itself again.
 */
static int
seek_help(struct follow *f, int64_t now)
{
	int self = f->feed.addr[0] == '\0';

	if (f->feed.helpless && now - f->feed.helped_at > RETURN_MS) {
		f->feed.helpless = 0;
		f->feed.rank = 0;
		f->feed.sighted_at = now;
		choose(f);
		return 1;
	}
	if (!self || !store_reader_watches(f->reader) ||
	    !store_reader_blind(f->reader)) {
		f->feed.sighted_at = MAX(f->feed.sighted_at, now);
		return 0;
	}
	if (f->feed.helpless || f->feed.rank > 0 ||
	    now - f->feed.sighted_at < HELPLESS_MS)
		return 0;
	f->feed.helpless = 1;
	f->feed.helped_at = now;
	choose(f);
	return 1;
}

/*
 * Looks after the feeder: begins when there is a list to choose from, leaves
 * one that is silent, returns to the first, and lets the reader read as long as
 * this node, or one that it feeds, needs it.
 */
static void
on_look(evutil_socket_t fd, short what, void *arg)
{
	struct follow *f = arg;
	int64_t now = base_now_ms();
	int self;

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
	self = f->feed.addr[0] == '\0';
	if (seek_help(f, now)) {
		/* The feeder has changed. */
	} else if (f->feed.helpless) {
		if (!self && now - f->feed.heard_at > SILENT_MS)
			next_feeder(f, "silent");
	} else if (f->feed.rank > 0 && now - f->feed.chosen_at > RETURN_MS) {
		/* What reads goes on until the one returned to has spoken. */
		f->feed.orphan |= self;
		f->feed.rank = 0;
		choose(f);
	} else if (!self && now - f->feed.heard_at > SILENT_MS) {
		next_feeder(f, "silent");
	} else if (self && f->feed.rank == 0) {
		choose(f);
	} else if (!self && now - f->feed.chosen_at > AGAIN_MS &&
		   f->feed.rank == 0) {
		/* Nodes that chose from a short list find together. */
		f->feed.chosen_at = now;
		if (!is_first(f))
			choose(f);
	}
	/*
	 * Feeders that are silent take over a second each to be found out; who
	 * has lost one reads in the meantime.
	 */
	self =
	    f->feed.addr[0] == '\0' || now < f->verify_until || f->feed.orphan;
	/* Who reads as its feeders cannot is one of many, and none of those. */
	store_reader_watch(f->reader, self || proxy_subscribers(f->proxy) > 0,
	    f->feed.rank >= FEEDERS_MAX && proxy_subscribers(f->proxy) == 0
		? f->feed.others
		: 0);
	tell(f, now);
}
