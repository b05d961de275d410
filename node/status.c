/*
 * The operators' HTTP interface: status, members, counters, spans, routing
 * explanations and the quarantine.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "config.h"
#include "entry.h"
#include "serve.h"
#include "status.h"

#define HTTP_OK	       200
#define HTTP_NOT_FOUND 404

static void print_status(struct node *, struct server_request *, GString *);
static void print_peers(struct node *, struct server_request *, GString *);
static void print_metrics(struct node *, struct server_request *, GString *);
static void print_spans(struct node *, struct server_request *, GString *);
static void
print_explanation(struct node *, struct server_request *, GString *);
static void print_quarantine(struct node *, struct server_request *, GString *);
static void
release_quarantine(struct node *, struct server_request *, GString *);
static void print_guard(struct node *, GString *);
static void print_member_counts(struct node *, GString *);

/* Methods, paths and the functions that print their pages. */
static const struct {
	const char *method, *path, *type;
	void (*print)(struct node *, struct server_request *, GString *);
} pages[] = {
	{ "GET", "/status", "application/json", print_status },
	{ "GET", "/peers", "application/json", print_peers },
	{ "GET", "/metrics", "text/plain; version=0.0.4", print_metrics },
	{ "GET", "/spans", "application/json", print_spans },
	{ "GET", "/explain", "application/json", print_explanation },
	{ "GET", "/quarantine", "application/json", print_quarantine },
	{ "POST", "/quarantine/release", "application/json",
	    release_quarantine },
};

static const char *const state_names[] = {
	[MEMBER_ALIVE] = "alive",
	[MEMBER_LEAVING] = "leaving",
	[MEMBER_SUSPECT] = "suspect",
	[MEMBER_DEAD] = "dead",
	[MEMBER_LEFT] = "left",
};

/* Posts an operator's request to the loop; runs on a server's thread. */
void
operator_request(void *arg, struct server_request *r)
{
	struct node *n = arg;

	mailbox_post(&n->mailbox, EVENT_OPERATOR, r);
}

/* Replies with the page that the method and path select, or 404. */
void
operator_handle(struct node *n, struct server_request *r)
{
	struct http_header *h;
	GString *out = g_string_new(NULL);
	size_t len = strcspn(r->path, "?"), i;
	int code = HTTP_NOT_FOUND;
	const char *type = "text/plain";

	for (i = 0; i < G_N_ELEMENTS(pages); i++) {
		if (strcmp(pages[i].method, r->method) != 0 ||
		    strlen(pages[i].path) != len ||
		    strncmp(pages[i].path, r->path, len) != 0)
			continue;
		code = HTTP_OK;
		type = pages[i].type;
		pages[i].print(n, r, out);
		break;
	}
	if (code == HTTP_NOT_FOUND)
		g_string_append(out, "no such page\n");
	h = g_new0(struct http_header, 1);
	h->name = g_strdup("Content-Type");
	h->value = g_strdup(type);
	server_reply(r, code, h, 1, g_string_free_to_bytes(out));
}

/* Appends the state of the guard, or null on a node without one. */
static void
print_guard(struct node *n, GString *out)
{
	struct guard *g = serve_guard(n);

	g_string_append(out, ", \"guard\": ");
	if (g == NULL) {
		g_string_append(out, "null");
		return;
	}
	g_string_append(out, "{\"target\": ");
	json_quote(out, serve_target_name(n));
	g_string_append_printf(out,
	    ", \"limit\": %d, \"running\": %d, \"waiting\": %d, "
	    "\"remembered\": %d, \"load\": %d}",
	    guard_limit(g)->current, guard_running(g), guard_waiting(g),
	    guard_id_count(g), guard_load(g));
}

/* Appends the number of members in each state. */
static void
print_member_counts(struct node *n, GString *out)
{
	int counts[G_N_ELEMENTS(state_names)] = { 0 }, i;

	for (i = 0; i < members_count(n->members); i++)
		counts[member_at(n->members, i)->state]++;
	g_string_append(out, ", \"peers\": {");
	for (i = 0; i < (int)G_N_ELEMENTS(state_names); i++)
		g_string_append_printf(out, "%s\"%s\": %d", i > 0 ? ", " : "",
		    state_names[i], counts[i]);
	g_string_append_c(out, '}');
}

/* The state of the node as a JSON object. */
static void
print_status(struct node *n, struct server_request *r, GString *out)
{
	int err = reader_error(n->reader);

	(void)r;
	g_string_append(out, "{\"node\": ");
	json_quote(out, n->settings.name);
	g_string_append(out, ", \"data_centre\": ");
	json_quote(out, n->settings.data_centre);
	g_string_append_printf(out,
	    ", \"boot\": %" PRIu64 ", \"ready\": %s, \"out\": %s, "
	    "\"leaving\": %s, \"isolated\": %s, \"reader\": %s, "
	    "\"platform\": \"%s\", \"calls\": %d, \"links\": %d, "
	    "\"rules\": %d, ",
	    n->boot, n->ready ? "true" : "false", n->out ? "true" : "false",
	    n->leaving ? "true" : "false",
	    members_isolated(n->members, base_now_ms()) ? "true" : "false",
	    reader_is_active(n->reader) ? "true" : "false",
	    source_strerror(err), entry_inflight(n), link_count(n->link),
	    MESH_RULES);
	config_status(n->config, out);
	print_member_counts(n, out);
	print_guard(n, out);
	g_string_append(out, "}\n");
}

/* The members as a JSON array, one a line. */
static void
print_peers(struct node *n, struct server_request *r, GString *out)
{
	const struct member *p;
	int i;

	(void)r;
	g_string_append(out, "[");
	for (i = 0; i < members_count(n->members); i++) {
		p = member_at(n->members, i);
		g_string_append(out, i > 0 ? ",\n{\"name\": " : "{\"name\": ");
		json_quote(out, p->name);
		g_string_append(out, ", \"address\": ");
		json_quote(out, p->addr);
		g_string_append(out, ", \"data_centre\": ");
		json_quote(out, p->dc);
		g_string_append_printf(out,
		    ", \"state\": \"%s\", \"version\": %" PRIu64
		    ", \"load\": %d}",
		    state_names[p->state], p->number, p->load);
	}
	g_string_append(out, "]\n");
}

/* Page of all counters. */
static void
print_metrics(struct node *n, struct server_request *r, GString *out)
{
	(void)n;
	(void)r;
	counter_print(out);
}

/* The spans of one trace that this node keeps. */
static void
print_spans(struct node *n, struct server_request *r, GString *out)
{
	char *id = server_query(r, "trace");

	spans_print(&n->spans, id != NULL ? id : "", out);
	g_free(id);
}

/* How a request with this method and path would be routed. */
static void
print_explanation(struct node *n, struct server_request *r, GString *out)
{
	char *method = server_query(r, "method");
	char *path = server_query(r, "path");

	entry_explain(
	    n, method != NULL ? method : "GET", path != NULL ? path : "/", out);
	g_free(method);
	g_free(path);
}

/* The fingerprints in quarantine at this node's guard. */
static void
print_quarantine(struct node *n, struct server_request *r, GString *out)
{
	(void)r;
	if (serve_guard(n) == NULL)
		g_string_append(out, "[]");
	else
		guard_print_poison(serve_guard(n), out, base_now_ms());
}

/*
 * Releases a fingerprint from quarantine, here and at the other guards of the
 * service.
 */
static void
release_quarantine(struct node *n, struct server_request *r, GString *out)
{
	char *text = server_query(r, "fingerprint");
	uint64_t fp = text != NULL ? strtoull(text, NULL, 16) : 0;

	g_string_append_printf(out, "{\"released\": %s}\n",
	    suspect_release_quarantine(n, fp) ? "true" : "false");
	g_free(text);
}
