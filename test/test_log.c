/* The structured log: one line for each record. */
#include <unistd.h>

#include "test.h"

/* Failure: a name with a line break in it wrote a second line to the log. */
static void
record_is_one_line(void)
{
	char line[512];
	int fds[2], saved = dup(STDERR_FILENO);
	const char *at;
	ssize_t n;

	if (saved < 0 || pipe(fds) != 0)
		g_error("no pipe");
	dup2(fds[1], STDERR_FILENO);
	close(fds[1]);
	base_log_level("info");
	base_log(G_LOG_LEVEL_MESSAGE, "target-unusable", "id=%s revision=%d",
	    "a\nevent=other\r\x1b[2J\x7f \xc3\xa9", 5);
	base_log_level("error");
	dup2(saved, STDERR_FILENO);
	close(saved);
	n = read(fds[0], line, sizeof(line) - 1);
	close(fds[0]);
	CU_ASSERT(n > 0);
	line[MAX(n, 0)] = '\0';
	for (at = line; *at != '\0' && at[1] != '\0'; at++)
		CU_ASSERT((unsigned char)*at >= 0x20 && *at != 0x7f);
	CU_ASSERT_EQUAL(*at, '\n');
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(line, "id=a?event=other??[2J? \xc3\xa9 revision=5\n"));
}

static const struct test tests[] = {
	{ "record is one line", record_is_one_line },
};

TEST_MAIN("log", tests)
