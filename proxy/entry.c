/*
 * The entry: receives requests from the VM's callers and its target, offers
 * each to suitable targets, and returns the answer of one or a refusal that
 * says whether the request may have run.
 */
#include <string.h>

#include <xxhash.h>

#include "entry_int.h"

/* Added to a route's timeout, so that the guard's answer arrives first. */
#define TIMEOUT_SLACK_MS 100
/*
 * Time before a request's deadline at which its guard is asked whether it was
 * started, but no more than its time limit divided by ASK_DIVISOR.  A refusal
 * takes less than 20 ms on a full link, and what could start and end within the
 * rest is little.
 */
#define ASK_MS	    50
#define ASK_DIVISOR 10
/* All request bodies together may use memory_mb divided by this. */
#define BODY_MEMORY_DIVISOR 8
/* Limits until a configuration sets them. */
#define HEAD_BYTES_DEFAULT 16384
#define BODY_BYTES_DEFAULT 1048576
#define HEAD_TIMEOUT_MS	   3000
#define IDLE_TIMEOUT_MS	   15000
/* Retry-After of a route not parsed; a later configuration may repair it. */
#define UNREADABLE_RETRY_MS 1000

static void on_request(void *, struct http_exchange *, struct http_message *);
static int may_pipeline(void *, const struct http_message *);
static int64_t body_memory_max(const struct proxy *);
static int limit_or_default(int, int);
static void refuse_unreadable(
    struct entry *, struct http_exchange *, struct http_message *);
static void
refuse_leaving(struct entry *, struct http_exchange *, struct http_message *);
static int64_t time_left(const struct entry *, const struct view_route *,
    const struct http_message *);
static int64_t age_ms(struct request *);
static void set_deadline(struct request *, int64_t);
static void set_timer(struct request *, int64_t);
static void on_ask(evutil_socket_t, short, void *);

/* Listens for callers; returns PROXY_OK or PROXY_ELISTEN. */
int
entry_open(struct entry *e, struct proxy *p)
{
	struct http_server_calls calls = { e, on_request, request_on_disconnect,
		may_pipeline, request_on_written };

	e->proxy = p;
	e->limits =
	    (struct http_limits){ HEAD_BYTES_DEFAULT, BODY_BYTES_DEFAULT,
		    HEAD_TIMEOUT_MS, IDLE_TIMEOUT_MS, body_memory_max(p) };
	e->requests = g_hash_table_new(NULL, NULL);
	e->retry_quotas =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	e->caller_ages = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	e->answer_times = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	e->server =
	    http_server_new(p->base, p->settings->callers, &e->limits, &calls);
	return e->server != NULL ? PROXY_OK : PROXY_ELISTEN;
}

/* Closes all connections; pending requests are cancelled. */
void
entry_close(struct entry *e)
{
	http_server_free(e->server);
	g_hash_table_destroy(e->requests);
	g_hash_table_destroy(e->retry_quotas);
	g_hash_table_destroy(e->caller_ages);
	g_hash_table_destroy(e->answer_times);
}

/* Bytes that all request bodies may use together. */
static int64_t
body_memory_max(const struct proxy *p)
{
	return p->settings->memory_mb * (int64_t)(1024 * 1024) /
	       BODY_MEMORY_DIVISOR;
}

/* A limit of the configuration, or the default if it is below 0: not set. */
static int
limit_or_default(int limit, int dflt)
{
	return limit >= 0 ? limit : dflt;
}

/* Applies the limits of the configuration. */
void
entry_update(struct entry *e)
{
	const struct view_config *c = e->proxy->view->config;

	if (c == NULL)
		return;
	e->limits = (struct http_limits){ limit_or_default(c->limits.head_bytes,
					      HEAD_BYTES_DEFAULT),
		limit_or_default(c->limits.body_bytes, BODY_BYTES_DEFAULT),
		limit_or_default(c->limits.head_ms, HEAD_TIMEOUT_MS),
		limit_or_default(c->limits.idle_ms, IDLE_TIMEOUT_MS),
		body_memory_max(e->proxy) };
}

/*
 * Hashes method, path and body.  The caller's service is left out, as the same
 * request may arrive at any VM and crashes targets just the same.
 */
uint64_t
request_fingerprint(const struct http_message *m)
{
	XXH64_state_t *s = XXH64_createState();
	uint64_t h;

	XXH64_reset(s, 0);
	XXH64_update(s, m->method, strlen(m->method) + 1);
	XXH64_update(s, m->path, strlen(m->path) + 1);
	XXH64_update(s, m->body->data, m->body->len);
	h = XXH64_digest(s);
	XXH64_freeState(s);
	return h;
}

/* Returns the retry quota of a service, with the node's current share. */
struct retry_quota *
entry_retry_quota(struct entry *e, const char *service)
{
	const struct proxy_settings *s = e->proxy->settings;
	struct retry_quota *quota =
	    g_hash_table_lookup(e->retry_quotas, service);
	int ntargets = (int)g_hash_table_size(e->proxy->view->targets);

	/* A target may expire in the view while its node still runs. */
	e->nodes_max = MAX(e->nodes_max, ntargets);
	if (quota == NULL) {
		quota = g_new(struct retry_quota, 1);
		retry_quota_init(quota, s->retry_window_ms, 0, 0);
		g_hash_table_insert(e->retry_quotas, g_strdup(service), quota);
	}
	/* Before the first full list the number of nodes is unknown. */
	retry_quota_share(quota, s->retry_ratio, s->retry_slack,
	    e->proxy->view->listed_revision.number > 0 ? e->nodes_max : 0);
	return quota;
}

/* Takes one retry from the quota; a call may use its reserve. */
enum retry_taken
entry_take_retry(struct entry *e, const char *service, int is_call, int64_t now)
{
	struct retry_quota *q = entry_retry_quota(e, service);
	enum retry_taken taken;

	if (is_call)
		taken = retry_quota_take_call(q, now);
	else
		taken = retry_quota_take(q, now) ? RETRY_SHARED : RETRY_DENIED;
	counter_add(taken != RETRY_DENIED ? CTR_RETRIES : CTR_RETRY_DENIED, 1);
	if (taken == RETRY_RESERVE)
		counter_add(CTR_RETRY_RESERVE, 1);
	return taken;
}

/* Sends an error of this node's own, with a Retry-After if a delay is given. */
void
entry_reply_error(struct http_exchange *x, struct entry *e, int status,
    int retry_after_ms, const char *why)
{
	struct http_message *m = http_message_new();
	char after[32];

	m->status = status;
	if (retry_after_ms > 0) {
		g_ascii_formatd(
		    after, sizeof(after), "%.3f", retry_after_ms / 1000.0);
		http_add(m, e->proxy->names->retry_after, after);
	}
	http_add(m, "Content-Type", "text/plain");
	g_byte_array_append(m->body, (const guint8 *)why, (guint)strlen(why));
	http_reply(x, m);
	http_message_free(m);
}

/* Routes a complete request, or refuses it if no route can be used. */
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
		entry_reply_error(
		    exchange, e, 503, 300, "no configuration yet\n");
		http_message_free(m);
		return;
	}
	if (e->proxy->last_call_at > 0 && now >= e->proxy->last_call_at) {
		refuse_leaving(e, exchange, m);
		return;
	}
	route = view_route(c, host != NULL ? host : "", m->path);
	if (route == NULL &&
	    view_has_unparsed_route(c, host != NULL ? host : "")) {
		refuse_unreadable(e, exchange, m);
		return;
	}
	if (route == NULL) {
		base_log(G_LOG_LEVEL_INFO, "refused",
		    "id=%s outcome=no_route host=%s path=%s "
		    "version=%" G_GUINT64_FORMAT,
		    id != NULL ? id : "-", host != NULL ? host : "-", m->path,
		    c->version);
		entry_reply_error(exchange, e, 404, 0, "no route\n");
		http_message_free(m);
		return;
	}
	service = view_next_service(
	    (struct view_route *)route, g_rand_int(e->proxy->rand));
	if (route->unusable || service == VIEW_SERVICE_UNKNOWN) {
		refuse_unreadable(e, exchange, m);
		return;
	}
	if (!leaving_can_end(
		e, g_str_hash(route->name), time_left(e, route, m), now)) {
		refuse_leaving(e, exchange, m);
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
	r->tried = g_ptr_array_new();
	r->timer = evtimer_new(e->proxy->base, on_ask, r);
	g_hash_table_add(e->requests, r);
	http_exchange_set(exchange, r);
	set_deadline(r, now);
	http_strip_hop(m);
	r->job = (struct job){ .msg = m,
		.service = r->service,
		.caller = r->caller,
		.id = r->id,
		.kind = g_str_hash(route->name),
		.fingerprint = request_fingerprint(m),
		.priority = route->priority,
		.repeatable = route->repeatable,
		.is_call = call_reports_is_call(
		    &e->call_reports, g_str_hash(route->name)),
		.goal = r->arrived + route->goal_ms - age_ms(r),
		.deadline = r->answer_by,
		.head = request_on_head,
		.piece = request_on_piece,
		.done = request_on_done,
		.arg = r };
	request_offer(r);
}

/*
 * Refuses a request whose route exists, or may exist, but could not be read.
 * It was not run, and a later configuration may make the route usable.
 */
static void
refuse_unreadable(
    struct entry *e, struct http_exchange *exchange, struct http_message *m)
{
	const char *id = http_find(m, e->proxy->names->id);

	counter_add(CTR_REFUSED_NOT_RUN, 1);
	base_log(G_LOG_LEVEL_INFO, "refused",
	    "id=%s outcome=route_unread path=%s version=%" G_GUINT64_FORMAT,
	    id != NULL ? id : "-", m->path, e->proxy->view->config->version);
	entry_reply_error(
	    exchange, e, 503, UNREADABLE_RETRY_MS, "route not understood\n");
	http_message_free(m);
}

/* Refuses a request, as this node is about to stop. */
static void
refuse_leaving(
    struct entry *e, struct http_exchange *exchange, struct http_message *m)
{
	const char *id = http_find(m, e->proxy->names->id);

	base_log(G_LOG_LEVEL_INFO, "refused", "id=%s outcome=leaving",
	    id != NULL ? id : "-");
	entry_reply_error(exchange, e, 503, RETRY_AFTER_MIN_MS, "leaving\n");
	http_message_free(m);
}

/*
 * Whether a pipelined request may start before the ones ahead of it are
 * answered.  If the connection then closes, the caller cannot tell if it ran,
 * so only repeatable requests may.
 */
static int
may_pipeline(void *arg, const struct http_message *m)
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

/* Time limit of a request in ms: the caller's or the route's. */
static int64_t
time_left(const struct entry *e, const struct view_route *route,
    const struct http_message *m)
{
	int64_t left =
	    http_find_int(m, e->proxy->names->remaining_ms, route->timeout_ms);

	return MIN(left, route->timeout_ms);
}

/* Sets the timer of a request to left_ms from now. */
static void
set_timer(struct request *r, int64_t left_ms)
{
	struct timeval tv;

	tv.tv_sec = left_ms / BASE_MS_PER_S;
	tv.tv_usec = left_ms % BASE_MS_PER_S * 1000;
	evtimer_add(r->timer, &tv);
}

/*
 * Time since the caller's first attempt, in ms.  The limit of a call is what is
 * left to its parent, so it shows nothing.
 */
static int64_t
age_ms(struct request *r)
{
	struct entry *e = r->entry;
	gpointer kind = GUINT_TO_POINTER(g_str_hash(r->route->name));
	struct caller_age *a;
	int64_t left;

	left = http_find_int(r->msg, e->proxy->names->remaining_ms, -1);
	if (left < 0 ||
	    call_reports_is_call(&e->call_reports, GPOINTER_TO_UINT(kind)))
		return 0;
	a = g_hash_table_lookup(e->caller_ages, kind);
	if (a == NULL) {
		/* Routes that are gone leave theirs behind. */
		if (g_hash_table_size(e->caller_ages) >= KINDS_MAX)
			g_hash_table_remove_all(e->caller_ages);
		a = g_new0(struct caller_age, 1);
		g_hash_table_insert(e->caller_ages, kind, a);
	}
	return r->age_ms = caller_age_record(a, left);
}

/*
 * Sets deadline and timer: the earliest of the caller's, route's and node's.
 * Shortly before, it is asked whether the request was started.
 */
static void
set_deadline(struct request *r, int64_t now)
{
	int64_t left = time_left(r->entry, r->route, r->msg);

	r->arrived = now;
	r->leaves_at = now + http_find_int(r->msg,
				 r->entry->proxy->names->remaining_ms, left);
	if (r->entry->proxy->last_answer_at > 0)
		left = MAX(MIN(left, r->entry->proxy->last_answer_at - now), 0);
	r->answer_by = now + left;
	set_timer(r, left - MIN(ASK_MS, left / ASK_DIVISOR));
}

/* Shortly before its deadline, a request is given up unless it was started. */
static void
on_ask(evutil_socket_t fd, short what, void *arg)
{
	struct request *r = arg;

	(void)fd;
	(void)what;
	event_assign(
	    r->timer, r->entry->proxy->base, -1, 0, request_on_timer, r);
	set_timer(r, MAX(r->answer_by - base_now_ms(), 0) + TIMEOUT_SLACK_MS);
	request_ask(r);
}

/*
 * Refuses all requests except those whose answer is being streamed; called when
 * the process is about to be killed.
 */
void
entry_expire_requests(struct entry *e)
{
	GList *all = g_hash_table_get_keys(e->requests), *i;
	struct request *r;

	for (i = all; i != NULL; i = i->next) {
		r = i->data;
		if (g_hash_table_contains(e->requests, r) && !r->job.in_pieces)
			request_on_timer(-1, 0, r);
	}
	g_list_free(all);
}