/*
 * Quarantine of requests that crash targets.  A crash that a guard detects is
 * sent to all nodes: along the publishers and subscribers of its data centre,
 * and to a few nodes of each data centre, which pass it on in the same way.  It
 * is sent again later, as links may fail, and with requests and refusals.
 */
#include <string.h>

#include "guard_int.h"

#define REPORT_NODES_PER_DC 2 /* that receive a crash directly */
#define RESENDS_MAX	    G_N_ELEMENTS(resend_delays_ms)

/* Delays before each resend of a crash. */
static const int resend_delays_ms[] = { 1000, 3000, 12000 };

/* A crash that this node detected, kept until its last resend. */
struct crash_report {
	struct quarantine *quarantine;
	GArray *fingerprints; /* of uint64_t */
	struct event *timer;
	size_t resends; /* after the first report */
};

static void crash_report_free(gpointer);
static void send_report(struct crash_report *);
static void report_to_node(struct crash_report *, const char *);
static void on_resend(evutil_socket_t, short, void *);
static GPtrArray *shuffled_targets(struct proxy *);

/* Initialises an empty quarantine. */
void
quarantine_init(struct quarantine *q, struct proxy *p)
{
	q->proxy = p;
	q->poison = poison_new();
	q->reports = g_ptr_array_new_with_free_func(crash_report_free);
}

/* Releases the quarantine; pending resends are dropped. */
void
quarantine_clear(struct quarantine *q)
{
	g_ptr_array_free(q->reports, TRUE);
	poison_free(q->poison);
}

/* Returns the remaining time of a fingerprint's quarantine in ms, or 0. */
int64_t
quarantine_left_ms(struct quarantine *q, uint64_t fp)
{
	struct crashes c;
	int64_t now = base_now_ms(), until;

	until = poison_crash_ids(q->poison, fp, &c, now);
	return c.n >= POISON_CRASHES_MAX ? until - now : 0;
}

/* Clears a fingerprint that a target answered without a failure. */
void
quarantine_answered(struct quarantine *q, uint64_t fp, int status)
{
	/* The target may send a 5xx status and crash afterwards. */
	if (status < HTTP_STATUS_INTERNAL_SERVER_ERROR)
		poison_succeeded(q->poison, fp, base_now_ms());
}

/* Returns a random id, which is unique among crashes. */
uint64_t
quarantine_crash_id(struct quarantine *q)
{
	GRand *rand = q->proxy->rand;

	return (uint64_t)g_rand_int(rand) << 32 | g_rand_int(rand);
}

/* Records the local target's crash for all suspects; starts its reports. */
void
quarantine_report_crash(
    struct quarantine *q, uint64_t id, const GArray *fingerprints)
{
	struct crashes c = { 1, { id } };
	struct crash_report *r = g_new0(struct crash_report, 1);
	int64_t now = base_now_ms();
	uint64_t fp;
	guint i;

	r->quarantine = q;
	r->fingerprints = g_array_new(FALSE, FALSE, sizeof(fp));
	g_array_append_vals(
	    r->fingerprints, fingerprints->data, fingerprints->len);
	r->timer = evtimer_new(q->proxy->base, on_resend, r);
	g_ptr_array_add(q->reports, r);
	for (i = 0; i < fingerprints->len; i++) {
		fp = g_array_index(fingerprints, uint64_t, i);
		poison_add_crashes(
		    q->poison, fp, &c, now + POISON_QUARANTINE_MS, now);
		base_log(G_LOG_LEVEL_MESSAGE, "crash-suspect",
		    "fingerprint=%016" G_GINT64_MODIFIER
		    "x crashes=%d target=%s",
		    fp, poison_crash_count(q->poison, fp, now),
		    q->proxy->guard.id);
		links_spread_suspect(&q->proxy->links, fp, NULL);
		proxy_guard_refuse_quarantined(&q->proxy->guard, fp);
	}
	send_report(r);
	http_timer_set(r->timer, resend_delays_ms[0]);
}

/* Records crashes that a peer sent, and passes on those that are new. */
void
quarantine_receive(struct quarantine *q, uint64_t fp, const struct crashes *c,
    int64_t left_ms, struct link *from)
{
	int64_t now = base_now_ms();

	left_ms = MIN(left_ms, POISON_QUARANTINE_MS);
	if (poison_add_crashes(q->poison, fp, c, now + left_ms, now) == 0)
		return;
	base_log(G_LOG_LEVEL_MESSAGE, "crash-told",
	    "fingerprint=%016" G_GINT64_MODIFIER "x crashes=%d peer=%s", fp,
	    poison_crash_count(q->poison, fp, now), link_peer(from));
	links_spread_suspect(&q->proxy->links, fp, from);
	proxy_guard_refuse_quarantined(&q->proxy->guard, fp);
}

/* Releases a report: after its last resend, or with the quarantine. */
static void
crash_report_free(gpointer data)
{
	struct crash_report *r = data;

	event_free(r->timer);
	g_array_free(r->fingerprints, TRUE);
	g_free(r);
}

/* Lists all targets but the local one, in random order; the view owns them. */
static GPtrArray *
shuffled_targets(struct proxy *p)
{
	GPtrArray *all = g_ptr_array_new();
	GHashTableIter it;
	gpointer value;
	guint i, k;

	g_hash_table_iter_init(&it, p->view->targets);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (strcmp(((struct view_target *)value)->addr,
			p->settings->target) != 0)
			g_ptr_array_add(all, value);
	for (i = all->len; i > 1; i--) {
		k = (guint)g_rand_int_range(p->rand, 0, (gint32)i);
		value = all->pdata[k];
		all->pdata[k] = all->pdata[i - 1];
		all->pdata[i - 1] = value;
	}
	return all;
}

/* Sends the fingerprints of a report to the node beside a target. */
static void
report_to_node(struct crash_report *r, const char *addr)
{
	struct proxy *p = r->quarantine->proxy;
	char link[ADDRESS_MAX];
	guint i;

	peer_link_addr(p, addr, link);
	for (i = 0; i < r->fingerprints->len; i++)
		links_send_suspect(&p->links, link,
		    g_array_index(r->fingerprints, uint64_t, i));
}

/* Sends a report to REPORT_NODES_PER_DC nodes of each data centre. */
static void
send_report(struct crash_report *r)
{
	GPtrArray *all = shuffled_targets(r->quarantine->proxy);
	GHashTable *sent = g_hash_table_new(g_str_hash, g_str_equal);
	const struct view_target *target;
	guint i;
	int n;

	for (i = 0; i < all->len; i++) {
		target = g_ptr_array_index(all, i);
		n = GPOINTER_TO_INT(g_hash_table_lookup(sent, target->dc));
		if (n == REPORT_NODES_PER_DC)
			continue;
		g_hash_table_insert(
		    sent, (gpointer)target->dc, GINT_TO_POINTER(n + 1));
		report_to_node(r, target->addr);
	}
	g_hash_table_destroy(sent);
	g_ptr_array_free(all, TRUE);
}

/* Sends the report again, and schedules the next resend or releases it. */
static void
on_resend(evutil_socket_t fd, short what, void *arg)
{
	struct crash_report *r = arg;

	(void)fd;
	(void)what;
	send_report(r);
	if (++r->resends < RESENDS_MAX)
		http_timer_set(r->timer, resend_delays_ms[r->resends]);
	else
		g_ptr_array_remove_fast(r->quarantine->reports, r);
}
