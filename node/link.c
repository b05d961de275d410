/* Links between nodes over ZeroMQ. */
#include <errno.h>
#include <stdio.h>
#include <string.h>

#include <sodium.h>
#include <zmq.h>

#include "link.h"

#define KEY_TEXT      41 /* bytes of a Z85 key and its NUL */
#define RAW_KEY	      32
#define HEARTBEAT_MS  10000 /* between two heartbeats of a connection */
#define HEARTBEAT_TMO 5000  /* an unanswered heartbeat closes it */
#define HEARTBEAT_TTL 30000
#define HANDSHAKE_MS  2000
#define RECONNECT_MS  50
#define RECONNECT_MAX 1000
#define QUEUE_MAX     2000		 /* messages a connection holds back */
#define MESSAGE_MAX   (12 * 1024 * 1024) /* bytes */
#define BACKLOG	      512
#define BATCH	      256 /* messages handled before others get a turn */
#define ZAP_FRAMES    8
#define ZAP_ENDPOINT  "inproc://zeromq.zap.01"

/* Two key pairs, both made from a key of the fleet. */
struct pairs {
	char server_public[KEY_TEXT], server_secret[KEY_TEXT];
	char client_public[KEY_TEXT], client_secret[KEY_TEXT];
};

/* A connection made from here. */
struct out {
	char id[LINK_ROUTE_MAX]; /* routing id: changes with each connection */
	char endpoint[ENDPOINT_MAX];
	int64_t used_at; /* something was last sent */
	int key;	 /* of the peer, that it was opened with */
};

struct link {
	void *ctx;
	void *in;  /* others connect to it */
	void *out; /* connects to others */
	void *zap; /* asked by the library who may connect */
	struct pairs pairs[NODE_KEYS]; /* the first is this node's */
	int npairs;
	GHashTable *keys; /* peer's name, owned, to the key it uses, if not 0 */
	GHashTable *outs; /* peer's name to struct out, owned */
	GHashTable *peers;	     /* routing id to peer's name, owned */
	char source[LINK_ROUTE_MAX]; /* address that connections come from */
	unsigned int generation;
	link_handler handler;
	void *arg;
};

static void derive(const unsigned char *, const char *, char *, char *);
static void derive_pairs(const unsigned char *, struct pairs *);
static void set_int(void *, int, int);
static void common_options(void *);
static struct out *connect_peer(struct link *, const char *, const char *);
static int send_frames(void *, const void *, size_t, const Wire__Envelope *);

static void receive_from(struct link *, void *);
static void
handle(struct link *, void *, const unsigned char *, size_t, zmq_msg_t *);
static void answer_zap(struct link *);

/* Makes a CURVE pair from the fleet's key and the pair's purpose. */
static void
derive(
    const unsigned char *key, const char *purpose, char *public, char *secret)
{
	unsigned char raw[RAW_KEY];

	crypto_generichash(raw, sizeof(raw), (const unsigned char *)purpose,
	    strlen(purpose), key, NODE_KEY_LEN);
	zmq_z85_encode(secret, raw, sizeof(raw));
	zmq_curve_public(public, secret);
	sodium_memzero(raw, sizeof(raw));
}

/* Makes both pairs of a key. */
static void
derive_pairs(const unsigned char *key, struct pairs *p)
{
	derive(key, "server", p->server_public, p->server_secret);
	derive(key, "client", p->client_public, p->client_secret);
}

/* Sets an integer option. */
static void
set_int(void *sock, int option, int value)
{
	zmq_setsockopt(sock, option, &value, sizeof(value));
}

/* Options of both directions. */
static void
common_options(void *sock)
{
	int64_t most = MESSAGE_MAX;

	set_int(sock, ZMQ_LINGER, 0);
	set_int(sock, ZMQ_SNDHWM, QUEUE_MAX);
	set_int(sock, ZMQ_RCVHWM, QUEUE_MAX);
	set_int(sock, ZMQ_HEARTBEAT_IVL, HEARTBEAT_MS);
	set_int(sock, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TMO);
	set_int(sock, ZMQ_HEARTBEAT_TTL, HEARTBEAT_TTL);
	set_int(sock, ZMQ_HANDSHAKE_IVL, HANDSHAKE_MS);
	zmq_setsockopt(sock, ZMQ_MAXMSGSIZE, &most, sizeof(most));
}

/* Opens both sockets. */
int
link_open(struct link **out, const char *listen, const struct fleet_keys *keys,
    link_handler handler, void *arg)
{
	struct pairs *own;
	struct link *l;
	char endpoint[ENDPOINT_MAX];

	l = g_new0(struct link, 1);
	snprintf(l->source, sizeof(l->source), "%.*s:0",
	    (int)strcspn(listen, ":"), listen);
	l->handler = handler;
	l->arg = arg;
	l->outs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	l->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	l->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (l->npairs = 0; l->npairs < keys->count; l->npairs++)
		derive_pairs(keys->key[l->npairs], &l->pairs[l->npairs]);
	own = &l->pairs[0];
	l->ctx = zmq_ctx_new();
	l->zap = zmq_socket(l->ctx, ZMQ_REP);
	zmq_bind(l->zap, ZAP_ENDPOINT);
	l->in = zmq_socket(l->ctx, ZMQ_ROUTER);
	common_options(l->in);
	set_int(l->in, ZMQ_BACKLOG, BACKLOG);
	set_int(l->in, ZMQ_CURVE_SERVER, 1);
	zmq_setsockopt(
	    l->in, ZMQ_CURVE_SECRETKEY, own->server_secret, KEY_TEXT);
	l->out = zmq_socket(l->ctx, ZMQ_ROUTER);
	common_options(l->out);
	set_int(l->out, ZMQ_ROUTER_MANDATORY, 1);
	set_int(l->out, ZMQ_RECONNECT_IVL, RECONNECT_MS);
	set_int(l->out, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX);
	zmq_setsockopt(
	    l->out, ZMQ_CURVE_PUBLICKEY, own->client_public, KEY_TEXT);
	zmq_setsockopt(
	    l->out, ZMQ_CURVE_SECRETKEY, own->client_secret, KEY_TEXT);
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", listen);
	if (zmq_bind(l->in, endpoint) != 0) {
		link_close(l);
		return NODE_ELISTEN;
	}
	*out = l;
	return NODE_OK;
}

/* Closes all connections. */
void
link_close(struct link *l)
{
	zmq_close(l->in);
	zmq_close(l->out);
	zmq_close(l->zap);
	zmq_ctx_term(l->ctx);
	g_hash_table_destroy(l->outs);
	g_hash_table_destroy(l->peers);
	g_hash_table_destroy(l->keys);
	sodium_memzero(l->pairs, sizeof(l->pairs));
	g_free(l);
}

/* Finds or makes the connection to a peer. */
static struct out *
connect_peer(struct link *l, const char *peer, const char *addr)
{
	struct out *o;
	char endpoint[ENDPOINT_MAX];

	snprintf(endpoint, sizeof(endpoint), "tcp://%s;%s", l->source, addr);
	o = g_hash_table_lookup(l->outs, peer);
	if (o != NULL && strcmp(o->endpoint, endpoint) == 0)
		return o;
	if (o != NULL)
		link_reset(l, peer);
	o = g_new0(struct out, 1);
	g_strlcpy(o->endpoint, endpoint, sizeof(o->endpoint));
	snprintf(o->id, sizeof(o->id), "c%u", ++l->generation);
	o->key = GPOINTER_TO_INT(g_hash_table_lookup(l->keys, peer));
	zmq_setsockopt(l->out, ZMQ_CURVE_SERVERKEY,
	    l->pairs[o->key].server_public, KEY_TEXT);
	zmq_setsockopt(l->out, ZMQ_CONNECT_ROUTING_ID, o->id, strlen(o->id));
	if (zmq_connect(l->out, endpoint) != 0) {
		g_free(o);
		return NULL;
	}
	g_hash_table_insert(l->outs, g_strdup(peer), o);
	g_hash_table_insert(l->peers, g_strdup(o->id), g_strdup(peer));
	return o;
}

/* Takes the key in use; a connection opened with another cannot come about. */
int
link_key(struct link *l, const char *peer, int key)
{
	struct out *o = g_hash_table_lookup(l->outs, peer);
	int dropped = o != NULL && o->key != key;

	if (dropped)
		link_reset(l, peer);
	if (key != 0)
		g_hash_table_insert(
		    l->keys, g_strdup(peer), GINT_TO_POINTER(key));
	else
		g_hash_table_remove(l->keys, peer);
	return dropped;
}

/* Drops a connection. */
void
link_reset(struct link *l, const char *peer)
{
	struct out *o;

	if ((o = g_hash_table_lookup(l->outs, peer)) == NULL)
		return;

	zmq_disconnect(l->out, o->endpoint);
	g_hash_table_remove(l->peers, o->id);
	g_hash_table_remove(l->outs, peer);
}

/* Drops connections that are idle: each costs memory and heartbeats. */
void
link_release(struct link *l, int64_t now, int idle_ms)
{
	GHashTableIter it;
	gpointer peer, val;
	GPtrArray *idle = g_ptr_array_new();
	guint i;

	g_hash_table_iter_init(&it, l->outs);
	while (g_hash_table_iter_next(&it, &peer, &val))
		if (now - ((struct out *)val)->used_at >= idle_ms)
			g_ptr_array_add(idle, peer);
	for (i = 0; i < idle->len; i++)
		link_reset(l, g_ptr_array_index(idle, i));
	counter_add(CTR_LINKS_RELEASED, (int64_t)idle->len);
	g_ptr_array_free(idle, TRUE);
}

/* Connections made from here. */
int
link_count(const struct link *l)
{
	return (int)g_hash_table_size(l->outs);
}

/* Packs and sends one message to a routing id. */
static int
send_frames(void *sock, const void *id, size_t len, const Wire__Envelope *env)
{
	zmq_msg_t msg;
	size_t n;

	if (zmq_send(sock, id, len, ZMQ_SNDMORE | ZMQ_DONTWAIT) < 0)
		return NODE_EUNREACHABLE;
	n = wire__envelope__get_packed_size(env);
	zmq_msg_init_size(&msg, n);
	wire__envelope__pack(env, zmq_msg_data(&msg));
	if (zmq_msg_send(&msg, sock, ZMQ_DONTWAIT) < 0) {
		zmq_msg_close(&msg);
		return NODE_EUNREACHABLE;
	}
	return (int)n;
}

/* Sends to a peer. */
int
link_send(struct link *l, const char *peer, const char *addr,
    const Wire__Envelope *env)
{
	struct out *o;

	if ((o = connect_peer(l, peer, addr)) == NULL)
		return NODE_EUNREACHABLE;
	o->used_at = base_now_ms();
	return send_frames(l->out, o->id, strlen(o->id), env);
}

/* Sends back. */
int
link_reply(
    struct link *l, const struct link_route *r, const Wire__Envelope *env)
{
	return send_frames(l->in, r->id, r->len, env);
}

/* Lists the sockets. */
int
link_sockets(struct link *l, void **sockets)
{
	sockets[0] = l->in;
	sockets[1] = l->out;
	sockets[2] = l->zap;
	return LINK_SOCKETS;
}

/* Unpacks one message and passes it on. */
static void
handle(struct link *l, void *sock, const unsigned char *id, size_t len,
    zmq_msg_t *msg)
{
	struct link_route from;
	Wire__Envelope *env;
	char name[LINK_ROUTE_MAX + 1];
	const char *peer = NULL;
	size_t n = zmq_msg_size(msg);

	if (len > LINK_ROUTE_MAX)
		return;
	env = wire__envelope__unpack(NULL, n, zmq_msg_data(msg));
	if (env == NULL)
		return;
	memcpy(from.id, id, len);
	from.len = len;
	if (sock == l->out) {
		memcpy(name, id, len);
		name[len] = '\0';
		peer = g_hash_table_lookup(l->peers, name);
		if (peer != NULL)
			l->handler(l->arg, peer, NULL, env, n);
	} else {
		l->handler(l->arg, NULL, &from, env, n);
	}
	wire__envelope__free_unpacked(env, NULL);
}

/* Receives some of what one socket holds. */
static void
receive_from(struct link *l, void *sock)
{
	unsigned char id[LINK_ROUTE_MAX];
	zmq_msg_t msg;
	int i, len;

	for (i = 0; i < BATCH; i++) {
		len = zmq_recv(sock, id, sizeof(id), ZMQ_DONTWAIT);
		if (len < 0)
			return;
		zmq_msg_init(&msg);
		if (zmq_msg_recv(&msg, sock, ZMQ_DONTWAIT) >= 0)
			handle(l, sock, id, (size_t)len, &msg);
		zmq_msg_close(&msg);
	}
}

/*
 * ZAP (ZeroMQ RFC 27): lets in only who proves to hold a client key of the
 * fleet.
 */
static void
answer_zap(struct link *l)
{
	char frames[ZAP_FRAMES][256], key[KEY_TEXT] = "";
	int n = 0, i, len, more = 1, ok = 0, lens[ZAP_FRAMES] = { 0 };
	size_t size = sizeof(more);
	const char *code;

	while (more && n < ZAP_FRAMES) {
		len = zmq_recv(
		    l->zap, frames[n], sizeof(frames[n]), ZMQ_DONTWAIT);
		if (len < 0)
			return;
		lens[n++] = len;
		zmq_getsockopt(l->zap, ZMQ_RCVMORE, &more, &size);
	}
	if (n >= 7 && lens[6] == RAW_KEY)
		zmq_z85_encode(key, (unsigned char *)frames[6], RAW_KEY);
	for (i = 0; i < l->npairs; i++)
		ok |= strcmp(key, l->pairs[i].client_public) == 0;
	code = ok ? "200" : "400";
	zmq_send(l->zap, "1.0", 3, ZMQ_SNDMORE);
	zmq_send(l->zap, frames[1], (size_t)lens[1], ZMQ_SNDMORE);
	zmq_send(l->zap, code, 3, ZMQ_SNDMORE);
	zmq_send(l->zap, "", 0, ZMQ_SNDMORE);
	zmq_send(l->zap, "", 0, ZMQ_SNDMORE);
	zmq_send(l->zap, "", 0, 0);
}

/* Handles what has arrived. */
void
link_receive(struct link *l)
{
	answer_zap(l);
	receive_from(l, l->in);
	receive_from(l, l->out);
}
