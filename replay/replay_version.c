/* Replay of decisions over offered versions. */
#include <string.h>

#include "../mesh/names.h"
#include "replay.h"

static void *begin(const struct json *);
static int event(void *, const struct json *, char *);
static void end(void *);

const struct replay_module replay_version = { "version", begin, event, end };

/* Nothing is held at first. */
static void *
begin(const struct json *head)
{
	(void)head;
	return g_new0(struct version_state, 1);
}

/* Releases it. */
static void
end(void *state)
{
	g_free(state);
}

/* Does one event; a version's hash is one byte, the others are 0. */
static int
event(void *state, const struct json *j, char *decision)
{
	struct version_state *s = state;
	const char *what = json_str(j, "do", "");
	struct version v = { .number = (uint64_t)json_int(j, "number", 0) };
	char name[VERSION_STR_LEN];

	v.hash[0] = (unsigned char)json_int(j, "hash", 0);
	if (strcmp(what, "offer") == 0)
		g_strlcpy(decision, offer_verdict_names[version_offer(s, &v)],
		    REPLAY_DECISION_MAX);
	else if (strcmp(what, "take") == 0)
		g_strlcpy(decision,
		    version_take(s, &v) == MESH_OK ? "taken" : "older",
		    REPLAY_DECISION_MAX);
	else if (strcmp(what, "reject") == 0)
		version_reject(s, &v, json_str(j, "reason", ""));
	else if (strcmp(what, "held") == 0)
		g_strlcpy(
		    decision, version_str(&s->held, name), REPLAY_DECISION_MAX);
	else
		return REPLAY_EFORMAT;
	return REPLAY_OK;
}
