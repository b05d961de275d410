/*
 * Exchange of suspected requests, those that crash targets, among the guards of
 * a service.  A crash is reported several times, as datagrams get lost and
 * links are cut.  A guard that starts queries the others for their crashes.
 */
#include <string.h>

#include "gossip.h"
#include "record.h"

/* Reports that are repeated; crashes above this number are reported once. */
#define CRASH_REPORTS_MAX 64

/* Delays before a report or the initial query is sent again. */
static const int resend_delays_ms[] = { 1000, 3000, 12000 };

/* A crash of the local target whose report is to be repeated. */
struct crash_report {
	uint64_t fingerprint;
	int64_t resend_at; /* monotonic ms */
	guint resends;	   /* so far */
};

/* Argument of answer_query: where to send the reply. */
struct crash_query {
	struct node *node;
	int member;
};

static void send_crashes(struct node *, int, uint64_t, const struct crashes *);
static void broadcast_crashes(struct node *, uint64_t);
static void broadcast_query(struct node *);
static void answer_query(void *, uint64_t, const struct crashes *, int64_t);

/* Creates an empty list of crash reports. */
void
suspect_init(struct node *n)
{
	n->guard->crash_reports =
	    g_array_new(FALSE, FALSE, sizeof(struct crash_report));
}

/* Releases the list of crash reports. */
void
suspect_destroy(struct node *n)
{
	g_array_free(n->guard->crash_reports, TRUE);
}

/* Sends crashes to one guard of the service, or to all (-1). */
static void
send_crashes(struct node *n, int member, uint64_t fp, const struct crashes *c)
{
	Wire__Suspect w = WIRE__SUSPECT__INIT;

	w.fingerprint = fp;
	w.crashes = (uint64_t *)c->ids;
	w.n_crashes = (size_t)c->n;
	gossip_send_suspect(n, member, &w);
}

/* Sends the crashes that count under a fingerprint, if any, to all guards. */
static void
broadcast_crashes(struct node *n, uint64_t fp)
{
	struct crashes c;

	guard_crash_ids(n->guard->guard, fp, &c, base_now_ms());
	if (c.n > 0)
		send_crashes(n, -1, fp, &c);
}

/*
 * Reports the crashes under a fingerprint after an exchange here broke, and
 * schedules the repeats.  Does nothing if the guard counted no crash.
 */
void
suspect_report_crash(struct node *n, uint64_t fp)
{
	struct crash_report t = { fp, base_now_ms() + resend_delays_ms[0], 0 };

	if (guard_crash_count(n->guard->guard, fp, base_now_ms()) == 0)
		return;
	broadcast_crashes(n, fp);
	if (n->guard->crash_reports->len < CRASH_REPORTS_MAX)
		g_array_append_val(n->guard->crash_reports, t);
}

/* Queries the other guards for all crashes that they count. */
static void
broadcast_query(struct node *n)
{
	Wire__Suspect w = WIRE__SUSPECT__INIT;

	w.ask = 1;
	gossip_send_suspect(n, -1, &w);
}

/* Sends the query and the reports that are due. */
void
suspect_tick(struct node *n, int64_t now)
{
	struct node_guard *g = n->guard;
	struct crash_report *t;
	guint i = 0;

	if (g->guard == NULL)
		return;
	if (g->queries_sent <= G_N_ELEMENTS(resend_delays_ms) &&
	    now >= g->query_at) {
		broadcast_query(n);
		if (g->queries_sent < G_N_ELEMENTS(resend_delays_ms))
			g->query_at = now + resend_delays_ms[g->queries_sent];
		g->queries_sent++;
	}
	while (i < g->crash_reports->len) {
		t = &g_array_index(g->crash_reports, struct crash_report, i);
		if (now < t->resend_at) {
			i++;
			continue;
		}
		broadcast_crashes(n, t->fingerprint);
		if (++t->resends < G_N_ELEMENTS(resend_delays_ms))
			t->resend_at = now + resend_delays_ms[t->resends];
		else
			g_array_remove_index_fast(g->crash_reports, i);
	}
}

/* Sends the crashes under one fingerprint to the guard that sent the query. */
static void
answer_query(void *arg, uint64_t fp, const struct crashes *c, int64_t until)
{
	const struct crash_query *a = arg;

	(void)until;
	send_crashes(a->node, a->member, fp, c);
}

/* Handles a query, a release or a crash report of another guard. */
void
suspect_receive(struct node *n, int member, const Wire__Suspect *s)
{
	struct crash_query a = { n, member };
	struct crashes c = { 0 };
	size_t i;

	if (n->guard->guard == NULL)
		return;
	if (s->ask) {
		guard_each_crash(
		    n->guard->guard, base_now_ms(), answer_query, &a);
		return;
	}
	if (s->released) {
		record_release(n, s->fingerprint);
		return;
	}
	for (i = 0; i < s->n_crashes; i++)
		crashes_add(&c, s->crashes[i]);
	record_suspect(n, s->fingerprint, &c);
}

/*
 * Releases a fingerprint from quarantine here and at the other guards.
 * Returns whether this guard had it.
 */
int
suspect_release_quarantine(struct node *n, uint64_t fingerprint)
{
	Wire__Suspect w = WIRE__SUSPECT__INIT;
	int had = 0;

	if (n->guard->guard != NULL)
		had = record_release(n, fingerprint);
	w.fingerprint = fingerprint;
	w.released = 1;
	gossip_send_suspect(n, -1, &w);
	return had;
}
