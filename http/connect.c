/* TCP connections with timeouts for an unreachable peer. */
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "http.h"

/*
 * A peer that lost power or its network sends neither data nor a FIN.  TCP
 * keepalive, after one second and each second from then on, ends its
 * connections within about three seconds, after which the platform counts a VM
 * as reachable again.
 */
#define KEEPALIVE_IDLE_S     1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES_MAX 2
#define USER_TIMEOUT_MS	     2500 /* for sent bytes to be acknowledged */

/* Called for connections that are opened and that are accepted. */
void
http_set_socket_options(evutil_socket_t fd)
{
	static const struct {
		int level, name, value;
	} opts[] = {
		{ IPPROTO_TCP, TCP_NODELAY, 1 },
		{ SOL_SOCKET, SO_KEEPALIVE, 1 },
		{ IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S },
		{ IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S },
		{ IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES_MAX },
		{ IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS },
	};
	size_t i;

	/* A socket without an option works, but detects failures later. */
	for (i = 0; i < G_N_ELEMENTS(opts); i++)
		if (setsockopt(fd, opts[i].level, opts[i].name, &opts[i].value,
			sizeof(opts[i].value)) != 0)
			base_log(G_LOG_LEVEL_DEBUG, "socket-option",
			    "level=%d name=%d", opts[i].level, opts[i].name);
}

/*
 * Does not block; the bufferevent reports when the connection is established.
 */
struct bufferevent *
http_connect(struct event_base *base, const char *addr)
{
	struct sockaddr_in sin;
	struct bufferevent *bev;

	if (address_resolve(addr, &sin) != BASE_OK)
		return NULL;
	bev = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
	if (bev == NULL)
		return NULL;
	if (bufferevent_socket_connect(
		bev, (struct sockaddr *)&sin, sizeof(sin)) != 0) {
		bufferevent_free(bev);
		return NULL;
	}
	http_set_socket_options(bufferevent_getfd(bev));
	return bev;
}

/* A linger time of 0 makes close send a reset. */
void
http_reset(struct bufferevent *bev)
{
	struct linger l = { .l_onoff = 1, .l_linger = 0 };
	evutil_socket_t fd = bufferevent_getfd(bev);

	if (fd >= 0 &&
	    setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l)) != 0)
		base_log(G_LOG_LEVEL_DEBUG, "socket-option", "linger=0");
	bufferevent_free(bev);
}

/* A timer that is already scheduled is scheduled anew. */
void
http_timer_set(struct event *timer, int64_t ms)
{
	struct timeval tv = { ms / BASE_MS_PER_S,
		ms % BASE_MS_PER_S * BASE_MS_PER_S };

	evtimer_add(timer, &tv);
}
