/* Compares the answers that callers received with the requests targets ran. */
#include <stdio.h>
#include <string.h>

#include <neon/ne_request.h>
#include <neon/ne_session.h>

#include "../caller/caller.h"
#include "../mesh/member.h"
#include "ledger.h"

#define ID_MAX_B 64

const char *const reply_names[REPLY_COUNT] = { "answered", "wrong", "not_run",
	"unknown", "nothing" };

static int read_ledger(const char *, GHashTable *);
static int append_body(void *, const char *, size_t);

/* Appends a block of the body to a GString. */
static int
append_body(void *arg, const char *buf, size_t len)
{
	g_string_append_len(arg, buf, (gssize)len);
	return 0;
}

/* Adds the ledger of one target to the run counts by id. */
static int
read_ledger(const char *control, GHashTable *run_counts)
{
	char host[ADDRESS_MAX], id[ID_MAX_B];
	ne_session *s;
	ne_request *req;
	GString *text = g_string_new(NULL);
	char **lines, **l;
	int port, n, err;
	gpointer count;

	if (address_split(control, host, &port) != BASE_OK)
		return -1;
	s = ne_session_create("http", host, (unsigned int)port);
	req = ne_request_create(s, "GET", "/ledger");
	ne_add_response_body_reader(req, ne_accept_2xx, append_body, text);
	err = ne_request_dispatch(req);
	ne_request_destroy(req);
	ne_session_destroy(s);
	lines = g_strsplit(text->str, "\n", -1);
	g_string_free(text, TRUE);
	for (l = lines; err == NE_OK && *l != NULL; l++) {
		if (sscanf(*l, "%63s %d", id, &n) != 2)
			continue;
		count = g_hash_table_lookup(run_counts, id);
		g_hash_table_insert(run_counts, g_strdup(id),
		    GINT_TO_POINTER(GPOINTER_TO_INT(count) + n));
	}
	g_strfreev(lines);
	return err == NE_OK ? 0 : -1;
}

/* Prints calls that ran twice, or ran but were denied, to stderr. */
int
ledger_check(const GArray *calls, char **controls, struct ledger_counts *v)
{
	GHashTable *run_counts;
	const struct call_record *c;
	int unread = 0, n;
	guint i;

	memset(v, 0, sizeof(*v));
	run_counts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (; *controls != NULL; controls++)
		unread += read_ledger(*controls, run_counts) != 0;
	for (i = 0; i < calls->len; i++) {
		c = &g_array_index(calls, struct call_record, i);
		n = GPOINTER_TO_INT(g_hash_table_lookup(run_counts, c->id));
		v->runs += n;
		v->doubled += c->at_most_once && n > 1;
		v->lost += c->reply == REPLY_ANSWER && n == 0;
		v->false_not_run += c->reply == REPLY_NOT_RUN && n > 0;
		if (c->at_most_once && n > 1)
			fprintf(stderr, "doubled: %s ran %d times\n", c->id, n);
		if (c->reply == REPLY_NOT_RUN && n > 0)
			fprintf(stderr, "false not_run: %s ran %d times\n",
			    c->id, n);
	}
	g_hash_table_destroy(run_counts);
	return unread;
}
