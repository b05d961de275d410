/* The HTTP client that reads the platform's store. */
#include <netinet/in.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../http/http.h"
#include "test.h"

#define BODY_BYTES (400 * 1024) /* a configuration of 2000 routes */
#define PASSES_MAX 40		/* of the event loop, for such an answer */
#define PASS_US	   2000		/* time in which the server sends more */
#define TIMEOUT_MS 10000

/* A body that takes longer than the timeout, but never pauses for long. */
#define PIECES		 20
#define PIECE_PAUSE_US	 50000
#define SHORT_TIMEOUT_MS 400

/* A server that gives one answer and then the bytes beyond it, if any. */
struct server {
	const char *beyond;
	int pause_us;	/* before each of PIECES pieces of the body */
	int pieces;	/* that are sent; the others never are */
	int timeout_ms; /* of the client */
	int fd;
};

struct answer {
	int ended, err, status;
	size_t bytes;
};

static void
send_all(int fd, const char *bytes, size_t len)
{
	ssize_t n;

	while (len > 0 && (n = write(fd, bytes, len)) > 0) {
		bytes += n;
		len -= (size_t)n;
	}
}

/* Accepts one connection, answers its first bytes, and waits for its end. */
static void *
serve(void *arg)
{
	const struct server *s = arg;
	char head[128], request[4096], *body = g_malloc0(BODY_BYTES);
	int fd = accept(s->fd, NULL, NULL), i;

	CU_ASSERT(fd >= 0 && read(fd, request, sizeof(request)) > 0);
	g_snprintf(head, sizeof(head),
	    "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", BODY_BYTES);
	send_all(fd, head, strlen(head));
	for (i = 0; i < s->pieces; i++) {
		usleep((useconds_t)s->pause_us);
		send_all(fd, body, BODY_BYTES / PIECES);
	}
	send_all(fd, s->beyond, strlen(s->beyond));
	while (read(fd, request, sizeof(request)) > 0)
		;
	close(fd);
	g_free(body);
	return NULL;
}

static void
on_answer(void *arg, int err, const struct http_message *m)
{
	struct answer *a = arg;

	a->ended++;
	a->err = err;
	if (m == NULL)
		return;
	a->status = m->status;
	a->bytes = m->body->len;
}

/* Gets one answer; returns the passes of the event loop that it took. */
static int
get_from(struct answer *a, struct server s)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	struct event_base *base = event_base_new();
	socklen_t len = sizeof(sin);
	struct http_client *c;
	char addr[ADDRESS_MAX];
	pthread_t thread;
	int passes;

	memset(a, 0, sizeof(*a));
	s.fd = socket(AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_EQUAL_FATAL(
	    bind(s.fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	CU_ASSERT_EQUAL_FATAL(listen(s.fd, 1), 0);
	getsockname(s.fd, (struct sockaddr *)&sin, &len);
	g_snprintf(addr, sizeof(addr), "127.0.0.1:%d", ntohs(sin.sin_port));
	pthread_create(&thread, NULL, serve, &s);
	c = http_client_new(base, addr);
	http_client_get(c, "/kv-range", s.timeout_ms, on_answer, a);
	for (passes = 0; a->ended == 0; passes++) {
		usleep(PASS_US);
		event_base_loop(base, EVLOOP_ONCE);
	}
	http_client_free(c);
	/* The socket is closed by the loop. */
	event_base_loop(base, EVLOOP_NONBLOCK);
	pthread_join(thread, NULL);
	close(s.fd);
	event_base_free(base);
	return passes;
}

/* The same from a server that sends all at once. */
static int
get(struct answer *a, const char *beyond)
{
	return get_from(a,
	    (struct server){
		.beyond = beyond, .pieces = PIECES, .timeout_ms = TIMEOUT_MS });
}

/*
 * Guards against a large configuration that is never read, as its transfer
 * takes longer than the timeout and begins anew each time (CONFIG).
 */
static void
long_transfer_is_not_given_up(void)
{
	struct answer a;

	get_from(&a, (struct server){
			 "", PIECE_PAUSE_US, PIECES, SHORT_TIMEOUT_MS, -1 });
	CU_ASSERT_EQUAL(a.err, HTTP_OK);
	CU_ASSERT_EQUAL(a.bytes, BODY_BYTES);
	/* One that stops is. */
	get_from(&a, (struct server){ "", PIECE_PAUSE_US, PIECES - 1,
			 SHORT_TIMEOUT_MS, -1 });
	CU_ASSERT_EQUAL(a.ended, 1);
	CU_ASSERT_EQUAL(a.err, HTTP_ETIMEOUT);
}

/*
 * Guards against a configuration that is late as a busy node reads a few KB of
 * it in each pass of its event loop.
 */
static void
long_answer_takes_few_passes(void)
{
	struct answer a;

	CU_ASSERT(get(&a, "") <= PASSES_MAX);
	CU_ASSERT_EQUAL(a.err, HTTP_OK);
	CU_ASSERT_EQUAL(a.status, 200);
	CU_ASSERT_EQUAL(a.bytes, BODY_BYTES);
}

/* Bytes beyond an answer are not taken for a part of it or of the next one. */
static void
bytes_beyond_the_answer(void)
{
	struct answer a;

	get(&a, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
	CU_ASSERT_EQUAL(a.ended, 1);
	CU_ASSERT_EQUAL(a.err, HTTP_OK);
	CU_ASSERT_EQUAL(a.bytes, BODY_BYTES);
}

static const struct test tests[] = {
	{ "long answer takes few passes", long_answer_takes_few_passes },
	{ "bytes beyond the answer", bytes_beyond_the_answer },
	{ "long transfer is not given up", long_transfer_is_not_given_up },
};

TEST_MAIN("client", tests)
