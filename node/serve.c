/*
 * The guard's side: admits requests that entries forward to the local target,
 * runs them in the worker pool, and sends the answers to all waiters.
 */
#include <string.h>

#include "gossip.h"
#include "record.h"
#include "spread.h"

static void exchange_done(void *arg, struct exchange_job *job);
static void reply_duplicate(
    struct node *n, const struct link_route *r, uint64_t call, const char *id);
static enum call_outcome
check_destination(struct node *n, const Wire__Forward *f);
static void copy_headers(struct exchange_job *j, const Wire__Forward *f,
    const struct trace_context *t);
static struct pending_request *pending_new(struct node *n,
    const struct link_route *r, uint64_t call, const Wire__Forward *f);
static void admit(struct node *n, const struct link_route *r, uint64_t call,
    const Wire__Forward *f);
static int created_since_start(const struct node *, const Wire__Fence *);
static void
run_request(struct node *n, struct pending_request *s, int64_t now_us);
static void dispatch_queue(struct node *n);
static void reply_exchange(
    struct node *n, struct pending_request *s, const struct exchange_job *j);

/*
 * Starts the worker pool.  role_apply_config creates the guard itself when a
 * set has a target on this VM.
 */
void
serve_init(struct node *n)
{
	char host[ADDRESS_MAX];
	int port;

	n->guard = g_new0(struct node_guard, 1);
	address_split(n->settings.target, host, &port);
	n->guard->pool = target_pool_start(host, port, exchange_done, n);
	n->guard->pending = g_ptr_array_new();
	n->guard->peers = g_ptr_array_new_with_free_func(g_free);
	suspect_init(n);
	answer_cache_init(&n->guard->once_answers, GUARD_REMEMBER_MS);
	answer_cache_init(&n->guard->repeatable_answers, REPEATABLE_CACHE_MS);
}

/*
 * Creates the guard.  The random origin distinguishes the crashes seen by this
 * process from those seen by others.
 */
void
serve_start_guard(struct node *n, int slots, int64_t wall_ms)
{
	uint64_t origin = (uint64_t)g_random_int() << 32 | g_random_int();

	n->guard->guard = guard_new(slots, wall_ms, origin);
	if (n->settings.no_slow_start)
		guard_limit(n->guard->guard)->current = slots;
	record_open(n, slots, wall_ms, origin);
}

/* Releases the guard's side; the workers are stopped first. */
void
serve_destroy(struct node *n)
{
	guint i;

	target_pool_stop(n->guard->pool);
	suspect_destroy(n);
	for (i = 0; i < n->guard->pending->len; i++)
		pending_free(g_ptr_array_index(n->guard->pending, i));
	g_ptr_array_free(n->guard->pending, TRUE);
	g_ptr_array_free(n->guard->peers, TRUE);
	answer_cache_destroy(&n->guard->once_answers);
	answer_cache_destroy(&n->guard->repeatable_answers);
	guard_free(n->guard->guard);
	g_free(n->guard);
}

/* Posts a completed exchange to the loop; runs on a worker's thread. */
static void
exchange_done(void *arg, struct exchange_job *job)
{
	struct node *n = arg;

	mailbox_post(&n->mailbox, EVENT_EXCHANGE_DONE, job);
}

/*
 * Replies to a request or query whose at-most-once id the guard already has.
 * If the request is pending, the sender becomes another waiter; otherwise it
 * gets the cached answer, or OUTCOME_UNKNOWN when none is cached.
 */
static void
reply_duplicate(
    struct node *n, const struct link_route *r, uint64_t call, const char *id)
{
	struct pending_request *s;

	counter_add(CTR_GUARD_DUPLICATES, 1);
	if ((s = pending_find_by_id(n, id)) != NULL && !s->expired) {
		if (pending_add_waiter(s, r, call))
			reply_ack(n, r, call);
		else
			reply_outcome(n, r, call, OUTCOME_UNKNOWN, NULL);
		return;
	}
	if (reply_cached(n, &n->guard->once_answers, r, call, id))
		return;
	/* It ran or runs past its deadline, and no outcome is stored. */
	reply_outcome(n, r, call, OUTCOME_UNKNOWN, NULL);
}

/*
 * Checks that a request was meant for this process and target, under a set that
 * agrees with this node's.  Returns OUTCOME_ANSWERED if so, else the refusal:
 * OUTCOME_RESTARTED for another incarnation, OUTCOME_BEHIND when this node's
 * set may be old, OUTCOME_STALE when the entry's set is.  A set number above
 * this node's is recorded for its sender, from which the set can be fetched.
 */
static enum call_outcome
check_destination(struct node *n, const Wire__Forward *f)
{
	const struct config *cfg = config_get(n->config);
	const struct set_target *t;
	int i, m, behind;

	if (f->guard_boot != n->boot)
		return OUTCOME_RESTARTED;
	if (cfg == NULL || !spread_is_fresh(n))
		return OUTCOME_BEHIND;
	behind = f->set->number > cfg->version.number;
	if (behind && (m = member_find(n->members, f->from)) >= 0) {
		member_at(n->members, m)->number = f->set->number;
		spread_peer_version(n, m);
	}
	i = set_target_of_vm(cfg->set, n->settings.name);
	if (i < 0 || strcmp(f->target, cfg->set->targets[i].name) != 0)
		return behind ? OUTCOME_BEHIND : OUTCOME_STALE;
	t = &cfg->set->targets[i];
	/* An id's home depends on the service's targets, so they must agree. */
	if (f->once && f->homes != cfg->set->services[t->service].homes)
		return behind ? OUTCOME_BEHIND : OUTCOME_STALE;
	return OUTCOME_ANSWERED;
}

/* Copies the request's headers, and adds the id and the trace context. */
static void
copy_headers(struct exchange_job *j, const Wire__Forward *f,
    const struct trace_context *t)
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
	trace_format_header(t, tp);
	j->headers[i].name = g_strdup("traceparent");
	j->headers[i].value = g_strdup(tp);
	j->nheaders = i + 1;
}

/* Creates a pending request with one waiter and its exchange job. */
static struct pending_request *
pending_new(struct node *n, const struct link_route *r, uint64_t call,
    const Wire__Forward *f)
{
	struct pending_request *s;
	struct exchange_job *j;
	size_t i;

	(void)n;
	s = g_new0(struct pending_request, 1);
	pending_add_waiter(s, r, call);
	g_strlcpy(s->req.id, f->id, sizeof(s->req.id));
	s->req.once = f->once;
	s->req.fresh = f->fresh;
	s->req.born_wall_ms = f->born_wall_ms;
	s->req.deadline = base_now_ms() + f->remaining_ms;
	s->req.priority = f->priority;
	for (i = 0; i < f->n_crashes; i++)
		crashes_add(&s->req.crashes, f->crashes[i]);
	s->req.cookie = s;
	trace_new_span(&s->trace, f->trace);
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

/* Passes a request to the guard, and sends its verdict to the entry. */
static void
admit(struct node *n, const struct link_route *r, uint64_t call,
    const Wire__Forward *f)
{
	struct pending_request *s;
	struct crashes crashes;
	enum guard_verdict v;

	s = pending_new(n, r, call, f);
	s->req.fingerprint = f->fingerprint;
	v = record_admit(n, &s->req);
	if (v == GUARD_QUEUE) {
		g_ptr_array_add(n->guard->pending, s);
		counter_add(CTR_GUARD_QUEUED, 1);
		reply_ack(n, r, call);
		return;
	}
	if (v == GUARD_DUPLICATE) {
		reply_duplicate(n, r, call, f->id);
	} else {
		guard_crash_ids(n->guard->guard, s->req.fingerprint, &crashes,
		    base_now_ms());
		reply_outcome(n, r, call, outcome_by_verdict[v], &crashes);
	}
	pending_free(s);
}

/*
 * Handles a forwarded request.  One without a set version, or with an id that
 * is too long, is malformed and is dropped without a reply.
 */
void
serve_forward(struct node *n, const struct link_route *r, uint64_t call,
    const Wire__Forward *f)
{
	enum call_outcome out;

	if (f->set == NULL || strlen(f->id) > GUARD_ID_MAX)
		return;
	out = check_destination(n, f);
	if (out != OUTCOME_ANSWERED) {
		reply_outcome(n, r, call, out, NULL);
		return;
	}
	admit(n, r, call, f);
	dispatch_queue(n);
}

/* Submits a request to the worker pool, and records its time in the queue. */
static void
run_request(struct node *n, struct pending_request *s, int64_t now_us)
{
	struct trace_context t = s->trace;

	trace_new_span(&t, NULL);
	g_strlcpy(t.trace_id, s->trace.trace_id, sizeof(t.trace_id));
	g_strlcpy(t.parent_id, s->trace.span_id, sizeof(t.parent_id));
	spans_add(&n->spans, &t, "queue", n->guard->target, "run",
	    now_us - s->began_us);
	s->running = 1;
	s->dequeued_us = now_us;
	counter_add(CTR_GUARD_RUNS, 1);
	target_pool_submit(n->guard->pool, s->job);
	s->job = NULL;
}

/* Runs or refuses queued requests until the guard returns no more. */
static void
dispatch_queue(struct node *n)
{
	struct guard_request req;
	enum guard_verdict v;
	struct pending_request *s;
	int64_t now = base_now_ms();

	while (record_next(n, &req, &v, now)) {
		s = req.cookie;
		s->req = req;
		if (v == GUARD_RUN) {
			run_request(n, s, base_now_us());
			continue;
		}
		if (v == GUARD_LATE)
			counter_add(CTR_GUARD_EXPIRED, 1);
		if (v == GUARD_POISON)
			counter_add(CTR_QUARANTINED, 1);
		g_ptr_array_remove_fast(n->guard->pending, s);
		reply_all_outcome(n, s, outcome_by_verdict[v]);
		pending_free(s);
	}
}

/*
 * Sends the target's answer, or the outcome of an exchange without one, to all
 * waiters, and caches the answer.
 */
static void
reply_exchange(
    struct node *n, struct pending_request *s, const struct exchange_job *j)
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
	/* A caller may reuse its own id for several repeatable requests. */
	if (s->req.once)
		answer_cache_add(
		    &n->guard->once_answers, s->req.id, &a, base_now_ms());
	else if (s->req.fresh)
		answer_cache_add(&n->guard->repeatable_answers, s->req.id, &a,
		    base_now_ms());
	reply_all(n, s, &a);
	g_free(a.headers);
	g_free(headers);
}

/* Completes a request: updates the guard's limit, and answers its waiters. */
void
serve_exchange_done(struct node *n, struct exchange_job *j)
{
	struct pending_request *s = j->cookie;
	int64_t now = base_now_ms();

	record_done(n, &s->req, j->result, j->latency_us, now);
	if (n->settings.no_slow_start)
		guard_limit(n->guard->guard)->current =
		    guard_limit(n->guard->guard)->slots;
	if (j->result == EXCHANGE_BROKEN) {
		counter_add(CTR_TARGET_FAILURES, 1);
		suspect_report_crash(n, s->req.fingerprint);
	}
	g_ptr_array_remove_fast(n->guard->pending, s);
	if (!s->expired)
		reply_exchange(n, s, j);
	pending_free(s);
	exchange_job_free(j);
	dispatch_queue(n);
}

/*
 * Whether the id of a request sent to an earlier incarnation was created after
 * this guard began, so that the request cannot have run in the earlier one.
 */
static int
created_since_start(const struct node *n, const Wire__Fence *f)
{
	return f->once && n->guard->guard != NULL &&
	       guard_covers(n->guard->guard, f->born_wall_ms, base_wall_ms());
}

/*
 * Handles a query from an entry whose attempt got no reply.  A pending request
 * continues, and its answer goes over the route of the query, as the earlier
 * connection may be lost; an id that was never seen is fenced.
 */
void
serve_fence(struct node *n, const struct link_route *r, uint64_t call,
    const Wire__Fence *f)
{
	struct pending_request *s;
	enum guard_verdict v;
	int i;

	/* Sent without an incarnation, it was refused and did not run. */
	if (f->guard_boot == 0) {
		reply_outcome(n, r, call, OUTCOME_RESTARTED, NULL);
		return;
	}
	if (f->guard_boot != n->boot && !created_since_start(n, f)) {
		reply_outcome(n, r, call, OUTCOME_UNKNOWN, NULL);
		return;
	}
	if ((s = pending_find(n, f->id, NULL, call)) != NULL) {
		for (i = 0; i < s->nwaiters; i++)
			if (s->waiters[i].call == call)
				s->waiters[i].route = *r;
		reply_ack(n, r, call);
		return;
	}
	if (!f->once && f->fresh &&
	    reply_cached(n, &n->guard->repeatable_answers, r, call, f->id))
		return;
	/* Ids of repeatable requests are not stored: it may have completed. */
	if (!f->once || n->guard->guard == NULL) {
		reply_outcome(n, r, call, OUTCOME_UNKNOWN, NULL);
		return;
	}
	v = record_fence(n, f->id, f->fresh, f->born_wall_ms);
	if (v == GUARD_DUPLICATE)
		reply_duplicate(n, r, call, f->id);
	else
		reply_outcome(n, r, call, outcome_by_verdict[v], NULL);
}

/* Removes a waiter; a queued request without waiters is dropped. */
void
serve_cancel(struct node *n, const struct link_route *r, uint64_t call)
{
	struct pending_request *s;
	int i;

	if ((s = pending_find(n, NULL, r, call)) == NULL)
		return;
	for (i = 0; i < s->nwaiters; i++)
		if (s->waiters[i].call == call)
			s->waiters[i--] = s->waiters[--s->nwaiters];
	if (s->nwaiters == 0 && record_cancel(n, s)) {
		g_ptr_array_remove_fast(n->guard->pending, s);
		pending_free(s);
	}
}

/*
 * Answers OUTCOME_EXPIRED to the waiters of requests whose deadline passes at
 * the target.  They stay pending until the exchange ends, as they use a slot.
 */
void
serve_tick(struct node *n, int64_t now)
{
	struct pending_request *s;
	guint i;

	if (n->guard->guard == NULL)
		return;
	suspect_tick(n, now);
	for (i = 0; i < n->guard->pending->len; i++) {
		s = g_ptr_array_index(n->guard->pending, i);
		if (!s->running || s->expired || s->req.deadline > now)
			continue;
		s->expired = 1;
		reply_all_outcome(n, s, OUTCOME_EXPIRED);
	}
	dispatch_queue(n);
	answer_cache_expire(&n->guard->once_answers, now);
	answer_cache_expire(&n->guard->repeatable_answers, now);
}

/* Number of pending requests. */
int
serve_request_count(const struct node *n)
{
	return (int)n->guard->pending->len;
}

/* The guard, or NULL as long as no set has had a target on this VM. */
struct guard *
serve_guard(const struct node *n)
{
	return n->guard->guard;
}

/* Name of the local target. */
const char *
serve_target_name(const struct node *n)
{
	return n->guard->target;
}

/* The guard's load in percent. */
int
serve_load(struct node *n)
{
	return n->guard->guard != NULL ? guard_load(n->guard->guard) : 0;
}
