/*
 * How many of the target's slots its guard uses: the fewest that the outlier
 * detection and the slow start allow.
 */
#include "guard_int.h"

static const struct view_service *find_service(const struct proxy_guard *);
static void log_begin(const struct proxy_guard *);
static void log_step(const struct proxy_guard *, const char *, uint32_t);

/* The service beside the node, or NULL while it is not configured. */
static const struct view_service *
find_service(const struct proxy_guard *g)
{
	const struct view_config *c = g->proxy->view->config;
	int i;

	i = c != NULL ? view_find_service(c, g->proxy->settings->service) : -1;
	return i >= 0 ? &c->services[i] : NULL;
}

/* The load, plus the percentage shed, so that entries prefer other targets. */
int
proxy_guard_load(const struct proxy_guard *g)
{
	return admit_load(&g->admit, base_now_ms()) +
	       outlier_shed_percent(&g->outlier);
}

/* The end of an ejection begins a slow start. */
void
proxy_guard_set_slots(struct proxy_guard *g)
{
	int ejected = g->outlier.ejected;

	if (g->was_ejected && !ejected) {
		g->was_ejected = 0;
		proxy_guard_slow_start(g, SLOW_START_EJECTION);
	}
	g->was_ejected = ejected;
	admit_set_slots(&g->admit,
	    MIN(outlier_slots(&g->outlier, g->slots),
		slow_start_slots(&g->slow_start, g->slots, base_now_ms())));
}

/* Logs the begin of a slow start; ratio is 0 unless run times caused it. */
static void
log_begin(const struct proxy_guard *g)
{
	const struct slow_start *s = &g->slow_start;

	base_log(G_LOG_LEVEL_MESSAGE, "gate-slow-start",
	    "target=%s reason=%s limit=%d slots=%d ratio=%d", g->id,
	    slow_start_reasons[s->reason], (int)s->limit, g->slots,
	    s->last_ratio);
}

/* Logs that the limit fell or ended, and its inputs. */
static void
log_step(const struct proxy_guard *g, const char *step, uint32_t kind)
{
	const struct slow_start *s = &g->slow_start;

	base_log(G_LOG_LEVEL_MESSAGE, "gate-slow-start-step",
	    "target=%s step=%s reason=%s limit=%d slots=%d ratio=%d "
	    "kind=%08x running=%d",
	    g->id, step, slow_start_reasons[s->reason], (int)s->limit, g->slots,
	    s->last_ratio, kind, g->admit.running);
}

/*
 * A service without a rate for cold targets has no warm-up, and its targets
 * may use all slots at once.
 */
void
proxy_guard_slow_start(struct proxy_guard *g, enum slow_start_reason why)
{
	const struct view_service *s = find_service(g);

	if (!g->proxy->settings->slow_start || s == NULL || s->cold_per_s <= 0)
		return;
	slow_start_begin(&g->slow_start, why, g->slots, base_now_ms());
	log_begin(g);
	proxy_guard_set_slots(g);
}

/*
 * The first target that this process finds may have run for long beside an
 * earlier process of the node.  It is taken as warm unless its status check or
 * its listed start says otherwise.
 */
void
proxy_guard_slots_found(struct proxy_guard *g, int is_first, int64_t cold)
{
	const struct view_service *s = find_service(g);
	const struct view_target *t =
	    g_hash_table_lookup(g->proxy->view->targets, g->id);

	slow_start_forget(&g->slow_start);
	g->was_ejected = 0;
	/* The check of a cold target begins the slow start itself. */
	if (s == NULL || cold > 0)
		return;
	if (!is_first ||
	    (t != NULL && t->born_ms > base_wall_ms() - s->cold_ms))
		proxy_guard_slow_start(g, SLOW_START_BOOT);
}

/* A refusal or a broken exchange has no status. */
void
proxy_guard_slots_done(
    struct proxy_guard *g, const struct job *j, int status, int64_t took_us)
{
	const struct view_service *service = find_service(g);
	int64_t now = base_now_ms();
	struct slow_start_run r = { .kind = j->kind,
		.work_us = -1,
		.failed = status == 0,
		.is_cold = now < g->admit.cold_until,
		.running = g->admit.running + 1,
		.slots = g->slots };

	if (!g->proxy->settings->slow_start || service == NULL ||
	    service->cold_per_s <= 0)
		return;
	if (status > 0 && status < HTTP_STATUS_INTERNAL_SERVER_ERROR)
		r.work_us = (int)MIN(took_us, G_MAXINT32);
	switch (slow_start_record(&g->slow_start, &r, now)) {
	case SLOW_START_NONE:
		break;
	case SLOW_START_CHECK:
		proxy_guard_probe(g);
		break;
	case SLOW_START_BEGAN:
		log_begin(g);
		proxy_guard_probe(g);
		break;
	case SLOW_START_DOWN:
		log_step(g, "down", j->kind);
		break;
	case SLOW_START_ENDED:
		log_step(g, "end", j->kind);
		break;
	}
	proxy_guard_set_slots(g);
}
