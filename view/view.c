/* Listed targets, and data centres that are out. */
#include <string.h>

#include "view.h"

static int is_later(const struct view_target *, const struct view_target *);

/* A revision of an unknown era, 0, precedes those of all others. */
int
view_revision_compare(struct view_revision a, struct view_revision b)
{
	if (a.era != b.era)
		return a.era < b.era ? -1 : 1;
	return (a.number > b.number) - (a.number < b.number);
}

/* The id inside of a target is its key, so only values are freed. */
struct view *
view_new(void)
{
	struct view *v;

	v = g_new0(struct view, 1);
	v->targets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	v->out = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return v;
}

/* The configuration may outlive the view in other references. */
void
view_free(struct view *v)
{
	view_config_unref(v->config);
	g_hash_table_destroy(v->targets);
	g_hash_table_destroy(v->out);
	g_free(v);
}

/* Versions only increase, so a delayed older one has no effect. */
int
view_set_config(struct view *v, struct view_config *c)
{
	if (v->config != NULL && c->version <= v->config->version) {
		view_config_unref(c);
		return VIEW_EOLDER;
	}
	if (v->config != NULL)
		view_config_retire(v->config);
	view_config_unref(v->config);
	v->config = c;
	return VIEW_OK;
}

/* A change of revision, data centre or warm-up time alone returns 0. */
int
view_set_target(struct view *v, const struct view_target *t)
{
	struct view_target *held = g_hash_table_lookup(v->targets, t->id);
	int changed;

	if (held == NULL) {
		held = g_memdup2(t, sizeof(*t));
		g_hash_table_insert(v->targets, held->id, held);
		v->changes++;
		return 1;
	}
	changed = held->state != t->state || held->slots != t->slots ||
		  held->born_ms != t->born_ms ||
		  strcmp(held->addr, t->addr) != 0 ||
		  strcmp(held->service, t->service) != 0;
	if (changed || strcmp(held->dc, t->dc) != 0)
		v->changes++;
	*held = *t;
	return changed;
}

/* The target's key is inside of it, so the id must be another string. */
int
view_remove_target(struct view *v, const char *id)
{
	int removed = g_hash_table_remove(v->targets, id);

	v->changes += (uint64_t)removed;
	return removed;
}

/* A data centre that the view has no state of counts as in. */
int
view_is_out(const struct view *v, const char *dc)
{
	return g_hash_table_contains(v->out, dc);
}

/* The table owns a copy of the name. */
int
view_set_out(struct view *v, const char *dc, int out)
{
	int changed = out ? g_hash_table_add(v->out, g_strdup(dc))
			  : g_hash_table_remove(v->out, dc);

	v->changes += (uint64_t)changed;
	return changed;
}

/* Whether an entry is newer than another one of the same address. */
static int
is_later(const struct view_target *t, const struct view_target *other)
{
	/* A copied entry of a later era may be that of an earlier start. */
	if (t->revision.era != other->revision.era &&
	    t->born_ms != other->born_ms)
		return t->born_ms > other->born_ms;
	return view_revision_compare(t->revision, other->revision) > 0;
}

/* Of several entries, the newest one is returned. */
const struct view_target *
view_find_target(const struct view *v, const char *addr, const char *service)
{
	const struct view_target *t, *best = NULL;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, v->targets);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		t = value;
		if (strcmp(t->addr, addr) == 0 &&
		    strcmp(t->service, service) == 0 &&
		    (best == NULL || is_later(t, best)))
			best = t;
	}
	return best;
}
