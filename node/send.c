/* How an entry reaches guards: calls, questions about them, cancellations. */
#include <string.h>

#include "entry_int.h"
#include "serve.h"

#define SILENT_AVOID_MS 1000 /* a target that was silent is avoided so long */
#define SENDINGS_MAX	8    /* of one call; more than CALL_TRIES */

static void pack_forward(struct node *, struct entry_call *,
    const struct config *, Wire__Forward *, Wire__Header *);
static uint64_t boot_of(struct node *, const char *);
static void wake_others(struct node *, const char *, const struct entry_call *);

/*
 * Number of a call's current sending on the wire.  What is said of an earlier
 * sending must not be taken for the current one.
 */
uint64_t
send_number(const struct entry_call *ec)
{
	return ec->number * SENDINGS_MAX + (uint64_t)ec->call.tries;
}

/* The call whose current sending has a number, or NULL. */
struct entry_call *
send_find(struct node *n, uint64_t wire)
{
	uint64_t number = wire / SENDINGS_MAX;
	struct entry_call *ec;

	ec = g_hash_table_lookup(n->entry->calls, &number);
	return ec != NULL && send_number(ec) == wire ? ec : NULL;
}

/* The call is no longer at the target it was sent to. */
void
send_settle(struct node *n, struct entry_call *ec)
{
	struct view *v = entry_view(n, ec->target);

	if (v->inflight > 0)
		v->inflight--;
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
	f->crashes = ec->call.crashes.ids;
	f->n_crashes = (size_t)ec->call.crashes.n;
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
enum call_action
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
		return call_nobody(&ec->call, OUTCOME_UNKNOWN, now);
	}
	if (i < 0)
		return call_nobody(&ec->call, OUTCOME_NO_TARGET, now);
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
	number = send_number(ec);
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
		send_settle(n, ec);
		entry_view(n, ec->target)->avoid_until = now + SILENT_AVOID_MS;
		return call_outcome(
		    &ec->call, OUTCOME_UNDELIVERED, &n->entry->budget, now);
	}
	return CALL_WAIT;
}

/*
 * The connection to a node is gone, and what was under way over it may be:
 * all calls that wait for the node ask, but for the one that is about to.
 */
static void
wake_others(struct node *n, const char *vm, const struct entry_call *asking)
{
	struct entry_call *ec;
	GHashTableIter it;
	gpointer value;
	int64_t now = base_now_ms();

	g_hash_table_iter_init(&it, n->entry->calls);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		ec = value;
		if (ec != asking && strcmp(ec->vm, vm) == 0)
			call_link_lost(&ec->call, now);
	}
}

/* Another connection is there, or will be with the next question. */
void
entry_relinked(struct node *n, const char *vm)
{
	wake_others(n, vm, NULL);
}

/* Asks the guard about a call, on a fresh connection if it was silent. */
void
send_ask(struct node *n, struct entry_call *ec, int fresh)
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
	env.call = send_number(ec);
	env.body_case = WIRE__ENVELOPE__BODY_FENCE;
	env.fence = &f;
	if (fresh) {
		entry_view(n, ec->target)->avoid_until =
		    base_now_ms() + SILENT_AVOID_MS;
		link_reset(n->link, ec->vm);
		wake_others(n, ec->vm, ec);
		members_doubt(n->members, m);
	}
	link_send(n->link, p->name, p->addr, &env);
}

/* Tells the guard that nobody waits any more. */
void
send_cancel(struct node *n, struct entry_call *ec)
{
	Wire__Envelope env = WIRE__ENVELOPE__INIT;
	Wire__Cancel c = WIRE__CANCEL__INIT;
	struct link_route self = { .len = 0 };
	struct member *p;
	int m;

	if (strcmp(ec->vm, n->settings.name) == 0) {
		serve_cancel(n, &self, send_number(ec));
		return;
	}
	if ((m = member_find(n->members, ec->vm)) < 0)
		return;
	p = member_at(n->members, m);
	env.call = send_number(ec);
	env.body_case = WIRE__ENVELOPE__BODY_CANCEL;
	env.cancel = &c;
	link_send(n->link, p->name, p->addr, &env);
}
