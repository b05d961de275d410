/*
 * Links between nodes over ZeroMQ: a ROUTER socket that accepts connections, a
 * ROUTER socket that opens them, and a ZAP handler that authenticates clients.
 */
#include <errno.h>
#include <stdio.h>
#include <string.h>

#include <sodium.h>
#include <zmq.h>

#include "link.h"

#define KEY_TEXT_LEN	     41	   /* bytes of a Z85 key and its NUL */
#define RAW_KEY_LEN	     32	   /* bytes of a binary key */
#define HEARTBEAT_MS	     10000 /* interval of heartbeats on a connection */
#define HEARTBEAT_TIMEOUT_MS 5000  /* an unanswered heartbeat closes it */
#define HEARTBEAT_TTL_MS     30000 /* the peer closes it after such a silence */
#define HANDSHAKE_MS	     2000  /* timeout of the handshake */
#define RECONNECT_MS	     50	   /* first delay, doubled with each failure */
#define RECONNECT_MAX_MS     1000  /* longest delay */
#define QUEUE_MAX	     2000  /* messages queued a connection, each way */
#define MESSAGE_MAX	     (12 * 1024 * 1024) /* bytes */
#define BACKLOG		     512 /* connections not accepted yet */
#define RECEIVE_BATCH	     256 /* messages handled before others get a turn */
#define ZAP_FRAMES_MAX	     8	 /* frames of a request that are read */
#define ZAP_ENDPOINT	     "inproc://zeromq.zap.01"

/*
 * The two CURVE key pairs that are derived from a key of the fleet.  All nodes
 * with that key have both, so each can authenticate the others.
 */
struct key_pairs {
	char server_public[KEY_TEXT_LEN], server_secret[KEY_TEXT_LEN];
	char client_public[KEY_TEXT_LEN], client_secret[KEY_TEXT_LEN];
};

/* A connection that this node opened. */
struct conn {
	char id[LINK_ROUTE_MAX]; /* routing id, unique to the connection */
	char endpoint[ENDPOINT_MAX];
	int64_t used_at; /* when a message was last sent, ms */
	int key;	 /* index of the peer's key it was opened with */
};

struct link {
	void *ctx;
	void *server; /* accepts connections of other nodes */
	void *client; /* opens connections to other nodes */
	void *zap;    /* receives the library's authentication requests */
	struct key_pairs key_pairs[NODE_KEYS]; /* this node uses the first */
	int npairs;
	GHashTable *keys; /* peer's name, owned, to its key's index, if not 0 */
	GHashTable *conns; /* peer's name to struct conn, both owned */
	GHashTable *names; /* routing id to peer's name, both owned */
	char source[LINK_ROUTE_MAX]; /* local host and port 0 */
	unsigned int generation;     /* number of the last connection */
	link_handler handler;
	void *arg;
};

static void derive_pair(const unsigned char *, const char *, char *, char *);
static void derive_pairs(const unsigned char *, struct key_pairs *);
static void set_int_option(void *, int, int);
static void set_common_options(void *);
static struct conn *connect_peer(struct link *, const char *, const char *);
static int send_frames(void *, const void *, size_t, const Wire__Envelope *);

static void receive_from(struct link *, void *);
static void handle_message(
    struct link *, void *, const unsigned char *, size_t, zmq_msg_t *);
static void answer_zap(struct link *);

/* Derives a CURVE key pair from a key of the fleet and the pair's purpose. */
static void
derive_pair(
    const unsigned char *key, const char *purpose, char *public, char *secret)
{
	unsigned char raw[RAW_KEY_LEN];

	crypto_generichash(raw, sizeof(raw), (const unsigned char *)purpose,
	    strlen(purpose), key, NODE_KEY_LEN);
	zmq_z85_encode(secret, raw, sizeof(raw));
	zmq_curve_public(public, secret);
	sodium_memzero(raw, sizeof(raw));
}

/* Derives the server's and the client's pair of one key. */
static void
derive_pairs(const unsigned char *key, struct key_pairs *p)
{
	derive_pair(key, "server", p->server_public, p->server_secret);
	derive_pair(key, "client", p->client_public, p->client_secret);
}

/* Sets an int option of a socket; errors are ignored. */
static void
set_int_option(void *sock, int option, int value)
{
	zmq_setsockopt(sock, option, &value, sizeof(value));
}

/* Sets the options that both sockets have in common. */
static void
set_common_options(void *sock)
{
	int64_t max = MESSAGE_MAX;

	set_int_option(sock, ZMQ_LINGER, 0);
	set_int_option(sock, ZMQ_SNDHWM, QUEUE_MAX);
	set_int_option(sock, ZMQ_RCVHWM, QUEUE_MAX);
	set_int_option(sock, ZMQ_HEARTBEAT_IVL, HEARTBEAT_MS);
	set_int_option(sock, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
	set_int_option(sock, ZMQ_HEARTBEAT_TTL, HEARTBEAT_TTL_MS);
	set_int_option(sock, ZMQ_HANDSHAKE_IVL, HANDSHAKE_MS);
	zmq_setsockopt(sock, ZMQ_MAXMSGSIZE, &max, sizeof(max));
}

/* Opens the three sockets; NODE_ELISTEN if the address cannot be bound. */
int
link_open(struct link **out, const char *listen, const struct fleet_keys *keys,
    link_handler handler, void *arg)
{
	struct key_pairs *own;
	struct link *l;
	char endpoint[ENDPOINT_MAX];

	l = g_new0(struct link, 1);
	snprintf(l->source, sizeof(l->source), "%.*s:0",
	    (int)strcspn(listen, ":"), listen);
	l->handler = handler;
	l->arg = arg;
	l->conns =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	l->names =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	l->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (l->npairs = 0; l->npairs < keys->count; l->npairs++)
		derive_pairs(keys->key[l->npairs], &l->key_pairs[l->npairs]);
	own = &l->key_pairs[0];
	l->ctx = zmq_ctx_new();
	l->zap = zmq_socket(l->ctx, ZMQ_REP);
	zmq_bind(l->zap, ZAP_ENDPOINT);
	l->server = zmq_socket(l->ctx, ZMQ_ROUTER);
	set_common_options(l->server);
	set_int_option(l->server, ZMQ_BACKLOG, BACKLOG);
	set_int_option(l->server, ZMQ_CURVE_SERVER, 1);
	zmq_setsockopt(
	    l->server, ZMQ_CURVE_SECRETKEY, own->server_secret, KEY_TEXT_LEN);
	l->client = zmq_socket(l->ctx, ZMQ_ROUTER);
	set_common_options(l->client);
	set_int_option(l->client, ZMQ_ROUTER_MANDATORY, 1);
	set_int_option(l->client, ZMQ_RECONNECT_IVL, RECONNECT_MS);
	set_int_option(l->client, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	zmq_setsockopt(
	    l->client, ZMQ_CURVE_PUBLICKEY, own->client_public, KEY_TEXT_LEN);
	zmq_setsockopt(
	    l->client, ZMQ_CURVE_SECRETKEY, own->client_secret, KEY_TEXT_LEN);
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", listen);
	if (zmq_bind(l->server, endpoint) != 0) {
		link_close(l);
		return NODE_ELISTEN;
	}
	*out = l;
	return NODE_OK;
}

/* Closes all sockets; queued messages are lost, as ZMQ_LINGER is 0. */
void
link_close(struct link *l)
{
	zmq_close(l->server);
	zmq_close(l->client);
	zmq_close(l->zap);
	zmq_ctx_term(l->ctx);
	g_hash_table_destroy(l->conns);
	g_hash_table_destroy(l->names);
	g_hash_table_destroy(l->keys);
	sodium_memzero(l->key_pairs, sizeof(l->key_pairs));
	g_free(l);
}

/* Returns the connection to a peer's address, opening it if needed, or NULL. */
static struct conn *
connect_peer(struct link *l, const char *peer, const char *addr)
{
	struct conn *c;
	char endpoint[ENDPOINT_MAX];

	snprintf(endpoint, sizeof(endpoint), "tcp://%s;%s", l->source, addr);
	c = g_hash_table_lookup(l->conns, peer);
	if (c != NULL && strcmp(c->endpoint, endpoint) == 0)
		return c;
	if (c != NULL)
		link_reset(l, peer);
	c = g_new0(struct conn, 1);
	g_strlcpy(c->endpoint, endpoint, sizeof(c->endpoint));
	snprintf(c->id, sizeof(c->id), "c%u", ++l->generation);
	c->key = GPOINTER_TO_INT(g_hash_table_lookup(l->keys, peer));
	zmq_setsockopt(l->client, ZMQ_CURVE_SERVERKEY,
	    l->key_pairs[c->key].server_public, KEY_TEXT_LEN);
	zmq_setsockopt(l->client, ZMQ_CONNECT_ROUTING_ID, c->id, strlen(c->id));
	if (zmq_connect(l->client, endpoint) != 0) {
		g_free(c);
		return NULL;
	}
	g_hash_table_insert(l->conns, g_strdup(peer), c);
	g_hash_table_insert(l->names, g_strdup(c->id), g_strdup(peer));
	return c;
}

/* The handshake of a connection that was opened with another key would fail. */
int
link_set_key(struct link *l, const char *peer, int key)
{
	struct conn *c = g_hash_table_lookup(l->conns, peer);
	int dropped = c != NULL && c->key != key;

	if (dropped)
		link_reset(l, peer);
	if (key != 0)
		g_hash_table_insert(
		    l->keys, g_strdup(peer), GINT_TO_POINTER(key));
	else
		g_hash_table_remove(l->keys, peer);
	return dropped;
}

/* Closes the connection to a peer, if there is one. */
void
link_reset(struct link *l, const char *peer)
{
	struct conn *c;

	if ((c = g_hash_table_lookup(l->conns, peer)) == NULL)
		return;

	zmq_disconnect(l->client, c->endpoint);
	g_hash_table_remove(l->names, c->id);
	g_hash_table_remove(l->conns, peer);
}

/* Idle connections are closed, as each costs memory and heartbeats. */
void
link_close_idle(struct link *l, int64_t now, int idle_ms)
{
	GHashTableIter it;
	gpointer peer, val;
	GPtrArray *idle = g_ptr_array_new();
	guint i;

	g_hash_table_iter_init(&it, l->conns);
	while (g_hash_table_iter_next(&it, &peer, &val))
		if (now - ((struct conn *)val)->used_at >= idle_ms)
			g_ptr_array_add(idle, peer);
	for (i = 0; i < idle->len; i++)
		link_reset(l, g_ptr_array_index(idle, i));
	counter_add(CTR_LINKS_RELEASED, (int64_t)idle->len);
	g_ptr_array_free(idle, TRUE);
}

/* Number of connections that this node opened. */
int
link_count(const struct link *l)
{
	return (int)g_hash_table_size(l->conns);
}

/*
 * Packs a message and queues it for a routing id.  Returns its packed size in
 * bytes, or NODE_EUNREACHABLE if ZeroMQ does not accept it.
 */
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

/* Queues a message for a peer, whose connection counts as used now. */
int
link_send(struct link *l, const char *peer, const char *addr,
    const Wire__Envelope *env)
{
	struct conn *c;

	if ((c = connect_peer(l, peer, addr)) == NULL)
		return NODE_EUNREACHABLE;
	c->used_at = base_now_ms();
	return send_frames(l->client, c->id, strlen(c->id), env);
}

/* Queues an answer over the connection that its request came by. */
int
link_reply(
    struct link *l, const struct link_route *r, const Wire__Envelope *env)
{
	return send_frames(l->server, r->id, r->len, env);
}

/* Lists the sockets that the loop polls; returns their number. */
int
link_sockets(struct link *l, void **sockets)
{
	sockets[0] = l->server;
	sockets[1] = l->client;
	sockets[2] = l->zap;
	return LINK_SOCKETS;
}

/* Unpacks a message and passes it to the handler; drops a malformed one. */
static void
handle_message(struct link *l, void *sock, const unsigned char *id, size_t len,
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
	if (sock == l->client) {
		memcpy(name, id, len);
		name[len] = '\0';
		peer = g_hash_table_lookup(l->names, name);
		if (peer != NULL)
			l->handler(l->arg, peer, NULL, env, n);
	} else {
		l->handler(l->arg, NULL, &from, env, n);
	}
	wire__envelope__free_unpacked(env, NULL);
}

/* Receives up to a batch of messages from one socket. */
static void
receive_from(struct link *l, void *sock)
{
	unsigned char id[LINK_ROUTE_MAX];
	zmq_msg_t msg;
	int i, len;

	for (i = 0; i < RECEIVE_BATCH; i++) {
		len = zmq_recv(sock, id, sizeof(id), ZMQ_DONTWAIT);
		if (len < 0)
			return;
		zmq_msg_init(&msg);
		if (zmq_msg_recv(&msg, sock, ZMQ_DONTWAIT) >= 0)
			handle_message(l, sock, id, (size_t)len, &msg);
		zmq_msg_close(&msg);
	}
}

/*
 * Answers a ZAP request (ZeroMQ RFC 27): accepts a connection only if its
 * client key, whose possession CURVE has proved, is derived from a key of the
 * fleet.
 */
static void
answer_zap(struct link *l)
{
	char frames[ZAP_FRAMES_MAX][256], key[KEY_TEXT_LEN] = "";
	int n = 0, i, len, more = 1, ok = 0, lens[ZAP_FRAMES_MAX] = { 0 };
	size_t size = sizeof(more);
	const char *code;

	while (more && n < ZAP_FRAMES_MAX) {
		len = zmq_recv(
		    l->zap, frames[n], sizeof(frames[n]), ZMQ_DONTWAIT);
		if (len < 0)
			return;
		lens[n++] = len;
		zmq_getsockopt(l->zap, ZMQ_RCVMORE, &more, &size);
	}
	if (n >= 7 && lens[6] == RAW_KEY_LEN)
		zmq_z85_encode(key, (unsigned char *)frames[6], RAW_KEY_LEN);
	for (i = 0; i < l->npairs; i++)
		ok |= strcmp(key, l->key_pairs[i].client_public) == 0;
	code = ok ? "200" : "400";
	zmq_send(l->zap, "1.0", 3, ZMQ_SNDMORE);
	zmq_send(l->zap, frames[1], (size_t)lens[1], ZMQ_SNDMORE);
	zmq_send(l->zap, code, 3, ZMQ_SNDMORE);
	zmq_send(l->zap, "", 0, ZMQ_SNDMORE);
	zmq_send(l->zap, "", 0, ZMQ_SNDMORE);
	zmq_send(l->zap, "", 0, 0);
}

/* Handles waiting authentication requests, then a batch of each socket. */
void
link_receive(struct link *l)
{
	answer_zap(l);
	receive_from(l, l->server);
	receive_from(l, l->client);
}
