/* Reads files of limited size and detects modified files. */
#include <stdio.h>
#include <sys/stat.h>

#include "base.h"

#define NS_PER_S 1000000000

/* Reads up to max + 1 bytes, so that a file that is too large is detected. */
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

/*
 * If the file is missing, the stamp is kept for the comparison once it is back.
 */
int
file_changed(const char *path, struct file_stamp *m)
{
	struct file_stamp now;
	struct stat st;

	if (stat(path, &st) != 0)
		return 0;
	now.changed_ns =
	    (int64_t)st.st_mtim.tv_sec * NS_PER_S + st.st_mtim.tv_nsec;
	now.size = st.st_size;
	now.inode = st.st_ino;
	if (now.changed_ns == m->changed_ns && now.size == m->size &&
	    now.inode == m->inode)
		return 0;
	*m = now;
	return 1;
}
