/* Structured log through GLib: one line per record, with a rate limit. */
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base.h"

static GLogWriterOutput
write_record(GLogLevelFlags, const GLogField *, gsize, gpointer);
static const char *level_name(GLogLevelFlags);
static void write_line(const char *, size_t);
static int fits_limit(GLogLevelFlags, size_t);
static void report_dropped(int64_t);

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
 * Divides the rate limit for G_LOG_LEVEL_INFO and G_LOG_LEVEL_DEBUG, which have
 * the frequent records of decisions about single requests.  These may use half
 * of the limit, so that under any load there is room for the rarer records.
 */
#define INFO_DIVISOR 2
static int log_fd = STDERR_FILENO;
static int log_bytes_per_s; /* 0: unlimited */
static int64_t log_second;  /* of base_now_ms, to which log_used applies */
static int log_used;	    /* bytes written in this second */
static int log_dropped;	    /* lines dropped since the last log-dropped */

/*
 * Replaces GLib's writer, so that libraries that log by GLib are covered.  The
 * program's name is not copied.
 */
void
base_log_init(const char *program)
{
	log_program = program;
	g_log_set_writer_func(write_record, NULL, NULL);
}

/* Called at most once, instead of base_log_init. */
void
base_log_bounded(const char *program, int bytes_per_s)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	base_log_init(program);
	log_fd = STDOUT_FILENO;
	log_bytes_per_s = bytes_per_s;
	/* If the reader stops, lines are dropped; writes never block. */
	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

/* Starts a new second and logs how many lines were dropped before it. */
static void
report_dropped(int64_t second)
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
	write_line(line, (size_t)n);
}

/* Returns whether a line is within the rate limit of its level. */
static int
fits_limit(GLogLevelFlags level, size_t len)
{
	int64_t second = base_now_ms() / BASE_MS_PER_S;
	int limit = log_bytes_per_s;

	if (log_bytes_per_s == 0)
		return 1;
	if (second != log_second)
		report_dropped(second);
	if (level & (G_LOG_LEVEL_INFO | G_LOG_LEVEL_DEBUG))
		limit /= INFO_DIVISOR;
	return (size_t)log_used + len <= (size_t)limit;
}

/* Writes a line and counts it as dropped if it was not written whole. */
static void
write_line(const char *line, size_t len)
{
	ssize_t n = write(log_fd, line, len);

	log_used += (int)len;
	if (n == (ssize_t)len)
		return;
	log_dropped++;
	counter_add(CTR_LOG_DROPPED, 1);
}

/*
 * The table is in the order of severity, so the levels before the name are
 * logged, too.
 */
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

/* A level that is not logged costs no formatting. */
void
base_log(GLogLevelFlags level, const char *event, const char *fmt, ...)
{
	va_list ap;
	char *msg, *c;

	if (!(level & log_mask))
		return;
	va_start(ap, fmt);
	msg = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	/* Names and texts may come from anyone; a record is one line. */
	for (c = msg; *c != '\0'; c++)
		if (g_ascii_iscntrl(*c))
			*c = '?';
	g_log_structured(
	    log_program, level, "EVENT", event, "MESSAGE", "%s", msg);
	g_free(msg);
}

/* Returns the name that base_log_level accepts for this level. */
static const char *
level_name(GLogLevelFlags level)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(levels); i++)
		if (level & levels[i].flag)
			return levels[i].name;
	return "info";
}

/* GLib's log writer: time, level, program, event and message on one line. */
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
	if (fits_limit(level, strlen(line))) {
		write_line(line, strlen(line));
	} else {
		log_dropped++;
		counter_add(CTR_LOG_DROPPED, 1);
	}
	g_free(line);
	g_free(stamp);
	g_date_time_unref(now);
	return G_LOG_WRITER_HANDLED;
}
