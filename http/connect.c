/* Connections that notice a silent peer. */
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "http.h"

/*
 * A peer without power or behind a cut sends nothing.  Probes after one second
 * and each second from then on end its connections within about three, the
 * span after which the platform counts a machine as being in touch again.
 */
#define PROBE_AFTER_S 1
#define PROBE_EVERY_S 1
#define PROBES	      2
#define UNACKED_MS    2500 /* bytes sent and not acknowledged end it, too */

/* Sets the probes. */
void
http_tune(evutil_socket_t fd)
{
	static const struct {
		int level, name, value;
	} opts[] = {
		{ IPPROTO_TCP, TCP_NODELAY, 1 },
		{ SOL_SOCKET, SO_KEEPALIVE, 1 },
		{ IPPROTO_TCP, TCP_KEEPIDLE, PROBE_AFTER_S },
		{ IPPROTO_TCP, TCP_KEEPINTVL, PROBE_EVERY_S },
		{ IPPROTO_TCP, TCP_KEEPCNT, PROBES },
		{ IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKED_MS },
	};
	size_t i;

	/* A socket that takes no option still works, only less watchfully. */
	for (i = 0; i < G_N_ELEMENTS(opts); i++)
		if (setsockopt(fd, opts[i].level, opts[i].name, &opts[i].value,
			sizeof(opts[i].value)) != 0)
			base_log(G_LOG_LEVEL_DEBUG, "socket-option",
			    "level=%d name=%d", opts[i].level, opts[i].name);
}

/* Begins a connection. */
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
	http_tune(bufferevent_getfd(bev));
	return bev;
}

/* Closes a connection so that the peer sees a reset. */
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

/* Sets a timer. */
void
http_timer(struct event *timer, int64_t ms)
{
	struct timeval tv = { ms / BASE_MS_PER_S,
		ms % BASE_MS_PER_S * BASE_MS_PER_S };

	evtimer_add(timer, &tv);
}
