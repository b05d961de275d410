/* Pending requests of the guard, and their waiters. */
#include <string.h>

#include "serve_int.h"

/* Whether two return routes are equal. */
static int
same_route(const struct link_route *a, const struct link_route *b)
{
	return a->len == b->len && memcmp(a->id, b->id, a->len) == 0;
}

/* Finds a request by a waiter's call number; NULL id or route match any. */
struct pending_request *
pending_find(
    struct node *n, const char *id, const struct link_route *r, uint64_t call)
{
	struct pending_request *s;
	guint i;
	int k;

	for (i = 0; i < n->guard->pending->len; i++) {
		s = g_ptr_array_index(n->guard->pending, i);
		if (id != NULL && strcmp(s->req.id, id) != 0)
			continue;
		for (k = 0; k < s->nwaiters; k++)
			if (s->waiters[k].call == call &&
			    (r == NULL || same_route(&s->waiters[k].route, r)))
				return s;
	}
	return NULL;
}

/* Finds the at-most-once request with an id. */
struct pending_request *
pending_find_by_id(struct node *n, const char *id)
{
	struct pending_request *s;
	guint i;

	for (i = 0; i < n->guard->pending->len; i++) {
		s = g_ptr_array_index(n->guard->pending, i);
		if (s->req.once && strcmp(s->req.id, id) == 0)
			return s;
	}
	return NULL;
}

/* Releases a request and its job. */
void
pending_free(gpointer p)
{
	struct pending_request *s = p;

	exchange_job_free(s->job);
	g_free(s);
}

/* Adds a waiter; 0 when there are too many already. */
int
pending_add_waiter(
    struct pending_request *s, const struct link_route *r, uint64_t call)
{
	if (s->nwaiters == WAITERS_MAX)
		return 0;
	s->waiters[s->nwaiters].route = *r;
	s->waiters[s->nwaiters].call = call;
	s->nwaiters++;
	return 1;
}
