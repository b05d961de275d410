/*
 * News for a node that reads for others when the store does not answer it.  It
 * is subscribed to a node that reads in the next data centre at all times, so
 * that news go round all data centres as long as one of them can read.  Once
 * what it knows is stale all the same, it asks a few nodes of its own data
 * centre at once to read for it.  Those that are subscribed to it stay.
 */
#include <string.h>

#include "follow_int.h"

#define ROUND_MS      700  /* for helpers to read */
#define SLOW_ROUND_MS 4000 /* the same when the store seems to be away */
#define ROUNDS	      3	   /* before it does */

static void on_stale(evutil_socket_t, short, void *);
static int compare_names(gconstpointer, gconstpointer);
static GPtrArray *other_data_centres(const struct follow *);
static char *pick_backup(struct follow *);
static void choose_backup(struct follow *, int64_t);
static void look_after_backup(struct follow *, int64_t);
static void ask_helpers(struct follow *, int64_t);
static void keep_helper(struct follow *, int, int64_t);
static int fresh_helper(const struct follow *, int64_t);
static int has_heard(const struct follow *);
static void look_after_helpers(struct follow *, int64_t);
static void set_publisher(struct follow *, enum proxy_slot, struct publisher *,
    const char *, enum proxy_subscription, int64_t);

/* Prepares. */
void
relay_start(struct follow *f)
{
	f->relay.timer = evtimer_new(f->base, on_stale, f);
}

/* Ends it. */
void
relay_stop(struct follow *f)
{
	event_free(f->relay.timer);
}

static void
on_stale(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	feed_look_now(arg);
}

/* Subscribes to a node in a slot, or to none. */
static void
set_publisher(struct follow *f, enum proxy_slot slot, struct publisher *p,
    const char *addr, enum proxy_subscription how, int64_t now)
{
	if (addr == NULL && p->addr[0] == '\0')
		return;
	*p = (struct publisher){ .heard_at = now };
	if (addr != NULL)
		g_strlcpy(p->addr, addr, sizeof(p->addr));
	proxy_subscribe(f->proxy, slot, addr, how);
}

static int
compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Names of the other data centres, beginning after the own one; owned. */
static GPtrArray *
other_data_centres(const struct follow *f)
{
	const char *own = f->settings->proxy.data_centre;
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *names = g_ptr_array_new();
	GHashTableIter it;
	gpointer value;
	guint n;

	g_hash_table_iter_init(&it, f->view->targets);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		char *dc = ((struct view_target *)value)->dc;

		if (strcmp(dc, own) != 0 && g_hash_table_add(seen, dc))
			g_ptr_array_add(names, dc);
	}
	g_hash_table_destroy(seen);
	g_ptr_array_sort(names, compare_names);
	for (n = names->len; n > 0; n--) {
		if (strcmp(g_ptr_array_index(names, 0), own) > 0)
			break;
		g_ptr_array_add(names, g_ptr_array_steal_index(names, 0));
	}
	return names;
}

/* Address of the node whose turn it is to be the backup, owned, or NULL. */
static char *
pick_backup(struct follow *f)
{
	GPtrArray *names = other_data_centres(f);
	guint turn = f->relay.backup_turn, rank;
	char *addr = NULL;
	GArray *list;

	if (names->len > 0) {
		list =
		    feed_order(f, g_ptr_array_index(names, turn % names->len));
		rank = turn / names->len % FOLLOW_RANKS_MAX;
		if (list->len > 0)
			addr = g_strdup(g_array_index(
			    list, struct candidate_node, rank % list->len)
					    .addr);
		g_array_free(list, TRUE);
	}
	g_ptr_array_free(names, TRUE);
	return addr;
}

/* Subscribes to the backup whose turn it is, unless it is the one already. */
static void
choose_backup(struct follow *f, int64_t now)
{
	struct relay *r = &f->relay;
	char *addr = pick_backup(f);

	r->backup_at = now;
	if (addr == NULL || strcmp(addr, r->backup.addr) != 0) {
		base_log(G_LOG_LEVEL_MESSAGE, "backup", "addr=%s turn=%u",
		    addr != NULL ? addr : "-", r->backup_turn);
		set_publisher(
		    f, PROXY_BACKUP, &r->backup, addr, PROXY_RELAY, now);
	}
	g_free(addr);
}

/* Leaves a backup that is silent, returns to the first. */
static void
look_after_backup(struct follow *f, int64_t now)
{
	struct relay *r = &f->relay;
	int silent = r->backup.addr[0] != '\0' &&
		     now - r->backup.heard_at > FOLLOW_SILENT_MS;

	if (silent) {
		r->backup.addr[0] = '\0';
		r->backup_turn++;
		choose_backup(f, now);
	} else if (r->backup_turn > 0 &&
		   now - r->backup_at > FOLLOW_RETURN_MS) {
		r->backup_turn = 0;
		choose_backup(f, now);
	} else if (r->backup_at == 0 ||
		   (r->backup_turn == 0 &&
		       now - r->backup_at > FOLLOW_AGAIN_MS)) {
		choose_backup(f, now);
	}
}

/* Asks the next few nodes of the own data centre at once. */
static void
ask_helpers(struct follow *f, int64_t now)
{
	GArray *list = feed_order(f, f->settings->proxy.data_centre);
	struct relay *r = &f->relay;
	const char *addr, *self = f->settings->proxy.target;
	guint i, asked = 0;

	for (i = 0; i < list->len && asked < HELPERS; i++) {
		addr = g_array_index(
		    list, struct candidate_node, r->helper_turn++ % list->len)
			   .addr;
		if (strcmp(addr, self) == 0)
			continue;
		set_publisher(f, PROXY_HELPERS + asked, &r->helpers[asked],
		    addr, PROXY_HELP, now);
		asked++;
	}
	g_array_free(list, TRUE);
	for (i = asked; i < HELPERS; i++)
		set_publisher(f, PROXY_HELPERS + i, &r->helpers[i], NULL,
		    PROXY_UNSUBSCRIBED, now);
	r->helper_rounds++;
	r->round_at = now;
	r->round_until =
	    now + (r->helper_rounds > ROUNDS ? SLOW_ROUND_MS : ROUND_MS);
	base_log(G_LOG_LEVEL_MESSAGE, "helpers-asked",
	    "count=%u round=%d known_ms=%" G_GINT64_FORMAT, asked,
	    r->helper_rounds, now - f->view->known_at);
}

/* Unsubscribes from all helpers but one, or from all (-1). */
static void
keep_helper(struct follow *f, int kept, int64_t now)
{
	int i;

	for (i = 0; i < HELPERS; i++)
		if (i != kept)
			set_publisher(f, PROXY_HELPERS + i,
			    &f->relay.helpers[i], NULL, PROXY_UNSUBSCRIBED,
			    now);
}

/* A helper that reads, or -1. */
static int
fresh_helper(const struct follow *f, int64_t now)
{
	int i;

	for (i = 0; i < HELPERS; i++)
		if (f->relay.helpers[i].addr[0] != '\0' &&
		    now - f->relay.helpers[i].known_at <= FOLLOW_STALE_MS)
			return i;
	return -1;
}

/* Whether any node has said anything since the helpers were asked. */
static int
has_heard(const struct follow *f)
{
	int i;

	for (i = 0; i < HELPERS; i++)
		if (f->relay.helpers[i].heard_at > f->relay.round_at)
			return 1;
	return f->relay.backup.heard_at > f->relay.round_at;
}

/*
 * Asks for help when all that is known without it is stale.  It ends when the
 * store answers this node: a backup may have its news of the same help.
 */
static void
look_after_helpers(struct follow *f, int64_t now)
{
	struct relay *r = &f->relay;
	int64_t known = store_reader_known_at(f->reader), left;
	int fresh;

	if (r->helper_rounds == 0)
		known = MAX(known, r->backup.known_at);
	left = MAX(known, r->since) + FOLLOW_STALE_MS - now;
	if (left >= 0) {
		http_timer(r->timer, left + 1);
		if (r->helper_rounds > 0)
			base_log(G_LOG_LEVEL_MESSAGE, "helpers-released",
			    "rounds=%d", r->helper_rounds);
		keep_helper(f, -1, now);
		r->helper_rounds = r->isolated = 0;
		return;
	}
	if ((fresh = fresh_helper(f, now)) >= 0) {
		keep_helper(f, fresh, now);
		r->isolated = 0;
		return;
	}
	/* A helper passes on the newest answer, which need not be its own. */
	if (r->helper_rounds > 0 &&
	    (now < r->round_until || !follow_is_stale(f)))
		return;
	r->isolated = r->helper_rounds > 0 && !has_heard(f);
	ask_helpers(f, now);
}

/* Looks after the sources of a node that reads for others. */
void
relay_look(struct follow *f, int64_t now)
{
	struct relay *r = &f->relay;
	int reads =
	    f->feed.publisher.addr[0] == '\0' &&
	    (f->feed.rank == 0 || proxy_subscribers(f->proxy, PROXY_READ) > 0);

	if (reads && r->since == 0) {
		r->since = f->view->known_at > 0 ? f->view->known_at : now;
		r->helper_rounds = 0;
	} else if (!reads && r->since != 0) {
		set_publisher(
		    f, PROXY_BACKUP, &r->backup, NULL, PROXY_UNSUBSCRIBED, now);
		keep_helper(f, -1, now);
		evtimer_del(r->timer);
		r->since = r->backup_at = 0;
		r->isolated = 0;
	}
	if (!reads)
		return;
	look_after_backup(f, now);
	look_after_helpers(f, now);
}

/* The backup or a helper told something. */
void
relay_heard(struct follow *f, enum proxy_slot slot, const struct proxy_news *n,
    int is_new)
{
	struct relay *r = &f->relay;
	struct publisher *p = slot == PROXY_BACKUP
				  ? &r->backup
				  : &r->helpers[slot - PROXY_HELPERS];
	int64_t now = base_now_ms();

	p->heard_at = now;
	if (is_new)
		p->known_at = now - n->age_ms;
	if (n->age_ms <= FOLLOW_STALE_MS)
		proxy_target_reported(f->proxy);
	if (slot == PROXY_BACKUP && n->unsubscribe) {
		r->backup_turn++;
		choose_backup(f, now);
	}
}

/* The link to the backup or a helper was lost: the next look replaces it. */
void
relay_lost(struct follow *f, enum proxy_slot slot)
{
	struct relay *r = &f->relay;

	if (slot == PROXY_BACKUP) {
		r->backup = (struct publisher){ 0 };
		r->backup_turn++;
		r->backup_at = 0;
	} else {
		r->helpers[slot - PROXY_HELPERS] = (struct publisher){ 0 };
	}
}
