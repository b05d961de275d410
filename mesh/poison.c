/* Fingerprints of requests that were at targets when those crashed. */
#include <inttypes.h>

#include "guard_int.h"

#define SUSPECTS_MAX 1024 /* fingerprints; beyond, the oldest is forgotten */

struct suspect {
	uint64_t fingerprint;
	int crashes;
	int64_t until; /* forgotten then */
};

struct poison {
	GArray *suspects; /* of struct suspect, oldest first */
};

static struct suspect *find(struct poison *, uint64_t, guint *);

/* Creates an empty table. */
struct poison *
poison_new(void)
{
	struct poison *p;

	p = g_new0(struct poison, 1);
	p->suspects = g_array_new(FALSE, FALSE, sizeof(struct suspect));
	return p;
}

/* Releases a table. */
void
poison_free(struct poison *p)
{
	g_array_free(p->suspects, TRUE);
	g_free(p);
}

/* Finds a fingerprint and its index. */
static struct suspect *
find(struct poison *p, uint64_t fp, guint *at)
{
	struct suspect *s;
	guint i;

	for (i = 0; i < p->suspects->len; i++) {
		s = &g_array_index(p->suspects, struct suspect, i);
		if (s->fingerprint == fp) {
			*at = i;
			return s;
		}
	}
	return NULL;
}

/* Reads the count; one past its time is forgotten. */
int
poison_crashes(struct poison *p, uint64_t fp, int64_t now)
{
	struct suspect *s;
	guint i;

	if ((s = find(p, fp, &i)) == NULL)
		return 0;
	if (s->until > now)
		return s->crashes;
	g_array_remove_index(p->suspects, i);
	return 0;
}

/* Raises the count. */
void
poison_raise(struct poison *p, uint64_t fp, int crashes, int64_t now)
{
	struct suspect *s, fresh = { .fingerprint = fp };
	guint i;

	if (crashes <= poison_crashes(p, fp, now))
		return;
	if ((s = find(p, fp, &i)) == NULL) {
		if (p->suspects->len >= SUSPECTS_MAX)
			g_array_remove_index(p->suspects, 0);
		g_array_append_val(p->suspects, fresh);
		s = &g_array_index(
		    p->suspects, struct suspect, p->suspects->len - 1);
	}
	s->crashes = crashes;
	s->until = now + GUARD_QUARANTINE_MS;
}

/* Forgets a fingerprint. */
int
poison_clear(struct poison *p, uint64_t fp)
{
	guint i;

	if (find(p, fp, &i) == NULL)
		return 0;
	g_array_remove_index(p->suspects, i);
	return 1;
}

/* Appends the quarantined ones. */
void
poison_print(struct poison *p, GString *out, int64_t now)
{
	const struct suspect *s;
	const char *sep = "";
	guint i;

	g_string_append_c(out, '[');
	for (i = 0; i < p->suspects->len; i++) {
		s = &g_array_index(p->suspects, struct suspect, i);
		if (s->crashes < GUARD_CRASHES_MAX || s->until <= now)
			continue;
		g_string_append_printf(out,
		    "%s{\"fingerprint\":\"%016" PRIx64
		    "\",\"crashes\":%d,\"for_ms\":%" PRId64 "}",
		    sep, s->fingerprint, s->crashes, s->until - now);
		sep = ",";
	}
	g_string_append_c(out, ']');
}
