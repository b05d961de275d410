/* Comparison of two sets, object by object. */
#include <string.h>

#include "mesh.h"

#define FIELDS_MAX 8
#define VALUE_MAX  300 /* bytes of a field's text */

/* An object as a list of fields in text form. */
struct object {
	const char *name;
	int n;
	const char *keys[FIELDS_MAX];
	char values[FIELDS_MAX][VALUE_MAX];
};

/* Access to the objects of one kind. */
struct kind {
	const char *name;
	int (*count)(const struct set *);
	int (*find)(const struct set *, const char *);
	void (*describe)(const struct set *, int, struct object *);
};

static void add_field(struct object *, const char *, const char *);
static void add_int_field(struct object *, const char *, int);
static int dc_count(const struct set *);
static int service_count(const struct set *);
static int target_count(const struct set *);
static int route_count(const struct set *);
static void dc_describe(const struct set *, int, struct object *);
static void service_describe(const struct set *, int, struct object *);
static void target_describe(const struct set *, int, struct object *);
static void route_describe(const struct set *, int, struct object *);
static void
append_change(int, GString *, int *, const char *, const struct kind *,
    const char *, const char *, const char *, const char *);
static void append_field_changes(const struct kind *, const struct object *,
    const struct object *, int, GString *, int *);

static const struct kind kinds[] = {
	{ "data centre", dc_count, set_find_dc, dc_describe },
	{ "service", service_count, set_find_service, service_describe },
	{ "target", target_count, set_find_target, target_describe },
	{ "route", route_count, set_find_route, route_describe },
};

/* The key is not copied; a value is cut at VALUE_MAX - 1 bytes. */
static void
add_field(struct object *o, const char *key, const char *value)
{
	o->keys[o->n] = key;
	g_strlcpy(o->values[o->n], value, VALUE_MAX);
	o->n++;
}

/* Integers are compared and printed as decimal text. */
static void
add_int_field(struct object *o, const char *key, int value)
{
	o->keys[o->n] = key;
	g_snprintf(o->values[o->n], VALUE_MAX, "%d", value);
	o->n++;
}

/* The count functions give struct kind one signature for all tables. */
static int
dc_count(const struct set *s)
{
	return s->ndcs;
}

/* Services; see dc_count. */
static int
service_count(const struct set *s)
{
	return s->nservices;
}

/* Targets; see dc_count. */
static int
target_count(const struct set *s)
{
	return s->ntargets;
}

/* Routes; see dc_count. */
static int
route_count(const struct set *s)
{
	return s->nroutes;
}

/* A data centre has its state only. */
static void
dc_describe(const struct set *s, int i, struct object *o)
{
	o->name = s->dcs[i].name;
	add_field(o, "state", set_state_names[s->dcs[i].state]);
}

/* The list of targets is left out: each target names its service. */
static void
service_describe(const struct set *s, int i, struct object *o)
{
	o->name = s->services[i].name;
	add_int_field(o, "slots", s->services[i].slots);
	add_int_field(o, "connections", s->services[i].connections);
}

/* Compares names instead of handles, which differ between sets. */
static void
target_describe(const struct set *s, int i, struct object *o)
{
	const struct set_target *t = &s->targets[i];

	o->name = t->name;
	add_field(o, "service", t->service_name);
	add_field(o, "data_centre", t->dc_name);
	add_field(o, "vm", t->vm);
	add_field(o, "state", set_state_names[t->state]);
}

/* Enumerators and booleans are listed as in the text of a set. */
static void
route_describe(const struct set *s, int i, struct object *o)
{
	const struct set_route *r = &s->routes[i];

	o->name = r->name;
	add_field(o, "method", r->method);
	add_field(o, "path", r->path);
	add_field(o, "service", r->service_name);
	add_field(o, "repeatable", r->repeatable ? "true" : "false");
	add_int_field(o, "deadline_ms", r->deadline_ms);
	add_field(o, "priority", set_priority_names[r->priority]);
	add_field(o, "from", set_from_names[r->from]);
}

/* Appends one change, as a line of text or an element of a JSON array. */
static void
append_change(int json, GString *out, int *changes, const char *what,
    const struct kind *k, const char *name, const char *key, const char *old,
    const char *new)
{
	static const struct {
		const char *what, *sign;
	} signs[] = { { "added", "+" }, { "removed", "-" },
		{ "changed", "~" } };
	const char *sign = "";
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(signs); i++)
		if (strcmp(signs[i].what, what) == 0)
			sign = signs[i].sign;
	if (!json) {
		g_string_append_printf(
		    out, "%s %s \"%s\"", sign, k->name, name);
		if (key != NULL)
			g_string_append_printf(
			    out, ": %s %s -> %s", key, old, new);
		g_string_append_c(out, '\n');
	} else {
		g_string_append_printf(out,
		    "%s{\"change\": \"%s\", \"kind\": \"%s\", \"name\": ",
		    *changes > 0 ? ",\n " : "", what, k->name);
		json_quote(out, name);
		if (key != NULL) {
			g_string_append_printf(
			    out, ", \"key\": \"%s\", \"old\": ", key);
			json_quote(out, old);
			g_string_append(out, ", \"new\": ");
			json_quote(out, new);
		}
		g_string_append_c(out, '}');
	}
	(*changes)++;
}

/* Appends the fields in which two versions of an object differ. */
static void
append_field_changes(const struct kind *k, const struct object *a,
    const struct object *b, int json, GString *out, int *changes)
{
	int i;

	for (i = 0; i < a->n; i++)
		if (strcmp(a->values[i], b->values[i]) != 0)
			append_change(json, out, changes, "changed", k, a->name,
			    a->keys[i], a->values[i], b->values[i]);
}

/* Objects are matched by name; a renamed one counts as removed and added. */
int
set_diff(const struct set *a, const struct set *b, int json, GString *out)
{
	const struct kind *k;
	struct object oa, ob;
	int changes = 0, i, j;
	size_t n;

	if (json)
		g_string_append_c(out, '[');
	for (n = 0; n < G_N_ELEMENTS(kinds); n++) {
		k = &kinds[n];
		for (i = 0; i < k->count(a); i++) {
			oa.n = ob.n = 0;
			k->describe(a, i, &oa);
			j = k->find(b, oa.name);
			if (j < 0) {
				append_change(json, out, &changes, "removed", k,
				    oa.name, NULL, NULL, NULL);
				continue;
			}
			k->describe(b, j, &ob);
			append_field_changes(k, &oa, &ob, json, out, &changes);
		}
		for (j = 0; j < k->count(b); j++) {
			ob.n = 0;
			k->describe(b, j, &ob);
			if (k->find(a, ob.name) < 0)
				append_change(json, out, &changes, "added", k,
				    ob.name, NULL, NULL, NULL);
		}
	}
	if (json)
		g_string_append(out, "]\n");
	return changes;
}
