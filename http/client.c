/* HTTP client that makes one request at a time on a persistent connection. */
#include <string.h>
#include <sys/socket.h>

#include "http.h"

#define HEAD_BYTES_MAX 16384
/* A page of a list is 1 MB, which base64 makes larger. */
#define BODY_BYTES_MAX (4 * 1024 * 1024)
/*
 * libevent reads 4 KB of a connection in a pass of its loop.  A busy loop would
 * need seconds for a configuration of some 100 KB, so the rest of what has
 * arrived is read at once, up to this many bytes a pass.
 */
#define READ_AHEAD_MAX (256 * 1024)
#define READ_BYTES     65536 /* in one system call */
/*
 * Once an answer has begun, it may pause for so long beyond the timeout, and
 * its transfer may take TRANSFER_MAX_MS: a large one takes the VM's link
 * seconds.
 */
#define PAUSE_MAX_MS	700
#define TRANSFER_MAX_MS 10000

struct http_client {
	struct event_base *base;
	char *addr;
	struct bufferevent *bev;
	struct evbuffer *ahead; /* read beyond the bufferevent, not parsed */
	struct http_parse parse;
	struct event *timer;
	int64_t deadline;     /* ms; at which the timer fires */
	int64_t transfer_end; /* ms; the deadline is not later */
	http_client_done done;
	void *arg;
	char *path; /* of the request in flight, or NULL */
	int is_new; /* the connection was opened for this request */
};

static void close_connection(struct http_client *);
static void
finish_request(struct http_client *, int, const struct http_message *);
static void send_request(struct http_client *);
static void extend_deadline(struct http_client *);
static ssize_t read_ahead(struct http_client *);
static int parse_answer(struct http_client *);
static void on_read(struct bufferevent *, void *);
static void on_event(struct bufferevent *, short, void *);
static void on_timeout(evutil_socket_t, short, void *);

/* The client connects with the first request. */
struct http_client *
http_client_new(struct event_base *base, const char *addr)
{
	struct http_client *c;

	c = g_new0(struct http_client, 1);
	c->base = base;
	c->addr = g_strdup(addr);
	c->ahead = evbuffer_new();
	http_parse_init(
	    &c->parse, HTTP_RESPONSE, HEAD_BYTES_MAX, BODY_BYTES_MAX);
	c->timer = evtimer_new(base, on_timeout, c);
	return c;
}

/* NULL is allowed.  The callback of a request in flight is not called. */
void
http_client_free(struct http_client *c)
{
	if (c == NULL)
		return;
	close_connection(c);
	event_free(c->timer);
	http_parse_free(&c->parse);
	evbuffer_free(c->ahead);
	g_free(c->addr);
	g_free(c->path);
	g_free(c);
}

/* The path is set from http_client_get until just before the callback. */
int
http_client_busy(const struct http_client *c)
{
	return c->path != NULL;
}

/* Resets the connection, if there is one; the next request opens another. */
static void
close_connection(struct http_client *c)
{
	if (c->bev != NULL)
		http_reset(c->bev);
	c->bev = NULL;
	evbuffer_drain(c->ahead, evbuffer_get_length(c->ahead));
}

/* Ends the request; the callback may start the next one. */
static void
finish_request(struct http_client *c, int err, const struct http_message *m)
{
	evtimer_del(c->timer);
	g_clear_pointer(&c->path, g_free);
	if (err != HTTP_OK)
		close_connection(c);
	c->done(c->arg, err, m);
}

/* Writes the request, on a new connection if there is none. */
static void
send_request(struct http_client *c)
{
	struct timeval at_once = { 0, 1 };

	c->is_new = c->bev == NULL;
	if (c->is_new) {
		if ((c->bev = http_connect(c->base, c->addr)) == NULL) {
			/* on_timeout reports the error, after the call. */
			evtimer_add(c->timer, &at_once);
			return;
		}
		bufferevent_setcb(c->bev, on_read, NULL, on_event, c);
		bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	}
	http_parse_next(&c->parse, HTTP_RESPONSE);
	evbuffer_add_printf(bufferevent_get_output(c->bev),
	    "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", c->path, c->addr);
}

/*
 * The timeout covers connecting as well, but not the transfer of an answer that
 * has begun.  The connection of a cancelled request
 * is closed, as its answer could be taken for that of the new one.
 */
void
http_client_get(struct http_client *c, const char *path, int timeout_ms,
    http_client_done done, void *arg)
{
	int64_t now = base_now_ms();

	if (c->path != NULL)
		close_connection(c);
	g_free(c->path);
	c->path = g_strdup(path);
	c->done = done;
	c->arg = arg;
	c->deadline = now + timeout_ms;
	c->transfer_end = MAX(c->deadline, now + TRANSFER_MAX_MS);
	http_timer_set(c->timer, timeout_ms);
	send_request(c);
}

/* A part of the answer has arrived: the next one may take PAUSE_MAX_MS. */
static void
extend_deadline(struct http_client *c)
{
	int64_t now = base_now_ms();

	c->deadline =
	    MAX(c->deadline, MIN(now + PAUSE_MAX_MS, c->transfer_end));
	http_timer_set(c->timer, MAX(c->deadline - now, 0));
}

/*
 * Reads what the kernel holds; returns the number of bytes, or 0 or less if
 * there are none.  The bufferevent will notice an end or an error itself.
 */
static ssize_t
read_ahead(struct http_client *c)
{
	struct evbuffer_iovec space;
	ssize_t n;

	if (evbuffer_reserve_space(c->ahead, READ_BYTES, &space, 1) != 1)
		return -1;
	n = recv(bufferevent_getfd(c->bev), space.iov_base, space.iov_len,
	    MSG_DONTWAIT);
	if (n <= 0)
		return n;
	space.iov_len = (size_t)n;
	evbuffer_commit_space(c->ahead, &space, 1);
	return n;
}

/* Parses all that has arrived of the answer; returns an error of the parser. */
static int
parse_answer(struct http_client *c)
{
	int err = http_parse_feed(&c->parse, bufferevent_get_input(c->bev));
	ssize_t n, total = 0;

	while (err == HTTP_EINCOMPLETE && total < READ_AHEAD_MAX &&
	       (n = read_ahead(c)) > 0) {
		total += n;
		err = http_parse_feed(&c->parse, c->ahead);
	}
	return err;
}

/* Parses the answer.  Input without a request in flight is an error. */
static void
on_read(struct bufferevent *bev, void *arg)
{
	struct http_client *c = arg;
	struct http_message *m;
	int err;

	(void)bev;
	if (c->path == NULL) {
		close_connection(c);
		return;
	}
	err = parse_answer(c);
	if (err == HTTP_EINCOMPLETE) {
		extend_deadline(c);
		return;
	}
	if (err != HTTP_OK) {
		finish_request(c, err, NULL);
		return;
	}
	m = http_parse_take(&c->parse);
	/* Bytes beyond the answer belong to no request. */
	if (!m->keep_alive || evbuffer_get_length(c->ahead) > 0)
		close_connection(c);
	finish_request(c, HTTP_OK, m);
	http_message_free(m);
}

/*
 * The connection opened or ended.  A reused connection that ends before the
 * first byte of the answer may have been closed by the server as idle, so the
 * GET is sent once more on a new one.
 */
static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct http_client *c = arg;
	int unread = !c->parse.begun, was_new = c->is_new;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED)
		return;
	close_connection(c);
	if (c->path == NULL)
		return;
	if (unread && !was_new)
		send_request(c);
	else
		finish_request(
		    c, unread ? HTTP_ECONNECT : HTTP_ETRUNCATED, NULL);
}

/* The request timed out, or http_connect failed. */
static void
on_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct http_client *c = arg;

	(void)fd;
	(void)what;
	if (c->path != NULL)
		finish_request(
		    c, c->bev == NULL ? HTTP_ECONNECT : HTTP_ETIMEOUT, NULL);
}
