/* Stand-in for the store of the users' platform. */
#include <stdlib.h>
#include <string.h>

#include "standin.h"
#include "store.h"

#define WAIT_MAX_MS 30000

struct entry {
	char *key;
	char *value; /* NULL: removed */
	uint64_t revision;
};

/* A watch that waits for a change. */
struct watch {
	struct store *store;
	const struct door *door; /* that it came by */
	struct http_exchange *exchange;
	char *prefix;
	uint64_t after;
	struct event *timer;
};

/* An address that the store is asked at, with a fault of its own. */
struct door {
	struct store *store;
	struct http_server *server;
	enum store_fault fault;
};

struct store {
	struct event_base *base;
	struct door doors[STORE_DOORS];
	int ndoors;
	struct http_limits limits;
	GArray *log;	/* of struct entry, every change */
	GTree *items;	/* key to struct entry */
	GPtrArray *old; /* entries of stale lists, or NULL */
	GPtrArray *watches;
	uint64_t revision, forgotten;
	int page, calls, stale_calls;
};

const char *const store_fault_names[] = { "well", "down", "busy", "limit",
	"silent", "garbled", NULL };

static void on_request(void *, struct http_exchange *, struct http_message *);
static void on_gone(void *, struct http_exchange *);
static void list(struct store *, struct http_exchange *, const char *);
static void watch(const struct door *, struct http_exchange *, const char *);
static void silence(struct store *, const struct door *);
static int answer_watch(struct watch *, int);
static void print_entry(GString *, const struct entry *, const char *);
static char *parameter(const char *, const char *);
static void change(struct store *, const char *, const char *);

static int
compare(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

static void
entry_free(gpointer p)
{
	struct entry *e = p;

	g_free(e->key);
	g_free(e->value);
	g_free(e);
}

static void
watch_free(gpointer p)
{
	struct watch *w = p;

	event_free(w->timer);
	g_free(w->prefix);
	g_free(w);
}

/* Starts the store. */
struct store *
store_new(struct event_base *base, const char *addr, int page)
{
	struct store *s = g_new0(struct store, 1);

	s->base = base;
	s->page = page;
	s->revision = 1;
	s->limits = (struct http_limits){ 16384, 0, 5000, 60000, 0 };
	s->log = g_array_new(FALSE, FALSE, sizeof(struct entry));
	s->items = g_tree_new_full(compare, NULL, NULL, entry_free);
	s->watches = g_ptr_array_new_with_free_func(watch_free);
	if (store_door(s, addr) == 0)
		return s;
	store_free(s);
	return NULL;
}

/* Opens a further address. */
int
store_door(struct store *s, const char *addr)
{
	struct door *d = &s->doors[s->ndoors];
	struct http_server_calls calls = {
		.arg = d, .request = on_request, .gone = on_gone
	};

	if (s->ndoors == STORE_DOORS)
		return STANDIN_ELISTEN;
	d->store = s;
	d->server = http_server_new(s->base, addr, &s->limits, &calls);
	return d->server != NULL ? s->ndoors++ : STANDIN_ELISTEN;
}

/* Stops it. */
void
store_free(struct store *s)
{
	guint i;
	int k;

	for (k = 0; k < s->ndoors; k++)
		http_server_free(s->doors[k].server);
	g_ptr_array_free(s->watches, TRUE);
	g_tree_destroy(s->items);
	for (i = 0; i < s->log->len; i++) {
		g_free(g_array_index(s->log, struct entry, i).key);
		g_free(g_array_index(s->log, struct entry, i).value);
	}
	g_array_free(s->log, TRUE);
	if (s->old != NULL)
		g_ptr_array_free(s->old, TRUE);
	g_free(s);
}

/* Writes or removes an item; watches that waited for it are answered. */
static void
change(struct store *s, const char *key, const char *value)
{
	struct entry log = { g_strdup(key), g_strdup(value), ++s->revision };
	struct entry *e;
	guint i;

	g_array_append_val(s->log, log);
	if (value == NULL) {
		g_tree_remove(s->items, key);
	} else {
		e = g_new(struct entry, 1);
		*e = (struct entry){ g_strdup(key), g_strdup(value),
			s->revision };
		g_tree_replace(s->items, e->key, e);
	}
	for (i = s->watches->len; i > 0; i--)
		answer_watch(g_ptr_array_index(s->watches, i - 1), 0);
}

void
store_put(struct store *s, const char *key, const char *value)
{
	change(s, key, value);
}

void
store_remove(struct store *s, const char *key)
{
	change(s, key, NULL);
}

/* Drops the history; watches that wait are cut. */
void
store_forget(struct store *s)
{
	guint i;

	s->forgotten = s->revision;
	for (i = s->watches->len; i > 0; i--)
		answer_watch(g_ptr_array_index(s->watches, i - 1), 1);
}

void
store_forget_later(struct store *s)
{
	struct watch *w;

	s->forgotten = s->revision;
	while (s->watches->len > 0) {
		w = g_ptr_array_index(s->watches, 0);
		http_reply_text(w->exchange, 503, "application/json", "{}");
		g_ptr_array_remove(s->watches, w);
	}
}

void
store_set_fault(struct store *s, enum store_fault fault)
{
	int i;

	for (i = 0; i < s->ndoors; i++)
		store_set_door_fault(s, i, fault);
}

void
store_set_door_fault(struct store *s, int door, enum store_fault fault)
{
	s->doors[door].fault = fault;
	if (fault == STORE_SILENT)
		silence(s, &s->doors[door]);
}

/* Watches that wait at a door are never answered. */
static void
silence(struct store *s, const struct door *d)
{
	const struct watch *w;
	guint i = 0;

	while (i < s->watches->len) {
		w = g_ptr_array_index(s->watches, i);
		if (w->door != d) {
			i++;
			continue;
		}
		http_exchange_set(w->exchange, NULL);
		g_ptr_array_remove_index(s->watches, i);
	}
}

static gboolean
keep_old(gpointer key, gpointer value, gpointer data)
{
	const struct entry *e = value;
	struct entry *c = g_new(struct entry, 1);

	*c = (struct entry){ g_strdup(key), g_strdup(e->value), e->revision };
	g_ptr_array_add(((struct store *)data)->old, c);
	return FALSE;
}

void
store_freeze_stale(struct store *s)
{
	if (s->old != NULL)
		g_ptr_array_free(s->old, TRUE);
	s->old = g_ptr_array_new_with_free_func(entry_free);
	g_tree_foreach(s->items, keep_old, s);
}

int
store_calls(const struct store *s)
{
	return s->calls;
}

int
store_stale_calls(const struct store *s)
{
	return s->stale_calls;
}

/* Value of a query's parameter, owned by the caller, or NULL. */
static char *
parameter(const char *path, const char *name)
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

/* Appends an item or the news of its removal. */
static void
print_entry(GString *out, const struct entry *e, const char *sep)
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

struct listing {
	GString *out;
	const char *prefix, *after;
	int left, more, any;
};

static gboolean
list_one(gpointer key, gpointer value, gpointer data)
{
	struct listing *l = data;

	if (!g_str_has_prefix(key, l->prefix) ||
	    (l->after != NULL && strcmp(key, l->after) <= 0))
		return FALSE;
	if (l->left-- <= 0) {
		l->more = 1;
		return TRUE;
	}
	print_entry(l->out, value, l->any++ ? "," : "");
	return FALSE;
}

/* A page of a list. */
static void
list(struct store *s, struct http_exchange *c, const char *path)
{
	char *prefix = parameter(path, "Prefix");
	char *after = parameter(path, "after");
	char *stale = parameter(path, "AllowStale");
	struct listing l = { g_string_new("{\"items\":["),
		prefix != NULL ? prefix : "", after, s->page, 0, 0 };
	guint i;

	if (stale != NULL) {
		s->calls--;
		s->stale_calls++;
	}
	if (stale != NULL && s->old != NULL) {
		for (i = 0; i < s->old->len; i++)
			if (list_one(((struct entry *)s->old->pdata[i])->key,
				s->old->pdata[i], &l))
				break;
	} else {
		g_tree_foreach(s->items, list_one, &l);
	}
	g_string_append_printf(l.out,
	    "],\"HasMore\":%s,\"AsOf\":%" G_GUINT64_FORMAT "}",
	    l.more ? "true" : "false", s->revision);
	http_reply_text(c, 200, "application/json", l.out->str);
	g_string_free(l.out, TRUE);
	g_free(prefix);
	g_free(after);
	g_free(stale);
}

static void
on_wait_over(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	answer_watch(arg, 1);
}

/* Answers a watch if there is news, or it must end; 1 when it has ended. */
static int
answer_watch(struct watch *w, int must)
{
	struct store *s = w->store;
	const struct entry *e;
	GString *out;
	int any = 0;
	guint i;

	if (w->after < s->forgotten) {
		http_reply_text(w->exchange, 410, "application/json", "{}");
		g_ptr_array_remove(s->watches, w);
		return 1;
	}
	out = g_string_new("{\"events\":[");
	for (i = 0; i < s->log->len; i++) {
		e = &g_array_index(s->log, struct entry, i);
		if (e->revision > w->after &&
		    g_str_has_prefix(e->key, w->prefix))
			print_entry(out, e, any++ ? "," : "");
	}
	g_string_append_printf(
	    out, "],\"AsOf\":%" G_GUINT64_FORMAT "}", s->revision);
	if (any > 0 || must) {
		http_reply_text(w->exchange, 200, "application/json", out->str);
		g_ptr_array_remove(s->watches, w);
	}
	g_string_free(out, TRUE);
	return any > 0 || must;
}

/* Waits for changes. */
static void
watch(const struct door *d, struct http_exchange *c, const char *path)
{
	struct store *s = d->store;
	char *prefix = parameter(path, "Prefix");
	char *after = parameter(path, "after");
	char *wait = parameter(path, "WaitMs");
	struct watch *w = g_new0(struct watch, 1);
	int ms = CLAMP(wait != NULL ? atoi(wait) : 0, 0, WAIT_MAX_MS);
	struct timeval tv = { ms / 1000, ms % 1000 * 1000L };

	w->store = s;
	w->door = d;
	w->exchange = c;
	w->prefix = prefix != NULL ? prefix : g_strdup("");
	w->after = after != NULL ? g_ascii_strtoull(after, NULL, 10) : 0;
	w->timer = evtimer_new(s->base, on_wait_over, w);
	g_ptr_array_add(s->watches, w);
	http_exchange_set(c, w);
	g_free(after);
	g_free(wait);
	if (!answer_watch(w, 0))
		evtimer_add(w->timer, &tv);
}

static void
on_request(void *arg, struct http_exchange *c, struct http_message *m)
{
	const struct door *d = arg;
	struct store *s = d->store;

	s->calls++;
	switch (d->fault) {
	case STORE_DOWN:
		http_reply_text(c, 200, "text/plain", "");
		break;
	case STORE_BUSY:
		http_reply_text(c, 503, "application/json", "{}");
		break;
	case STORE_LIMIT:
		http_reply_text(c, 429, "application/json", "{}");
		break;
	case STORE_SILENT:
		break;
	case STORE_GARBLED:
		http_reply_text(c, 200, "application/json", "{\"items\":[{");
		break;
	default:
		if (g_str_has_prefix(m->path, "/kv-range"))
			list(s, c, m->path);
		else if (g_str_has_prefix(m->path, "/kv-watch"))
			watch(d, c, m->path);
		else
			http_reply_text(c, 404, "application/json", "{}");
		break;
	}
	http_message_free(m);
}

static void
on_gone(void *arg, struct http_exchange *c)
{
	struct store *s = ((struct door *)arg)->store;
	struct watch *w = http_exchange_data(c);

	if (w != NULL)
		g_ptr_array_remove(s->watches, w);
}
