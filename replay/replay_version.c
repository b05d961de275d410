/* Replays the decisions about versions of the set that peers offer. */
#include <string.h>

#include "../mesh/names.h"
#include "replay.h"

static void *state_new(const struct json *);
static int apply_event(void *, const struct json *, char *);
static void state_free(void *);

const struct replay_module replay_version = { "version", state_new, apply_event,
	state_free };

/* Creates the state of a node that holds no version yet. */
static void *
state_new(const struct json *head)
{
	(void)head;
	return g_new0(struct version_state, 1);
}

/* Frees the state. */
static void
state_free(void *state)
{
	g_free(state);
}

/* Applies one event; "hash" is the first byte of the hash, the rest are 0. */
static int
apply_event(void *state, const struct json *j, char *decision)
{
	struct version_state *s = state;
	const char *op = json_str(j, "do", "");
	struct version v = { .number = (uint64_t)json_int(j, "number", 0) };
	char name[VERSION_STR_LEN];

	v.hash[0] = (unsigned char)json_int(j, "hash", 0);
	if (strcmp(op, "offer") == 0)
		g_strlcpy(decision, offer_verdict_names[version_offer(s, &v)],
		    REPLAY_DECISION_MAX);
	else if (strcmp(op, "take") == 0)
		g_strlcpy(decision,
		    version_accept(s, &v) == MESH_OK ? "taken" : "older",
		    REPLAY_DECISION_MAX);
	else if (strcmp(op, "reject") == 0)
		version_reject(s, &v, json_str(j, "reason", ""));
	else if (strcmp(op, "held") == 0)
		g_strlcpy(
		    decision, version_str(&s->held, name), REPLAY_DECISION_MAX);
	else
		return REPLAY_EFORMAT;
	return REPLAY_OK;
}
