/*
 * News between nodes, compressed.  What was told last stands for a dictionary:
 * a configuration that changes in a word costs some dozens of bytes, where a
 * reader with a slow link feeds twenty nodes.
 */
#include <string.h>

#include <zstd.h>

#include "link_int.h"

#define ZSTD_LEVEL 3
#define BASE_MIN_BYTES \
	4096 /* bytes: lesser news do not become the dictionary */
#define STATE_BYTES_MAX (16 * 1024 * 1024) /* bytes of news taken */

/* Compresses a text against a base, or none. */
GBytes *
feed_compress(const char *text, size_t len, GBytes *base)
{
	ZSTD_CCtx *z = ZSTD_createCCtx();
	size_t bound = ZSTD_compressBound(len), n;
	char *out = g_malloc(bound);
	gsize blen;
	const void *b;

	ZSTD_CCtx_setParameter(z, ZSTD_c_compressionLevel, ZSTD_LEVEL);
	if (base != NULL) {
		b = g_bytes_get_data(base, &blen);
		ZSTD_CCtx_refPrefix(z, b, blen);
	}
	n = ZSTD_compress2(z, out, bound, text, len);
	ZSTD_freeCCtx(z);
	if (ZSTD_isError(n)) {
		base_log(G_LOG_LEVEL_WARNING, "feed", "compress=\"%s\"",
		    ZSTD_getErrorName(n));
		g_free(out);
		return NULL;
	}
	return g_bytes_new_take(g_realloc(out, n), n);
}

/* Expands a text that has a length against a base; NULL when it cannot be. */
GBytes *
feed_decompress(const void *data, size_t len, size_t full, GBytes *base)
{
	ZSTD_DCtx *z;
	char *out;
	gsize blen;
	const void *b;
	size_t n;

	if (full > STATE_BYTES_MAX)
		return NULL;
	z = ZSTD_createDCtx();
	out = g_malloc(full + 1);
	if (base != NULL) {
		b = g_bytes_get_data(base, &blen);
		ZSTD_DCtx_refPrefix(z, b, blen);
	}
	n = ZSTD_decompressDCtx(z, out, full, data, len);
	ZSTD_freeDCtx(z);
	if (ZSTD_isError(n) || n != full) {
		g_free(out);
		return NULL;
	}
	return g_bytes_new_take(out, full);
}

/* Whether news are to become the dictionary of those after them. */
int
feed_is_base(size_t len)
{
	return len >= BASE_MIN_BYTES;
}
