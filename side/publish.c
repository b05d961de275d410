/*
 * The items that this node sends to one that subscribes or asks for them.  That
 * node lists the digests of those that it holds.  In a large data centre all
 * nodes subscribe to the next one at once when their publisher leaves, and a
 * copy of the configuration for each would fill its link.
 */
#include <string.h>

#include <xxhash.h>

#include "follow_int.h"

#define BASE_MIN_BYTES 4096 /* smaller values save little as a base */

static uint64_t
held_digest(const struct follow *, const char *, const struct platform_item *);
static uint64_t item_digest(const char *, const struct platform_item *);
static GHashTable *digest_set(const struct proxy_held *);

/* Digest of an item; it differs if any part of the item does. */
static uint64_t
item_digest(const char *key, const struct platform_item *it)
{
	const uint64_t numbers[] = { it->revision.era, it->revision.number,
		(uint64_t)it->copied, (uint64_t)it->removed.major,
		(uint64_t)it->removed.minor };
	uint64_t h =
	    XXH64(key, strlen(key), XXH64(numbers, sizeof(numbers), 0));
	const void *value;
	gsize len;

	if (it->value == NULL)
		return h;
	value = g_bytes_get_data(it->value, &len);
	return XXH64(value, len, h);
}

/* Digest of a held item; that of a large value was kept with it. */
static uint64_t
held_digest(
    const struct follow *f, const char *key, const struct platform_item *it)
{
	size_t i;

	for (i = 0; i < HELD_BASES_MAX && it->value != NULL; i++)
		if (f->bases[i].value == it->value)
			return f->bases[i].digest;
	return item_digest(key, it);
}

/* Keeps a large value as a base of updates, in place of the oldest. */
void
held_keep_base(struct follow *f, const struct platform_item *it)
{
	struct proxy_base *last = &f->bases[HELD_BASES_MAX - 1];
	char *key;

	if (it->value == NULL || g_bytes_get_size(it->value) < BASE_MIN_BYTES)
		return;
	if (last->value != NULL)
		g_bytes_unref(last->value);
	memmove(&f->bases[1], f->bases, sizeof(f->bases) - sizeof(*last));
	key = platform_item_key(it);
	f->bases[0] =
	    (struct proxy_base){ item_digest(key, it), g_bytes_ref(it->value) };
	g_free(key);
}

/* Releases the bases. */
void
held_clear_bases(struct follow *f)
{
	size_t i;

	for (i = 0; i < HELD_BASES_MAX; i++)
		if (f->bases[i].value != NULL)
			g_bytes_unref(f->bases[i].value);
}

/* Adds the bases to the array, each with a reference for the caller. */
void
held_list_bases(void *arg, GArray *bases)
{
	const struct follow *f = arg;
	struct proxy_base b;
	size_t i;

	for (i = 0; i < HELD_BASES_MAX && f->bases[i].value != NULL; i++) {
		b = f->bases[i];
		g_bytes_ref(b.value);
		g_array_append_val(bases, b);
	}
}

/*
 * Adds the digest of each held item to the array, and those of former large
 * values: a publisher that is behind need not send them.
 */
void
held_list(void *arg, GArray *digests)
{
	const struct follow *f = arg;
	GHashTableIter it;
	gpointer key, value;
	uint64_t digest;
	size_t i;

	g_hash_table_iter_init(&it, f->held);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		digest = held_digest(f, key, value);
		g_array_append_val(digests, digest);
	}
	for (i = 0; i < HELD_BASES_MAX && f->bases[i].value != NULL; i++)
		g_array_append_val(digests, f->bases[i].digest);
}

/* Returns the digests as a set that borrows them. */
static GHashTable *
digest_set(const struct proxy_held *held)
{
	GHashTable *set = g_hash_table_new(g_int64_hash, g_int64_equal);
	size_t i;

	for (i = 0; i < held->n; i++)
		g_hash_table_add(set, (gpointer)&held->digests[i]);
	return set;
}

/* A removal that is yet to be verified is not held, so removals stay. */
void
held_list_items(const struct follow *f, GPtrArray *items)
{
	const struct platform_item *item;
	GHashTableIter it;
	gpointer value;
	guint i;

	for (i = items->len; i > 0; i--) {
		item = g_ptr_array_index(items, i - 1);
		if (item->value != NULL)
			g_ptr_array_remove_index(items, i - 1);
	}
	g_hash_table_iter_init(&it, f->held);
	while (g_hash_table_iter_next(&it, NULL, &value))
		g_ptr_array_add(items, value);
}

/* Appends the held items that the peer lacks. */
void
held_write(void *arg, const struct proxy_held *peer, GString *out)
{
	struct follow *f = arg;
	GHashTable *set;
	GPtrArray *items;
	GHashTableIter it;
	gpointer key, value;
	uint64_t digest;

	if (f->view->config == NULL && !config_apply_is_pending(f))
		return;
	set = digest_set(peer);
	items = g_ptr_array_new();
	g_hash_table_iter_init(&it, f->held);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		digest = held_digest(f, key, value);
		if (!g_hash_table_contains(set, &digest))
			g_ptr_array_add(items, value);
	}
	state_pack(items, f->held_revision, out);
	g_ptr_array_free(items, TRUE);
	g_hash_table_destroy(set);
}
