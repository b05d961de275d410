/* Messages of the entry to guards: forwarded calls, queries, cancellations. */
#include <string.h>

#include "entry_int.h"
#include "serve.h"

#define SILENT_AVOID_MS 1000 /* a target that gave no reply is avoided */
#define ATTEMPTS_MAX	8    /* number space of a call; above CALL_TRIES_MAX */

static void pack_forward(struct node *, struct entry_call *,
    const struct config *, Wire__Forward *, Wire__Header *);
static uint64_t guard_incarnation(struct node *, const char *);
static void
notify_other_calls(struct node *, const char *, const struct entry_call *);

/* Number of a call's current attempt on the wire; differs for each attempt. */
uint64_t
send_attempt_number(const struct entry_call *ec)
{
	return ec->number * ATTEMPTS_MAX + (uint64_t)ec->call.tries;
}

/* The call whose current attempt has this number, or NULL. */
struct entry_call *
send_find_call(struct node *n, uint64_t wire)
{
	uint64_t number = wire / ATTEMPTS_MAX;
	struct entry_call *ec;

	ec = g_hash_table_lookup(n->entry->calls, &number);
	return ec != NULL && send_attempt_number(ec) == wire ? ec : NULL;
}

/* Subtracts the current attempt from its target's count in flight. */
void
send_end_attempt(struct node *n, struct entry_call *ec)
{
	struct target_state *v = entry_target_state(n, ec->target);

	if (v->inflight > 0)
		v->inflight--;
}

/*
 * Fills the message; headers has room for all headers of the request.  Headers
 * that the guard sets itself, and hop-by-hop ones, are left out.
 */
static void
pack_forward(struct node *n, struct entry_call *ec, const struct config *cfg,
    Wire__Forward *f, Wire__Header *headers)
{
	const struct server_request *r = ec->req;
	size_t i, count = 0;

	for (i = 0; i < r->nheaders; i++) {
		if (http_header_is_hop(r->headers[i].name) ||
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
	f->crashes = ec->call.crashes.ids;
	f->n_crashes = (size_t)ec->call.crashes.n;
	f->fingerprint = ec->fingerprint;
}

/* Last known incarnation of the node on a VM, or 0. */
static uint64_t
guard_incarnation(struct node *n, const char *vm)
{
	int m;

	if (strcmp(vm, n->settings.name) == 0)
		return n->boot;
	m = member_find(n->members, vm);
	return m >= 0 ? member_at(n->members, m)->boot : 0;
}

/* Forwards a call to its last target or to one chosen now. */
enum call_action
send_call(struct node *n, struct entry_call *ec, int same_target)
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
		i = same_target ? set_find_target(cfg->set, ec->target)
				: entry_choose(n, ec, cfg->set);
	if (i == MESH_EREFUSED) {
		ec->call.may_have_run = 1;
		return call_not_sent(&ec->call, OUTCOME_UNKNOWN, now);
	}
	if (i < 0)
		return call_not_sent(&ec->call, OUTCOME_NO_TARGET, now);
	t = &cfg->set->targets[i];
	g_strlcpy(ec->target, t->name, sizeof(ec->target));
	g_strlcpy(ec->vm, t->vm, sizeof(ec->vm));
	ec->guard_boot = guard_incarnation(n, t->vm);
	headers = g_new(Wire__Header, ec->req->nheaders + 1);
	f.headers = g_new(Wire__Header *, ec->req->nheaders + 1);
	f.set = &v;
	trace_format_header(&ec->trace, tp);
	f.trace = tp;
	pack_forward(n, ec, cfg, &f, headers);
	counter_add(CTR_FORWARDS, 1);
	call_sent(&ec->call, now);
	number = send_attempt_number(ec);
	env.call = number;
	env.body_case = WIRE__ENVELOPE__BODY_FORWARD;
	env.forward = &f;
	entry_target_state(n, ec->target)->inflight++;
	if (strcmp(ec->vm, n->settings.name) == 0) {
		serve_forward(n, &self, number, &f);
	} else {
		p = member_at(n->members, member_find(n->members, ec->vm));
		sent = link_send(n->link, p->name, p->addr, &env);
	}
	g_free(f.headers);
	g_free(headers);
	/*
	 * A local serve_forward may have ended and freed the call, but then
	 * sent is 0 and ec is not used.
	 */
	if (sent < 0) {
		send_end_attempt(n, ec);
		entry_target_state(n, ec->target)->avoid_until =
		    now + SILENT_AVOID_MS;
		return call_outcome(
		    &ec->call, OUTCOME_UNDELIVERED, &n->entry->budget, now);
	}
	return CALL_WAIT;
}

/*
 * Makes all calls but one that wait for a node query its guard now.  The
 * connection to the node was dropped, and messages in flight may be lost.
 */
static void
notify_other_calls(
    struct node *n, const char *vm, const struct entry_call *except)
{
	struct entry_call *ec;
	GHashTableIter it;
	gpointer value;
	int64_t now = base_now_ms();

	g_hash_table_iter_init(&it, n->entry->calls);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		ec = value;
		if (ec != except && strcmp(ec->vm, vm) == 0)
			call_link_lost(&ec->call, now);
	}
}

/*
 * Handles the loss of the link to a node, which is open again already or will
 * be with the next query.
 */
void
entry_link_replaced(struct node *n, const char *vm)
{
	notify_other_calls(n, vm, NULL);
}

/*
 * Queries the guard about a call.  With new_link, the guard was silent: its
 * target is avoided for a while, the connection is replaced and its node
 * is probed next.
 */
void
send_fence(struct node *n, struct entry_call *ec, int new_link)
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
	env.call = send_attempt_number(ec);
	env.body_case = WIRE__ENVELOPE__BODY_FENCE;
	env.fence = &f;
	if (new_link) {
		entry_target_state(n, ec->target)->avoid_until =
		    base_now_ms() + SILENT_AVOID_MS;
		link_reset(n->link, ec->vm);
		notify_other_calls(n, ec->vm, ec);
		members_probe_next(n->members, m);
	}
	link_send(n->link, p->name, p->addr, &env);
}

/* Cancels a call at the guard, local or remote. */
void
send_cancel(struct node *n, struct entry_call *ec)
{
	Wire__Envelope env = WIRE__ENVELOPE__INIT;
	Wire__Cancel c = WIRE__CANCEL__INIT;
	struct link_route self = { .len = 0 };
	struct member *p;
	int m;

	if (strcmp(ec->vm, n->settings.name) == 0) {
		serve_cancel(n, &self, send_attempt_number(ec));
		return;
	}
	if ((m = member_find(n->members, ec->vm)) < 0)
		return;
	p = member_at(n->members, m);
	env.call = send_attempt_number(ec);
	env.body_case = WIRE__ENVELOPE__BODY_CANCEL;
	env.cancel = &c;
	link_send(n->link, p->name, p->addr, &env);
}
