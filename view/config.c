/* Configurations: routes by host and longest prefix, and traffic splits. */
#include <string.h>

#include "view.h"

static char *make_index_key(const char *, size_t, const char *, size_t);

/* The reader of the platform fills it in, then indexes it. */
struct view_config *
view_config_new(void)
{
	struct view_config *c;

	c = g_new0(struct view_config, 1);
	c->refs = 1;
	c->index = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
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
	for (i = 0; i < c->nroutes; i++) {
		g_free(c->routes[i].name);
		g_free(c->routes[i].host);
		g_free(c->routes[i].prefix);
		g_free(c->routes[i].parts);
	}
	g_free(c->services);
	g_free(c->routes);
	g_hash_table_destroy(c->index);
	g_hash_table_destroy(c->unparsed_hosts);
	g_free(c);
}

/* Key of a host and prefix, owned by the caller; the host in lower case. */
static char *
make_index_key(const char *host, size_t hlen, const char *prefix, size_t plen)
{
	char *key = g_malloc(hlen + plen + 1);
	size_t i;

	for (i = 0; i < hlen; i++)
		key[i] = g_ascii_tolower(host[i]);
	memcpy(key + hlen, prefix, plen);
	key[hlen + plen] = '\0';
	return key;
}

/* Routes with an unparsed prefix are not in the index. */
int
view_config_index(struct view_config *c)
{
	struct view_route *r;
	int i;

	for (i = 0; i < c->nroutes; i++) {
		r = &c->routes[i];
		if (r->prefix == NULL)
			continue;
		if (!g_hash_table_insert(c->index,
			make_index_key(r->host, strlen(r->host), r->prefix,
			    strlen(r->prefix)),
			r))
			return 0;
	}
	return 1;
}

/* Hosts are kept in lower case; see make_index_key. */
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
	struct view_route *r;
	size_t hlen = strcspn(host, ":"), len = strcspn(path, "?#");
	char *key;

	for (; len > 0; len--) {
		if (path[len - 1] != '/')
			continue;
		key = make_index_key(host, hlen, path, len);
		r = g_hash_table_lookup(c->index, key);
		g_free(key);
		if (r != NULL)
			return r;
	}
	return NULL;
}

/*
 * Smooth weighted round-robin: each service gains its weight as credit; the one
 * with the most credit is chosen and pays the sum of the weights.  Shares are
 * exact over each round, so a route with few requests keeps its weights, too.
 */
int
view_next_service(struct view_route *r, uint32_t random)
{
	int i, best = 0, sum = 0;

	if (r->nparts == 1)
		return r->parts[0].service;
	for (i = 0; i < r->nparts; i++)
		sum += r->parts[i].weight;
	if (sum <= 0)
		return r->parts[0].service;
	/* A random start keeps nodes from choosing in lockstep. */
	for (i = 0; i < r->nparts && r->parts[i].credit == 0; i++)
		;
	if (i == r->nparts)
		r->parts[random % (uint32_t)r->nparts].credit =
		    (int)(random % (uint32_t)sum);
	for (i = 0; i < r->nparts; i++) {
		r->parts[i].credit += r->parts[i].weight;
		if (r->parts[i].credit > r->parts[best].credit)
			best = i;
	}
	r->parts[best].credit -= sum;
	return r->parts[best].service;
}
