/*
 * The entry side: takes callers' requests, sends them to guards, and gives
 * each caller the whole answer to its own request or an honest refusal.
 */
#include <string.h>

#include "entry_int.h"

#define RETRY_DEFAULT_MS 250 /* when a refused caller may come back */
#define AVOID_MS	 100 /* a target that refused is avoided so long */
#define LOOK_MS		 100 /* between two looks for a caller's end */

static void act(struct node *, struct entry_call *, enum call_action);
static void pass(struct node *, struct entry_call *, const Wire__Answer *);
static void refuse(struct node *, struct entry_call *);
static void finish(struct node *, struct entry_call *, const char *);
static GArray *pick_calls(struct node *,
    int (*)(const struct entry_call *, const void *), const void *);
static int is_due(const struct entry_call *, const void *);
static int is_lost(const struct entry_call *, const void *);
static void tick_call(struct node *, struct entry_call *, int64_t);
static void each_call(struct node *,
    int (*)(const struct entry_call *, const void *), const void *,
    void (*)(struct node *, struct entry_call *, int64_t), int64_t);
static void lose_call(struct node *, struct entry_call *, int64_t);

/* Prepares the entry. */
void
entry_init(struct node *n)
{
	n->entry = g_new0(struct entry, 1);
	n->entry->calls =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	n->entry->views =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	n->entry->next_number = 1;
	budget_init(&n->entry->budget);
}

/* Releases the entry. */
void
entry_destroy(struct node *n)
{
	g_hash_table_destroy(n->entry->calls);
	g_hash_table_destroy(n->entry->views);
	g_free(n->entry);
}

/* Calls that the loop knows of. */
int
entry_calls(const struct node *n)
{
	return (int)g_hash_table_size(n->entry->calls);
}

/* Calls taken and not replied to. */
int
entry_inflight(const struct node *n)
{
	return g_atomic_int_get(&n->entry->inflight);
}

/* Takes no new calls from now on. */
void
entry_leave(struct node *n)
{
	g_atomic_int_set(&n->entry->leaving, 1);
}

/* A call has reached the loop. */
void
entry_call_begin(struct node *n, struct entry_call *ec)
{
	int64_t now = base_now_ms();

	ec->number = n->entry->next_number++;
	ec->look_at = now + LOOK_MS;
	g_hash_table_insert(n->entry->calls, &ec->number, ec);
	act(n, ec, call_start(&ec->call, now));
}

/* Does what was decided; the call may be gone afterwards. */
static void
act(struct node *n, struct entry_call *ec, enum call_action a)
{
	/* A sending that cannot be made may ask for another. */
	while (a == CALL_SEND || a == CALL_SEND_SAME)
		a = send_call(n, ec, a == CALL_SEND_SAME);
	switch (a) {
	case CALL_ASK_SAME:
		send_ask(n, ec, 0);
		break;
	case CALL_ASK:
		send_ask(n, ec, 1);
		break;
	case CALL_REFUSE:
		refuse(n, ec);
		break;
	default:
		break;
	}
}

/* The guard has a call. */
void
entry_ack(struct node *n, uint64_t number, int load)
{
	struct entry_call *ec;

	if ((ec = send_find(n, number)) == NULL)
		return;
	entry_view(n, ec->target)->load = load;
	call_acked(&ec->call, base_now_ms());
}

/* An outcome came; one that finds no call is late and is dropped. */
void
entry_answer(struct node *n, uint64_t number, const Wire__Answer *a)
{
	struct entry_call *ec;
	struct view *v;
	enum call_action act_now;
	enum call_outcome out;
	int64_t now = base_now_ms();
	size_t i;
	int m;

	if ((ec = send_find(n, number)) == NULL) {
		counter_add(CTR_LATE_ANSWERS, 1);
		return;
	}
	out = a->outcome >= 0 && a->outcome < OUTCOME_COUNT
		  ? (enum call_outcome)a->outcome
		  : OUTCOME_UNKNOWN;
	/* An answer that was cut on the way is none. */
	if (out == OUTCOME_ANSWERED && a->length != a->body.len)
		out = OUTCOME_BROKEN;
	v = entry_view(n, ec->target);
	v->load = a->load;
	if (outcomes[out].not_run)
		v->avoid_until = now + AVOID_MS;
	if (a->boot > 0 && (m = member_find(n->members, ec->vm)) >= 0)
		member_at(n->members, m)->boot = a->boot;
	ec->call.retry_after_ms = a->retry_after_ms;
	for (i = 0; i < a->n_crashes; i++)
		crashes_add(&ec->call.crashes, a->crashes[i]);
	act_now = call_outcome(&ec->call, out, &n->entry->budget, now);
	if (act_now != CALL_WAIT || ec->call.state == CALL_PAUSED)
		send_settle(n, ec);
	if (act_now == CALL_PASS)
		pass(n, ec, a);
	else
		act(n, ec, act_now);
}

/* Gives the caller its answer. */
static void
pass(struct node *n, struct entry_call *ec, const Wire__Answer *a)
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
	finish(n, ec, outcomes[OUTCOME_ANSWERED].code);
}

/* Refuses a call: the final answer, given at once. */
static void
refuse(struct node *n, struct entry_call *ec)
{
	const struct outcome_info *o = &outcomes[ec->call.last];
	struct refusal ref = { .why = ec->call.last, .id = ec->call.id };

	ref.not_run = call_not_run(&ec->call);
	/* What cannot be doubled may be repeated: by its nature, or its id. */
	if (o->repeat && (ref.not_run || !ec->call.once || !ec->call.minted))
		ref.retry_after_ms = ec->call.retry_after_ms > 0
					 ? ec->call.retry_after_ms
					 : RETRY_DEFAULT_MS;
	refusal_reply(ec->req, &ref);
	finish(n, ec, o->code);
}

/* Ends a call that was replied to. */
static void
finish(struct node *n, struct entry_call *ec, const char *outcome)
{
	spans_add(&n->spans, &ec->trace, "entry", ec->route, outcome,
	    base_now_us() - ec->began_us);
	g_atomic_int_add(&n->entry->inflight, -1);
	g_hash_table_remove(n->entry->calls, &ec->number);
}

/*
 * Numbers of the calls that a test picks.  Handling one call can end another,
 * so each is looked up again by its number.
 */
static GArray *
pick_calls(struct node *n,
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

/* Whether a call has something to do at a time. */
static int
is_due(const struct entry_call *ec, const void *now)
{
	return ec->call.wake <= *(const int64_t *)now ||
	       ec->look_at <= *(const int64_t *)now;
}

/* Whether a call that was sent waits for a node that does not answer. */
static int
is_lost(const struct entry_call *ec, const void *arg)
{
	const struct node *n = arg;
	int m = member_find(n->members, ec->vm);
	enum member_state s;

	if (m < 0)
		return 0;
	s = member_at(n->members, m)->state;
	return call_is_lost(&ec->call, s == MEMBER_DEAD, s == MEMBER_LEFT);
}

/* Handles one call whose time has come, or whose caller may have gone. */
static void
tick_call(struct node *n, struct entry_call *ec, int64_t now)
{
	if (ec->look_at <= now && server_gone(ec->req)) {
		send_cancel(n, ec);
		send_settle(n, ec);
		ec->call.last = OUTCOME_CANCELLED;
		act(n, ec, CALL_REFUSE);
		return;
	}
	if (ec->look_at <= now)
		ec->look_at = now + LOOK_MS;
	if (ec->call.wake > now)
		return;
	if (now >= ec->call.deadline) {
		send_cancel(n, ec);
		send_settle(n, ec);
	}
	act(n, ec, call_timer(&ec->call, &n->entry->budget, now));
}

/* Handles the calls that a test picks. */
static void
each_call(struct node *n,
    int (*wanted)(const struct entry_call *, const void *), const void *arg,
    void (*handle)(struct node *, struct entry_call *, int64_t), int64_t now)
{
	struct entry_call *ec;
	GArray *picked;
	guint i;

	picked = pick_calls(n, wanted, arg);
	for (i = 0; i < picked->len; i++) {
		ec = g_hash_table_lookup(
		    n->entry->calls, &g_array_index(picked, uint64_t, i));
		if (ec != NULL)
			handle(n, ec, now);
	}
	g_array_free(picked, TRUE);
}

/* Decides anew over a call that waits for a node held dead. */
static void
lose_call(struct node *n, struct entry_call *ec, int64_t now)
{
	send_settle(n, ec);
	act(n, ec, call_guard_dead(&ec->call, &n->entry->budget, now));
}

/* Time passes. */
void
entry_tick(struct node *n, int64_t now)
{
	each_call(n, is_lost, n, lose_call, now);
	each_call(n, is_due, &now, tick_call, now);
}
