/* Stand-in for the store of the users' platform: its HTTP interface. */
#include <stdlib.h>
#include <string.h>

#include "store_int.h"

#define WAIT_MAX_MS 30000 /* longest wait of a watch */

const char *const store_fault_names[] = { "well", "down", "busy", "limit",
	"silent", "garbled", NULL };

static void on_request(void *, struct http_exchange *, struct http_message *);
static void on_gone(void *, struct http_exchange *);
static void reply_list(struct store *, struct http_exchange *, const char *);
static void
start_watch(const struct store_address *, struct http_exchange *, const char *);
static void drop_watches(struct store *, const struct store_address *);
static int reply_to_watch(struct watch *, int);
static void print_item(GString *, const struct item *, const char *);
static char *query_parameter(const char *, const char *);
static void set_item(struct store *, const char *, const char *);

/* Releases a watch; its exchange belongs to the server. */
static void
watch_free(gpointer p)
{
	struct watch *w = p;

	event_free(w->timer);
	g_free(w->prefix);
	g_free(w);
}

/* Starts without items at revision 1. */
struct store *
store_new(struct event_base *base, const char *addr, int page)
{
	struct store *s = g_new0(struct store, 1);

	s->base = base;
	s->page = page;
	s->era = 1;
	s->limits = (struct http_limits){ 16384, 0, 5000, 60000, 0 };
	store_data_init(&s->data);
	s->watches = g_ptr_array_new_with_free_func(watch_free);
	if (store_add_address(s, addr) == 0)
		return s;
	store_free(s);
	return NULL;
}

/* All addresses serve the same items; only the fault differs. */
int
store_add_address(struct store *s, const char *addr)
{
	struct store_address *a = &s->addresses[s->naddresses];
	struct http_server_calls calls = {
		.arg = a, .request = on_request, .gone = on_gone
	};

	if (s->naddresses == STORE_ADDRESSES_MAX)
		return STANDIN_ELISTEN;
	a->store = s;
	a->server = http_server_new(s->base, addr, &s->limits, &calls);
	return a->server != NULL ? s->naddresses++ : STANDIN_ELISTEN;
}

/* Closes all addresses before it releases watches and items. */
void
store_free(struct store *s)
{
	int k;

	for (k = 0; k < s->naddresses; k++)
		http_server_free(s->addresses[k].server);
	g_ptr_array_free(s->watches, TRUE);
	store_drop_delayed(s, NULL);
	store_data_clear(&s->data);
	store_data_clear(&s->copy);
	g_free(s->era_text);
	g_free(s->delayed_prefix);
	if (s->stale_items != NULL)
		g_ptr_array_free(s->stale_items, TRUE);
	g_free(s);
}

/* Sets an item, or removes it when value is NULL, and answers its watches. */
static void
set_item(struct store *s, const char *key, const char *value)
{
	struct item change = { g_strdup(key), g_strdup(value),
		++s->data.revision };
	struct item *e;
	guint i;

	g_array_append_val(s->data.history, change);
	if (value == NULL) {
		g_tree_remove(s->data.items, key);
	} else {
		e = g_new(struct item, 1);
		*e = (struct item){ g_strdup(key), g_strdup(value),
			s->data.revision };
		g_tree_replace(s->data.items, e->key, e);
	}
	for (i = s->watches->len; i > 0; i--)
		reply_to_watch(g_ptr_array_index(s->watches, i - 1), 0);
}

/* Answers the watches that the change concerns. */
void
store_put(struct store *s, const char *key, const char *value)
{
	set_item(s, key, value);
}

/* Adds a removal to the history, also if there is no such item. */
void
store_remove(struct store *s, const char *key)
{
	set_item(s, key, NULL);
}

/* Open watches are answered: 410 if older than the last revision, else 200. */
void
store_compact(struct store *s)
{
	guint i;

	s->data.compacted_revision = s->data.revision;
	for (i = s->watches->len; i > 0; i--)
		reply_to_watch(g_ptr_array_index(s->watches, i - 1), 1);
}

/* Keeps the history itself: only older watches are refused. */
void
store_compact_later(struct store *s)
{
	struct watch *w;

	s->data.compacted_revision = s->data.revision;
	while (s->watches->len > 0) {
		w = g_ptr_array_index(s->watches, 0);
		store_reply(s, w->exchange, w->prefix, 503, "{}");
		g_ptr_array_remove(s->watches, w);
	}
}

/* Sets each address in turn; see store_set_address_fault(). */
void
store_set_fault(struct store *s, enum store_fault fault)
{
	int i;

	for (i = 0; i < s->naddresses; i++)
		store_set_address_fault(s, i, fault);
}

/* STORE_SILENT drops open watches; other faults leave them open. */
void
store_set_address_fault(struct store *s, int address, enum store_fault fault)
{
	s->addresses[address].fault = fault;
	if (fault == STORE_SILENT)
		drop_watches(s, &s->addresses[address]);
}

/* Drops the open watches of an address, which are then never answered. */
static void
drop_watches(struct store *s, const struct store_address *a)
{
	const struct watch *w;
	guint i = 0;

	while (i < s->watches->len) {
		w = g_ptr_array_index(s->watches, i);
		if (w->store_address != a) {
			i++;
			continue;
		}
		http_exchange_set(w->exchange, NULL);
		g_ptr_array_remove_index(s->watches, i);
	}
}

/* Called for each item by store_freeze_stale(). */
static gboolean
copy_stale_item(gpointer key, gpointer value, gpointer data)
{
	(void)key;
	g_ptr_array_add(((struct store *)data)->stale_items, item_copy(value));
	return FALSE;
}

/* Replaces the items of an earlier call. */
void
store_freeze_stale(struct store *s)
{
	if (s->stale_items != NULL)
		g_ptr_array_free(s->stale_items, TRUE);
	s->stale_items = g_ptr_array_new_with_free_func(item_free);
	g_tree_foreach(s->data.items, copy_stale_item, s);
}

/* Without the lists that allow stale data. */
int
store_calls(const struct store *s)
{
	return s->calls;
}

/* Only the lists that allow stale data. */
int
store_stale_calls(const struct store *s)
{
	return s->stale_calls;
}

/* Value of a query parameter, owned by the caller, or NULL. */
static char *
query_parameter(const char *path, const char *name)
{
	const char *query = strchr(path, '?');
	char **parts, *found = NULL;
	size_t i, len = strlen(name);

	if (query == NULL)
		return NULL;
	parts = g_strsplit(query + 1, "&", -1);
	for (i = 0; parts[i] != NULL && found == NULL; i++)
		if (strncmp(parts[i], name, len) == 0 && parts[i][len] == '=')
			found = g_uri_unescape_string(parts[i] + len + 1, NULL);
	g_strfreev(parts);
	return found;
}

/* Appends an item, or a removal if it has no value, as JSON. */
static void
print_item(GString *out, const struct item *e, const char *sep)
{
	gchar *text;

	g_string_append_printf(out,
	    "%s{\"Key\":\"%s\",\"Revision\":%" G_GUINT64_FORMAT, sep, e->key,
	    e->revision);
	if (e->value == NULL) {
		g_string_append(out, ",\"Removed\":true}");
		return;
	}
	text = g_base64_encode((const guchar *)e->value, strlen(e->value));
	g_string_append_printf(out, ",\"Value\":\"%s\",\"Lease\":0}", text);
	g_free(text);
}

/* A page of a list while it is written. */
struct listing {
	GString *out;
	const char *prefix, *after;
	int left, more, count; /* left: items that still fit */
};

/* Called for each item in order of keys; TRUE once the page is full. */
static gboolean
add_to_list(gpointer key, gpointer value, gpointer data)
{
	struct listing *l = data;

	if (!g_str_has_prefix(key, l->prefix) ||
	    (l->after != NULL && strcmp(key, l->after) <= 0))
		return FALSE;
	if (l->left-- <= 0) {
		l->more = 1;
		return TRUE;
	}
	print_item(l->out, value, l->count++ ? "," : "");
	return FALSE;
}

/* Answers with one page of the items whose keys follow the parameter after. */
static void
reply_list(struct store *s, struct http_exchange *c, const char *path)
{
	char *prefix = query_parameter(path, "Prefix");
	char *after = query_parameter(path, "after");
	char *stale = query_parameter(path, "AllowStale");
	struct listing l = { g_string_new("{\"items\":["),
		prefix != NULL ? prefix : "", after, s->page, 0, 0 };
	guint i;

	if (stale != NULL) {
		s->calls--;
		s->stale_calls++;
	}
	if (stale != NULL && s->stale_items != NULL) {
		for (i = 0; i < s->stale_items->len; i++)
			if (add_to_list(
				((struct item *)s->stale_items->pdata[i])->key,
				s->stale_items->pdata[i], &l))
				break;
	} else {
		g_tree_foreach(s->data.items, add_to_list, &l);
	}
	g_string_append_printf(l.out,
	    "],\"HasMore\":%s,\"AsOf\":%" G_GUINT64_FORMAT "}",
	    l.more ? "true" : "false", s->data.revision);
	store_reply(s, c, l.prefix, 200, l.out->str);
	store_page_sent(s, l.more);
	g_string_free(l.out, TRUE);
	g_free(prefix);
	g_free(after);
	g_free(stale);
}

/* The wait of a watch has ended: answers it without changes. */
static void
on_watch_timeout(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	reply_to_watch(arg, 1);
}

/*
 * Answers a watch with 410 if its revision was compacted or is none that the
 * store has, or with the changes since that revision if there are any or it has
 * timed out.  Returns 1 if it was answered, and frees it then.
 */
static int
reply_to_watch(struct watch *w, int timed_out)
{
	struct store *s = w->store;
	const struct item *e;
	GString *out;
	int count = 0;
	guint i;

	if (w->after < s->data.compacted_revision ||
	    w->after > s->data.revision) {
		store_reply(s, w->exchange, w->prefix, 410, "{}");
		g_ptr_array_remove(s->watches, w);
		return 1;
	}
	out = g_string_new("{\"events\":[");
	for (i = 0; i < s->data.history->len; i++) {
		e = &g_array_index(s->data.history, struct item, i);
		if (e->revision > w->after &&
		    g_str_has_prefix(e->key, w->prefix))
			print_item(out, e, count++ ? "," : "");
	}
	g_string_append_printf(
	    out, "],\"AsOf\":%" G_GUINT64_FORMAT "}", s->data.revision);
	if (count > 0 || timed_out) {
		store_reply(s, w->exchange, w->prefix, 200, out->str);
		g_ptr_array_remove(s->watches, w);
	}
	g_string_free(out, TRUE);
	return count > 0 || timed_out;
}

/* Opens a watch, or answers it at once if there are changes already. */
static void
start_watch(
    const struct store_address *a, struct http_exchange *c, const char *path)
{
	struct store *s = a->store;
	char *prefix = query_parameter(path, "Prefix");
	char *after = query_parameter(path, "after");
	char *wait = query_parameter(path, "WaitMs");
	struct watch *w = g_new0(struct watch, 1);
	int ms = CLAMP(wait != NULL ? atoi(wait) : 0, 0, WAIT_MAX_MS);
	struct timeval tv = { ms / 1000, ms % 1000 * 1000L };

	w->store = s;
	w->store_address = a;
	w->exchange = c;
	w->prefix = prefix != NULL ? prefix : g_strdup("");
	w->after = after != NULL ? g_ascii_strtoull(after, NULL, 10) : 0;
	w->timer = evtimer_new(s->base, on_watch_timeout, w);
	g_ptr_array_add(s->watches, w);
	http_exchange_set(c, w);
	g_free(after);
	g_free(wait);
	if (!reply_to_watch(w, 0))
		evtimer_add(w->timer, &tv);
}

/* Counts a request and answers it as the fault of its address demands. */
static void
on_request(void *arg, struct http_exchange *c, struct http_message *m)
{
	const struct store_address *a = arg;
	struct store *s = a->store;

	s->calls++;
	switch (a->fault) {
	case STORE_DOWN:
		store_reply(s, c, "", 200, "");
		break;
	case STORE_BUSY:
		store_reply(s, c, "", 503, "{}");
		break;
	case STORE_LIMIT:
		store_reply(s, c, "", 429, "{}");
		break;
	case STORE_SILENT:
		break;
	case STORE_MALFORMED:
		store_reply(s, c, "", 200, "{\"items\":[{");
		break;
	default:
		if (g_str_has_prefix(m->path, "/kv-range"))
			reply_list(s, c, m->path);
		else if (g_str_has_prefix(m->path, "/kv-watch"))
			start_watch(a, c, m->path);
		else
			store_reply(s, c, "", 404, "{}");
		break;
	}
	http_message_free(m);
}

/* The client has disconnected: frees its open watch, if any. */
static void
on_gone(void *arg, struct http_exchange *c)
{
	struct store *s = ((struct store_address *)arg)->store;
	struct watch *w = http_exchange_data(c);

	if (w != NULL)
		g_ptr_array_remove(s->watches, w);
	else
		store_drop_delayed(s, c);
}
