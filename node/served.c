/* Requests that a guard holds, and who waits for them. */
#include <string.h>

#include "serve_int.h"

/* ---- what is held ---- */

/* Whether two answers would go the same way. */
static int
same_route(const struct link_route *a, const struct link_route *b)
{
	return a->len == b->len && memcmp(a->id, b->id, a->len) == 0;
}

/* The request that an entry knows by a number; id NULL matches any. */
struct served *
served_find(
    struct node *n, const char *id, const struct link_route *r, uint64_t call)
{
	struct served *s;
	guint i;
	int k;

	for (i = 0; i < n->guard->held->len; i++) {
		s = g_ptr_array_index(n->guard->held, i);
		if (id != NULL && strcmp(s->req.id, id) != 0)
			continue;
		for (k = 0; k < s->nwaiters; k++)
			if (s->waiters[k].call == call &&
			    (r == NULL || same_route(&s->waiters[k].route, r)))
				return s;
	}
	return NULL;
}

/* The request held under an id that runs once. */
struct served *
served_by_id(struct node *n, const char *id)
{
	struct served *s;
	guint i;

	for (i = 0; i < n->guard->held->len; i++) {
		s = g_ptr_array_index(n->guard->held, i);
		if (s->req.once && strcmp(s->req.id, id) == 0)
			return s;
	}
	return NULL;
}

/* Releases a request. */
void
served_free(gpointer p)
{
	struct served *s = p;

	exchange_job_free(s->job);
	g_free(s);
}

/* Lets somebody wait for a held request; 0 when too many do. */
int
served_wait(struct served *s, const struct link_route *r, uint64_t call)
{
	if (s->nwaiters == WAITERS_MAX)
		return 0;
	s->waiters[s->nwaiters].route = *r;
	s->waiters[s->nwaiters].call = call;
	s->nwaiters++;
	return 1;
}
