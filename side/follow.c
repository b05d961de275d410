/*
 * What a node believes of the platform: taken from the store or from a node
 * that reads it, kept as it was read for those that ask.
 */
#include <string.h>

#include "follow_int.h"

#define DARK_MS	    150	 /* without a word of the store: a node is asked */
#define READERS_MAX 1024 /* whose newest answers are remembered */
#define VERIFY_MS \
	3000 /* for reading what another node told; calls take 1.5 s */

static void on_items(void *, const struct platform_page *);
static void on_listed(void *, enum platform_part, GHashTable *, uint64_t, int);
static void on_lost(void *);
static void on_alive(void *, enum platform_part);
static int is_needed(void *);
static int take(struct follow *, const struct platform_item *);
static const char *first_problem(const struct report *, int);
static int take_config(struct follow *, const struct platform_item *);
static int take_target(struct follow *, const struct platform_item *);
static int is_newer(const struct follow *, const struct platform_item *);
static int hold(struct follow *, const struct platform_item *);
static void take_page(struct follow *, const struct platform_page *, int);
static int is_own_removal(struct follow *, const struct platform_item *);
static void
drop_missing(struct follow *, enum platform_part, GHashTable *, uint64_t);
static void give_state(void *, GString *);
static void take_state(void *, const char *, size_t);
static void on_published(void *, enum proxy_slot, const struct proxy_news *);
static void on_publisher_lost(void *, enum proxy_slot);
static void on_subscribed(void *);
static int is_dark(const struct follow *);
static void on_dark(evutil_socket_t, short, void *);

/* Starts to follow. */
struct follow *
follow_start(struct event_base *base, const struct side_settings *s,
    struct view *v, struct proxy *p)
{
	struct follow *f = g_new0(struct follow, 1);
	struct timeval tv = { 0, DARK_MS * 1000L };
	struct reader_calls calls = { f, on_items, on_listed, on_lost, on_alive,
		is_needed };
	struct proxy_state state = { f, give_state, take_state, on_published,
		on_publisher_lost, on_subscribed };

	f->base = base;
	f->settings = s;
	f->view = v;
	f->proxy = p;
	f->store = g_strdup(s->store);
	f->held = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, platform_item_free);
	f->unread =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	f->answers =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	f->reader_id =
	    (uint64_t)g_random_int() << 32 | (uint64_t)g_random_int();
	proxy_set_state(p, &state);
	f->dark = evtimer_new(base, on_dark, f);
	evtimer_add(f->dark, &tv);
	f->reader = store_reader_new(base, s->store, &calls);
	feed_start(f);
	return f;
}

/* Stops. */
void
follow_stop(struct follow *f)
{
	proxy_set_state(f->proxy, &(struct proxy_state){ 0 });
	feed_stop(f);
	store_reader_free(f->reader);
	g_hash_table_destroy(f->held);
	g_hash_table_destroy(f->unread);
	g_hash_table_destroy(f->answers);
	event_free(f->dark);
	g_free(f->store);
	g_free(f);
}

/* Takes changed settings over. */
void
follow_settings_changed(struct follow *f)
{
	if (strcmp(f->store, f->settings->store) == 0)
		return;
	g_free(f->store);
	f->store = g_strdup(f->settings->store);
	store_reader_move(f->reader, f->store);
}

/* The node leaves. */
void
follow_leave(struct follow *f)
{
	f->leaving = 1;
	feed_tell(f, base_now_ms());
}

/* ---- taking what was read ---- */

/* Whether nothing as new is held under an item's key. */
static int
is_newer(const struct follow *f, const struct platform_item *it)
{
	const struct platform_item *old;
	char *key = platform_item_key(it);

	old = g_hash_table_lookup(f->held, key);
	g_free(key);
	return old == NULL || old->revision < it->revision;
}

/* Keeps an item as it was read; 0 when something newer is held. */
static int
hold(struct follow *f, const struct platform_item *it)
{
	if (!is_newer(f, it))
		return 0;
	f->held_at = MAX(f->held_at, it->revision);
	/* A removal is held as well: another node may tell of what was before.
	 */
	g_hash_table_replace(
	    f->held, platform_item_key(it), platform_item_copy(it));
	return 1;
}

/* Message of a report's first error, or of its first warning. */
static const char *
first_problem(const struct report *rep, int warning)
{
	const struct report_entry *e;
	guint i;

	for (i = 0; i < rep->entries->len; i++) {
		e = g_ptr_array_index(rep->entries, i);
		if (e->warning == warning)
			return e->message;
	}
	return "-";
}

/* Takes a newer configuration, if it can be accepted. */
static int
take_config(struct follow *f, const struct platform_item *it)
{
	struct report *rep = report_new();
	struct view_config *c;
	uint64_t version;
	int taken = 0;

	if ((c = platform_config_decode(it->value, rep)) == NULL) {
		counter_add(CTR_REJECTED, 1);
		base_log(G_LOG_LEVEL_WARNING, "config-rejected",
		    "revision=%" G_GUINT64_FORMAT " errors=%d first=\"%s\"",
		    it->revision, rep->errors, first_problem(rep, 0));
	} else {
		version = c->version;
		taken = view_take_config(f->view, c) == VIEW_OK;
	}
	if (taken) {
		counter_add(CTR_APPLIED, 1);
		base_log(G_LOG_LEVEL_MESSAGE, "config-accepted",
		    "version=%" G_GUINT64_FORMAT " revision=%" G_GUINT64_FORMAT
		    " routes=%d",
		    version, it->revision, f->view->config->nroutes);
	}
	if (taken && rep->warnings > 0) {
		counter_add(CTR_UNREAD, rep->warnings);
		base_log(G_LOG_LEVEL_WARNING, "config-unread",
		    "version=%" G_GUINT64_FORMAT " parts=%d first=\"%s\"",
		    version, rep->warnings, first_problem(rep, 1));
	}
	report_free(rep);
	return taken;
}

/* Takes a target's entry; 1 when others need to hear of it. */
static int
take_target(struct follow *f, const struct platform_item *it)
{
	struct view_target t;

	if (it->value == NULL) {
		g_hash_table_remove(f->unread, it->name);
		return view_drop_target(f->view, it->name, it->revision);
	}
	if (platform_target_decode(it, &t) != PLATFORM_OK) {
		/* It is written again with each report; one line is enough. */
		if (g_hash_table_add(f->unread, g_strdup(it->name))) {
			counter_add(CTR_UNREAD, 1);
			base_log(G_LOG_LEVEL_WARNING, "target-unusable",
			    "id=%s revision=%" G_GUINT64_FORMAT, it->name,
			    it->revision);
		}
		return view_drop_target(f->view, it->name, it->revision);
	}
	g_hash_table_remove(f->unread, it->name);
	if (!view_take_target(f->view, &t))
		return t.cold_ms > 0;
	base_log(G_LOG_LEVEL_MESSAGE, "target",
	    "id=%s service=%s addr=%s state=%d slots=%d cold_ms=%d "
	    "revision=%" G_GUINT64_FORMAT,
	    t.id, t.service, t.addr, t.state, t.slots, t.cold_ms, t.revision);
	return 1;
}

/* Takes one item into the view; 1 when others need to hear of it. */
static int
take(struct follow *f, const struct platform_item *it)
{
	if (it->kind == PLATFORM_OTHER || !hold(f, it))
		return 0;
	switch (it->kind) {
	case PLATFORM_CONFIG:
		return it->value != NULL && take_config(f, it);
	case PLATFORM_EVACUATION:
		if (!view_set_out(f->view, it->name, it->value != NULL))
			return 0;
		base_log(G_LOG_LEVEL_MESSAGE, "data-centre",
		    "name=%s out=%d revision=%" G_GUINT64_FORMAT, it->name,
		    it->value != NULL, it->revision);
		return 1;
	case PLATFORM_TARGET:
		return take_target(f, it);
	case PLATFORM_OTHER:
		break;
	}
	return 0;
}

/* Whether an item says that the own target is not listed any more. */
static int
is_own_removal(struct follow *f, const struct platform_item *it)
{
	return it->kind == PLATFORM_TARGET && it->value == NULL &&
	       strcmp(it->name, proxy_target_id(f->proxy)) == 0;
}

/* Takes items, and tells those who are fed of what changed. */
static void
take_page(struct follow *f, const struct platform_page *p, int told)
{
	GPtrArray *news = g_ptr_array_new();
	struct platform_item *it;
	GString *text;
	guint i;

	for (i = 0; i < p->items->len; i++) {
		it = &g_array_index(p->items, struct platform_item, i);
		if (told && is_own_removal(f, it)) {
			/* Others decide for themselves whether to believe it.
			 */
			if (is_newer(f, it))
				g_ptr_array_add(news, it);
			f->verify_until = base_now_ms() + VERIFY_MS;
		} else if (take(f, it)) {
			g_ptr_array_add(news, it);
		}
	}
	if (news->len > 0) {
		text = g_string_new(NULL);
		state_pack(news, p->as_of, text);
		proxy_publish(f->proxy, text->str, text->len, 0);
		g_string_free(text, TRUE);
	}
	g_ptr_array_free(news, TRUE);
}

/* ---- calls of the reader ---- */

static void
on_items(void *arg, const struct platform_page *p)
{
	struct follow *f = arg;

	take_page(f, p, 0);
	proxy_view_changed(f->proxy);
}

/* What a whole list does not name is gone, as by a removal at its revision. */
static void
drop_missing(struct follow *f, enum platform_part part, GHashTable *names,
    uint64_t as_of)
{
	enum platform_kind kind =
	    part == PLATFORM_TARGETS ? PLATFORM_TARGET : PLATFORM_EVACUATION;
	struct platform_page p = { .as_of = as_of };
	const struct platform_item *held;
	struct platform_item gone;
	GHashTableIter it;
	gpointer value;

	p.items = g_array_new(FALSE, FALSE, sizeof(gone));
	g_hash_table_iter_init(&it, f->held);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		held = value;
		if (held->kind != kind || held->value == NULL ||
		    held->revision > as_of ||
		    g_hash_table_contains(names, held->name))
			continue;
		gone = (struct platform_item){ kind, g_strdup(held->name), NULL,
			MAX(as_of, held->revision + 1) };
		g_array_append_val(p.items, gone);
	}
	take_page(f, &p, 0);
	while (p.items->len > 0) {
		g_free(g_array_index(p.items, struct platform_item, 0).name);
		g_array_remove_index_fast(p.items, 0);
	}
	g_array_free(p.items, TRUE);
}

static void
on_listed(void *arg, enum platform_part part, GHashTable *names, uint64_t as_of,
    int exact)
{
	struct follow *f = arg;

	if (exact)
		drop_missing(f, part, names, as_of);
	if (part == PLATFORM_TARGETS)
		f->view->listed_at = MAX(f->view->listed_at, as_of);
	proxy_view_changed(f->proxy);
}

static void
on_lost(void *arg)
{
	struct follow *f = arg;

	if (store_reader_watches(f->reader) && follow_is_stale(f))
		proxy_store_lost(f->proxy);
}

static void
on_alive(void *arg, enum platform_part part)
{
	struct follow *f = arg;

	if (store_reader_known_at(f->reader) > f->answered_at) {
		f->answered_at = store_reader_known_at(f->reader);
		follow_known(f, f->answered_at, f->reader_id, ++f->nanswers);
	}
	if (part == PLATFORM_TARGETS && store_reader_watches(f->reader))
		proxy_target_reported(f->proxy);
}

/* Whether this node still needs a list of its own. */
static int
is_needed(void *arg)
{
	return is_dark(arg);
}

/* ---- what nodes tell each other ---- */

/* Tells another node what is held here. */
static void
give_state(void *arg, GString *out)
{
	struct follow *f = arg;
	GPtrArray *items;
	GHashTableIter it;
	gpointer value;

	if (f->view->config == NULL)
		return;
	items = g_ptr_array_new();
	g_hash_table_iter_init(&it, f->held);
	while (g_hash_table_iter_next(&it, NULL, &value))
		g_ptr_array_add(items, value);
	state_pack(items, f->held_at, out);
	g_ptr_array_free(items, TRUE);
}

/* Another node told what it holds. */
static void
take_state(void *arg, const char *text, size_t len)
{
	struct follow *f = arg;
	struct platform_page p;

	if (state_unpack(text, len, &p) != PLATFORM_OK) {
		base_log(G_LOG_LEVEL_WARNING, "peer-state", "unreadable");
		return;
	}
	base_log(G_LOG_LEVEL_DEBUG, "peer-state",
	    "items=%u as_of=%" G_GUINT64_FORMAT, p.items->len, p.as_of);
	take_page(f, &p, 1);
	if (f->view->listed_at == 0)
		f->view->listed_at = p.as_of;
	platform_page_clear(&p);
	proxy_view_changed(f->proxy);
}

/* A node that this one is subscribed to told of news, or how old they are. */
static void
on_published(void *arg, enum proxy_slot slot, const struct proxy_news *n)
{
	struct follow *f = arg;
	int is_new;

	if (n->len > 0)
		take_state(f, n->state, n->len);
	if (slot == PROXY_PUBLISHER)
		feed_heard(f, n);
	is_new =
	    follow_known(f, base_now_ms() - n->age_ms, n->reader, n->answer);
	if (slot != PROXY_PUBLISHER)
		relay_heard(f, slot, n, is_new);
}

static void
on_publisher_lost(void *arg, enum proxy_slot slot)
{
	if (slot == PROXY_PUBLISHER)
		feed_lost(arg);
	else
		relay_lost(arg, slot);
}

/* Another node subscribed: it may be that this one has to read now. */
static void
on_subscribed(void *arg)
{
	feed_look_now(arg);
}

/*
 * All changes until then (ms) are held, by an answer that a reader had of the
 * store.  Each answer counts once: on its way it is taken for later than it
 * was, and among nodes that tell each other in a circle it would stay new.
 * Returns 0 for one that was known.
 */
int
follow_known(struct follow *f, int64_t at, uint64_t reader, uint64_t answer)
{
	const uint64_t *newest = g_hash_table_lookup(f->answers, &reader);

	if (answer == 0 || (newest != NULL && *newest >= answer))
		return 0;
	/* Readers that have ended are forgotten with the others. */
	if (g_hash_table_size(f->answers) > READERS_MAX)
		g_hash_table_remove_all(f->answers);
	g_hash_table_replace(f->answers, g_memdup2(&reader, sizeof(reader)),
	    g_memdup2(&answer, sizeof(answer)));
	if (at > f->view->known_at) {
		f->view->known_at = at;
		f->view->reader = reader;
		f->view->answer = answer;
		feed_known(f);
	}
	return 1;
}

/* Whether changes may have been missed for longer than is usual. */
int
follow_is_stale(const struct follow *f)
{
	return base_now_ms() - f->view->known_at > FOLLOW_STALE_MS;
}

/* Whether too little is known to serve. */
static int
is_dark(const struct follow *f)
{
	return f->view->config == NULL || f->view->listed_at == 0;
}

/* A node of the settings is asked, each in its turn, until enough is known. */
static void
on_dark(evutil_socket_t fd, short what, void *arg)
{
	struct timeval tv = { 0, 2 * DARK_MS * 1000L };
	struct follow *f = arg;
	char **peers = f->settings->peers;

	(void)fd;
	(void)what;
	if (peers == NULL || peers[0] == NULL || !is_dark(f))
		return;
	if (peers[f->next_peer] == NULL)
		f->next_peer = 0;
	proxy_ask_state(f->proxy, peers[f->next_peer++]);
	evtimer_add(f->dark, &tv);
}
