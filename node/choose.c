/* Choice of the target of a call, by the set and by what is known of targets.
 */
#include <string.h>

#include <sodium.h>

#include "entry_int.h"

#define LOAD_PER_CALL  10 /* percent that each call sent adds to a load */
#define LOCAL_MAX      16 /* guards of a service that an entry uses, here */
#define REMOTE_MAX     8  /* and in other data centres */
#define CANDIDATES_MAX (LOCAL_MAX + REMOTE_MAX)

static int subset(struct node *, const struct set *, int, int, int64_t,
    struct candidate *, int);
static int
candidates(struct node *, const struct set *, int, int64_t, struct candidate *);
static void
describe(struct node *, const struct set *, int, struct candidate *, int64_t);
static int choose_any(struct node *, const struct set *, int, int64_t);
static int home_gone(struct node *, const struct entry_call *, int, int64_t);
static int choose_home(
    struct node *, struct entry_call *, const struct set *, int, int64_t);
static void mint(struct entry_call *, const char *);
static int is_among(const struct candidate *, int, int);

/* What is known of a target; made on first use. */
struct view *
entry_view(struct node *n, const char *target)
{
	struct view *v;

	if ((v = g_hash_table_lookup(n->entry->views, target)) == NULL) {
		v = g_new0(struct view, 1);
		g_hash_table_insert(n->entry->views, g_strdup(target), v);
	}
	return v;
}

/* Fills in what is known of a target. */
static void
describe(struct node *n, const struct set *s, int target, struct candidate *c,
    int64_t now)
{
	const struct set_target *t = &s->targets[target];
	const struct view *v = entry_view(n, t->name);
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
 * The usable targets of a service, here or elsewhere, that this entry uses: a
 * bounded number by rendezvous hashing over this node's name, so that links
 * stay few and one that dies is replaced by one other.
 */
static int
subset(struct node *n, const struct set *s, int service, int local, int64_t now,
    struct candidate *out, int max)
{
	const struct set_service *v = &s->services[service];
	struct candidate *all = g_new(struct candidate, v->ntargets);
	const char **names = g_new(const char *, v->ntargets);
	int chosen[CANDIDATES_MAX], i, got, count = 0;

	for (i = 0; i < v->ntargets; i++) {
		describe(n, s, v->targets[i], &all[count], now);
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

/* The targets of a service that this entry uses now. */
static int
candidates(struct node *n, const struct set *s, int service, int64_t now,
    struct candidate *out)
{
	int count;

	count = subset(n, s, service, 1, now, out, LOCAL_MAX);
	return count + subset(n, s, service, 0, now, out + count, REMOTE_MAX);
}

/* Chooses freely; when all are avoided, avoidance is given up. */
static int
choose_any(struct node *n, const struct set *s, int service, int64_t now)
{
	struct candidate c[CANDIDATES_MAX];
	int i, k, count;

	count = candidates(n, s, service, now, c);
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
 * Whether a home's guard has said goodbye before this id was made, so that
 * the id cannot have run there.
 */
static int
home_gone(struct node *n, const struct entry_call *ec, int m, int64_t now)
{
	const struct member *p = member_at(n->members, m);
	int64_t left_wall;

	left_wall = base_wall_ms() - (now - p->since);
	return p->state == MEMBER_LEFT &&
	       ec->call.born_wall_ms > left_wall + GUARD_SKEW_MS;
}

/*
 * The home of an id: first in its order over all targets of the service, or
 * a later one when those before have recorded that they never run it.
 */
static int
choose_home(struct node *n, struct entry_call *ec, const struct set *s,
    int service, int64_t now)
{
	const struct set_service *v = &s->services[service];
	const struct set_target *t;
	const char **names;
	int i, k, m = -1, passed = 0, found = MESH_ENOTFOUND;

	names = g_new(const char *, v->ntargets);
	for (i = 0; i < v->ntargets; i++)
		names[i] = s->targets[v->targets[i]].name;
	for (k = 0; found == MESH_ENOTFOUND; k++) {
		i = home_at(ec->call.id, names, v->ntargets, k);
		if (i < 0)
			break;
		t = &s->targets[v->targets[i]];
		if (strcmp(t->vm, n->settings.name) != 0) {
			m = member_find(n->members, t->vm);
			if (m >= 0 && home_gone(n, ec, m, now))
				continue;
			if (m < 0 ||
			    member_at(n->members, m)->state >= MEMBER_DEAD)
				found = MESH_EREFUSED;
		}
		if (passed++ < ec->call.walked)
			found = MESH_ENOTFOUND;
		else if (found != MESH_EREFUSED)
			found = v->targets[i];
	}
	g_free(names);
	return found;
}

/* Makes the id, with the target that was chosen as its home. */
static void
mint(struct entry_call *ec, const char *target)
{
	unsigned char random[REQID_RANDOM];

	randombytes_buf(random, sizeof(random));
	reqid_make(
	    ec->call.id, ec->call.born_wall_ms, pick_tag(target), random);
}

/*
 * Chooses the target of the next sending.  An id that was made here is known
 * to nobody else and, where it matters, has not run: it is made anew to fit
 * the choice.  MESH_EREFUSED when the home of a caller's id cannot be asked.
 */
int
entry_choose(struct node *n, struct entry_call *ec, const struct set *s)
{
	int64_t now = base_now_ms();
	int service = set_find_service(s, ec->service), t;

	if (ec->call.once && !ec->call.minted)
		return choose_home(n, ec, s, service, now);
	t = choose_any(n, s, service, now);
	if (t >= 0 && ec->call.minted && (ec->call.once || ec->call.tries == 0))
		mint(ec, s->targets[t].name);
	return t;
}

/* Whether a target is one of some candidates. */
static int
is_among(const struct candidate *c, int n, int target)
{
	int i;

	for (i = 0; i < n; i++)
		if (c[i].target == target)
			return 1;
	return 0;
}

/* Appends what a request would meet, with the reason for each target. */
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

	if (cfg == NULL || (i = set_route(cfg->set, method, path)) < 0) {
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
	count = candidates(n, cfg->set, r->service, now, used);
	for (k = 0; k < v->ntargets; k++) {
		t = &cfg->set->targets[v->targets[k]];
		describe(n, cfg->set, v->targets[k], &c, now);
		why = "usable";
		if (cfg->set->dcs[t->dc].state == SET_OUT)
			why = "its data centre is out";
		else if (t->state == SET_OUT)
			why = "it is out";
		else if (!c.usable)
			why = "its node is not there";
		else if (c.avoid_until > now)
			why = "it refused lately";
		else if (!is_among(used, count, v->targets[k]))
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
