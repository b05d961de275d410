/* Structured log through GLib: one line a record on standard error. */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base.h"

static GLogWriterOutput
write_record(GLogLevelFlags, const GLogField *, gsize, gpointer);
static const char *level_name(GLogLevelFlags);

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

/* Installs the writer for this process. */
void
base_log_init(const char *program)
{
	log_program = program;
	g_log_set_writer_func(write_record, NULL, NULL);
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
	if (write(STDERR_FILENO, line, strlen(line)) < 0)
		log_mask &= ~G_LOG_LEVEL_DEBUG;
	g_free(line);
	g_free(stamp);
	g_date_time_unref(now);
	return G_LOG_WRITER_HANDLED;
}
