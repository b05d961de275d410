/* HTTP messages and their headers. */
#include <string.h>

#include "http.h"

#define STATUS_INTERIM 100
#define STATUS_FINAL   200
#define STATUS_MAX     599

static void remove_at(struct http_message *, guint);

/* The array and its strings must have been allocated by GLib. */
void
http_headers_free(struct http_header *h, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		g_free(h[i].name);
		g_free(h[i].value);
	}
	g_free(h);
}

/* Interim answers precede a final one. */
int
http_status_is_final(int status)
{
	return status >= STATUS_FINAL && status <= STATUS_MAX;
}

/* RFC 9110, 6.4.1; answers to HEAD have none either. */
int
http_status_has_no_body(int status)
{
	return (status >= STATUS_INTERIM && status < STATUS_FINAL) ||
	       status == HTTP_STATUS_NO_CONTENT ||
	       status == HTTP_STATUS_NOT_MODIFIED;
}

/*
 * The last three are not hop-by-hop: Content-Length and Host are written from
 * the message's body and address, and Expect is answered by the server.
 */
int
http_header_is_hop(const char *name)
{
	static const char *const hop[] = { "Connection", "Keep-Alive", "TE",
		"Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection",
		"Proxy-Authenticate", "Proxy-Authorization", "Content-Length",
		"Host", "Expect" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(hop); i++)
		if (g_ascii_strcasecmp(name, hop[i]) == 0)
			return 1;
	return 0;
}

/* Returns an empty message, which the calling code frees. */
struct http_message *
http_message_new(void)
{
	struct http_message *m;

	m = g_new0(struct http_message, 1);
	m->headers = g_array_new(FALSE, FALSE, sizeof(struct http_header));
	m->body = g_byte_array_new();
	m->length = -1;
	return m;
}

/* NULL is allowed. */
void
http_message_free(struct http_message *m)
{
	guint n;

	if (m == NULL)
		return;
	n = m->headers->len;
	http_headers_free(
	    (struct http_header *)(void *)g_array_free(m->headers, FALSE), n);
	g_byte_array_free(m->body, TRUE);
	g_free(m->method);
	g_free(m->path);
	g_free(m);
}

/* Copies the body, too, so that copy and original can be freed in any order. */
struct http_message *
http_message_copy(const struct http_message *m)
{
	struct http_message *c = http_message_new();
	const struct http_header *h;
	guint i;

	c->method = g_strdup(m->method);
	c->path = g_strdup(m->path);
	c->status = m->status;
	c->keep_alive = m->keep_alive;
	c->until_close = m->until_close;
	c->http10 = m->http10;
	c->length = m->length;
	for (i = 0; i < m->headers->len; i++) {
		h = &g_array_index(m->headers, struct http_header, i);
		http_add(c, h->name, h->value);
	}
	g_byte_array_append(c->body, m->body->data, m->body->len);
	return c;
}

/* Of repeated headers, all but the first are ignored. */
const char *
http_find(const struct http_message *m, const char *name)
{
	const struct http_header *h;
	guint i;

	for (i = 0; i < m->headers->len; i++) {
		h = &g_array_index(m->headers, struct http_header, i);
		if (g_ascii_strcasecmp(h->name, name) == 0)
			return h->value;
	}
	return NULL;
}

/* Negative numbers and numbers with other characters give dflt. */
int64_t
http_find_int(const struct http_message *m, const char *name, int64_t dflt)
{
	const char *v = http_find(m, name);
	gint64 n;

	if (v == NULL ||
	    !g_ascii_string_to_signed(v, 10, 0, G_MAXINT32, &n, NULL))
		return dflt;
	return n;
}

/* A header of the same name is kept, as HTTP allows repeated headers. */
void
http_add(struct http_message *m, const char *name, const char *value)
{
	struct http_header h = { g_strdup(name), g_strdup(value) };

	g_array_append_val(m->headers, h);
}

/* Frees the header at an index; those after it move down by one. */
static void
remove_at(struct http_message *m, guint i)
{
	struct http_header *h =
	    &g_array_index(m->headers, struct http_header, i);

	g_free(h->name);
	g_free(h->value);
	g_array_remove_index(m->headers, i);
}

/*
 * Removes repeated headers as well, unlike http_find, which returns the first.
 */
void
http_remove(struct http_message *m, const char *name)
{
	const struct http_header *h;
	guint i = 0;

	while (i < m->headers->len) {
		h = &g_array_index(m->headers, struct http_header, i);
		if (g_ascii_strcasecmp(h->name, name) == 0)
			remove_at(m, i);
		else
			i++;
	}
}

/* Host identifies the requested resource, so it is never removed. */
void
http_strip_hop(struct http_message *m)
{
	const struct http_header *h;
	const char *listed;
	char **names;
	guint i;

	if ((listed = http_find(m, "Connection")) != NULL) {
		names = g_strsplit(listed, ",", -1);
		for (i = 0; names[i] != NULL; i++)
			if (g_ascii_strcasecmp(g_strstrip(names[i]), "Host") !=
			    0)
				http_remove(m, names[i]);
		g_strfreev(names);
	}
	i = 0;
	while (i < m->headers->len) {
		h = &g_array_index(m->headers, struct http_header, i);
		if (http_header_is_hop(h->name) &&
		    g_ascii_strcasecmp(h->name, "Host") != 0)
			remove_at(m, i);
		else
			i++;
	}
}
