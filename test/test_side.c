/* The program teaselside: settings, signals, a log that is not read. */
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib/gstdio.h>

#include "../standin/store.h"
#include "rig.h"
#include "test.h"

#define GRACE_MS 2000  /* grace_ms of the settings */
#define CALLS	 400   /* their log lines exceed the capacity of a pipe */
#define WAIT_MS	 10000 /* at most, for a log line, a start or an exit */

/* A rig whose only node is a process of teaselside, beside the rig's target. */
struct side_fixture {
	struct rig rig;
	struct store *store;
	char store_addr[ADDRESS_MAX];
	char *path; /* of the settings */
	pid_t pid;
	int out;      /* reading end of the pipe to which it logs */
	GString *log; /* read by the last wait_log() */
};

static void
write_settings(struct side_fixture *w, const char *service, const char *extra)
{
	const struct proxy_settings *s = &w->rig.nodes[0].settings;
	char *text;

	text = g_strdup_printf(
	    "// settings\n{\"name\":\"vm0\",\"data_centre\":\"north\","
	    "\"service\":\"%s\",\"target\":\"%s\",\"callers\":\"%s\","
	    "\"links\":\"%s\",\"ready\":\"%s\",\"store\":\"%s\","
	    "\"grace_ms\":%d%s}",
	    service, s->target, s->callers, s->links, s->ready, w->store_addr,
	    GRACE_MS, extra);
	if (!g_file_set_contents(w->path, text, -1, NULL))
		g_error("cannot write the settings");
	g_free(text);
}

/* Starts teaselside from BIN, with its stdout on the pipe. */
static void
start_process(struct side_fixture *w)
{
	const char *bin = getenv("BIN");
	char *program =
	    g_strconcat(bin != NULL ? bin : "bin", "/teaselside", NULL);
	int fds[2];

	if (pipe(fds) != 0 || (w->pid = fork()) < 0)
		g_error("cannot start a process");
	if (w->pid == 0) {
		dup2(fds[1], STDOUT_FILENO);
		close(fds[0]);
		close(fds[1]);
		execl(program, program, "-c", w->path, (char *)NULL);
		_exit(127);
	}
	close(fds[1]);
	w->out = fds[0];
	g_free(program);
}

static int call(struct side_fixture *, const char *);

/* Starts the store and the process, and waits until it serves requests. */
static void
start(struct side_fixture *w)
{
	char dir[] = "/tmp/teaselside-XXXXXX";
	int64_t until;

	memset(w, 0, sizeof(*w));
	rig_start(&w->rig, 1);
	/* The process takes the place of the rig's node. */
	proxy_free(w->rig.nodes[0].proxy);
	g_snprintf(
	    w->store_addr, ADDRESS_MAX, "127.0.0.1:%d", w->rig.ports + 4);
	w->store = store_new(w->rig.base, w->store_addr, 50);
	store_put_config(w->store, 1, "svc", "/run/");
	store_put_target(w->store,
	    &(struct store_target){ w->rig.nodes[0].target.id, "svc",
		w->rig.nodes[0].target.addr, "north", "ready", 0, 1 });
	if (g_mkdtemp(dir) == NULL)
		g_error("cannot create a directory");
	w->path = g_strconcat(dir, "/settings", NULL);
	w->log = g_string_new(NULL);
	write_settings(w, "svc", "");
	start_process(w);
	until = base_now_ms() + WAIT_MS;
	while (call(w, "start") != 200 && base_now_ms() < until)
		rig_run(&w->rig, 20);
}

/* Waits for the process; its exit status, or -1 if it had to be killed. */
static int
wait_exit(struct side_fixture *w, int ms)
{
	int64_t until = base_now_ms() + ms;
	int status = 0;

	while (base_now_ms() < until) {
		if (waitpid(w->pid, &status, WNOHANG) == w->pid) {
			w->pid = 0;
			return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
		}
		rig_run(&w->rig, 10);
	}
	kill(w->pid, SIGKILL);
	waitpid(w->pid, &status, 0);
	w->pid = 0;
	return -1;
}

/* Kills the process if it still runs, and removes its settings. */
static void
stop(struct side_fixture *w)
{
	char *dir = g_path_get_dirname(w->path);

	if (w->pid > 0) {
		kill(w->pid, SIGKILL);
		waitpid(w->pid, NULL, 0);
	}
	close(w->out);
	g_string_free(w->log, TRUE);
	store_free(w->store);
	g_unlink(w->path);
	g_rmdir(dir);
	g_free(dir);
	g_free(w->path);
	/* Restarts the rig's node, as rig_stop() will free it. */
	if (proxy_start(&w->rig.nodes[0].proxy, w->rig.base,
		&w->rig.nodes[0].settings, &platform_headers,
		platform_ready_path, w->rig.nodes[0].view) != PROXY_OK)
		g_error("cannot restart the rig's node");
	rig_stop(&w->rig);
}

/* Sends a request and returns its status. */
static int
call(struct side_fixture *w, const char *id)
{
	struct rig_call c;
	int status;

	rig_call(&w->rig, &c, 0, "/run/x", id, 900);
	rig_wait(&w->rig, &c);
	status = rig_status(&c);
	rig_call_end(&c);
	return status;
}

/* Reads the log until it holds a text, for WAIT_MS at most; 1 if it does. */
static int
wait_log(struct side_fixture *w, const char *want)
{
	int64_t until = base_now_ms() + WAIT_MS;
	char buf[4096];
	ssize_t n;

	fcntl(w->out, F_SETFL, O_NONBLOCK);
	g_string_truncate(w->log, 0);
	do {
		while ((n = read(w->out, buf, sizeof(buf))) > 0)
			g_string_append_len(w->log, buf, n);
		if (strstr(w->log->str, want) != NULL)
			return 1;
		rig_run(&w->rig, 20);
	} while (base_now_ms() < until);
	return 0;
}

/*
 * The log is not read, so that its pipe is full: requests must not wait for it.
 * Once it is read again, it reports that lines were dropped.
 */
static void
blocked_log_does_not_block_requests(void)
{
	struct side_fixture w;
	int i, bad = 0;

	start(&w);
	for (i = 0; i < CALLS; i++)
		bad += call(&w, "a-log-that-nobody-reads") != 200;
	CU_ASSERT_EQUAL(bad, 0);
	CU_ASSERT(wait_log(&w, "event=started"));
	rig_run(&w.rig, 1100);
	CU_ASSERT_EQUAL(call(&w, "after"), 200);
	CU_ASSERT(wait_log(&w, "event=answered id=after"));
	CU_ASSERT_PTR_NOT_NULL(strstr(w.log->str, "event=log-dropped"));
	stop(&w);
}

/*
 * Settings are reloaded on SIGHUP, and without one when the file has changed.
 * Invalid settings change nothing.
 */
static void
settings_are_reloaded(void)
{
	struct side_fixture w;

	start(&w);
	write_settings(&w, "svc", ",\"retry_slack\":30");
	kill(w.pid, SIGHUP);
	CU_ASSERT(wait_log(&w, "event=settings-reloaded"));
	/* By then the periodic check has also logged this change. */
	rig_run(&w.rig, 1500);
	wait_log(&w, "event=settings-reloaded");
	write_settings(&w, "svc", ",\"retry_slack\":41");
	CU_ASSERT(wait_log(&w, "event=settings-reloaded"));
	write_settings(&w, "svc", ",\"retry_slak\":4");
	CU_ASSERT(wait_log(&w, "event=settings-rejected"));
	CU_ASSERT_EQUAL(call(&w, "last"), 200);
	stop(&w);
}

/* On SIGTERM, requests are served for a while, then the process exits. */
static void
sigterm_drains_and_exits(void)
{
	struct side_fixture w;

	start(&w);
	w.rig.nodes[0].target.work_ms = 300;
	kill(w.pid, SIGTERM);
	CU_ASSERT(wait_log(&w, "event=stopping"));
	/* Its target serves requests until callers know that it leaves. */
	CU_ASSERT_EQUAL(call(&w, "leaving"), 200);
	CU_ASSERT(wait_log(&w, "to=leaving reason=\"the node leaves\""));
	/* Then new requests are refused, not left unanswered. */
	CU_ASSERT_EQUAL(call(&w, "late"), 503);
	CU_ASSERT_EQUAL(wait_exit(&w, WAIT_MS), 0);
	stop(&w);
}

static const struct test tests[] = {
	{ "blocked log does not block requests",
	    blocked_log_does_not_block_requests },
	{ "settings are reloaded", settings_are_reloaded },
	{ "sigterm drains and exits", sigterm_drains_and_exits },
};

TEST_MAIN("side", tests)
