/*
 * The items that this node sends to one that subscribes or asks for them.  That
 * node lists the digests of those that it holds.  In a large data centre all
 * nodes subscribe to the next one at once when their publisher leaves, and a
 * copy of the configuration for each would fill its link.
 */
#include <string.h>

#include <xxhash.h>

#include "follow_int.h"

static uint64_t item_digest(const char *, const struct platform_item *);
static GHashTable *digest_set(const struct proxy_held *);

/* Digest of an item; it differs for any other revision, key or value. */
static uint64_t
item_digest(const char *key, const struct platform_item *it)
{
	uint64_t h = XXH64(key, strlen(key), it->revision);
	const void *value;
	gsize len;

	if (it->value == NULL)
		return h;
	value = g_bytes_get_data(it->value, &len);
	return XXH64(value, len, h);
}

/* Adds the digest of each held item to the array. */
void
held_list(void *arg, GArray *digests)
{
	struct follow *f = arg;
	GHashTableIter it;
	gpointer key, value;
	uint64_t digest;

	g_hash_table_iter_init(&it, f->held);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		digest = item_digest(key, value);
		g_array_append_val(digests, digest);
	}
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

	if (f->view->config == NULL)
		return;
	set = digest_set(peer);
	items = g_ptr_array_new();
	g_hash_table_iter_init(&it, f->held);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		digest = item_digest(key, value);
		if (!g_hash_table_contains(set, &digest))
			g_ptr_array_add(items, value);
	}
	state_pack(items, f->held_revision, out);
	g_ptr_array_free(items, TRUE);
	g_hash_table_destroy(set);
}
