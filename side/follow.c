/*
 * Applies items of the store, read by this node or received from another, to
 * the node's view, and publishes them to its subscribers.  Items are also held
 * as they were read, to be sent to nodes that subscribe or ask for them.
 */
#include <string.h>

#include "follow_int.h"

#define BOOTSTRAP_MS 150  /* without state, until a peer is asked for it */
#define ANSWERS_MAX  1024 /* readers whose newest answers are remembered */

static void on_items(void *, const struct platform_page *);
static void on_listed(void *, const struct store_list *);
static void on_failed(void *);
static void on_answered(void *, enum platform_part);
static int is_needed(void *);
static int apply_item(struct follow *, const struct platform_item *);
static int apply_target(struct follow *, const struct platform_item *);
static int has_config(const struct follow *);
static void apply_page(struct follow *, const struct platform_page *, int);
static void remove_missing(struct follow *, const struct store_list *);
static void apply_state(void *, const char *, size_t);
static void on_published(void *, enum proxy_slot, const struct proxy_update *);
static void on_publisher_lost(void *, enum proxy_slot);
static void on_subscribed(void *);
static int needs_state(const struct follow *);
static void on_bootstrap(evutil_socket_t, short, void *);

/* Starts the reader, the choice of a publisher and the bootstrap timer. */
struct follow *
follow_start(struct event_base *base, const struct side_settings *s,
    struct view *v, struct proxy *p)
{
	struct follow *f = g_new0(struct follow, 1);
	struct timeval tv = { 0, BOOTSTRAP_MS * 1000L };
	struct store_reader_calls calls = { f, on_items, on_listed, on_failed,
		on_answered, is_needed };
	struct proxy_state_calls state = { f, held_list, held_list_bases,
		held_write, apply_state, on_published, on_publisher_lost,
		on_subscribed };

	f->base = base;
	f->settings = s;
	f->view = v;
	f->proxy = p;
	f->store = g_strdup(s->store);
	f->held = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, platform_item_free);
	f->unparsed =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	f->answers =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	f->reader_id =
	    (uint64_t)g_random_int() << 32 | (uint64_t)g_random_int();
	proxy_set_state(p, &state);
	f->bootstrap_timer = evtimer_new(base, on_bootstrap, f);
	evtimer_add(f->bootstrap_timer, &tv);
	config_apply_start(f);
	f->reader = store_reader_new(base, s->store, s->beat_ms, &calls);
	feed_start(f);
	return f;
}

/* Stops the reader and the timers, and releases the follower. */
void
follow_stop(struct follow *f)
{
	proxy_set_state(f->proxy, &(struct proxy_state_calls){ 0 });
	feed_stop(f);
	store_reader_free(f->reader);
	config_apply_stop(f);
	held_clear_bases(f);
	g_hash_table_destroy(f->held);
	g_hash_table_destroy(f->unparsed);
	g_hash_table_destroy(f->answers);
	event_free(f->bootstrap_timer);
	g_free(f->store);
	g_free(f);
}

/* Switches to another store if its address has changed. */
void
follow_settings_changed(struct follow *f)
{
	store_reader_set_interval(f->reader, f->settings->beat_ms);
	if (strcmp(f->store, f->settings->store) == 0)
		return;
	g_free(f->store);
	f->store = g_strdup(f->settings->store);
	store_reader_set_store(f->reader, f->store);
}

/* Unsubscribes all subscribers; from now on each message does so. */
void
follow_drain(struct follow *f)
{
	f->draining = 1;
	feed_publish_age(f, base_now_ms());
}

/* ---- applying items ---- */

/* Applies an entry; a malformed one removes its target.  1: to be published. */
static int
apply_target(struct follow *f, const struct platform_item *it)
{
	struct view_target t;

	if (it->value == NULL) {
		g_hash_table_remove(f->unparsed, it->name);
		if (!view_remove_target(f->view, it->name))
			return 0;
		base_log(G_LOG_LEVEL_MESSAGE, "target-removed",
		    "id=%s era=%" G_GUINT64_FORMAT
		    " revision=%" G_GUINT64_FORMAT,
		    it->name, it->revision.era, it->revision.number);
		return 1;
	}
	if (platform_target_decode(it, &t) != PLATFORM_OK) {
		/* Each report rewrites the entry: log only the first time. */
		if (g_hash_table_add(f->unparsed, g_strdup(it->name))) {
			counter_add(CTR_SOURCE_UNPARSED, 1);
			base_log(G_LOG_LEVEL_WARNING, "target-unusable",
			    "id=%s era=%" G_GUINT64_FORMAT
			    " revision=%" G_GUINT64_FORMAT,
			    it->name, it->revision.era, it->revision.number);
		}
		return view_remove_target(f->view, it->name);
	}
	g_hash_table_remove(f->unparsed, it->name);
	if (!view_set_target(f->view, &t))
		return t.cold_ms > 0;
	base_log(G_LOG_LEVEL_MESSAGE, "target",
	    "id=%s service=%s addr=%s state=%d slots=%d cold_ms=%d "
	    "era=%" G_GUINT64_FORMAT " revision=%" G_GUINT64_FORMAT,
	    t.id, t.service, t.addr, t.state, t.slots, t.cold_ms,
	    t.revision.era, t.revision.number);
	return 1;
}

/* Applies an item to the view; returns 1 if it has to be published. */
static int
apply_item(struct follow *f, const struct platform_item *it)
{
	if (it->kind == PLATFORM_OTHER || follow_hold(f, it) != ITEM_NEWER)
		return 0;
	switch (it->kind) {
	case PLATFORM_CONFIG:
		/* Published at once, as each node decides for itself. */
		if (it->value != NULL)
			config_apply_add(f, it);
		return it->value != NULL;
	case PLATFORM_EVACUATION:
		if (!view_set_out(f->view, it->name, it->value != NULL))
			return 0;
		base_log(G_LOG_LEVEL_MESSAGE, "data-centre",
		    "name=%s out=%d era=%" G_GUINT64_FORMAT
		    " revision=%" G_GUINT64_FORMAT,
		    it->name, it->value != NULL, it->revision.era,
		    it->revision.number);
		return 1;
	case PLATFORM_TARGET:
		return apply_target(f, it);
	case PLATFORM_OTHER:
		break;
	}
	return 0;
}

/* Whether a configuration is in force or will be. */
static int
has_config(const struct follow *f)
{
	return f->view->config != NULL || config_apply_is_pending(f);
}

/* Applies items and publishes the changes; from_node: a node sent them. */
static void
apply_page(struct follow *f, const struct platform_page *p, int from_node)
{
	GPtrArray *changed = g_ptr_array_new();
	struct platform_item *it;
	int is_new_era = p->as_of.era > f->held_revision.era;
	int had_config = has_config(f);
	GString *text;
	guint i;

	if (is_new_era)
		f->held_revision = p->as_of;
	for (i = 0; i < p->items->len; i++) {
		it = &g_array_index(p->items, struct platform_item, i);
		if (from_node && it->value == NULL && verify_is_own(f, it)) {
			/* Published, but not applied until it is verified. */
			if (follow_order(f, it) != ITEM_NEWER)
				continue;
			g_ptr_array_add(changed, it);
			verify_begin(f, it);
		} else if (apply_item(f, it)) {
			verify_on_applied(f, it);
			/* Subscribers may hold an earlier report. */
			it->removed = follow_removed(f, it);
			g_ptr_array_add(changed, it);
			/* The restored store may lack it. */
			if (from_node &&
			    it->revision.era < f->held_revision.era)
				store_reader_recheck(f->reader);
		}
	}
	/* Those that subscribed earlier were told nothing. */
	if (!had_config && has_config(f))
		held_list_items(f, changed);
	/* The era alone tells subscribers that the store was restored. */
	if (changed->len > 0 || is_new_era) {
		text = g_string_new(NULL);
		state_pack(changed, p->as_of, text);
		proxy_publish(f->proxy, text->str, text->len, 0);
		g_string_free(text, TRUE);
	}
	g_ptr_array_free(changed, TRUE);
}

/* Reader callback: items of a list or a watch arrived. */
static void
on_items(void *arg, const struct platform_page *p)
{
	struct follow *f = arg;

	apply_page(f, p, 0);
	proxy_view_changed(f->proxy);
}

/* Removes held items that a complete list lacks. */
static void
remove_missing(struct follow *f, const struct store_list *list)
{
	struct platform_page p;

	platform_page_init(&p);
	p.as_of = list->as_of;
	if (follow_add_missing(f, list, p.items))
		store_reader_await_targets(f->reader);
	apply_page(f, &p, 0);
	platform_page_clear(&p);
}

/* Reader callback: a list was read; one that is not exact removes nothing. */
static void
on_listed(void *arg, const struct store_list *list)
{
	struct follow *f = arg;

	if (list->exact)
		remove_missing(f, list);
	if (follow_is_unsettled(f, list))
		store_reader_recheck(f->reader);
	verify_on_listed(f, list);
	if (list->part == PLATFORM_TARGETS &&
	    view_revision_compare(list->as_of, f->view->listed_revision) > 0)
		f->view->listed_revision = list->as_of;
	proxy_view_changed(f->proxy);
}

/* Reader callback: a request failed; reported only once the view is stale. */
static void
on_failed(void *arg)
{
	struct follow *f = arg;

	if (store_reader_is_watching(f->reader) && follow_is_stale(f))
		proxy_store_lost(f->proxy);
}

/* Reader callback: a request succeeded, which may advance synced_at. */
static void
on_answered(void *arg, enum platform_part part)
{
	struct follow *f = arg;

	if (store_reader_synced_at(f->reader) > f->answered_at) {
		f->answered_at = store_reader_synced_at(f->reader);
		follow_record_answer(
		    f, f->answered_at, f->reader_id, ++f->answer_seq);
	}
	if (part == PLATFORM_TARGETS && store_reader_is_watching(f->reader))
		proxy_target_reported(f->proxy);
}

/* Reader callback: whether a failed first list has to be retried. */
static int
is_needed(void *arg)
{
	return needs_state(arg);
}

/* ---- state sent between nodes ---- */

/* Applies the items that another node has sent. */
static void
apply_state(void *arg, const char *text, size_t len)
{
	struct follow *f = arg;
	struct platform_page p;

	if (state_unpack(text, len, &p) != PLATFORM_OK) {
		base_log(G_LOG_LEVEL_WARNING, "peer-state", "unreadable");
		return;
	}
	base_log(G_LOG_LEVEL_DEBUG, "peer-state",
	    "items=%u era=%" G_GUINT64_FORMAT " as_of=%" G_GUINT64_FORMAT,
	    p.items->len, p.as_of.era, p.as_of.number);
	store_reader_saw_era(f->reader, p.as_of.era);
	apply_page(f, &p, 1);
	if (f->view->listed_revision.number == 0)
		f->view->listed_revision = p.as_of;
	platform_page_clear(&p);
	proxy_view_changed(f->proxy);
}

/* A publisher sent an update: items, or only the age of its view. */
static void
on_published(void *arg, enum proxy_slot slot, const struct proxy_update *u)
{
	struct follow *f = arg;
	int is_new;

	if (u->len > 0)
		apply_state(f, u->state, u->len);
	if (slot == PROXY_SLOT_PUBLISHER)
		feed_on_update(f, u);
	else if (slot == PROXY_SLOT_FIRST)
		feed_on_first_update(f, u);
	is_new = follow_record_answer(
	    f, base_now_ms() - u->age_ms, u->reader, u->answer);
	if (slot >= PROXY_SLOT_BACKUP)
		relay_on_update(f, slot, u, is_new);
}

/* The link to the node in a slot was lost. */
static void
on_publisher_lost(void *arg, enum proxy_slot slot)
{
	if (slot == PROXY_SLOT_PUBLISHER)
		feed_on_lost(arg);
	else if (slot == PROXY_SLOT_FIRST)
		feed_on_first_lost(arg);
	else
		relay_on_lost(arg, slot);
}

/* Another node subscribed: this one may have to read the store now. */
static void
on_subscribed(void *arg)
{
	feed_check_now(arg);
}

/*
 * Advances synced_at to the time (ms) of an answer of the store to a reader, or
 * returns 0 if the answer was recorded before.  The age that nodes send
 * excludes the time in transit: an answer recorded twice would seem later with
 * each hop, and stay fresh among nodes that are subscribed in a circle.
 */
int
follow_record_answer(
    struct follow *f, int64_t at, uint64_t reader, uint64_t answer)
{
	const uint64_t *newest = g_hash_table_lookup(f->answers, &reader);

	if (answer == 0 || (newest != NULL && *newest >= answer))
		return 0;
	/* Drops all, as there is no telling which readers have stopped. */
	if (g_hash_table_size(f->answers) > ANSWERS_MAX)
		g_hash_table_remove_all(f->answers);
	g_hash_table_replace(f->answers, g_memdup2(&reader, sizeof(reader)),
	    g_memdup2(&answer, sizeof(answer)));
	store_reader_saw_answer(f->reader, at);
	if (at > f->view->synced_at) {
		f->view->synced_at = at;
		f->view->synced_reader = reader;
		f->view->synced_answer = answer;
		feed_on_synced(f);
	}
	return 1;
}

/* Whether the view is older than usual, so that changes may be missing. */
int
follow_is_stale(const struct follow *f)
{
	return base_now_ms() - f->view->synced_at > FOLLOW_STALE_MS;
}

/* Whether the configuration or the list of targets is still missing. */
static int
needs_state(const struct follow *f)
{
	return f->view->config == NULL || f->view->listed_revision.number == 0;
}

/* Asks the peers in turn until the configuration and targets are there. */
static void
on_bootstrap(evutil_socket_t fd, short what, void *arg)
{
	struct timeval tv = { 0, 2 * BOOTSTRAP_MS * 1000L };
	struct follow *f = arg;
	char **peers = f->settings->peers;

	(void)fd;
	(void)what;
	if (peers == NULL || peers[0] == NULL || !needs_state(f))
		return;
	if (peers[f->next_peer] == NULL)
		f->next_peer = 0;
	proxy_request_state(f->proxy, peers[f->next_peer++]);
	evtimer_add(f->bootstrap_timer, &tv);
}
