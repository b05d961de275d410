/* Subcommands that observe calls: trace and top. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "ctl.h"

#define REFRESH_S 1
#define INDENT	  2  /* columns per level of the tree */
#define DEPTH_MAX 64 /* levels; ends the recursion if spans form a cycle */

/* A hop of a call, as a span, and the node that recorded it. */
struct hop {
	const struct json *span;
	const char *node; /* operator address */
};

static void collect_hops(char **, const char *, GPtrArray *, GArray *);
static int has_parent(const GArray *, const char *);
static void print_tree(const GArray *, const char *, int);
static void print_hop(const struct hop *, int);
static int64_t read_counter(const char *, const char *);

/*
 * Collects the spans of a trace from all nodes.  The hops point into the
 * documents, which are added to docs; nodes that do not answer are skipped.
 */
static void
collect_hops(char **nodes, const char *id, GPtrArray *docs, GArray *hops)
{
	const struct json *s;
	struct json *j;
	struct hop h;
	char *path;
	int i;

	path = g_strdup_printf("/spans?trace=%s", id);
	for (i = 0; nodes[i] != NULL; i++) {
		if ((j = ctl_get_json(nodes[i], path)) == NULL)
			continue;
		g_ptr_array_add(docs, j);
		for (s = j->child; s != NULL; s = s->next) {
			h.span = s;
			h.node = nodes[i];
			g_array_append_val(hops, h);
		}
	}
	g_free(path);
}

/* Returns 1 when the span id of a parent is among the collected hops. */
static int
has_parent(const GArray *hops, const char *id)
{
	guint i;

	for (i = 0; i < hops->len; i++)
		if (strcmp(json_str(g_array_index(hops, struct hop, i).span,
			       "span", ""),
			id) == 0)
			return 1;
	return 0;
}

/* Prints one hop as a line, indented by its depth. */
static void
print_hop(const struct hop *h, int depth)
{
	printf("%*s%-7s %-20s %-16s %8.3f ms  %s\n", depth * INDENT, "",
	    json_str(h->span, "kind", ""), json_str(h->span, "name", ""),
	    json_str(h->span, "outcome", ""),
	    (double)json_int(h->span, "duration_us", 0) / 1000.0, h->node);
}

/* Prints the hops below a parent span, each followed by its own children. */
static void
print_tree(const GArray *hops, const char *parent, int depth)
{
	const struct hop *h;
	guint i;

	if (depth > DEPTH_MAX)
		return;
	for (i = 0; i < hops->len; i++) {
		h = &g_array_index(hops, struct hop, i);
		if (strcmp(json_str(h->span, "parent", ""), parent) != 0)
			continue;
		print_hop(h, depth);
		print_tree(hops, json_str(h->span, "span", ""), depth + 1);
	}
}

/* trace TRACE-ID: prints the hops of a call as trees. */
int
ctl_trace(int argc, char **argv)
{
	const GOptionEntry entries[] = {
		CTL_NODE_OPTIONS,
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	const struct hop *h;
	GPtrArray *docs = g_ptr_array_new();
	GArray *hops = g_array_new(FALSE, FALSE, sizeof(struct hop));
	const char *parent;
	char **nodes;
	int code, found;
	guint i;

	if ((code = ctl_parse_options(
		 entries, "TRACE-ID", &argc, &argv, 1, 1)) != CTL_OK)
		return code;
	nodes = ctl_select_nodes(1);
	collect_hops(nodes, argv[1], docs, hops);
	/* Roots: hops whose parent is not here, such as the caller's span. */
	for (i = 0; i < hops->len; i++) {
		h = &g_array_index(hops, struct hop, i);
		parent = json_str(h->span, "parent", "");
		if (parent[0] != '\0' && has_parent(hops, parent))
			continue;
		print_hop(h, 0);
		print_tree(hops, json_str(h->span, "span", ""), 1);
	}
	found = hops->len > 0;
	if (!found)
		printf("no queried node has a hop of %s\n", argv[1]);
	for (i = 0; i < docs->len; i++)
		json_free(g_ptr_array_index(docs, i));
	g_ptr_array_free(docs, TRUE);
	g_array_free(hops, TRUE);
	g_strfreev(nodes);
	return found ? CTL_OK : CTL_REFUSED;
}

/* Reads a counter from Prometheus text; 0 when it is not there. */
static int64_t
read_counter(const char *text, const char *name)
{
	char *line = g_strdup_printf("\nteaselstep_%s ", name);
	const char *at = strstr(text, line);
	int64_t v = at != NULL ? strtoll(at + strlen(line), NULL, 10) : 0;

	g_free(line);
	return v;
}

/*
 * top: prints rates of each node every second.  The first page shows zeros, as
 * a rate needs two readings.
 */
int
ctl_top(int argc, char **argv)
{
	static int count;
	const GOptionEntry entries[] = {
		CTL_NODE_OPTIONS,
		{ "count", 'c', 0, G_OPTION_ARG_INT, &count,
		    "Stop after this many pages", "N" },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	static const char *const columns[] = { "calls_total",
		"calls_answered_total", "calls_refused_not_run_total",
		"calls_refused_unknown_total", "guard_runs_total",
		"forward_retries_total" };
	int64_t(*last)[G_N_ELEMENTS(columns)], v;
	const struct json *g;
	struct json *j;
	GString *text;
	char **nodes;
	int code, i, page, n;
	size_t k;

	if ((code = ctl_parse_options(entries, "", &argc, &argv, 0, 0)) !=
	    CTL_OK)
		return code;
	nodes = ctl_select_nodes(1);
	n = (int)g_strv_length(nodes);
	last = g_malloc0((gsize)n * sizeof(*last));
	for (page = 0; count == 0 || page < count; page++) {
		if (isatty(STDOUT_FILENO))
			printf("\033[H\033[2J");
		printf("%-21s %8s %8s %8s %8s %8s %8s %9s\n",
		    "a second:", "calls", "answers", "not_run", "unknown",
		    "runs", "retries", "run/limit");
		for (i = 0; i < n; i++) {
			text = g_string_new(NULL);
			ctl_get(nodes[i], "/metrics", text);
			j = ctl_get_json(nodes[i], "/status");
			g = json_get(j, "guard");
			printf("%-21s", nodes[i]);
			for (k = 0; k < G_N_ELEMENTS(columns); k++) {
				v = read_counter(text->str, columns[k]);
				printf(" %8" PRId64,
				    page > 0 ? (v - last[i][k]) / REFRESH_S
					     : 0);
				last[i][k] = v;
			}
			printf(" %4" PRId64 "/%-4" PRId64 "\n",
			    json_int(g, "running", 0), json_int(g, "limit", 0));
			json_free(j);
			g_string_free(text, TRUE);
		}
		fflush(stdout);
		if (count == 0 || page + 1 < count)
			sleep(REFRESH_S);
	}
	g_free(last);
	g_strfreev(nodes);
	return CTL_OK;
}
