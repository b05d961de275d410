/* Deltas between two texts as zstd frames. */
#include <zstd.h>

#include "delta.h"

#define LEVEL	   3  /* compression level of zstd */
#define WINDOW_LOG 22 /* 4 MB, covers a base and a text of 1 MB each */

/* Compresses text against base, or alone; the result is the caller's. */
GBytes *
delta_make(GBytes *base, GBytes *text)
{
	ZSTD_CCtx *ctx;
	gsize len, base_len;
	const void *data = g_bytes_get_data(text, &len), *prefix;
	size_t cap = ZSTD_compressBound(len), n;
	void *out = g_malloc(cap);

	ctx = ZSTD_createCCtx();
	ZSTD_CCtx_setParameter(ctx, ZSTD_c_compressionLevel, LEVEL);
	ZSTD_CCtx_setParameter(ctx, ZSTD_c_contentSizeFlag, 1);
	if (base != NULL) {
		prefix = g_bytes_get_data(base, &base_len);
		ZSTD_CCtx_setParameter(
		    ctx, ZSTD_c_enableLongDistanceMatching, 1);
		ZSTD_CCtx_setParameter(ctx, ZSTD_c_windowLog, WINDOW_LOG);
		ZSTD_CCtx_refPrefix(ctx, prefix, base_len);
	}
	n = ZSTD_compress2(ctx, out, cap, data, len);
	ZSTD_freeCCtx(ctx);
	if (ZSTD_isError(n)) {
		g_free(out);
		return NULL;
	}
	return g_bytes_new_take(g_realloc(out, n), n);
}

/* Decompresses to exactly length bytes, else returns NULL. */
GBytes *
delta_apply(GBytes *base, GBytes *payload, size_t length)
{
	ZSTD_DCtx *ctx;
	gsize len, base_len;
	const void *data = g_bytes_get_data(payload, &len), *prefix;
	void *out;
	size_t n;

	if (length == 0 || length > BASE_SET_MAX)
		return NULL;
	out = g_malloc(length);
	ctx = ZSTD_createDCtx();
	if (base != NULL) {
		prefix = g_bytes_get_data(base, &base_len);
		ZSTD_DCtx_refPrefix(ctx, prefix, base_len);
	}
	n = ZSTD_decompressDCtx(ctx, out, length, data, len);
	ZSTD_freeDCtx(ctx);
	if (ZSTD_isError(n) || n != length) {
		g_free(out);
		return NULL;
	}
	return g_bytes_new_take(out, length);
}
