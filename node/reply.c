/* Replies of the guard to entries: acknowledgements, answers, outcomes. */
#include "serve_int.h"

/* Acknowledges to an entry that its request is pending. */
void
reply_ack(struct node *n, const struct link_route *r, uint64_t call)
{
	Wire__Envelope env = WIRE__ENVELOPE__INIT;
	Wire__Ack a = WIRE__ACK__INIT;

	a.load = guard_load(n->guard->guard);
	if (r->len == 0) {
		n->entry_replies->ack(n, call, a.load);
		return;
	}
	env.call = call;
	env.body_case = WIRE__ENVELOPE__BODY_ACK;
	env.ack = &a;
	link_reply(n->link, r, &env);
}

/* Sends an answer over a route, or to this node's own entry. */
void
reply_answer(
    struct node *n, const struct link_route *r, uint64_t call, Wire__Answer *a)
{
	Wire__Envelope env = WIRE__ENVELOPE__INIT;

	if (r->len == 0) {
		n->entry_replies->answer(n, call, a);
		return;
	}
	env.call = call;
	env.body_case = WIRE__ENVELOPE__BODY_ANSWER;
	env.answer = a;
	link_reply(n->link, r, &env);
}

/* Sends an outcome without a target's answer, with the guard's load. */
void
reply_outcome(struct node *n, const struct link_route *r, uint64_t call,
    enum call_outcome out, const struct crashes *crashes)
{
	Wire__Answer a = WIRE__ANSWER__INIT;

	a.outcome = out;
	if (crashes != NULL) {
		a.crashes = (uint64_t *)crashes->ids;
		a.n_crashes = (size_t)crashes->n;
	}
	a.boot = n->boot;
	if (n->guard->guard != NULL) {
		a.load = guard_load(n->guard->guard);
		a.retry_after_ms = guard_retry_after(n->guard->guard);
	}
	if (outcomes[out].not_run)
		counter_add(CTR_GUARD_REFUSED, 1);
	reply_answer(n, r, call, &a);
}

/* Sends an answer to all waiters, and ends the guard's span. */
void
reply_all(struct node *n, struct pending_request *s, Wire__Answer *a)
{
	int i;

	spans_add(&n->spans, &s->trace, "guard", n->guard->target,
	    outcomes[a->outcome].code, base_now_us() - s->began_us);
	for (i = 0; i < s->nwaiters; i++)
		reply_answer(n, &s->waiters[i].route, s->waiters[i].call, a);
	s->nwaiters = 0;
}

/* Sends an outcome without a target's answer to all waiters. */
void
reply_all_outcome(
    struct node *n, struct pending_request *s, enum call_outcome out)
{
	Wire__Answer a = WIRE__ANSWER__INIT;
	struct crashes crashes;

	a.outcome = out;
	a.load = guard_load(n->guard->guard);
	a.retry_after_ms = guard_retry_after(n->guard->guard);
	guard_crash_ids(
	    n->guard->guard, s->req.fingerprint, &crashes, base_now_ms());
	a.crashes = crashes.ids;
	a.n_crashes = (size_t)crashes.n;
	if (outcomes[out].not_run)
		counter_add(CTR_GUARD_REFUSED, 1);
	reply_all(n, s, &a);
}

/* Sends the answer cached under an id; 0 when there is none. */
int
reply_cached(struct node *n, const struct answer_cache *from,
    const struct link_route *r, uint64_t call, const char *id)
{
	Wire__Answer *a;

	if ((a = answer_cache_find(from, id)) == NULL)
		return 0;
	reply_answer(n, r, call, a);
	wire__answer__free_unpacked(a, NULL);
	return 1;
}
