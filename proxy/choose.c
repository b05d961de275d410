/* Load balancing: choice of the target that a request is offered to next. */
#include <string.h>

#include "proxy_int.h"

static void reset_areas(struct proxy *);
static int area_of(struct proxy *, const char *);
static void list_target(struct proxy *, const struct view_target *);
static void build_index(struct proxy *);
static void service_free(gpointer);
static int is_tried(const GPtrArray *, const struct peer *);
static void
forecast_own(struct proxy *, const struct job *, const struct forecast_query *,
    const struct listed_target *, struct forecast *);

/* The index is built with the first choice. */
void
choose_init(struct proxy *p)
{
	struct target_index *x = &p->targets;

	x->services = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, service_free);
	x->areas = g_ptr_array_new_with_free_func(g_free);
	x->is_stale = 1;
	x->usable = g_ptr_array_new();
	x->forecasts = g_array_new(FALSE, FALSE, sizeof(struct forecast));
}

/* Releases the index; the peers are released by their own table. */
void
choose_clear(struct proxy *p)
{
	g_hash_table_destroy(p->targets.services);
	g_ptr_array_free(p->targets.areas, TRUE);
	g_ptr_array_free(p->targets.usable, TRUE);
	g_array_free(p->targets.forecasts, TRUE);
}

/* Returns the state of a target by its address, created if new; not owned. */
struct peer *
peer_get(struct proxy *p, const char *addr)
{
	struct peer *peer = g_hash_table_lookup(p->peers, addr);

	if (peer == NULL) {
		peer = g_new0(struct peer, 1);
		g_strlcpy(peer->addr, addr, sizeof(peer->addr));
		g_hash_table_insert(p->peers, peer->addr, peer);
	}
	return peer;
}

/*
 * A refusal for load depends on the run time, limit and priority of the kind,
 * so it says nothing about another one.  The earliest entry is replaced.
 */
void
peer_set_busy(struct peer *peer, uint32_t kind, int64_t until)
{
	int i, at = 0;

	for (i = 0; i < PEER_BUSY_KINDS; i++) {
		if (peer->busy[i].kind == kind) {
			at = i;
			break;
		}
		if (peer->busy[i].until < peer->busy[at].until)
			at = i;
	}
	peer->busy[at].kind = kind;
	peer->busy[at].until = until;
}

/* Entries that have passed are kept until they are replaced. */
int64_t
peer_busy_until(const struct peer *peer, uint32_t kind)
{
	int i;

	for (i = 0; i < PEER_BUSY_KINDS; i++)
		if (peer->busy[i].kind == kind)
			return peer->busy[i].until;
	return 0;
}

/*
 * Writes the link address of the node beside a target: the target's host, and
 * the port of this node's own link address, which all nodes use.
 */
void
peer_link_addr(const struct proxy *p, const char *addr, char *buf)
{
	const char *host_end = strrchr(addr, ':');
	const char *port = strrchr(p->settings->links, ':');

	g_snprintf(buf, ADDRESS_MAX, "%.*s%s", (int)(host_end - addr), addr,
	    port != NULL ? port : "");
}

/* A node that has started again is reached by a new link. */
void
peers_set_leaving(struct proxy *p, const char *link_addr, int leaving)
{
	char addr[ADDRESS_MAX];
	struct peer *peer;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, p->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		peer = value;
		peer_link_addr(p, peer->addr, addr);
		if (strcmp(addr, link_addr) == 0)
			peer->leaving = leaving;
	}
}

/* Frees a service's targets; called by its table. */
static void
service_free(gpointer data)
{
	struct service_targets *s = data;

	g_array_free(s->listed, TRUE);
	g_free(s);
}

/* Returns the targets of a service; without any if it is new. */
struct service_targets *
choose_service(struct proxy *p, const char *service)
{
	struct service_targets *s =
	    g_hash_table_lookup(p->targets.services, service);

	if (s == NULL) {
		s = g_new0(struct service_targets, 1);
		s->listed =
		    g_array_new(FALSE, FALSE, sizeof(struct listed_target));
		g_hash_table_insert(p->targets.services, g_strdup(service), s);
	}
	return s;
}

/* Numbers the data centres anew if that of this node has changed. */
static void
reset_areas(struct proxy *p)
{
	GPtrArray *areas = p->targets.areas;
	const char *own = p->settings->data_centre;
	struct service_targets *s;
	GHashTableIter it;
	gpointer value;

	if (areas->len > 0 && strcmp(g_ptr_array_index(areas, 0), own) == 0)
		return;
	g_ptr_array_set_size(areas, 0);
	g_ptr_array_add(areas, g_strdup(own));
	g_hash_table_iter_init(&it, p->targets.services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		s = value;
		memset(s->means.areas, 0, sizeof(s->means.areas));
	}
}

/* Number of a data centre; those beyond the table share the last number. */
static int
area_of(struct proxy *p, const char *dc)
{
	GPtrArray *areas = p->targets.areas;
	guint i;

	for (i = 0; i < areas->len; i++)
		if (strcmp(g_ptr_array_index(areas, i), dc) == 0)
			return (int)i;
	if (areas->len == FORECAST_AREAS)
		return FORECAST_AREAS - 1;
	g_ptr_array_add(areas, g_strdup(dc));
	return (int)areas->len - 1;
}

/* Adds a target to the index; one of another service begins without reports. */
static void
list_target(struct proxy *p, const struct view_target *t)
{
	struct service_targets *s = choose_service(p, t->service);
	struct listed_target listed = { .target = t,
		.peer = peer_get(p, t->addr),
		.is_own = strcmp(t->addr, p->settings->target) == 0,
		.is_out = view_is_out(p->view, t->dc) };
	struct peer *peer = listed.peer;

	if (peer->service != s) {
		peer->forecast =
		    (struct forecast_target){ .inflight =
						  peer->forecast.inflight };
		peer->service = s;
	}
	peer->area = area_of(p, t->dc);
	g_array_append_val(s->listed, listed);
}

/* Builds the index from the view, unless that is unchanged. */
static void
build_index(struct proxy *p)
{
	struct target_index *x = &p->targets;
	GHashTableIter it;
	gpointer value;

	if (!x->is_stale && x->changes == p->view->changes)
		return;
	reset_areas(p);
	g_hash_table_iter_init(&it, x->services);
	while (g_hash_table_iter_next(&it, NULL, &value))
		g_array_set_size(((struct service_targets *)value)->listed, 0);
	g_hash_table_iter_init(&it, p->view->targets);
	while (g_hash_table_iter_next(&it, NULL, &value))
		list_target(p, value);
	x->changes = p->view->changes;
	x->is_stale = 0;
}

/* Whether the request was offered to this target's address before. */
static int
is_tried(const GPtrArray *tried, const struct peer *peer)
{
	guint i;

	for (i = 0; i < tried->len; i++)
		if (g_ptr_array_index(tried, i) == peer)
			return 1;
	return 0;
}

/* The reasons are constant strings. */
const char *
choose_unusable(const struct listed_target *l, uint32_t kind,
    const GPtrArray *tried, int64_t now)
{
	if (l->target->state != VIEW_READY)
		return "draining";
	if (l->is_out)
		return "out";
	if (l->peer->leaving)
		return "leaving";
	if (l->peer->avoid_until > now || peer_busy_until(l->peer, kind) > now)
		return "avoided";
	if (tried != NULL && is_tried(tried, l->peer))
		return "tried";
	return NULL;
}

/* The own guard's state is known at all times. */
static void
forecast_own(struct proxy *p, const struct job *j,
    const struct forecast_query *q, const struct listed_target *l,
    struct forecast *f)
{
	struct forecast_target own = l->peer->forecast;
	struct forecast_report r = { .priority = j->priority,
		.load = proxy_guard_load(&p->guard) };

	proxy_guard_estimate(&p->guard, j, &r.estimate);
	forecast_refresh(&own, &r, q->now);
	own.link_ms = 0;
	forecast_target(q, &own, l->peer->area, l->target->slots, f);
}

/* The arrays keep their size, so that no memory is allocated each time. */
void
choose_compare(struct proxy *p, const struct job *j, int goal_ms,
    const GPtrArray *tried, int64_t now, struct comparison *c)
{
	struct target_index *x = &p->targets;
	struct service_targets *s;
	struct listed_target *l;
	struct forecast f;
	guint i;

	build_index(p);
	s = choose_service(p, j->service);
	forecast_query(&c->query, &s->means, j->kind, j->priority, goal_ms,
	    j->goal - now, now);
	/*
	 * A target that refused it takes only what it can answer in time, so
	 * its forecast does not show that it is full.
	 */
	if (tried->len > 0)
		c->query.margin_ms = 0;
	g_ptr_array_set_size(x->usable, 0);
	g_array_set_size(x->forecasts, 0);
	for (i = 0; i < s->listed->len; i++) {
		l = &g_array_index(s->listed, struct listed_target, i);
		if (choose_unusable(l, j->kind, tried, now) != NULL)
			continue;
		if (l->is_own)
			forecast_own(p, j, &c->query, l, &f);
		else
			forecast_target(&c->query, &l->peer->forecast,
			    l->peer->area, l->target->slots, &f);
		g_ptr_array_add(x->usable, l);
		g_array_append_val(x->forecasts, f);
	}
	c->usable = x->usable;
	c->forecasts = x->forecasts;
}

/* The result is valid until the view changes. */
const struct listed_target *
choose_target(struct proxy *p, const struct job *j, int goal_ms,
    const GPtrArray *tried, int64_t now, struct forecast *f)
{
	const struct forecast *all;
	struct comparison c;
	int i;

	choose_compare(p, j, goal_ms, tried, now, &c);
	all = (const struct forecast *)(void *)c.forecasts->data;
	i = forecast_choose(
	    &c.query, all, (int)c.forecasts->len, g_rand_double(p->rand));
	if (i < 0)
		return NULL;
	*f = all[i];
	return g_ptr_array_index(c.usable, i);
}

/* A guard of another service than the entry expected knows other kinds. */
void
peer_reported(struct proxy *p, struct peer *peer, const struct job *j,
    const struct job_result *res, int64_t now)
{
	struct forecast_report r = { j->kind, j->priority, res->load,
		res->estimate };

	if (res->outcome == OUTCOME_RESTARTED)
		return;
	peer->load = res->load;
	forecast_reported(&choose_service(p, j->service)->means, peer->area,
	    &peer->forecast, &r, now);
}

/* The time that the guard had reported before the offer is compared with it. */
void
peer_answered(struct proxy *p, struct peer *peer, const struct job *j,
    const struct forecast *f, int64_t took_ms, int64_t now)
{
	forecast_measured(&choose_service(p, j->service)->means, peer->area,
	    &peer->forecast, (double)took_ms, f->told_ms, now);
}
