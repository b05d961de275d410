/* Start and stop of a node: its modules are started and stopped in order. */
#include <pthread.h>
#include <string.h>

#include <sodium.h>
#include <urcu/urcu-bp.h>

#include "entry.h"
#include "gossip.h"
#include "loop.h"
#include "serve.h"
#include "spread.h"
#include "status.h"

#define FIRST_READS	  2    /* the head and the VM list */
#define LISTEN_TIMEOUT_MS 5000 /* for a killed predecessor to end */
#define LISTEN_RETRY_US	  50000

static void on_config(void *);
static int on_head(void *, const struct manifest *);
static void on_text(void *, const struct manifest *, GBytes *);
static void on_vms(void *, const struct json *, uint64_t);
static void on_first(void *, int);
static void start_reader(struct node *);
static int listen_http(struct node *, struct server **, const char *, int,
    void (*)(void *, struct server_request *));
static int listen_operators(struct node *);
static int listen_callers(struct node *);
static int listen_services(struct node *);
static int listen_all(struct node *);
static void stop_servers(struct node *);
static void release(struct node *);
static void *loop_thread(void *);

/* Functions that the gossip layer calls in the layers above it. */
static const struct gossip_events gossip_events = {
	.load = serve_load,
	.received = spread_peer_version,
	.push = spread_receive_push,
	.suspect = suspect_receive,
	.rejection = spread_rejection,
	.link_replaced = entry_link_replaced,
	.own_state_changed = role_update_out,
};

/* Functions that receive the guard's answers to this node's own calls. */
static const struct entry_replies entry_replies = {
	.ack = entry_ack,
	.answer = entry_answer,
};

/* Runs on the store's thread, after it has processed a submission. */
static void
on_config(void *arg)
{
	struct node *n = arg;

	mailbox_post(&n->mailbox, EVENT_CONFIG, NULL);
}

/*
 * Runs on a reader's thread when a head was read.  Returns 1 if its text is
 * wanted, 0 if not, or an error if it is older than the version held.
 */
static int
on_head(void *arg, const struct manifest *m)
{
	struct node *n = arg;
	struct version_state v;

	switch (config_offer(n->config, &m->version)) {
	case OFFER_FETCH:
	case OFFER_CONFLICT_WINS:
		return 1;
	case OFFER_OLDER:
		config_versions(n->config, &v);
		return m->version.number < v.held.number ? SOURCE_EOLDER
							 : SOURCE_OK;
	default:
		return SOURCE_OK;
	}
}

/* Runs on a reader's thread when a text that matches its hash was read. */
static void
on_text(void *arg, const struct manifest *m, GBytes *text)
{
	struct node *n = arg;

	config_submit(n->config, &m->version, m->has_parent ? m->parent : NULL,
	    text, "platform");
}

/*
 * Runs on a reader's thread when a VM list was read.  Entries without a valid
 * name and address are skipped.
 */
static void
on_vms(void *arg, const struct json *list, uint64_t index)
{
	struct node *n = arg;
	struct vm_list *out;
	struct vm_line l;
	const struct json *j;
	char host[ADDRESS_MAX];
	int port;

	out = g_new0(struct vm_list, 1);
	out->index = index;
	out->lines = g_array_new(FALSE, FALSE, sizeof(struct vm_line));
	for (j = list->child; j != NULL; j = j->next) {
		memset(&l, 0, sizeof(l));
		g_strlcpy(l.name, json_str(j, "vm", ""), sizeof(l.name));
		g_strlcpy(l.dc, json_str(j, "data_centre", ""), sizeof(l.dc));
		g_strlcpy(l.addr, json_str(j, "node", ""), sizeof(l.addr));
		l.leaving = strcmp(json_str(j, "state", ""), "leaving") == 0;
		if (name_valid(l.name, MESH_NAME_MAX) &&
		    address_split(l.addr, host, &port) == BASE_OK)
			g_array_append_val(out->lines, l);
	}
	mailbox_post(&n->mailbox, EVENT_VM_LIST, out);
}

/* Runs on a reader's thread when a first read has ended, or failed. */
static void
on_first(void *arg, int err)
{
	struct node *n = arg;

	mailbox_post(&n->mailbox, EVENT_FIRST_READ, GINT_TO_POINTER(err));
}

/* Starts the threads that read the set and the VM list of the platform. */
static void
start_reader(struct node *n)
{
	struct source_reader_events ev = { .arg = n,
		.head = on_head,
		.text = on_text,
		.vms = on_vms,
		.first = on_first };
	char host[ADDRESS_MAX];
	int port;

	address_split(n->settings.platform, host, &port);
	n->first_reads = FIRST_READS;
	n->reader = reader_start(&source_http, host, port,
	    n->settings.source_reads_per_min, n->settings.start_spread_ms, &ev);
}

/* Starts an HTTP server and converts its error to one of this package. */
static int
listen_http(struct node *n, struct server **out, const char *addr, int body,
    void (*handler)(void *, struct server_request *))
{
	int err;

	err = server_start(out, addr, (size_t)body, handler, n);
	return err == CALLER_OK ? NODE_OK : NODE_ELISTEN;
}

/* Listens for operators; requests with a body are refused. */
static int
listen_operators(struct node *n)
{
	return listen_http(
	    n, &n->operators, n->settings.operators, 0, operator_request);
}

/* Listens for callers outside the mesh. */
static int
listen_callers(struct node *n)
{
	return listen_http(n, &n->callers, n->settings.callers,
	    n->settings.body_max, entry_submit_from_caller);
}

/* Listens for calls that the target makes to other services. */
static int
listen_services(struct node *n)
{
	return listen_http(n, &n->services, n->settings.services,
	    n->settings.body_max, entry_submit_from_service);
}

/*
 * Listens on every address.  An address in use is retried for
 * LISTEN_TIMEOUT_MS: a node may be restarted before the kernel has ended its
 * killed predecessor.
 */
static int
listen_all(struct node *n)
{
	const struct {
		int (*open)(struct node *);
		const char *key, *address;
	} listeners[] = {
		{ gossip_open, "listen", n->settings.listen },
		{ loop_open_link, "listen", n->settings.listen },
		{ listen_operators, "operators", n->settings.operators },
		{ listen_callers, "callers", n->settings.callers },
		{ listen_services, "services", n->settings.services },
	};
	int64_t deadline = n->started_at + LISTEN_TIMEOUT_MS;
	size_t i = 0;

	while (i < G_N_ELEMENTS(listeners)) {
		if (listeners[i].open(n) == NODE_OK) {
			i++;
			continue;
		}
		if (base_now_ms() >= deadline) {
			base_log(G_LOG_LEVEL_WARNING, "cannot-listen",
			    "address=%s setting=%s", listeners[i].address,
			    listeners[i].key);
			return NODE_ELISTEN;
		}
		g_usleep(LISTEN_RETRY_US);
	}
	return NODE_OK;
}

/* Stops the HTTP servers that were started. */
static void
stop_servers(struct node *n)
{
	if (n->callers != NULL)
		server_stop(n->callers);
	if (n->services != NULL)
		server_stop(n->services);
	if (n->operators != NULL)
		server_stop(n->operators);
}

/* Releases everything that node_start has allocated. */
static void
release(struct node *n)
{
	if (n->link != NULL)
		link_close(n->link);
	gossip_close(n);
	config_store_free(n->config);
	serve_destroy(n);
	entry_destroy(n);
	spread_destroy(n);
	members_free(n->members);
	spans_destroy(&n->spans);
	record_close(n);
	g_hash_table_destroy(n->replay_windows);
	mailbox_destroy(&n->mailbox);
	g_rand_free(n->rand);
	settings_free(&n->settings);
	sodium_memzero(&n->keys, sizeof(n->keys));
	g_free(n);
}

/* Body of the thread that owns the node's state. */
static void *
loop_thread(void *arg)
{
	loop_main(arg);
	return NULL;
}

/* Starts a node; takes over the settings, also when it fails. */
int
node_start(
    struct node **out, const struct settings *s, const struct fleet_keys *keys)
{
	struct node *n;
	int i, err;

	n = g_new0(struct node, 1);
	n->settings = *s;
	n->keys = *keys;
	n->boot = (uint64_t)base_wall_ms();
	n->started_at = base_now_ms();
	n->rand = g_rand_new();
	n->gossip_events = &gossip_events;
	n->entry_replies = &entry_replies;
	mailbox_init(&n->mailbox);
	spans_init(&n->spans);
	n->replay_windows =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	n->members = members_new(s->name, s->advertise, s->data_centre, n->boot,
	    g_rand_int(n->rand));
	for (i = 0; i < keys->count; i++)
		n->key_fingerprints[i] = key_fingerprint(keys->key[i]);
	members_set_key(n->members, n->key_fingerprints[0]);
	n->config = config_store_new(s->full_sets, on_config, n);
	spread_init(n);
	entry_init(n);
	serve_init(n);
	n->udp = -1;
	if ((err = listen_all(n)) != NODE_OK) {
		stop_servers(n);
		release(n);
		return err;
	}
	start_reader(n);
	pthread_create(&n->thread, NULL, loop_thread, n);
	*out = n;
	return NODE_OK;
}

/* Posts new settings to the loop, which takes them over. */
void
node_reload(struct node *n, const struct settings *s)
{
	mailbox_post(&n->mailbox, EVENT_SETTINGS, g_memdup2(s, sizeof(*s)));
}

/* The loop thread ends when the node has drained, or its drain timed out. */
void
node_stop(struct node *n)
{
	server_quiesce(n->callers);
	server_quiesce(n->services);
	mailbox_post(&n->mailbox, EVENT_STOP, NULL);
	pthread_join(n->thread, NULL);
	reader_stop(n->reader);
	stop_servers(n);
	release(n);
}
