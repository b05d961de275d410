/* What the subcommands share: options, files, nodes. */
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

static int ask(const char *, const char *, const char *, GString *);
static int collect(void *, const char *, size_t);
static char *with_port(const char *);

/* Parses a subcommand's options. */
int
ctl_options(const GOptionEntry *entries, const char *usage, int *argc,
    char ***argv, int least, int most)
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
	} else if (*argc - 1 < least || *argc - 1 > most) {
		fprintf(stderr, "usage: %s %s\n", prog, usage);
		ok = 0;
	}
	g_free(prog);
	return ok ? CTL_OK : CTL_USAGE;
}

/* Reads and checks a set. */
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

/* Appends a block of an answer. */
static int
collect(void *arg, const char *buf, size_t len)
{
	g_string_append_len(arg, buf, (gssize)len);
	return 0;
}

/* Gives an address the usual port, if it has none. */
static char *
with_port(const char *addr)
{
	if (strchr(addr, ':') != NULL)
		return g_strdup(addr);
	return g_strdup_printf("%s:%d", addr, CTL_PORT);
}

/* One request to a node. */
static int
ask(const char *addr, const char *method, const char *path, GString *out)
{
	char host[ADDRESS_MAX], *full = with_port(addr);
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
	ne_add_response_body_reader(req, ne_accept_2xx, collect, out);
	err = ne_request_dispatch(req);
	if (err == NE_OK && ne_get_status(req)->klass != 2)
		err = NE_ERROR;
	ne_request_destroy(req);
	ne_session_destroy(s);
	return err == NE_OK ? BASE_OK : BASE_EREAD;
}

/* Reads a page of a node. */
int
ctl_get(const char *addr, const char *path, GString *out)
{
	return ask(addr, "GET", path, out);
}

/* Makes a node do something. */
int
ctl_post(const char *addr, const char *path, GString *out)
{
	return ask(addr, "POST", path, out);
}

/* Asks, and parses the answer. */
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

/* Works out which nodes are meant. */
char **
ctl_nodes(int with_peers)
{
	GPtrArray *out = g_ptr_array_new();
	const struct json *p;
	struct json *peers;
	const char *addr, *port;
	char **g, *one;
	static char *self[] = { "127.0.0.1", NULL };

	for (g = ctl_node_args != NULL ? ctl_node_args : self; *g != NULL; g++)
		g_ptr_array_add(out, with_port(*g));
	one = g_ptr_array_index(out, 0);
	peers = with_peers && ctl_all ? ctl_get_json(one, "/peers") : NULL;
	port = strrchr(one, ':');
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
