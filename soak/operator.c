/*
 * The operator: configurations and data centres that are out.  What the store
 * lost in a restore is written again.
 */
#include "soak.h"

static void write_config(struct soak *);
static void write_out(struct soak *, int);
static int dc_index(const char *);

const char *const soak_dcs[SOAK_DCS] = { "north", "south", "east" };

/* Index in soak_dcs. */
static int
dc_index(const char *dc)
{
	int i;

	for (i = 0; i < SOAK_DCS - 1; i++)
		if (strcmp(soak_dcs[i], dc) == 0)
			break;
	return i;
}

/*
 * Each version has the routes of callers, and one route for each of the newest
 * versions up to itself, whose service has no targets: a node that refuses a
 * request on it with 503, not 404, has that version or a later one.
 */
static void
write_config(struct soak *s)
{
	static const char *const services[] = { "alpha", "beta", "marker",
		NULL };
	struct operator_state *op = &s->operator;
	struct store_route routes[ROUTES + SOAK_MARKED_MAX] = {
		{ "/read/", soak_services[s->read_service], NULL, 1 },
		{ "/write/", soak_services[BETA], NULL, 0 },
		{ "/split/", soak_services[ALPHA], soak_services[BETA], 1 },
	};
	char prefixes[SOAK_MARKED_MAX][24];
	struct soak_version *v;
	int i, n = 0;

	for (i = op->nversions - 1; i >= 0 && n < SOAK_MARKED_MAX; i--, n++) {
		v = &op->versions[i];
		g_snprintf(
		    prefixes[n], sizeof(prefixes[n]), "/v%d/", v->version);
		routes[ROUTES + n] = (struct store_route){ prefixes[n],
			services[SERVICES], NULL, 1 };
	}
	store_put_routes(
	    s->store, s->config_version, services, routes, ROUTES + n);
	op->now.version = s->config_version;
	for (i = 0; i < op->nversions; i++)
		if (op->versions[i].acked_at == G_MAXINT64)
			op->versions[i].acked_at = base_now_ms();
}

/* Versions increase by up to three, as nodes need not see every version. */
void
operator_put_config(struct soak *s, int read_service)
{
	struct operator_state *op = &s->operator;

	s->read_service = read_service;
	s->config_version += 1 + soak_random_below(s, 3);
	if (op->nversions == SOAK_VERSIONS) {
		memmove(op->versions, op->versions + 1,
		    (SOAK_VERSIONS - 1) * sizeof(op->versions[0]));
		op->nversions--;
	}
	op->versions[op->nversions++] =
	    (struct soak_version){ s->config_version, G_MAXINT64 };
	write_config(s);
}

/* Writes or removes the item of a data centre. */
static void
write_out(struct soak *s, int dc)
{
	struct operator_state *op = &s->operator;
	char *key = g_strdup_printf("op/evacuate/%s", soak_dcs[dc]);

	if (op->wanted_out[dc])
		store_put(s->store, key, "{}");
	else
		store_remove(s->store, key);
	op->now.out[dc] = op->wanted_out[dc];
	g_free(key);
}

/* Writes even if nothing changes. */
void
operator_set_out(struct soak *s, const char *dc, int out)
{
	int i = dc_index(dc);

	s->operator.wanted_out[i] = out;
	write_out(s, i);
}

/* Together with store_save(). */
void
operator_saved(struct soak *s)
{
	s->operator.saved = s->operator.now;
}

/* Versions that the store has lost are confirmed once it has them again. */
void
operator_restored(struct soak *s)
{
	struct operator_state *op = &s->operator;
	int i;

	op->now = op->saved;
	for (i = 0; i < op->nversions; i++)
		if (op->versions[i].version > op->now.version)
			op->versions[i].acked_at = G_MAXINT64;
}

/* What the store still has is not written. */
void
operator_write_again(struct soak *s)
{
	struct operator_state *op = &s->operator;
	int i;

	if (op->now.version != s->config_version)
		write_config(s);
	for (i = 0; i < SOAK_DCS; i++)
		if (op->now.out[i] != op->wanted_out[i])
			write_out(s, i);
}
