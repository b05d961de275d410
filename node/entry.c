/*
 * The entry side: takes callers' requests, sends them to guards, and gives
 * each caller the whole answer to its own request or an honest refusal.
 */
#include <string.h>

#include "entry_int.h"

#define RETRY_DEFAULT_MS 250  /* when a refused caller may come back */
#define AVOID_MS	 100  /* a target that refused is avoided so long */
#define SILENT_AVOID_MS	 1000 /* one that was silent */
#define SENDINGS_MAX	 8    /* of one call; more than CALL_TRIES */
#define LOOK_MS		 100  /* between two looks for a caller's end */

static uint64_t wire_number(const struct entry_call *);
static struct entry_call *find_sending(struct node *, uint64_t);
static void act(struct node *, struct entry_call *, enum call_action);
static void pack_forward(struct node *, struct entry_call *,
    const struct config *, Wire__Forward *, Wire__Header *);
static uint64_t boot_of(struct node *, const char *);
static void send_call(struct node *, struct entry_call *, int);
static void give_up_link(struct node *, const struct entry_call *);
static void ask(struct node *, struct entry_call *, int);
static void cancel(struct node *, struct entry_call *);
static void settle_view(struct node *, struct entry_call *);
static void pass(struct node *, struct entry_call *, const Wire__Answer *);
static void refuse(struct node *, struct entry_call *);
static void finish(struct node *, struct entry_call *, const char *);
static GArray *pick_calls(struct node *,
    int (*)(const struct entry_call *, const void *), const void *);
static int is_due(const struct entry_call *, const void *);
static int is_at_vm(const struct entry_call *, const void *);
static void tick_call(struct node *, struct entry_call *, int64_t);

/* Prepares the entry. */
void
entry_init(struct node *n)
{
	n->entry.calls =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	n->entry.views =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	n->entry.next_number = 1;
	budget_init(&n->entry.budget);
}

/* Releases the entry. */
void
entry_destroy(struct node *n)
{
	g_hash_table_destroy(n->entry.calls);
	g_hash_table_destroy(n->entry.views);
}

/* A call has reached the loop. */
void
entry_call_begin(struct node *n, struct entry_call *ec)
{
	int64_t now = base_now_ms();

	ec->number = n->entry.next_number++;
	ec->look_at = now + LOOK_MS;
	g_hash_table_insert(n->entry.calls, &ec->number, ec);
	act(n, ec, call_start(&ec->call, now));
}

/*
 * Number of a call's current sending on the wire.  What is said of an earlier
 * sending must not be taken for the current one.
 */
static uint64_t
wire_number(const struct entry_call *ec)
{
	return ec->number * SENDINGS_MAX + (uint64_t)ec->call.tries;
}

/* The call whose current sending has a number, or NULL. */
static struct entry_call *
find_sending(struct node *n, uint64_t wire)
{
	uint64_t number = wire / SENDINGS_MAX;
	struct entry_call *ec;

	ec = g_hash_table_lookup(n->entry.calls, &number);
	return ec != NULL && wire_number(ec) == wire ? ec : NULL;
}

/* Does what was decided; the call may be gone afterwards. */
static void
act(struct node *n, struct entry_call *ec, enum call_action a)
{
	switch (a) {
	case CALL_SEND:
		send_call(n, ec, 0);
		break;
	case CALL_SEND_SAME:
		send_call(n, ec, 1);
		break;
	case CALL_ASK_SAME:
		ask(n, ec, 0);
		break;
	case CALL_ASK:
		ask(n, ec, 1);
		break;
	case CALL_REFUSE:
		refuse(n, ec);
		break;
	case CALL_WAIT:
	case CALL_PASS:
		break;
	}
}

/* Fills the message; headers has room for all of the request's. */
static void
pack_forward(struct node *n, struct entry_call *ec, const struct config *cfg,
    Wire__Forward *f, Wire__Header *headers)
{
	const struct server_request *r = ec->req;
	size_t i, count = 0;

	for (i = 0; i < r->nheaders; i++) {
		if (http_header_hop(r->headers[i].name) ||
		    g_ascii_strcasecmp(r->headers[i].name, TRACE_HEADER) == 0 ||
		    g_ascii_strcasecmp(r->headers[i].name, ID_HEADER) == 0 ||
		    g_ascii_strcasecmp(r->headers[i].name, DEADLINE_HEADER) ==
			0)
			continue;
		wire__header__init(&headers[count]);
		headers[count].name = r->headers[i].name;
		headers[count].value = r->headers[i].value;
		f->headers[count] = &headers[count];
		count++;
	}
	f->n_headers = count;
	f->id = ec->call.id;
	f->once = ec->call.once;
	f->born_wall_ms = ec->call.born_wall_ms;
	f->set->number = cfg->version.number;
	f->set->hash.data = (uint8_t *)cfg->version.hash;
	f->set->hash.len = VERSION_HASH_LEN;
	i = (size_t)set_find_service(cfg->set, ec->service);
	f->homes = cfg->set->services[i].homes;
	f->guard_boot = ec->guard_boot;
	f->fresh = ec->call.minted;
	f->remaining_ms = (int32_t)(ec->call.deadline - base_now_ms());
	f->target = ec->target;
	f->from = n->settings.name;
	f->priority = ec->priority;
	f->method = r->method;
	f->path = r->path;
	f->body.data = r->body->data;
	f->body.len = r->body->len;
	f->crashes = ec->call.crashes;
	f->fingerprint = ec->fingerprint;
}

/* Incarnation of the node on a VM, as far as it is known here. */
static uint64_t
boot_of(struct node *n, const char *vm)
{
	int m;

	if (strcmp(vm, n->settings.name) == 0)
		return n->boot;
	m = member_find(n->members, vm);
	return m >= 0 ? member_at(n->members, m)->boot : 0;
}

/* Sends a call to a target, chosen now unless it goes to the same. */
static void
send_call(struct node *n, struct entry_call *ec, int same)
{
	const struct config *cfg = config_get(n->config);
	const struct set_target *t;
	Wire__Envelope env = WIRE__ENVELOPE__INIT;
	Wire__Forward f = WIRE__FORWARD__INIT;
	Wire__Version v = WIRE__VERSION__INIT;
	Wire__Header *headers;
	struct link_route self = { .len = 0 };
	struct member *p;
	char tp[TRACEPARENT_LEN];
	int64_t now = base_now_ms();
	uint64_t number;
	int i, sent = 0;

	if (set_find_service(cfg->set, ec->service) < 0)
		i = MESH_ENOTFOUND;
	else
		i = same ? set_find_target(cfg->set, ec->target)
			 : entry_choose(n, ec, cfg->set);
	if (i == MESH_EREFUSED) {
		ec->call.maybe_run = 1;
		act(n, ec, call_nobody(&ec->call, OUTCOME_UNKNOWN, now));
		return;
	}
	if (i < 0) {
		act(n, ec, call_nobody(&ec->call, OUTCOME_NO_TARGET, now));
		return;
	}
	t = &cfg->set->targets[i];
	g_strlcpy(ec->target, t->name, sizeof(ec->target));
	g_strlcpy(ec->vm, t->vm, sizeof(ec->vm));
	ec->guard_boot = boot_of(n, t->vm);
	headers = g_new(Wire__Header, ec->req->nheaders + 1);
	f.headers = g_new(Wire__Header *, ec->req->nheaders + 1);
	f.set = &v;
	trace_header(&ec->trace, tp);
	f.trace = tp;
	pack_forward(n, ec, cfg, &f, headers);
	counter_add(CTR_FORWARDS, 1);
	call_sent(&ec->call, now);
	number = wire_number(ec);
	env.call = number;
	env.body_case = WIRE__ENVELOPE__BODY_FORWARD;
	env.forward = &f;
	entry_view(n, ec->target)->inflight++;
	if (strcmp(ec->vm, n->settings.name) == 0) {
		serve_forward(n, &self, number, &f);
	} else {
		p = member_at(n->members, member_find(n->members, ec->vm));
		sent = link_send(n->link, p->name, p->addr, &env);
	}
	g_free(f.headers);
	g_free(headers);
	/* The call may have ended within serve_forward, but not here. */
	if (sent < 0) {
		settle_view(n, ec);
		entry_view(n, ec->target)->avoid_until = now + SILENT_AVOID_MS;
		act(n, ec,
		    call_outcome(
			&ec->call, OUTCOME_UNDELIVERED, &n->entry.budget, now));
	}
}

/*
 * Gives up the connection to a node.  Answers to other calls may be lost with
 * it, so those ask too.
 */
static void
give_up_link(struct node *n, const struct entry_call *asking)
{
	struct entry_call *ec;
	GHashTableIter it;
	gpointer value;
	int64_t now = base_now_ms();

	link_reset(n->link, asking->vm);
	g_hash_table_iter_init(&it, n->entry.calls);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		ec = value;
		if (ec != asking && strcmp(ec->vm, asking->vm) == 0)
			call_link_lost(&ec->call, now);
	}
}

/* Asks the guard about a call, on a fresh connection if it was silent. */
static void
ask(struct node *n, struct entry_call *ec, int fresh)
{
	Wire__Envelope env = WIRE__ENVELOPE__INIT;
	Wire__Fence f = WIRE__FENCE__INIT;
	struct member *p;
	int m;

	if ((m = member_find(n->members, ec->vm)) < 0)
		return;
	p = member_at(n->members, m);
	f.id = ec->call.id;
	f.born_wall_ms = ec->call.born_wall_ms;
	f.guard_boot = ec->guard_boot;
	f.target = ec->target;
	f.once = ec->call.once;
	f.fresh = ec->call.minted;
	env.call = wire_number(ec);
	env.body_case = WIRE__ENVELOPE__BODY_FENCE;
	env.fence = &f;
	if (fresh) {
		entry_view(n, ec->target)->avoid_until =
		    base_now_ms() + SILENT_AVOID_MS;
		give_up_link(n, ec);
		members_doubt(n->members, m);
	}
	link_send(n->link, p->name, p->addr, &env);
}

/* Tells the guard that nobody waits any more. */
static void
cancel(struct node *n, struct entry_call *ec)
{
	Wire__Envelope env = WIRE__ENVELOPE__INIT;
	Wire__Cancel c = WIRE__CANCEL__INIT;
	struct link_route self = { .len = 0 };
	struct member *p;
	int m;

	if (strcmp(ec->vm, n->settings.name) == 0) {
		serve_cancel(n, &self, wire_number(ec));
		return;
	}
	if ((m = member_find(n->members, ec->vm)) < 0)
		return;
	p = member_at(n->members, m);
	env.call = wire_number(ec);
	env.body_case = WIRE__ENVELOPE__BODY_CANCEL;
	env.cancel = &c;
	link_send(n->link, p->name, p->addr, &env);
}

/* The call is no longer at the target it was sent to. */
static void
settle_view(struct node *n, struct entry_call *ec)
{
	struct view *v = entry_view(n, ec->target);

	if (v->inflight > 0)
		v->inflight--;
}

/* The guard has a call. */
void
entry_ack(struct node *n, uint64_t number, int load)
{
	struct entry_call *ec;

	if ((ec = find_sending(n, number)) == NULL)
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
	int m;

	if ((ec = find_sending(n, number)) == NULL) {
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
	ec->call.crashes = MAX(ec->call.crashes, a->crashes);
	act_now = call_outcome(&ec->call, out, &n->entry.budget, now);
	if (act_now != CALL_WAIT || ec->call.state == CALL_PAUSED)
		settle_view(n, ec);
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
	g_atomic_int_add(&n->entry.inflight, -1);
	g_hash_table_remove(n->entry.calls, &ec->number);
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
	g_hash_table_iter_init(&it, n->entry.calls);
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

/* Whether a call waits for the node on a VM. */
static int
is_at_vm(const struct entry_call *ec, const void *vm)
{
	return strcmp(ec->vm, vm) == 0;
}

/* Handles one call whose time has come, or whose caller may have gone. */
static void
tick_call(struct node *n, struct entry_call *ec, int64_t now)
{
	if (ec->look_at <= now && server_gone(ec->req)) {
		cancel(n, ec);
		settle_view(n, ec);
		ec->call.last = OUTCOME_CANCELLED;
		act(n, ec, CALL_REFUSE);
		return;
	}
	if (ec->look_at <= now)
		ec->look_at = now + LOOK_MS;
	if (ec->call.wake > now)
		return;
	if (now >= ec->call.deadline) {
		cancel(n, ec);
		settle_view(n, ec);
	}
	act(n, ec, call_timer(&ec->call, &n->entry.budget, now));
}

/* Time passes. */
void
entry_tick(struct node *n, int64_t now)
{
	struct entry_call *ec;
	GArray *due;
	guint i;

	due = pick_calls(n, is_due, &now);
	for (i = 0; i < due->len; i++) {
		ec = g_hash_table_lookup(
		    n->entry.calls, &g_array_index(due, uint64_t, i));
		if (ec != NULL)
			tick_call(n, ec, now);
	}
	g_array_free(due, TRUE);
}

/* Decides anew over calls that wait for a node held dead. */
void
entry_member_dead(struct node *n, const char *vm)
{
	struct entry_call *ec;
	GArray *lost;
	guint i;

	lost = pick_calls(n, is_at_vm, vm);
	for (i = 0; i < lost->len; i++) {
		ec = g_hash_table_lookup(
		    n->entry.calls, &g_array_index(lost, uint64_t, i));
		if (ec == NULL)
			continue;
		settle_view(n, ec);
		act(n, ec,
		    call_guard_dead(
			&ec->call, &n->entry.budget, base_now_ms()));
	}
	g_array_free(lost, TRUE);
}
