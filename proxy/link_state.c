/* What nodes tell each other of the platform: whole states, and news. */
#include "link_int.h"

static void write_feed(struct link *, const char *, size_t, int);

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

	if (s->give != NULL)
		s->give(s->arg, text);
	f.body_case = LINK__FRAME__BODY_STATE;
	f.state = &st;
	st.state.data = (uint8_t *)text->str;
	st.state.len = text->len;
	if (text->len > 0)
		link_write(l, &f);
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
	if (ls->feeder != NULL)
		link_write(ls->feeder, &f);
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

/* The other end asks for news, which begin with the whole state. */
void
link_subscribed(struct link *l, int on)
{
	const struct proxy_state *s = &l->links->proxy->state;
	GString *text = g_string_new(NULL);

	l->subscriber = on;
	if (on && s->give != NULL)
		s->give(s->arg, text);
	if (text->len > 0)
		write_feed(l, text->str, text->len, 0);
	g_string_free(text, TRUE);
}

static void
write_feed(struct link *l, const char *state, size_t len, int blind)
{
	Link__Frame f = LINK__FRAME__INIT;
	Link__Feed feed = LINK__FEED__INIT;

	f.body_case = LINK__FRAME__BODY_FEED;
	f.feed = &feed;
	feed.state.data = (uint8_t *)state;
	feed.state.len = len;
	feed.blind = blind;
	link_write(l, &f);
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

/* Tells them. */
void
links_feed(struct links *ls, const char *state, size_t len, int blind)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, ls->in);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (((struct link *)value)->subscriber)
			write_feed(value, state, len, blind);
}
