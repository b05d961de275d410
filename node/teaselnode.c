/* teaselnode: the process of the mesh that runs beside a target. */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include <neon/ne_socket.h>
#include <sodium.h>

#include "node.h"

#define EXIT_USAGE 2
#define POLL_S	   1 /* interval of checks of the settings file */

/* Arguments of the command line. */
static char *config, *level;
static struct file_stamp settings_stamp; /* of the settings file as last read */

static int read_settings(struct settings *);
static int start(struct node **);
static void reload(struct node *);
static void wait_for_stop(struct node *, const sigset_t *);

/* Reads the settings; prints problems to stderr with file, line and key. */
static int
read_settings(struct settings *s)
{
	struct report *rep = report_new();
	GString *text = g_string_new(NULL);
	int err = settings_read(config, s, rep);

	report_print(rep, config, text);
	fputs(text->str, stderr);
	g_string_free(text, TRUE);
	report_free(rep);
	if (err == NODE_OK && level != NULL &&
	    base_log_level(level) != BASE_OK) {
		fprintf(
		    stderr, "teaselnode: unknown log level \"%s\"\n", level);
		settings_free(s);
		err = NODE_ESETTINGS;
	}
	return err;
}

/*
 * Reads the settings and the keys and starts the node.  Returns 0, or 1 after
 * it has printed an error.
 */
static int
start(struct node **out)
{
	struct fleet_keys keys;
	struct settings s;
	int err;

	file_changed(config, &settings_stamp);
	if (read_settings(&s) != NODE_OK)
		return 1;
	base_log(G_LOG_LEVEL_DEBUG, "starting",
	    "name=%s data_centre=%s listen=%s", s.name, s.data_centre,
	    s.listen);
	if ((err = node_keys_read(s.key_file, &keys)) == NODE_OK)
		err = node_start(out, &s, &keys);
	else
		settings_free(&s);
	sodium_memzero(&keys, sizeof(keys));
	if (err == NODE_OK)
		return 0;
	fprintf(stderr, "teaselnode: %s\n", base_strerror(err));
	return 1;
}

/* Reloads the settings; invalid ones are logged and change nothing. */
static void
reload(struct node *n)
{
	struct settings s;

	if (read_settings(&s) == NODE_OK)
		node_reload(n, &s);
	else
		base_log(G_LOG_LEVEL_WARNING, "settings-rejected", "file=%s",
		    config);
}

/*
 * Waits for a signal to stop.  Meanwhile reloads the settings on SIGHUP and
 * when their file changes.
 */
static void
wait_for_stop(struct node *n, const sigset_t *set)
{
	const struct timespec poll_interval = { POLL_S, 0 };
	int sig, changed;

	for (;;) {
		sig = sigtimedwait(set, NULL, &poll_interval);
		changed = file_changed(config, &settings_stamp);
		if (sig == SIGHUP || changed)
			reload(n);
		else if (sig > 0)
			break;
	}
	base_log(G_LOG_LEVEL_MESSAGE, "signal", "number=%d", sig);
}

/* Exits with 2 on a usage error, and with 1 if the node cannot start. */
int
main(int argc, char **argv)
{
	static const GOptionEntry options[] = {
		{ "config", 'c', 0, G_OPTION_ARG_FILENAME, &config,
		    "Settings of this node", "FILE" },
		{ "log", 'l', 0, G_OPTION_ARG_STRING, &level,
		    "Lowest level logged: error, warning, info or debug",
		    "LEVEL" },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	GOptionContext *ctx;
	GError *error = NULL;
	struct node *n;
	sigset_t set;
	int err;

	ctx = g_option_context_new("- the mesh's process beside a target");
	g_option_context_add_main_entries(ctx, options, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &error) ||
	    config == NULL || argc > 1) {
		fprintf(stderr, "teaselnode: %s\n",
		    error != NULL ? error->message : "needs -c FILE");
		g_option_context_free(ctx);
		return EXIT_USAGE;
	}
	g_option_context_free(ctx);
	/* Threads inherit the mask: signals reach only sigtimedwait below. */
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	base_log_init("teaselnode");
	if (sodium_init() < 0 || ne_sock_init() != 0)
		return 1;
	if ((err = start(&n)) != 0)
		return err;
	wait_for_stop(n, &set);
	node_stop(n);
	base_log(G_LOG_LEVEL_MESSAGE, "stopped", "-");
	return 0;
}
