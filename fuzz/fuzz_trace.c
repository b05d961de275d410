/* Fuzzes the reader of traces and the decision code that replays them. */
#include <stdio.h>
#include <sys/mman.h>
#include <unistd.h>

#include "../replay/replay.h"
#include "fuzz.h"

/* The input is passed as a file in memory. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	GString *out = g_string_new(NULL);
	char path[64];
	int fd, events, checked;

	fd = memfd_create("trace", MFD_CLOEXEC);
	FUZZ_REQUIRE(fd >= 0 && write(fd, data, len) == (ssize_t)len);
	snprintf(path, sizeof(path), "/proc/self/fd/%d", fd);
	replay_file(path, out, &events, &checked);
	g_string_free(out, TRUE);
	close(fd);
	return 0;
}
