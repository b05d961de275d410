/* What a guard reports to entries: the load, and estimates of answer times. */
#include "proxy_int.h"

/*
 * A target that has answered nothing yet has no run time of its own.  A job's
 * run time contains that of the calls that it makes.
 */
void
proxy_guard_estimate(
    const struct proxy_guard *g, const struct job *j, struct target_estimate *e)
{
	*e = (struct target_estimate){ 0 };
	e->is_call = call_kinds_is_call(&g->call_kinds, j->kind);
	if (admit_samples(&g->admit, j->kind) > 0)
		e->work_ms = MAX(admit_work_ms(&g->admit, j->kind), 1);
	e->wait_ms =
	    admit_wait_ms(&g->admit, j->kind, j->priority, base_now_ms());
	/* Answers to entries on the same VM do not use its link. */
	if (j->link != NULL)
		e->link_ms = proxy_guard_link_ms(g, j->kind);
}
