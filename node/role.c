/* What the set and the VM list make of this node: whom it guards, in or out. */
#include <string.h>

#include "record.h"

static void
note_removed(struct node *, const struct set_service *, const struct set *);

/* Targets that have left the service may have run ids of before. */
static void
note_removed(struct node *n, const struct set_service *v, const struct set *s)
{
	struct guard_side *g = n->guard;
	const char *name;
	int i, found;
	guint k;

	for (k = 0; k < g->peers->len; k++) {
		name = g_ptr_array_index(g->peers, k);
		for (i = 0, found = 0; i < v->ntargets && !found; i++)
			found =
			    strcmp(s->targets[v->targets[i]].name, name) == 0;
		if (!found)
			record_removed(n, name);
	}
	g_ptr_array_set_size(g->peers, 0);
	for (i = 0; i < v->ntargets; i++)
		g_ptr_array_add(
		    g->peers, g_strdup(s->targets[v->targets[i]].name));
}

/* A version came into force: whom do we guard, and is it in? */
void
role_config(struct node *n)
{
	const struct config *cfg = config_get(n->config);
	struct guard_side *g = n->guard;
	const struct set_target *t;
	const struct set_service *v;
	int i;

	if (cfg != NULL &&
	    (i = set_target_of_vm(cfg->set, n->settings.name)) >= 0) {
		t = &cfg->set->targets[i];
		v = &cfg->set->services[t->service];
		if (g->guard == NULL) {
			serve_begin(n, v->slots, base_wall_ms());
			n->out = 0;
		} else if (strcmp(g->target, t->name) != 0) {
			record_forget(n);
			g_ptr_array_set_size(g->peers, 0);
		}
		g_strlcpy(g->target, t->name, sizeof(g->target));
		if (guard_limit(g->guard)->slots != v->slots)
			record_slots(n, v->slots);
		target_pool_grow(g->pool, v->slots);
		note_removed(n, v, cfg->set);
	}
	role_set_out(n);
}

/* New work is taken only when the set, the VM list and the operator agree. */
void
role_set_out(struct node *n)
{
	const struct config *cfg = config_get(n->config);
	int i = -1, out;

	if (cfg != NULL)
		i = set_target_of_vm(cfg->set, n->settings.name);
	out = i < 0 || !set_target_in(cfg->set, i) || n->leaving ||
	      members_state(n->members) != MEMBER_ALIVE;
	if (n->guard->guard != NULL && out != n->out)
		record_out(n, out);
	n->out = out;
}
