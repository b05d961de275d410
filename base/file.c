/* Reading whole files of bounded size. */
#include <stdio.h>

#include "base.h"

/* Reads a file into memory; one byte past max is enough to refuse it. */
int
base_read_file(const char *path, size_t max, char **text, size_t *len)
{
	FILE *f;
	char *buf;
	size_t n;
	int bad;

	if ((f = fopen(path, "rb")) == NULL)
		return BASE_EREAD;
	buf = g_malloc(max + 2);
	n = fread(buf, 1, max + 1, f);
	bad = ferror(f);
	fclose(f);
	if (bad || n > max) {
		g_free(buf);
		return bad ? BASE_EREAD : BASE_ESIZE;
	}
	buf[n] = '\0';
	*text = buf;
	*len = n;
	return BASE_OK;
}
