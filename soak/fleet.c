/* The processes: started, frozen, stopped, killed and started again. */
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "soak.h"

#define GRACE_MS   6000 /* as the settings say */
#define RESTART_MS 300

extern char **environ;

static void node_spawn(struct soak *, struct soak_node *);
static void reap(struct soak *, struct soak_node *, int64_t);

/* Settings as the platform would fill them in; renamed into place. */
void
node_write_settings(struct soak *s, struct soak_node *n)
{
	char *text, *seeds, *fresh = g_strdup_printf("%s.new", n->config);
	int links = 7000, i = n->i;
	GError *error = NULL;

	seeds = g_strdup_printf("\"%s:%d\", \"%s:%d\", \"%s:%d\"",
	    s->nodes[0].host, links, s->nodes[s->nnodes / 2].host, links,
	    s->nodes[s->nnodes - 1].host, links);
	text = g_strdup_printf(
	    "// settings of node %d\n{\"name\": \"vm%d\", "
	    "\"data_centre\": \"%s\", \"service\": \"%s\",\n"
	    "\"target\": \"%s:6000\", \"callers\": \"%s:8080\",\n"
	    "\"links\": \"127.%d.3.%d:%d\", \"ready\": \"%s:8081\",\n"
	    "\"metrics\": \"%s:9400\", \"store\": \"127.%d.1.%d:7000\",\n"
	    "\"peers\": [%s], \"grace_ms\": %d}\n",
	    i, i, n->dc,
	    soak_services[n->back != NULL ? back_service(n->back) : i % 2],
	    n->host, n->host, s->net, i + 1, links, n->host, n->host, s->net,
	    i + 1, seeds, GRACE_MS);
	if (!g_file_set_contents(fresh, text, -1, &error) ||
	    rename(fresh, n->config) != 0)
		g_error("soak: cannot write %s", n->config);
	g_free(seeds);
	g_free(text);
	g_free(fresh);
}

/* Starts a process; its log is appended to. */
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
	n->kill = n->thaw = 0;
}

void
node_signal(struct soak *s, struct soak_node *n, int sig)
{
	(void)s;
	if (n->pid > 0)
		kill(n->pid, sig);
}

void
node_kill(struct soak *s, struct soak_node *n, int ms)
{
	if (n->pid == 0)
		return;
	n->start = base_now_ms() + ms;
	n->stopping = 1;
	n->ended = base_now_ms();
	node_signal(s, n, SIGKILL);
}

void
node_term(struct soak *s, struct soak_node *n)
{
	if (n->pid == 0 || n->stopping)
		return;
	n->stopping = 1;
	n->kill = base_now_ms() + GRACE_MS;
	n->start = n->kill;
	node_signal(s, n, SIGTERM);
}

void
node_freeze(struct soak *s, struct soak_node *n, int ms)
{
	if (n->pid == 0)
		return;
	n->thaw = base_now_ms() + ms;
	node_signal(s, n, SIGSTOP);
}

int
node_disturbed(const struct soak_node *n, int64_t since)
{
	return n->pid == 0 || n->ended >= since;
}

/* Notices that a process has ended; by itself is a fault. */
static void
reap(struct soak *s, struct soak_node *n, int64_t now)
{
	int status;

	if (n->pid == 0 || waitpid(n->pid, &status, WNOHANG) != n->pid)
		return;
	/* It may be told to stop before it has begun to listen for that. */
	if (!n->stopping ||
	    (WIFSIGNALED(status) && WTERMSIG(status) != SIGKILL &&
		WTERMSIG(status) != SIGTERM) ||
	    (WIFEXITED(status) && WEXITSTATUS(status) != 0))
		judge_broken(s, "FAULT", "node %d ended with %s %d", n->i,
		    WIFSIGNALED(status) ? "signal" : "status",
		    WIFSIGNALED(status) ? WTERMSIG(status)
					: WEXITSTATUS(status));
	n->pid = 0;
	n->kill = 0;
	if (!n->stopping || (WIFSIGNALED(status)))
		n->ended = now;
	n->start = MIN(n->start, now + RESTART_MS);
	if (n->start < now)
		n->start = now + RESTART_MS;
}

/* Does what is due. */
void
fleet_tick(struct soak *s, int64_t now)
{
	struct soak_node *n;
	int i;

	for (i = 0; i < s->nnodes; i++) {
		n = &s->nodes[i];
		reap(s, n, now);
		if (n->pid == 0 && now >= n->start)
			node_spawn(s, n);
		if (n->kill != 0 && now >= n->kill) {
			n->kill = 0;
			n->ended = now;
			node_signal(s, n, SIGKILL);
		}
		if (n->thaw != 0 && now >= n->thaw) {
			n->thaw = 0;
			node_signal(s, n, SIGCONT);
		}
		if (n->heal_pipe != 0 && now >= n->heal_pipe) {
			n->heal_pipe = 0;
			pipe_set(n->pipe, PIPE_PASS);
		}
		if (n->heal_store != 0 && now >= n->heal_store) {
			n->heal_store = 0;
			store_set_door_fault(s->store, n->door, STORE_WELL);
		}
	}
}

/* Starts the store, the targets, the proxies and the processes. */
int
fleet_start(struct soak *s)
{
	static const char *const dcs[] = { "north", "south", "east" };
	struct soak_node *n;
	char addr[ADDRESS_MAX], on[ADDRESS_MAX];
	int i;

	for (i = 0; i < s->nnodes; i++) {
		n = &s->nodes[i];
		n->i = i;
		g_snprintf(
		    n->host, sizeof(n->host), "127.%d.2.%d", s->net, i + 1);
		g_strlcpy(n->dc, dcs[i % G_N_ELEMENTS(dcs)], sizeof(n->dc));
		g_snprintf(
		    n->config, sizeof(n->config), "%s/node%d.json", s->dir, i);
		g_snprintf(n->log, sizeof(n->log), "%s/node%d.log", s->dir, i);
		g_snprintf(
		    addr, sizeof(addr), "127.%d.1.%d:7000", s->net, i + 1);
		if (i == 0)
			s->store = store_new(s->base, addr, 100);
		n->door = i == 0 ? 0 : store_door(s->store, addr);
		if (s->store == NULL || n->door < 0)
			return -1;
	}
	for (i = 0; i < s->nnodes; i++) {
		n = &s->nodes[i];
		n->back = back_new(s, i, (i % 3 + i / 3) % SERVICES);
		g_snprintf(addr, sizeof(addr), "%s:7000", n->host);
		g_snprintf(on, sizeof(on), "127.%d.3.%d:7000", s->net, i + 1);
		n->pipe = pipe_new(s, addr, on);
		node_write_settings(s, n);
	}
	return 0;
}

/* Ends every process that was started here, by its id. */
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
		if (n->pipe != NULL)
			pipe_free(n->pipe);
		if (n->back != NULL)
			back_free(n->back);
	}
	if (s->store != NULL)
		store_free(s->store);
}
