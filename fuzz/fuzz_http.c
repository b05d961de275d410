/*
 * Fuzzes the parser of HTTP messages from callers and targets.  The number of
 * complete messages, and whether more bytes are needed, must be the same if the
 * bytes arrive at once or in two parts, split where the input says.  Each
 * parsed message is also written.
 */
#include <string.h>

#include "../http/http.h"
#include "fuzz.h"

#define HEAD_MAX 2048
#define BODY_MAX 2048

static int
parse_all(enum http_parser_type, const uint8_t *, size_t, size_t, int *);

/*
 * Parses all messages of the input, which arrives in two parts.  Returns the
 * number of complete ones; err is the result of the last call of the parser.
 */
static int
parse_all(enum http_parser_type type, const uint8_t *data, size_t len,
    size_t split, int *err)
{
	struct evbuffer *in = evbuffer_new(), *out = evbuffer_new();
	struct http_message *m;
	struct http_parse p;
	int n = 0, piece;

	http_parse_init(&p, type, HEAD_MAX, BODY_MAX);
	*err = HTTP_EINCOMPLETE;
	for (piece = 0; piece < 2; piece++) {
		if (piece == 0)
			evbuffer_add(in, data, split);
		else
			evbuffer_add(in, data + split, len - split);
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
		if (*err != HTTP_EINCOMPLETE)
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
	int whole, in_two, err_whole, err_in_two;
	size_t split;

	if (len < 2)
		return 0;
	type = data[0] & 1 ? HTTP_REQUEST : HTTP_RESPONSE;
	split = data[1] % (len - 1);
	data += 2;
	len -= 2;
	split = MIN(split, len);
	whole = parse_all(type, data, len, len, &err_whole);
	in_two = parse_all(type, data, len, split, &err_in_two);
	FUZZ_REQUIRE(whole == in_two);
	FUZZ_REQUIRE((err_whole == HTTP_EINCOMPLETE) ==
		     (err_in_two == HTTP_EINCOMPLETE));
	return 0;
}
