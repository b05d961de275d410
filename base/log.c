/* Structured log through GLib: one line a record, bounded if need be. */
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base.h"

static GLogWriterOutput
write_record(GLogLevelFlags, const GLogField *, gsize, gpointer);
static const char *level_name(GLogLevelFlags);
static void put(const char *, size_t);
static int has_room(GLogLevelFlags, size_t);
static void tell_dropped(int64_t);

static const struct {
	const char *name;
	GLogLevelFlags flag;
} levels[] = {
	{ "error", G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL },
	{ "warning", G_LOG_LEVEL_WARNING },
	{ "info", G_LOG_LEVEL_MESSAGE | G_LOG_LEVEL_INFO },
	{ "debug", G_LOG_LEVEL_DEBUG },
};

static const char *log_program = "teaselstep";
static GLogLevelFlags log_mask = G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL |
				 G_LOG_LEVEL_WARNING | G_LOG_LEVEL_MESSAGE |
				 G_LOG_LEVEL_INFO;

/*
 * The bound.  Records of decisions over single requests, the common ones, may
 * use half of it, so that rare ones find room under any load.
 */
#define COMMON_SHARE 2
static int log_fd = STDERR_FILENO;
static int log_bytes_per_s; /* 0: no bound */
static int64_t log_second;  /* that is being counted */
static int log_used;	    /* bytes written in it */
static int log_dropped;	    /* lines left out since they were last told */

/* Installs the writer for this process. */
void
base_log_init(const char *program)
{
	log_program = program;
	g_log_set_writer_func(write_record, NULL, NULL);
}

/* The same, on standard output and bounded. */
void
base_log_bounded(const char *program, int bytes_per_s)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	base_log_init(program);
	log_fd = STDOUT_FILENO;
	log_bytes_per_s = bytes_per_s;
	/* A reader that stops reading costs lines, never a wait. */
	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

/* Says how many lines were left out, once there is room again. */
static void
tell_dropped(int64_t second)
{
	char line[128];
	int n, dropped = log_dropped;

	log_second = second;
	log_used = 0;
	if (dropped == 0)
		return;
	log_dropped = 0;
	n = g_snprintf(line, sizeof(line),
	    "level=warning program=%s event=log-dropped lines=%d\n",
	    log_program, dropped);
	put(line, (size_t)n);
}

/* Whether a line fits into this second. */
static int
has_room(GLogLevelFlags level, size_t len)
{
	int64_t second = base_now_ms() / BASE_MS_PER_S;
	int most = log_bytes_per_s;

	if (log_bytes_per_s == 0)
		return 1;
	if (second != log_second)
		tell_dropped(second);
	if (level & (G_LOG_LEVEL_INFO | G_LOG_LEVEL_DEBUG))
		most /= COMMON_SHARE;
	return (size_t)log_used + len <= (size_t)most;
}

/* Writes a line, or counts it as left out. */
static void
put(const char *line, size_t len)
{
	ssize_t n = write(log_fd, line, len);

	log_used += (int)len;
	if (n == (ssize_t)len)
		return;
	log_dropped++;
	counter_add(CTR_LOG_DROPPED, 1);
}

/* Shows records from the named level upwards. */
int
base_log_level(const char *name)
{
	GLogLevelFlags mask = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(levels); i++) {
		mask |= levels[i].flag;
		if (strcmp(levels[i].name, name) == 0) {
			log_mask = mask;
			return BASE_OK;
		}
	}
	return BASE_EINVAL;
}

/* Writes one record with the event as a field of its own. */
void
base_log(GLogLevelFlags level, const char *event, const char *fmt, ...)
{
	va_list ap;
	char *msg;

	if (!(level & log_mask))
		return;
	va_start(ap, fmt);
	msg = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	g_log_structured(
	    log_program, level, "EVENT", event, "MESSAGE", "%s", msg);
	g_free(msg);
}

/* Name of a record's level. */
static const char *
level_name(GLogLevelFlags level)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(levels); i++)
		if (level & levels[i].flag)
			return levels[i].name;
	return "info";
}

/* GLib's writer: time, level, program, event and details on one line. */
static GLogWriterOutput
write_record(
    GLogLevelFlags level, const GLogField *fields, gsize n, gpointer arg)
{
	const char *event = "-", *msg = "";
	GDateTime *now;
	char *stamp, *line;
	gsize i;

	(void)arg;
	if (!(level & log_mask))
		return G_LOG_WRITER_HANDLED;
	for (i = 0; i < n; i++) {
		if (strcmp(fields[i].key, "EVENT") == 0)
			event = fields[i].value;
		else if (strcmp(fields[i].key, "MESSAGE") == 0)
			msg = fields[i].value;
	}
	now = g_date_time_new_now_utc();
	stamp = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%f");
	line = g_strdup_printf("time=%.23sZ level=%s program=%s event=%s %s\n",
	    stamp, level_name(level), log_program, event, msg);
	if (has_room(level, strlen(line))) {
		put(line, strlen(line));
	} else {
		log_dropped++;
		counter_add(CTR_LOG_DROPPED, 1);
	}
	g_free(line);
	g_free(stamp);
	g_date_time_unref(now);
	return G_LOG_WRITER_HANDLED;
}
