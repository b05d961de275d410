/*
 * Choice of a call's target: by reported load among a subset of the service's
 * targets, or the id's home for an at-most-once call with the caller's own id.
 */
#include <string.h>

#include <sodium.h>

#include "entry_int.h"

#define LOAD_PER_CALL  10 /* percent, added for each attempt in flight */
#define LOCAL_MAX      16 /* subset of a service's local targets */
#define REMOTE_MAX     8  /* and of those in other data centres */
#define CANDIDATES_MAX (LOCAL_MAX + REMOTE_MAX)

static int select_subset(struct node *, const struct set *, int, int, int64_t,
    struct candidate *, int);
static int list_candidates(
    struct node *, const struct set *, int, int64_t, struct candidate *);
static void fill_candidate(
    struct node *, const struct set *, int, struct candidate *, int64_t);
static int choose_by_load(struct node *, const struct set *, int, int64_t);
static int
home_left_before_id(struct node *, const struct entry_call *, int, int64_t);
static int choose_home(
    struct node *, struct entry_call *, const struct set *, int, int64_t);
static void make_id(struct entry_call *, const char *);
static int contains_target(const struct candidate *, int, int);

/* State of a target; added on first use. */
struct target_state *
entry_target_state(struct node *n, const char *target)
{
	struct target_state *v;

	if ((v = g_hash_table_lookup(n->entry->target_states, target)) ==
	    NULL) {
		v = g_new0(struct target_state, 1);
		g_hash_table_insert(
		    n->entry->target_states, g_strdup(target), v);
	}
	return v;
}

/* Describes a target by the set, its member state and its reported load. */
static void
fill_candidate(struct node *n, const struct set *s, int target,
    struct candidate *c, int64_t now)
{
	const struct set_target *t = &s->targets[target];
	const struct target_state *v = entry_target_state(n, t->name);
	int m;

	(void)now;
	memset(c, 0, sizeof(*c));
	c->target = target;
	c->local = strcmp(t->dc_name, n->settings.data_centre) == 0;
	if (strcmp(t->vm, n->settings.name) == 0)
		c->usable = !n->out;
	else if ((m = member_find(n->members, t->vm)) >= 0)
		c->usable = member_usable(member_at(n->members, m));
	c->usable = c->usable && set_target_in(s, target);
	c->load = v->load + v->inflight * LOAD_PER_CALL;
	c->avoid_until = v->avoid_until;
}

/*
 * Selects at most max usable targets of a service, either local ones or those
 * in other data centres, by rendezvous hashing over this node's name.  The
 * subset bounds the number of links, and a target that dies is replaced by
 * one other.  Returns how many were selected.
 */
static int
select_subset(struct node *n, const struct set *s, int service, int local,
    int64_t now, struct candidate *out, int max)
{
	const struct set_service *v = &s->services[service];
	struct candidate *all = g_new(struct candidate, v->ntargets);
	const char **names = g_new(const char *, v->ntargets);
	int chosen[CANDIDATES_MAX], i, got, count = 0;

	for (i = 0; i < v->ntargets; i++) {
		fill_candidate(n, s, v->targets[i], &all[count], now);
		if (!all[count].usable || all[count].local != local)
			continue;
		names[count++] = s->targets[v->targets[i]].name;
	}
	got = pick_rendezvous(n->settings.name, names, count, chosen, max);
	for (i = 0; i < got; i++)
		out[i] = all[chosen[i]];
	g_free(names);
	g_free(all);
	return got;
}

/* Lists the targets that this entry may choose for a service. */
static int
list_candidates(struct node *n, const struct set *s, int service, int64_t now,
    struct candidate *out)
{
	int count;

	count = select_subset(n, s, service, 1, now, out, LOCAL_MAX);
	return count +
	       select_subset(n, s, service, 0, now, out + count, REMOTE_MAX);
}

/* Chooses by load; if all candidates are to be avoided, considers them all. */
static int
choose_by_load(struct node *n, const struct set *s, int service, int64_t now)
{
	struct candidate c[CANDIDATES_MAX];
	int i, k, count;

	count = list_candidates(n, s, service, now, c);
	k = pick_target(
	    c, count, g_rand_int(n->rand), g_rand_int(n->rand), now);
	if (k < 0) {
		for (i = 0; i < count; i++)
			c[i].avoid_until = 0;
		k = pick_target(
		    c, count, g_rand_int(n->rand), g_rand_int(n->rand), now);
	}
	return k < 0 ? MESH_ENOTFOUND : c[k].target;
}

/*
 * Whether a home's node had left the fleet before this id was created, by more
 * than the clocks may differ, so that the id cannot have run there.
 */
static int
home_left_before_id(
    struct node *n, const struct entry_call *ec, int m, int64_t now)
{
	const struct member *p = member_at(n->members, m);
	int64_t left_wall;

	left_wall = base_wall_ms() - (now - p->since);
	return p->state == MEMBER_LEFT &&
	       ec->call.born_wall_ms > left_wall + GUARD_SKEW_MS;
}

/*
 * Chooses the home of an id: the first target in the id's rendezvous order over
 * the service, or a later one once each guard before it has recorded that it
 * will not run the id (the call counts these).  A home that cannot be queried
 * gives MESH_EREFUSED, as the id may have run there.
 */
static int
choose_home(struct node *n, struct entry_call *ec, const struct set *s,
    int service, int64_t now)
{
	const struct set_service *v = &s->services[service];
	const struct set_target *t;
	const char **names;
	int i, k, m = -1, skipped = 0, found = MESH_ENOTFOUND;

	names = g_new(const char *, v->ntargets);
	for (i = 0; i < v->ntargets; i++)
		names[i] = s->targets[v->targets[i]].name;
	for (k = 0; found == MESH_ENOTFOUND; k++) {
		i = pick_nth_home(ec->call.id, names, v->ntargets, k);
		if (i < 0)
			break;
		t = &s->targets[v->targets[i]];
		if (strcmp(t->vm, n->settings.name) != 0) {
			m = member_find(n->members, t->vm);
			if (m >= 0 && home_left_before_id(n, ec, m, now))
				continue;
			if (m < 0 ||
			    member_at(n->members, m)->state >= MEMBER_DEAD)
				found = MESH_EREFUSED;
		}
		if (skipped++ < ec->call.homes_refused)
			found = MESH_ENOTFOUND;
		else if (found != MESH_EREFUSED)
			found = v->targets[i];
	}
	g_free(names);
	return found;
}

/* Generates an id whose home is the chosen target. */
static void
make_id(struct entry_call *ec, const char *target)
{
	unsigned char random[REQID_RANDOM];

	randombytes_buf(random, sizeof(random));
	reqid_make(
	    ec->call.id, ec->call.born_wall_ms, pick_tag(target), random);
}

/*
 * Chooses the target of the next attempt.  An id that this entry generated is
 * unknown to the caller.  For an at-most-once call a further attempt is made
 * only if those before did not run, so its id is generated again to have the
 * chosen target as its home.
 */
int
entry_choose(struct node *n, struct entry_call *ec, const struct set *s)
{
	int64_t now = base_now_ms();
	int service = set_find_service(s, ec->service), t;

	if (ec->call.once && !ec->call.minted)
		return choose_home(n, ec, s, service, now);
	t = choose_by_load(n, s, service, now);
	if (t >= 0 && ec->call.minted && (ec->call.once || ec->call.tries == 0))
		make_id(ec, s->targets[t].name);
	return t;
}

/* Whether a target is among the candidates. */
static int
contains_target(const struct candidate *c, int n, int target)
{
	int i;

	for (i = 0; i < n; i++)
		if (c[i].target == target)
			return 1;
	return 0;
}

/* Appends the matching route, and for each target why it is usable or not. */
void
entry_explain(
    struct node *n, const char *method, const char *path, GString *out)
{
	const struct config *cfg = config_get(n->config);
	const struct set_route *r;
	const struct set_target *t;
	struct candidate c;
	struct candidate used[CANDIDATES_MAX] = { { 0 } };
	const struct set_service *v;
	const char *why, *sep = "";
	int i, k, count;
	int64_t now = base_now_ms();

	if (cfg == NULL || (i = set_match_route(cfg->set, method, path)) < 0) {
		g_string_append_printf(out,
		    "{\"route\": null, \"why\": \"%s\"}",
		    cfg == NULL ? "no accepted set yet" : "no route matches");
		return;
	}
	r = &cfg->set->routes[i];
	g_string_append(out, "{\"route\": ");
	json_quote(out, r->name);
	g_string_append(out, ", \"service\": ");
	json_quote(out, r->service_name);
	g_string_append_printf(out,
	    ", \"repeatable\": %s, \"deadline_ms\": %d, \"from\": \"%s\", "
	    "\"targets\": [",
	    r->repeatable ? "true" : "false", r->deadline_ms,
	    set_from_names[r->from]);
	v = &cfg->set->services[r->service];
	count = list_candidates(n, cfg->set, r->service, now, used);
	for (k = 0; k < v->ntargets; k++) {
		t = &cfg->set->targets[v->targets[k]];
		fill_candidate(n, cfg->set, v->targets[k], &c, now);
		why = "usable";
		if (cfg->set->dcs[t->dc].state == SET_OUT)
			why = "its data centre is out";
		else if (t->state == SET_OUT)
			why = "it is out";
		else if (!c.usable)
			why = "its node is not there";
		else if (c.avoid_until > now)
			why = "it refused lately";
		else if (!contains_target(used, count, v->targets[k]))
			why = "usable, but this entry uses others";
		g_string_append_printf(out, "%s{\"target\": ", sep);
		json_quote(out, t->name);
		g_string_append_printf(out,
		    ", \"local\": %s, \"load\": %d, \"why\": \"%s\"}",
		    c.local ? "true" : "false", c.load, why);
		sep = ", ";
	}
	g_string_append(out, "]}");
}
