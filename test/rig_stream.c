/* A target that sends a long answer, and a caller that reads one in pieces. */
#include <string.h>

#include <event2/listener.h>

#include "rig_stream.h"

#define HEAD_MAX   65536 /* bytes */
#define BODY_MAX   (1024 * 1024)
#define PUMP_BYTES 16384 /* kept in the output buffer of an answer */

struct source_conn {
	struct rig_stream *source;
	struct bufferevent *bev;
	struct http_parse parse;
	struct event *drip;
	int64_t sent;
	int answered, done; /* begun to answer; sent everything */
	int counted;	    /* in the source's conns */
};

/* Resets the connection and counts it as ended. */
static void
source_free(struct source_conn *c)
{
	c->source->conns -= c->counted;
	event_free(c->drip);
	http_parse_free(&c->parse);
	http_reset(c->bev);
	g_free(c);
}

/* Fills the output buffer again whenever the peer has read it. */
static void
source_send(struct bufferevent *bev, void *arg)
{
	struct source_conn *c = arg;
	struct rig_stream *s = c->source;
	struct evbuffer *out = bufferevent_get_output(bev);
	size_t n = strlen(s->again);

	if (!c->answered || c->done || n == 0 || s->drip_ms > 0)
		return;
	while (evbuffer_get_length(out) < PUMP_BYTES &&
	       (s->most == 0 || c->sent < s->most)) {
		if (s->most > 0)
			n = MIN(n, (size_t)(s->most - c->sent));
		evbuffer_add(out, s->again, n);
		c->sent += (int64_t)n;
	}
	if (s->most > 0 && c->sent >= s->most &&
	    evbuffer_get_length(out) == 0) {
		c->done = 1;
		s->conns -= c->counted;
		c->counted = 0;
		if (s->ends && shutdown(bufferevent_getfd(bev), SHUT_WR) != 0)
			g_error("cannot close the source's connection");
		if (s->cut)
			source_free(c);
	}
}

/* Sends one byte, and the next after drip_ms. */
static void
source_drip(evutil_socket_t fd, short what, void *arg)
{
	struct source_conn *c = arg;

	(void)fd;
	(void)what;
	evbuffer_add(bufferevent_get_output(c->bev),
	    c->source->again + c->sent++ % (int64_t)strlen(c->source->again),
	    1);
	http_timer_set(c->drip, c->source->drip_ms);
}

/* Answers health checks, and begins the stream for any other request. */
static void
source_read(struct bufferevent *bev, void *arg)
{
	struct source_conn *c = arg;
	struct http_message *m;
	char **parts, *text;
	const char *id;

	while (!c->answered && http_parse_feed(&c->parse,
				   bufferevent_get_input(bev)) == HTTP_OK) {
		m = http_parse_take(&c->parse);
		http_parse_next(&c->parse, HTTP_REQUEST);
		if (strcmp(m->path, "/health") == 0) {
			evbuffer_add_printf(bufferevent_get_output(bev),
			    "HTTP/1.1 200 OK\r\n%s: t0\r\n"
			    "Content-Length: 0\r\n\r\n",
			    platform_headers.target);
			http_message_free(m);
			continue;
		}
		id = http_find(m, platform_headers.id);
		parts = g_strsplit(c->source->begin, "ID", -1);
		text = g_strjoinv(id, parts);
		evbuffer_add(bufferevent_get_output(bev), text, strlen(text));
		g_free(text);
		g_strfreev(parts);
		http_message_free(m);
		c->answered = 1;
		c->source->conns++;
		c->counted = 1;
		if (c->source->drip_ms > 0)
			http_timer_set(c->drip, c->source->drip_ms);
		source_send(bev, c);
		return;
	}
}

/* The guard closed or reset the connection. */
static void
source_event(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	(void)what;
	source_free(arg);
}

/* Accepts a connection of the guard. */
static void
source_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
    int len, void *arg)
{
	struct source_conn *c = g_new0(struct source_conn, 1);

	(void)l;
	(void)sa;
	(void)len;
	c->source = arg;
	c->bev = bufferevent_socket_new(
	    c->source->rig->base, fd, BEV_OPT_CLOSE_ON_FREE);
	c->drip = evtimer_new(c->source->rig->base, source_drip, c);
	http_parse_init(&c->parse, HTTP_REQUEST, HEAD_MAX, BODY_MAX);
	bufferevent_setcb(c->bev, source_read, source_send, source_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

void
rig_stream_start(struct rig *r, struct rig_stream *s)
{
	struct sockaddr_in sin;
	struct rig_target *t;

	rig_start(r, 2);
	t = &r->nodes[0].target;
	http_server_free(t->server);
	t->server = NULL;
	s->rig = r;
	address_resolve(t->addr, &sin);
	s->listener = evconnlistener_new_bind(r->base, source_accept, s,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 256,
	    (struct sockaddr *)&sin, sizeof(sin));
	if (s->listener == NULL)
		g_error("the source cannot listen");
	/* Lists the other target for another service: all requests go here. */
	rig_list_target(r, 1, "other", VIEW_READY);
	rig_run(r, 50);
}

int
rig_stream_stop(struct rig *r, struct rig_stream *s)
{
	int64_t until = base_now_ms() + 3000;
	int open;

	while (s->conns > 0 && base_now_ms() < until)
		rig_run(r, 10);
	open = s->conns;
	evconnlistener_free(s->listener);
	rig_stop(r);
	return open;
}

/* Counts the bytes of the body and drops them. */
static void
client_read(struct bufferevent *bev, void *arg)
{
	struct rig_client *c = arg;
	GByteArray *bytes = g_byte_array_new();

	if (http_parse_feed(&c->parse, bufferevent_get_input(bev)) == HTTP_OK)
		c->whole = 1;
	http_parse_move_body(&c->parse, bytes);
	c->got += bytes->len;
	g_byte_array_free(bytes, TRUE);
}

/* The connection ended; its end may complete the answer. */
static void
client_event(struct bufferevent *bev, short what, void *arg)
{
	struct rig_client *c = arg;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED)
		return;
	c->ended = 1;
	if (!c->whole && (what & BEV_EVENT_EOF) &&
	    http_parse_end(&c->parse) == HTTP_OK)
		c->whole = 1;
}

void
rig_client_start(
    struct rig *r, struct rig_client *c, int node, const char *version)
{
	memset(c, 0, sizeof(*c));
	http_parse_init(&c->parse, HTTP_RESPONSE, HEAD_MAX, BODY_MAX);
	c->parse.in_pieces = 1;
	c->bev = http_connect(r->base, r->nodes[node].settings.callers);
	bufferevent_setcb(c->bev, client_read, NULL, client_event, c);
	bufferevent_setwatermark(c->bev, EV_READ, 0, 65536);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	evbuffer_add_printf(bufferevent_get_output(c->bev),
	    "GET /run/x HTTP/%s\r\nHost: rig\r\nX-Attempt-Id: long\r\n"
	    "X-Deadline-Remaining: 900\r\n\r\n",
	    version);
}

void
rig_client_wait(struct rig *r, struct rig_client *c)
{
	int64_t until = base_now_ms() + 5000;

	while (!c->whole && !c->ended && base_now_ms() < until)
		rig_run(r, 2);
}

void
rig_client_end(struct rig_client *c)
{
	http_parse_free(&c->parse);
	bufferevent_free(c->bev);
}
