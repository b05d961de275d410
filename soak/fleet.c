/* The processes under test: start, freeze, stop, kill and restart. */
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "soak.h"

#define GRACE_MS   6000 /* grace_ms of the settings */
#define RESTART_MS 300

extern char **environ;

static void node_spawn(struct soak *, struct soak_node *);
static void reap_node(struct soak *, struct soak_node *, int64_t);

/* Writes settings as the platform does: to a new file, renamed into place. */
void
node_write_settings(struct soak *s, struct soak_node *n)
{
	char *text, *seeds, *tmp_path = g_strdup_printf("%s.new", n->config);
	int link_port = 7000, i = n->i;
	GError *error = NULL;

	seeds = g_strdup_printf("\"%s:%d\", \"%s:%d\", \"%s:%d\"",
	    s->nodes[0].host, link_port, s->nodes[s->nnodes / 2].host,
	    link_port, s->nodes[s->nnodes - 1].host, link_port);
	text = g_strdup_printf(
	    "// settings of node %d\n{\"name\": \"vm%d\", "
	    "\"data_centre\": \"%s\", \"service\": \"%s\",\n"
	    "\"target\": \"%s:6000\", \"callers\": \"%s:8080\",\n"
	    "\"links\": \"127.%d.3.%d:%d\", \"ready\": \"%s:8081\",\n"
	    "\"metrics\": \"%s:9400\", \"store\": \"127.%d.1.%d:7000\",\n"
	    "\"peers\": [%s], \"grace_ms\": %d}\n",
	    i, i, n->dc,
	    soak_services[n->target != NULL ? soak_target_service(n->target)
					    : i % 2],
	    n->host, n->host, s->net, i + 1, link_port, n->host, n->host,
	    s->net, i + 1, seeds, GRACE_MS);
	if (!g_file_set_contents(tmp_path, text, -1, &error) ||
	    rename(tmp_path, n->config) != 0)
		g_error("soak: cannot write %s", n->config);
	g_free(seeds);
	g_free(text);
	g_free(tmp_path);
}

/* Starts a process that appends to the node's log. */
static void
node_spawn(struct soak *s, struct soak_node *n)
{
	char *argv[] = { (char *)s->program, "-c", n->config, NULL };
	posix_spawn_file_actions_t files;
	int err;

	posix_spawn_file_actions_init(&files);
	posix_spawn_file_actions_addopen(
	    &files, 1, n->log, O_WRONLY | O_CREAT | O_APPEND, 0644);
	posix_spawn_file_actions_adddup2(&files, 1, 2);
	posix_spawn_file_actions_addclosefrom_np(&files, 3);
	err = posix_spawn(&n->pid, s->program, &files, NULL, argv, environ);
	posix_spawn_file_actions_destroy(&files);
	if (err != 0)
		g_error(
		    "soak: cannot start %s: %s", s->program, g_strerror(err));
	n->stopping = 0;
	n->kill_at = n->resume_at = 0;
	n->starts++;
	n->calm_at = base_now_ms();
}

/* Does nothing if the process is down. */
void
node_signal(struct soak *s, struct soak_node *n, int sig)
{
	(void)s;
	if (n->pid > 0)
		kill(n->pid, sig);
}

/* Records the time, since requests in flight at this node are lost. */
void
node_kill(struct soak *s, struct soak_node *n, int ms)
{
	if (n->pid == 0)
		return;
	n->start_at = base_now_ms() + ms;
	n->stopping = 1;
	n->disturbed_at = base_now_ms();
	node_signal(s, n, SIGKILL);
}

/* The restart comes soon after the process has ended; see reap_node. */
void
node_term(struct soak *s, struct soak_node *n)
{
	if (n->pid == 0 || n->stopping)
		return;
	n->stopping = 1;
	n->kill_at = base_now_ms() + GRACE_MS;
	n->start_at = n->kill_at;
	node_signal(s, n, SIGTERM);
}

/*
 * Does not count as a disturbance: a resumed process must answer what it ran.
 */
void
node_freeze(struct soak *s, struct soak_node *n, int ms)
{
	if (n->pid == 0)
		return;
	n->resume_at = base_now_ms() + ms;
	node_signal(s, n, SIGSTOP);
}

/* Used by checks that excuse a process that was killed or exited. */
int
node_disturbed_since(const struct soak_node *n, int64_t since)
{
	return n->pid == 0 || n->disturbed_at >= since;
}

/* A process that stops, is down or is stopped by a signal is disturbed. */
int64_t
node_calm_at(const struct soak_node *n, int64_t now)
{
	if (n->pid == 0 || n->stopping || n->resume_at != 0 ||
	    n->heal_links_at != 0 || n->heal_store_at != 0)
		return now;
	return n->calm_at;
}

/* A fault of any node's address counts. */
int64_t
node_store_calm_at(const struct soak *s, int64_t now)
{
	int i;

	for (i = 0; i < s->nnodes; i++)
		if (s->nodes[i].heal_store_at != 0)
			return now;
	return s->store_calm_at;
}

/*
 * Schedules the restart of a process that has exited.  An exit that was not
 * requested, a fatal signal and a status other than 0 are reported.
 */
static void
reap_node(struct soak *s, struct soak_node *n, int64_t now)
{
	int status;

	if (n->pid == 0 || waitpid(n->pid, &status, WNOHANG) != n->pid)
		return;
	/* A SIGTERM before the process handles that signal kills it. */
	if (!n->stopping ||
	    (WIFSIGNALED(status) && WTERMSIG(status) != SIGKILL &&
		WTERMSIG(status) != SIGTERM) ||
	    (WIFEXITED(status) && WEXITSTATUS(status) != 0))
		checker_violation(s, "FAULT", "node %d ended with %s %d", n->i,
		    WIFSIGNALED(status) ? "signal" : "status",
		    WIFSIGNALED(status) ? WTERMSIG(status)
					: WEXITSTATUS(status));
	n->pid = 0;
	n->kill_at = 0;
	if (!n->stopping || (WIFSIGNALED(status)))
		n->disturbed_at = now;
	n->start_at = MIN(n->start_at, now + RESTART_MS);
	if (n->start_at < now)
		n->start_at = now + RESTART_MS;
}

/* Called every TICK_MS by the loop of teaselsoak.c. */
void
fleet_tick(struct soak *s, int64_t now)
{
	struct soak_node *n;
	int i;

	for (i = 0; i < s->nnodes; i++) {
		n = &s->nodes[i];
		reap_node(s, n, now);
		if (n->pid == 0 && now >= n->start_at)
			node_spawn(s, n);
		if (n->kill_at != 0 && now >= n->kill_at) {
			n->kill_at = 0;
			n->disturbed_at = now;
			node_signal(s, n, SIGKILL);
		}
		if (n->resume_at != 0 && now >= n->resume_at) {
			n->resume_at = 0;
			n->calm_at = now;
			node_signal(s, n, SIGCONT);
		}
		if (n->heal_links_at != 0 && now >= n->heal_links_at) {
			n->heal_links_at = 0;
			n->calm_at = now;
			link_proxy_set_fault(n->link_proxy, LINK_PASS);
		}
		if (n->heal_store_at != 0 && now >= n->heal_store_at) {
			n->heal_store_at = 0;
			n->calm_at = s->store_calm_at = now;
			store_set_address_fault(
			    s->store, n->store_address, STORE_NO_FAULT);
		}
	}
}

/* The store is created first, as targets report to it when they start. */
int
fleet_start(struct soak *s)
{
	struct soak_node *n;
	char addr[ADDRESS_MAX], link_addr[ADDRESS_MAX];
	int i;

	for (i = 0; i < s->nnodes; i++) {
		n = &s->nodes[i];
		n->i = i;
		g_snprintf(
		    n->host, sizeof(n->host), "127.%d.2.%d", s->net, i + 1);
		g_strlcpy(n->dc, soak_dcs[i % SOAK_DCS], sizeof(n->dc));
		g_snprintf(
		    n->config, sizeof(n->config), "%s/node%d.json", s->dir, i);
		g_snprintf(n->log, sizeof(n->log), "%s/node%d.log", s->dir, i);
		g_snprintf(
		    addr, sizeof(addr), "127.%d.1.%d:7000", s->net, i + 1);
		if (i == 0)
			s->store = store_new(s->base, addr, 100);
		n->store_address =
		    i == 0 ? 0 : store_add_address(s->store, addr);
		if (s->store == NULL || n->store_address < 0)
			return -1;
	}
	for (i = 0; i < s->nnodes; i++) {
		n = &s->nodes[i];
		n->target = soak_target_new(s, i, (i % 3 + i / 3) % SERVICES);
		g_snprintf(addr, sizeof(addr), "%s:7000", n->host);
		g_snprintf(link_addr, sizeof(link_addr), "127.%d.3.%d:7000",
		    s->net, i + 1);
		n->link_proxy = link_proxy_new(s, addr, link_addr);
		node_write_settings(s, n);
	}
	return 0;
}

/* Kills the processes that were started here, by their ids. */
void
fleet_stop(struct soak *s)
{
	struct soak_node *n;
	int i;

	for (i = 0; i < s->nnodes; i++) {
		n = &s->nodes[i];
		if (n->pid > 0) {
			kill(n->pid, SIGKILL);
			waitpid(n->pid, NULL, 0);
		}
		if (n->link_proxy != NULL)
			link_proxy_free(n->link_proxy);
		if (n->target != NULL)
			soak_target_free(n->target);
	}
	if (s->store != NULL)
		store_free(s->store);
}
