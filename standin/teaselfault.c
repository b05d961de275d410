/*
 * teaselfault: a TCP and UDP proxy between nodes that injects faults.  It
 * listens on one address for each node and forwards to that node; it identifies
 * the sender by its IP.  Faults come from a script, or over HTTP by
 * POST /fault?do=KIND&from=GROUP&to=GROUP&value=N.
 *
 * One thread forwards all traffic; HTTP threads change the rules.  The lock of
 * the fault table is held while the forwarding thread handles events.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../caller/caller.h"
#include "../mesh/member.h"
#include "fault.h"
#include "standin.h"

#define BLOCK_BYTES	  65536 /* bytes read at a time */
#define EVENTS_MAX	  256
#define POLL_NS		  5000000 /* between two checks of the script */
#define POLL_BUSY_NS	  100000  /* the same while data is delayed */
#define REORDER_US	  20000	  /* delay of a datagram that is overtaken */
#define BACKLOG		  512
#define CONTROL_CONNS_MAX 16

/* What an epoll event belongs to. */
enum end_kind {
	END_UDP,
	END_LISTEN,
	END_TCP
};

struct end {
	struct tcp_pair *pair; /* END_TCP */
	enum end_kind kind;
	int fd;
	int node; /* index, END_UDP and END_LISTEN */
	int side; /* 0: towards the sender, 1: towards the node */
};

/* A datagram, or a block of a stream, to be sent at its time. */
struct block {
	int64_t due; /* us */
	size_t len;
	int fd;	  /* UDP: the socket to send from */
	int node; /* UDP: the receiver */
	char data[];
};

/* An accepted connection and the one to the node. */
struct tcp_pair {
	struct end ends[2];
	int from, to;		      /* nodes */
	int silent, truncate, closed; /* truncate: close at the next block */
	GQueue *out[2]; /* of struct block, to be sent to ends[i] */
};

static struct fault_table table;
static int epoll_fd;
static GPtrArray *pairs; /* of struct tcp_pair */
static GQueue *delayed;	 /* of struct block: delayed datagrams */
static struct end udps[FAULT_NODES_MAX], listeners[FAULT_NODES_MAX];

static int bind_socket(int, const char *);
static void epoll_add(struct end *, uint32_t);
static int sender_node(const struct sockaddr_in *);
static void listen_for_node(int);
static void send_datagram(const struct block *);
static void on_datagram(struct end *);
static void on_accept(struct end *);
static void on_readable(struct end *);
static void send_due(struct tcp_pair *, int, int64_t);
static void close_pair(struct tcp_pair *, int);
static void apply_one_shots(void);
static int send_all_due(int64_t);
static enum MHD_Result handle_control(void *, struct standin_request *);
static void forward_traffic(void);

/* Returns a socket bound to an address, or exits. */
static int
bind_socket(int type, const char *addr)
{
	struct sockaddr_in sin;
	int fd, one = 1;

	address_resolve(addr, &sin);
	fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (fd < 0 || bind(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0) {
		fprintf(stderr, "teaselfault: cannot listen on %s\n", addr);
		exit(1);
	}
	return fd;
}

/* The end must stay at its address while its descriptor is open. */
static void
epoll_add(struct end *e, uint32_t events)
{
	struct epoll_event ev = { .events = events, .data.ptr = e };

	epoll_ctl(epoll_fd, EPOLL_CTL_ADD, e->fd, &ev);
}

/* Index of the node with the sender's IP, or -1. */
static int
sender_node(const struct sockaddr_in *sin)
{
	char ip[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &sin->sin_addr, ip, sizeof(ip));
	return fault_node_by_ip(&table, ip);
}

/* Listens for datagrams and connections to one node. */
static void
listen_for_node(int i)
{
	udps[i] = (struct end){ .kind = END_UDP, .node = i };
	udps[i].fd = bind_socket(SOCK_DGRAM, table.nodes[i].listen);
	epoll_add(&udps[i], EPOLLIN);
	listeners[i] = (struct end){ .kind = END_LISTEN, .node = i };
	listeners[i].fd = bind_socket(SOCK_STREAM, table.nodes[i].listen);
	listen(listeners[i].fd, BACKLOG);
	epoll_add(&listeners[i], EPOLLIN);
}

/* Counts a datagram that cannot be sent as dropped; the lock is held. */
static void
send_datagram(const struct block *b)
{
	struct sockaddr_in sin;

	address_resolve(table.nodes[b->node].forward, &sin);
	if (sendto(b->fd, b->data, b->len, MSG_DONTWAIT,
		(struct sockaddr *)&sin, sizeof(sin)) < 0)
		table.dropped++;
	else
		table.passed++;
}

/* Forwards, drops, duplicates or delays datagrams; the lock is held. */
static void
on_datagram(struct end *e)
{
	struct sockaddr_in sin;
	socklen_t size = sizeof(sin);
	struct block *b;
	char buf[BLOCK_BYTES];
	ssize_t n;
	int from, delay;

	while ((n = recvfrom(e->fd, buf, sizeof(buf), MSG_DONTWAIT,
		    (struct sockaddr *)&sin, &size)) >= 0) {
		from = sender_node(&sin);
		if (fault_value(&table, RULE_CUT, from, e->node) ||
		    fault_chance(&table,
			fault_value(&table, RULE_LOSS, from, e->node))) {
			table.dropped++;
			continue;
		}
		b = g_malloc(sizeof(*b) + (size_t)n);
		b->len = (size_t)n;
		b->fd = e->fd;
		b->node = e->node;
		memcpy(b->data, buf, (size_t)n);
		if (fault_chance(&table,
			fault_value(&table, RULE_DUPLICATE, from, e->node)))
			send_datagram(b);
		delay = fault_delay_us(&table, from, e->node);
		if (fault_chance(&table,
			fault_value(&table, RULE_REORDER, from, e->node)))
			delay += REORDER_US;
		if (delay == 0) {
			send_datagram(b);
			g_free(b);
		} else {
			b->due = base_now_us() + delay;
			g_queue_push_tail(delayed, b);
		}
	}
}

/* Accepts a connection and opens one to the node; the lock is held. */
static void
on_accept(struct end *e)
{
	struct sockaddr_in sin;
	socklen_t size = sizeof(sin);
	struct tcp_pair *p;
	int fd, i, one = 1;

	fd = accept4(e->fd, (struct sockaddr *)&sin, &size,
	    SOCK_NONBLOCK | SOCK_CLOEXEC);
	if (fd < 0)
		return;
	p = g_new0(struct tcp_pair, 1);
	p->from = sender_node(&sin);
	p->to = e->node;
	address_resolve(table.nodes[e->node].forward, &sin);
	p->ends[0].fd = fd;
	p->ends[1].fd =
	    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (connect(p->ends[1].fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 &&
	    errno != EINPROGRESS) {
		close(p->ends[0].fd);
		close(p->ends[1].fd);
		g_free(p);
		return;
	}
	for (i = 0; i < 2; i++) {
		p->ends[i].kind = END_TCP;
		p->ends[i].pair = p;
		p->ends[i].side = i;
		p->out[i] = g_queue_new();
		setsockopt(
		    p->ends[i].fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		epoll_add(&p->ends[i], EPOLLIN);
	}
	g_ptr_array_add(pairs, p);
}

/* Closes both connections; the pair is freed by send_all_due(). */
static void
close_pair(struct tcp_pair *p, int reset)
{
	struct linger l = { .l_onoff = 1, .l_linger = 0 };
	int i;

	if (p->closed)
		return;
	p->closed = 1;
	for (i = 0; i < 2; i++) {
		if (reset)
			setsockopt(p->ends[i].fd, SOL_SOCKET, SO_LINGER, &l,
			    sizeof(l));
		close(p->ends[i].fd);
		g_queue_free_full(p->out[i], g_free);
	}
}

/* Reads a block from one side and queues or drops it; the lock is held. */
static void
on_readable(struct end *e)
{
	struct tcp_pair *p = e->pair;
	struct block *b;
	char buf[BLOCK_BYTES];
	ssize_t n;
	int src = e->side == 0 ? p->from : p->to;
	int dst = e->side == 0 ? p->to : p->from;

	if (p->closed)
		return;
	n = recv(e->fd, buf, sizeof(buf), MSG_DONTWAIT);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		/* A silent connection does not forward a close, either. */
		if (p->silent)
			epoll_ctl(epoll_fd, EPOLL_CTL_DEL, e->fd, NULL);
		else
			close_pair(p, n < 0);
		return;
	}
	if (p->silent || fault_value(&table, RULE_CUT, src, dst)) {
		/* A stream with a gap is useless, so it stays silent. */
		p->silent = 1;
		table.dropped++;
		return;
	}
	b = g_malloc(sizeof(*b) + (size_t)n);
	b->len = p->truncate ? (size_t)n / 2 : (size_t)n;
	b->due = base_now_us() + fault_delay_us(&table, src, dst);
	memcpy(b->data, buf, b->len);
	g_queue_push_tail(p->out[1 - e->side], b);
	table.passed++;
	send_due(p, 1 - e->side, base_now_us());
	if (p->truncate)
		close_pair(p, 0);
}

/* Sends the blocks to one side whose time has come. */
static void
send_due(struct tcp_pair *p, int side, int64_t now)
{
	struct block *b;
	ssize_t n;

	while (!p->closed && (b = g_queue_peek_head(p->out[side])) != NULL &&
	       b->due <= now) {
		n = send(p->ends[side].fd, b->data, b->len,
		    MSG_DONTWAIT | MSG_NOSIGNAL);
		if (n < 0) {
			if (errno != EAGAIN && errno != ENOTCONN)
				close_pair(p, 1);
			return;
		}
		if ((size_t)n < b->len) {
			memmove(b->data, b->data + n, b->len - (size_t)n);
			b->len -= (size_t)n;
			return;
		}
		g_free(g_queue_pop_head(p->out[side]));
	}
}

/* Applies the one-shot rules to the open connections. */
static void
apply_one_shots(void)
{
	const struct fault_rule *r;
	struct tcp_pair *p;
	guint i;
	int k;

	for (k = 0; k < table.one_shot_count; k++) {
		r = &table.one_shot[k];
		for (i = 0; i < pairs->len; i++) {
			p = g_ptr_array_index(pairs, i);
			if (!fault_matches(&table, r, p->from, p->to))
				continue;
			if (r->kind == RULE_SILENT)
				p->silent = 1;
			else if (r->kind == RULE_TRUNCATE)
				p->truncate = 1;
			else
				close_pair(p, 1);
		}
	}
	table.one_shot_count = 0;
}

/*
 * Sends everything whose time has come, and frees closed pairs.  Returns
 * whether datagrams or blocks still wait for their time.
 */
static int
send_all_due(int64_t now)
{
	struct tcp_pair *p;
	struct block *b;
	guint i, n = g_queue_get_length(delayed);
	int pending = 0;

	while (n-- > 0) {
		b = g_queue_pop_head(delayed);
		if (b->due > now) {
			g_queue_push_tail(delayed, b);
			continue;
		}
		send_datagram(b);
		g_free(b);
	}
	for (i = 0; i < pairs->len; i++) {
		p = g_ptr_array_index(pairs, i);
		send_due(p, 0, now);
		send_due(p, 1, now);
		if (p->closed) {
			g_ptr_array_remove_index_fast(pairs, i--);
			g_free(p);
			continue;
		}
		pending |= p->out[0]->length > 0 || p->out[1]->length > 0;
	}
	return pending || delayed->length > 0;
}

/* Handles POST /fault of the test driver. */
static enum MHD_Result
handle_control(void *arg, struct standin_request *req)
{
	const char *kind = standin_query(req, "do");
	const char *from = standin_query(req, "from");
	const char *to = standin_query(req, "to");
	const char *value = standin_query(req, "value");
	struct fault_rule r = { .kind = RULE_HEAL };

	(void)arg;
	if (kind == NULL || fault_kind_by_name(kind) < 0)
		return standin_answer_text(req, 400, "no such fault\n");
	r.kind = (enum rule_kind)fault_kind_by_name(kind);
	g_strlcpy(r.from, from != NULL ? from : "*", FAULT_NAME_MAX);
	g_strlcpy(r.to, to != NULL ? to : "*", FAULT_NAME_MAX);
	r.value = value != NULL ? atoi(value) : 0;
	pthread_mutex_lock(&table.lock);
	fault_apply(&table, &r);
	pthread_mutex_unlock(&table.lock);
	return standin_answer_text(req, 200, "ok\n");
}

/* Applies rules and forwards traffic until the process is killed. */
static void
forward_traffic(void)
{
	struct epoll_event events[EVENTS_MAX];
	struct timespec pause = { .tv_nsec = POLL_NS };
	struct end *e;
	int64_t began = base_now_ms();
	int i, n;

	for (;;) {
		n = epoll_pwait2(epoll_fd, events, EVENTS_MAX, &pause, NULL);
		pthread_mutex_lock(&table.lock);
		fault_run_script(&table, base_now_ms() - began);
		apply_one_shots();
		for (i = 0; i < n; i++) {
			e = events[i].data.ptr;
			if (e->kind == END_UDP)
				on_datagram(e);
			else if (e->kind == END_LISTEN)
				on_accept(e);
			else
				on_readable(e);
		}
		pause.tv_nsec =
		    send_all_due(base_now_us()) ? POLL_BUSY_NS : POLL_NS;
		pthread_mutex_unlock(&table.lock);
	}
}

/* Reads the script and listens for all nodes, then forwards until killed. */
int
main(int argc, char **argv)
{
	static char *script, *control_addr;
	const GOptionEntry options[] = {
		{ "script", 's', 0, G_OPTION_ARG_FILENAME, &script,
		    "File with nodes, seed and steps", "FILE" },
		{ "control", 'c', 0, G_OPTION_ARG_STRING, &control_addr,
		    "Address for control requests", "ADDRESS:PORT" },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	GOptionContext *ctx;
	GError *error = NULL;
	struct report *rep = report_new();
	GString *problems = g_string_new(NULL);
	struct MHD_Daemon *d;
	int i;

	ctx = g_option_context_new("- proxy that injects faults");
	g_option_context_add_main_entries(ctx, options, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &error) ||
	    script == NULL || control_addr == NULL) {
		fprintf(stderr, "teaselfault: needs --script and --control\n");
		return 2;
	}
	if (fault_read_script(&table, script, rep) != 0) {
		report_print(rep, script, problems);
		fputs(problems->str, stderr);
		return 1;
	}
	signal(SIGPIPE, SIG_IGN);
	epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	pairs = g_ptr_array_new();
	delayed = g_queue_new();
	for (i = 0; i < table.nnodes; i++)
		listen_for_node(i);
	if (standin_listen(&d, control_addr, CONTROL_CONNS_MAX, handle_control,
		NULL) != STANDIN_OK) {
		fprintf(
		    stderr, "teaselfault: cannot listen on %s\n", control_addr);
		return 1;
	}
	forward_traffic();
}
