/* Headers that the guard sends to the target, and what its answers mean. */
#include <string.h>

#include "guard_int.h"

/* Sets the time left, the caller and the target's id, which it checks. */
void
proxy_guard_set_headers(struct proxy_guard *g, struct job *j, int64_t now)
{
	const struct header_names *n = g->proxy->names;
	char left[32];

	http_remove(j->msg, n->remaining_ms);
	http_remove(j->msg, n->caller);
	http_remove(j->msg, n->expect_target);
	g_snprintf(left, sizeof(left), "%" G_GINT64_FORMAT, j->deadline - now);
	http_add(j->msg, n->remaining_ms, left);
	http_add(j->msg, n->caller, j->caller);
	http_add(j->msg, n->expect_target, g->id);
}

/*
 * Derives a job's outcome from an answer.  Without the target's seal, success
 * is not proved, and 408, 429 and 503 do not prove that nothing was run.
 */
enum call_outcome
guard_classify_answer(const struct proxy_guard *g, const struct http_message *m)
{
	const struct header_names *n = g->proxy->names;
	int refused = m->status == 408 || m->status == 421 ||
		      m->status == 429 || m->status == 503;

	if (http_find(m, n->not_run) != NULL || m->status == 421)
		return OUTCOME_SHED;
	if (http_find(m, n->seal) == NULL && (m->status < 300 || refused))
		return OUTCOME_BROKEN;
	return OUTCOME_ANSWERED;
}

/* Derives a job's outcome from the result of its exchange. */
enum call_outcome
guard_job_outcome(const struct proxy_guard *g, const struct job *j,
    enum upstream_result u, const struct http_message *m)
{
	if (m != NULL)
		return guard_classify_answer(g, m);
	/* After a resend, the first attempt may have run. */
	if ((u == UPSTREAM_REFUSED || u == UPSTREAM_NOT_SENT) && !j->resent)
		return OUTCOME_REFUSED;
	return OUTCOME_BROKEN;
}
