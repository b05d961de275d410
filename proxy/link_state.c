/* What nodes tell each other of the platform: whole states, and news. */
#include "link_int.h"

/* News as they are written. */
struct told {
	GBytes *small; /* compressed, or NULL when there are none */
	size_t full;   /* bytes when expanded */
	uint64_t base, number;
	int blind;
};

static void write_feed(struct link *, const struct told *);

/* Asks a node for its state. */
void
links_ask_state(struct links *ls, const char *addr)
{
	Link__Frame f = LINK__FRAME__INIT;
	Link__StateRequest q = LINK__STATE_REQUEST__INIT;
	struct link *l = link_to(ls, addr);

	if (l == NULL)
		return;
	f.body_case = LINK__FRAME__BODY_STATE_REQUEST;
	f.state_request = &q;
	link_write(l, &f);
}

/* Tells what is held here, if anything is. */
void
link_give_state(struct link *l)
{
	const struct proxy_state *s = &l->links->proxy->state;
	Link__Frame f = LINK__FRAME__INIT;
	Link__State st = LINK__STATE__INIT;
	GString *text = g_string_new(NULL);
	GBytes *small;
	gsize len;

	if (s->give != NULL)
		s->give(s->arg, text);
	f.body_case = LINK__FRAME__BODY_STATE;
	f.state = &st;
	st.length = (uint32_t)text->len;
	if (text->len > 0 &&
	    (small = feed_shrink(text->str, text->len, NULL)) != NULL) {
		st.state.data = (uint8_t *)g_bytes_get_data(small, &len);
		st.state.len = g_bytes_get_size(small);
		link_write(l, &f);
		g_bytes_unref(small);
	}
	g_string_free(text, TRUE);
}

/* Asks a node for news instead of the one that was asked before. */
void
links_subscribe(struct links *ls, const char *addr)
{
	Link__Frame f = LINK__FRAME__INIT;
	Link__Subscribe q = LINK__SUBSCRIBE__INIT;

	f.body_case = LINK__FRAME__BODY_SUBSCRIBE;
	f.subscribe = &q;
	if (ls->feeder != NULL)
		link_write(ls->feeder, &f);
	ls->feeder = addr != NULL ? link_to(ls, addr) : NULL;
	q.on = 1;
	if (ls->feeder != NULL) {
		link_write(ls->feeder, &f);
		link_tell_all(ls->feeder, 1);
	}
}

/* A link ends. */
void
link_unfed(struct link *l)
{
	const struct proxy_state *s = &l->links->proxy->state;

	if (l->links->feeder != l)
		return;
	l->links->feeder = NULL;
	if (s->unfed != NULL)
		s->unfed(s->arg);
}

/* Another node told what it holds. */
void
link_take_state(struct link *l, const Link__State *st)
{
	const struct proxy_state *s = &l->links->proxy->state;
	GBytes *full;

	full = feed_expand(st->state.data, st->state.len, st->length, NULL);
	if (full == NULL) {
		base_log(G_LOG_LEVEL_WARNING, "peer-state", "unreadable");
		return;
	}
	if (s->take != NULL)
		s->take(s->arg, g_bytes_get_data(full, NULL),
		    g_bytes_get_size(full));
	g_bytes_unref(full);
}

/* The feeder told news; those that cannot be read are asked for anew. */
void
link_fed(struct link *l, const Link__Feed *feed)
{
	const struct proxy_state *s = &l->links->proxy->state;
	struct proxy_news news = { .age_ms = (int64_t)feed->age_ms,
		.blind = feed->blind };
	GBytes *full = NULL;

	if (feed->length > 0) {
		if (feed->against == 0 || feed->against == l->base_number)
			full = feed_expand(feed->state.data, feed->state.len,
			    feed->length, feed->against != 0 ? l->base : NULL);
		if (full == NULL) {
			base_log(G_LOG_LEVEL_WARNING, "feed",
			    "unreadable base=%" G_GUINT64_FORMAT,
			    feed->against);
			link_unfed(l);
			return;
		}
	}
	if (feed->number != 0) {
		if (l->base != NULL)
			g_bytes_unref(l->base);
		l->base = g_bytes_ref(full);
		l->base_number = feed->number;
	}
	if (full != NULL) {
		news.state = g_bytes_get_data(full, NULL);
		news.len = g_bytes_get_size(full);
	}
	if (s->fed != NULL)
		s->fed(s->arg, &news);
	if (full != NULL)
		g_bytes_unref(full);
}

/* Writes news to those whose base is the one they are compressed against. */
static void
write_feed(struct link *l, const struct told *t)
{
	Link__Frame f = LINK__FRAME__INIT;
	Link__Feed feed = LINK__FEED__INIT;

	f.body_case = LINK__FRAME__BODY_FEED;
	f.feed = &feed;
	feed.blind = t->blind;
	feed.age_ms =
	    (uint64_t)(base_now_ms() - l->links->proxy->view->known_at);
	feed.length = (uint32_t)t->full;
	feed.against = t->base;
	feed.number = t->number;
	if (t->small != NULL) {
		feed.state.data = (uint8_t *)g_bytes_get_data(t->small, NULL);
		feed.state.len = g_bytes_get_size(t->small);
	}
	if (t->number != 0)
		l->base_number = t->number;
	link_write(l, &f);
}

/* The other end asks for news, which begin with the whole state. */
void
link_subscribed(struct link *l, int on)
{
	const struct proxy_state *s = &l->links->proxy->state;
	GString *text = g_string_new(NULL);
	struct told t = { 0 };

	l->subscriber = on;
	l->base_number = 0;
	if (on && s->give != NULL)
		s->give(s->arg, text);
	if (text->len > 0) {
		t.full = text->len;
		t.small = feed_shrink(text->str, text->len, NULL);
		write_feed(l, &t);
		g_bytes_unref(t.small);
	}
	g_string_free(text, TRUE);
	if (on)
		link_tell_all(l, 1);
}

/* Nodes that asked for news. */
int
links_subscribers(const struct links *ls)
{
	GHashTableIter it;
	gpointer value;
	int n = 0;

	g_hash_table_iter_init(&it, ls->in);
	while (g_hash_table_iter_next(&it, NULL, &value))
		n += ((struct link *)value)->subscriber;
	return n;
}

/* Tells them: in few bytes those who hold the base, whole the others. */
void
links_feed(struct links *ls, const char *state, size_t len, int blind)
{
	struct told whole = { .blind = blind }, change = { .blind = blind };
	uint64_t next = 0;
	struct link *l;
	GHashTableIter it;
	gpointer value;

	if (feed_is_base(len))
		next = ls->base_number + 1;
	whole.full = change.full = len;
	whole.number = change.number = next;
	change.base = ls->base_number;
	g_hash_table_iter_init(&it, ls->in);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		l = value;
		if (!l->subscriber)
			continue;
		if (len > 0 && ls->base != NULL &&
		    l->base_number == ls->base_number) {
			if (change.small == NULL)
				change.small =
				    feed_shrink(state, len, ls->base);
			write_feed(l, &change);
		} else {
			if (len > 0 && whole.small == NULL)
				whole.small = feed_shrink(state, len, NULL);
			write_feed(l, &whole);
		}
	}
	if (whole.small != NULL)
		g_bytes_unref(whole.small);
	if (change.small != NULL)
		g_bytes_unref(change.small);
	if (next == 0)
		return;
	if (ls->base != NULL)
		g_bytes_unref(ls->base);
	ls->base = g_bytes_new(state, len);
	ls->base_number = next;
}
