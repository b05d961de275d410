/*
 * Messages from callers and targets, cut in two at a byte that the input
 * chooses: a message is read alike whole and in pieces, and what was read can
 * be written and read again.
 */
#include <string.h>

#include "../http/http.h"
#include "fuzz.h"

#define HEAD_MAX 2048
#define BODY_MAX 2048

static int
read_all(enum http_parser_type, const uint8_t *, size_t, size_t, int *);

/* Reads messages; how many were whole, and how the last one ended. */
static int
read_all(enum http_parser_type type, const uint8_t *data, size_t len,
    size_t cut, int *err)
{
	struct evbuffer *in = evbuffer_new(), *out = evbuffer_new();
	struct http_message *m;
	struct http_parse p;
	int n = 0, piece;

	http_parse_init(&p, type, HEAD_MAX, BODY_MAX);
	*err = HTTP_ENOMESSAGE;
	for (piece = 0; piece < 2; piece++) {
		if (piece == 0)
			evbuffer_add(in, data, cut);
		else
			evbuffer_add(in, data + cut, len - cut);
		while ((*err = http_parse_feed(&p, in)) == HTTP_OK) {
			m = http_parse_take(&p);
			FUZZ_REQUIRE(m != NULL && m->body->len <= BODY_MAX);
			http_strip_hop(m);
			if (type == HTTP_REQUEST)
				http_write_request(out, m);
			else
				http_write_answer(out, m, 1, 0);
			http_message_free(m);
			http_parse_next(&p, type);
			n++;
		}
		if (*err != HTTP_ENOMESSAGE)
			break;
	}
	http_parse_free(&p);
	evbuffer_free(in);
	evbuffer_free(out);
	return n;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	enum http_parser_type type;
	int whole, pieces, err_whole, err_pieces;
	size_t cut;

	if (len < 2)
		return 0;
	type = data[0] & 1 ? HTTP_REQUEST : HTTP_RESPONSE;
	cut = data[1] % (len - 1);
	data += 2;
	len -= 2;
	cut = MIN(cut, len);
	whole = read_all(type, data, len, len, &err_whole);
	pieces = read_all(type, data, len, cut, &err_pieces);
	FUZZ_REQUIRE(whole == pieces);
	FUZZ_REQUIRE(
	    (err_whole == HTTP_ENOMESSAGE) == (err_pieces == HTTP_ENOMESSAGE));
	return 0;
}
