/* Crashes that nodes send each other, alone or in requests and refusals. */
#include "link_int.h"

/* Argument of write_each. */
struct suspect_writer {
	struct link *link;
	int64_t now;
};

static void
write_suspect(struct link *, uint64_t, const struct crashes *, int64_t left_ms);
static void write_fingerprint(struct link *, uint64_t);
static void write_each(void *, uint64_t, const struct crashes *, int64_t);

/* Writes a frame with the crashes of one fingerprint. */
static void
write_suspect(
    struct link *l, uint64_t fp, const struct crashes *c, int64_t left_ms)
{
	Link__Frame f = LINK__FRAME__INIT;
	Link__Suspect s = LINK__SUSPECT__INIT;

	f.body_case = LINK__FRAME__BODY_SUSPECT;
	f.suspect = &s;
	s.fingerprint = fp;
	s.crashes = (uint64_t *)c->ids;
	s.n_crashes = (size_t)c->n;
	s.left_ms = (uint32_t)left_ms;
	link_write_frame(l, &f, EGRESS_CONTROL);
}

/* Writes a fingerprint's crashes, unless they were cleared meanwhile. */
static void
write_fingerprint(struct link *l, uint64_t fp)
{
	struct crashes c;
	int64_t left;

	left = link_get_crashes(l, fp, &c);
	if (c.n > 0)
		write_suspect(l, fp, &c, left);
}

/* Gets the recorded crashes; returns the ms until their record expires. */
int64_t
link_get_crashes(struct link *l, uint64_t fp, struct crashes *c)
{
	int64_t now = base_now_ms();

	return poison_crash_ids(
		   l->links->proxy->quarantine.poison, fp, c, now) -
	       now;
}

/* Records the crashes that a frame carries, and passes on new ones. */
void
link_receive_crashes(struct link *l, uint64_t fp, const uint64_t *ids, size_t n,
    uint32_t left_ms)
{
	struct crashes c = { 0 };
	size_t i;

	for (i = 0; i < n; i++)
		crashes_add(&c, ids[i]);
	if (c.n > 0)
		quarantine_receive(
		    &l->links->proxy->quarantine, fp, &c, left_ms, l);
}

/* Callback of poison_each: writes one fingerprint to the link. */
static void
write_each(void *arg, uint64_t fp, const struct crashes *c, int64_t until)
{
	struct suspect_writer *w = arg;

	write_suspect(w->link, fp, c, until - w->now);
}

/* Sends all fingerprints with at least this number of crashes. */
void
link_send_suspects(struct link *l, int crashes)
{
	struct suspect_writer w = { l, base_now_ms() };

	poison_each(
	    l->links->proxy->quarantine.poison, crashes, w.now, write_each, &w);
}

/* Sends a fingerprint's crashes to a node; opens a link if there is none. */
void
links_send_suspect(struct links *ls, const char *addr, uint64_t fp)
{
	struct link *l = link_to(ls, addr);

	if (l != NULL)
		write_fingerprint(l, fp);
}

/*
 * Sends a fingerprint's crashes to publishers and subscribers, except on the
 * link that they were received on, or to all if that is NULL.
 */
void
links_spread_suspect(struct links *ls, uint64_t fp, const struct link *from)
{
	struct link *l;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, ls->out);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		l = value;
		if (link_is_publisher(l) && l != from)
			write_fingerprint(l, fp);
	}
	g_hash_table_iter_init(&it, ls->in);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		l = value;
		if (l->subscriber && l != from)
			write_fingerprint(l, fp);
	}
}

/* Returns the address of the peer, for logs. */
const char *
link_peer(const struct link *l)
{
	return l->addr != NULL ? l->addr : "-";
}
