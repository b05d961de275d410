/* HTTP headers, shared by every package that speaks HTTP. */
#ifndef HTTP_HEADER_H
#define HTTP_HEADER_H

#include <stddef.h>

struct http_header {
	char *name, *value;
};

/* Frees an array of headers and its strings. */
void http_headers_free(struct http_header *, size_t n);
/*
 * Returns whether a header is not forwarded: it is hop-by-hop, or it is
 * written anew for each hop, as Content-Length, Host and Expect are.
 */
int http_header_is_hop(const char *name);
/* Returns whether a status is that of a final answer, 200 to 599. */
int http_status_is_final(int status);
/* Returns whether an answer has no body, whatever its headers say. */
int http_status_has_no_body(int status);

#endif
