/* teaselctl: one subcommand a file, and what they share. */
#ifndef CTL_H
#define CTL_H

#include <stdio.h>

#include "../base/base.h"
#include "../mesh/mesh.h"

/* Exit codes. */
enum ctl_exit {
	CTL_OK = 0,
	CTL_REFUSED = 1, /* the set is refused, or the wish not fulfilled */
	CTL_USAGE = 2,	 /* usage, or a file that cannot be read */
};

/* A subcommand; argv[0] is its name. */
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
int ctl_why(int, char **);
int ctl_quarantine(int, char **);
int ctl_key(int, char **);

/*
 * Parses options of a subcommand; the number of arguments that remain must
 * be from least to most.  0, or the exit code.
 */
int ctl_options(const GOptionEntry *, const char *usage, int *argc,
    char ***argv, int least, int most);
/* Reads and checks a set, printing what is wrong; NULL when refused. */
struct set *ctl_read_set(const char *path, char **text, size_t *len, int *code);
/* Asks a node's operator address; 0 or a negative error. */
int ctl_get(const char *addr, const char *path, GString *out);
int ctl_post(const char *addr, const char *path, GString *out);
/* The same, parsed; NULL on failure. */
struct json *ctl_get_json(const char *addr, const char *path);
/*
 * The operator addresses meant by --node and --all: those given, and with all
 * those of their peers, by the same port.  NULL-terminated, to be freed.
 */
char **ctl_nodes(int with_peers);

/* Options of the commands over nodes. */
extern char **ctl_node_args;
extern int ctl_all;

#define CTL_NODE_OPTIONS                                                      \
	{ "node", 'n', 0, G_OPTION_ARG_STRING_ARRAY, &ctl_node_args,          \
		"Operators' address of a node; may be repeated", "ADDRESS" }, \
	{                                                                     \
		"all", 'a', 0, G_OPTION_ARG_NONE, &ctl_all,                   \
		    "Its peers as well, at the same port", NULL               \
	}

#define CTL_PORT 9400 /* operators' port when none is given */

#endif
