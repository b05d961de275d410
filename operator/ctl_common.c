/* Shared by the subcommands: options, reading sets, requests to nodes. */
#include <stdlib.h>
#include <string.h>

#include <neon/ne_request.h>
#include <neon/ne_session.h>

#include "../caller/caller.h"
#include "../mesh/member.h"
#include "ctl.h"

#define CONNECT_S 2
#define READ_S	  5

char **ctl_node_args;
int ctl_all;

static int send_request(const char *, const char *, const char *, GString *);
static int append_block(void *, const char *, size_t);
static char *add_default_port(const char *);

/* Parses options under the program name "teaselctl SUBCOMMAND". */
int
ctl_parse_options(const GOptionEntry *entries, const char *usage, int *argc,
    char ***argv, int min_args, int max_args)
{
	GOptionContext *ctx;
	GError *error = NULL;
	char *prog;
	int ok;

	prog = g_strdup_printf("teaselctl %s", (*argv)[0]);
	g_set_prgname(prog);
	ctx = g_option_context_new(usage);
	if (entries != NULL)
		g_option_context_add_main_entries(ctx, entries, NULL);
	ok = g_option_context_parse(ctx, argc, argv, &error);
	g_option_context_free(ctx);
	if (!ok) {
		fprintf(stderr, "%s: %s\n", prog, error->message);
		g_error_free(error);
	} else if (*argc - 1 < min_args || *argc - 1 > max_args) {
		fprintf(stderr, "usage: %s %s\n", prog, usage);
		ok = 0;
	}
	g_free(prog);
	return ok ? CTL_OK : CTL_USAGE;
}

/*
 * Reads and checks a set as the nodes do.  The report goes to standard output
 * if the set is rejected, and to standard error if it is accepted.
 */
struct set *
ctl_read_set(const char *path, char **text, size_t *len, int *code)
{
	struct report *rep;
	struct set *s = NULL;
	GString *out;
	int err;

	err = base_read_file(path, BASE_SET_MAX, text, len);
	if (err == BASE_EREAD) {
		fprintf(
		    stderr, "teaselctl: %s: %s\n", path, base_strerror(err));
		*code = CTL_USAGE;
		return NULL;
	}
	rep = report_new();
	if (err == BASE_ESIZE)
		report_error(rep, 1, "file", "", "is larger than %d bytes",
		    BASE_SET_MAX);
	else
		s = set_parse(*text, *len, rep);
	out = g_string_new(NULL);
	report_print(rep, path, out);
	fputs(out->str, s == NULL ? stdout : stderr);
	g_string_free(out, TRUE);
	report_free(rep);
	if (s == NULL) {
		if (err == BASE_OK)
			g_free(*text);
		*code = CTL_REFUSED;
	}
	return s;
}

/* Appends a block of the answer's body to the GString arg; called by neon. */
static int
append_block(void *arg, const char *buf, size_t len)
{
	g_string_append_len(arg, buf, (gssize)len);
	return 0;
}

/* Adds the default port to an address without one; the caller frees it. */
static char *
add_default_port(const char *addr)
{
	if (strchr(addr, ':') != NULL)
		return g_strdup(addr);
	return g_strdup_printf("%s:%d", addr, CTL_PORT);
}

/* Sends one request to a node and waits for the answer, within the timeouts. */
static int
send_request(
    const char *addr, const char *method, const char *path, GString *out)
{
	char host[ADDRESS_MAX], *full = add_default_port(addr);
	ne_session *s;
	ne_request *req;
	int port, err;

	if (address_split(full, host, &port) != BASE_OK) {
		g_free(full);
		return BASE_EADDRESS;
	}
	g_free(full);
	s = ne_session_create("http", host, (unsigned int)port);
	ne_set_connect_timeout(s, CONNECT_S);
	ne_set_read_timeout(s, READ_S);
	req = ne_request_create(s, method, path);
	ne_add_response_body_reader(req, ne_accept_2xx, append_block, out);
	err = ne_request_dispatch(req);
	if (err == NE_OK && ne_get_status(req)->klass != 2)
		err = NE_ERROR;
	ne_request_destroy(req);
	ne_session_destroy(s);
	return err == NE_OK ? BASE_OK : BASE_EREAD;
}

/* Sends a GET, for requests that change nothing. */
int
ctl_get(const char *addr, const char *path, GString *out)
{
	return send_request(addr, "GET", path, out);
}

/* Sends a POST, for requests that change the state of the node. */
int
ctl_post(const char *addr, const char *path, GString *out)
{
	return send_request(addr, "POST", path, out);
}

/* Sends a GET and parses the JSON of the answer. */
struct json *
ctl_get_json(const char *addr, const char *path)
{
	GString *text = g_string_new(NULL);
	struct report *rep = report_new();
	struct json *j = NULL;

	if (ctl_get(addr, path, text) == BASE_OK)
		j = json_parse(text->str, text->len, rep);
	report_free(rep);
	g_string_free(text, TRUE);
	return j;
}

/*
 * Lists the selected nodes.  Only the first node is queried for its peers, and
 * those that have left are skipped.
 */
char **
ctl_select_nodes(int with_peers)
{
	GPtrArray *out = g_ptr_array_new();
	const struct json *p;
	struct json *peers;
	const char *addr, *port;
	char **arg, *first;
	static char *self[] = { "127.0.0.1", NULL };

	for (arg = ctl_node_args != NULL ? ctl_node_args : self; *arg != NULL;
	     arg++)
		g_ptr_array_add(out, add_default_port(*arg));
	first = g_ptr_array_index(out, 0);
	peers = with_peers && ctl_all ? ctl_get_json(first, "/peers") : NULL;
	port = strrchr(first, ':');
	for (p = peers != NULL ? peers->child : NULL; p != NULL; p = p->next) {
		addr = json_str(p, "address", "");
		if (strcmp(json_str(p, "state", ""), "left") != 0)
			g_ptr_array_add(
			    out, g_strdup_printf("%.*s%s",
				     (int)strcspn(addr, ":"), addr, port));
	}
	json_free(peers);
	g_ptr_array_add(out, NULL);
	return (char **)g_ptr_array_free(out, FALSE);
}
