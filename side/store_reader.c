/*
 * Reads the platform's store.  Its two parts are listed and then watched, each
 * on a connection of its own.  The watch of the operators' part is renewed at
 * once.  The watch of the targets is renewed after a pause, as each report of
 * a target is a change.
 */
#include <string.h>

#include "follow_int.h"

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
	int helping;	 /* reads for another node, and no answer arrived yet */
	int awaited;	 /* a list decides whether an item was removed */
	int transfer_ms; /* of a configuration on the VM's link */
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
static int is_era_settled(const struct store_reader *);
static int64_t relist_wait_ms(const struct part_reader *, int64_t);

/* Creates a reader and lists both parts at once; the lists may be stale. */
struct store_reader *
store_reader_new(struct event_base *base, const char *store, int report_ms,
    const struct store_reader_calls *calls)
{
	struct store_reader *r = g_new0(struct store_reader, 1);
	struct part_reader *pr;
	size_t i;

	r->base = base;
	r->calls = *calls;
	settle_init(&r->settle, base_now_ms());
	settle_set_interval(&r->settle, report_ms);
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
	delay = nwatchers > 0
		    ? g_random_int_range(0, (int)pause_max_ms(nwatchers, 0) / 2)
		    : 0;
	if (r->watching == on)
		return;
	base_log(G_LOG_LEVEL_MESSAGE, "reader", "watches=%d", on);
	r->watching = on;
	r->helping = helping;
	if (on)
		r->period++;
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

/* A removal is to be decided, so failures are retried sooner. */
void
store_reader_await_targets(struct store_reader *r)
{
	r->parts[PLATFORM_TARGETS].relist_due = 1;
	r->awaited = 1;
}

/* An answer that another node got shows that the store was not away. */
void
store_reader_saw_answer(struct store_reader *r, int64_t at)
{
	settle_answered(&r->settle, at);
}

/* The interval decides how long an outage must be to expire entries. */
void
store_reader_set_interval(struct store_reader *r, int report_ms)
{
	settle_set_interval(&r->settle, report_ms);
}

/* Watches end earlier by as much. */
void
store_reader_set_transfer(struct store_reader *r, int ms)
{
	r->transfer_ms = ms;
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

/* Whether what a restore lost has been written again, too. */
static int
is_era_settled(const struct store_reader *r)
{
	int64_t now = base_now_ms();

	return r->era_since != 0 && settle_is_complete(&r->settle, now) &&
	       now >= settle_era_at(&r->settle, r->era_since);
}

/* Time until a part is to be listed again, at most max; in ms. */
static int64_t
relist_wait_ms(const struct part_reader *pr, int64_t max)
{
	const struct store_reader *r = pr->reader;
	int64_t at = r->awaited ? settle_all_at(&r->settle, r->era_since)
				: settle_calm_at(&r->settle, r->era_since);

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
		http_timer_set(pr->timer, pause_min_ms());
		return;
	}
	if (pr->relist_due && pr->list_after == NULL && r->era_since != 0 &&
	    relist_wait_ms(pr, 1) == 0) {
		pr->relist_due = 0;
		pr->has_list = 0;
		if (pr->part == PLATFORM_TARGETS)
			r->awaited = 0;
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
		    (int)relist_wait_ms(pr,
			pause_watch_ms(pr->part, pr->paused, r->transfer_ms)),
		    on_page, pr);
	else
		platform_list(pr->store, pr->part, pr->list_after, !r->watching,
		    on_page, pr);
}

/* Records that a request sent at asked_at failed: the VM may be cut off. */
static void
note_failure(struct store_reader *r, int64_t asked_at)
{
	settle_failed(&r->settle, asked_at);
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
	settle_begin(&r->settle, r->era_since);
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
	struct pause pause = { pr->failures, err, r->helping,
		pause_max_ms(r->nwatchers, r->awaited), p->retry_after_ms };

	if (pr->failures == 0)
		base_log(G_LOG_LEVEL_MESSAGE, "store-lost",
		    "question=%s error=%d", part_names[pr->part], err);
	note_failure(r, pr->asked_at);
	if (err == PLATFORM_ECOMPACTED)
		pr->has_list = 0;
	g_clear_pointer(&pr->list_after, g_free);
	pr->failures++;
	r->calls.failed(r->calls.arg);
	/* A node that has received its state from another does not retry. */
	if (!r->watching && !r->calls.is_needed(r->calls.arg)) {
		pr->suspended = 1;
		return;
	}
	http_timer_set(pr->timer, pause_next_ms(&pause));
}

/* A page of a list arrived; the last one completes it. */
static void
on_list(struct part_reader *pr, const struct platform_page *p)
{
	struct store_reader *r = pr->reader;
	const struct platform_item *it;
	struct store_list list;
	int64_t now = base_now_ms();
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
	list =
	    (struct store_list){ pr->part, pr->listed_names, pr->list_revision,
		    r->watching && (pr->part == PLATFORM_OPERATORS ||
				       settle_is_complete(&r->settle, now)),
		    settle_is_own_complete(&r->settle, now), pr->list_settled };
	pr->relist_due |= !list.exact;
	r->calls.listed(r->calls.arg, &list);
	if (!r->watching)
		return;
	pr->has_list = 1;
	pr->synced_at = now;
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
	    pr->timer, pr->paused ? relist_wait_ms(pr, PAUSE_TARGETS_MS) : 0);
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
	if (err == PLATFORM_OK && p->as_of.era >= r->era)
		settle_own_answered(&r->settle, base_now_ms());
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
