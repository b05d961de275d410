/*
 * Acceptance of callers' requests, on the servers' threads: matches the route,
 * reads the id and the deadline, and refuses at once what cannot be forwarded.
 */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "entry_int.h"

/* Retry-After of refusals for the state of this entry, as while it starts. */
#define NOT_READY_RETRY_MS 1000

static uint64_t hash_request(const struct server_request *);
static int64_t read_deadline(const struct server_request *, int);
static enum call_outcome
read_id(const struct server_request *, struct entry_call *, const char **);
static enum call_outcome read_request(struct node *, struct server_request *,
    struct entry_call *, int, const char **);
static void accept_request(struct node *, struct server_request *, int);

/* Accepts a request from a caller outside. */
void
entry_submit_from_caller(void *arg, struct server_request *r)
{
	accept_request(arg, r, 0);
}

/* Accepts a request from the local target. */
void
entry_submit_from_service(void *arg, struct server_request *r)
{
	accept_request(arg, r, 1);
}

/* Hash of method, path and body; guards count equal requests' crashes by it. */
static uint64_t
hash_request(const struct server_request *r)
{
	XXH64_hash_t h;

	h = XXH3_64bits(r->method, strlen(r->method));
	h = XXH3_64bits_withSeed(r->path, strlen(r->path), h);
	return XXH3_64bits_withSeed(r->body->data, r->body->len, h);
}

/*
 * The deadline, monotonic ms: the route's, or the caller's if it is earlier.  A
 * header that is not a whole number of ms is ignored.
 */
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
 * Reads the caller's id, if there is one.  An at-most-once request needs an id
 * that contains its creation time: by it, a guard can distinguish a new id
 * from one that is older than the ids it stores and may have run before.
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

/*
 * Matches the route and fills in a call.  Returns OUTCOME_ANSWERED if it can be
 * forwarded, else the reason for a refusal.
 */
static enum call_outcome
read_request(struct node *n, struct server_request *r, struct entry_call *ec,
    int internal, const char **detail)
{
	const struct config *cfg;
	const struct set_route *route;
	enum call_outcome out = OUTCOME_ANSWERED;
	int i;

	if (g_atomic_int_get(&n->entry->leaving))
		return OUTCOME_LEAVING;
	if (g_atomic_int_get(&n->entry->inflight) >=
	    g_atomic_int_get(&n->settings.calls_max))
		return OUTCOME_TOO_MANY;
	config_read_lock();
	cfg = config_get(n->config);
	if (cfg == NULL || !g_atomic_int_get(&n->ready)) {
		out = OUTCOME_NOT_READY;
	} else if ((i = set_match_route(cfg->set, r->method, r->path)) < 0) {
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
	config_read_unlock();
	if (out != OUTCOME_ANSWERED)
		return out;
	return read_id(r, ec, detail);
}

/* Accepts a complete request: posts a call to the loop, or refuses it. */
static void
accept_request(struct node *n, struct server_request *r, int internal)
{
	struct refusal ref = { .not_run = 1 };
	struct entry_call *ec;
	enum call_outcome out;

	counter_add(CTR_CALLS, 1);
	ec = g_new0(struct entry_call, 1);
	out = read_request(n, r, ec, internal, &ref.detail);
	if (out != OUTCOME_ANSWERED) {
		ref.outcome = out;
		/* An earlier request with the caller's own id may have run. */
		ref.not_run = !outcomes[out].repeat ||
			      server_header(r, ID_HEADER) == NULL;
		ref.id = ec->call.id[0] != '\0' ? ec->call.id : NULL;
		if (outcomes[out].repeat)
			ref.retry_after_ms = NOT_READY_RETRY_MS;
		refusal_reply(r, &ref);
		g_free(ec);
		return;
	}
	ec->req = r;
	ec->fingerprint = hash_request(r);
	ec->began_us = base_now_us();
	trace_new_span(&ec->trace, server_header(r, TRACE_HEADER));
	g_atomic_int_inc(&n->entry->inflight);
	mailbox_post(&n->mailbox, EVENT_CALL, ec);
}
