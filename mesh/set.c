/* The set of declared objects: creation, release and look-up. */
#include <string.h>

#include "mesh_int.h"

static int find_name(const void *, int, size_t, const char *);
static int lookup_handle(GHashTable *, const char *);

const char *const set_state_names[] = { "in", "out", NULL };
const char *const set_priority_names[] = { "low", "normal", "high", NULL };
const char *const set_from_names[] = { "any", "services", NULL };

/* The rules that span objects are checked only if each object is valid. */
struct set *
set_parse(const char *text, size_t len, struct report *rep)
{
	struct json *root;
	struct set *s;
	int before = rep->errors;

	if (len > BASE_SET_MAX) {
		report_error(rep, 1, "file", "", "is larger than %d bytes",
		    BASE_SET_MAX);
		return NULL;
	}
	if ((root = json_parse(text, len, rep)) == NULL)
		return NULL;
	s = g_new0(struct set, 1);
	s->route_index =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->vm_index = g_hash_table_new(g_str_hash, g_str_equal);
	set_read(s, root, rep);
	if (rep->errors == before)
		set_check(s, root, rep);
	json_free(root);
	if (rep->errors == before)
		return s;
	set_free(s);
	return NULL;
}

/* Also releases a set that is only partly read, after an error. */
void
set_free(struct set *s)
{
	int i;

	if (s == NULL)
		return;
	for (i = 0; i < s->ndcs; i++)
		g_free(s->dcs[i].name);
	for (i = 0; i < s->nservices; i++) {
		g_free(s->services[i].name);
		g_free(s->services[i].targets);
	}
	for (i = 0; i < s->ntargets; i++) {
		g_free(s->targets[i].name);
		g_free(s->targets[i].service_name);
		g_free(s->targets[i].dc_name);
		g_free(s->targets[i].vm);
	}
	for (i = 0; i < s->nroutes; i++) {
		g_free(s->routes[i].name);
		g_free(s->routes[i].method);
		g_free(s->routes[i].path);
		g_free(s->routes[i].service_name);
	}
	g_free(s->dcs);
	g_free(s->services);
	g_free(s->targets);
	g_free(s->routes);
	g_hash_table_destroy(s->route_index);
	g_hash_table_destroy(s->vm_index);
	g_free(s);
}

/*
 * Finds a row by its name, which is its first member.  A linear search will
 * do, as tables are small or searched only once.
 */
static int
find_name(const void *tab, int n, size_t size, const char *name)
{
	const char *row = tab;
	int i;

	for (i = 0; i < n; i++, row += size)
		if (strcmp(*(char *const *)row, name) == 0)
			return i;
	return MESH_ENOTFOUND;
}

/* Each set_find function also serves set_diff, through struct kind. */
int
set_find_dc(const struct set *s, const char *name)
{
	return find_name(s->dcs, s->ndcs, sizeof(s->dcs[0]), name);
}

/* Names are case-sensitive. */
int
set_find_service(const struct set *s, const char *name)
{
	return find_name(
	    s->services, s->nservices, sizeof(s->services[0]), name);
}

/* By its name in the set, not by its VM. */
int
set_find_target(const struct set *s, const char *name)
{
	return find_name(s->targets, s->ntargets, sizeof(s->targets[0]), name);
}

/* By its name, not by method and path; see set_match_route. */
int
set_find_route(const struct set *s, const char *name)
{
	return find_name(s->routes, s->nroutes, sizeof(s->routes[0]), name);
}

/* Looks up a handle, which the table holds plus one; -1 if there is none. */
static int
lookup_handle(GHashTable *index, const char *key)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(index, key)) - 1;
}

/* A node uses it to find the target beside itself. */
int
set_target_of_vm(const struct set *s, const char *vm)
{
	int i = lookup_handle(s->vm_index, vm);

	return i < 0 ? MESH_ENOTFOUND : i;
}

/* Does not consider whether the target is alive. */
int
set_target_in(const struct set *s, int target)
{
	const struct set_target *t = &s->targets[target];

	return t->state == SET_IN && s->dcs[t->dc].state == SET_IN;
}

/*
 * Tries the exact path first, then each shorter prefix that ends with a slash.
 * The query is ignored.
 */
int
set_match_route(const struct set *s, const char *method, const char *path)
{
	char key[2 * MESH_PATH_MAX];
	size_t mlen = strlen(method), plen = strcspn(path, "?");
	int i;

	if (mlen > MESH_NAME_MAX)
		return MESH_ENOROUTE;
	plen = MIN(plen, MESH_PATH_MAX);
	memcpy(key, method, mlen);
	key[mlen] = ' ';
	memcpy(key + mlen + 1, path, plen);
	for (; plen > 0; plen--) {
		key[mlen + 1 + plen] = '\0';
		i = lookup_handle(s->route_index, key);
		if (i >= 0)
			return i;
		while (plen > 1 && path[plen - 2] != '/')
			plen--;
	}
	return MESH_ENOROUTE;
}
