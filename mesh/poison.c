/* Fingerprints of requests that were running at targets that crashed. */
#include <inttypes.h>
#include <string.h>

#include "poison.h"

#define SUSPECTS_MAX  1024 /* fingerprints; the first to expire is evicted */
#define SUCCESSES_MAX 1024 /* slots for fingerprints that succeeded */
/*
 * A request that succeeded within this time is not what crashed a target.  The
 * rule keeps requests that many callers send alike out of quarantine when
 * several targets stop at the same time.
 */
#define SUCCESS_MS 5000

/* A fingerprint under which crashes were recorded. */
struct suspect {
	uint64_t fingerprint;
	struct crashes crashes;
	int refuted;   /* how many of the oldest ids do not count */
	int64_t until; /* time of expiry */
};

/* A fingerprint that succeeded, until SUCCESS_MS later. */
struct success {
	uint64_t fingerprint;
	int64_t until;
};

struct poison {
	GHashTable *suspects; /* fingerprint to struct suspect, owned */
	struct success successes[SUCCESSES_MAX]; /* by fingerprint, modulo */
};

static struct suspect *find(struct poison *, uint64_t, int64_t);
static struct suspect *suspect_new(struct poison *, uint64_t);
static int succeeded_recently(const struct poison *, uint64_t, int64_t);
static int crash_count(const struct suspect *);

/* Ids are unique, so a crash reported by several nodes counts once. */
int
crashes_add(struct crashes *c, uint64_t id)
{
	int i;

	for (i = 0; i < c->n; i++)
		if (c->ids[i] == id)
			return 0;
	if (c->n == CRASHES_KEPT)
		memmove(c->ids, c->ids + 1, --c->n * sizeof(c->ids[0]));
	c->ids[c->n++] = id;
	return 1;
}

/* The successes start out as zeros, which have expired. */
struct poison *
poison_new(void)
{
	struct poison *p;

	p = g_new0(struct poison, 1);
	p->suspects =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return p;
}

/* The table owns the suspects. */
void
poison_free(struct poison *p)
{
	g_hash_table_destroy(p->suspects);
	g_free(p);
}

/* Finds a fingerprint; removes one that has expired. */
static struct suspect *
find(struct poison *p, uint64_t fp, int64_t now)
{
	struct suspect *s = g_hash_table_lookup(p->suspects, &fp);

	if (s == NULL || s->until > now)
		return s;
	g_hash_table_remove(p->suspects, &fp);
	return NULL;
}

/* Adds a fingerprint; a full table evicts the one that expires first. */
static struct suspect *
suspect_new(struct poison *p, uint64_t fp)
{
	struct suspect *s, *first = NULL;
	GHashTableIter it;
	gpointer value;

	if (g_hash_table_size(p->suspects) >= SUSPECTS_MAX) {
		g_hash_table_iter_init(&it, p->suspects);
		while (g_hash_table_iter_next(&it, NULL, &value)) {
			s = value;
			if (first == NULL || s->until < first->until)
				first = s;
		}
		g_hash_table_remove(p->suspects, &first->fingerprint);
	}
	s = g_new0(struct suspect, 1);
	s->fingerprint = fp;
	g_hash_table_insert(p->suspects, &s->fingerprint, s);
	return s;
}

/* Whether the request succeeded within the last SUCCESS_MS. */
static int
succeeded_recently(const struct poison *p, uint64_t fp, int64_t now)
{
	const struct success *s = &p->successes[fp % SUCCESSES_MAX];

	return s->fingerprint == fp && s->until > now;
}

/* Number of crashes that are not refuted. */
static int
crash_count(const struct suspect *s)
{
	return s->crashes.n - s->refuted;
}

/*
 * Removes the fingerprint if it has expired, as each look-up by fingerprint
 * does.
 */
int
poison_crash_count(struct poison *p, uint64_t fp, int64_t now)
{
	const struct suspect *s = find(p, fp, now);

	return s != NULL ? crash_count(s) : 0;
}

/* Refuted crashes are left out, so they are not spread any further. */
int64_t
poison_crash_ids(struct poison *p, uint64_t fp, struct crashes *c, int64_t now)
{
	const struct suspect *s = find(p, fp, now);
	int i;

	c->n = 0;
	if (s == NULL)
		return now;
	for (i = s->refuted; i < s->crashes.n; i++)
		c->ids[c->n++] = s->crashes.ids[i];
	return s->until;
}

/* Only new crashes extend the time of expiry. */
int
poison_add_crashes(struct poison *p, uint64_t fp, const struct crashes *c,
    int64_t until, int64_t now)
{
	struct suspect *s;
	int i, full, added = 0;

	if (c->n == 0)
		return 0;
	if ((s = find(p, fp, now)) == NULL)
		s = suspect_new(p, fp);
	/*
	 * More ids would evict older ones.  Nodes that still hold those would
	 * report them again as new, and the exchange would never end.
	 */
	for (i = 0; i < c->n && crash_count(s) < POISON_CRASHES_MAX; i++) {
		full = s->crashes.n == CRASHES_KEPT;
		if (!crashes_add(&s->crashes, c->ids[i]))
			continue;
		added++;
		if (full && s->refuted > 0)
			s->refuted--;
		if (succeeded_recently(p, fp, now))
			s->refuted = s->crashes.n;
	}
	if (added > 0)
		s->until = MAX(s->until, until);
	return added;
}

/* Later reports of the refuted crashes do not count again. */
void
poison_succeeded(struct poison *p, uint64_t fp, int64_t now)
{
	struct suspect *s = find(p, fp, now);

	p->successes[fp % SUCCESSES_MAX] =
	    (struct success){ fp, now + SUCCESS_MS };
	if (s != NULL)
		s->refuted = s->crashes.n;
}

/* The crash ids are dropped as well, so a report that repeats them counts. */
int
poison_clear(struct poison *p, uint64_t fp)
{
	return g_hash_table_remove(p->suspects, &fp);
}

/*
 * Expired fingerprints are skipped, not removed; f must not change the table.
 */
void
poison_each(struct poison *p, int crashes, int64_t now,
    void (*f)(void *, uint64_t, const struct crashes *, int64_t), void *arg)
{
	const struct suspect *s;
	struct crashes c;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, p->suspects);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		s = value;
		if (s->until <= now || crash_count(s) < crashes)
			continue;
		c.n = crash_count(s);
		memcpy(
		    c.ids, s->crashes.ids + s->refuted, c.n * sizeof(c.ids[0]));
		f(arg, s->fingerprint, &c, s->until);
	}
}

/* Each has its number of crashes and the ms until it expires. */
void
poison_print(struct poison *p, GString *out, int64_t now)
{
	const struct suspect *s;
	const char *sep = "";
	GHashTableIter it;
	gpointer value;

	g_string_append_c(out, '[');
	g_hash_table_iter_init(&it, p->suspects);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		s = value;
		if (crash_count(s) < POISON_CRASHES_MAX || s->until <= now)
			continue;
		g_string_append_printf(out,
		    "%s{\"fingerprint\":\"%016" PRIx64
		    "\",\"crashes\":%d,\"for_ms\":%" PRId64 "}",
		    sep, s->fingerprint, crash_count(s), s->until - now);
		sep = ",";
	}
	g_string_append_c(out, ']');
}
