/* Subcommands that query nodes: status, wait, explain, quarantine. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "ctl.h"

#define POLL_US	       100000 /* between two polls by wait */
#define WAIT_DEFAULT_S 30

static int as_json;

static void print_row(const char *, const struct json *);
static void print_json(char **);
static int count_in_force(char **, uint64_t, const char *, int *);

/*
 * Prints a node's row of the table, and below it a rejected version or a
 * conflict; j is its status, or NULL when it did not answer.
 */
static void
print_row(const char *addr, const struct json *j)
{
	const struct json *guard = json_get(j, "guard");
	const struct json *peers = json_get(j, "peers");
	const char *why = json_str(j, "reason", NULL);
	const char *by = json_str(j, "rejected_by", "");
	const struct json *ready = json_get(j, "ready");
	const struct json *out = json_get(j, "out");

	if (j == NULL) {
		printf("%-21s cannot be reached\n", addr);
		return;
	}
	printf("%-21s %-10s %-15s %8" PRId64 " %7.1f %-9s %-5s %-4s "
	       "%5" PRId64 " %3" PRId64 "/%-3" PRId64 "\n",
	    addr, json_str(j, "node", ""), json_str(j, "data_centre", ""),
	    json_int(j, "version", 0),
	    (double)json_int(j, "age_ms", 0) / BASE_MS_PER_S,
	    json_str(j, "source", ""),
	    ready != NULL && ready->num ? "yes" : "no",
	    out != NULL && out->num ? "out" : "in", json_int(peers, "alive", 0),
	    json_int(guard, "running", 0), json_int(guard, "limit", 0));
	if (why != NULL)
		printf("%21s rejected %s%s%s: %s\n", "",
		    json_str(j, "rejected", ""), *by != '\0' ? " by " : "", by,
		    why);
	if (json_get(j, "conflict") != NULL)
		printf("%21s conflict: %s was published under the same "
		       "number\n",
		    "", json_str(j, "conflict", ""));
}

/* Prints the status of every node, unchanged, as one JSON array. */
static void
print_json(char **nodes)
{
	GString *one;
	int i;

	printf("[");
	for (i = 0; nodes[i] != NULL; i++) {
		one = g_string_new(NULL);
		if (ctl_get(nodes[i], "/status", one) != BASE_OK)
			g_string_assign(one, "null");
		printf("%s{\"address\": \"%s\", \"status\": %s}",
		    i > 0 ? ",\n " : "", nodes[i], g_strchomp(one->str));
		g_string_free(one, TRUE);
	}
	printf("]\n");
}

/* status [--json]: fails when a node did not answer, except with --json. */
int
ctl_status(int argc, char **argv)
{
	const GOptionEntry entries[] = {
		CTL_NODE_OPTIONS,
		{ "json", 0, 0, G_OPTION_ARG_NONE, &as_json, "Print JSON",
		    NULL },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	struct json *j;
	char **nodes;
	int i, code, unreachable = 0;

	if ((code = ctl_parse_options(entries, "", &argc, &argv, 0, 0)) !=
	    CTL_OK)
		return code;
	nodes = ctl_select_nodes(1);
	if (as_json) {
		print_json(nodes);
		g_strfreev(nodes);
		return CTL_OK;
	}
	printf("%-21s %-10s %-15s %8s %7s %-9s %-5s %-4s %5s %s\n", "ADDRESS",
	    "NODE", "DATA CENTRE", "VERSION", "AGE_S", "SOURCE", "READY",
	    "WORK", "PEERS", "RUN/LIMIT");
	for (i = 0; nodes[i] != NULL; i++) {
		j = ctl_get_json(nodes[i], "/status");
		print_row(nodes[i], j);
		unreachable += j == NULL;
		json_free(j);
	}
	g_strfreev(nodes);
	return unreachable > 0 ? CTL_REFUSED : CTL_OK;
}

/*
 * Counts the nodes that hold a version or a later one.  With a hash, which may
 * be a prefix, the version itself must match it as well.
 */
static int
count_in_force(char **nodes, uint64_t want, const char *hash, int *total)
{
	struct json *j;
	uint64_t held;
	int i, n = 0;

	for (i = 0; nodes[i] != NULL; i++) {
		j = ctl_get_json(nodes[i], "/status");
		held = (uint64_t)json_int(j, "version", 0);
		if (held > want ||
		    (held == want &&
			(hash == NULL || strncmp(json_str(j, "hash", ""), hash,
					     strlen(hash)) == 0)))
			n++;
		json_free(j);
	}
	*total = i;
	return n;
}

/* wait VERSION[-HASH]: polls until all nodes hold it, or until the timeout. */
int
ctl_wait(int argc, char **argv)
{
	static int timeout = WAIT_DEFAULT_S;
	const GOptionEntry entries[] = {
		CTL_NODE_OPTIONS,
		{ "timeout", 't', 0, G_OPTION_ARG_INT, &timeout,
		    "Give up after", "SECONDS" },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	char **nodes, *end;
	const char *hash;
	uint64_t want;
	int64_t began = base_now_ms(), deadline;
	int code, n, total;

	if ((code = ctl_parse_options(
		 entries, "VERSION[-HASH]", &argc, &argv, 1, 1)) != CTL_OK)
		return code;
	want = strtoull(argv[1], &end, 10);
	hash = *end == '-' ? end + 1 : NULL;
	if (want == 0 || (*end != '\0' && hash == NULL)) {
		fprintf(
		    stderr, "teaselctl: \"%s\" is not a version\n", argv[1]);
		return CTL_USAGE;
	}
	deadline = began + (int64_t)timeout * BASE_MS_PER_S;
	nodes = ctl_select_nodes(1);
	for (;;) {
		n = count_in_force(nodes, want, hash, &total);
		if (isatty(STDERR_FILENO))
			fprintf(stderr, "\r%d of %d nodes hold %s ", n, total,
			    argv[1]);
		if (n == total || base_now_ms() >= deadline)
			break;
		usleep(POLL_US);
	}
	if (isatty(STDERR_FILENO))
		fputc('\n', stderr);
	printf("%s in force on %d of %d nodes after %.1f s\n", argv[1], n,
	    total, (double)(base_now_ms() - began) / BASE_MS_PER_S);
	g_strfreev(nodes);
	return n == total ? CTL_OK : CTL_REFUSED;
}

/* explain METHOD PATH: prints the route and the targets that a node chooses. */
int
ctl_explain(int argc, char **argv)
{
	const GOptionEntry entries[] = {
		CTL_NODE_OPTIONS,
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	const struct json *t;
	struct json *j;
	char **nodes, *path, *escaped;
	int code;

	if ((code = ctl_parse_options(
		 entries, "METHOD PATH", &argc, &argv, 2, 2)) != CTL_OK)
		return code;
	nodes = ctl_select_nodes(0);
	escaped = g_uri_escape_string(argv[2], "/", FALSE);
	path = g_strdup_printf("/explain?method=%s&path=%s", argv[1], escaped);
	j = ctl_get_json(nodes[0], path);
	g_free(path);
	g_free(escaped);
	g_strfreev(nodes);
	if (j == NULL || json_str(j, "route", NULL) == NULL) {
		printf("no route: %s\n",
		    json_str(j, "why", "the node cannot be reached"));
		json_free(j);
		return CTL_REFUSED;
	}
	printf("route \"%s\", service \"%s\", deadline %" PRId64
	       " ms, from %s, %s\n",
	    json_str(j, "route", ""), json_str(j, "service", ""),
	    json_int(j, "deadline_ms", 0), json_str(j, "from", ""),
	    json_int(j, "repeatable", 0) || json_get(j, "repeatable")->num
		? "repeatable"
		: "runs at most once");
	t = json_get(j, "targets");
	for (t = t->child; t != NULL; t = t->next)
		printf("  %-24s %-6s load %3" PRId64 "%%  %s\n",
		    json_str(t, "target", ""),
		    json_get(t, "local")->num ? "local" : "remote",
		    json_int(t, "load", 0), json_str(t, "why", ""));
	json_free(j);
	return CTL_OK;
}

/* quarantine [release FINGERPRINT]: lists or releases it on every node. */
int
ctl_quarantine(int argc, char **argv)
{
	const GOptionEntry entries[] = {
		CTL_NODE_OPTIONS,
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	GString *out;
	char **nodes, *path;
	int code, i;

	if ((code = ctl_parse_options(entries, "[release FINGERPRINT]", &argc,
		 &argv, 0, 2)) != CTL_OK)
		return code;
	if (argc != 1 && (argc != 3 || strcmp(argv[1], "release") != 0)) {
		fprintf(stderr,
		    "usage: teaselctl quarantine [release FINGERPRINT]\n");
		return CTL_USAGE;
	}
	nodes = ctl_select_nodes(1);
	for (i = 0; nodes[i] != NULL; i++) {
		out = g_string_new(NULL);
		if (argc == 3) {
			path = g_strdup_printf(
			    "/quarantine/release?fingerprint=%s", argv[2]);
			ctl_post(nodes[i], path, out);
			g_free(path);
		} else {
			ctl_get(nodes[i], "/quarantine", out);
		}
		printf("%s %s\n", nodes[i], g_strchomp(out->str));
		g_string_free(out, TRUE);
	}
	g_strfreev(nodes);
	return CTL_OK;
}
