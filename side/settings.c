/* Reads the settings of teaselside and reports all problems at once. */
#include <string.h>

#include "side.h"

#define PEERS_MAX   16
#define SET(member) offsetof(struct side_settings, member)

static const struct field fields[] = {
	{ "name", FIELD_NAME, SET(proxy.name), 0, VIEW_ID_MAX, NULL, 1 },
	{ "data_centre", FIELD_NAME, SET(proxy.data_centre), 0, VIEW_ID_MAX,
	    NULL, 1 },
	{ "service", FIELD_NAME, SET(proxy.service), 0, VIEW_ID_MAX, NULL, 1 },
	{ "target", FIELD_NAME, SET(proxy.target), 0, ADDRESS_MAX - 1, NULL,
	    1 },
	{ "callers", FIELD_NAME, SET(proxy.callers), 0, ADDRESS_MAX - 1, NULL,
	    1 },
	{ "links", FIELD_NAME, SET(proxy.links), 0, ADDRESS_MAX - 1, NULL, 1 },
	{ "ready", FIELD_NAME, SET(proxy.ready), 0, ADDRESS_MAX - 1, NULL, 1 },
	{ "metrics", FIELD_NAME, SET(metrics), 0, ADDRESS_MAX - 1, NULL, 0 },
	{ "store", FIELD_NAME, SET(store), 0, ADDRESS_MAX - 1, NULL, 1 },
	{ "peers", FIELD_LIST, SET(peers), 0, PEERS_MAX, NULL, 0 },
	{ "log", FIELD_NAME, SET(log), 0, VIEW_ID_MAX, NULL, 0 },
	{ "beat_ms", FIELD_INT, SET(beat_ms), 1, 60000, NULL, 0 },
	{ "memory_mb", FIELD_INT, SET(proxy.memory_mb), 16, 1048576, NULL, 0 },
	{ "grace_ms", FIELD_INT, SET(proxy.grace_ms), 100, 600000, NULL, 0 },
	{ "retry_window_ms", FIELD_INT, SET(proxy.retry_window_ms), 100, 600000,
	    NULL, 0 },
	{ "cold_ratio", FIELD_REAL, SET(proxy.cold_ratio), 1, 100, NULL, 0 },
	{ "cold_slack", FIELD_REAL, SET(proxy.cold_slack), 0, 10000, NULL, 0 },
	{ "link_mbps", FIELD_REAL, SET(proxy.link_mbps), 0, 1000000, NULL, 0 },
	{ "slow_start", FIELD_BOOL, SET(proxy.slow_start), 0, 1, NULL, 0 },
	{ "retry_ratio", FIELD_REAL, SET(proxy.retry_ratio), 0, 10, NULL, 0 },
	{ "retry_slack", FIELD_REAL, SET(proxy.retry_slack), 0, 1000000, NULL,
	    0 },
	{ 0 },
};

/* Reads a settings file; on an error nothing in s needs to be released. */
int
side_settings_read(
    const char *path, struct side_settings *s, struct report *rep)
{
	struct json *root;
	char *text;
	size_t len;
	int before = rep->errors;

	/* Defaults: bounds that the users' platform states. */
	*s = (struct side_settings){ .beat_ms = 1500,
		.proxy = { .memory_mb = 260,
		    .grace_ms = 6000,
		    .retry_window_ms = 10000,
		    .cold_ratio = 1.5,
		    .cold_slack = 5,
		    .retry_ratio = 0.2,
		    .retry_slack = 60 } };
	if (base_read_file(path, BASE_SET_MAX, &text, &len) != BASE_OK) {
		report_error(rep, 0, "file", "", "cannot be read");
		return SIDE_ESETTINGS;
	}
	root = json_parse(text, len, rep);
	g_free(text);
	if (root == NULL)
		return SIDE_ESETTINGS;
	fields_read(root, fields, s, rep, "settings", "");
	field_address(root, "target", s->proxy.target, rep);
	field_address(root, "callers", s->proxy.callers, rep);
	field_address(root, "links", s->proxy.links, rep);
	field_address(root, "ready", s->proxy.ready, rep);
	field_address(root, "metrics", s->metrics, rep);
	field_address(root, "store", s->store, rep);
	if (s->log != NULL && base_log_level(s->log) != BASE_OK)
		report_error(rep, json_get(root, "log")->line, "settings", "",
		    "\"log\" must be \"error\", \"warning\", \"info\" or "
		    "\"debug\"");
	json_free(root);
	if (rep->errors == before)
		return SIDE_OK;
	side_settings_free(s);
	return SIDE_ESETTINGS;
}

/* Releases the strings and lists that the settings own. */
void
side_settings_free(struct side_settings *s)
{
	const struct field *f;

	for (f = fields; f->key != NULL; f++)
		if (f->type == FIELD_NAME)
			g_free(*(char **)((char *)s + f->offset));
	g_strfreev(s->peers);
}
