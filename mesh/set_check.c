/* Validation rules that span the objects of a set. */
#include <string.h>

#include <xxhash.h>

#include "mesh_int.h"

/* Percentage of a service's slots that should remain after a planned outage. */
#define CAPACITY_WARN_PERCENT 50

static int resolve_name(const void *, int, size_t, const char *, int,
    struct report *, const char *, const char *, const char *);
static void check_targets(struct set *, struct report *);
static void check_routes(struct set *, struct report *);
static void check_services(struct set *, struct report *);
static void check_dcs(const struct set *, int, struct report *);
static void warn_capacity(const struct set *, struct report *);
static int capacity(const struct set *, int, int);
static int method_is_valid(const char *);
static uint64_t hash_target(const struct set_target *);

/* Resolves a name to a handle; reports one that does not exist. */
static int
resolve_name(const void *tab, int n, size_t size, const char *name, int line,
    struct report *rep, const char *kind, const char *owner, const char *wanted)
{
	const char **cand, *near;
	int i, found = MESH_ENOTFOUND;

	cand = g_new(const char *, MAX(n, 1));
	for (i = 0; i < n; i++) {
		cand[i] =
		    *(char *const *)((const char *)tab + (size_t)i * size);
		if (strcmp(cand[i], name) == 0)
			found = i;
	}
	if (found < 0) {
		near = name_nearest(name, cand, (size_t)n);
		if (near != NULL)
			report_error(rep, line, kind, owner,
			    "there is no %s \"%s\"; did you mean \"%s\"?",
			    wanted, name, near);
		else
			report_error(rep, line, kind, owner,
			    "there is no %s \"%s\"", wanted, name);
	}
	g_free(cand);
	return found;
}

/* Resolves the names in targets; a VM holds at most one target. */
static void
check_targets(struct set *s, struct report *rep)
{
	struct set_target *t, *other;
	int i, j;

	for (i = 0; i < s->ntargets; i++) {
		t = &s->targets[i];
		t->service = resolve_name(s->services, s->nservices,
		    sizeof(s->services[0]), t->service_name, t->line, rep,
		    "target", t->name, "service");
		t->dc = resolve_name(s->dcs, s->ndcs, sizeof(s->dcs[0]),
		    t->dc_name, t->line, rep, "target", t->name, "data centre");
		if ((j = set_target_of_vm(s, t->vm)) >= 0) {
			other = &s->targets[j];
			report_error(rep, t->line, "target", t->name,
			    "VM \"%s\" already holds target \"%s\" of line %d",
			    t->vm, other->name, other->line);
			continue;
		}
		g_hash_table_insert(s->vm_index, t->vm, GINT_TO_POINTER(i + 1));
	}
}

/* Whether a method consists of capital letters, like those of HTTP. */
static int
method_is_valid(const char *m)
{
	return m[0] != '\0' && m[strspn(m, "ABCDEFGHIJKLMNOPQRSTUVWXYZ")] == 0;
}

/* Resolves the services of routes; no two may match the same requests. */
static void
check_routes(struct set *s, struct report *rep)
{
	struct set_route *r, *other;
	char *key;
	int i, j;

	for (i = 0; i < s->nroutes; i++) {
		r = &s->routes[i];
		r->service = resolve_name(s->services, s->nservices,
		    sizeof(s->services[0]), r->service_name, r->line, rep,
		    "route", r->name, "service");
		if (!method_is_valid(r->method))
			report_error(rep, r->line, "route", r->name,
			    "\"method\" must be capital letters");
		if (r->path[0] != '/' || strpbrk(r->path, "?# ") != NULL)
			report_error(rep, r->line, "route", r->name,
			    "\"path\" must start with \"/\" and have no "
			    "query, fragment or space");
		key = g_strdup_printf("%s %s", r->method, r->path);
		j = GPOINTER_TO_INT(g_hash_table_lookup(s->route_index, key));
		if (j > 0) {
			other = &s->routes[j - 1];
			report_error(rep, r->line, "route", r->name,
			    "matches the same requests as route \"%s\" of "
			    "line %d",
			    other->name, other->line);
			g_free(key);
			continue;
		}
		g_hash_table_insert(
		    s->route_index, key, GINT_TO_POINTER(i + 1));
	}
}

/* Hash of a target's name and VM. */
static uint64_t
hash_target(const struct set_target *t)
{
	return XXH3_64bits_withSeed(
	    t->name, strlen(t->name), XXH3_64bits(t->vm, strlen(t->vm)));
}

/* Collects the targets of each service, of which there must be at least one. */
static void
check_services(struct set *s, struct report *rep)
{
	struct set_service *v;
	int i;

	for (i = 0; i < s->ntargets; i++)
		if (s->targets[i].service >= 0)
			s->services[s->targets[i].service].ntargets++;
	for (i = 0; i < s->nservices; i++) {
		v = &s->services[i];
		if (v->ntargets == 0)
			report_error(
			    rep, v->line, "service", v->name, "has no targets");
		v->targets = g_new0(int, MAX(v->ntargets, 1));
		v->ntargets = 0;
	}
	for (i = 0; i < s->ntargets; i++) {
		if (s->targets[i].service < 0)
			continue;
		v = &s->services[s->targets[i].service];
		v->targets[v->ntargets++] = i;
		v->homes ^= hash_target(&s->targets[i]);
	}
}

/* At least one data centre must be in. */
static void
check_dcs(const struct set *s, int line, struct report *rep)
{
	int i;

	for (i = 0; i < s->ndcs; i++)
		if (s->dcs[i].state == SET_IN)
			return;
	report_error(rep, line, "section", "data_centres",
	    s->ndcs == 0 ? "is empty" : "every data centre is out");
}

/* Slots of a service that are in, without those of one data centre (or -1). */
static int
capacity(const struct set *s, int service, int without)
{
	const struct set_service *v = &s->services[service];
	int i, t, sum = 0;

	for (i = 0; i < v->ntargets; i++) {
		t = v->targets[i];
		if (s->targets[t].dc != without && set_target_in(s, t))
			sum += v->slots;
	}
	return sum;
}

/*
 * Warns if a service has too few slots now, or would have too few after one
 * more data centre is taken out.
 */
static void
warn_capacity(const struct set *s, struct report *rep)
{
	const struct set_service *v;
	int i, d, total, now, left;

	for (i = 0; i < s->nservices; i++) {
		v = &s->services[i];
		total = v->ntargets * v->slots;
		now = capacity(s, i, -1);
		if (now * 100 < total * CAPACITY_WARN_PERCENT) {
			report_warn(rep, v->line, "service", v->name,
			    "%d of %d slots are in", now, total);
			continue;
		}
		for (d = 0; d < s->ndcs; d++) {
			left = capacity(s, i, d);
			if (left < now &&
			    left * 100 < total * CAPACITY_WARN_PERCENT)
				report_warn(rep, v->line, "service", v->name,
				    "taking data centre \"%s\" out leaves %d "
				    "of %d slots",
				    s->dcs[d].name, left, total);
		}
	}
}

/* The order matters: later rules use handles that earlier ones resolve. */
void
set_check(struct set *s, const struct json *root, struct report *rep)
{
	int before = rep->errors;

	check_targets(s, rep);
	check_routes(s, rep);
	check_services(s, rep);
	check_dcs(s, json_get(root, "data_centres")->line, rep);
	if (rep->errors == before)
		warn_capacity(s, rep);
}
