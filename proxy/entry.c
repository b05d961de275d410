/*
 * The entry: takes the requests of the VM's callers and of its target, offers
 * each to targets that may take it, and gives the caller the target's answer
 * or an honest refusal.
 */
#include <string.h>

#include <xxhash.h>

#include "proxy_int.h"

#define GATES_MAX	  4 /* gates that one request is offered to */
#define OVERTIME_MS	  100 /* beyond a route's timeout, for the target's word */
#define BUSY_AVOID_MS	  25   /* a gate that refused for load */
#define DOWN_AVOID_MS	  250  /* one whose target is down or leaving */
#define DOWN_AVOID_MAX_MS 4000 /* the most that a gate may ask for */
#define LOST_AVOID_MS	  1000 /* one that a link was lost to */
#define BACK_MIN_MS	  50   /* a refused caller comes back no sooner */
#define BACK_SHARE	  4    /* and within this part of its goal */
#define BODIES_SHARE	  8 /* of the machine's memory, for callers' bodies */
#define HEAD_DEFAULT	  16384 /* bytes, until a configuration says */
#define BODY_DEFAULT	  1048576
#define UNREAD_BACK_MS	  1000 /* for a route that a newer version may mend */
#define HEAD_MS		  3000
#define IDLE_MS		  15000

struct request {
	struct entry *entry;
	struct http_exchange *exchange; /* NULL: its caller has gone */
	struct http_message *msg;
	struct view_config *config;
	const struct view_route *route;
	const char *service;
	char *id, *caller; /* owned: settings may change meanwhile */
	int64_t arrived, answer_by;
	struct job job;
	struct peer *peer; /* it was sent to, or NULL */
	int local;	   /* it is at the gate here */
	GPtrArray *tried;  /* addresses, owned */
	int gates, sends;  /* offers; of these, sent to a target */
	int ran;	   /* 1: a sending may have run */
	int status;	   /* of a long answer */
	enum call_outcome last;
	struct http_message *failure; /* a target's, if nothing better comes */
	struct event *timer;
};

static void on_request(void *, struct http_exchange *, struct http_message *);
static void on_gone(void *, struct http_exchange *);
static int may_begin(void *, const struct http_message *);
static void on_timer(evutil_socket_t, short, void *);
static void on_head(struct job *, const struct http_message *);
static void on_piece(struct job *, const void *, size_t);
static void on_taken(void *, struct http_exchange *, size_t);
static void finish_pieces(struct request *, const struct result *);
static void on_done(struct job *, const struct result *);
static int64_t bodies_max(const struct proxy *);
static int stated(int, int);
static void
refuse_unread(struct entry *, struct http_exchange *, struct http_message *);
static void set_times(struct request *, int64_t);
static void offer(struct request *);
static void settle(struct request *, const struct result *);
static int may_repeat(struct request *, int64_t);
static void on_answer(struct request *, struct http_message *);
static void give_up(struct request *);
static void pass(struct request *, struct http_message *);
static void refuse(struct request *, enum call_outcome);
static void
reply_error(struct http_exchange *, struct entry *, int, int, const char *);
static void request_free(struct request *);
static struct spend *spend_of(struct entry *, const char *);

/* Listens for callers. */
int
entry_open(struct entry *e, struct proxy *p)
{
	struct http_server_calls calls = { e, on_request, on_gone, may_begin,
		on_taken };

	e->proxy = p;
	e->limits = (struct http_limits){ HEAD_DEFAULT, BODY_DEFAULT, HEAD_MS,
		IDLE_MS, bodies_max(p) };
	e->requests = g_hash_table_new(NULL, NULL);
	e->spends =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	e->server =
	    http_server_new(p->base, p->settings->callers, &e->limits, &calls);
	return e->server != NULL ? PROXY_OK : PROXY_ELISTEN;
}

/* Closes all connections; each request under way is given up. */
void
entry_close(struct entry *e)
{
	http_server_free(e->server);
	g_hash_table_destroy(e->requests);
	g_hash_table_destroy(e->spends);
}

/* Bytes of callers' bodies that are held at a time. */
static int64_t
bodies_max(const struct proxy *p)
{
	return p->settings->memory_mb * (int64_t)(1024 * 1024) / BODIES_SHARE;
}

/* A limit of the configuration, or what stands for one not said. */
static int
stated(int limit, int dflt)
{
	return limit >= 0 ? limit : dflt;
}

/* Takes over the limits of the configuration. */
void
entry_update(struct entry *e)
{
	const struct view_config *c = e->proxy->view->config;

	if (c == NULL)
		return;
	e->limits =
	    (struct http_limits){ stated(c->limits.head_bytes, HEAD_DEFAULT),
		    stated(c->limits.body_bytes, BODY_DEFAULT),
		    stated(c->limits.head_ms, HEAD_MS),
		    stated(c->limits.idle_ms, IDLE_MS), bodies_max(e->proxy) };
}

/* Requests with equal fingerprints crash targets alike. */
uint64_t
job_fingerprint(const struct http_message *m, const char *caller)
{
	XXH64_state_t *s = XXH64_createState();
	uint64_t h;

	XXH64_reset(s, 0);
	XXH64_update(s, m->method, strlen(m->method) + 1);
	XXH64_update(s, m->path, strlen(m->path) + 1);
	XXH64_update(s, caller, strlen(caller) + 1);
	XXH64_update(s, m->body->data, m->body->len);
	h = XXH64_digest(s);
	XXH64_freeState(s);
	return h;
}

/* The node's own share of the fleet's budget of repeats to a service. */
static struct spend *
spend_of(struct entry *e, const char *service)
{
	const struct proxy_settings *s = e->proxy->settings;
	struct spend *sp = g_hash_table_lookup(e->spends, service);
	int listed = (int)g_hash_table_size(e->proxy->view->targets);

	/* Entries of targets lapse while their nodes go on. */
	e->nodes = MAX(e->nodes, listed);
	if (sp == NULL) {
		sp = g_new(struct spend, 1);
		spend_init(sp, s->retry_window_ms, 0, 0);
		g_hash_table_insert(e->spends, g_strdup(service), sp);
	}
	/* A node that has read no whole list does not know its part. */
	spend_share(sp, s->retry_ratio, s->retry_slack,
	    e->proxy->view->listed_at > 0 ? e->nodes : 0);
	return sp;
}

/* Takes one repeat from the budget. */
int
entry_spend_repeat(struct entry *e, const char *service, int64_t now)
{
	if (spend_repeat(spend_of(e, service), now)) {
		counter_add(CTR_RETRIES, 1);
		return 1;
	}
	counter_add(CTR_RETRY_DENIED, 1);
	return 0;
}

/* Answers with an error of the node's own. */
static void
reply_error(struct http_exchange *x, struct entry *e, int status, int back_ms,
    const char *why)
{
	struct http_message *m = http_message_new();
	char after[32];

	m->status = status;
	if (back_ms > 0) {
		g_ascii_formatd(after, sizeof(after), "%.3f", back_ms / 1000.0);
		http_add(m, e->proxy->names->retry_after, after);
	}
	http_add(m, "Content-Type", "text/plain");
	g_byte_array_append(m->body, (const guint8 *)why, (guint)strlen(why));
	http_reply(x, m);
	http_message_free(m);
}

/* A whole request has arrived. */
static void
on_request(void *arg, struct http_exchange *exchange, struct http_message *m)
{
	struct entry *e = arg;
	struct view_config *c = e->proxy->view->config;
	const struct view_route *route;
	const char *host = http_find(m, "Host"), *id;
	struct request *r;
	int64_t now = base_now_ms();
	int service;

	counter_add(CTR_CALLS, 1);
	id = http_find(m, e->proxy->names->id);
	if (c == NULL) {
		base_log(G_LOG_LEVEL_INFO, "refused", "id=%s outcome=not_ready",
		    id != NULL ? id : "-");
		reply_error(exchange, e, 503, 300, "no configuration yet\n");
		http_message_free(m);
		return;
	}
	if (e->proxy->last_call_at > 0 && now >= e->proxy->last_call_at) {
		base_log(G_LOG_LEVEL_INFO, "refused", "id=%s outcome=leaving",
		    id != NULL ? id : "-");
		reply_error(exchange, e, 503, BACK_MIN_MS, "leaving\n");
		http_message_free(m);
		return;
	}
	route = view_route(c, host != NULL ? host : "", m->path);
	if (route == NULL && view_may_route(c, host != NULL ? host : "")) {
		refuse_unread(e, exchange, m);
		return;
	}
	if (route == NULL) {
		base_log(G_LOG_LEVEL_INFO, "refused",
		    "id=%s outcome=no_route host=%s path=%s "
		    "version=%" G_GUINT64_FORMAT,
		    id != NULL ? id : "-", host != NULL ? host : "-", m->path,
		    c->version);
		reply_error(exchange, e, 404, 0, "no route\n");
		http_message_free(m);
		return;
	}
	service =
	    view_turn((struct view_route *)route, g_rand_int(e->proxy->rand));
	if (route->unusable || service == VIEW_UNREAD) {
		refuse_unread(e, exchange, m);
		return;
	}
	r = g_new0(struct request, 1);
	r->entry = e;
	r->exchange = exchange;
	r->msg = m;
	r->config = view_config_ref(c);
	r->route = route;
	r->service = c->services[service].name;
	r->id = g_strdup(id != NULL ? id : "");
	r->caller = g_strdup(e->proxy->settings->service);
	r->tried = g_ptr_array_new_with_free_func(g_free);
	r->timer = evtimer_new(e->proxy->base, on_timer, r);
	g_hash_table_add(e->requests, r);
	http_exchange_set(exchange, r);
	set_times(r, now);
	http_strip_hop(m);
	r->job = (struct job){ .msg = m,
		.service = r->service,
		.caller = r->caller,
		.id = r->id,
		.kind = g_str_hash(route->name),
		.fingerprint = job_fingerprint(m, r->caller),
		.priority = route->priority,
		.repeatable = route->repeatable,
		.goal = r->arrived + route->goal_ms,
		.deadline = r->answer_by,
		.head = on_head,
		.piece = on_piece,
		.done = on_done,
		.arg = r };
	offer(r);
}

/*
 * Refuses a request whose route is there, or may be, and is not understood: it
 * was not run, and a later version may let it.
 */
static void
refuse_unread(
    struct entry *e, struct http_exchange *exchange, struct http_message *m)
{
	const char *id = http_find(m, e->proxy->names->id);

	counter_add(CTR_REFUSED_NOT_RUN, 1);
	base_log(G_LOG_LEVEL_INFO, "refused",
	    "id=%s outcome=route_unread path=%s version=%" G_GUINT64_FORMAT,
	    id != NULL ? id : "-", m->path, e->proxy->view->config->version);
	reply_error(exchange, e, 503, UNREAD_BACK_MS, "route not understood\n");
	http_message_free(m);
}

/* Whether a request may be lost with its connection: it may run again. */
static int
may_begin(void *arg, const struct http_message *m)
{
	const struct entry *e = arg;
	const struct view_config *c = e->proxy->view->config;
	const char *host = http_find(m, "Host");
	const struct view_route *route;

	if (c == NULL)
		return 0;
	route = view_route(c, host != NULL ? host : "", m->path);
	return route != NULL && route->repeatable;
}

/* Until when an answer is of use: to the caller, and to the operator. */
static void
set_times(struct request *r, int64_t now)
{
	int64_t left = http_find_int(
	    r->msg, r->entry->proxy->names->remaining_ms, r->route->timeout_ms);
	struct timeval tv;

	r->arrived = now;
	left = MIN(left, r->route->timeout_ms);
	if (r->entry->proxy->last_answer_at > 0)
		left = MAX(MIN(left, r->entry->proxy->last_answer_at - now), 0);
	r->answer_by = now + left;
	left += OVERTIME_MS;
	tv.tv_sec = left / BASE_MS_PER_S;
	tv.tv_usec = left % BASE_MS_PER_S * 1000;
	evtimer_add(r->timer, &tv);
}

/* Offers a request to the next target. */
static void
offer(struct request *r)
{
	struct proxy *p = r->entry->proxy;
	const struct view_target *t;
	char addr[ADDRESS_MAX];
	int64_t now = base_now_ms();

	t = r->gates < GATES_MAX ? choose_target(p, r->service, r->tried, now)
				 : NULL;
	if (t == NULL) {
		refuse(r, r->gates > 0 ? r->last : OUTCOME_NO_TARGET);
		return;
	}
	r->gates++;
	g_ptr_array_add(r->tried, g_strdup(t->addr));
	r->peer = choose_peer(p, t->addr);
	r->peer->inflight++;
	r->local = strcmp(t->addr, p->settings->target) == 0;
	counter_add(CTR_FORWARDS, 1);
	if (r->gates == 1)
		spend_request(spend_of(r->entry, r->service), now);
	base_log(G_LOG_LEVEL_INFO, "offered",
	    "id=%s route=%s service=%s target=%s addr=%s load=%d "
	    "version=%" G_GUINT64_FORMAT,
	    r->id, r->route->name, r->service, t->id, t->addr, r->peer->load,
	    r->config->version);
	if (r->local) {
		gate_submit(&p->gate, &r->job);
		return;
	}
	choose_link(p, t->addr, addr);
	links_submit(&p->links, addr, &r->job);
}

/* Takes over what an outcome says of the gate. */
static void
settle(struct request *r, const struct result *res)
{
	struct peer *peer = r->peer;
	int64_t now = base_now_ms();

	r->peer = NULL;
	peer->inflight--;
	switch (res->outcome) {
	case OUTCOME_UNKNOWN:
	case OUTCOME_UNDELIVERED:
		peer->avoid_until = now + LOST_AVOID_MS;
		return;
	case OUTCOME_BUSY:
		peer->avoid_until = now + BUSY_AVOID_MS;
		break;
	case OUTCOME_REFUSED:
		peer->avoid_until = now + CLAMP(res->retry_after_ms,
					      DOWN_AVOID_MS, DOWN_AVOID_MAX_MS);
		break;
	case OUTCOME_OUT:
	case OUTCOME_RESTARTED:
		peer->avoid_until = now + DOWN_AVOID_MS;
		break;
	default:
		break;
	}
	peer->load = res->load;
	peer->told_at = now;
	peer->told_inflight = peer->inflight;
}

/* Whether one more sending to a target is allowed. */
static int
may_repeat(struct request *r, int64_t now)
{
	if (r->sends >= r->route->attempts || now >= r->answer_by)
		return 0;
	return entry_spend_repeat(r->entry, r->service, now);
}

/* A target's long answer begins: it is passed on as it comes. */
static void
on_head(struct job *j, const struct http_message *m)
{
	struct request *r = j->arg;

	r->sends++;
	r->status = m->status;
	histogram_add(HIST_FIRST_BYTE, base_now_ms() - r->arrived);
	http_reply_begin(r->exchange, m);
}

static void
on_piece(struct job *j, const void *bytes, size_t len)
{
	struct request *r = j->arg;

	http_reply_piece(r->exchange, bytes, len);
}

/* Pieces have left for the caller. */
static void
on_taken(void *arg, struct http_exchange *exchange, size_t n)
{
	struct request *r = http_exchange_data(exchange);
	struct entry *e = arg;

	if (r == NULL || r->peer == NULL)
		return;
	if (r->local)
		gate_take(&e->proxy->gate, &r->job, n);
	else
		links_take(&e->proxy->links, &r->job, n);
}

/* A long answer has ended; one that is not whole breaks off for the caller. */
static void
finish_pieces(struct request *r, const struct result *res)
{
	int whole = res->outcome == OUTCOME_ANSWERED;

	counter_add(whole ? CTR_ANSWERED : CTR_ANSWERS_CUT, 1);
	if (whole)
		histogram_add(HIST_ANSWER, base_now_ms() - r->arrived);
	base_log(G_LOG_LEVEL_INFO, "answered-in-pieces",
	    "id=%s status=%d outcome=%s took_ms=%d gates=%d", r->id, r->status,
	    outcomes[res->outcome].code, (int)(base_now_ms() - r->arrived),
	    r->gates);
	http_reply_end(r->exchange, whole);
	request_free(r);
}

/* An outcome of the current offer. */
static void
on_done(struct job *j, const struct result *res)
{
	struct request *r = j->arg;
	enum call_outcome o = res->outcome;
	int64_t now = base_now_ms();

	settle(r, res);
	r->last = o;
	if (j->in_pieces) {
		finish_pieces(r, res);
		return;
	}
	if (o == OUTCOME_ANSWERED) {
		r->sends++;
		on_answer(r, res->answer);
		return;
	}
	if (outcomes[o].not_run && o != OUTCOME_SHED) {
		if (o == OUTCOME_LATE || o == OUTCOME_POISON)
			refuse(r, o);
		else
			offer(r);
		return;
	}
	r->sends++;
	r->ran |= o != OUTCOME_SHED;
	if ((o == OUTCOME_SHED || r->route->repeatable) && may_repeat(r, now))
		offer(r);
	else
		refuse(r, o);
}

/* A target's answer; a failure may be made good by another target. */
static void
on_answer(struct request *r, struct http_message *m)
{
	int64_t now = base_now_ms();

	if (m->status < 500 || !r->route->repeatable || !may_repeat(r, now)) {
		pass(r, m);
		return;
	}
	http_message_free(r->failure);
	r->failure = http_message_copy(m);
	r->ran = 1;
	offer(r);
}

/* Gives the caller a target's answer, unchanged. */
static void
pass(struct request *r, struct http_message *m)
{
	http_strip_hop(m);
	counter_add(CTR_ANSWERED, 1);
	histogram_add(HIST_ANSWER, base_now_ms() - r->arrived);
	base_log(G_LOG_LEVEL_INFO, "answered",
	    "id=%s status=%d took_ms=%d gates=%d", r->id, m->status,
	    (int)(base_now_ms() - r->arrived), r->gates);
	http_reply(r->exchange, m);
	request_free(r);
}

/* Refuses for good, and tells the caller when to come back if it may. */
static void
refuse(struct request *r, enum call_outcome why)
{
	int64_t now = base_now_ms();
	int status, back = 0;

	if (r->failure != NULL) {
		pass(r, r->failure);
		return;
	}
	if (r->ran)
		status = now >= r->answer_by ? 504 : 502;
	else
		status = 503;
	if (status == 503)
		back = BACK_MIN_MS + g_rand_int_range(r->entry->proxy->rand, 0,
					 r->route->goal_ms / BACK_SHARE + 1);
	counter_add(r->ran ? CTR_REFUSED_UNKNOWN : CTR_REFUSED_NOT_RUN, 1);
	base_log(G_LOG_LEVEL_INFO, "refused",
	    "id=%s route=%s outcome=%s status=%d gates=%d sends=%d took_ms=%d "
	    "back_ms=%d version=%" G_GUINT64_FORMAT,
	    r->id, r->route->name, outcomes[why].code, status, r->gates,
	    r->sends, (int)(now - r->arrived), back, r->config->version);
	reply_error(r->exchange, r->entry, status, back, outcomes[why].code);
	request_free(r);
}

/* Takes the current offer back. */
static void
give_up(struct request *r)
{
	if (r->peer == NULL)
		return;
	r->peer->inflight--;
	r->peer = NULL;
	if (r->local)
		gate_cancel(&r->entry->proxy->gate, &r->job);
	else
		links_cancel(&r->entry->proxy->links, &r->job);
}

/* The caller has gone. */
static void
on_gone(void *arg, struct http_exchange *exchange)
{
	struct request *r = http_exchange_data(exchange);

	(void)arg;
	if (r == NULL)
		return;
	base_log(G_LOG_LEVEL_INFO, "cancelled", "id=%s took_ms=%d", r->id,
	    (int)(base_now_ms() - r->arrived));
	give_up(r);
	request_free(r);
}

/* The route's timeout has passed, or the caller's. */
static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct request *r = arg;

	(void)fd;
	(void)what;
	if (r->peer != NULL && (!r->local || r->job.sending != NULL))
		r->ran = 1;
	give_up(r);
	if (r->job.in_pieces)
		finish_pieces(
		    r, &(struct result){ .outcome = OUTCOME_EXPIRED });
	else
		refuse(r, OUTCOME_EXPIRED);
}

/* Gives each request whose answer has not begun a final one. */
void
entry_give_up(struct entry *e)
{
	GList *all = g_hash_table_get_keys(e->requests), *i;
	struct request *r;

	for (i = all; i != NULL; i = i->next) {
		r = i->data;
		if (g_hash_table_contains(e->requests, r) && !r->job.in_pieces)
			on_timer(-1, 0, r);
	}
	g_list_free(all);
}

/* Releases a request. */
static void
request_free(struct request *r)
{
	g_hash_table_remove(r->entry->requests, r);
	event_free(r->timer);
	http_message_free(r->msg);
	http_message_free(r->failure);
	view_config_unref(r->config);
	g_ptr_array_free(r->tried, TRUE);
	g_free(r->id);
	g_free(r->caller);
	g_free(r);
}
