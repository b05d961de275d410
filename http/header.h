/* Headers of HTTP messages, shared by every package that speaks HTTP. */
#ifndef HTTP_HEADER_H
#define HTTP_HEADER_H

#include <stddef.h>

struct http_header {
	char *name, *value;
};

/* Releases an array of headers that owns its strings. */
void http_headers_free(struct http_header *, size_t n);
/* Whether a header belongs to one connection only and is not passed on. */
int http_header_hop(const char *name);

#endif
