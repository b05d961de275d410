/* A small deployment on loopback addresses; see mesh.h. */
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "mesh.h"

#define TICK_MS	      10
#define MEMORY_MB     260  /* MemoryMb of a machine */
#define REPORT_MS     1000 /* between two reports of a server */
#define RESTART_MS    400 /* until the platform starts an ended process again */
#define READY_WAIT_MS 8000
#define TIMEOUT_MS    4000	  /* TimeoutMs of all routes */
#define GOAL_MS	      1000	  /* TargetLatencyMs of all routes */
#define LONG_BYTES    (64 * 1024) /* longer answers are sent in pieces */
#define PIECE_MS      50
#define BODY_MAX      (64 * 1024 * 1024)

/* A request that a server runs. */
struct run {
	struct mesh_node *node;
	struct http_exchange *exchange;
	struct event *timer;
	char id[MESH_ID_MAX];
	int left, begun; /* bytes to send; the head was sent */
};

static void on_tick(evutil_socket_t, short, void *);
static void on_request(void *, struct http_exchange *, struct http_message *);
static void on_gone(void *, struct http_exchange *);
static void on_work_done(evutil_socket_t, short, void *);
static void on_client_read(struct bufferevent *, void *);
static void on_client_event(struct bufferevent *, short, void *);
static void report(struct mesh_node *);
static void answer_run(struct run *);
static int open_server(struct mesh_node *);

/* Writes a line to the record. */
void
mesh_note(struct mesh *m, const char *fmt, ...)
{
	va_list ap;

	fprintf(m->record, "%8.3f ", (base_now_ms() - m->began) / 1000.0);
	va_start(ap, fmt);
	vfprintf(m->record, fmt, ap);
	va_end(ap);
	fputc('\n', m->record);
	fflush(m->record);
}

/* ---- servers ---- */

/* Finds a request by its id; NULL: no client sent it. */
static struct mesh_request *
find_request(struct mesh *m, const char *id)
{
	struct mesh_request *r;
	guint i;

	for (i = m->requests->len; i-- > 0;) {
		r = g_ptr_array_index(m->requests, i);
		if (strcmp(r->id, id) == 0)
			return r;
	}
	return NULL;
}

/* Releases a run; its exchange belongs to the server. */
static void
run_free(struct run *r)
{
	event_free(r->timer);
	g_free(r);
}

/* Answers a status check. */
static void
answer_check(struct mesh_node *n, struct http_exchange *x)
{
	struct http_message *a = http_message_new();

	a->status = n->leaving ? 503 : 200;
	http_add(a, platform_headers.target, n->id);
	http_reply(x, a);
	http_message_free(a);
}

/* Refuses a request that is meant for another server. */
static void
answer_misdirected(struct http_exchange *x, const char *id)
{
	struct http_message *a = http_message_new();

	a->status = 421;
	http_add(a, platform_headers.id, id);
	http_add(a, platform_headers.not_run, "1");
	http_reply(x, a);
	http_message_free(a);
}

/* A request has arrived at a server, which begins to run it. */
static void
on_request(void *arg, struct http_exchange *x, struct http_message *m)
{
	struct mesh_node *n = arg;
	const char *id = http_find(m, platform_headers.id);
	const char *expect = http_find(m, platform_headers.expect_target);
	const char *w = strstr(m->path, "/w"), *b = strstr(m->path, "/b");
	struct mesh_request *q;
	struct run *r;

	http_exchange_set(x, NULL);
	if (strcmp(m->path, "/health") == 0) {
		answer_check(n, x);
	} else if (id == NULL ||
		   (expect != NULL && strcmp(expect, n->id) != 0)) {
		answer_misdirected(x, id != NULL ? id : "");
	} else {
		q = find_request(n->mesh, id);
		mesh_note(n->mesh, "server %s of node %d runs %s%s", n->id,
		    n->i, id, q == NULL ? ", which nobody sent" : "");
		if (q != NULL) {
			q->runs++;
			q->ran_on = n->i;
			q->ran_at = base_now_ms();
		}
		r = g_new0(struct run, 1);
		r->node = n;
		r->exchange = x;
		g_strlcpy(r->id, id, sizeof(r->id));
		r->left = b != NULL ? atoi(b + 2) : 0;
		r->timer = evtimer_new(n->mesh->base, on_work_done, r);
		http_exchange_set(x, r);
		http_timer_set(r->timer, w != NULL ? atoi(w + 2) : 0);
	}
	http_message_free(m);
}

/* Sends the answer, or the next piece of a long one. */
static void
answer_run(struct run *r)
{
	struct http_message *a;
	guint8 *bytes;
	int n = MIN(r->left, LONG_BYTES), is_long = r->left > LONG_BYTES;

	bytes = g_malloc0(LONG_BYTES);
	memset(bytes, 'x', LONG_BYTES);
	if (!r->begun) {
		a = http_message_new();
		a->status = 200;
		http_add(a, platform_headers.id, r->id);
		http_add(a, platform_headers.seal, r->node->id);
		a->length = r->left;
		if (!is_long)
			g_byte_array_append(a->body, bytes, (guint)n);
		if (is_long)
			http_reply_begin(r->exchange, a);
		else
			http_reply(r->exchange, a);
		http_message_free(a);
		r->begun = is_long;
	}
	if (r->begun) {
		http_reply_piece(r->exchange, bytes, (size_t)n);
		r->left -= n;
	}
	g_free(bytes);
	if (r->begun && r->left > 0) {
		http_timer_set(r->timer, PIECE_MS);
		return;
	}
	if (r->begun)
		http_reply_end(r->exchange, 1);
	run_free(r);
}

/* The work of a request is done. */
static void
on_work_done(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	answer_run(arg);
}

/* The connection of a run was closed: its work ends. */
static void
on_gone(void *arg, struct http_exchange *x)
{
	struct mesh_node *n = arg;
	struct run *r = http_exchange_data(x);

	if (r == NULL)
		return;
	mesh_note(n->mesh, "server %s of node %d: %s was cut off", n->id, n->i,
	    r->id);
	run_free(r);
}

/* Opens the server beside a node; 0 if its address is in use. */
static int
open_server(struct mesh_node *n)
{
	struct http_server_calls calls = {
		.arg = n, .request = on_request, .gone = on_gone
	};
	char addr[ADDRESS_MAX];

	g_snprintf(addr, sizeof(addr), "%s:8301", n->host);
	n->server =
	    http_server_new(n->mesh->base, addr, &n->mesh->limits, &calls);
	return n->server != NULL;
}

/* Writes a server's entry. */
static void
report(struct mesh_node *n)
{
	char *key = g_strdup_printf("servers/%s", n->id), *value;

	value = g_strdup_printf(
	    "{\"Address\":\"%s:8301\",\"Info\":{\"Service\":\"%s\","
	    "\"Version\":\"v1\",\"Zone\":\"%s\",\"Slots\":6},\"Status\":"
	    "{\"State\":\"ready\",\"Sequence\":%d,\"WarmupLeftMs\":0},"
	    "\"born\":%" G_GINT64_FORMAT "}",
	    n->host, n->service, n->zone, ++n->sequence, n->born_wall_ms);
	store_put(n->mesh->store, key, value);
	n->report_at = base_now_ms() + REPORT_MS;
	g_free(key);
	g_free(value);
}

/* Takes the server's entry from the store; it serves on. */
void
mesh_remove_entry(struct mesh_node *n)
{
	store_remove_target(n->mesh->store, n->id);
	n->leaving = 1;
	mesh_note(n->mesh,
	    "store: the entry of server %s of node %d is removed", n->id, n->i);
}

/* Ends the server. */
void
mesh_stop_server(struct mesh_node *n)
{
	n->leaving = 1;
	http_server_free(n->server);
	n->server = NULL;
	mesh_note(n->mesh, "server %s of node %d ends", n->id, n->i);
}

/* ---- the store ---- */

/* Writes a version with one route to each service, named as its prefix. */
void
mesh_put_config(struct mesh *m, int version)
{
	GString *t = g_string_new(NULL), *routes = g_string_new(NULL);
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	int i;

	g_string_append_printf(t, "{\"Version\":%d,\"Services\":[", version);
	for (i = 0; i < m->nnodes; i++) {
		if (!g_hash_table_add(seen, (gpointer)m->nodes[i].service))
			continue;
		g_string_append_printf(t,
		    "%s{\"Name\":\"%s\",\"HealthCheckPath\":\"/health\","
		    "\"MaxConnections\":120,\"WarmupS\":3.0,"
		    "\"WarmupPerS\":11.0}",
		    i > 0 ? "," : "", m->nodes[i].service);
		g_string_append_printf(routes,
		    "%s{\"Name\":\"r%d\",\"Prefix\":\"/%s/\","
		    "\"Kind\":\"idempotent\",\"TimeoutMs\":%d,"
		    "\"TargetLatencyMs\":%d,\"Priority\":1,\"Attempts\":2,"
		    "\"Service\":\"%s\"}",
		    i > 0 ? "," : "", i, m->nodes[i].service, TIMEOUT_MS,
		    GOAL_MS, m->nodes[i].service);
	}
	g_string_append_printf(t,
	    "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,"
	    "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":10000},"
	    "\"VirtualHosts\":[{\"Host\":\"mesh.example\",\"PathRules\":[%s]}]"
	    "}",
	    routes->str);
	store_put(m->store, "op/config", t->str);
	mesh_note(m, "store: version %d is acknowledged", version);
	g_hash_table_destroy(seen);
	g_string_free(routes, TRUE);
	g_string_free(t, TRUE);
}

/* Whether the process has an open watch at the store, so that it reads. */
int
mesh_reads_store(struct mesh_node *n)
{
	const struct watch *w;
	guint i;

	for (i = 0; i < n->mesh->store->watches->len; i++) {
		w = g_ptr_array_index(n->mesh->store->watches, i);
		if (w->store_address == &n->mesh->store->addresses[n->i])
			return 1;
	}
	return 0;
}

/* The store refuses the node's calls with 503, or serves them again. */
void
mesh_refuse_store(struct mesh_node *n, int refuse)
{
	struct mesh *m = n->mesh;
	const struct watch *w;
	guint i = 0;

	store_set_address_fault(
	    m->store, n->i, refuse ? STORE_BUSY : STORE_NO_FAULT);
	while (refuse && i < m->store->watches->len) {
		w = g_ptr_array_index(m->store->watches, i);
		if (w->store_address != &m->store->addresses[n->i]) {
			i++;
			continue;
		}
		store_reply(m->store, w->exchange, w->prefix, 503, "{}");
		g_ptr_array_remove_index(m->store->watches, i);
	}
	mesh_note(
	    m, "store: %s node %d", refuse ? "refuses" : "serves again", n->i);
}

/* ---- processes ---- */

/* Writes the settings as the template of the deploy file does. */
void
mesh_write_settings(struct mesh_node *n)
{
	struct mesh *m = n->mesh;
	char *text, *tmp = g_strdup_printf("%s.new", n->config);

	text = g_strdup_printf(
	    "{\"name\": \"vm%d\", \"data_centre\": \"%s\", \"service\": \"%s\","
	    "\n\"target\": \"%s:8301\", \"callers\": \"%s:8304\",\n"
	    "\"links\": \"%s:8300\", \"ready\": \"%s:8302\",\n"
	    "\"metrics\": \"%s:7620\", \"store\": \"127.%d.1.%d:8309\",\n"
	    "\"peers\": [%s], \"beat_ms\": 1500, \"memory_mb\": %d,\n"
	    "\"grace_ms\": 6000, \"cold_ratio\": 1.5, \"cold_slack\": 5,\n"
	    "\"retry_window_ms\": 10000, \"retry_ratio\": 0.2,\n"
	    "\"retry_slack\": 60, \"log\": \"info\"}\n",
	    n->i, n->zone, n->service, n->host, n->host, n->links_host, n->host,
	    n->host, m->net, n->i + 1, m->seeds, MEMORY_MB);
	if (!g_file_set_contents(tmp, text, -1, NULL) ||
	    rename(tmp, n->config) != 0)
		exit(mesh_end(m, MESH_CANNOT_RUN));
	g_free(text);
	g_free(tmp);
}

/* Starts the process; it ends with this program. */
void
mesh_start(struct mesh_node *n)
{
	struct mesh *m = n->mesh;
	char *env = g_strdup_printf("TEASELSTEP_CONFIG=%s", n->config);
	char *path = g_strdup_printf("PATH=%s", getenv("PATH"));
	char *const argv[] = { (char *)m->program, NULL };
	char *const envp[] = { env, path, NULL };
	int fd;

	n->start_at = 0;
	n->started_at = base_now_ms();
	n->killed = 0;
	n->pid = fork();
	if (n->pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		fd = open(n->log, O_WRONLY | O_CREAT | O_APPEND, 0644);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		closefrom(3);
		execve(m->program, argv, envp);
		_exit(127);
	}
	mesh_note(m, "process of node %d starts", n->i);
	g_free(env);
	g_free(path);
}

/* Sends a signal to the process; SIGKILL is followed by a restart. */
void
mesh_signal(struct mesh_node *n, int sig)
{
	if (n->pid <= 0)
		return;
	mesh_note(n->mesh, "process of node %d gets signal %d", n->i, sig);
	n->killed |= sig == SIGKILL || sig == SIGTERM;
	kill(n->pid, sig);
}

/* Kills a process that uses more memory than its machine has. */
static void
check_memory(struct mesh_node *n)
{
	char *path = g_strdup_printf("/proc/%d/statm", (int)n->pid), *text;
	long pages = 0;

	if (n->pid > 0 && g_file_get_contents(path, &text, NULL, NULL)) {
		if (sscanf(text, "%*d %ld", &pages) != 1)
			pages = 0;
		g_free(text);
	}
	g_free(path);
	n->memory_mb = (int)(pages * (sysconf(_SC_PAGESIZE) / 1024) / 1024);
	n->peak_mb = MAX(n->peak_mb, n->memory_mb);
	if (n->memory_mb <= MEMORY_MB || n->killed)
		return;
	mesh_note(n->mesh, "process of node %d uses %d MB of %d, and is killed",
	    n->i, n->memory_mb, MEMORY_MB);
	n->over_memory++;
	n->killed = 1;
	kill(n->pid, SIGKILL);
}

/* Notes an ended process, and schedules its restart. */
static void
reap(struct mesh_node *n)
{
	int status;

	if (n->pid <= 0 || waitpid(n->pid, &status, WNOHANG) != n->pid)
		return;
	n->pid = 0;
	n->start_at = base_now_ms() + RESTART_MS;
	if (!n->killed)
		n->own_ends++;
	mesh_note(n->mesh, "process of node %d ended%s with %s %d", n->i,
	    n->killed ? "" : " BY ITSELF",
	    WIFSIGNALED(status) ? "signal" : "status",
	    WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
}

/* Does what is due: reports, and restarts of processes. */
static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct mesh *m = arg;
	struct mesh_node *n;
	int64_t now = base_now_ms();
	int i;

	(void)fd;
	(void)what;
	for (i = 0; i < m->nnodes; i++) {
		n = &m->nodes[i];
		check_memory(n);
		reap(n);
		if (n->start_at != 0 && now >= n->start_at)
			mesh_start(n);
		if (!n->leaving && now >= n->report_at)
			report(n);
	}
}

/* ---- clients ---- */

/* Opens a connection to the process of a node. */
struct mesh_client *
mesh_client_open(struct mesh *m, int node)
{
	struct mesh_client *c = g_new0(struct mesh_client, 1);
	char addr[ADDRESS_MAX];

	c->mesh = m;
	c->node = node;
	g_queue_init(&c->waiting);
	http_parse_init(&c->parse, HTTP_RESPONSE, 65536, BODY_MAX);
	g_snprintf(addr, sizeof(addr), "%s:8304", m->nodes[node].host);
	if ((c->bev = http_connect(m->base, addr)) == NULL)
		exit(mesh_end(m, MESH_CANNOT_RUN));
	bufferevent_setcb(c->bev, on_client_read, NULL, on_client_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	g_ptr_array_add(m->clients, c);
	return c;
}

/* Closes the connection; its requests are left as they are. */
void
mesh_client_close(struct mesh_client *c)
{
	if (c->bev != NULL)
		bufferevent_free(c->bev);
	c->bev = NULL;
}

/* Releases a client. */
static void
client_free(gpointer p)
{
	struct mesh_client *c = p;

	mesh_client_close(c);
	http_parse_free(&c->parse);
	g_queue_clear(&c->waiting);
	g_free(c);
}

/* Sends a request behind those that wait on the connection. */
static struct mesh_request *
send_request(struct mesh_client *c, const char *method, const char *service,
    int work_ms, int bytes, size_t len)
{
	struct mesh_request *r = g_new0(struct mesh_request, 1);
	struct mesh *m = c->mesh;
	struct evbuffer *out;
	char *body;

	g_snprintf(r->id, sizeof(r->id), "r%04d", ++m->nids);
	r->node = c->node;
	r->kept = c->answers > 0;
	r->sent_at = base_now_ms();
	g_ptr_array_add(m->requests, r);
	if (c->bev == NULL) {
		r->cut = 1;
		mesh_note(m, "client of node %d: no connection for %s", c->node,
		    r->id);
		return r;
	}
	if (g_queue_is_empty(&c->waiting))
		http_parse_next(&c->parse, HTTP_RESPONSE);
	g_queue_push_tail(&c->waiting, r);
	out = bufferevent_get_output(c->bev);
	evbuffer_add_printf(out,
	    "%s /%s/w%d/b%d/ HTTP/1.1\r\nHost: mesh.example\r\n"
	    "%s: %s\r\n%s: %d\r\n",
	    method, service, work_ms, bytes, platform_headers.id, r->id,
	    platform_headers.remaining_ms, TIMEOUT_MS);
	if (len > 0)
		evbuffer_add_printf(out, "Content-Length: %zu\r\n", len);
	evbuffer_add_printf(out, "\r\n");
	body = g_malloc0(len + 1);
	evbuffer_add(out, body, len);
	g_free(body);
	mesh_note(m,
	    "client of node %d sends %s to %s, work %d ms, %d bytes, body %zu",
	    c->node, r->id, service, work_ms, bytes, len);
	return r;
}

/* A request without a body. */
struct mesh_request *
mesh_get(struct mesh_client *c, const char *service, int work_ms, int bytes)
{
	return send_request(c, "GET", service, work_ms, bytes, 0);
}

/* The same with a body. */
struct mesh_request *
mesh_put(struct mesh_client *c, const char *service, int work_ms, size_t len)
{
	return send_request(c, "PUT", service, work_ms, 100, len);
}

/* Answers arrive in the order of the requests. */
static void
on_client_read(struct bufferevent *bev, void *arg)
{
	struct mesh_client *c = arg;
	struct http_message *a;
	struct mesh_request *r;

	while (
	    http_parse_feed(&c->parse, bufferevent_get_input(bev)) == HTTP_OK) {
		a = http_parse_take(&c->parse);
		http_parse_next(&c->parse, HTTP_RESPONSE);
		r = g_queue_pop_head(&c->waiting);
		if (r != NULL) {
			r->status = a->status;
			r->ended_at = base_now_ms();
			c->answers++;
			mesh_note(c->mesh,
			    "client of node %d: answer to %s: %d, %u bytes",
			    c->node, r->id, a->status, a->body->len);
		}
		http_message_free(a);
		if (r == NULL)
			break;
	}
}

/* The connection ended: what waits on it gets no answer. */
static void
on_client_event(struct bufferevent *bev, short what, void *arg)
{
	struct mesh_client *c = arg;
	struct mesh_request *r;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED)
		return;
	while ((r = g_queue_pop_head(&c->waiting)) != NULL) {
		r->cut = 1;
		r->ended_at = base_now_ms();
		mesh_note(c->mesh,
		    "client of node %d: connection ended without a complete "
		    "answer to %s",
		    c->node, r->id);
	}
	mesh_client_close(c);
}

/* ---- the whole ---- */

/* Runs the event loop for ms. */
void
mesh_run(struct mesh *m, int ms)
{
	struct timeval tv = { ms / 1000, ms % 1000 * 1000L };

	event_base_loopexit(m->base, &tv);
	event_base_dispatch(m->base);
}

/* Opens the store on a range of addresses that is free. */
static int
open_store(struct mesh *m)
{
	char addr[ADDRESS_MAX];
	int i;

	g_snprintf(addr, sizeof(addr), "127.%d.1.1:8309", m->net);
	if ((m->store = store_new(m->base, addr, 500)) == NULL)
		return 0;
	for (i = 1; i < m->nnodes; i++) {
		g_snprintf(
		    addr, sizeof(addr), "127.%d.1.%d:8309", m->net, i + 1);
		if (store_add_address(m->store, addr) != i)
			return 0;
	}
	return 1;
}

/* Opens the record, the store and the servers. */
void
mesh_init(struct mesh *m, int argc, char **argv, int nnodes,
    const char *const *zones, const char *const *services)
{
	const char *trouble = getenv("TROUBLE");
	struct timeval tick = { 0, TICK_MS * 1000L };
	struct mesh_node *n;
	int i;

	memset(m, 0, sizeof(*m));
	signal(SIGPIPE, SIG_IGN);
	g_strlcpy(m->dir, "/tmp/review.XXXXXX", sizeof(m->dir));
	if (argc < 3 || (m->record = fopen(argv[2], "w")) == NULL ||
	    access(argv[1], X_OK) != 0 || mkdtemp(m->dir) == NULL) {
		fprintf(stderr, "usage: case PROGRAM RECORD\n");
		exit(MESH_CANNOT_RUN);
	}
	m->program = argv[1];
	m->trouble = trouble == NULL || strcmp(trouble, "0") != 0;
	m->seeds = "";
	m->began = base_now_ms();
	m->base = event_base_new();
	m->limits = (struct http_limits){ 65536, BODY_MAX, 60000, 60000, 0 };
	m->requests = g_ptr_array_new_with_free_func(g_free);
	m->clients = g_ptr_array_new_with_free_func(client_free);
	m->nnodes = nnodes;
	/* The processes that a case leaves behind cannot be met again. */
	m->net = 20 + (int)getpid() % 200;
	if (!open_store(m))
		exit(mesh_end(m, MESH_CANNOT_RUN));
	for (i = 0; i < nnodes; i++) {
		n = &m->nodes[i];
		n->mesh = m;
		n->i = i;
		n->zone = zones[i];
		n->service = services[i];
		g_snprintf(
		    n->host, sizeof(n->host), "127.%d.2.%d", m->net, i + 1);
		g_strlcpy(n->links_host, n->host, sizeof(n->links_host));
		g_snprintf(
		    n->config, sizeof(n->config), "%s/node%d.json", m->dir, i);
		g_snprintf(n->log, sizeof(n->log), "%s/node%d.log", m->dir, i);
		g_snprintf(
		    n->id, sizeof(n->id), "i-%d%04d", i, (int)getpid() % 10000);
		n->born_wall_ms = g_get_real_time() / 1000;
		n->report_at = base_now_ms() + REPORT_MS * i / nnodes;
		if (!open_server(n))
			exit(mesh_end(m, MESH_CANNOT_RUN));
		report(n);
		mesh_write_settings(n);
	}
	m->ticker = event_new(m->base, -1, EV_PERSIST, on_tick, m);
	evtimer_add(m->ticker, &tick);
	mesh_note(m, "disruption: %s", m->trouble ? "yes" : "no");
}

/* Whether the node says that it is ready. */
static void
on_ready(void *arg, int err, const struct http_message *a)
{
	*(int *)arg = err == HTTP_OK && a->status == 200;
}

/* Starts all processes and waits until each is ready, or gives up. */
void
mesh_start_all(struct mesh *m)
{
	int64_t give_up = base_now_ms() + READY_WAIT_MS;
	struct http_client *probe;
	char addr[ADDRESS_MAX];
	int i, ready;

	for (i = 0; i < m->nnodes; i++)
		mesh_start(&m->nodes[i]);
	for (i = 0; i < m->nnodes; i++) {
		g_snprintf(addr, sizeof(addr), "%s:8302", m->nodes[i].host);
		probe = http_client_new(m->base, addr);
		for (ready = 0; !ready && base_now_ms() < give_up;) {
			http_client_get(probe, "/ready", 500, on_ready, &ready);
			mesh_run(m, 100);
		}
		http_client_free(probe);
		if (!ready) {
			mesh_note(m, "node %d is not ready", i);
			exit(mesh_end(m, MESH_CANNOT_RUN));
		}
	}
	mesh_note(m, "all nodes are ready");
}

/* Ends all processes and removes the temporary folder. */
int
mesh_end(struct mesh *m, enum mesh_verdict v)
{
	static const char *const words[] = { [MESH_HELD] = "the rule held",
		[MESH_BROKEN] = "the rule was BROKEN",
		[MESH_CANNOT_RUN] = "the case could not run" };
	char *rm;
	int i;

	mesh_note(m, "%s", words[v]);
	for (i = 0; i < m->nnodes; i++) {
		if (m->nodes[i].pid <= 0)
			continue;
		kill(m->nodes[i].pid, SIGKILL);
		waitpid(m->nodes[i].pid, NULL, 0);
	}
	fclose(m->record);
	if (getenv("KEEP") != NULL) {
		fprintf(stderr, "logs are in %s\n", m->dir);
		return v;
	}
	rm = g_strdup_printf("rm -rf %s", m->dir);
	if (system(rm) != 0)
		fprintf(stderr, "%s was left\n", m->dir);
	g_free(rm);
	return v;
}
