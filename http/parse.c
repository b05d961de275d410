/* Incremental parsing of HTTP messages, by libhttp-parser's callbacks. */
#include <string.h>

#include "http.h"

#define STATUS_CONTINUE	   100
#define STATUS_FINAL	   200
#define STATUS_AT	   9  /* place in a line: behind "HTTP/1.1 " */
#define STATUS_LINE_BYTES  13 /* up to the byte after the status */
#define INTERIM_MAX	   16 /* interim answers before the final one */
#define HEADER_EXTRA_BYTES 4  /* ": " and CRLF of each header */

static int on_begin(http_parser *);
static int on_url(http_parser *, const char *, size_t);
static int on_field(http_parser *, const char *, size_t);
static int on_value(http_parser *, const char *, size_t);
static int on_headers(http_parser *);
static int on_body(http_parser *, const char *, size_t);
static int on_complete(http_parser *);
static int count_head_bytes(struct http_parse *, size_t);
static void finish_header(struct http_parse *);
static int name_is_token(const char *);
static int status_line_fits(char, size_t);
static void check_status_line(struct http_parse *, const char *, size_t);
static void reset_message(struct http_parse *, enum http_parser_type);
static int parse_one(struct http_parse *, struct evbuffer *);

static const http_parser_settings callbacks = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

/*
 * The parser is in memory of the calling code; http_parse_free frees its parts.
 */
void
http_parse_init(struct http_parse *p, enum http_parser_type type,
    size_t head_max, size_t body_max)
{
	memset(p, 0, sizeof(*p));
	p->head_max = head_max;
	p->body_max = body_max;
	p->name = g_string_new(NULL);
	p->value = g_string_new(NULL);
	p->path = g_string_new(NULL);
	http_parse_next(p, type);
}

/* Frees the message too, unless http_parse_take has passed it on. */
void
http_parse_free(struct http_parse *p)
{
	http_message_free(p->msg);
	g_string_free(p->name, TRUE);
	g_string_free(p->value, TRUE);
	g_string_free(p->path, TRUE);
}

/* The limits, no_body and in_pieces remain as they were set. */
void
http_parse_next(struct http_parse *p, enum http_parser_type type)
{
	p->interim = 0;
	reset_message(p, type);
}

/* Resets all but the count of interim answers. */
static void
reset_message(struct http_parse *p, enum http_parser_type type)
{
	http_message_free(p->msg);
	p->msg = http_message_new();
	g_string_truncate(p->name, 0);
	g_string_truncate(p->value, 0);
	g_string_truncate(p->path, 0);
	p->head = p->line = 0;
	p->in_value = p->begun = p->has_head = p->complete = 0;
	p->err = HTTP_OK;
	http_parser_init(&p->parser, type);
	p->parser.data = p;
}

/* libhttp-parser's callback for the first byte of a message. */
static int
on_begin(http_parser *parser)
{
	struct http_parse *p = parser->data;

	p->begun = 1;
	return 0;
}

/* Counts bytes of the head; returns -1 if head_max is exceeded. */
static int
count_head_bytes(struct http_parse *p, size_t len)
{
	p->head += len;
	if (p->head <= p->head_max)
		return 0;
	p->err = HTTP_EHEAD;
	return -1;
}

/* Called for each part of the URL, which may arrive in several reads. */
static int
on_url(http_parser *parser, const char *at, size_t len)
{
	struct http_parse *p = parser->data;

	g_string_append_len(p->path, at, (gssize)len);
	return count_head_bytes(p, len);
}

/* Returns whether a header's name is a token of RFC 9110. */
static int
name_is_token(const char *s)
{
	static const char others[] = "!#$%&'*+-.^_`|~";

	if (*s == '\0')
		return 0;
	for (; *s != '\0'; s++)
		if (!g_ascii_isalnum(*s) && strchr(others, *s) == NULL)
			return 0;
	return 1;
}

/* Appends the header in name and value to the message, and clears both. */
static void
finish_header(struct http_parse *p)
{
	if (p->name->len == 0)
		return;
	if (!name_is_token(p->name->str) ||
	    strlen(p->value->str) != p->value->len)
		p->err = HTTP_EMALFORMED;
	else
		http_add(p->msg, p->name->str, g_strstrip(p->value->str));
	g_string_truncate(p->name, 0);
	g_string_truncate(p->value, 0);
	p->in_value = 0;
}

/*
 * A name that follows a value starts the next header and completes the previous
 * one.
 */
static int
on_field(http_parser *parser, const char *at, size_t len)
{
	struct http_parse *p = parser->data;

	if (p->in_value)
		finish_header(p);
	g_string_append_len(p->name, at, (gssize)len);
	return p->err != HTTP_OK ||
	       count_head_bytes(p, len + HEADER_EXTRA_BYTES);
}

/* Called for each part of a header's value; also once for an empty value. */
static int
on_value(http_parser *parser, const char *at, size_t len)
{
	struct http_parse *p = parser->data;

	p->in_value = 1;
	g_string_append_len(p->value, at, (gssize)len);
	return count_head_bytes(p, len);
}

/* The head is complete.  Returns 1 if no body follows, -1 on an error. */
static int
on_headers(http_parser *parser)
{
	struct http_parse *p = parser->data;
	int no_body;

	finish_header(p);
	if (p->err != HTTP_OK)
		return -1;
	p->has_head = 1;
	if (parser->flags & F_CONTENTLENGTH)
		p->msg->length = (int64_t)parser->content_length;
	p->msg->http10 = parser->http_major == 1 && parser->http_minor == 0;
	if (parser->type == HTTP_REQUEST) {
		p->msg->method =
		    g_strdup(http_method_str((enum http_method)parser->method));
		p->msg->path = g_strdup(p->path->str);
		if (parser->method == HTTP_CONNECT) {
			p->err = HTTP_EMALFORMED;
			return -1;
		}
	} else {
		p->msg->status = parser->status_code;
	}
	no_body = p->no_body || (parser->type == HTTP_RESPONSE &&
				    http_status_has_no_body(p->msg->status));
	if (!p->in_pieces && !no_body && (parser->flags & F_CONTENTLENGTH) &&
	    parser->content_length > p->body_max) {
		p->err = HTTP_EBODY;
		return -1;
	}
	p->msg->until_close = parser->type == HTTP_RESPONSE && !no_body &&
			      !(parser->flags & (F_CHUNKED | F_CONTENTLENGTH));
	/* Upgrades are not supported: read the message as any other. */
	parser->upgrade = 0;
	return no_body;
}

/*
 * The check covers chunked bodies, whose length is not announced in the head.
 */
static int
on_body(http_parser *parser, const char *at, size_t len)
{
	struct http_parse *p = parser->data;

	if (p->msg->body->len + len > p->body_max) {
		p->err = HTTP_EBODY;
		return -1;
	}
	g_byte_array_append(p->msg->body, (const guint8 *)at, (guint)len);
	return 0;
}

/*
 * Pauses the parser, so that the bytes of the next message stay in the buffer.
 */
static int
on_complete(http_parser *parser)
{
	struct http_parse *p = parser->data;

	p->msg->keep_alive = http_should_keep_alive(parser);
	p->complete = 1;
	http_parser_pause(parser, 1);
	return 0;
}

/* Whether a byte may be at this place of a status line. */
static int
status_line_fits(char c, size_t at)
{
	switch (at) {
	case STATUS_AT:
		return c >= '1' && c <= '5';
	case STATUS_AT + 1:
	case STATUS_AT + 2:
		return g_ascii_isdigit(c);
	case STATUS_LINE_BYTES - 1:
		return c == ' ' || c == '\r' || c == '\n';
	default:
		/* The parser checks the version. */
		return c != '\r' && c != '\n';
	}
}

/*
 * Checks that the status has exactly three digits, from 100 to 599, which
 * libhttp-parser does not: it reads 000, 2 and 0200.
 */
static void
check_status_line(struct http_parse *p, const char *bytes, size_t len)
{
	size_t i;

	for (i = 0; i < len && p->line < STATUS_LINE_BYTES; i++) {
		/* The parser skips empty lines before an answer. */
		if (p->line == 0 && (bytes[i] == '\r' || bytes[i] == '\n'))
			continue;
		if (!status_line_fits(bytes[i], p->line++)) {
			p->err = HTTP_EMALFORMED;
			return;
		}
	}
}

/* Parses up to the end of one message, which may be an interim answer. */
static int
parse_one(struct http_parse *p, struct evbuffer *in)
{
	const char *bytes;
	size_t len, used;

	while (
	    !p->complete && p->err == HTTP_OK && evbuffer_get_length(in) > 0) {
		/* The buffer's first chain may be empty. */
		len = evbuffer_get_contiguous_space(in);
		if (len == 0)
			len = evbuffer_get_length(in);
		bytes = (const char *)evbuffer_pullup(in, (ev_ssize_t)len);
		if (p->parser.type == HTTP_RESPONSE)
			check_status_line(p, bytes, len);
		if (p->err != HTTP_OK)
			break;
		used = http_parser_execute(&p->parser, &callbacks, bytes, len);
		evbuffer_drain(in, used);
		if (p->complete)
			break;
		if (p->err == HTTP_OK &&
		    HTTP_PARSER_ERRNO(&p->parser) == HPE_HEADER_OVERFLOW)
			p->err = HTTP_EHEAD;
		if (p->err == HTTP_OK &&
		    HTTP_PARSER_ERRNO(&p->parser) != HPE_OK)
			p->err = HTTP_EMALFORMED;
	}
	if (p->err != HTTP_OK)
		return p->err;
	if (!p->complete)
		return HTTP_EINCOMPLETE;
	return HTTP_OK;
}

/*
 * More than INTERIM_MAX interim answers are an error, as they could go on
 * forever.
 */
int
http_parse_feed(struct http_parse *p, struct evbuffer *in)
{
	int err;

	while ((err = parse_one(p, in)) == HTTP_OK &&
	       p->msg->status >= STATUS_CONTINUE &&
	       p->msg->status < STATUS_FINAL) {
		if (++p->interim > INTERIM_MAX)
			return p->err = HTTP_EMALFORMED;
		reset_message(p, HTTP_RESPONSE);
	}
	return err;
}

/* The body starts again at length 0, so body_max applies to each part. */
void
http_parse_move_body(struct http_parse *p, GByteArray *out)
{
	g_byte_array_append(out, p->msg->body->data, p->msg->body->len);
	g_byte_array_set_size(p->msg->body, 0);
}

/*
 * Feeds 0 bytes to libhttp-parser, which completes a body that has no length.
 */
int
http_parse_end(struct http_parse *p)
{
	if (p->complete)
		return HTTP_OK;
	if (p->err != HTTP_OK)
		return p->err;
	if (!p->begun)
		return HTTP_EINCOMPLETE;
	http_parser_execute(&p->parser, &callbacks, NULL, 0);
	return p->complete ? HTTP_OK : HTTP_ETRUNCATED;
}

/* http_parse_next must be called before the parser is used again. */
struct http_message *
http_parse_take(struct http_parse *p)
{
	struct http_message *m = p->msg;

	p->msg = NULL;
	return m;
}
