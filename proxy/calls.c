/*
 * Calls of targets: what this node's guard and entry learn about them from the
 * requests that they handle.
 */
#include "entry_int.h"

static uint32_t *kinds_of(const struct view_config *);

/*
 * The entry of the own node has set what it knows; a guard that has just
 * started does not unset it.
 */
void
calls_submitted(struct proxy_guard *g, struct job *j)
{
	call_kinds_learn(&g->call_kinds, j->kind, j->caller);
	if (call_kinds_is_call(&g->call_kinds, j->kind))
		j->is_call = 1;
}

/* A job that was not delivered has no report. */
void
calls_reported(
    struct proxy *p, const struct job *j, const struct job_result *res)
{
	if (res->outcome == OUTCOME_UNDELIVERED ||
	    res->outcome == OUTCOME_UNKNOWN)
		return;
	call_reports_add(
	    &p->entry.call_reports, j->kind, res->estimate.is_call);
}

/* Only the target beside this node sends calls here. */
void
calls_ended(struct proxy *p, const struct job *j, int served)
{
	if (j->is_call)
		callee_call_ended(&p->guard.callees, served, base_now_ms());
}

/*
 * A refused job was not run, so it can be tried elsewhere or later.  One that
 * may be repeated can be tried again after it failed as well, and some of them
 * make no calls: refusing these served fewer.
 */
int
calls_admit(struct proxy_guard *g, const struct job *j)
{
	int64_t now = base_now_ms();
	int served, failed, started;

	if (j->repeatable)
		return 1;
	if (callee_admits(&g->callees, j->kind, j->repeatable, now))
		return 1;
	callee_window(&g->callees, now, &served, &failed, &started);
	counter_add(CTR_GUARD_CALLEES, 1);
	base_log(G_LOG_LEVEL_INFO, "gate-callees",
	    "id=%s target=%s served=%d failed=%d started=%d left_ms=%d", j->id,
	    g->id, served, failed, started, (int)(j->deadline - now));
	return 0;
}

/* The kinds of a configuration's routes; the caller frees them. */
static uint32_t *
kinds_of(const struct view_config *c)
{
	uint32_t *kinds = g_new(uint32_t, c->routes->len);
	guint i;

	for (i = 0; i < c->routes->len; i++)
		kinds[i] = g_str_hash(view_config_route(c, i)->name);
	return kinds;
}

/* Most changes of the view leave the configuration as it was. */
void
calls_config_changed(struct proxy *p)
{
	const struct view_config *c = p->view->config;
	uint32_t *kinds;

	if (c == NULL || c->version == p->calls_version)
		return;
	p->calls_version = c->version;
	kinds = kinds_of(c);
	call_kinds_retain(&p->guard.call_kinds, kinds, (int)c->routes->len);
	callee_retain(&p->guard.callees, kinds, (int)c->routes->len);
	call_reports_retain(&p->entry.call_reports, kinds, (int)c->routes->len);
	g_free(kinds);
}
