/* Clients: each attempt has an id and a connection of its own. */
#include "stand_int.h"

#define ANSWER_MAX 65536

static void end(struct attempt *, int);
static void on_read(struct bufferevent *, void *);
static void on_event(struct bufferevent *, short, void *);
static void on_timer(evutil_socket_t, short, void *);

/* status 0: the connection ended or the client's time limit passed. */
static void
end(struct attempt *a, int status)
{
	struct stand *s = a->stand;

	a->status = status;
	s->answered += status != 0;
	s->closed += status == 0;
	s->served += status == 200;
	if (a->id[0] == ID_RECORDED)
		stand_note(
		    s, "%s on machine %d ends: %d", a->id, a->node, status);
	if (s->calls.ended != NULL)
		s->calls.ended(a);
	bufferevent_free(a->bev);
	http_parse_free(&a->parse);
	event_free(a->timer);
	g_free(a);
}

static void
on_read(struct bufferevent *bev, void *arg)
{
	struct attempt *a = arg;
	struct http_message *m;
	int status;

	if (http_parse_feed(&a->parse, bufferevent_get_input(bev)) != HTTP_OK)
		return;
	m = http_parse_take(&a->parse);
	status = m->status;
	http_message_free(m);
	end(a, status);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	if (!(what & BEV_EVENT_CONNECTED))
		end(arg, 0);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	end(arg, 0);
}

struct attempt *
stand_send(struct stand *s, int node, const char *method, const char *host,
    const char *path, size_t len, int remaining_ms, const char *tag)
{
	struct attempt *a;
	struct bufferevent *bev;
	struct evbuffer *out;
	char addr[ADDRESS_MAX];
	guint8 *body;

	g_snprintf(addr, sizeof(addr), "%s:8080", s->machines[node].host);
	if ((bev = http_connect(s->base, addr)) == NULL)
		return NULL;
	a = g_new0(struct attempt, 1);
	a->stand = s;
	a->node = node;
	a->tag = tag;
	a->sent_at = base_now_ms();
	a->bev = bev;
	g_snprintf(a->id, sizeof(a->id), "%c%08x",
	    tag[0] == '-' ? ID_COUNTED : ID_RECORDED, ++s->next_id);
	g_strlcpy(a->path, path, sizeof(a->path));
	a->timer = evtimer_new(s->base, on_timer, a);
	http_parse_init(&a->parse, HTTP_RESPONSE, ANSWER_MAX, ANSWER_MAX);
	bufferevent_setcb(bev, on_read, NULL, on_event, a);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
	out = bufferevent_get_output(bev);
	evbuffer_add_printf(out,
	    "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n"
	    "%s: %d\r\n",
	    method, path, host, platform_headers.id, a->id,
	    platform_headers.remaining_ms, remaining_ms);
	if (len > 0) {
		evbuffer_add_printf(out, "Content-Length: %zu\r\n\r\n", len);
		body = g_malloc(len);
		memset(body, 'x', len);
		evbuffer_add(out, body, len);
		g_free(body);
	} else {
		evbuffer_add(out, "\r\n", 2);
	}
	http_timer_set(a->timer, remaining_ms + 200);
	s->sent++;
	if (a->id[0] == ID_RECORDED)
		stand_note(s, "%s %s %s%s with %zu bytes, sent to machine %d",
		    a->id, method, host, path, len, node);
	return a;
}
