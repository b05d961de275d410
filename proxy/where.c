/* Explains where a request would go now, without sending it. */
#include <inttypes.h>
#include <string.h>

#include "proxy_int.h"

#define CHOICES 100 /* random numbers by which the shares are found */

static int compare_targets(gconstpointer, gconstpointer, gpointer);
static void count_choices(const struct comparison *, int *);
static void print_target(
    struct proxy *, const struct listed_target *, uint32_t, int64_t, GString *);
static void print_forecast(const struct forecast *, int, GString *);
static void print_service(
    struct proxy *, const struct view_route *, const char *, GString *);

/* Own data centre first, then by data centre and id. */
static int
compare_targets(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct view_target *x = ((const struct listed_target *)a)->target;
	const struct view_target *y = ((const struct listed_target *)b)->target;
	const struct proxy *p = arg;
	int own_x = strcmp(x->dc, p->settings->data_centre) == 0;
	int own_y = strcmp(y->dc, p->settings->data_centre) == 0;
	int order;

	if (own_x != own_y)
		return own_y - own_x;
	order = strcmp(x->dc, y->dc);
	return order != 0 ? order : strcmp(x->id, y->id);
}

/* Counts how often each usable target is chosen by CHOICES random numbers. */
static void
count_choices(const struct comparison *c, int *counts)
{
	const struct forecast *all =
	    (const struct forecast *)(void *)c->forecasts->data;
	int i, chosen;

	for (i = 0; i < CHOICES; i++) {
		chosen = forecast_choose(&c->query, all, (int)c->forecasts->len,
		    (i + 0.5) / CHOICES);
		if (chosen >= 0)
			counts[chosen]++;
	}
}

/* What is known of a target without a forecast. */
static void
print_target(struct proxy *p, const struct listed_target *l, uint32_t kind,
    int64_t now, GString *out)
{
	const char *why = choose_unusable(l, kind, NULL, now);
	int64_t until =
	    MAX(l->peer->avoid_until, peer_busy_until(l->peer, kind));

	g_string_append_printf(out,
	    "  target %s addr=%s data_centre=%s state=%s slots=%d",
	    l->target->id, l->target->addr, l->target->dc,
	    why != NULL ? why : "ready", l->target->slots);
	if (l->is_own)
		g_string_append_printf(out,
		    " beside=1 running=%u usable_slots=%d",
		    p->guard.running->len, p->guard.admit.slots);
	if (until > now)
		g_string_append_printf(
		    out, " avoided_ms=%" PRId64, until - now);
}

/* The numbers by which a target is compared; see forecast.h. */
static void
print_forecast(const struct forecast *f, int count, GString *out)
{
	g_string_append_printf(out,
	    " load=%d expected_ms=%d run_ms=%d wait_ms=%d link_ms=%d "
	    "delay_ms=%d score_ms=%d fresh=%d chosen_percent=%d",
	    (int)(f->load * 100), (int)(f->total_ms - f->crowd_ms),
	    (int)f->run_ms, (int)f->wait_ms, (int)f->link_ms, (int)f->delay_ms,
	    (int)f->total_ms, (int)(f->fresh * 100), count * 100 / CHOICES);
}

/* Lists the targets of a service as they are compared for a new request. */
static void
print_service(struct proxy *p, const struct view_route *r, const char *service,
    GString *out)
{
	int64_t now = base_now_ms();
	struct job j = { .service = service,
		.kind = g_str_hash(r->name),
		.priority = r->priority,
		.repeatable = r->repeatable,
		.goal = now + r->goal_ms,
		.deadline = now + r->timeout_ms };
	GPtrArray *tried = g_ptr_array_new();
	struct comparison c;
	struct listed_target *l;
	GArray *listed;
	int *counts;
	guint i, k;

	choose_compare(p, &j, r->goal_ms, tried, now, &c);
	counts = g_new0(int, c.forecasts->len + 1);
	count_choices(&c, counts);
	/* The comparison refers to the index, so a copy is sorted. */
	listed = g_array_copy(choose_service(p, service)->listed);
	g_array_sort_with_data(listed, compare_targets, p);
	for (i = 0; i < listed->len; i++) {
		l = &g_array_index(listed, struct listed_target, i);
		print_target(p, l, j.kind, now, out);
		for (k = 0; k < c.usable->len; k++)
			if (((struct listed_target *)g_ptr_array_index(
				 c.usable, k))
				->peer == l->peer)
				print_forecast(&g_array_index(c.forecasts,
						   struct forecast, k),
				    counts[k], out);
		g_string_append_c(out, '\n');
	}
	g_array_free(listed, TRUE);
	g_ptr_array_free(tried, TRUE);
	g_free(counts);
}

/*
 * A route's round-robin is not advanced, so all services of its split are
 * listed.
 */
void
proxy_explain(struct proxy *p, const char *host, const char *path, GString *out)
{
	const struct view_config *c = p->view->config;
	const struct view_route *r;
	const char *name;
	int i;

	if (c == NULL) {
		g_string_append(out, "no configuration\n");
		return;
	}
	g_string_append_printf(out,
	    "node %s data_centre=%s version=%" PRIu64 "\n", p->settings->name,
	    p->settings->data_centre, c->version);
	if ((r = view_route(c, host, path)) == NULL) {
		g_string_append(
		    out, view_has_unparsed_route(c, host)
			     ? "no route; one that cannot be read may match\n"
			     : "no route\n");
		return;
	}
	g_string_append_printf(out,
	    "route %s host=%s prefix=%s priority=%d repeatable=%d goal_ms=%d "
	    "timeout_ms=%d attempts=%d%s\n",
	    r->name, r->host, r->prefix, r->priority, r->repeatable, r->goal_ms,
	    r->timeout_ms, r->attempts,
	    r->unusable ? " refused, as a part cannot be read" : "");
	for (i = 0; i < r->nparts; i++) {
		if (r->parts[i].service == VIEW_SERVICE_UNKNOWN) {
			g_string_append(out, "service cannot be read\n");
			continue;
		}
		name = c->services[r->parts[i].service].name;
		g_string_append_printf(
		    out, "service %s weight=%d\n", name, r->parts[i].weight);
		print_service(p, r, name, out);
	}
}
