/* Configurations: routes by host and longest prefix, and traffic splits. */
#include <string.h>

#include "view.h"

static char *make_key(const char *, size_t, const char *, size_t);
static guint route_hash(gconstpointer);
static gboolean route_equal(gconstpointer, gconstpointer);
static void route_unref(gpointer);
static void set_start(struct view_route *, int, int);

/* Key of a host and prefix, owned by the caller; the host in lower case. */
static char *
make_key(const char *host, size_t hlen, const char *prefix, size_t plen)
{
	char *key = g_malloc(hlen + plen + 1);
	size_t i;

	for (i = 0; i < hlen; i++)
		key[i] = g_ascii_tolower(host[i]);
	memcpy(key + hlen, prefix, plen);
	key[hlen + plen] = '\0';
	return key;
}

/* The hash is kept, as each version of a configuration indexes all routes. */
static guint
route_hash(gconstpointer p)
{
	return ((const struct view_route *)p)->hash;
}

/* Whether two routes have the same host and prefix. */
static gboolean
route_equal(gconstpointer a, gconstpointer b)
{
	return strcmp(((const struct view_route *)a)->key,
		   ((const struct view_route *)b)->key) == 0;
}

/* Copies the strings; all other fields are 0. */
struct view_route *
view_route_new(const char *name, const char *host, const char *prefix)
{
	struct view_route *r = g_new0(struct view_route, 1);

	r->refs = 1;
	r->name = g_strdup(name);
	r->host = g_strdup(host);
	if (prefix != NULL) {
		r->prefix = g_strdup(prefix);
		r->key = make_key(host, strlen(host), prefix, strlen(prefix));
		r->hash = g_str_hash(r->key);
	}
	return r;
}

/* Not atomic, so all references must belong to one thread. */
struct view_route *
view_route_ref(struct view_route *r)
{
	r->refs++;
	return r;
}

/* The last reference releases the route. */
void
view_route_unref(struct view_route *r)
{
	if (--r->refs > 0)
		return;
	g_free(r->key);
	g_free(r->name);
	g_free(r->host);
	g_free(r->prefix);
	g_free(r->parts);
	g_free(r->problem);
	g_free(r);
}

/* The same, as a callback of GLib. */
static void
route_unref(gpointer r)
{
	view_route_unref(r);
}

/* The reader of the platform fills it in. */
struct view_config *
view_config_new(void)
{
	struct view_config *c;

	c = g_new0(struct view_config, 1);
	c->refs = 1;
	c->routes = g_ptr_array_new_with_free_func(route_unref);
	c->extents = g_array_new(FALSE, FALSE, sizeof(struct view_extent));
	c->index = g_hash_table_new(route_hash, route_equal);
	c->unparsed_hosts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return c;
}

/* Not atomic, so all references must belong to one thread. */
struct view_config *
view_config_ref(struct view_config *c)
{
	c->refs++;
	return c;
}

/* Requests in flight may keep a replaced configuration alive. */
void
view_config_unref(struct view_config *c)
{
	int i;

	if (c == NULL || --c->refs > 0)
		return;
	for (i = 0; i < c->nservices; i++) {
		g_free(c->services[i].name);
		g_free(c->services[i].health_path);
	}
	g_free(c->services);
	g_hash_table_destroy(c->index);
	g_ptr_array_free(c->routes, TRUE);
	g_array_free(c->extents, TRUE);
	if (c->text != NULL)
		g_bytes_unref(c->text);
	g_hash_table_destroy(c->unparsed_hosts);
	g_free(c);
}

/* Requests in flight may keep many versions of a large configuration. */
void
view_config_retire(struct view_config *c)
{
	if (c->text != NULL)
		g_bytes_unref(c->text);
	c->text = NULL;
	g_array_free(c->extents, TRUE);
	c->extents = g_array_new(FALSE, FALSE, sizeof(struct view_extent));
}

/* Routes with an unparsed prefix are not in the index. */
int
view_config_add(struct view_config *c, struct view_route *r)
{
	g_ptr_array_add(c->routes, r);
	if (r->key == NULL)
		return 1;
	if (g_hash_table_contains(c->index, r))
		return 0;
	return g_hash_table_add(c->index, r);
}

/* It belongs to the configuration. */
struct view_route *
view_config_route(const struct view_config *c, guint i)
{
	return g_ptr_array_index(c->routes, i);
}

/* Hosts are kept in lower case; see make_key. */
void
view_add_unparsed_host(struct view_config *c, const char *host)
{
	g_hash_table_add(c->unparsed_hosts, g_ascii_strdown(host, -1));
}

/* Ignores case and a port, as view_route does. */
int
view_has_unparsed_route(const struct view_config *c, const char *host)
{
	char *key;
	int found;

	if (g_hash_table_contains(c->unparsed_hosts, ""))
		return 1;
	key = g_ascii_strdown(host, (gssize)strcspn(host, ":"));
	found = g_hash_table_contains(c->unparsed_hosts, key);
	g_free(key);
	return found;
}

/* A linear search: there are few services. */
int
view_find_service(const struct view_config *c, const char *name)
{
	int i;

	for (i = 0; i < c->nservices; i++)
		if (strcmp(c->services[i].name, name) == 0)
			return i;
	return -1;
}

/* Tries each prefix of the path that ends with a slash, longest first. */
struct view_route *
view_route(const struct view_config *c, const char *host, const char *path)
{
	size_t hlen = strcspn(host, ":"), len = strcspn(path, "?#");
	struct view_route *r = NULL, query = { 0 };

	for (; len > 0 && r == NULL; len--) {
		if (path[len - 1] != '/')
			continue;
		query.key = make_key(host, hlen, path, len);
		query.hash = g_str_hash(query.key);
		r = g_hash_table_lookup(c->index, &query);
		g_free(query.key);
	}
	return r;
}

/* Gives a part a credit: the nth of those with a weight above 0. */
static void
set_start(struct view_route *r, int n, int credit)
{
	int i;

	for (i = 0; i < r->nparts; i++)
		if (r->parts[i].weight > 0 && n-- == 0)
			r->parts[i].credit = credit;
}

/*
 * Smooth weighted round-robin: each service gains its weight as credit; the one
 * with the most credit is chosen and pays the sum of the weights.  Shares are
 * exact over each round, so a route with few requests keeps its weights, too.
 */
int
view_next_service(struct view_route *r, uint32_t random)
{
	int i, best = -1, sum = 0, weighted = 0, started = 0;

	if (r->nparts == 1)
		return r->parts[0].service;
	for (i = 0; i < r->nparts; i++) {
		sum += r->parts[i].weight;
		weighted += r->parts[i].weight > 0;
		started |= r->parts[i].credit != 0;
	}
	if (weighted == 0 || sum <= 0)
		return r->parts[0].service;
	/* A random start keeps nodes from choosing in lockstep. */
	if (!started)
		set_start(r, (int)(random % (uint32_t)weighted),
		    (int)(random % (uint32_t)sum));
	/* A part of weight 0 is not chosen, whatever its credit. */
	for (i = 0; i < r->nparts; i++) {
		if (r->parts[i].weight <= 0)
			continue;
		r->parts[i].credit += r->parts[i].weight;
		if (best < 0 || r->parts[i].credit > r->parts[best].credit)
			best = i;
	}
	r->parts[best].credit -= sum;
	return r->parts[best].service;
}
