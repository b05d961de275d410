/* Names of enumerators in traces. */
#include <string.h>

#include "names.h"

const char *const guard_verdict_names[] = {
	[GUARD_RUN] = "run",
	[GUARD_QUEUE] = "queue",
	[GUARD_BUSY] = "busy",
	[GUARD_OUT] = "out",
	[GUARD_LATE] = "late",
	[GUARD_FENCED] = "fenced",
	[GUARD_POISON] = "poison",
	[GUARD_DUPLICATE] = "duplicate",
	[GUARD_UNKNOWN] = "unknown",
	NULL,
};

const char *const exchange_names[] = {
	[EXCHANGE_OK] = "ok",
	[EXCHANGE_SHED] = "shed",
	[EXCHANGE_SLOW] = "slow",
	[EXCHANGE_REFUSED] = "refused",
	[EXCHANGE_BROKEN] = "broken",
	NULL,
};

const char *const call_action_names[] = {
	[CALL_WAIT] = "wait",
	[CALL_SEND] = "send",
	[CALL_SEND_SAME] = "send_same",
	[CALL_FENCE_SAME] = "ask_same",
	[CALL_FENCE] = "ask",
	[CALL_PASS] = "pass",
	[CALL_REFUSE] = "refuse",
	NULL,
};

const char *const offer_verdict_names[] = {
	[OFFER_OLDER] = "older",
	[OFFER_CONFLICT_WINS] = "conflict_wins",
	[OFFER_CONFLICT_LOSES] = "conflict_loses",
	[OFFER_REJECTED] = "rejected",
	[OFFER_FETCH] = "fetch",
	NULL,
};

/* For reading traces, which hold names instead of numbers. */
int
name_index(const char *const *names, const char *name)
{
	int i;

	for (i = 0; names[i] != NULL; i++)
		if (strcmp(names[i], name) == 0)
			return i;
	return MESH_ENOTFOUND;
}

/* The code in a trace is the one that refusals state. */
int
outcome_index(const char *code)
{
	int i;

	for (i = 0; i < OUTCOME_COUNT; i++)
		if (strcmp(outcomes[i].code, code) == 0)
			return i;
	return MESH_ENOTFOUND;
}
