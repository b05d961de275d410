/* The platform: the store, the processes, and the record of the case. */
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <sys/wait.h>
#include <unistd.h>

#include "stand_int.h"

#define TICK_MS	   10
#define RESTART_MS 500	 /* until an ended process starts again */
#define READY_MS   10000 /* at most, until all machines are ready */

extern char **environ;

static void spawn(struct machine *);
static void watch_memory(struct machine *);
static void on_tick(evutil_socket_t, short, void *);
static void on_signal(evutil_socket_t, short, void *);
static void write_settings(struct machine *);

int
stand_now(const struct stand *s)
{
	return (int)(base_now_ms() - s->began);
}

void
stand_note(struct stand *s, const char *fmt, ...)
{
	va_list ap;

	fprintf(s->record, "%8.3f ", stand_now(s) / 1000.0);
	va_start(ap, fmt);
	vfprintf(s->record, fmt, ap);
	va_end(ap);
	fputc('\n', s->record);
	fflush(s->record);
}

/* What deploy/side.json.in makes of the settings of a small deployment. */
static void
write_settings(struct machine *m)
{
	const struct stand *s = m->stand;
	GString *seeds = g_string_new(NULL);
	char *text;
	int i;

	for (i = 0; i < s->nseeds; i++)
		g_string_append_printf(seeds, "%s\"127.%d.9.%d:8303\"",
		    i > 0 ? ", " : "", s->net, i + 1);
	text = g_strdup_printf(
	    "{\"name\": \"vm%d\", \"data_centre\": \"%s\", "
	    "\"service\": \"%s\", \"target\": \"%s:6000\", "
	    "\"callers\": \"%s:8080\", \"links\": \"%s:7000\", "
	    "\"ready\": \"%s:8081\", \"metrics\": \"%s:9400\", "
	    "\"store\": \"127.%d.1.1:7000\", \"peers\": [%s], "
	    "\"beat_ms\": %d, \"memory_mb\": 260, \"link_mbps\": 1000.0, "
	    "\"grace_ms\": 6000, \"cold_ratio\": 1.5, \"cold_slack\": 5, "
	    "\"retry_window_ms\": 10000, \"retry_ratio\": 0.2, "
	    "\"retry_slack\": 60, \"log\": \"info\"}\n",
	    m->i, m->zone, m->service, m->host, m->host, m->host, m->host,
	    m->host, s->net, seeds->str, HEARTBEAT_MS);
	if (!g_file_set_contents(m->config, text, -1, NULL)) {
		fprintf(stderr, "cannot write %s\n", m->config);
		exit(CASE_NOT_RUN);
	}
	g_free(text);
	g_string_free(seeds, TRUE);
}

void
stand_set_seeds(struct stand *s, int n)
{
	int i;

	s->nseeds = n;
	for (i = 0; i < s->nmachines; i++)
		write_settings(&s->machines[i]);
	stand_note(s, "settings: %d seeds", n);
}

static void
spawn(struct machine *m)
{
	char *argv[] = { (char *)m->stand->program, "-c", m->config, NULL };
	posix_spawn_file_actions_t files;

	posix_spawn_file_actions_init(&files);
	posix_spawn_file_actions_addopen(
	    &files, 1, m->log, O_WRONLY | O_CREAT | O_APPEND, 0644);
	posix_spawn_file_actions_adddup2(&files, 1, 2);
	posix_spawn_file_actions_addclosefrom_np(&files, 3);
	if (posix_spawn(
		&m->pid, m->stand->program, &files, NULL, argv, environ) != 0) {
		fprintf(stderr, "cannot start %s\n", m->stand->program);
		exit(CASE_NOT_RUN);
	}
	posix_spawn_file_actions_destroy(&files);
}

/* A process that exceeds MemoryMb is killed. */
static void
watch_memory(struct machine *m)
{
	char path[64];
	long pages = 0, rss = 0;
	size_t bytes;
	FILE *f;

	g_snprintf(path, sizeof(path), "/proc/%d/statm", (int)m->pid);
	if ((f = fopen(path, "r")) == NULL)
		return;
	if (fscanf(f, "%ld %ld", &pages, &rss) != 2)
		rss = 0;
	fclose(f);
	bytes = (size_t)rss * (size_t)sysconf(_SC_PAGESIZE);
	if (bytes <= (size_t)m->stand->memory_mb * 1024 * 1024)
		return;
	m->kills++;
	stand_note(m->stand,
	    "machine %d: the process takes %zu MB of %d and is killed", m->i,
	    bytes / (1024 * 1024), m->stand->memory_mb);
	kill(m->pid, SIGKILL);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct stand *s = arg;
	struct machine *m;
	int i, status;

	(void)fd;
	(void)what;
	for (i = 0; i < s->nmachines; i++) {
		m = &s->machines[i];
		if (m->pid > 0 && waitpid(m->pid, &status, WNOHANG) == m->pid) {
			stand_note(s, "machine %d: the process ended by %s %d",
			    i, WIFSIGNALED(status) ? "signal" : "status",
			    WIFSIGNALED(status) ? WTERMSIG(status)
						: WEXITSTATUS(status));
			m->pid = 0;
			m->crashes +=
			    WIFSIGNALED(status) && WTERMSIG(status) != SIGKILL;
			m->start_at = base_now_ms() + RESTART_MS;
		}
		if (m->pid == 0 && base_now_ms() >= m->start_at)
			spawn(m);
		if (m->pid > 0 && s->memory_mb > 0)
			watch_memory(m);
	}
}

/* The case is stopped: no process stays behind. */
static void
on_signal(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	stand_stop(arg);
	exit(CASE_NOT_RUN);
}

void
stand_run(struct stand *s, int ms)
{
	struct timeval tv = { ms / 1000, ms % 1000 * 1000 };

	event_base_loopexit(s->base, &tv);
	event_base_dispatch(s->base);
}

int64_t
stand_put_config(struct stand *s, const char *config)
{
	store_put(s->store, "op/config", config);
	return base_now_ms();
}

void
stand_config_head(GString *out, int version, const char *const *services)
{
	int i;

	g_string_append_printf(out, "{\"Version\":%d,\"Services\":[", version);
	for (i = 0; services[i] != NULL; i++)
		g_string_append_printf(out,
		    "%s{\"Name\":\"%s\",\"HealthCheckPath\":\"/health\","
		    "\"MaxConnections\":120,\"WarmupS\":3.0,"
		    "\"WarmupPerS\":11.0}",
		    i > 0 ? "," : "", services[i]);
	g_string_append(out,
	    "],\"Limits\":{\"MaxHeaderBytes\":16384,"
	    "\"MaxBodyBytes\":67108864,\"HeaderTimeoutMs\":3000,"
	    "\"IdleTimeoutMs\":15000},");
}

/* Whether a machine answers its status check with 200. */
static void
on_ready(void *arg, int err, const struct http_message *m)
{
	*(int *)arg = err == HTTP_OK && m->status == 200;
}

static int
is_ready(struct machine *m)
{
	char addr[ADDRESS_MAX];
	struct http_client *c;
	int ready = 0;

	g_snprintf(addr, sizeof(addr), "%s:8081", m->host);
	c = http_client_new(m->stand->base, addr);
	http_client_get(c, "/ready", 500, on_ready, &ready);
	stand_run(m->stand, 60);
	http_client_free(c);
	return ready;
}

static int
all_ready(struct stand *s)
{
	int i;

	for (i = 0; i < s->nmachines; i++)
		if (!is_ready(&s->machines[i]))
			return 0;
	return 1;
}

/* Arguments: program, folder for settings and logs, record, net. */
void
stand_start(struct stand *s, int argc, char **argv, int n,
    const char *const *services, const char *config,
    const struct stand_calls *calls)
{
	static const char *const zones[STAND_ZONES] = { "toledo", "erie",
		"sandusky" };
	struct timeval tick = { 0, TICK_MS * 1000 };
	const char *trouble = getenv("TROUBLE");
	char addr[ADDRESS_MAX];
	struct machine *m;
	int i, k = 0;

	memset(s, 0, sizeof(*s));
	if (argc != 5 || (s->record = fopen(argv[3], "w")) == NULL) {
		fprintf(stderr, "usage: %s PROGRAM DIR RECORD NET\n", argv[0]);
		exit(CASE_NOT_RUN);
	}
	signal(SIGPIPE, SIG_IGN);
	base_log_init("stand");
	base_log_level("error");
	s->program = argv[1];
	s->dir = argv[2];
	s->net = atoi(argv[4]);
	s->trouble = trouble == NULL || strcmp(trouble, "0") != 0;
	s->began = base_now_ms();
	s->base = event_base_new();
	s->nmachines = n;
	s->calls = *calls;
	g_snprintf(addr, sizeof(addr), "127.%d.1.1:7000", s->net);
	if ((s->store = store_new(s->base, addr, 500)) == NULL) {
		fprintf(stderr, "cannot listen on %s\n", addr);
		exit(CASE_NOT_RUN);
	}
	stand_put_config(s, config);
	for (i = 0; i < n; i++) {
		m = &s->machines[i];
		m->stand = s;
		m->i = i;
		m->service = services[k++];
		if (services[k] == NULL)
			k = 0;
		g_snprintf(
		    m->host, sizeof(m->host), "127.%d.2.%d", s->net, i + 1);
		g_strlcpy(m->zone, zones[i % STAND_ZONES], sizeof(m->zone));
		g_snprintf(
		    m->config, sizeof(m->config), "%s/m%d.json", s->dir, i);
		g_snprintf(m->log, sizeof(m->log), "%s/m%d.log", s->dir, i);
		m->server = server_new(m);
		write_settings(m);
	}
	s->tick = event_new(s->base, -1, EV_PERSIST, on_tick, s);
	event_add(s->tick, &tick);
	event_add(evsignal_new(s->base, SIGTERM, on_signal, s), NULL);
	event_add(evsignal_new(s->base, SIGINT, on_signal, s), NULL);
	if (s->calls.no_wait)
		return;
	while (!all_ready(s))
		if (stand_now(s) > READY_MS) {
			fprintf(stderr, "the machines are not ready\n");
			stand_stop(s);
			exit(CASE_NOT_RUN);
		}
	stand_note(s, "all %d machines are ready", n);
	/* A machine is in touch ContactMs after its start. */
	stand_run(s, CONTACT_MS);
}

void
stand_stop(struct stand *s)
{
	int i;

	event_del(s->tick);
	for (i = 0; i < s->nmachines; i++)
		if (s->machines[i].pid > 0) {
			kill(s->machines[i].pid, SIGKILL);
			waitpid(s->machines[i].pid, NULL, 0);
		}
	stand_note(s,
	    "attempts: %d sent, %d answered, %d of them served, %d closed",
	    s->sent, s->answered, s->served, s->closed);
}
