/*
 * A guard's memory of ids that may run at most once.  Every id is kept for
 * the same time, so a queue in order of arrival finds what to forget; an id
 * whose request is still held is queued again.
 */
#include <string.h>

#include "guard_int.h"

/* One remembered id. */
struct entry {
	char id[GUARD_ID_MAX + 1];
	enum memory_state state;
	int64_t expires;
};

/* A target that left the set. */
struct removed {
	char self[MESH_NAME_MAX + 1];
	char target[MESH_NAME_MAX + 1];
	int64_t wall_ms;
};

struct memory {
	GHashTable *ids; /* id to struct entry, owned */
	GQueue *order;	 /* of struct entry, by expiry */
	GArray *removed; /* of struct removed */
	int64_t since_wall_ms;
};

static void forget_removed(struct memory *, int64_t);

/* Creates an empty memory. */
struct memory *
memory_new(int64_t since_wall_ms)
{
	struct memory *m;

	m = g_new0(struct memory, 1);
	m->ids = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	m->order = g_queue_new();
	m->removed = g_array_new(FALSE, FALSE, sizeof(struct removed));
	m->since_wall_ms = since_wall_ms;
	return m;
}

/* Releases a memory. */
void
memory_free(struct memory *m)
{
	g_queue_free(m->order);
	g_hash_table_destroy(m->ids);
	g_array_free(m->removed, TRUE);
	g_free(m);
}

/* Looks an id up. */
int
memory_find(struct memory *m, const char *id)
{
	struct entry *e;

	e = g_hash_table_lookup(m->ids, id);
	return e == NULL ? MESH_ENOTFOUND : (int)e->state;
}

/* Records a new id or changes the state of one that is there. */
int
memory_put(
    struct memory *m, const char *id, enum memory_state state, int64_t now)
{
	struct entry *e;

	if ((e = g_hash_table_lookup(m->ids, id)) != NULL) {
		e->state = state;
		return MESH_OK;
	}
	if (g_hash_table_size(m->ids) >= GUARD_IDS_MAX)
		return MESH_EFULL;
	e = g_new0(struct entry, 1);
	g_strlcpy(e->id, id, sizeof(e->id));
	e->state = state;
	e->expires = now + GUARD_REMEMBER_MS;
	g_hash_table_insert(m->ids, e->id, e);
	g_queue_push_tail(m->order, e);
	return MESH_OK;
}

/*
 * Whether the memory reaches back to a birth: the guard was there, and the
 * window has not passed, both by wall clocks that may differ.
 */
int
memory_covers(const struct memory *m, int64_t born, int64_t wall_ms)
{
	if (born < m->since_wall_ms + GUARD_SKEW_MS)
		return 0;
	return born > wall_ms - GUARD_REMEMBER_MS + 2 * GUARD_SKEW_MS;
}

/* Forgets what is past its time. */
void
memory_expire(struct memory *m, int64_t now)
{
	struct entry *e;

	while ((e = g_queue_peek_head(m->order)) != NULL && e->expires <= now) {
		g_queue_pop_head(m->order);
		if (e->state == MEMORY_HELD) {
			e->expires = now + GUARD_REMEMBER_MS;
			g_queue_push_tail(m->order, e);
		} else {
			g_hash_table_remove(m->ids, e->id);
		}
	}
}

/* Ids remembered. */
int
memory_count(const struct memory *m)
{
	return (int)g_hash_table_size(m->ids);
}

/* Drops removals so old that no covered id was born before them. */
static void
forget_removed(struct memory *m, int64_t wall_ms)
{
	guint i = 0;

	while (i < m->removed->len) {
		if (g_array_index(m->removed, struct removed, i).wall_ms +
			GUARD_REMEMBER_MS <
		    wall_ms)
			g_array_remove_index_fast(m->removed, i);
		else
			i++;
	}
}

/* Remembers a removal for as long as ids born before it are covered. */
void
memory_note_removed(
    struct memory *m, const char *self, const char *target, int64_t wall_ms)
{
	struct removed r = { .wall_ms = wall_ms };

	forget_removed(m, wall_ms);
	g_strlcpy(r.self, self, sizeof(r.self));
	g_strlcpy(r.target, target, sizeof(r.target));
	g_array_append_val(m->removed, r);
}

/* Whether a removed target came before this one for an id born before. */
int
memory_lost(const struct memory *m, const char *id, int64_t born)
{
	const struct removed *r;
	guint i;

	for (i = 0; i < m->removed->len; i++) {
		r = &g_array_index(m->removed, struct removed, i);
		if (born < r->wall_ms + GUARD_SKEW_MS &&
		    pick_home(id, r->target) > pick_home(id, r->self))
			return 1;
	}
	return 0;
}
