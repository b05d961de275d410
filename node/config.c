/*
 * The configuration store.  The store's mutex is acquired with no other lock
 * held.  The store's thread does not hold it while it validates or compresses
 * a set, so other threads wait only briefly.
 */
#include <inttypes.h>
#include <pthread.h>
#include <string.h>

#include <urcu/urcu-bp.h>

#include "config.h"
#include "delta.h"

/* The text of a version that is or was active, kept as a base of deltas. */
struct base_text {
	struct version version;
	GBytes *text;
};

/* A submitted version, queued for the store's thread. */
struct candidate_set {
	struct config_delta delta; /* payload is the plain text if !packed */
	int packed;		   /* 1: payload is a zstd frame from a peer */
	char source[MESH_NAME_MAX + 1];
	int64_t began_us; /* when its processing began */
	int last;	  /* 1: no version, ends the thread */
};

struct config_store {
	struct config *current; /* active, read under RCU; NULL if none */
	int full_sets;
	void (*changed)(void *);
	void *arg;
	GAsyncQueue *work; /* of struct candidate_set */
	pthread_t thread;
	pthread_mutex_t lock; /* protects the members below */
	struct version_state versions;
	struct base_text bases[CONFIG_BASES_MAX]; /* newest first */
	int nbases;
	GBytes *delta; /* cached delta between the two newest, or NULL */
	unsigned char parent[VERSION_HASH_LEN]; /* of the newest */
	int has_parent;
	int skips_parent;  /* 1: the newest's parent is not its predecessor */
	char failure[128]; /* why the last unusable submission failed */
};

/* Shows ThreadSanitizer the ordering that RCU gives readers and writer. */
static char readers_sync;

static void *store_main(void *);
static void wait_for_readers(void);
static void process(struct config_store *, struct candidate_set *);
static GBytes *decode(struct config_store *, struct candidate_set *);
static GBytes *find_base(struct config_store *, const unsigned char *);
static void
activate(struct config_store *, struct candidate_set *, struct set *, GBytes *);
static void
add_base(struct config_store *, const struct candidate_set *, GBytes *);
static void
reject(struct config_store *, const struct candidate_set *, struct report *);
static void record_failure(
    struct config_store *, const struct candidate_set *, const char *);

/* Starts the store's thread; it calls changed after each submission. */
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

/* Ends the thread after the queued submissions, and releases the store. */
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
	for (i = 0; i < s->nbases; i++)
		g_bytes_unref(s->bases[i].text);
	if (s->delta != NULL)
		g_bytes_unref(s->delta);
	g_async_queue_unref(s->work);
	pthread_mutex_destroy(&s->lock);
	g_free(s);
}

/* Begins a read-side section: what config_get returns in it stays valid. */
void
config_read_lock(void)
{
	urcu_bp_read_lock();
}

/* Ends a read-side section, on which wait_for_readers may be waiting. */
void
config_read_unlock(void)
{
	base_tsan_release(&readers_sync);
	urcu_bp_read_unlock();
}

/* The active configuration, or NULL; only within a read-side section. */
const struct config *
config_get(const struct config_store *s)
{
	struct config *c = rcu_dereference(s->current);

	if (c != NULL)
		base_tsan_acquire(c);
	return c;
}

/* Copies the version state under the lock. */
void
config_versions(struct config_store *s, struct version_state *out)
{
	pthread_mutex_lock(&s->lock);
	*out = s->versions;
	pthread_mutex_unlock(&s->lock);
}

/* Records another node's rejection; it does not bind this node. */
void
config_record_rejection(struct config_store *s, const struct version *v,
    const char *reason, const char *by)
{
	pthread_mutex_lock(&s->lock);
	version_peer_rejected(&s->versions, v, reason, by);
	pthread_mutex_unlock(&s->lock);
}

/* Decides over an offer; a conflict that the offer loses is logged once. */
enum offer_verdict
config_offer(struct config_store *s, const struct version *v)
{
	enum offer_verdict verdict;
	int reported;

	pthread_mutex_lock(&s->lock);
	reported = version_cmp(&s->versions.conflict, v) == 0;
	verdict = version_offer(&s->versions, v);
	pthread_mutex_unlock(&s->lock);
	if (verdict == OFFER_CONFLICT_LOSES && !reported) {
		counter_add(CTR_CONFLICTS, 1);
		base_log(G_LOG_LEVEL_WARNING, "config_conflict",
		    "version=%" PRIu64 " two sets were published under one "
		    "number; the version with the greater hash stays active",
		    v->number);
	}
	return verdict;
}

/* Queues the plain text of a version; takes a reference to it. */
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

/* Queues a compressed version of a peer; takes a reference to it. */
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

/* Finds a base text by its hash.  Returns a new reference, or NULL. */
static GBytes *
find_base(struct config_store *s, const unsigned char *h)
{
	GBytes *text = NULL;
	int i;

	pthread_mutex_lock(&s->lock);
	for (i = 0; i < s->nbases && text == NULL; i++)
		if (memcmp(s->bases[i].version.hash, h, VERSION_HASH_LEN) == 0)
			text = g_bytes_ref(s->bases[i].text);
	pthread_mutex_unlock(&s->lock);
	return text;
}

/* Returns a candidate's text, or NULL if it cannot be decoded. */
static GBytes *
decode(struct config_store *s, struct candidate_set *c)
{
	GBytes *base = NULL, *text;

	if (!c->packed)
		return g_bytes_ref(c->delta.payload);
	if (c->delta.has_base && (base = find_base(s, c->delta.base)) == NULL)
		return NULL;
	text = delta_apply(base, c->delta.payload, c->delta.length);
	if (base != NULL)
		g_bytes_unref(base);
	return text;
}

/* Records and logs an unusable text: no rejection, as it was not validated. */
static void
record_failure(
    struct config_store *s, const struct candidate_set *c, const char *why)
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

/* Records and logs that validation refused a candidate, and why. */
static void
reject(struct config_store *s, const struct candidate_set *c, struct report *r)
{
	char name[VERSION_STR_LEN];
	GString *text = g_string_new(NULL);

	report_print(r, "set", text);
	g_string_truncate(text, strcspn(text->str, "\n"));
	counter_add(CTR_REJECTED, 1);
	pthread_mutex_lock(&s->lock);
	version_reject(&s->versions, &c->delta.version, text->str);
	pthread_mutex_unlock(&s->lock);
	base_log(G_LOG_LEVEL_WARNING, "config_rejected",
	    "version=%s source=%s errors=%d first=\"%s\"",
	    version_str(&c->delta.version, name), c->source, r->errors,
	    text->str);
	g_string_free(text, TRUE);
}

/* Adds a text as the newest base.  The caller holds the lock. */
static void
add_base(struct config_store *s, const struct candidate_set *c, GBytes *text)
{
	if (s->nbases == CONFIG_BASES_MAX)
		g_bytes_unref(s->bases[--s->nbases].text);
	memmove(&s->bases[1], &s->bases[0],
	    (size_t)s->nbases * sizeof(s->bases[0]));
	s->bases[0].version = c->delta.version;
	s->bases[0].text = g_bytes_ref(text);
	s->nbases++;
	memcpy(s->parent, c->delta.parent, VERSION_HASH_LEN);
	s->has_parent = c->delta.has_parent;
}

/* Waits until no reader holds a pointer to the replaced configuration. */
static void
wait_for_readers(void)
{
	urcu_bp_synchronize_rcu();
	base_tsan_acquire(&readers_sync);
}

/* Activates a validated set and releases the one that it replaces. */
static void
activate(struct config_store *s, struct candidate_set *c, struct set *set,
    GBytes *text)
{
	struct config *next, *old;
	GBytes *delta = NULL, *old_delta;
	char name[VERSION_STR_LEN];
	int skips;

	next = g_new0(struct config, 1);
	next->set = set;
	next->version = c->delta.version;
	memcpy(next->parent, c->delta.parent, VERSION_HASH_LEN);
	next->has_parent = c->delta.has_parent;
	next->applied_wall_ms = base_wall_ms();
	g_strlcpy(next->source, c->source, sizeof(next->source));
	if (s->nbases > 0 && !s->full_sets)
		delta = delta_make(s->bases[0].text, text);
	old = s->current;
	/* A successor edited from another set may undo earlier changes. */
	skips = old != NULL && next->has_parent &&
		next->version.number == old->version.number + 1 &&
		memcmp(next->parent, old->version.hash, VERSION_HASH_LEN) != 0;
	pthread_mutex_lock(&s->lock);
	version_accept(&s->versions, &next->version);
	add_base(s, c, text);
	old_delta = s->delta;
	s->delta = delta;
	s->skips_parent = skips;
	base_tsan_release(next);
	rcu_assign_pointer(s->current, next);
	pthread_mutex_unlock(&s->lock);
	wait_for_readers();
	if (old != NULL) {
		set_free(old->set);
		g_free(old);
	}
	if (old_delta != NULL)
		g_bytes_unref(old_delta);
	counter_add(CTR_APPLIED, 1);
	base_log(G_LOG_LEVEL_MESSAGE, "config_applied",
	    "version=%s source=%s check_us=%" PRId64,
	    version_str(&next->version, name), next->source,
	    base_now_us() - c->began_us);
	if (skips)
		base_log(G_LOG_LEVEL_WARNING, "config_skips",
		    "version=%s was not edited from the version before it "
		    "and may undo its changes",
		    version_str(&next->version, name));
}

/* Processes one candidate: activates it as a whole, or changes nothing. */
static void
process(struct config_store *s, struct candidate_set *c)
{
	unsigned char hash[VERSION_HASH_LEN];
	enum offer_verdict v;
	struct report *rep;
	struct set *set;
	GBytes *text;
	gsize len;
	const char *data;

	c->began_us = base_now_us();
	/* Another version may have become active since the submission. */
	v = config_offer(s, &c->delta.version);
	if (v != OFFER_FETCH && v != OFFER_CONFLICT_WINS)
		return;
	if ((text = decode(s, c)) == NULL) {
		record_failure(s, c, "not a difference to a set held here");
		return;
	}
	data = g_bytes_get_data(text, &len);
	version_hash(data, len, hash);
	if (memcmp(hash, c->delta.version.hash, VERSION_HASH_LEN) != 0) {
		record_failure(s, c, "its text does not fit its hash");
		g_bytes_unref(text);
		return;
	}
	rep = report_new();
	if ((set = set_parse(data, len, rep)) == NULL)
		reject(s, c, rep);
	else
		activate(s, c, set, text);
	report_free(rep);
	g_bytes_unref(text);
}

/* The store's thread: processes candidates in the order of submission. */
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
			process(s, c);
			s->changed(s->arg);
			g_bytes_unref(c->delta.payload);
		}
		g_free(c);
	}
	return NULL;
}

/* Encodes the newest text, as a delta if the receiver holds a base. */
int
config_encode(struct config_store *s,
    const unsigned char (*bases)[VERSION_HASH_LEN], int nbases,
    struct config_delta *out)
{
	GBytes *text, *base = NULL, *delta = NULL;
	int i, j, at = -1;

	pthread_mutex_lock(&s->lock);
	if (s->nbases == 0) {
		pthread_mutex_unlock(&s->lock);
		return NODE_EBASE;
	}
	for (i = 1; i < s->nbases && at < 0 && !s->full_sets; i++)
		for (j = 0; j < nbases && at < 0; j++)
			if (memcmp(s->bases[i].version.hash, bases[j],
				VERSION_HASH_LEN) == 0)
				at = i;
	memset(out, 0, sizeof(*out));
	out->version = s->bases[0].version;
	memcpy(out->parent, s->parent, VERSION_HASH_LEN);
	out->has_parent = s->has_parent;
	text = g_bytes_ref(s->bases[0].text);
	if (at == 1 && s->delta != NULL)
		delta = g_bytes_ref(s->delta);
	if (at > 0) {
		base = g_bytes_ref(s->bases[at].text);
		memcpy(out->base, s->bases[at].version.hash, VERSION_HASH_LEN);
		out->has_base = 1;
	}
	pthread_mutex_unlock(&s->lock);
	out->length = g_bytes_get_size(text);
	out->payload = delta != NULL ? delta : delta_make(base, text);
	if (base != NULL)
		g_bytes_unref(base);
	g_bytes_unref(text);
	return NODE_OK;
}

/* Copies the hashes of the texts held, newest first; returns how many. */
int
config_bases(struct config_store *s, unsigned char (*bases)[VERSION_HASH_LEN])
{
	int i, n;

	pthread_mutex_lock(&s->lock);
	n = s->nbases;
	for (i = 0; i < n; i++)
		memcpy(bases[i], s->bases[i].version.hash, VERSION_HASH_LEN);
	pthread_mutex_unlock(&s->lock);
	return n;
}

/* Appends members of a JSON object for the status page. */
void
config_status(struct config_store *s, GString *out)
{
	const struct config *c;
	struct version_state v;
	const struct version *rejected;
	const char *reason, *by;
	char name[VERSION_STR_LEN], hex[HASH_HEX_LEN], failure[128];
	int skips_parent;

	pthread_mutex_lock(&s->lock);
	v = s->versions;
	skips_parent = s->skips_parent;
	g_strlcpy(failure, s->failure, sizeof(failure));
	pthread_mutex_unlock(&s->lock);
	hash_to_hex(v.held.hash, hex);
	g_string_append_printf(out,
	    "\"version\": %" PRIu64 ", \"hash\": \"%s\"", v.held.number, hex);
	config_read_lock();
	if ((c = config_get(s)) != NULL)
		g_string_append_printf(out,
		    ", \"age_ms\": %" PRId64 ", \"source\": \"%s\"",
		    base_wall_ms() - c->applied_wall_ms, c->source);
	config_read_unlock();
	g_string_append_printf(
	    out, ", \"skips\": %s", skips_parent ? "true" : "false");
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
