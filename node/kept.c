/*
 * Answers kept for those who ask again: for two minutes those to requests that
 * run once, whose callers may send again under the same id; for some seconds
 * those to other requests, whose entry may have lost its connection.
 */
#include <string.h>

#include "serve_int.h"

static void kept_free(gpointer);
static void drop_first(struct kept_store *);

/* Releases a kept answer. */
static void
kept_free(gpointer p)
{
	struct kept *k = p;

	g_bytes_unref(k->packed);
	g_free(k);
}

/* Prepares an empty store. */
void
kept_init(struct kept_store *s, int64_t keep_ms)
{
	s->answers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, kept_free);
	s->order = g_queue_new();
	s->keep_ms = keep_ms;
}

/* Releases all answers. */
void
kept_destroy(struct kept_store *s)
{
	g_queue_free(s->order);
	g_hash_table_destroy(s->answers);
}

/* Drops the oldest answer. */
static void
drop_first(struct kept_store *s)
{
	struct kept *k = g_queue_pop_head(s->order);

	s->bytes -= g_bytes_get_size(k->packed);
	g_hash_table_remove(s->answers, k->id);
}

/* Drops what is past its time or over the bound. */
void
kept_expire(struct kept_store *s, int64_t now)
{
	struct kept *k;

	while ((k = g_queue_peek_head(s->order)) != NULL &&
	       (k->until <= now || s->bytes > KEPT_BYTES_MAX))
		drop_first(s);
}

/* Keeps an answer, if it is small enough. */
void
kept_add(
    struct kept_store *s, const char *id, const Wire__Answer *a, int64_t now)
{
	struct kept *k;
	size_t len = wire__answer__get_packed_size(a);
	uint8_t *buf;

	if (len > KEPT_ANSWER || g_hash_table_contains(s->answers, id))
		return;
	buf = g_malloc(len);
	wire__answer__pack(a, buf);
	k = g_new0(struct kept, 1);
	g_strlcpy(k->id, id, sizeof(k->id));
	k->packed = g_bytes_new_take(buf, len);
	k->until = now + s->keep_ms;
	g_hash_table_insert(s->answers, k->id, k);
	g_queue_push_tail(s->order, k);
	s->bytes += len;
	kept_expire(s, now);
}

/* Finds the answer kept under an id. */
Wire__Answer *
kept_find(const struct kept_store *s, const char *id)
{
	struct kept *k;
	const uint8_t *data;
	gsize len;

	if ((k = g_hash_table_lookup(s->answers, id)) == NULL)
		return NULL;
	data = g_bytes_get_data(k->packed, &len);
	return wire__answer__unpack(NULL, len, data);
}
