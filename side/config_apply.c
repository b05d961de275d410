/*
 * Puts received configurations in force.  Decoding a large one at once would
 * keep the event loop from everything else: requests would not be read, and
 * connections that were closed not be noticed.  So it is decoded in steps, one
 * in each pass of the event loop, and the version in force stays until it is
 * complete.  Of several that wait the newest is decoded first; the others are
 * needed only if that is rejected.
 */
#include "follow_int.h"

/*
 * Work of a step, in bytes parsed: about 2 ms of a processor, or 20 ms of a
 * tenth of a core.
 */
#define STEP_BYTES	  (64 * 1024)
#define WAITING_MAX	  8	/* the oldest beyond it is dropped */
#define LINK_BYTES_PER_MS 125.0 /* of a link of 1 Mbit/s */
#define BASE64_GROWTH	  (4.0 / 3.0)

/* A configuration as it was received. */
struct config_arrival {
	struct platform_item *item;
	uint64_t number;     /* of those received by this node */
	int64_t received_us; /* base_now_us() */
};

static void on_step(evutil_socket_t, short, void *);
static void arrival_free(gpointer);
static int transfer_ms(const struct follow *, GBytes *);
static const char *first_problem(const struct report *, int);
static int begin_newest(struct follow *);
static void drop_earlier(struct config_apply *);
static void
log_accepted(const struct follow *, const struct platform_decode_cost *);
static int finish(struct follow *);

/* Creates the timer. */
void
config_apply_start(struct follow *f)
{
	g_queue_init(&f->config_apply.waiting);
	f->config_apply.timer = evtimer_new(f->base, on_step, f);
}

/* Drops what is not in force. */
void
config_apply_stop(struct follow *f)
{
	struct config_apply *a = &f->config_apply;

	if (a->decode != NULL) {
		view_config_unref(platform_decode_end(a->decode));
		report_free(a->report);
		arrival_free(a->current);
	}
	g_queue_clear_full(&a->waiting, arrival_free);
	event_free(a->timer);
}

/* Releases an arrival. */
static void
arrival_free(gpointer p)
{
	struct config_arrival *c = p;

	platform_item_free(c->item);
	g_free(c);
}

/* Whether a configuration waits or is being decoded. */
int
config_apply_is_pending(const struct follow *f)
{
	return f->config_apply.decode != NULL ||
	       f->config_apply.waiting.length > 0;
}

/* Time in ms that the VM's link takes for a value as the store sends it. */
static int
transfer_ms(const struct follow *f, GBytes *value)
{
	double bytes_per_ms = f->settings->proxy.link_mbps * LINK_BYTES_PER_MS;

	if (bytes_per_ms <= 0)
		return 0;
	return (int)((double)g_bytes_get_size(value) * BASE64_GROWTH /
		     bytes_per_ms);
}

/*
 * The first step is taken in the next pass, so that of several versions in this
 * one only the newest is decoded.
 */
void
config_apply_add(struct follow *f, const struct platform_item *it)
{
	struct config_apply *a = &f->config_apply;
	struct config_arrival *c = g_new(struct config_arrival, 1);

	store_reader_set_transfer(f->reader, transfer_ms(f, it->value));
	c->item = platform_item_copy(it);
	c->number = ++a->received;
	c->received_us = base_now_us();
	g_queue_push_head(&a->waiting, c);
	if (a->waiting.length > WAITING_MAX) {
		arrival_free(g_queue_pop_tail(&a->waiting));
		a->superseded++;
	}
	if (a->decode == NULL)
		http_timer_set(a->timer, 0);
}

/* Message of a report's first error, or first warning; "-" if none. */
static const char *
first_problem(const struct report *rep, int warning)
{
	const struct report_entry *e;
	guint i;

	for (i = 0; i < rep->entries->len; i++) {
		e = g_ptr_array_index(rep->entries, i);
		if (e->warning == warning)
			return e->message;
	}
	return "-";
}

/* Begins to decode the newest configuration; returns 0 if none waits. */
static int
begin_newest(struct follow *f)
{
	struct config_apply *a = &f->config_apply;

	if ((a->current = g_queue_pop_head(&a->waiting)) == NULL)
		return 0;
	a->report = report_new();
	a->decode = platform_decode_start(
	    a->current->item->value, f->view->config, a->report);
	a->began_us = base_now_us();
	a->steps = 0;
	return 1;
}

/* Drops what waits and was received before the current configuration. */
static void
drop_earlier(struct config_apply *a)
{
	const struct config_arrival *c;

	while ((c = g_queue_peek_tail(&a->waiting)) != NULL &&
	       c->number < a->current->number) {
		arrival_free(g_queue_pop_tail(&a->waiting));
		a->superseded++;
	}
}

/* Logs the configuration that has come into force. */
static void
log_accepted(const struct follow *f, const struct platform_decode_cost *cost)
{
	const struct config_apply *a = &f->config_apply;
	const struct platform_item *it = a->current->item;
	int64_t apply_us = base_now_us() - a->current->received_us;

	counter_add(CTR_APPLIED, 1);
	histogram_add(HIST_CONFIG_APPLY, apply_us / 1000);
	base_log(G_LOG_LEVEL_MESSAGE, "config-accepted",
	    "version=%" G_GUINT64_FORMAT " era=%" G_GUINT64_FORMAT
	    " revision=%" G_GUINT64_FORMAT
	    " routes=%u shared=%d parsed=%zu steps=%d superseded=%d "
	    "wait_us=%" G_GINT64_FORMAT " apply_us=%" G_GINT64_FORMAT,
	    f->view->config->version, it->revision.era, it->revision.number,
	    f->view->config->routes->len, cost->shared, cost->parsed, a->steps,
	    a->superseded, a->began_us - a->current->received_us, apply_us);
	if (a->report->warnings == 0)
		return;
	counter_add(CTR_SOURCE_UNPARSED, a->report->warnings);
	base_log(G_LOG_LEVEL_WARNING, "config-unread",
	    "version=%" G_GUINT64_FORMAT " parts=%d first=\"%s\"",
	    f->view->config->version, a->report->warnings,
	    first_problem(a->report, 1));
}

/*
 * Ends the decoding: puts the configuration in force if it is valid and newer,
 * and then drops those that were received before it.  Returns 1 if it did.
 */
static int
finish(struct follow *f)
{
	struct config_apply *a = &f->config_apply;
	const struct platform_item *it = a->current->item;
	struct platform_decode_cost cost = platform_decode_cost(a->decode);
	struct view_config *c = platform_decode_end(a->decode);
	uint64_t version = c != NULL ? c->version : 0;
	int accepted = 0;

	a->decode = NULL;
	if (c == NULL) {
		counter_add(CTR_REJECTED, 1);
		base_log(G_LOG_LEVEL_WARNING, "config-rejected",
		    "era=%" G_GUINT64_FORMAT " revision=%" G_GUINT64_FORMAT
		    " errors=%d first=\"%s\"",
		    it->revision.era, it->revision.number, a->report->errors,
		    first_problem(a->report, 0));
	} else if (view_set_config(f->view, c) == VIEW_OK) {
		accepted = 1;
		drop_earlier(a);
		log_accepted(f, &cost);
		a->superseded = 0;
	} else {
		base_log(G_LOG_LEVEL_MESSAGE, "config-older",
		    "version=%" G_GUINT64_FORMAT " era=%" G_GUINT64_FORMAT
		    " revision=%" G_GUINT64_FORMAT,
		    version, it->revision.era, it->revision.number);
	}
	report_free(a->report);
	arrival_free(a->current);
	a->current = NULL;
	return accepted;
}

/* Takes a step. */
static void
on_step(evutil_socket_t fd, short what, void *arg)
{
	struct follow *f = arg;
	struct config_apply *a = &f->config_apply;

	(void)fd;
	(void)what;
	if (a->decode == NULL && !begin_newest(f))
		return;
	a->steps++;
	if (platform_decode_step(a->decode, STEP_BYTES) && finish(f))
		proxy_view_changed(f->proxy);
	if (config_apply_is_pending(f))
		http_timer_set(a->timer, 0);
}
