/*
 * The HTTP protocol of common key-value services: GET /kv/KEY, with
 * ?index=N&wait=Mms for a blocking read.  The X-Index header of the answer is
 * the index of the next blocking read.
 */
#include <inttypes.h>
#include <stdlib.h>

#include <neon/ne_request.h>
#include <neon/ne_session.h>
#include <neon/ne_socket.h>

#include "source.h"

#define CONNECT_TIMEOUT_S   2
#define READ_TIMEOUT_S	    2	  /* between two bytes, added to the wait */
#define RESPONSE_TIMEOUT_MS 5000  /* for a whole answer, added to the wait */
#define BLOCK_BYTES	    16384 /* read at a time */
#define HTTP_OK		    200
#define HTTP_NOT_FOUND	    404
#define HTTP_TOO_MANY	    429

struct source {
	ne_session *session;
	int read_s; /* read timeout of the open connection, in s */
};

static struct source *http_open(const char *, int);
static void http_close(struct source *);
static int
http_read(struct source *, const char *, uint64_t, int, GBytes **, uint64_t *);
static int read_body(ne_request *, int64_t, GByteArray *);
static void set_timeout(struct source *, int);
static int status_error(int);
static int session_error(int);

const struct source_ops source_http = {
	.name = "http",
	.open = http_open,
	.close = http_close,
	.read = http_read,
};

/* Text of this package's errors. */
const char *
source_strerror(int err)
{
	static const char *const texts[] = {
		"ok",
		"the service cannot be reached",
		"the service is too slow",
		"the key does not exist",
		"the value is too large",
		"the value cannot be understood",
		"the answer is older than one seen before",
		"this node's budget of reads is spent",
		"the service refused the read for its rate",
		"the reader is stopping",
		"a wait ended at once without a change",
	};
	int i = err == 0 ? 0 : -300 - err;

	if (i < 0 || i >= (int)G_N_ELEMENTS(texts))
		return "unknown error";
	return texts[i];
}

/* Creates a session; the first read opens the connection. */
static struct source *
http_open(const char *host, int port)
{
	struct source *p;

	p = g_new0(struct source, 1);
	p->session = ne_session_create("http", host, (unsigned int)port);
	ne_set_connect_timeout(p->session, CONNECT_TIMEOUT_S);
	return p;
}

/* Closes the connection and releases the session. */
static void
http_close(struct source *p)
{
	ne_session_destroy(p->session);
	g_free(p);
}

/* Maps an HTTP status to an error of this package. */
static int
status_error(int status)
{
	switch (status) {
	case HTTP_OK:
		return SOURCE_OK;
	case HTTP_NOT_FOUND:
		return SOURCE_ENOTFOUND;
	case HTTP_TOO_MANY:
		return SOURCE_ERATELIMIT;
	default:
		return SOURCE_EDOWN;
	}
}

/* Maps an error of neon to one of this package. */
static int
session_error(int ne)
{
	return ne == NE_TIMEOUT ? SOURCE_ETIMEOUT : SOURCE_EDOWN;
}

/* Reads a body of at most SOURCE_VALUE_MAX bytes until a deadline (ms). */
static int
read_body(ne_request *req, int64_t deadline, GByteArray *body)
{
	char block[BLOCK_BYTES];
	ssize_t n;

	while ((n = ne_read_response_block(req, block, sizeof(block))) > 0) {
		if (body->len + (size_t)n > SOURCE_VALUE_MAX)
			return SOURCE_ELARGE;
		if (base_now_ms() > deadline)
			return SOURCE_ETIMEOUT;
		g_byte_array_append(body, (guint8 *)block, (guint)n);
	}
	return n < 0 ? SOURCE_EDOWN : SOURCE_OK;
}

/*
 * Sets the read timeout.  neon applies it when a connection is opened, so
 * another timeout needs another connection.
 */
static void
set_timeout(struct source *p, int seconds)
{
	if (p->read_s == seconds)
		return;
	p->read_s = seconds;
	ne_close_connection(p->session);
	ne_set_read_timeout(p->session, seconds);
}

/* Reads a key; blocks for wait_ms at most if index is not 0. */
static int
http_read(struct source *p, const char *key, uint64_t index, int wait_ms,
    GBytes **value, uint64_t *new_index)
{
	ne_request *req;
	GByteArray *body;
	const char *hdr;
	char *path;
	int64_t deadline;
	int ne, err;

	if (index > 0)
		path = g_strdup_printf(
		    "/kv/%s?index=%" PRIu64 "&wait=%dms", key, index, wait_ms);
	else
		path = g_strdup_printf("/kv/%s", key);
	deadline = base_now_ms() + wait_ms + RESPONSE_TIMEOUT_MS;
	set_timeout(
	    p, READ_TIMEOUT_S + (wait_ms + BASE_MS_PER_S) / BASE_MS_PER_S);
	req = ne_request_create(p->session, "GET", path);
	g_free(path);
	body = g_byte_array_new();
	*new_index = 0;
	if ((ne = ne_begin_request(req)) != NE_OK) {
		err = session_error(ne);
	} else {
		err = status_error(ne_get_status(req)->code);
		if ((hdr = ne_get_response_header(req, "X-Index")) != NULL)
			*new_index = strtoull(hdr, NULL, 10);
		if (err == SOURCE_OK)
			err = read_body(req, deadline, body);
		if (err == SOURCE_OK && ne_end_request(req) != NE_OK)
			err = SOURCE_EDOWN;
	}
	if (err != SOURCE_OK)
		ne_close_connection(p->session);
	ne_request_destroy(req);
	*value = g_byte_array_free_to_bytes(body);
	if (err != SOURCE_OK) {
		g_bytes_unref(*value);
		*value = NULL;
	}
	return err;
}
