/*
 * A machine is cut off (node_cut) as the last packet of a long answer is on its
 * way to another machine: the whole body has arrived there, the end of the
 * answer on the link between the two processes has not.  The client has its
 * answer and sends its next request on the same connection.
 *
 * The process of the other machine must go on: its clients' kept connections
 * have requests at a sound server, and none of them may be closed without an
 * answer.
 */
#include <stdlib.h>
#include <string.h>

#include <event2/listener.h>

#include "../../proxy/link.pb-c.h"
#include "../stand/mesh.h"

#define ENTRY	   0 /* takes the clients' requests; must go on */
#define FAR	   3 /* beside the server of the long answer */
#define CLIENTS	   6 /* with kept connections */
#define LONG_SIZE  (256 * 1024)
#define CUT_MS	   5500
#define CLOSED_MAX 3 /* the rule allows so many */

/* The network in front of a process's address for links. */
struct network {
	struct mesh *mesh;
	struct evconnlistener *listener;
	char forward[ADDRESS_MAX];
	int cut_at_end;	  /* the cut begins with the next end of an answer */
	int cut;	  /* nothing passes */
	GPtrArray *pipes; /* of struct pipe */
};

/* One connection through the network. */
struct pipe {
	struct network *network;
	struct bufferevent *near, *far; /* near: who opened it; NULL: ended */
	GByteArray *frames;		/* from far, not yet passed on */
};

/* Ends a connection on both sides. */
static void
pipe_end(struct pipe *p)
{
	if (p->near != NULL)
		http_reset(p->near);
	if (p->far != NULL)
		http_reset(p->far);
	p->near = p->far = NULL;
}

/* Passes on frames from the far process, until the cut. */
static void
pass_frames(struct pipe *p)
{
	struct network *w = p->network;
	Link__Frame *f;
	uint32_t len;
	int is_end;

	while (p->frames->len >= 4) {
		len = (uint32_t)p->frames->data[0] << 24 |
		      (uint32_t)p->frames->data[1] << 16 |
		      (uint32_t)p->frames->data[2] << 8 | p->frames->data[3];
		if (p->frames->len < 4 + len)
			return;
		f = link__frame__unpack(NULL, len, p->frames->data + 4);
		is_end = f != NULL && f->body_case == LINK__FRAME__BODY_END;
		link__frame__free_unpacked(f, NULL);
		if (is_end && w->cut_at_end) {
			w->cut = 1;
			w->cut_at_end = 0;
			mesh_note(w->mesh, "node %d is cut off", FAR);
			mesh_signal(&w->mesh->nodes[FAR], SIGSTOP);
			return;
		}
		bufferevent_write(p->near, p->frames->data, 4 + len);
		g_byte_array_remove_range(p->frames, 0, 4 + len);
	}
}

/* Bytes arrived on one side. */
static void
on_bytes(struct bufferevent *bev, void *arg)
{
	struct pipe *p = arg;
	char piece[16384];
	size_t n;

	while ((n = bufferevent_read(bev, piece, sizeof(piece))) > 0) {
		if (p->network->cut || p->near == NULL || p->far == NULL)
			continue;
		if (bev == p->near)
			bufferevent_write(p->far, piece, n);
		else
			g_byte_array_append(
			    p->frames, (const guint8 *)piece, (guint)n);
	}
	if (bev == p->far && !p->network->cut)
		pass_frames(p);
}

/* One side ended; that cannot be seen on the other during the cut. */
static void
on_end(struct bufferevent *bev, short what, void *arg)
{
	struct pipe *p = arg;

	(void)bev;
	if (!(what & BEV_EVENT_CONNECTED) && !p->network->cut)
		pipe_end(p);
}

/* Another process opens a link. */
static void
on_link(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
    int len, void *arg)
{
	struct network *w = arg;
	struct pipe *p = g_new0(struct pipe, 1);

	(void)l;
	(void)sa;
	(void)len;
	evutil_make_socket_nonblocking(fd);
	p->network = w;
	p->frames = g_byte_array_new();
	p->near =
	    bufferevent_socket_new(w->mesh->base, fd, BEV_OPT_CLOSE_ON_FREE);
	p->far = http_connect(w->mesh->base, w->forward);
	g_ptr_array_add(w->pipes, p);
	bufferevent_setcb(p->near, on_bytes, NULL, on_end, p);
	bufferevent_enable(p->near, EV_READ | EV_WRITE);
	if (p->far == NULL)
		return;
	bufferevent_setcb(p->far, on_bytes, NULL, on_end, p);
	bufferevent_enable(p->far, EV_READ | EV_WRITE);
}

/* Puts the network in front of the far process. */
static void
network_open(struct network *w, struct mesh *m)
{
	struct mesh_node *n = &m->nodes[FAR];
	struct sockaddr_in sin;
	char addr[ADDRESS_MAX];

	memset(w, 0, sizeof(*w));
	w->mesh = m;
	w->pipes = g_ptr_array_new();
	g_snprintf(n->links_host, sizeof(n->links_host), "127.%d.3.%d", m->net,
	    FAR + 1);
	g_snprintf(w->forward, sizeof(w->forward), "%s:8300", n->links_host);
	g_snprintf(addr, sizeof(addr), "%s:8300", n->host);
	mesh_write_settings(n);
	if (address_resolve(addr, &sin) == BASE_OK)
		w->listener = evconnlistener_new_bind(m->base, on_link, w,
		    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 64,
		    (struct sockaddr *)&sin, sizeof(sin));
	if (w->listener == NULL)
		exit(mesh_end(m, MESH_CANNOT_RUN));
}

/* The cut heals: what was open is gone, new connections work. */
static void
network_heal(struct network *w)
{
	guint i;

	w->cut = w->cut_at_end = 0;
	for (i = 0; i < w->pipes->len; i++)
		pipe_end(g_ptr_array_index(w->pipes, i));
	mesh_note(w->mesh, "node %d can be reached again", FAR);
}

/* Waits for the answer to a request, at most ms. */
static void
wait_for(struct mesh *m, const struct mesh_request *r, int ms)
{
	int64_t until = base_now_ms() + ms;

	while (r->ended_at == 0 && base_now_ms() < until)
		mesh_run(m, 10);
}

int
main(int argc, char **argv)
{
	static const char *const zones[] = { "a", "a", "b", "b" };
	static const char *const services[] = { "front", "sound", "sound",
		"files" };
	int i, closed = 0;
	struct mesh_client *clients[CLIENTS], *reader;
	struct mesh_request *requests[CLIENTS], *first;
	struct network network;
	struct mesh m;

	mesh_init(&m, argc, argv, G_N_ELEMENTS(zones), zones, services);
	network_open(&network, &m);
	mesh_put_config(&m, 1);
	mesh_start_all(&m);
	/* ENTRY is in touch after three undisturbed seconds. */
	mesh_run(&m, 4000);
	for (i = 0; i < CLIENTS; i++) {
		clients[i] = mesh_client_open(&m, ENTRY);
		mesh_get(clients[i], "sound", 10, 100);
	}
	mesh_run(&m, 300);
	network.cut_at_end = m.trouble;
	reader = mesh_client_open(&m, ENTRY);
	first = mesh_get(reader, "files", 10, LONG_SIZE);
	wait_for(&m, first, 2000);
	if (first->status != 200)
		return mesh_end(&m, MESH_CANNOT_RUN);
	mesh_get(reader, "files", 10, 100);
	mesh_run(&m, 2000);
	for (i = 0; i < CLIENTS; i++)
		requests[i] = mesh_get(clients[i], "sound", 1500, 100);
	mesh_run(&m, CUT_MS - 2000);
	if (m.trouble) {
		network_heal(&network);
		mesh_signal(&m.nodes[FAR], SIGCONT);
	}
	mesh_run(&m, 1000);
	for (i = 0; i < CLIENTS; i++)
		closed += requests[i]->kept && requests[i]->runs > 0 &&
			  requests[i]->cut;
	mesh_note(&m,
	    "node %d: its process ended by itself %d times, and %d kept "
	    "connections were closed without an answer to a request that was "
	    "passed on (the rule allows %d)",
	    ENTRY, m.nodes[ENTRY].own_ends, closed, CLOSED_MAX);
	return mesh_end(&m, closed > CLOSED_MAX ? MESH_BROKEN : MESH_HELD);
}
