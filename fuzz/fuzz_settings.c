/* Fuzzes a node's settings: a text is accepted or rejected with a reason. */
#include <stdio.h>
#include <sys/mman.h>
#include <unistd.h>

#include "../node/node.h"
#include "fuzz.h"

/* The input is passed as a file in memory. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct report *rep = report_new();
	struct settings s;
	char path[64];
	int fd, err;

	fd = memfd_create("settings", MFD_CLOEXEC);
	FUZZ_REQUIRE(fd >= 0 && write(fd, data, len) == (ssize_t)len);
	snprintf(path, sizeof(path), "/proc/self/fd/%d", fd);
	err = settings_read(path, &s, rep);
	FUZZ_REQUIRE((err == NODE_OK) == (rep->errors == 0));
	if (err == NODE_OK)
		settings_free(&s);
	report_free(rep);
	close(fd);
	return 0;
}
