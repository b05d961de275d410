/*
 * Cache of answers by request id.  Answers to at-most-once requests stay for
 * GUARD_REMEMBER_MS (two minutes), as callers may send those again under the
 * same id.  Answers to repeatable requests stay for REPEATABLE_CACHE_MS, so
 * that an entry that lost its connection can still get them.
 */
#include <string.h>

#include "serve_int.h"

static void cached_answer_free(gpointer);
static void evict_oldest(struct answer_cache *);

/* Releases a cached answer. */
static void
cached_answer_free(gpointer p)
{
	struct cached_answer *k = p;

	g_bytes_unref(k->packed);
	g_free(k);
}

/* Creates an empty cache. */
void
answer_cache_init(struct answer_cache *s, int64_t lifetime_ms)
{
	s->answers = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, cached_answer_free);
	s->order = g_queue_new();
	s->lifetime_ms = lifetime_ms;
}

/* Releases all answers. */
void
answer_cache_destroy(struct answer_cache *s)
{
	g_queue_free(s->order);
	g_hash_table_destroy(s->answers);
}

/* Evicts the oldest answer. */
static void
evict_oldest(struct answer_cache *s)
{
	struct cached_answer *k = g_queue_pop_head(s->order);

	s->bytes -= g_bytes_get_size(k->packed);
	g_hash_table_remove(s->answers, k->id);
}

/* Evicts expired answers, and the oldest ones above the size limit. */
void
answer_cache_expire(struct answer_cache *s, int64_t now)
{
	struct cached_answer *k;

	while ((k = g_queue_peek_head(s->order)) != NULL &&
	       (k->expires_at <= now || s->bytes > CACHE_BYTES_MAX))
		evict_oldest(s);
}

/* Adds a packed copy of an answer, unless it is too large. */
void
answer_cache_add(
    struct answer_cache *s, const char *id, const Wire__Answer *a, int64_t now)
{
	struct cached_answer *k;
	size_t len = wire__answer__get_packed_size(a);
	uint8_t *buf;

	if (len > CACHED_ANSWER_MAX || g_hash_table_contains(s->answers, id))
		return;
	buf = g_malloc(len);
	wire__answer__pack(a, buf);
	k = g_new0(struct cached_answer, 1);
	g_strlcpy(k->id, id, sizeof(k->id));
	k->packed = g_bytes_new_take(buf, len);
	k->expires_at = now + s->lifetime_ms;
	g_hash_table_insert(s->answers, k->id, k);
	g_queue_push_tail(s->order, k);
	s->bytes += len;
	answer_cache_expire(s, now);
}

/* Unpacks the answer cached under an id. */
Wire__Answer *
answer_cache_find(const struct answer_cache *s, const char *id)
{
	struct cached_answer *k;
	const uint8_t *data;
	gsize len;

	if ((k = g_hash_table_lookup(s->answers, id)) == NULL)
		return NULL;
	data = g_bytes_get_data(k->packed, &len);
	return wire__answer__unpack(NULL, len, data);
}
