/* The question where a request would go, on the metrics address. */
#include <string.h>

#include "side.h"

#define PATH	    "/where?"
#define STATUS_OK   200
#define STATUS_BAD  400
#define STATUS_NONE 0

/* Parameters are URI-escaped, and no other ones are accepted. */
int
side_where(struct proxy *p, const char *path, GString *out)
{
	const char *host, *of;
	GHashTable *params;
	int status = STATUS_BAD;

	if (strncmp(path, PATH, strlen(PATH)) != 0)
		return STATUS_NONE;
	params = g_uri_parse_params(
	    path + strlen(PATH), -1, "&", G_URI_PARAMS_NONE, NULL);
	host = params != NULL ? g_hash_table_lookup(params, "host") : NULL;
	of = params != NULL ? g_hash_table_lookup(params, "path") : NULL;
	if (host != NULL && of != NULL && of[0] == '/' &&
	    g_hash_table_size(params) == 2) {
		proxy_explain(p, host, of, out);
		status = STATUS_OK;
	} else {
		g_string_append(out, "usage: /where?host=HOST&path=/PATH\n");
	}
	if (params != NULL)
		g_hash_table_unref(params);
	return status;
}
