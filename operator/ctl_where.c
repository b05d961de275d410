/* The subcommand where: asks a node where a request would go now. */
#include <stdlib.h>

#include "ctl.h"

/* where HOST PATH --node ADDRESS: prints each node's answer. */
int
ctl_where(int argc, char **argv)
{
	const GOptionEntry entries[] = {
		{ "node", 'n', 0, G_OPTION_ARG_STRING_ARRAY, &ctl_node_args,
		    "Metrics address of a node; may be repeated", "ADDRESS" },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	char *host, *path, *query, **nodes;
	GString *text = g_string_new(NULL);
	int i, code;

	if ((code = ctl_parse_options(
		 entries, "HOST PATH", &argc, &argv, 2, 2)) != CTL_OK) {
		g_string_free(text, TRUE);
		return code;
	}
	if (argv[2][0] != '/') {
		fprintf(stderr, "teaselctl: the path must begin with /\n");
		g_string_free(text, TRUE);
		return CTL_USAGE;
	}
	host = g_uri_escape_string(argv[1], NULL, FALSE);
	path = g_uri_escape_string(argv[2], NULL, FALSE);
	query = g_strdup_printf("/where?host=%s&path=%s", host, path);
	nodes = ctl_select_nodes(0);
	for (i = 0; nodes[i] != NULL; i++) {
		g_string_truncate(text, 0);
		if (ctl_get(nodes[i], query, text) == BASE_OK) {
			fputs(text->str, stdout);
			continue;
		}
		fprintf(stderr, "teaselctl: %s does not answer\n", nodes[i]);
		code = CTL_REFUSED;
	}
	g_strfreev(nodes);
	g_free(query);
	g_free(path);
	g_free(host);
	g_string_free(text, TRUE);
	return code;
}
