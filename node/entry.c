/*
 * The entry side: takes callers' requests, sends them to guards, and gives
 * each caller the whole answer to its own request or an honest refusal.
 */
#include <stdlib.h>
#include <string.h>

#include <sodium.h>
#include <xxhash.h>

#include "node_int.h"

#define RETRY_DEFAULT_MS 250 /* when a refused caller may come back */
#define NOT_READY_MS	 1000
#define AVOID_MS	 100  /* a target that refused is avoided so long */
#define SILENT_AVOID_MS	 1000 /* one that was silent */
#define LOOK_MS		 100  /* between two looks for a caller's end */
#define LOAD_PER_CALL	 10   /* percent that each call sent adds to a load */
#define CANDIDATES_MAX	 64   /* guards that an entry uses of a service */
#define DEADLINE_HEADER	 "X-Deadline-Ms"
#define ID_HEADER	 "X-Request-Id"
#define TRACE_HEADER	 "traceparent"

static void take_request(struct node *, struct server_request *, int);
static enum call_outcome read_request(struct node *, struct server_request *,
    struct entry_call *, int, const char **);
static enum call_outcome
read_id(const struct server_request *, struct entry_call *, const char **);
static int64_t read_deadline(const struct server_request *, int);
static uint64_t fingerprint(const struct server_request *);
static struct view *view_of(struct node *, const char *);
static int candidate_targets(struct node *, const struct set *, int, int *);
static void
describe(struct node *, const struct set *, int, struct candidate *, int64_t);
static int choose_any(struct node *, const struct set *, int, int64_t);
static int choose_home(
    struct node *, struct entry_call *, const struct set *, int, int64_t);
static int choose(struct node *, struct entry_call *, const struct set *);
static int home_gone(struct node *, const struct entry_call *, int, int64_t);
static void mint(struct entry_call *, const char *);
static void act(struct node *, struct entry_call *, enum call_action);
static void send_call(struct node *, struct entry_call *, int);
static void pack_forward(struct node *, struct entry_call *,
    const struct config *, Wire__Forward *, Wire__Header *);
static uint64_t boot_of(struct node *, const char *);
static void ask(struct node *, struct entry_call *);
static void cancel(struct node *, struct entry_call *);
static void settle_view(struct node *, struct entry_call *);
static void pass(struct node *, struct entry_call *, const Wire__Answer *);
static void refuse(struct node *, struct entry_call *);
static GArray *pick_calls(struct node *,
    int (*)(const struct entry_call *, const void *), const void *);
static int is_due(const struct entry_call *, const void *);
static int is_at_vm(const struct entry_call *, const void *);
static void tick_call(struct node *, struct entry_call *, int64_t);
static void finish(struct node *, struct entry_call *, const char *);
static void entry_call_free(gpointer);

/* Releases a call. */
static void
entry_call_free(gpointer p)
{
	g_free(p);
}

/* Prepares the entry. */
void
entry_init(struct node *n)
{
	n->entry.calls = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, entry_call_free);
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

/* ---- on the servers' threads ---- */

/* A request from outside. */
void
entry_from_callers(void *arg, struct server_request *r)
{
	take_request(arg, r, 0);
}

/* A request of the target beside this node. */
void
entry_from_services(void *arg, struct server_request *r)
{
	take_request(arg, r, 1);
}

/* Hash by which a repeated request is recognised as the same work. */
static uint64_t
fingerprint(const struct server_request *r)
{
	XXH64_hash_t h;

	h = XXH3_64bits(r->method, strlen(r->method));
	h = XXH3_64bits_withSeed(r->path, strlen(r->path), h);
	return XXH3_64bits_withSeed(r->body->data, r->body->len, h);
}

/* The deadline: the route's, or the caller's if that is sooner. */
static int64_t
read_deadline(const struct server_request *r, int route_ms)
{
	const char *text = server_header(r, DEADLINE_HEADER);
	int64_t ms = route_ms;
	char *end;
	long given;

	if (text != NULL) {
		given = strtol(text, &end, 10);
		if (*end == '\0' && end != text && given < ms)
			ms = MAX(0, given);
	}
	return r->arrived + ms;
}

/*
 * Takes the caller's id.  For a request that must not run twice, only an id
 * that states its birth can tell a first sending from one that comes after
 * all memory of the first is gone.
 */
static enum call_outcome
read_id(
    const struct server_request *r, struct entry_call *ec, const char **detail)
{
	const char *id = server_header(r, ID_HEADER);
	int64_t now = base_wall_ms();

	if (id == NULL) {
		ec->call.minted = 1;
		ec->call.born_wall_ms = now;
		return OUTCOME_ANSWERED;
	}
	if (!name_valid(id, GUARD_ID_MAX)) {
		*detail = ID_HEADER " must be 1 to 64 printable bytes";
		return OUTCOME_BAD_REQUEST;
	}
	g_strlcpy(ec->call.id, id, sizeof(ec->call.id));
	ec->call.born_wall_ms = reqid_born(id);
	if (!ec->call.once)
		return OUTCOME_ANSWERED;
	if (ec->call.born_wall_ms == 0) {
		*detail = ID_HEADER " on this route must be a UUID of "
				    "version 7, or absent";
		return OUTCOME_BAD_REQUEST;
	}
	if (ec->call.born_wall_ms > now + GUARD_SKEW_MS) {
		*detail = ID_HEADER " was made in the future";
		return OUTCOME_BAD_REQUEST;
	}
	return OUTCOME_ANSWERED;
}

/* Finds the route and fills a call; OUTCOME_ANSWERED when it may go on. */
static enum call_outcome
read_request(struct node *n, struct server_request *r, struct entry_call *ec,
    int internal, const char **detail)
{
	const struct config *cfg;
	const struct set_route *route;
	enum call_outcome out = OUTCOME_ANSWERED;
	int i;

	if (g_atomic_int_get(&n->entry.leaving))
		return OUTCOME_LEAVING;
	if (g_atomic_int_get(&n->entry.inflight) >= n->settings.calls_max)
		return OUTCOME_TOO_MANY;
	config_lock();
	cfg = config_get(n->config);
	if (cfg == NULL || !g_atomic_int_get(&n->ready)) {
		out = OUTCOME_NOT_READY;
	} else if ((i = set_route(cfg->set, r->method, r->path)) < 0) {
		out = OUTCOME_NO_ROUTE;
	} else {
		route = &cfg->set->routes[i];
		if (route->from == FROM_SERVICES && !internal)
			out = OUTCOME_FORBIDDEN;
		ec->call.once = !route->repeatable;
		ec->call.deadline = read_deadline(r, route->deadline_ms);
		ec->priority = route->priority;
		g_strlcpy(ec->route, route->name, sizeof(ec->route));
		g_strlcpy(
		    ec->service, route->service_name, sizeof(ec->service));
	}
	config_unlock();
	if (out != OUTCOME_ANSWERED)
		return out;
	return read_id(r, ec, detail);
}

/* Takes a whole request from a server. */
static void
take_request(struct node *n, struct server_request *r, int internal)
{
	struct refusal ref = { .not_run = 1 };
	struct entry_call *ec;
	enum call_outcome out;

	counter_add(CTR_CALLS, 1);
	ec = g_new0(struct entry_call, 1);
	out = read_request(n, r, ec, internal, &ref.detail);
	if (out != OUTCOME_ANSWERED) {
		ref.why = out;
		/* A call before, under the caller's own id, may have run. */
		ref.not_run = !outcomes[out].repeat ||
			      server_header(r, ID_HEADER) == NULL;
		ref.id = ec->call.id[0] != '\0' ? ec->call.id : NULL;
		if (outcomes[out].repeat)
			ref.retry_after_ms = NOT_READY_MS;
		refusal_reply(r, &ref);
		g_free(ec);
		return;
	}
	ec->req = r;
	ec->fingerprint = fingerprint(r);
	ec->began_us = base_now_us();
	trace_begin(&ec->trace, server_header(r, TRACE_HEADER));
	g_atomic_int_inc(&n->entry.inflight);
	mailbox_post(&n->mailbox, EVENT_CALL, ec);
}

/* ---- on the loop's thread ---- */

/* What is known of a target; made on first use. */
static struct view *
view_of(struct node *n, const char *target)
{
	struct view *v;

	if ((v = g_hash_table_lookup(n->entry.views, target)) == NULL) {
		v = g_new0(struct view, 1);
		g_hash_table_insert(n->entry.views, g_strdup(target), v);
	}
	return v;
}

/*
 * The targets of a service that this entry uses: all of a small service, of a
 * large one a bounded number by rendezvous hashing over this node's name.
 */
static int
candidate_targets(
    struct node *n, const struct set *s, int service, int *targets)
{
	const struct set_service *v = &s->services[service];
	const char **names;
	int i, got;

	if (v->ntargets <= CANDIDATES_MAX) {
		memcpy(targets, v->targets,
		    (size_t)v->ntargets * sizeof(targets[0]));
		return v->ntargets;
	}
	names = g_new(const char *, v->ntargets);
	for (i = 0; i < v->ntargets; i++)
		names[i] = s->targets[v->targets[i]].name;
	got = pick_rendezvous(
	    n->settings.name, names, v->ntargets, targets, CANDIDATES_MAX);
	for (i = 0; i < got; i++)
		targets[i] = v->targets[targets[i]];
	g_free(names);
	return got;
}

/* Fills in what is known of a target. */
static void
describe(struct node *n, const struct set *s, int target, struct candidate *c,
    int64_t now)
{
	const struct set_target *t = &s->targets[target];
	const struct view *v = view_of(n, t->name);
	int m;

	(void)now;
	memset(c, 0, sizeof(*c));
	c->target = target;
	c->local = strcmp(t->dc_name, n->settings.data_centre) == 0;
	if (strcmp(t->vm, n->settings.name) == 0)
		c->usable = !n->out;
	else if ((m = member_find(n->members, t->vm)) >= 0)
		c->usable = member_usable(member_at(n->members, m));
	c->usable = c->usable && set_target_in(s, target);
	c->load = v->load + v->inflight * LOAD_PER_CALL;
	c->avoid_until = v->avoid_until;
}

/* Chooses freely; when all are avoided, avoidance is given up. */
static int
choose_any(struct node *n, const struct set *s, int service, int64_t now)
{
	struct candidate c[CANDIDATES_MAX];
	int targets[CANDIDATES_MAX], i, k, count;

	count = candidate_targets(n, s, service, targets);
	for (i = 0; i < count; i++)
		describe(n, s, targets[i], &c[i], now);
	k = pick_target(
	    c, count, g_rand_int(n->rand), g_rand_int(n->rand), now);
	if (k < 0) {
		for (i = 0; i < count; i++)
			c[i].avoid_until = 0;
		k = pick_target(
		    c, count, g_rand_int(n->rand), g_rand_int(n->rand), now);
	}
	return k < 0 ? MESH_ENOTFOUND : c[k].target;
}

/*
 * Whether a home's guard has said goodbye before this id was made, so that
 * the id cannot have run there.
 */
static int
home_gone(struct node *n, const struct entry_call *ec, int m, int64_t now)
{
	const struct member *p = member_at(n->members, m);
	int64_t left_wall;

	left_wall = base_wall_ms() - (now - p->since);
	return p->state == MEMBER_LEFT &&
	       ec->call.born_wall_ms > left_wall + GUARD_SKEW_MS;
}

/*
 * The home of an id: first in its order over all targets of the service, or
 * a later one when those before have recorded that they never run it.
 */
static int
choose_home(struct node *n, struct entry_call *ec, const struct set *s,
    int service, int64_t now)
{
	const struct set_service *v = &s->services[service];
	const struct set_target *t;
	const char **names;
	int i, k, m = -1, passed = 0, found = MESH_ENOTFOUND;

	names = g_new(const char *, v->ntargets);
	for (i = 0; i < v->ntargets; i++)
		names[i] = s->targets[v->targets[i]].name;
	for (k = 0; found == MESH_ENOTFOUND; k++) {
		i = home_at(ec->call.id, names, v->ntargets, k);
		if (i < 0)
			break;
		t = &s->targets[v->targets[i]];
		if (strcmp(t->vm, n->settings.name) != 0) {
			m = member_find(n->members, t->vm);
			if (m >= 0 && home_gone(n, ec, m, now))
				continue;
			if (m < 0 ||
			    member_at(n->members, m)->state >= MEMBER_DEAD)
				found = MESH_EREFUSED;
		}
		if (passed++ < ec->call.walked)
			found = MESH_ENOTFOUND;
		else if (found != MESH_EREFUSED)
			found = v->targets[i];
	}
	g_free(names);
	return found;
}

/* Makes the id, with the target that was chosen as its home. */
static void
mint(struct entry_call *ec, const char *target)
{
	unsigned char random[REQID_RANDOM];

	randombytes_buf(random, sizeof(random));
	reqid_make(
	    ec->call.id, ec->call.born_wall_ms, pick_tag(target), random);
}

/*
 * Chooses the target of the next sending.  An id that was made here is known
 * to nobody else and, where it matters, has not run: it is made anew to fit
 * the choice.  MESH_EREFUSED when the home of a caller's id cannot be asked.
 */
static int
choose(struct node *n, struct entry_call *ec, const struct set *s)
{
	int64_t now = base_now_ms();
	int service = set_find_service(s, ec->service), t;

	if (ec->call.once && !ec->call.minted)
		return choose_home(n, ec, s, service, now);
	t = choose_any(n, s, service, now);
	if (t >= 0 && ec->call.minted && (ec->call.once || ec->call.tries == 0))
		mint(ec, s->targets[t].name);
	return t;
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
	case CALL_ASK:
		ask(n, ec);
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
	uint64_t number = ec->number;
	int i, sent = 0;

	if (set_find_service(cfg->set, ec->service) < 0)
		i = MESH_ENOTFOUND;
	else
		i = same ? set_find_target(cfg->set, ec->target)
			 : choose(n, ec, cfg->set);
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
	env.call = number;
	env.body_case = WIRE__ENVELOPE__BODY_FORWARD;
	env.forward = &f;
	counter_add(CTR_FORWARDS, 1);
	call_sent(&ec->call, now);
	view_of(n, ec->target)->inflight++;
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
		view_of(n, ec->target)->avoid_until = now + SILENT_AVOID_MS;
		act(n, ec,
		    call_outcome(
			&ec->call, OUTCOME_UNDELIVERED, &n->entry.budget, now));
	}
}

/* Asks the guard about a silent call, on a fresh connection. */
static void
ask(struct node *n, struct entry_call *ec)
{
	Wire__Envelope env = WIRE__ENVELOPE__INIT;
	Wire__Fence f = WIRE__FENCE__INIT;
	struct member *p;
	int m;

	view_of(n, ec->target)->avoid_until = base_now_ms() + SILENT_AVOID_MS;
	if ((m = member_find(n->members, ec->vm)) < 0)
		return;
	p = member_at(n->members, m);
	f.id = ec->call.id;
	f.born_wall_ms = ec->call.born_wall_ms;
	f.guard_boot = ec->guard_boot;
	f.target = ec->target;
	f.once = ec->call.once;
	f.fresh = ec->call.minted;
	env.call = ec->number;
	env.body_case = WIRE__ENVELOPE__BODY_FENCE;
	env.fence = &f;
	link_reset(n->link, p->name);
	members_doubt(n->members, m);
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
		serve_cancel(n, &self, ec->number);
		return;
	}
	if ((m = member_find(n->members, ec->vm)) < 0)
		return;
	p = member_at(n->members, m);
	env.call = ec->number;
	env.body_case = WIRE__ENVELOPE__BODY_CANCEL;
	env.cancel = &c;
	link_send(n->link, p->name, p->addr, &env);
}

/* The call is no longer at the target it was sent to. */
static void
settle_view(struct node *n, struct entry_call *ec)
{
	struct view *v = view_of(n, ec->target);

	if (v->inflight > 0)
		v->inflight--;
}

/* The guard has a call. */
void
entry_ack(struct node *n, uint64_t number, int load)
{
	struct entry_call *ec;

	if ((ec = g_hash_table_lookup(n->entry.calls, &number)) == NULL)
		return;
	view_of(n, ec->target)->load = load;
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

	if ((ec = g_hash_table_lookup(n->entry.calls, &number)) == NULL) {
		counter_add(CTR_LATE_ANSWERS, 1);
		return;
	}
	out = a->outcome >= 0 && a->outcome < OUTCOME_COUNT
		  ? (enum call_outcome)a->outcome
		  : OUTCOME_UNKNOWN;
	/* An answer that was cut on the way is none. */
	if (out == OUTCOME_ANSWERED && a->length != a->body.len)
		out = OUTCOME_BROKEN;
	v = view_of(n, ec->target);
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

/* Appends what a request would meet, with the reason for each target. */
void
entry_explain(
    struct node *n, const char *method, const char *path, GString *out)
{
	const struct config *cfg = config_get(n->config);
	const struct set_route *r;
	const struct set_target *t;
	struct candidate c;
	const char *why, *sep = "";
	int targets[CANDIDATES_MAX], i, k, count;
	int64_t now = base_now_ms();

	if (cfg == NULL || (i = set_route(cfg->set, method, path)) < 0) {
		g_string_append_printf(out,
		    "{\"route\": null, \"why\": \"%s\"}",
		    cfg == NULL ? "no accepted set yet" : "no route matches");
		return;
	}
	r = &cfg->set->routes[i];
	g_string_append(out, "{\"route\": ");
	json_quote(out, r->name);
	g_string_append(out, ", \"service\": ");
	json_quote(out, r->service_name);
	g_string_append_printf(out,
	    ", \"repeatable\": %s, \"deadline_ms\": %d, \"from\": \"%s\", "
	    "\"targets\": [",
	    r->repeatable ? "true" : "false", r->deadline_ms,
	    set_from_names[r->from]);
	count = candidate_targets(n, cfg->set, r->service, targets);
	for (k = 0; k < count; k++) {
		t = &cfg->set->targets[targets[k]];
		describe(n, cfg->set, targets[k], &c, now);
		why = "usable";
		if (cfg->set->dcs[t->dc].state == SET_OUT)
			why = "its data centre is out";
		else if (t->state == SET_OUT)
			why = "it is out";
		else if (!c.usable)
			why = "its node is not there";
		else if (c.avoid_until > now)
			why = "it refused lately";
		g_string_append_printf(out, "%s{\"target\": ", sep);
		json_quote(out, t->name);
		g_string_append_printf(out,
		    ", \"local\": %s, \"load\": %d, \"why\": \"%s\"}",
		    c.local ? "true" : "false", c.load, why);
		sep = ", ";
	}
	g_string_append(out, "]}");
}
