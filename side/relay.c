/*
 * Other sources of updates for a node that reads the store for others, in case
 * the store does not answer it.  Such a node is always subscribed to a node
 * that reads in the next data centre, its backup.  Updates thus reach all data
 * centres as long as the store answers one of them.  If its view becomes stale
 * all the same, it asks RELAY_HELPERS nodes of its own data centre at once to
 * read on its behalf.  Its subscribers stay with it meanwhile: when all of them
 * failed over one publisher after the other, the delays added up.  Those whose
 * view becomes stale get a backup as well, as the publisher may be too slow to
 * notice.
 */
#include <string.h>

#include "follow_int.h"

/* Time that helpers have to read the store before others are asked. */
#define HELP_ROUND_MS	   700
#define HELP_SLOW_ROUND_MS 4000 /* the same when the store seems to be down */
#define HELP_FAST_ROUNDS   3	/* rounds without success before it seems so */

static void on_stale(evutil_socket_t, short, void *);
static int compare_names(gconstpointer, gconstpointer);
static GPtrArray *other_data_centres(const struct follow *);
static char *pick_backup(struct follow *);
static void choose_backup(struct follow *, int64_t);
static void check_backup(struct follow *, int64_t);
static void ask_helpers(struct follow *, int64_t);
static void keep_helper(struct follow *, int, int64_t);
static int find_fresh_helper(const struct follow *, int64_t);
static int has_received(const struct follow *);
static void check_helpers(struct follow *, int64_t);
static int is_behind(struct follow *, int64_t);
static void set_publisher(struct follow *, enum proxy_slot, struct publisher *,
    const char *, enum proxy_subscription, int64_t);

/* Creates the timer; relay_check() starts it. */
void
relay_start(struct follow *f)
{
	f->relay.timer = evtimer_new(f->base, on_stale, f);
}

/* Releases the timer. */
void
relay_stop(struct follow *f)
{
	event_free(f->relay.timer);
}

/* The view has become stale: runs the periodic check at once. */
static void
on_stale(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	feed_check_now(arg);
}

/* Subscribes to a node in a slot, or unsubscribes if addr is NULL. */
static void
set_publisher(struct follow *f, enum proxy_slot slot, struct publisher *p,
    const char *addr, enum proxy_subscription kind, int64_t now)
{
	if (addr == NULL && p->addr[0] == '\0')
		return;
	*p = (struct publisher){ .received_at = now };
	if (addr != NULL)
		g_strlcpy(p->addr, addr, sizeof(p->addr));
	proxy_subscribe(f->proxy, slot, addr, kind);
}

/* Orders names for g_ptr_array_sort(). */
static int
compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/*
 * Names of the other data centres, sorted and rotated so that the next one
 * after the own comes first.  The caller frees the array; the names belong to
 * the view.
 */
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

/*
 * Address of the backup for the current attempt, or NULL if there is none; the
 * caller frees it.  Attempts go through the first node of each other data
 * centre, then through the second ones, and so on.  A node that is behind
 * begins at its own rank, so that not all of a data centre choose the same.
 */
static char *
pick_backup(struct follow *f)
{
	GPtrArray *names = other_data_centres(f);
	guint attempt = f->relay.backup_attempt, rank;
	char *addr = NULL;
	GArray *list;

	if (names->len > 0) {
		list = rank_candidates(
		    f, g_ptr_array_index(names, attempt % names->len));
		rank = attempt / names->len % FOLLOW_RANKS_MAX;
		if (f->relay.sync_floor == 0)
			rank += rank_in_own_dc(f);
		if (list->len > 0)
			addr = g_strdup(g_array_index(
			    list, struct candidate_node, rank % list->len)
					    .addr);
		g_array_free(list, TRUE);
	}
	g_ptr_array_free(names, TRUE);
	return addr;
}

/* Subscribes to the backup of the current attempt, if that has changed. */
static void
choose_backup(struct follow *f, int64_t now)
{
	struct relay *r = &f->relay;
	char *addr = pick_backup(f);

	r->backup_chosen_at = now;
	if (addr == NULL || strcmp(addr, r->backup.addr) != 0) {
		base_log(G_LOG_LEVEL_MESSAGE, "backup", "addr=%s turn=%u",
		    addr != NULL ? addr : "-", r->backup_attempt);
		set_publisher(f, PROXY_SLOT_BACKUP, &r->backup, addr,
		    PROXY_SUBSCRIBE_RELAY, now);
	}
	g_free(addr);
}

/*
 * Replaces a backup that timed out, returns to the first choice after
 * FOLLOW_FAILBACK_MS, and follows changes of the ranking.
 */
static void
check_backup(struct follow *f, int64_t now)
{
	struct relay *r = &f->relay;
	int silent = r->backup.addr[0] != '\0' &&
		     now - r->backup.received_at > FOLLOW_TIMEOUT_MS;

	if (silent) {
		r->backup.addr[0] = '\0';
		r->backup_attempt++;
		choose_backup(f, now);
	} else if (r->backup_attempt > 0 &&
		   now - r->backup_chosen_at > FOLLOW_FAILBACK_MS) {
		r->backup_attempt = 0;
		choose_backup(f, now);
	} else if (r->backup_chosen_at == 0 ||
		   (r->backup_attempt == 0 &&
		       now - r->backup_chosen_at > FOLLOW_RECHECK_MS)) {
		choose_backup(f, now);
	}
}

/* Starts a round: asks the next RELAY_HELPERS nodes of the data centre. */
static void
ask_helpers(struct follow *f, int64_t now)
{
	GArray *list = rank_candidates(f, f->settings->proxy.data_centre);
	struct relay *r = &f->relay;
	const char *addr, *self = f->settings->proxy.target;
	guint i, asked = 0;

	for (i = 0; i < list->len && asked < RELAY_HELPERS; i++) {
		addr = g_array_index(
		    list, struct candidate_node, r->next_helper++ % list->len)
			   .addr;
		if (strcmp(addr, self) == 0)
			continue;
		set_publisher(f, PROXY_SLOT_HELPERS + asked, &r->helpers[asked],
		    addr, PROXY_SUBSCRIBE_HELP, now);
		asked++;
	}
	g_array_free(list, TRUE);
	for (i = asked; i < RELAY_HELPERS; i++)
		set_publisher(f, PROXY_SLOT_HELPERS + i, &r->helpers[i], NULL,
		    PROXY_UNSUBSCRIBED, now);
	r->helper_rounds++;
	r->round_started_at = now;
	r->round_deadline =
	    now + (r->helper_rounds > HELP_FAST_ROUNDS ? HELP_SLOW_ROUND_MS
						       : HELP_ROUND_MS);
	base_log(G_LOG_LEVEL_MESSAGE, "helpers-asked",
	    "count=%u round=%d known_ms=%" G_GINT64_FORMAT, asked,
	    r->helper_rounds, now - f->view->synced_at);
}

/* Unsubscribes from all helpers except one, or from all (-1). */
static void
keep_helper(struct follow *f, int kept, int64_t now)
{
	int i;

	for (i = 0; i < RELAY_HELPERS; i++)
		if (i != kept)
			set_publisher(f, PROXY_SLOT_HELPERS + i,
			    &f->relay.helpers[i], NULL, PROXY_UNSUBSCRIBED,
			    now);
}

/* Index of a helper that has a recent answer of the store, or -1. */
static int
find_fresh_helper(const struct follow *f, int64_t now)
{
	int i;

	for (i = 0; i < RELAY_HELPERS; i++)
		if (f->relay.helpers[i].addr[0] != '\0' &&
		    now - f->relay.helpers[i].synced_at <= FOLLOW_STALE_MS)
			return i;
	return -1;
}

/* Whether the backup or a helper has sent a message in this round. */
static int
has_received(const struct follow *f)
{
	int i;

	for (i = 0; i < RELAY_HELPERS; i++)
		if (f->relay.helpers[i].received_at > f->relay.round_started_at)
			return 1;
	return f->relay.backup.received_at > f->relay.round_started_at;
}

/*
 * Asks helpers when the view is stale without them.  Once asked, helpers are
 * released only when the store answers this node itself.  A recent update of
 * the backup does not count then, as it may come from a helper as well: nodes
 * that released their helpers for it all became stale again at the same time.
 */
static void
check_helpers(struct follow *f, int64_t now)
{
	struct relay *r = &f->relay;
	int64_t synced = store_reader_synced_at(f->reader), left_ms;
	int fresh;

	if (r->helper_rounds == 0)
		synced = MAX(synced, r->backup.synced_at);
	left_ms = MAX(synced, r->sync_floor) + FOLLOW_STALE_MS - now;
	if (left_ms >= 0) {
		http_timer_set(r->timer, left_ms + 1);
		if (r->helper_rounds > 0)
			base_log(G_LOG_LEVEL_MESSAGE, "helpers-released",
			    "rounds=%d", r->helper_rounds);
		keep_helper(f, -1, now);
		r->helper_rounds = r->isolated = 0;
		return;
	}
	if ((fresh = find_fresh_helper(f, now)) >= 0) {
		keep_helper(f, fresh, now);
		r->isolated = 0;
		return;
	}
	/*
	 * A helper passes on the newest answer it has received, which may be
	 * another reader's and recorded here already.  Then the helper seems
	 * stale though the view is not, and needs no replacement.
	 */
	if (r->helper_rounds > 0 &&
	    (now < r->round_deadline || !follow_is_stale(f)))
		return;
	r->isolated = r->helper_rounds > 0 && !has_received(f);
	ask_helpers(f, now);
}

/*
 * Whether the view of this node, a subscriber, is or was recently stale: its
 * publisher sends too late, or what it sends is too old.  One that has started
 * and not been up to date since is not behind, but was told by a node that is
 * starting as well.
 */
static int
is_behind(struct follow *f, int64_t now)
{
	struct relay *r = &f->relay;

	if (f->view->synced_at >= f->feed.started_at - FOLLOW_STALE_MS &&
	    follow_is_stale(f)) {
		if (r->behind_until <= now) {
			base_log(G_LOG_LEVEL_MESSAGE, "publisher-behind",
			    "addr=%s known_ms=%" G_GINT64_FORMAT,
			    f->feed.publisher.addr[0] != '\0'
				? f->feed.publisher.addr
				: "-",
			    now - f->view->synced_at);
			counter_add(CTR_PUBLISHER_BEHIND, 1);
		}
		r->behind_until = now + FOLLOW_FAILBACK_MS;
	}
	return now < r->behind_until;
}

/*
 * Whether this node is behind now and no other data centre can help it.  A few
 * such nodes may read the store themselves.
 */
int
relay_lacks_backup(const struct follow *f)
{
	const struct relay *r = &f->relay;

	return r->sync_floor == 0 && r->backup_chosen_at != 0 &&
	       r->backup.addr[0] == '\0' && follow_is_stale(f);
}

/*
 * Activates the helpers while this node reads the store for others, and the
 * backup while it does or is behind; releases them when they are not needed.
 */
void
relay_check(struct follow *f, int64_t now)
{
	struct relay *r = &f->relay;
	int reads_for_others =
	    f->feed.publisher.addr[0] == '\0' &&
	    (f->feed.rank == 0 ||
		proxy_subscribers(f->proxy, PROXY_SUBSCRIBE_READ) > 0);

	if (reads_for_others && r->sync_floor == 0) {
		r->sync_floor =
		    f->view->synced_at > 0 ? f->view->synced_at : now;
		r->helper_rounds = 0;
		r->backup_chosen_at = 0;
	} else if (!reads_for_others && r->sync_floor != 0) {
		keep_helper(f, -1, now);
		evtimer_del(r->timer);
		r->sync_floor = r->backup_chosen_at = 0;
		r->isolated = 0;
	}
	if (reads_for_others || is_behind(f, now)) {
		check_backup(f, now);
	} else {
		set_publisher(f, PROXY_SLOT_BACKUP, &r->backup, NULL,
		    PROXY_UNSUBSCRIBED, now);
		r->backup_chosen_at = 0;
	}
	if (reads_for_others)
		check_helpers(f, now);
}

/* Handles their updates.  A backup that ends the subscription is replaced. */
void
relay_on_update(struct follow *f, enum proxy_slot slot,
    const struct proxy_update *u, int is_new)
{
	struct relay *r = &f->relay;
	struct publisher *p = slot == PROXY_SLOT_BACKUP
				  ? &r->backup
				  : &r->helpers[slot - PROXY_SLOT_HELPERS];
	int64_t now = base_now_ms();

	p->received_at = now;
	if (is_new)
		p->synced_at = now - u->age_ms;
	if (u->age_ms <= FOLLOW_STALE_MS)
		proxy_target_reported(f->proxy);
	if (slot == PROXY_SLOT_BACKUP && u->unsubscribe) {
		r->backup_attempt++;
		choose_backup(f, now);
	}
}

/* The link to the backup or a helper was lost: the next check replaces it. */
void
relay_on_lost(struct follow *f, enum proxy_slot slot)
{
	struct relay *r = &f->relay;

	if (slot == PROXY_SLOT_BACKUP) {
		r->backup = (struct publisher){ 0 };
		r->backup_attempt++;
		r->backup_chosen_at = 0;
	} else {
		r->helpers[slot - PROXY_SLOT_HELPERS] = (struct publisher){ 0 };
	}
}
