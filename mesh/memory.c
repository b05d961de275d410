/*
 * A guard's memory of the ids of requests that may run at most once.  All ids
 * are kept for the same time, so a queue in order of arrival is also in order
 * of expiry.  An id whose request is still held when it expires is moved to
 * the end of the queue.
 */
#include <string.h>

#include "guard_int.h"

/* An id and what became of its request. */
struct memory_id {
	char id[GUARD_ID_MAX + 1];
	enum memory_state state;
	int64_t expires;
};

/* A target that left the set. */
struct removed {
	char self[MESH_NAME_MAX + 1]; /* this guard's target at that time */
	char target[MESH_NAME_MAX + 1];
	int64_t wall_ms;
};

struct memory {
	GHashTable *ids; /* id to struct memory_id, owned */
	GQueue *order;	 /* of struct memory_id, by expiry */
	GArray *removed; /* of struct removed */
	int64_t since_wall_ms;
};

static void expire_removed(struct memory *, int64_t);

/* The time is that of the start, or of a change of the target. */
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

/* The table of ids owns what the queue refers to. */
void
memory_free(struct memory *m)
{
	g_queue_free(m->order);
	g_hash_table_destroy(m->ids);
	g_array_free(m->removed, TRUE);
	g_free(m);
}

/* Also finds an id that is due to expire but not expired yet. */
int
memory_find(struct memory *m, const char *id)
{
	struct memory_id *e;

	e = g_hash_table_lookup(m->ids, id);
	return e == NULL ? MESH_ENOTFOUND : (int)e->state;
}

/* A change of state does not extend the time for which an id is kept. */
int
memory_put(
    struct memory *m, const char *id, enum memory_state state, int64_t now)
{
	struct memory_id *e;

	if ((e = g_hash_table_lookup(m->ids, id)) != NULL) {
		e->state = state;
		return MESH_OK;
	}
	if (g_hash_table_size(m->ids) >= GUARD_IDS_MAX)
		return MESH_EFULL;
	e = g_new0(struct memory_id, 1);
	g_strlcpy(e->id, id, sizeof(e->id));
	e->state = state;
	e->expires = now + GUARD_REMEMBER_MS;
	g_hash_table_insert(m->ids, e->id, e);
	g_queue_push_tail(m->order, e);
	return MESH_OK;
}

/*
 * The id must have been created after this memory, and recently enough not to
 * have expired.  Both bounds allow for the difference between the wall clocks
 * of the entry and the guard.
 */
int
memory_covers(const struct memory *m, int64_t born, int64_t wall_ms)
{
	if (born < m->since_wall_ms + GUARD_SKEW_MS)
		return 0;
	return born > wall_ms - GUARD_REMEMBER_MS + 2 * GUARD_SKEW_MS;
}

/* Called on each admission and fence, so no timer is needed. */
void
memory_expire(struct memory *m, int64_t now)
{
	struct memory_id *e;

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

/* Number of ids in any state. */
int
memory_count(const struct memory *m)
{
	return (int)g_hash_table_size(m->ids);
}

/* Drops removals so old that no covered id was created before them. */
static void
expire_removed(struct memory *m, int64_t wall_ms)
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

/* A removal is kept for as long as ids created before it are covered. */
void
memory_target_removed(
    struct memory *m, const char *self, const char *target, int64_t wall_ms)
{
	struct removed r = { .wall_ms = wall_ms };

	expire_removed(m, wall_ms);
	g_strlcpy(r.self, self, sizeof(r.self));
	g_strlcpy(r.target, target, sizeof(r.target));
	g_array_append_val(m->removed, r);
}

/*
 * Whether an id was created before a removal and the removed target ranks above
 * this guard's in the order of the id's homes.  Then the request may have been
 * sent there first.
 */
int
memory_may_have_run_elsewhere(
    const struct memory *m, const char *id, int64_t born)
{
	const struct removed *r;
	guint i;

	for (i = 0; i < m->removed->len; i++) {
		r = &g_array_index(m->removed, struct removed, i);
		if (born < r->wall_ms + GUARD_SKEW_MS &&
		    pick_home_weight(id, r->target) >
			pick_home_weight(id, r->self))
			return 1;
	}
	return 0;
}
