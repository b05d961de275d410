/* Entries that operators and targets of the users' platform write. */
#include "store.h"

#define TIMEOUT_MS	  1000 /* TimeoutMs of every route */
#define TARGET_LATENCY_MS 400  /* TargetLatencyMs of every route */

static void add_host(GString *, const struct store_route *, int);

/* Writes four slots and version "v1" for each target. */
void
store_put_target(struct store *s, const struct store_target *t)
{
	char *key = g_strdup_printf("servers/%s", t->id);
	char *value;

	value = g_strdup_printf(
	    "{\"Address\":\"%s\",\"Info\":{\"Service\":\"%s\","
	    "\"Version\":\"v1\",\"Zone\":\"%s\",\"Slots\":4},"
	    "\"Status\":{\"State\":\"%s\",\"Sequence\":1,"
	    "\"WarmupLeftMs\":%d},\"born\":%" G_GINT64_FORMAT "}",
	    t->addr, t->service, t->dc, t->state, t->cold_ms, t->born_wall_ms);
	store_put(s, key, value);
	g_free(key);
	g_free(value);
}

/* Removes the entry, as when it expires. */
void
store_remove_target(struct store *s, const char *id)
{
	char *key = g_strdup_printf("servers/%s", id);

	store_remove(s, key);
	g_free(key);
}

/* The only virtual host is "rig". */
void
store_put_config(
    struct store *s, int version, const char *service, const char *prefix)
{
	char *value;

	value = g_strdup_printf(
	    "{\"Version\":%d,\"Services\":[{\"Name\":\"%s\","
	    "\"HealthCheckPath\":\"/health\",\"MaxConnections\":100,"
	    "\"WarmupS\":3.0,\"WarmupPerS\":20.0}],\"Limits\":{"
	    "\"MaxHeaderBytes\":4096,\"MaxBodyBytes\":65536,"
	    "\"HeaderTimeoutMs\":300,\"IdleTimeoutMs\":5000},"
	    "\"VirtualHosts\":[{\"Host\":\"rig\",\"PathRules\":[{\"Name\":"
	    "\"r\",\"Prefix\":\"%s\",\"Kind\":\"idempotent\",\"TimeoutMs\":"
	    "1000,\"TargetLatencyMs\":400,\"Priority\":1,\"Attempts\":2,"
	    "\"Service\":\"%s\"}]}]}",
	    version, service, prefix, service);
	store_put(s, "op/config", value);
	g_free(value);
}

/* Appends the virtual host rig with all routes. */
static void
add_host(GString *out, const struct store_route *routes, int n)
{
	const struct store_route *r;
	int i;

	g_string_append(
	    out, "\"VirtualHosts\":[{\"Host\":\"rig\",\"PathRules\":[");
	for (i = 0; i < n; i++) {
		r = &routes[i];
		g_string_append_printf(out,
		    "%s{\"Name\":\"r%d\",\"Prefix\":\"%s\",\"Kind\":\"%s\","
		    "\"TimeoutMs\":%d,\"TargetLatencyMs\":%d,\"Priority\":%d,"
		    "\"Attempts\":2,",
		    i > 0 ? "," : "", i, r->prefix,
		    r->repeatable ? "idempotent" : "non_idempotent", TIMEOUT_MS,
		    TARGET_LATENCY_MS, i);
		if (r->other == NULL)
			g_string_append_printf(
			    out, "\"Service\":\"%s\"}", r->service);
		else
			g_string_append_printf(out,
			    "\"TrafficSplit\":[{\"Service\":\"%s\",\"Weight\":"
			    "1},"
			    "{\"Service\":\"%s\",\"Weight\":1}]}",
			    r->service, r->other);
	}
	g_string_append(out, "]}]");
}

/* The only virtual host is "rig"; the priority of a route is its index. */
void
store_put_routes(struct store *s, int version, const char *const *services,
    const struct store_route *routes, int nroutes)
{
	GString *out = g_string_new(NULL);
	int i;

	g_string_append_printf(out, "{\"Version\":%d,\"Services\":[", version);
	for (i = 0; services[i] != NULL; i++)
		g_string_append_printf(out,
		    "%s{\"Name\":\"%s\",\"HealthCheckPath\":\"/health\","
		    "\"MaxConnections\":100,\"WarmupS\":2.0,\"WarmupPerS\":20."
		    "0}",
		    i > 0 ? "," : "", services[i]);
	g_string_append(out,
	    "],\"Limits\":{\"MaxHeaderBytes\":4096,\"MaxBodyBytes\":65536,"
	    "\"HeaderTimeoutMs\":1000,\"IdleTimeoutMs\":5000},");
	add_host(out, routes, nroutes);
	g_string_append_c(out, '}');
	store_put(s, "op/config", out->str);
	g_string_free(out, TRUE);
}
