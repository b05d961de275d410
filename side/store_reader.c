/*
 * Reads the platform's store.  Its two parts are listed and then watched, each
 * on a connection of its own.  The watch of the operators' part is renewed at
 * once.  The watch of the targets is renewed after a pause, as each report of
 * a target is a change.
 */
#include <string.h>

#include "follow_int.h"

/*
 * A watch whose answer is lost ends only by its timeout, a little after its
 * wait.  A lost request and the pause before its retry take as long.  Both must
 * end within three seconds of the end of a disturbance: from then on a node
 * counts as connected, and must have everything written since that end.
 */
#define WATCH_WAIT_MS 1200 /* the store answers a watch by then */
/*
 * Between two watches of the targets.  It is part of the 2000 ms after which a
 * leaving target must not get any requests.
 */
#define TARGETS_PAUSE_MS 800
#define RETRY_MS	 150 /* first pause after a failure; it doubles */
#define RETRY_MAX_MS	 1000
/*
 * The longest pause of one of many nodes that each read the store for
 * themselves.  They are subscribed to the node of rank 0 as well and are
 * updated as soon as that can read again.
 */
#define RETRY_MANY_MIN_MS  2000
#define RETRY_MANY_EACH_MS 100 /* for each of these nodes */
#define RETRY_MANY_MAX_MS  5000
#define OUTAGE_FAILURES	   2 /* in a row, after which a timeout is an outage */

/* Reads one part of the store: a list in pages, then watches. */
struct part_reader {
	struct store_reader *reader;
	enum platform_part part;
	struct platform_store *store;
	struct event *timer; /* sends the next request */
	int failures;	     /* in a row */
	int in_flight;	     /* a request has been sent and not ended */
	/* What the last request asked for, and when. */
	int is_watch;	       /* changes, not a page of a list */
	unsigned int asked_in; /* period of the reader */
	int64_t asked_at;      /* ms */
	int suspended;	       /* the last request failed and is not retried */
	int has_list; /* a complete list was read, so changes are watched */
	int paused;   /* a pause preceded the current watch */
	int64_t synced_at; /* ms; all changes up to then were read, or 0 */
	/* To be listed again, as removals or a restore may have been missed. */
	int relist_due;
	/* Revisions: of the last change read, of the list's first page. */
	struct view_revision watch_from, list_revision;
	int list_settled;	  /* the list was asked for in a settled era */
	char *list_after;	  /* last key of the previous page, or NULL */
	GHashTable *listed_names; /* items of the list that is being read */
};

struct store_reader {
	struct event_base *base;
	struct store_reader_calls calls;
	struct part_reader parts[2]; /* by enum platform_part */
	int watching;
	unsigned int period; /* counts starts to watch, and eras */
	int nwatchers;	     /* nodes that also read for themselves, or 0 */
	int helping; /* reads for another node, and no answer arrived yet */
	struct settle settle; /* whether lists are complete */
	uint64_t era;	      /* of the store; 0: no answer has named one */
	int64_t era_since;    /* ms; the first answer in it, 0: no answer yet */
};

static const char *const part_names[] = {
	[PLATFORM_OPERATORS] = "operators",
	[PLATFORM_TARGETS] = "targets",
};

static void on_timer(evutil_socket_t, short, void *);
static void on_page(void *, int, struct platform_page *);
static void note_failure(struct store_reader *, int64_t);
static void enter_era(struct store_reader *, uint64_t);
static void note_era(struct store_reader *, const char *, uint64_t);
static void on_failure(struct part_reader *, int, const struct platform_page *);
static void on_superseded(struct part_reader *, int, struct platform_page *);
static void on_list(struct part_reader *, const struct platform_page *);
static void on_changes(struct part_reader *, const struct platform_page *);
static int is_settled(const struct store_reader *);
static int is_era_settled(const struct store_reader *);
static int64_t relist_wait_ms(const struct part_reader *, int64_t);
static int64_t max_pause_ms(const struct store_reader *);

/* Creates a reader and lists both parts at once; the lists may be stale. */
struct store_reader *
store_reader_new(struct event_base *base, const char *store,
    const struct store_reader_calls *calls)
{
	struct store_reader *r = g_new0(struct store_reader, 1);
	struct part_reader *pr;
	size_t i;

	r->base = base;
	r->calls = *calls;
	settle_init(&r->settle, base_now_ms());
	for (i = 0; i < G_N_ELEMENTS(r->parts); i++) {
		pr = &r->parts[i];
		pr->reader = r;
		pr->part = (enum platform_part)i;
		pr->store = platform_open(base, store);
		pr->timer = evtimer_new(base, on_timer, pr);
		pr->listed_names = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, NULL);
		http_timer_set(pr->timer, 0);
	}
	return r;
}

/* Releases a reader; requests in flight end without a callback. */
void
store_reader_free(struct store_reader *r)
{
	struct part_reader *pr;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(r->parts); i++) {
		pr = &r->parts[i];
		platform_close(pr->store);
		event_free(pr->timer);
		g_hash_table_destroy(pr->listed_names);
		g_free(pr->list_after);
	}
	g_free(r);
}

/* Reconnects to another store and lists both parts there. */
void
store_reader_set_store(struct store_reader *r, const char *store)
{
	struct part_reader *pr;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(r->parts); i++) {
		pr = &r->parts[i];
		platform_close(pr->store);
		pr->store = platform_open(r->base, store);
		pr->has_list = 0;
		g_clear_pointer(&pr->list_after, g_free);
		http_timer_set(pr->timer, 0);
	}
	r->era = 0;
	r->era_since = 0;
}

/* The longest pause between two failing requests, in ms. */
static int64_t
max_pause_ms(const struct store_reader *r)
{
	if (r->nwatchers == 0)
		return RETRY_MAX_MS;
	return CLAMP((int64_t)r->nwatchers * RETRY_MANY_EACH_MS,
	    RETRY_MANY_MIN_MS, RETRY_MANY_MAX_MS);
}

/*
 * Starts to watch, beginning with new and exact lists, which replace a request
 * in flight; or stops after the request in flight.
 */
void
store_reader_watch(struct store_reader *r, int on, int nwatchers, int helping)
{
	int64_t delay;
	size_t i;

	r->nwatchers = nwatchers;
	delay =
	    nwatchers > 0 ? g_random_int_range(0, (int)max_pause_ms(r) / 2) : 0;
	if (r->watching == on)
		return;
	base_log(G_LOG_LEVEL_MESSAGE, "reader", "watches=%d", on);
	r->watching = on;
	r->helping = helping;
	if (on)
		r->period++;
	/* For a helper the store may have been down, and entries expired. */
	if (on && helping)
		note_failure(r, base_now_ms());
	for (i = 0; i < G_N_ELEMENTS(r->parts); i++) {
		r->parts[i].has_list = 0;
		if (on)
			g_clear_pointer(&r->parts[i].list_after, g_free);
		/*
		 * A helper starts with the operators' part alone: one request
		 * is enough to find out whether the store answers.
		 */
		if (on && (!helping || i == PLATFORM_OPERATORS))
			http_timer_set(r->parts[i].timer, delay);
	}
}

/* Lists the targets once more, unless a request or retry is due anyway. */
void
store_reader_relist(struct store_reader *r)
{
	struct part_reader *pr = &r->parts[PLATFORM_TARGETS];

	if (!r->watching && !pr->in_flight &&
	    (pr->failures == 0 || pr->suspended))
		http_timer_set(pr->timer, 0);
}

/* The next list waits until the era is settled. */
void
store_reader_recheck(struct store_reader *r)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(r->parts); i++)
		r->parts[i].relist_due = 1;
}

/* A reader that watches learns of it from the store soon enough. */
void
store_reader_saw_era(struct store_reader *r, uint64_t era)
{
	if (!r->watching && era > r->era)
		note_era(r, "peer", era);
}

/* Whether the reader watches the store. */
int
store_reader_is_watching(const struct store_reader *r)
{
	return r->watching;
}

/* Time up to which all changes of both parts were read. */
int64_t
store_reader_synced_at(const struct store_reader *r)
{
	return MIN(r->parts[PLATFORM_OPERATORS].synced_at,
	    r->parts[PLATFORM_TARGETS].synced_at);
}

/* Whether lists are complete. */
static int
is_settled(const struct store_reader *r)
{
	return base_now_ms() >= settle_at(&r->settle);
}

/* Whether what a restore lost has been written again, too. */
static int
is_era_settled(const struct store_reader *r)
{
	return r->era_since != 0 &&
	       base_now_ms() >= settle_era_at(&r->settle, r->era_since);
}

/* Time until a part is to be listed again, at most max; in ms. */
static int64_t
relist_wait_ms(const struct part_reader *pr, int64_t max)
{
	const struct settle *s = &pr->reader->settle;
	int64_t at =
	    MAX(settle_era_at(s, pr->reader->era_since), settle_own_at(s));

	return pr->relist_due ? CLAMP(at - base_now_ms(), 0, max) : max;
}

/*
 * Sends the next request: a watch, or a page of a list.  The list may be stale
 * unless a watch starts from it.
 */
static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct part_reader *pr = arg;
	struct store_reader *r = pr->reader;

	(void)fd;
	(void)what;
	/* While both parts fail, only the operators' part is retried. */
	if (pr->part == PLATFORM_TARGETS && pr->failures > 0 &&
	    r->parts[PLATFORM_OPERATORS].failures > 0) {
		http_timer_set(pr->timer, RETRY_MS);
		return;
	}
	if (pr->relist_due && pr->list_after == NULL && r->era_since != 0 &&
	    relist_wait_ms(pr, 1) == 0) {
		pr->relist_due = 0;
		pr->has_list = 0;
	}
	if (!pr->has_list && pr->list_after == NULL)
		pr->list_settled = r->watching && is_era_settled(r);
	pr->in_flight = 1;
	pr->suspended = 0;
	pr->is_watch = pr->has_list;
	pr->asked_in = r->period;
	pr->asked_at = base_now_ms();
	if (pr->is_watch)
		platform_watch(pr->store, pr->part, pr->watch_from.number,
		    (int)relist_wait_ms(
			pr, pr->paused ? WATCH_WAIT_MS - TARGETS_PAUSE_MS
				       : WATCH_WAIT_MS),
		    on_page, pr);
	else
		platform_list(pr->store, pr->part, pr->list_after, !r->watching,
		    on_page, pr);
}

/*
 * Records that a request sent at asked_at failed: entries may have expired, so
 * that removals are uncertain.
 */
static void
note_failure(struct store_reader *r, int64_t asked_at)
{
	settle_failed(&r->settle, asked_at, base_now_ms());
	r->parts[PLATFORM_TARGETS].relist_due = 1;
}

/*
 * The store was restored from a copy: what was asked before is superseded, and
 * both parts are listed, now and once more when all has been written again.
 * The first era that a reader learns of changes nothing.
 */
static void
enter_era(struct store_reader *r, uint64_t era)
{
	int is_first = r->era_since == 0;
	struct part_reader *pr;
	size_t i;

	r->era = era;
	r->era_since = base_now_ms();
	if (is_first)
		return;
	r->period++;
	note_failure(r, base_now_ms());
	store_reader_recheck(r);
	for (i = 0; i < G_N_ELEMENTS(r->parts); i++) {
		pr = &r->parts[i];
		pr->has_list = 0;
		g_clear_pointer(&pr->list_after, g_free);
		if ((r->watching || r->calls.is_needed(r->calls.arg)) &&
		    (!r->helping || i == PLATFORM_OPERATORS))
			http_timer_set(pr->timer, 0);
	}
}

/* Logs an answer of another era; one of a later era begins that era here. */
static void
note_era(struct store_reader *r, const char *question, uint64_t era)
{
	if (r->era_since != 0 && era == r->era)
		return;
	base_log(G_LOG_LEVEL_MESSAGE, "store-era",
	    "question=%s era=%" G_GUINT64_FORMAT " known=%" G_GUINT64_FORMAT,
	    question, era, r->era);
	if (era >= r->era)
		enter_era(r, era);
}

/* A request failed: schedules its retry, unless nothing is needed. */
static void
on_failure(struct part_reader *pr, int err, const struct platform_page *p)
{
	struct store_reader *r = pr->reader;
	int64_t pause, max_pause = max_pause_ms(r);

	if (pr->failures == 0)
		base_log(G_LOG_LEVEL_MESSAGE, "store-lost",
		    "question=%s error=%d", part_names[pr->part], err);
	note_failure(r, pr->asked_at);
	if (err == PLATFORM_ECOMPACTED)
		pr->has_list = 0;
	g_clear_pointer(&pr->list_after, g_free);
	pause = MIN((int64_t)RETRY_MS << MIN(pr->failures, 8), max_pause);
	if (r->helping)
		pause = max_pause;
	/*
	 * If many nodes get no answer, the outage is likely to last.  A watch
	 * that is cut and whose history is then compacted gives two failures
	 * in a row without an outage, so this takes more of them.
	 */
	if (err == PLATFORM_EDOWN && pr->failures >= OUTAGE_FAILURES &&
	    max_pause > RETRY_MANY_MIN_MS)
		pause = max_pause;
	pause = MAX(pause, MIN(p->retry_after_ms, max_pause));
	pr->failures++;
	r->calls.failed(r->calls.arg);
	/* A node that has received its state from another does not retry. */
	if (!r->watching && !r->calls.is_needed(r->calls.arg)) {
		pr->suspended = 1;
		return;
	}
	/* Equal jitter spreads the retries of nodes that failed together. */
	http_timer_set(
	    pr->timer, pause / 2 + g_random_int_range(0, (int)pause / 2 + 1));
}

/* A page of a list arrived; the last one completes it. */
static void
on_list(struct part_reader *pr, const struct platform_page *p)
{
	struct store_reader *r = pr->reader;
	const struct platform_item *it;
	struct store_list list;
	guint i;

	if (pr->list_after == NULL) {
		pr->list_revision = p->as_of;
		g_hash_table_remove_all(pr->listed_names);
	}
	for (i = 0; i < p->items->len; i++) {
		it = &g_array_index(p->items, struct platform_item, i);
		if (it->name != NULL)
			g_hash_table_add(pr->listed_names, g_strdup(it->name));
	}
	g_clear_pointer(&pr->list_after, g_free);
	if (p->more && p->last_key != NULL) {
		pr->list_after = g_strdup(p->last_key);
		http_timer_set(pr->timer, 0);
		return;
	}
	list = (struct store_list){ pr->part, pr->listed_names,
		pr->list_revision,
		r->watching &&
		    (pr->part == PLATFORM_OPERATORS || is_settled(r)),
		base_now_ms() >= settle_own_at(&r->settle), pr->list_settled };
	r->calls.listed(r->calls.arg, &list);
	if (!r->watching)
		return;
	pr->has_list = 1;
	pr->synced_at = base_now_ms();
	pr->watch_from = pr->list_revision;
	http_timer_set(pr->timer, 0);
}

/* A watch returned, with changes or because its wait ended. */
static void
on_changes(struct part_reader *pr, const struct platform_page *p)
{
	if (view_revision_compare(p->as_of, pr->watch_from) > 0)
		pr->watch_from = p->as_of;
	pr->synced_at = base_now_ms();
	pr->paused = pr->part == PLATFORM_TARGETS && p->items->len > 0;
	http_timer_set(
	    pr->timer, pr->paused ? relist_wait_ms(pr, TARGETS_PAUSE_MS) : 0);
}

/*
 * A request ended that was sent before the reader last started to watch.  Its
 * items are as good as any, but it completes no list of the present period and
 * gives no revision to watch from.
 */
static void
on_superseded(struct part_reader *pr, int err, struct platform_page *p)
{
	struct store_reader *r = pr->reader;

	platform_page_set_copied(p, 1);
	if (err == PLATFORM_OK)
		r->calls.items(r->calls.arg, p);
	else
		note_failure(r, pr->asked_at);
}

/*
 * A request ended; what its answer means depends on what was asked.  A helper's
 * first answer starts the targets' list.
 */
static void
on_page(void *arg, int err, struct platform_page *p)
{
	struct part_reader *pr = arg;
	struct store_reader *r = pr->reader;

	pr->in_flight = 0;
	if (p->as_of.era == 0)
		platform_page_set_era(p, r->era);
	if (p->as_of.era != 0 || err == PLATFORM_OK)
		note_era(r, part_names[pr->part], p->as_of.era);
	if (pr->asked_in != r->period) {
		on_superseded(pr, err, p);
		return;
	}
	/* A store that has lost what others were told of is of no use. */
	if (p->as_of.era < r->era)
		err = PLATFORM_EMALFORMED;
	if (err != PLATFORM_OK) {
		on_failure(pr, err, p);
		return;
	}
	if (pr->failures > 0) {
		base_log(G_LOG_LEVEL_MESSAGE, "store-regained",
		    "question=%s failures=%d", part_names[pr->part],
		    pr->failures);
		pr->failures = 0;
	}
	if (r->helping) {
		r->helping = 0;
		http_timer_set(r->parts[PLATFORM_TARGETS].timer, 0);
	}
	platform_page_set_copied(p, !pr->is_watch && !pr->list_settled);
	r->calls.items(r->calls.arg, p);
	if (!pr->is_watch)
		on_list(pr, p);
	else if (r->watching)
		on_changes(pr, p);
	r->calls.answered(r->calls.arg, pr->part);
}
