/* The guard's target, slots, peers and admission, from the set and VM list. */
#include <string.h>

#include "record.h"

static void
update_peers(struct node *, const struct set_service *, const struct set *);

/*
 * Reports to the guard which targets have left the service since the last set,
 * and stores the current ones.  Those targets may have run ids that are now
 * homed here, so the guard must not treat such ids as never run.
 */
static void
update_peers(struct node *n, const struct set_service *v, const struct set *s)
{
	struct node_guard *g = n->guard;
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

/*
 * Applies a new set: creates the guard for the first target on this VM, and
 * discards its ids when the target is another one than before.
 */
void
role_apply_config(struct node *n)
{
	const struct config *cfg = config_get(n->config);
	struct node_guard *g = n->guard;
	const struct set_target *t;
	const struct set_service *v;
	int i;

	if (cfg != NULL &&
	    (i = set_target_of_vm(cfg->set, n->settings.name)) >= 0) {
		t = &cfg->set->targets[i];
		v = &cfg->set->services[t->service];
		if (g->guard == NULL) {
			serve_start_guard(n, v->slots, base_wall_ms());
			n->out = 0;
		} else if (strcmp(g->target, t->name) != 0) {
			record_forget(n);
			g_ptr_array_set_size(g->peers, 0);
		}
		g_strlcpy(g->target, t->name, sizeof(g->target));
		if (guard_limit(g->guard)->slots != v->slots)
			record_slots(n, v->slots);
		target_pool_grow(g->pool, v->slots);
		update_peers(n, v, cfg->set);
	}
	role_update_out(n);
}

/*
 * Updates n->out.  New requests are admitted only while the set has the target
 * and its data centre in, the member state is alive, which the VM list can
 * change, and the node is not stopping.
 */
void
role_update_out(struct node *n)
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
