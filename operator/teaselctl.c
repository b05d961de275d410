/* teaselctl: the command line for operators. */
#include <string.h>

#include <neon/ne_socket.h>
#include <sodium.h>

#include "ctl.h"

static const struct {
	const char *name;
	ctl_command run;
	const char *summary;
} commands[] = {
	{ "check", ctl_check, "check a set as the nodes do" },
	{ "list", ctl_list, "list a set's targets with their VMs" },
	{ "diff", ctl_diff, "show what changes between two sets" },
	{ "out", ctl_edit, "take a data centre or target out of a set" },
	{ "in", ctl_edit, "bring a data centre or target back in" },
	{ "pack", ctl_pack, "make the keys that publish a set" },
	{ "status", ctl_status, "show the version and state of the nodes" },
	{ "wait", ctl_wait, "wait until a version is in force" },
	{ "trace", ctl_trace, "show the hops of a call" },
	{ "top", ctl_top, "watch calls, refusals and limits" },
	{ "explain", ctl_explain, "show the route and targets of a request" },
	{ "where", ctl_where, "show where a node would send a request now" },
	{ "why", ctl_why, "explain from logs how a request ended" },
	{ "quarantine", ctl_quarantine,
	    "list or release quarantined requests" },
	{ "key", ctl_key, "generate a fleet's key" },
};

static void usage(FILE *);

/* Prints the usage and the subcommands with their summaries. */
static void
usage(FILE *f)
{
	size_t i;

	fprintf(f, "usage: teaselctl COMMAND [--help] [ARGUMENT ...]\n\n");
	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(
		    f, "  %-11s %s\n", commands[i].name, commands[i].summary);
}

/* Runs the subcommand; for an unknown name suggests the nearest. */
int
main(int argc, char **argv)
{
	const char *names[G_N_ELEMENTS(commands)], *nearest;
	size_t i;

	if (argc < 2) {
		usage(stderr);
		return CTL_USAGE;
	}
	if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-h") == 0) {
		usage(stdout);
		return CTL_OK;
	}
	if (sodium_init() < 0 || ne_sock_init() != 0)
		return CTL_USAGE;
	for (i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(commands[i].name, argv[1]) == 0)
			return commands[i].run(argc - 1, argv + 1);
		names[i] = commands[i].name;
	}
	nearest = name_nearest(argv[1], names, G_N_ELEMENTS(names));
	fprintf(stderr, "teaselctl: no command \"%s\"", argv[1]);
	if (nearest != NULL)
		fprintf(stderr, "; did you mean \"%s\"?", nearest);
	fputc('\n', stderr);
	return CTL_USAGE;
}
