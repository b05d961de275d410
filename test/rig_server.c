/* The server of rig_server.h, its handler and its client. */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "rig_server.h"
#include "test.h"

#define ADDR	  "127.0.0.77:%d"
#define PORT_BASE 10000
#define PORT_SPAN 20000

static void
on_request(void *arg, struct http_exchange *x, struct http_message *m)
{
	struct rig_server *f = arg;

	f->exchanges[f->nrequests] = x;
	f->paths[f->nrequests] = g_strdup(m->path);
	http_exchange_set(x, &f->exchanges[f->nrequests]);
	f->nrequests++;
	http_message_free(m);
}

static void
on_connection_closed(void *arg, struct http_exchange *x)
{
	struct rig_server *f = arg;
	struct http_exchange **at = http_exchange_data(x);

	*at = NULL;
	f->naborted++;
}

static int
may_pipeline(void *arg, const struct http_message *m)
{
	(void)arg;
	return strncmp(m->path, "/once", 5) != 0;
}

static void
on_client_read(struct bufferevent *bev, void *arg)
{
	struct rig_server *f = arg;
	char piece[4096];
	size_t n;

	while ((n = bufferevent_read(bev, piece, sizeof(piece))) > 0)
		g_string_append_len(f->received, piece, (gssize)n);
}

static void
on_client_event(struct bufferevent *bev, short what, void *arg)
{
	struct rig_server *f = arg;

	(void)bev;
	if (!(what & BEV_EVENT_CONNECTED))
		f->closed = 1;
}

void
rig_server_start(struct rig_server *f)
{
	struct http_server_calls calls = { .arg = f,
		.request = on_request,
		.gone = on_connection_closed,
		.may_pipeline = may_pipeline };

	memset(f, 0, sizeof(*f));
	g_snprintf(f->addr, sizeof(f->addr), ADDR,
	    PORT_BASE + (int)(getpid() % PORT_SPAN));
	f->base = event_base_new();
	f->limits = (struct http_limits){ 4096, 1048576, 300, 5000, 0 };
	f->server = http_server_new(f->base, f->addr, &f->limits, &calls);
	if (f->server == NULL)
		g_error("the server cannot listen");
	f->received = g_string_new(NULL);
	f->client = http_connect(f->base, f->addr);
	bufferevent_setcb(f->client, on_client_read, NULL, on_client_event, f);
	bufferevent_enable(f->client, EV_READ | EV_WRITE);
	rig_loop(f->base, 10);
}

void
rig_server_stop(struct rig_server *f)
{
	int i;

	if (f->client != NULL)
		bufferevent_free(f->client);
	http_server_free(f->server);
	for (i = 0; i < f->nrequests; i++)
		g_free(f->paths[i]);
	g_string_free(f->received, TRUE);
	event_base_free(f->base);
}

/* Sends requests for paths that are separated by spaces. */
void
rig_server_send(struct rig_server *f, const char *paths)
{
	char **list = g_strsplit(paths, " ", -1);
	int i;

	for (i = 0; list[i] != NULL; i++)
		evbuffer_add_printf(bufferevent_get_output(f->client),
		    "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", list[i]);
	g_strfreev(list);
	rig_loop(f->base, 20);
}

/* Answers request n, counted from 0, with its path as the body. */
void
rig_server_answer(struct rig_server *f, int n)
{
	if (n >= f->nrequests || f->exchanges[n] == NULL) {
		CU_FAIL("the request to answer does not exist");
		return;
	}
	http_reply_text(f->exchanges[n], 200, "text/plain", f->paths[n]);
	f->exchanges[n] = NULL;
}

/*
 * Returns the statuses of the received answers with the first 8 bytes of their
 * bodies, e.g. "200 /a,503 x,".
 */
static char *
list_answers(struct rig_server *f)
{
	struct evbuffer *in = evbuffer_new();
	GString *list = g_string_new(NULL);
	struct http_message *m;
	struct http_parse p;

	evbuffer_add(in, f->received->str, f->received->len);
	http_parse_init(&p, HTTP_RESPONSE, 4096, 1048576);
	while (http_parse_feed(&p, in) == HTTP_OK) {
		m = http_parse_take(&p);
		g_string_append_printf(list, "%d %.*s,", m->status,
		    MIN((int)m->body->len, 8), (const char *)m->body->data);
		http_message_free(m);
		http_parse_next(&p, HTTP_RESPONSE);
	}
	http_parse_free(&p);
	evbuffer_free(in);
	return g_string_free(list, FALSE);
}

void
rig_server_check(struct rig_server *f, const char *expected)
{
	char *list;

	rig_loop(f->base, 20);
	list = list_answers(f);
	CU_ASSERT_STRING_EQUAL(list, expected);
	if (strcmp(list, expected) != 0)
		printf("got %s, expected %s\n", list, expected);
	g_free(list);
}
