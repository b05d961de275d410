/*
 * The guard side: requests that entries forward to the target beside this
 * node, and the answers to them.
 */
#include <string.h>

#include "gossip.h"
#include "record.h"
#include "spread.h"

static void exchange_done(void *arg, struct exchange_job *job);
static void duplicate(
    struct node *n, const struct link_route *r, uint64_t call, const char *id);
static enum call_outcome reachable(struct node *n, const Wire__Forward *f);
static void copy_headers(
    struct exchange_job *j, const Wire__Forward *f, const struct trace *t);
static struct served *served_new(struct node *n, const struct link_route *r,
    uint64_t call, const Wire__Forward *f);
static void admit(struct node *n, const struct link_route *r, uint64_t call,
    const Wire__Forward *f);
static int is_younger(const struct node *, const Wire__Fence *);
static void hand_out(struct node *n, struct served *s, int64_t now_us);
static void pump(struct node *n);
static void
answer_exchange(struct node *n, struct served *s, const struct exchange_job *j);

/* Prepares the guard's side; there is no guard before a set names one. */
void
serve_init(struct node *n)
{
	char host[ADDRESS_MAX];
	int port;

	n->guard = g_new0(struct guard_side, 1);
	address_split(n->settings.target, host, &port);
	n->guard->pool = target_pool_start(host, port, exchange_done, n);
	n->guard->held = g_ptr_array_new();
	n->guard->peers = g_ptr_array_new_with_free_func(g_free);
	suspect_init(n);
	kept_init(&n->guard->kept_once, GUARD_REMEMBER_MS);
	kept_init(&n->guard->kept_short, KEPT_SHORT_MS);
}

/* A target is beside this node from now on. */
void
serve_begin(struct node *n, int slots, int64_t wall_ms)
{
	uint64_t origin = (uint64_t)g_random_int() << 32 | g_random_int();

	n->guard->guard = guard_new(slots, wall_ms, origin);
	if (n->settings.no_slow_start)
		guard_limit(n->guard->guard)->current = slots;
	record_open(n, slots, wall_ms, origin);
}

/* Releases the guard's side; the workers end first. */
void
serve_destroy(struct node *n)
{
	guint i;

	target_pool_stop(n->guard->pool);
	suspect_destroy(n);
	for (i = 0; i < n->guard->held->len; i++)
		served_free(g_ptr_array_index(n->guard->held, i));
	g_ptr_array_free(n->guard->held, TRUE);
	g_ptr_array_free(n->guard->peers, TRUE);
	kept_destroy(&n->guard->kept_once);
	kept_destroy(&n->guard->kept_short);
	guard_free(n->guard->guard);
	g_free(n->guard);
}

/* On a worker's thread: an exchange has ended. */
static void
exchange_done(void *arg, struct exchange_job *job)
{
	struct node *n = arg;

	mailbox_post(&n->mailbox, EVENT_EXCHANGE, job);
}

/*
 * An id that is known here came again: its sender waits for the same outcome,
 * or gets the answer that was kept, or is told that there is none any more.
 */
static void
duplicate(
    struct node *n, const struct link_route *r, uint64_t call, const char *id)
{
	struct served *s;

	counter_add(CTR_GUARD_DUPLICATES, 1);
	if ((s = served_by_id(n, id)) != NULL && !s->answered) {
		if (served_wait(s, r, call))
			reply_ack(n, r, call);
		else
			reply_outcome(n, r, call, OUTCOME_UNKNOWN, NULL);
		return;
	}
	if (reply_kept(n, &n->guard->kept_once, r, call, id))
		return;
	/* It ran, or it runs past its deadline; how it ended is not known. */
	reply_outcome(n, r, call, OUTCOME_UNKNOWN, NULL);
}

/* Whether a request has come to the right place. */
static enum call_outcome
reachable(struct node *n, const Wire__Forward *f)
{
	const struct config *cfg = config_get(n->config);
	const struct set_target *t;
	int i, m, behind;

	if (f->guard_boot != n->boot)
		return OUTCOME_RESTARTED;
	if (cfg == NULL || !spread_refreshed(n))
		return OUTCOME_BEHIND;
	behind = f->set->number > cfg->version.number;
	if (behind && (m = member_find(n->members, f->from)) >= 0) {
		member_at(n->members, m)->number = f->set->number;
		spread_heard(n, m);
	}
	i = set_target_of_vm(cfg->set, n->settings.name);
	if (i < 0 || strcmp(f->target, cfg->set->targets[i].name) != 0)
		return behind ? OUTCOME_BEHIND : OUTCOME_STALE;
	t = &cfg->set->targets[i];
	/* Homes of ids are the same only where the targets are the same. */
	if (f->once && f->homes != cfg->set->services[t->service].homes)
		return behind ? OUTCOME_BEHIND : OUTCOME_STALE;
	return OUTCOME_ANSWERED;
}

/* Copies what is passed to the target. */
static void
copy_headers(
    struct exchange_job *j, const Wire__Forward *f, const struct trace *t)
{
	char tp[TRACEPARENT_LEN];
	size_t i;

	j->headers = g_new0(struct http_header, f->n_headers + 2);
	for (i = 0; i < f->n_headers; i++) {
		j->headers[i].name = g_strdup(f->headers[i]->name);
		j->headers[i].value = g_strdup(f->headers[i]->value);
	}
	j->headers[i].name = g_strdup("X-Request-Id");
	j->headers[i].value = g_strdup(f->id);
	i++;
	trace_header(t, tp);
	j->headers[i].name = g_strdup("traceparent");
	j->headers[i].value = g_strdup(tp);
	j->nheaders = i + 1;
}

/* Makes what is held of a request. */
static struct served *
served_new(struct node *n, const struct link_route *r, uint64_t call,
    const Wire__Forward *f)
{
	struct served *s;
	struct exchange_job *j;
	size_t i;

	(void)n;
	s = g_new0(struct served, 1);
	served_wait(s, r, call);
	g_strlcpy(s->req.id, f->id, sizeof(s->req.id));
	s->req.once = f->once;
	s->req.fresh = f->fresh;
	s->req.born_wall_ms = f->born_wall_ms;
	s->req.deadline = base_now_ms() + f->remaining_ms;
	s->req.priority = f->priority;
	for (i = 0; i < f->n_crashes; i++)
		crashes_add(&s->req.crashes, f->crashes[i]);
	s->req.cookie = s;
	trace_begin(&s->trace, f->trace);
	s->began_us = base_now_us();
	j = s->job = exchange_job_new();
	j->cookie = s;
	j->method = g_strdup(f->method);
	j->path = g_strdup(f->path);
	j->body = g_bytes_new(f->body.data, f->body.len);
	j->deadline = s->req.deadline;
	j->once = f->once;
	copy_headers(j, f, &s->trace);
	return s;
}

/* Asks the guard, and tells the entry at once what it said. */
static void
admit(struct node *n, const struct link_route *r, uint64_t call,
    const Wire__Forward *f)
{
	struct served *s;
	struct crashes crashes;
	enum guard_verdict v;

	s = served_new(n, r, call, f);
	s->req.fingerprint = f->fingerprint;
	v = record_admit(n, &s->req);
	if (v == GUARD_QUEUE) {
		g_ptr_array_add(n->guard->held, s);
		counter_add(CTR_GUARD_QUEUED, 1);
		reply_ack(n, r, call);
		return;
	}
	if (v == GUARD_DUPLICATE) {
		duplicate(n, r, call, f->id);
	} else {
		guard_crash_ids(n->guard->guard, s->req.fingerprint, &crashes,
		    base_now_ms());
		reply_outcome(n, r, call, outcome_by_verdict[v], &crashes);
	}
	served_free(s);
}

/* A forwarded request has come. */
void
serve_forward(struct node *n, const struct link_route *r, uint64_t call,
    const Wire__Forward *f)
{
	enum call_outcome out;

	if (f->set == NULL || strlen(f->id) > GUARD_ID_MAX)
		return;
	out = reachable(n, f);
	if (out != OUTCOME_ANSWERED) {
		reply_outcome(n, r, call, out, NULL);
		return;
	}
	admit(n, r, call, f);
	pump(n);
}

/* Hands a request to the workers. */
static void
hand_out(struct node *n, struct served *s, int64_t now_us)
{
	struct trace t = s->trace;

	trace_begin(&t, NULL);
	g_strlcpy(t.trace_id, s->trace.trace_id, sizeof(t.trace_id));
	g_strlcpy(t.parent_id, s->trace.span_id, sizeof(t.parent_id));
	spans_add(&n->spans, &t, "queue", n->guard->target, "run",
	    now_us - s->began_us);
	s->running = 1;
	s->queued_us = now_us;
	counter_add(CTR_GUARD_RUNS, 1);
	target_pool_submit(n->guard->pool, s->job);
	s->job = NULL;
}

/* Gives out what can leave the queue. */
static void
pump(struct node *n)
{
	struct guard_request req;
	enum guard_verdict v;
	struct served *s;
	int64_t now = base_now_ms();

	while (record_next(n, &req, &v, now)) {
		s = req.cookie;
		s->req = req;
		if (v == GUARD_RUN) {
			hand_out(n, s, base_now_us());
			continue;
		}
		if (v == GUARD_LATE)
			counter_add(CTR_GUARD_EXPIRED, 1);
		if (v == GUARD_POISON)
			counter_add(CTR_QUARANTINED, 1);
		g_ptr_array_remove_fast(n->guard->held, s);
		reply_all_outcome(n, s, outcome_by_verdict[v]);
		served_free(s);
	}
}

/* Passes on what the target answered, or says what came of it. */
static void
answer_exchange(struct node *n, struct served *s, const struct exchange_job *j)
{
	Wire__Answer a = WIRE__ANSWER__INIT;
	Wire__Header *headers;
	gsize len;
	size_t i;

	if (j->too_large) {
		reply_all_outcome(n, s, OUTCOME_TOO_LARGE);
		return;
	}
	if (j->result != EXCHANGE_OK) {
		reply_all_outcome(n, s, outcome_by_exchange[j->result]);
		return;
	}
	headers = g_new(Wire__Header, j->nout + 1);
	a.headers = g_new(Wire__Header *, j->nout + 1);
	for (i = 0; i < j->nout; i++) {
		wire__header__init(&headers[i]);
		headers[i].name = j->out_headers[i].name;
		headers[i].value = j->out_headers[i].value;
		a.headers[i] = &headers[i];
	}
	a.n_headers = j->nout;
	a.outcome = OUTCOME_ANSWERED;
	a.status = j->status;
	a.body.data = (uint8_t *)g_bytes_get_data(j->out_body, &len);
	a.body.len = len;
	a.length = len;
	a.load = guard_load(n->guard->guard);
	/* An id of a caller may name several requests that may be repeated. */
	if (s->req.once)
		kept_add(&n->guard->kept_once, s->req.id, &a, base_now_ms());
	else if (s->req.fresh)
		kept_add(&n->guard->kept_short, s->req.id, &a, base_now_ms());
	reply_all(n, s, &a);
	g_free(a.headers);
	g_free(headers);
}

/* An exchange has ended. */
void
serve_done(struct node *n, struct exchange_job *j)
{
	struct served *s = j->cookie;
	int64_t now = base_now_ms();

	record_done(n, &s->req, j->result, j->latency_us, now);
	if (n->settings.no_slow_start)
		guard_limit(n->guard->guard)->current =
		    guard_limit(n->guard->guard)->slots;
	if (j->result == EXCHANGE_BROKEN) {
		counter_add(CTR_TARGET_FAILURES, 1);
		suspect_broken(n, s->req.fingerprint);
	}
	g_ptr_array_remove_fast(n->guard->held, s);
	if (!s->answered)
		answer_exchange(n, s, j);
	served_free(s);
	exchange_job_free(j);
	pump(n);
}

/*
 * Whether a request that was meant for an incarnation before this one cannot
 * have run there, as its id was made after that one had ended.
 */
static int
is_younger(const struct node *n, const Wire__Fence *f)
{
	return f->once && n->guard->guard != NULL &&
	       guard_covers(n->guard->guard, f->born_wall_ms, base_wall_ms());
}

/*
 * An entry that heard nothing asks.  What is held goes on, with the answer to
 * the new connection; what was never seen is fenced off.
 */
void
serve_fence(struct node *n, const struct link_route *r, uint64_t call,
    const Wire__Fence *f)
{
	struct served *s;
	enum guard_verdict v;
	int i;

	/* What was meant for no incarnation that there is cannot have run. */
	if (f->guard_boot == 0) {
		reply_outcome(n, r, call, OUTCOME_RESTARTED, NULL);
		return;
	}
	if (f->guard_boot != n->boot && !is_younger(n, f)) {
		reply_outcome(n, r, call, OUTCOME_UNKNOWN, NULL);
		return;
	}
	if ((s = served_find(n, f->id, NULL, call)) != NULL) {
		for (i = 0; i < s->nwaiters; i++)
			if (s->waiters[i].call == call)
				s->waiters[i].route = *r;
		reply_ack(n, r, call);
		return;
	}
	if (!f->once && f->fresh &&
	    reply_kept(n, &n->guard->kept_short, r, call, f->id))
		return;
	/* What may be repeated is not remembered: it may have run and gone. */
	if (!f->once || n->guard->guard == NULL) {
		reply_outcome(n, r, call, OUTCOME_UNKNOWN, NULL);
		return;
	}
	v = record_fence(n, f->id, f->fresh, f->born_wall_ms);
	if (v == GUARD_DUPLICATE)
		duplicate(n, r, call, f->id);
	else
		reply_outcome(n, r, call, outcome_by_verdict[v], NULL);
}

/* Nobody waits any more: a request still in the queue leaves it. */
void
serve_cancel(struct node *n, const struct link_route *r, uint64_t call)
{
	struct served *s;
	int i;

	if ((s = served_find(n, NULL, r, call)) == NULL)
		return;
	for (i = 0; i < s->nwaiters; i++)
		if (s->waiters[i].call == call)
			s->waiters[i--] = s->waiters[--s->nwaiters];
	if (s->nwaiters == 0 && record_cancel(n, s)) {
		g_ptr_array_remove_fast(n->guard->held, s);
		served_free(s);
	}
}

/* Time passes: those who wait for what runs past its deadline are told. */
void
serve_tick(struct node *n, int64_t now)
{
	struct served *s;
	guint i;

	if (n->guard->guard == NULL)
		return;
	suspect_tick(n, now);
	for (i = 0; i < n->guard->held->len; i++) {
		s = g_ptr_array_index(n->guard->held, i);
		if (!s->running || s->answered || s->req.deadline > now)
			continue;
		s->answered = 1;
		reply_all_outcome(n, s, OUTCOME_EXPIRED);
	}
	pump(n);
	kept_expire(&n->guard->kept_once, now);
	kept_expire(&n->guard->kept_short, now);
}

/* Requests held. */
int
serve_held(const struct node *n)
{
	return (int)n->guard->held->len;
}

/* The guard. */
struct guard *
serve_guard(const struct node *n)
{
	return n->guard->guard;
}

/* Name of the target beside this node. */
const char *
serve_target(const struct node *n)
{
	return n->guard->target;
}

/* The guard's load. */
int
serve_load(struct node *n)
{
	return n->guard->guard != NULL ? guard_load(n->guard->guard) : 0;
}
