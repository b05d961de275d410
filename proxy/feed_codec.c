/*
 * Compression of updates between nodes.  The previous large update is the
 * dictionary: a small change of a configuration then takes some dozens of
 * bytes.  This matters where a node with a slow link publishes to twenty.
 */
#include <string.h>

#include <zstd.h>

#include "link_int.h"

#define ZSTD_LEVEL	3
#define BASE_MIN_BYTES	4096		   /* smaller ones become no base */
#define STATE_BYTES_MAX (16 * 1024 * 1024) /* limit of an update received */

/* Compresses with the base as dictionary, if not NULL; NULL on an error. */
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

/* Expands to exactly "full" bytes; returns NULL if the data is invalid. */
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

/* Whether an update of this length becomes the base of later ones. */
int
feed_is_base(size_t len)
{
	return len >= BASE_MIN_BYTES;
}
