/* Writing of HTTP messages. */
#include <inttypes.h>
#include <string.h>

#include "http.h"

static void write_headers(struct evbuffer *, const struct http_message *);

static const struct {
	int status;
	const char *text;
} texts[] = {
	{ 200, "OK" },
	{ 400, "Bad Request" },
	{ 404, "Not Found" },
	{ 408, "Request Timeout" },
	{ 413, "Content Too Large" },
	{ 421, "Misdirected Request" },
	{ 429, "Too Many Requests" },
	{ 431, "Request Header Fields Too Large" },
	{ 500, "Internal Server Error" },
	{ 502, "Bad Gateway" },
	{ 503, "Service Unavailable" },
	{ 504, "Gateway Timeout" },
};

/* Also the text body of the server's own error answers. */
const char *
http_status_text(int status)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++)
		if (texts[i].status == status)
			return texts[i].text;
	return "-";
}

/* Appends the headers that are forwarded, and a request's Host. */
static void
write_headers(struct evbuffer *out, const struct http_message *m)
{
	const struct http_header *h;
	guint i;

	for (i = 0; i < m->headers->len; i++) {
		h = &g_array_index(m->headers, struct http_header, i);
		if (http_header_is_hop(h->name) &&
		    (m->method == NULL ||
			g_ascii_strcasecmp(h->name, "Host") != 0))
			continue;
		evbuffer_add_printf(out, "%s: %s\r\n", h->name, h->value);
	}
}

/* Methods that normally have a body get a Content-Length even if it is 0. */
void
http_write_request(struct evbuffer *out, const struct http_message *m)
{
	evbuffer_add_printf(out, "%s %s HTTP/1.1\r\n", m->method, m->path);
	write_headers(out, m);
	if (m->body->len > 0 || strcmp(m->method, "POST") == 0 ||
	    strcmp(m->method, "PUT") == 0 || strcmp(m->method, "PATCH") == 0)
		evbuffer_add_printf(
		    out, "Content-Length: %u\r\n", m->body->len);
	evbuffer_add(out, "\r\n", 2);
	evbuffer_add(out, m->body->data, m->body->len);
}

/* Without a body, no Content-Length is written. */
void
http_write_answer(struct evbuffer *out, const struct http_message *m,
    int keep_alive, int is_head)
{
	int no_body = is_head || http_status_has_no_body(m->status);

	evbuffer_add_printf(
	    out, "HTTP/1.1 %d %s\r\n", m->status, http_status_text(m->status));
	write_headers(out, m);
	if (!no_body)
		evbuffer_add_printf(
		    out, "Content-Length: %u\r\n", m->body->len);
	if (!keep_alive)
		evbuffer_add_printf(out, "Connection: close\r\n");
	evbuffer_add(out, "\r\n", 2);
	if (!no_body)
		evbuffer_add(out, m->body->data, m->body->len);
}

/* With neither length nor chunks, the end of the connection ends the body. */
void
http_write_head(struct evbuffer *out, const struct http_message *m,
    int keep_alive, int chunked)
{
	evbuffer_add_printf(
	    out, "HTTP/1.1 %d %s\r\n", m->status, http_status_text(m->status));
	write_headers(out, m);
	if (m->length >= 0)
		evbuffer_add_printf(
		    out, "Content-Length: %" PRId64 "\r\n", m->length);
	else if (chunked)
		evbuffer_add_printf(out, "Transfer-Encoding: chunked\r\n");
	if (!keep_alive)
		evbuffer_add_printf(out, "Connection: close\r\n");
	evbuffer_add(out, "\r\n", 2);
}

/* An empty piece is skipped: as a chunk it would end the body. */
void
http_write_piece(
    struct evbuffer *out, const void *bytes, size_t len, int chunked)
{
	if (len == 0)
		return;
	if (chunked)
		evbuffer_add_printf(out, "%zx\r\n", len);
	evbuffer_add(out, bytes, len);
	if (chunked)
		evbuffer_add(out, "\r\n", 2);
}

/* A body with a length, or one that the connection ends, needs no end mark. */
void
http_write_end(struct evbuffer *out, int chunked)
{
	if (chunked)
		evbuffer_add(out, "0\r\n\r\n", strlen("0\r\n\r\n"));
}
