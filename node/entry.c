/*
 * The entry's calls: each is forwarded to a guard, retried or queried as
 * mesh/call.c decides, and ends with the complete answer of the target or with
 * a refusal that states whether the request may have run.
 */
#include <string.h>

#include "entry_int.h"

#define RETRY_AFTER_DEFAULT_MS 250 /* without a value from the guard */
#define REFUSED_AVOID_MS       100 /* a target that refused is avoided */
#define CALLER_CHECK_MS	       100 /* between checks for a disconnect */

static void
perform_action(struct node *, struct entry_call *, enum call_action);
static void
pass_answer(struct node *, struct entry_call *, const Wire__Answer *);
static void refuse_call(struct node *, struct entry_call *);
static void finish_call(struct node *, struct entry_call *, const char *);
static GArray *select_calls(struct node *,
    int (*)(const struct entry_call *, const void *), const void *);
static int is_due(const struct entry_call *, const void *);
static int is_lost(const struct entry_call *, const void *);
static void tick_call(struct node *, struct entry_call *, int64_t);
static void handle_calls(struct node *,
    int (*)(const struct entry_call *, const void *), const void *,
    void (*)(struct node *, struct entry_call *, int64_t), int64_t);
static void handle_lost_call(struct node *, struct entry_call *, int64_t);

/* Creates the entry without calls. */
void
entry_init(struct node *n)
{
	n->entry = g_new0(struct entry, 1);
	n->entry->calls =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	n->entry->target_states =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	n->entry->next_number = 1;
	budget_init(&n->entry->budget);
}

/* Releases the entry. */
void
entry_destroy(struct node *n)
{
	g_hash_table_destroy(n->entry->calls);
	g_hash_table_destroy(n->entry->target_states);
	g_free(n->entry);
}

/* Number of calls in the loop's table; those in the mailbox are not in it. */
int
entry_call_count(const struct node *n)
{
	return (int)g_hash_table_size(n->entry->calls);
}

/* Number of accepted calls without a reply. */
int
entry_inflight(const struct node *n)
{
	return g_atomic_int_get(&n->entry->inflight);
}

/* Refuses new calls from now on. */
void
entry_drain(struct node *n)
{
	g_atomic_int_set(&n->entry->leaving, 1);
}

/* Adds a call to the table, which owns it from now on, and sends it. */
void
entry_call_start(struct node *n, struct entry_call *ec)
{
	int64_t now = base_now_ms();

	ec->number = n->entry->next_number++;
	ec->caller_check_at = now + CALLER_CHECK_MS;
	g_hash_table_insert(n->entry->calls, &ec->number, ec);
	perform_action(n, ec, call_start(&ec->call, now));
}

/* Performs an action of mesh/call.c; the call may be freed afterwards. */
static void
perform_action(struct node *n, struct entry_call *ec, enum call_action a)
{
	/* If a request could not be sent, send_call may return a retry. */
	while (a == CALL_SEND || a == CALL_SEND_SAME)
		a = send_call(n, ec, a == CALL_SEND_SAME);
	switch (a) {
	case CALL_FENCE_SAME:
		send_fence(n, ec, 0);
		break;
	case CALL_FENCE:
		send_fence(n, ec, 1);
		break;
	case CALL_REFUSE:
		refuse_call(n, ec);
		break;
	default:
		break;
	}
}

/* Handles a guard's acknowledgement that the request is pending there. */
void
entry_ack(struct node *n, uint64_t number, int load)
{
	struct entry_call *ec;

	if ((ec = send_find_call(n, number)) == NULL)
		return;
	entry_target_state(n, ec->target)->load = load;
	call_acked(&ec->call, base_now_ms());
}

/* Handles an outcome; one for an attempt that is not current is dropped. */
void
entry_answer(struct node *n, uint64_t number, const Wire__Answer *a)
{
	struct entry_call *ec;
	struct target_state *v;
	enum call_action action;
	enum call_outcome out;
	int64_t now = base_now_ms();
	size_t i;
	int m;

	if ((ec = send_find_call(n, number)) == NULL) {
		counter_add(CTR_LATE_ANSWERS, 1);
		return;
	}
	out = a->outcome >= 0 && a->outcome < OUTCOME_COUNT
		  ? (enum call_outcome)a->outcome
		  : OUTCOME_UNKNOWN;
	/* A truncated body must not be passed on as a complete answer. */
	if (out == OUTCOME_ANSWERED &&
	    (a->length != a->body.len || !http_status_is_final(a->status)))
		out = OUTCOME_BROKEN;
	v = entry_target_state(n, ec->target);
	v->load = a->load;
	if (outcomes[out].not_run)
		v->avoid_until = now + REFUSED_AVOID_MS;
	if (a->boot > 0 && (m = member_find(n->members, ec->vm)) >= 0)
		member_at(n->members, m)->boot = a->boot;
	ec->call.retry_after_ms = a->retry_after_ms;
	for (i = 0; i < a->n_crashes; i++)
		crashes_add(&ec->call.crashes, a->crashes[i]);
	action = call_outcome(&ec->call, out, &n->entry->budget, now);
	if (action != CALL_WAIT || ec->call.state == CALL_PAUSED)
		send_end_attempt(n, ec);
	if (action == CALL_PASS)
		pass_answer(n, ec, a);
	else
		perform_action(n, ec, action);
}

/* Replies to the caller with the target's answer. */
static void
pass_answer(struct node *n, struct entry_call *ec, const Wire__Answer *a)
{
	struct http_header *h;
	size_t i;

	h = g_new0(struct http_header, a->n_headers + 1);
	for (i = 0; i < a->n_headers; i++) {
		h[i].name = g_strdup(a->headers[i]->name);
		h[i].value = g_strdup(a->headers[i]->value);
	}
	h[i].name = g_strdup(ID_HEADER);
	h[i].value = g_strdup(ec->call.id);
	counter_add(CTR_ANSWERED, 1);
	server_reply(ec->req, a->status, h, a->n_headers + 1,
	    g_bytes_new(a->body.data, a->body.len));
	finish_call(n, ec, outcomes[OUTCOME_ANSWERED].code);
}

/* Replies to the caller with a refusal, which ends the call. */
static void
refuse_call(struct node *n, struct entry_call *ec)
{
	const struct outcome_info *o = &outcomes[ec->call.last];
	struct refusal ref = { .outcome = ec->call.last, .id = ec->call.id };

	ref.not_run = call_not_run(&ec->call);
	/*
	 * Retry-After is set only where a retry cannot run the request
	 * twice: it did not run, is repeatable, or has the caller's own id, by
	 * which the guard recognises a duplicate.
	 */
	if (o->repeat && (ref.not_run || !ec->call.once || !ec->call.minted))
		ref.retry_after_ms = ec->call.retry_after_ms > 0
					 ? ec->call.retry_after_ms
					 : RETRY_AFTER_DEFAULT_MS;
	refusal_reply(ec->req, &ref);
	finish_call(n, ec, o->code);
}

/* Ends a call after the reply, and frees it. */
static void
finish_call(struct node *n, struct entry_call *ec, const char *outcome)
{
	spans_add(&n->spans, &ec->trace, "entry", ec->route, outcome,
	    base_now_us() - ec->began_us);
	g_atomic_int_add(&n->entry->inflight, -1);
	g_hash_table_remove(n->entry->calls, &ec->number);
}

/*
 * Numbers of the calls that a predicate selects.  Handling one call can end
 * another, so the caller of this function looks each one up by its number.
 */
static GArray *
select_calls(struct node *n,
    int (*wanted)(const struct entry_call *, const void *), const void *arg)
{
	GHashTableIter it;
	GArray *numbers;
	gpointer value;

	numbers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_hash_table_iter_init(&it, n->entry->calls);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (wanted(value, arg))
			g_array_append_val(
			    numbers, ((struct entry_call *)value)->number);
	return numbers;
}

/* Whether a call's timer or caller check is due. */
static int
is_due(const struct entry_call *ec, const void *now)
{
	return ec->call.wake <= *(const int64_t *)now ||
	       ec->caller_check_at <= *(const int64_t *)now;
}

/* Whether a call waits for a node that is dead, or has left and is silent. */
static int
is_lost(const struct entry_call *ec, const void *arg)
{
	const struct node *n = arg;
	int m = member_find(n->members, ec->vm);
	enum member_state s;

	if (m < 0)
		return 0;
	s = member_at(n->members, m)->state;
	return call_should_abandon(
	    &ec->call, s == MEMBER_DEAD, s == MEMBER_LEFT);
}

/*
 * Cancels a call whose caller has disconnected, and runs a timer that is due.
 */
static void
tick_call(struct node *n, struct entry_call *ec, int64_t now)
{
	if (ec->caller_check_at <= now && server_client_closed(ec->req)) {
		send_cancel(n, ec);
		send_end_attempt(n, ec);
		ec->call.last = OUTCOME_CANCELLED;
		perform_action(n, ec, CALL_REFUSE);
		return;
	}
	if (ec->caller_check_at <= now)
		ec->caller_check_at = now + CALLER_CHECK_MS;
	if (ec->call.wake > now)
		return;
	if (now >= ec->call.deadline) {
		send_cancel(n, ec);
		send_end_attempt(n, ec);
	}
	perform_action(n, ec, call_timer(&ec->call, &n->entry->budget, now));
}

/* Applies a function to the calls that a predicate selects. */
static void
handle_calls(struct node *n,
    int (*wanted)(const struct entry_call *, const void *), const void *arg,
    void (*handle)(struct node *, struct entry_call *, int64_t), int64_t now)
{
	struct entry_call *ec;
	GArray *picked;
	guint i;

	picked = select_calls(n, wanted, arg);
	for (i = 0; i < picked->len; i++) {
		ec = g_hash_table_lookup(
		    n->entry->calls, &g_array_index(picked, uint64_t, i));
		if (ec != NULL)
			handle(n, ec, now);
	}
	g_array_free(picked, TRUE);
}

/* Retries or refuses a call whose guard will not answer. */
static void
handle_lost_call(struct node *n, struct entry_call *ec, int64_t now)
{
	send_end_attempt(n, ec);
	perform_action(
	    n, ec, call_guard_dead(&ec->call, &n->entry->budget, now));
}

/* Handles lost guards first, then timers and disconnected callers. */
void
entry_tick(struct node *n, int64_t now)
{
	handle_calls(n, is_lost, n, handle_lost_call, now);
	handle_calls(n, is_due, &now, tick_call, now);
}
