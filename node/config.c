/*
 * The accepted configuration.  Lock order: the store's lock is taken under no
 * other and is not held over a check or a compression of a whole set by the
 * store's thread.
 */
#include <inttypes.h>
#include <pthread.h>
#include <string.h>

#include <urcu/urcu-bp.h>

#include "config.h"
#include "delta.h"

/* A text kept as a base. */
struct held {
	struct version version;
	GBytes *text;
};

/* Work for the store's thread. */
struct candidate_set {
	struct config_delta delta; /* payload is a whole text if !packed */
	int packed;
	char source[MESH_NAME_MAX + 1];
	int64_t began_us; /* when its check began */
	int last;	  /* 1: the thread ends */
};

struct config_store {
	struct config *current; /* RCU */
	int full_sets;
	void (*changed)(void *);
	void *arg;
	GAsyncQueue *work; /* of struct candidate_set */
	pthread_t thread;
	pthread_mutex_t lock; /* guards what follows */
	struct version_state versions;
	struct held held[CONFIG_HELD]; /* newest first */
	int nheld;
	GBytes *step; /* difference between the two newest, cached */
	unsigned char parent[VERSION_HASH_LEN];
	int has_parent;
	int skipped; /* 1: the newest was not made from the one before it */
	char failure[128]; /* why the last candidate could not be used */
};

/* Stands for all readers' sections, towards the thread sanitizer. */
static char readers;

static void *store_main(void *);
static void wait_for_readers(void);
static void consider(struct config_store *, struct candidate_set *);
static GBytes *decode(struct config_store *, struct candidate_set *);
static GBytes *find_held(struct config_store *, const unsigned char *);
static void
publish(struct config_store *, struct candidate_set *, struct set *, GBytes *);
static void keep(struct config_store *, const struct candidate_set *, GBytes *);
static void
reject(struct config_store *, const struct candidate_set *, struct report *);
static void
fail(struct config_store *, const struct candidate_set *, const char *);

/* Starts the store. */
struct config_store *
config_store_new(int full_sets, void (*changed)(void *), void *arg)
{
	struct config_store *s;

	s = g_new0(struct config_store, 1);
	s->full_sets = full_sets;
	s->changed = changed;
	s->arg = arg;
	s->work = queue_new();
	pthread_mutex_init(&s->lock, NULL);
	pthread_create(&s->thread, NULL, store_main, s);
	return s;
}

/* Ends the store's thread and releases everything. */
void
config_store_free(struct config_store *s)
{
	struct candidate_set *last;
	int i;

	last = g_new0(struct candidate_set, 1);
	last->last = 1;
	queue_push(s->work, last);
	pthread_join(s->thread, NULL);
	if (s->current != NULL) {
		set_free(s->current->set);
		g_free(s->current);
	}
	for (i = 0; i < s->nheld; i++)
		g_bytes_unref(s->held[i].text);
	if (s->step != NULL)
		g_bytes_unref(s->step);
	g_async_queue_unref(s->work);
	pthread_mutex_destroy(&s->lock);
	g_free(s);
}

/* Begins a reader's section; what config_get returned stays valid in it. */
void
config_lock(void)
{
	urcu_bp_read_lock();
}

/* Ends a reader's section. */
void
config_unlock(void)
{
	base_publish(&readers);
	urcu_bp_read_unlock();
}

/* Reads the pointer that is in force. */
const struct config *
config_get(const struct config_store *s)
{
	struct config *c = rcu_dereference(s->current);

	if (c != NULL)
		base_observe(c);
	return c;
}

/* Copies what is remembered of versions. */
void
config_versions(struct config_store *s, struct version_state *out)
{
	pthread_mutex_lock(&s->lock);
	*out = s->versions;
	pthread_mutex_unlock(&s->lock);
}

/* Remembers another node's rejection. */
void
config_told(struct config_store *s, const struct version *v, const char *reason,
    const char *by)
{
	pthread_mutex_lock(&s->lock);
	version_told(&s->versions, v, reason, by);
	pthread_mutex_unlock(&s->lock);
}

/* Decides over an offer. */
enum offer_verdict
config_offer(struct config_store *s, const struct version *v)
{
	enum offer_verdict verdict;
	int known;

	pthread_mutex_lock(&s->lock);
	known = version_cmp(&s->versions.conflict, v) == 0;
	verdict = version_offer(&s->versions, v);
	pthread_mutex_unlock(&s->lock);
	if (verdict == OFFER_CONFLICT_LOSES && !known) {
		counter_add(CTR_CONFLICTS, 1);
		base_log(G_LOG_LEVEL_WARNING, "config_conflict",
		    "version=%" PRIu64 " two sets were published under one "
		    "number; the other one stays in force",
		    v->number);
	}
	return verdict;
}

/* Queues a whole text. */
void
config_submit(struct config_store *s, const struct version *v,
    const unsigned char *parent, GBytes *text, const char *source)
{
	struct candidate_set *c;

	c = g_new0(struct candidate_set, 1);
	c->delta.version = *v;
	c->delta.payload = g_bytes_ref(text);
	if (parent != NULL) {
		memcpy(c->delta.parent, parent, VERSION_HASH_LEN);
		c->delta.has_parent = 1;
	}
	g_strlcpy(c->source, source, sizeof(c->source));
	queue_push(s->work, c);
}

/* Queues a difference. */
void
config_submit_delta(
    struct config_store *s, const struct config_delta *d, const char *source)
{
	struct candidate_set *c;

	c = g_new0(struct candidate_set, 1);
	c->delta = *d;
	c->packed = 1;
	g_bytes_ref(c->delta.payload);
	g_strlcpy(c->source, source, sizeof(c->source));
	queue_push(s->work, c);
}

/* Finds a base by its hash; the caller owns the reference. */
static GBytes *
find_held(struct config_store *s, const unsigned char *hash)
{
	GBytes *text = NULL;
	int i;

	pthread_mutex_lock(&s->lock);
	for (i = 0; i < s->nheld && text == NULL; i++)
		if (memcmp(s->held[i].version.hash, hash, VERSION_HASH_LEN) ==
		    0)
			text = g_bytes_ref(s->held[i].text);
	pthread_mutex_unlock(&s->lock);
	return text;
}

/* Turns a candidate into its text, or NULL. */
static GBytes *
decode(struct config_store *s, struct candidate_set *c)
{
	GBytes *base = NULL, *text;

	if (!c->packed)
		return g_bytes_ref(c->delta.payload);
	if (c->delta.has_base && (base = find_held(s, c->delta.base)) == NULL)
		return NULL;
	text = delta_apply(base, c->delta.payload, c->delta.length);
	if (base != NULL)
		g_bytes_unref(base);
	return text;
}

/* Records why a candidate could not be used; it is not a rejection. */
static void
fail(struct config_store *s, const struct candidate_set *c, const char *why)
{
	char name[VERSION_STR_LEN];

	pthread_mutex_lock(&s->lock);
	g_snprintf(s->failure, sizeof(s->failure), "%s from %s: %s",
	    version_str(&c->delta.version, name), c->source, why);
	pthread_mutex_unlock(&s->lock);
	base_log(G_LOG_LEVEL_WARNING, "config_unusable",
	    "version=%s source=%s reason=\"%s\"",
	    version_str(&c->delta.version, name), c->source, why);
}

/* Remembers a version that the check refused. */
static void
reject(
    struct config_store *s, const struct candidate_set *c, struct report *rep)
{
	char name[VERSION_STR_LEN];
	GString *text = g_string_new(NULL);

	report_print(rep, "set", text);
	g_string_truncate(text, strcspn(text->str, "\n"));
	counter_add(CTR_REJECTED, 1);
	pthread_mutex_lock(&s->lock);
	version_reject(&s->versions, &c->delta.version, text->str);
	pthread_mutex_unlock(&s->lock);
	base_log(G_LOG_LEVEL_WARNING, "config_rejected",
	    "version=%s source=%s errors=%d first=\"%s\"",
	    version_str(&c->delta.version, name), c->source, rep->errors,
	    text->str);
	g_string_free(text, TRUE);
}

/* Keeps a text as a base; with the lock held. */
static void
keep(struct config_store *s, const struct candidate_set *c, GBytes *text)
{
	if (s->nheld == CONFIG_HELD)
		g_bytes_unref(s->held[--s->nheld].text);
	memmove(
	    &s->held[1], &s->held[0], (size_t)s->nheld * sizeof(s->held[0]));
	s->held[0].version = c->delta.version;
	s->held[0].text = g_bytes_ref(text);
	s->nheld++;
	memcpy(s->parent, c->delta.parent, VERSION_HASH_LEN);
	s->has_parent = c->delta.has_parent;
}

/* Waits until nobody reads what was in force before. */
static void
wait_for_readers(void)
{
	urcu_bp_synchronize_rcu();
	base_observe(&readers);
}

/* Puts a checked set in force. */
static void
publish(struct config_store *s, struct candidate_set *c, struct set *set,
    GBytes *text)
{
	struct config *next, *old;
	GBytes *step = NULL, *stale;
	char name[VERSION_STR_LEN];
	int skipped;

	next = g_new0(struct config, 1);
	next->set = set;
	next->version = c->delta.version;
	memcpy(next->parent, c->delta.parent, VERSION_HASH_LEN);
	next->has_parent = c->delta.has_parent;
	next->applied_wall_ms = base_wall_ms();
	g_strlcpy(next->source, c->source, sizeof(next->source));
	if (s->nheld > 0 && !s->full_sets)
		step = delta_make(s->held[0].text, text);
	old = s->current;
	skipped =
	    old != NULL && next->has_parent &&
	    next->version.number == old->version.number + 1 &&
	    memcmp(next->parent, old->version.hash, VERSION_HASH_LEN) != 0;
	pthread_mutex_lock(&s->lock);
	version_take(&s->versions, &next->version);
	keep(s, c, text);
	stale = s->step;
	s->step = step;
	s->skipped = skipped;
	base_publish(next);
	rcu_assign_pointer(s->current, next);
	pthread_mutex_unlock(&s->lock);
	wait_for_readers();
	if (old != NULL) {
		set_free(old->set);
		g_free(old);
	}
	if (stale != NULL)
		g_bytes_unref(stale);
	counter_add(CTR_APPLIED, 1);
	base_log(G_LOG_LEVEL_MESSAGE, "config_applied",
	    "version=%s source=%s check_us=%" PRId64,
	    version_str(&next->version, name), next->source,
	    base_now_us() - c->began_us);
	if (skipped)
		base_log(G_LOG_LEVEL_WARNING, "config_skips",
		    "version=%s was not made from the version before it, "
		    "whose changes it may undo",
		    version_str(&next->version, name));
}

/* Decides over one candidate: whole or not at all. */
static void
consider(struct config_store *s, struct candidate_set *c)
{
	unsigned char hash[VERSION_HASH_LEN];
	enum offer_verdict v;
	struct report *rep;
	struct set *set;
	GBytes *text;
	gsize len;
	const char *data;

	c->began_us = base_now_us();
	v = config_offer(s, &c->delta.version);
	if (v != OFFER_FETCH && v != OFFER_CONFLICT_WINS)
		return;
	if ((text = decode(s, c)) == NULL) {
		fail(s, c, "not a difference to a set held here");
		return;
	}
	data = g_bytes_get_data(text, &len);
	version_hash(data, len, hash);
	if (memcmp(hash, c->delta.version.hash, VERSION_HASH_LEN) != 0) {
		fail(s, c, "its text does not fit its hash");
		g_bytes_unref(text);
		return;
	}
	rep = report_new();
	if ((set = set_parse(data, len, rep)) == NULL)
		reject(s, c, rep);
	else
		publish(s, c, set, text);
	report_free(rep);
	g_bytes_unref(text);
}

/* The store's thread. */
static void *
store_main(void *arg)
{
	struct config_store *s = arg;
	struct candidate_set *c;
	int last = 0;

	while (!last) {
		c = queue_pop(s->work);
		last = c->last;
		if (!last) {
			consider(s, c);
			s->changed(s->arg);
			g_bytes_unref(c->delta.payload);
		}
		g_free(c);
	}
	return NULL;
}

/* Builds the newest version for somebody else. */
int
config_encode(struct config_store *s,
    const unsigned char (*bases)[VERSION_HASH_LEN], int nbases,
    struct config_delta *out)
{
	GBytes *text, *base = NULL, *step = NULL;
	int i, j, found = -1;

	pthread_mutex_lock(&s->lock);
	if (s->nheld == 0) {
		pthread_mutex_unlock(&s->lock);
		return NODE_EBASE;
	}
	for (i = 1; i < s->nheld && found < 0 && !s->full_sets; i++)
		for (j = 0; j < nbases && found < 0; j++)
			if (memcmp(s->held[i].version.hash, bases[j],
				VERSION_HASH_LEN) == 0)
				found = i;
	memset(out, 0, sizeof(*out));
	out->version = s->held[0].version;
	memcpy(out->parent, s->parent, VERSION_HASH_LEN);
	out->has_parent = s->has_parent;
	text = g_bytes_ref(s->held[0].text);
	if (found == 1 && s->step != NULL)
		step = g_bytes_ref(s->step);
	if (found > 0) {
		base = g_bytes_ref(s->held[found].text);
		memcpy(
		    out->base, s->held[found].version.hash, VERSION_HASH_LEN);
		out->has_base = 1;
	}
	pthread_mutex_unlock(&s->lock);
	out->length = g_bytes_get_size(text);
	out->payload = step != NULL ? step : delta_make(base, text);
	if (base != NULL)
		g_bytes_unref(base);
	g_bytes_unref(text);
	return NODE_OK;
}

/* Lists the bases held. */
int
config_bases(struct config_store *s, unsigned char (*bases)[VERSION_HASH_LEN])
{
	int i, n;

	pthread_mutex_lock(&s->lock);
	n = s->nheld;
	for (i = 0; i < n; i++)
		memcpy(bases[i], s->held[i].version.hash, VERSION_HASH_LEN);
	pthread_mutex_unlock(&s->lock);
	return n;
}

/* Appends the state of the configuration. */
void
config_status(struct config_store *s, GString *out)
{
	const struct config *c;
	struct version_state v;
	const struct version *rejected;
	const char *reason, *by;
	char name[VERSION_STR_LEN], hex[HASH_HEX_LEN], failure[128];
	int skipped;

	pthread_mutex_lock(&s->lock);
	v = s->versions;
	skipped = s->skipped;
	g_strlcpy(failure, s->failure, sizeof(failure));
	pthread_mutex_unlock(&s->lock);
	hash_to_hex(v.held.hash, hex);
	g_string_append_printf(out,
	    "\"version\": %" PRIu64 ", \"hash\": \"%s\"", v.held.number, hex);
	config_lock();
	if ((c = config_get(s)) != NULL)
		g_string_append_printf(out,
		    ", \"age_ms\": %" PRId64 ", \"source\": \"%s\"",
		    base_wall_ms() - c->applied_wall_ms, c->source);
	config_unlock();
	g_string_append_printf(
	    out, ", \"skips\": %s", skipped ? "true" : "false");
	if ((rejected = version_rejected(&v, &reason, &by)) != NULL) {
		g_string_append_printf(
		    out, ", \"rejected\": \"%s\"", version_str(rejected, name));
		g_string_append(out, ", \"reason\": ");
		json_quote(out, reason);
		g_string_append(out, ", \"rejected_by\": ");
		json_quote(out, by);
	}
	if (v.conflict.number > 0 && v.conflict.number == v.held.number)
		g_string_append_printf(out, ", \"conflict\": \"%s\"",
		    version_str(&v.conflict, name));
	if (failure[0] != '\0') {
		g_string_append(out, ", \"unusable\": ");
		json_quote(out, failure);
	}
}
