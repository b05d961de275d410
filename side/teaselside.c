/* teaselside: the node that runs beside a target on the users' platform. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "side.h"

#define EXIT_USAGE 2
/* 400 requests a second with three lines of 200 bytes each, doubled. */
#define LOG_BYTES_PER_S 480000
#define FILE_CHECK_MS	1000 /* between two checks of the settings file */
/* The platform probes every second: this spans two failed readiness probes. */
#define DRAIN_MS       2600
#define DRAIN_CHECK_MS 100 /* between two checks whether it can exit */

struct side {
	struct event_base *base;
	const char *path;
	struct side_settings settings;
	struct file_stamp settings_mark; /* of the file last read */
	struct view *view;
	struct proxy *proxy;
	struct follow *follow;
	struct http_server *metrics;
	struct http_limits metrics_limits;
	struct event *file_timer, *drain_timer;
	int64_t draining_since; /* ms; when a signal to stop came, or 0 */
};

static int read_settings(const char *, struct side_settings *);
static void reload(struct side *);
static void on_file_check(evutil_socket_t, short, void *);
static void on_hangup(evutil_socket_t, short, void *);
static void on_stop(evutil_socket_t, short, void *);
static void on_drain(evutil_socket_t, short, void *);
static void on_metrics(void *, struct http_exchange *, struct http_message *);
static void on_metrics_gone(void *, struct http_exchange *);
static int run(struct side *);

/* Reads the settings; prints problems with file and line to stderr. */
static int
read_settings(const char *path, struct side_settings *s)
{
	struct report *rep = report_new();
	GString *text = g_string_new(NULL);
	int err = side_settings_read(path, s, rep);

	report_print(rep, path, text);
	fputs(text->str, stderr);
	g_string_free(text, TRUE);
	report_free(rep);
	return err;
}

/*
 * Reloads the settings.  Listening addresses change only at the next start.  If
 * the file is invalid, the settings in force stay.
 */
static void
reload(struct side *s)
{
	struct side_settings new, old = s->settings;

	if (read_settings(s->path, &new) != SIDE_OK) {
		base_log(G_LOG_LEVEL_WARNING, "settings-rejected", "file=%s",
		    s->path);
		return;
	}
	s->settings = new;
	base_log(G_LOG_LEVEL_MESSAGE, "settings-reloaded",
	    "file=%s store=%s target=%s service=%s", s->path, new.store,
	    new.proxy.target, new.proxy.service);
	follow_settings_changed(s->follow);
	proxy_settings_changed(s->proxy);
	side_settings_free(&old);
}

/* Reloads the settings if the file has changed, without a signal. */
static void
on_file_check(evutil_socket_t fd, short what, void *arg)
{
	struct side *s = arg;

	(void)fd;
	(void)what;
	if (file_changed(s->path, &s->settings_mark))
		reload(s);
}

/* SIGHUP: reloads the settings. */
static void
on_hangup(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	reload(arg);
}

/* SIGTERM or SIGINT: stops being ready and unsubscribes all subscribers. */
static void
on_stop(evutil_socket_t fd, short what, void *arg)
{
	struct side *s = arg;
	struct timeval tv = { 0, DRAIN_CHECK_MS * 1000L };

	(void)what;
	if (s->draining_since != 0)
		return;
	base_log(G_LOG_LEVEL_MESSAGE, "stopping", "signal=%d", (int)fd);
	s->draining_since = base_now_ms();
	proxy_drain(s->proxy);
	follow_drain(s->follow);
	evtimer_add(s->drain_timer, &tv);
}

/*
 * Exits once the platform has seen that the node is not ready and no request is
 * in flight, or shortly before the grace period ends.
 */
static void
on_drain(evutil_socket_t fd, short what, void *arg)
{
	struct side *s = arg;
	int64_t draining_ms = base_now_ms() - s->draining_since;

	(void)fd;
	(void)what;
	if ((draining_ms >= DRAIN_MS && proxy_idle(s->proxy) &&
		proxy_close_callers(s->proxy)) ||
	    draining_ms >= proxy_exit_ms(s->settings.proxy.grace_ms))
		event_base_loopbreak(s->base);
}

/* Answers /where?, and any other request with the metrics. */
static void
on_metrics(void *arg, struct http_exchange *c, struct http_message *m)
{
	struct side *s = arg;
	GString *text = g_string_new(NULL);
	int status = side_where(s->proxy, m->path, text);

	if (status == 0)
		proxy_print_metrics(s->proxy, text);
	http_reply_text(c, status != 0 ? status : 200,
	    status != 0 ? "text/plain" : "text/plain; version=0.0.4",
	    text->str);
	g_string_free(text, TRUE);
	http_message_free(m);
}

/* Required by the server; a request for metrics leaves nothing to release. */
static void
on_metrics_gone(void *arg, struct http_exchange *c)
{
	(void)arg;
	(void)c;
}

/* Runs the event loop until a signal stops it; returns the exit status. */
static int
run(struct side *s)
{
	struct http_server_calls metrics = {
		.arg = s, .request = on_metrics, .gone = on_metrics_gone
	};
	struct timeval file_timer = { FILE_CHECK_MS / BASE_MS_PER_S, 0 };
	struct event *hup, *term, *intr;
	int err;

	s->base = event_base_new();
	s->view = view_new();
	err = proxy_start(&s->proxy, s->base, &s->settings.proxy,
	    &platform_headers, platform_ready_path, s->view);
	if (err != PROXY_OK) {
		fprintf(stderr, "teaselside: cannot listen on a given "
				"address\n");
		return EXIT_FAILURE;
	}
	s->metrics_limits = (struct http_limits){ 8192, 0, 5000, 5000, 0 };
	if (s->settings.metrics != NULL)
		s->metrics = http_server_new(
		    s->base, s->settings.metrics, &s->metrics_limits, &metrics);
	s->follow = follow_start(s->base, &s->settings, s->view, s->proxy);
	hup = evsignal_new(s->base, SIGHUP, on_hangup, s);
	term = evsignal_new(s->base, SIGTERM, on_stop, s);
	intr = evsignal_new(s->base, SIGINT, on_stop, s);
	s->file_timer = event_new(s->base, -1, EV_PERSIST, on_file_check, s);
	s->drain_timer = event_new(s->base, -1, EV_PERSIST, on_drain, s);
	event_add(hup, NULL);
	event_add(term, NULL);
	event_add(intr, NULL);
	event_add(s->file_timer, &file_timer);
	base_log(G_LOG_LEVEL_MESSAGE, "started",
	    "name=%s data_centre=%s service=%s target=%s store=%s peers=%u",
	    s->settings.proxy.name, s->settings.proxy.data_centre,
	    s->settings.proxy.service, s->settings.proxy.target,
	    s->settings.store,
	    s->settings.peers != NULL ? g_strv_length(s->settings.peers) : 0);
	event_base_dispatch(s->base);
	proxy_log_pending(s->proxy, base_now_ms() - s->draining_since);
	follow_stop(s->follow);
	http_server_free(s->metrics);
	proxy_free(s->proxy);
	event_free(hup);
	event_free(term);
	event_free(intr);
	event_free(s->file_timer);
	event_free(s->drain_timer);
	view_free(s->view);
	event_base_free(s->base);
	side_settings_free(&s->settings);
	base_log(G_LOG_LEVEL_MESSAGE, "stopped", "-");
	return EXIT_SUCCESS;
}

/* Reads options and settings, then runs. */
int
main(int argc, char **argv)
{
	static char *config;
	static const GOptionEntry options[] = {
		{ "config", 'c', 0, G_OPTION_ARG_FILENAME, &config,
		    "Settings of this node", "FILE" },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	struct side s = { 0 };
	GOptionContext *ctx;
	GError *error = NULL;
	int ok;

	signal(SIGPIPE, SIG_IGN);
	/* Ignored until the event loop runs; the file check finds changes. */
	signal(SIGHUP, SIG_IGN);
	ctx = g_option_context_new("- the process beside a target");
	g_option_context_add_main_entries(ctx, options, NULL);
	ok = g_option_context_parse(ctx, &argc, &argv, &error);
	g_option_context_free(ctx);
	s.path = config != NULL ? config : getenv("TEASELSTEP_CONFIG");
	if (!ok || s.path == NULL || argc > 1) {
		fprintf(stderr, "teaselside: %s\n",
		    error != NULL ? error->message
				  : "needs -c FILE or TEASELSTEP_CONFIG");
		return EXIT_USAGE;
	}
	base_log_bounded("teaselside", LOG_BYTES_PER_S);
	file_changed(s.path, &s.settings_mark);
	if (read_settings(s.path, &s.settings) != SIDE_OK)
		return EXIT_FAILURE;
	return run(&s);
}
