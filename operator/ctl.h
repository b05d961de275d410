/*
 * teaselctl: the subcommands, and the options, files and connections to nodes
 * that they share.
 */
#ifndef CTL_H
#define CTL_H

#include <stdio.h>

#include "../base/base.h"
#include "../mesh/mesh.h"

/* Exit codes. */
enum ctl_exit {
	CTL_OK = 0,
	CTL_REFUSED = 1, /* invalid set, or the command did not succeed */
	CTL_USAGE = 2,	 /* usage, or a file that cannot be read or written */
};

/* A subcommand; argv[0] is its name.  Returns an enum ctl_exit. */
typedef int (*ctl_command)(int argc, char **argv);

int ctl_check(int, char **);
int ctl_list(int, char **);
int ctl_diff(int, char **);
int ctl_edit(int, char **);
int ctl_pack(int, char **);
int ctl_status(int, char **);
int ctl_wait(int, char **);
int ctl_trace(int, char **);
int ctl_top(int, char **);
int ctl_explain(int, char **);
int ctl_where(int, char **);
int ctl_why(int, char **);
int ctl_quarantine(int, char **);
int ctl_key(int, char **);

/*
 * Parses a subcommand's options, of which entries may be NULL.  From min_args
 * to max_args arguments must remain; errors go to standard error.  Returns
 * CTL_OK or CTL_USAGE.
 */
int ctl_parse_options(const GOptionEntry *, const char *usage, int *argc,
    char ***argv, int min_args, int max_args);
/*
 * Reads and checks a set, and prints the errors and warnings.  On success the
 * caller frees the set and *text; on failure returns NULL and sets *code to the
 * exit code.
 */
struct set *ctl_read_set(const char *path, char **text, size_t *len, int *code);
/*
 * Send a request to a node's operator address, ADDRESS[:PORT], and append the
 * body of a 2xx answer to out.  Return BASE_OK or a negative error.
 */
int ctl_get(const char *addr, const char *path, GString *out);
int ctl_post(const char *addr, const char *path, GString *out);
/* Sends a GET and parses the body; the caller frees it.  NULL on failure. */
struct json *ctl_get_json(const char *addr, const char *path);
/*
 * Returns the operator addresses that --node and --all select: those given, by
 * default the local node, and with --all and with_peers also the peers of the
 * first, at the same port.  NULL-terminated; freed with g_strfreev.
 */
char **ctl_select_nodes(int with_peers);

/* Values of --node and --all; ctl_node_args is NULL without --node. */
extern char **ctl_node_args;
extern int ctl_all;

#define CTL_NODE_OPTIONS                                                    \
	{ "node", 'n', 0, G_OPTION_ARG_STRING_ARRAY, &ctl_node_args,        \
		"Operator address of a node; may be repeated", "ADDRESS" }, \
	{                                                                   \
		"all", 'a', 0, G_OPTION_ARG_NONE, &ctl_all,                 \
		    "Also use its peers, at the same port", NULL            \
	}

#define CTL_PORT 9400 /* default port of a node's operator address */

#endif
