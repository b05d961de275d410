/* Exchange of the platform's state: whole states on request, and updates. */
#include "link_int.h"

/* An update that is ready to be written to subscribers. */
struct feed_update {
	GBytes *compressed; /* state, or NULL for the staleness alone */
	size_t length;	    /* bytes of the state when expanded */
	uint64_t number;    /* as a base of later updates, or 0 */
	int unsubscribe;
};

static GArray *list_held(struct links *);
static enum proxy_subscription subscription_kind(const Link__Subscribe *);
static void
write_state(struct links *, const uint64_t *held, size_t n, GString *);
static void set_base(struct link *, uint64_t, GBytes *);
static void clear_bases(GArray *);
static GArray *list_bases(struct links *);
static void share_base(struct link *, const Link__Subscribe *);
static GBytes *find_base(const struct link *, uint64_t);
static GBytes *compress_once(GHashTable *, const char *, size_t, GBytes *);
static void write_feed(struct link *, const struct feed_update *);

/* Lists the digests of this node's items. */
static GArray *
list_held(struct links *ls)
{
	const struct proxy_state_calls *s = &ls->proxy->state;
	GArray *held = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	if (s->list_held != NULL)
		s->list_held(s->arg, held);
	return held;
}

/* Appends the items of this node that a peer with these digests lacks. */
static void
write_state(struct links *ls, const uint64_t *held, size_t n, GString *out)
{
	const struct proxy_state_calls *s = &ls->proxy->state;

	if (s->write_state != NULL)
		s->write_state(s->arg, &(struct proxy_held){ held, n }, out);
}

/* ---- bases of updates ---- */

/* Sets the base that both ends have, and takes a reference; NULL: none. */
static void
set_base(struct link *l, uint64_t number, GBytes *base)
{
	GBytes *old = l->base;

	l->base = base != NULL ? g_bytes_ref(base) : NULL;
	l->base_number = base != NULL ? number : 0;
	if (old != NULL)
		g_bytes_unref(old);
}

/* Releases a list of bases, which may be NULL. */
static void
clear_bases(GArray *bases)
{
	guint i;

	if (bases == NULL)
		return;
	for (i = 0; i < bases->len; i++)
		g_bytes_unref(g_array_index(bases, struct proxy_base, i).value);
	g_array_free(bases, TRUE);
}

/* Lists the values of this node that a subscription may name. */
static GArray *
list_bases(struct links *ls)
{
	const struct proxy_state_calls *s = &ls->proxy->state;
	GArray *bases = g_array_new(FALSE, FALSE, sizeof(struct proxy_base));

	if (s->list_bases != NULL)
		s->list_bases(s->arg, bases);
	return bases;
}

/* Makes the newest value that a new subscriber has too the base, if any. */
static void
share_base(struct link *l, const Link__Subscribe *q)
{
	GArray *bases = list_bases(l->links);
	const struct proxy_base *b;
	guint i;
	size_t k;

	set_base(l, 0, NULL);
	for (i = 0; i < bases->len && l->base == NULL; i++) {
		b = &g_array_index(bases, struct proxy_base, i);
		for (k = 0; k < q->n_bases; k++)
			if (q->bases[k] == b->digest)
				set_base(l, b->digest, b->value);
	}
	clear_bases(bases);
}

/* Returns the base of an update from a publisher, or NULL. */
static GBytes *
find_base(const struct link *l, uint64_t number)
{
	const struct proxy_base *b;
	guint i;

	if (number == l->base_number)
		return l->base;
	for (i = 0; l->bases != NULL && i < l->bases->len; i++) {
		b = &g_array_index(l->bases, struct proxy_base, i);
		if (b->digest == number)
			return b->value;
	}
	return NULL;
}

/* Releases the bases of updates. */
void
link_drop_bases(struct link *l)
{
	set_base(l, 0, NULL);
	clear_bases(l->bases);
	l->bases = NULL;
}

/* ---- states and updates ---- */

/* Requests the state of a node; read_state gets it if the node answers. */
void
links_request_state(struct links *ls, const char *addr)
{
	Link__Frame f = LINK__FRAME__INIT;
	Link__StateRequest q = LINK__STATE_REQUEST__INIT;
	struct link *l = link_to(ls, addr);
	GArray *held;

	if (l == NULL)
		return;
	held = list_held(ls);
	f.body_case = LINK__FRAME__BODY_STATE_REQUEST;
	f.state_request = &q;
	q.held = (uint64_t *)(void *)held->data;
	q.n_held = held->len;
	link_write_frame(l, &f, EGRESS_STATE);
	g_array_free(held, TRUE);
}

/* Answers a request for this node's state; silent if there is none. */
void
link_send_state(struct link *l, const Link__StateRequest *q)
{
	Link__Frame f = LINK__FRAME__INIT;
	Link__State st = LINK__STATE__INIT;
	GString *text = g_string_new(NULL);
	GBytes *compressed;
	gsize len;

	write_state(l->links, q->held, q->n_held, text);
	f.body_case = LINK__FRAME__BODY_STATE;
	f.state = &st;
	st.length = (uint32_t)text->len;
	if (text->len > 0 &&
	    (compressed = feed_compress(text->str, text->len, NULL)) != NULL) {
		st.state.data = (uint8_t *)g_bytes_get_data(compressed, &len);
		st.state.len = g_bytes_get_size(compressed);
		link_write_frame(l, &f, EGRESS_STATE);
		g_bytes_unref(compressed);
	}
	g_string_free(text, TRUE);
}

/* Whether this node is subscribed to the peer. */
int
link_is_publisher(const struct link *l)
{
	int i;

	for (i = 0; i < PROXY_SLOT_COUNT; i++)
		if (l->links->publishers[i] == l)
			return 1;
	return 0;
}

/*
 * Time in ms of the last input from the publisher in a slot, if that was a part
 * of a frame, else 0.  Nothing can overtake a large frame on its way.
 */
int64_t
links_receiving_at(const struct links *ls, enum proxy_slot slot)
{
	struct link *l = ls->publishers[slot];

	return l != NULL && link_is_receiving(l) ? l->received_at : 0;
}

/* Replaces a slot's subscription; ends the old one if no slot needs it. */
void
links_subscribe(struct links *ls, enum proxy_slot slot, const char *addr,
    enum proxy_subscription kind)
{
	Link__Frame f = LINK__FRAME__INIT;
	Link__Subscribe q = LINK__SUBSCRIBE__INIT;
	struct link *l = ls->publishers[slot];
	GArray *held, *digests;
	guint i;

	f.body_case = LINK__FRAME__BODY_SUBSCRIBE;
	f.subscribe = &q;
	ls->publishers[slot] = NULL;
	if (l != NULL && !link_is_publisher(l))
		link_write_frame(l, &f, EGRESS_STATE);
	if (addr == NULL || (l = link_to(ls, addr)) == NULL)
		return;
	ls->publishers[slot] = l;
	q.on = 1;
	q.relay = kind == PROXY_SUBSCRIBE_RELAY;
	q.help = kind == PROXY_SUBSCRIBE_HELP;
	held = list_held(ls);
	q.held = (uint64_t *)(void *)held->data;
	q.n_held = held->len;
	clear_bases(l->bases);
	l->bases = list_bases(ls);
	digests = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (i = 0; i < l->bases->len; i++)
		g_array_append_val(digests,
		    g_array_index(l->bases, struct proxy_base, i).digest);
	q.bases = (uint64_t *)(void *)digests->data;
	q.n_bases = digests->len;
	q.number = ++l->subscription;
	link_write_frame(l, &f, EGRESS_STATE);
	g_array_free(held, TRUE);
	g_array_free(digests, TRUE);
	link_send_suspects(l, 1);
}

/* Clears subscriptions to the peer of a lost link, and returns their slots. */
unsigned int
link_clear_publisher(struct link *l)
{
	unsigned int slots = 0;
	int i;

	for (i = 0; i < PROXY_SLOT_COUNT; i++) {
		if (l->links->publishers[i] != l)
			continue;
		l->links->publishers[i] = NULL;
		slots |= 1U << i;
	}
	return slots;
}

/* Reports lost subscriptions, unless a callback has replaced one already. */
void
links_report_lost(struct links *ls, unsigned int slots)
{
	const struct proxy_state_calls *s = &ls->proxy->state;
	int i;

	for (i = 0; i < PROXY_SLOT_COUNT; i++)
		if ((slots & 1U << i) != 0 && ls->publishers[i] == NULL &&
		    s->publisher_lost != NULL)
			s->publisher_lost(s->arg, (enum proxy_slot)i);
}

/* Handles the state that another node sent. */
void
link_receive_state(struct link *l, const Link__State *st)
{
	const struct proxy_state_calls *s = &l->links->proxy->state;
	GBytes *full;

	full = feed_decompress(st->state.data, st->state.len, st->length, NULL);
	if (full == NULL) {
		base_log(G_LOG_LEVEL_WARNING, "peer-state", "unreadable");
		return;
	}
	if (s->read_state != NULL)
		s->read_state(s->arg, g_bytes_get_data(full, NULL),
		    g_bytes_get_size(full));
	g_bytes_unref(full);
}

/*
 * Handles an update; one that cannot be decoded counts as a lost link.  One of
 * an earlier subscription is dropped: the first of the new one has what it
 * brought, and its base may be gone.
 */
void
link_receive_feed(struct link *l, const Link__Feed *feed)
{
	const struct proxy_state_calls *s = &l->links->proxy->state;
	struct proxy_update update = { .age_ms = (int64_t)feed->age_ms,
		.reader = feed->reader,
		.answer = feed->answer,
		.unsubscribe = feed->unsubscribe };
	GBytes *full = NULL, *base = NULL;
	int i;

	if (feed->subscription != 0 && feed->subscription != l->subscription)
		return;
	if (feed->length > 0) {
		if (feed->against != 0)
			base = find_base(l, feed->against);
		if (feed->against == 0 || base != NULL)
			full = feed_decompress(feed->state.data,
			    feed->state.len, feed->length, base);
		if (full == NULL) {
			base_log(G_LOG_LEVEL_WARNING, "feed",
			    "unreadable base=%" G_GUINT64_FORMAT,
			    feed->against);
			links_report_lost(l->links, link_clear_publisher(l));
			return;
		}
	}
	if (feed->number != 0 && full != NULL) {
		/* Later updates are compressed with this one. */
		link_drop_bases(l);
		set_base(l, feed->number, full);
	}
	if (full != NULL) {
		update.state = g_bytes_get_data(full, NULL);
		update.len = g_bytes_get_size(full);
	}
	for (i = 0; i < PROXY_SLOT_COUNT && l->links->publishers[i] != l; i++)
		;
	if (s->updated != NULL && i < PROXY_SLOT_COUNT)
		s->updated(s->arg, (enum proxy_slot)i, &update);
	if (full != NULL)
		g_bytes_unref(full);
}

/* Writes an update to a subscriber, compressed with its base if any. */
static void
write_feed(struct link *l, const struct feed_update *t)
{
	const struct view *v = l->links->proxy->view;
	Link__Frame f = LINK__FRAME__INIT;
	Link__Feed feed = LINK__FEED__INIT;

	f.body_case = LINK__FRAME__BODY_FEED;
	f.feed = &feed;
	feed.unsubscribe = t->unsubscribe;
	feed.age_ms = (uint64_t)(base_now_ms() - v->synced_at);
	feed.reader = v->synced_reader;
	feed.answer = v->synced_answer;
	feed.length = (uint32_t)t->length;
	feed.against = t->length > 0 ? l->base_number : 0;
	feed.number = t->number;
	feed.subscription = l->subscription;
	if (t->compressed != NULL) {
		feed.state.data =
		    (uint8_t *)g_bytes_get_data(t->compressed, NULL);
		feed.state.len = g_bytes_get_size(t->compressed);
	}
	link_write_frame(l, &f, EGRESS_STATE);
	if (feed.state.len > UPDATE_PING_MIN)
		link_ping(l);
}

/* Returns the kind of subscription that a frame asks for. */
static enum proxy_subscription
subscription_kind(const Link__Subscribe *q)
{
	if (!q->on)
		return PROXY_UNSUBSCRIBED;
	if (q->relay)
		return PROXY_SUBSCRIBE_RELAY;
	return q->help ? PROXY_SUBSCRIBE_HELP : PROXY_SUBSCRIBE_READ;
}

/* Sets the peer's subscription; a new one begins with what the peer lacks. */
void
link_set_subscriber(struct link *l, const Link__Subscribe *q)
{
	const struct proxy_state_calls *s = &l->links->proxy->state;
	enum proxy_subscription kind = subscription_kind(q);
	GString *text = g_string_new(NULL);
	struct feed_update t = { 0 };

	l->subscriber = kind;
	l->subscription = q->number;
	share_base(l, q);
	if (kind != PROXY_UNSUBSCRIBED)
		write_state(l->links, q->held, q->n_held, text);
	if (text->len > 0) {
		t.length = text->len;
		t.compressed = feed_compress(text->str, text->len, l->base);
		write_feed(l, &t);
		g_bytes_unref(t.compressed);
	}
	g_string_free(text, TRUE);
	if (kind == PROXY_UNSUBSCRIBED)
		return;
	link_send_suspects(l, 1);
	if (s->subscribed != NULL)
		s->subscribed(s->arg);
}

/* Counts the peers with this kind of subscription. */
int
links_subscribers(const struct links *ls, enum proxy_subscription kind)
{
	GHashTableIter it;
	gpointer value;
	int n = 0;

	g_hash_table_iter_init(&it, ls->in);
	while (g_hash_table_iter_next(&it, NULL, &value))
		n += ((struct link *)value)->subscriber == kind;
	return n;
}

/* Compresses with a base, or NULL, unless the table has the result. */
static GBytes *
compress_once(GHashTable *done, const char *text, size_t len, GBytes *base)
{
	GBytes *c = g_hash_table_lookup(done, base);

	if (c == NULL && (c = feed_compress(text, len, base)) != NULL)
		g_hash_table_insert(done, base, c);
	return c;
}

/*
 * Publishes an update: as a delta to subscribers that have a base, and whole to
 * the others.  A large update becomes the base of later ones.
 */
void
links_publish(struct links *ls, const char *state, size_t len, int unsubscribe)
{
	struct feed_update t = { .length = len, .unsubscribe = unsubscribe };
	GHashTable *done = g_hash_table_new_full(
	    NULL, NULL, NULL, (GDestroyNotify)g_bytes_unref);
	GBytes *next = NULL;
	struct link *l;
	GHashTableIter it;
	gpointer value;

	if (feed_is_base(len)) {
		next = g_bytes_new(state, len);
		t.number = ++ls->base_number;
	}
	g_hash_table_iter_init(&it, ls->in);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		l = value;
		if (l->subscriber == PROXY_UNSUBSCRIBED)
			continue;
		if (len > 0)
			t.compressed = compress_once(done, state, len, l->base);
		write_feed(l, &t);
		if (next != NULL)
			set_base(l, t.number, next);
	}
	g_hash_table_destroy(done);
	if (next != NULL)
		g_bytes_unref(next);
}
