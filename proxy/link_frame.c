/* Frames on a link: the length in four bytes (big-endian), then a message. */
#include <arpa/inet.h>
#include <string.h>

#include "link_int.h"

#define ESTIMATE_MAX_MS 600000 /* longer times of an estimate are cut */
#define FRAME_BYTES_MAX (65 * 1024 * 1024) /* fits the longest request body */

/* Bytes of a frame on the wire, with its length. */
size_t
link_frame_size(const Link__Frame *f)
{
	return sizeof(uint32_t) + link__frame__get_packed_size(f);
}

/* Appends one frame; frame and strings stay the caller's. */
void
link_pack_frame(struct evbuffer *out, const Link__Frame *f)
{
	size_t len = link__frame__get_packed_size(f);
	uint32_t be = htonl((uint32_t)len);
	struct evbuffer_iovec v;

	evbuffer_add(out, &be, sizeof(be));
	if (len == 0)
		return;
	evbuffer_reserve_space(out, (ev_ssize_t)len, &v, 1);
	v.iov_len = link__frame__pack(f, v.iov_base);
	evbuffer_commit_space(out, &v, 1);
}

/* Whether a part of a frame has arrived. */
int
link_is_receiving(const struct link *l)
{
	return evbuffer_get_length(bufferevent_get_input(l->bev)) > 0;
}

/* Reads a frame for the caller to free; 1, 0 if incomplete, -1 if invalid. */
int
link_read_frame(struct link *l, Link__Frame **f)
{
	struct evbuffer *in = bufferevent_get_input(l->bev);
	uint32_t be;
	size_t len;

	if (evbuffer_copyout(in, &be, sizeof(be)) < (ev_ssize_t)sizeof(be))
		return 0;
	len = ntohl(be);
	if (len > FRAME_BYTES_MAX)
		return -1;
	if (evbuffer_get_length(in) < sizeof(be) + len)
		return 0;
	evbuffer_drain(in, sizeof(be));
	*f = link__frame__unpack(
	    NULL, len, evbuffer_pullup(in, (ev_ssize_t)len));
	evbuffer_drain(in, len);
	return *f != NULL ? 1 : -1;
}

/* Converts the estimate of a guard for a frame. */
Link__Estimate
link_estimate(const struct target_estimate *e)
{
	Link__Estimate out = LINK__ESTIMATE__INIT;

	out.work_ms = (uint32_t)MAX(e->work_ms, 0);
	out.wait_ms = (uint32_t)MAX(e->wait_ms, 0);
	out.link_ms = (uint32_t)MAX(e->link_ms, 0);
	out.is_call = e->is_call;
	return out;
}

/* Converts an estimate of a frame, NULL if it has none; limits its times. */
struct target_estimate
link_read_estimate(const Link__Estimate *e)
{
	struct target_estimate out = { 0 };

	if (e == NULL)
		return out;
	out.work_ms = (int)MIN(e->work_ms, ESTIMATE_MAX_MS);
	out.wait_ms = (int)MIN(e->wait_ms, ESTIMATE_MAX_MS);
	out.link_ms = (int)MIN(e->link_ms, ESTIMATE_MAX_MS);
	out.is_call = e->is_call;
	return out;
}

/* Lists the headers of a message; their strings are borrowed from it. */
Link__Header **
link_headers(const struct http_message *m)
{
	const struct http_header *h;
	Link__Header **list = g_new(Link__Header *, m->headers->len + 1);
	guint i;

	for (i = 0; i < m->headers->len; i++) {
		h = &g_array_index(m->headers, struct http_header, i);
		list[i] = g_new(Link__Header, 1);
		link__header__init(list[i]);
		list[i]->name = h->name;
		list[i]->value = h->value;
	}
	return list;
}

/* Releases the list, but not its strings. */
void
link_headers_free(Link__Header **list, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		g_free(list[i]);
	g_free(list);
}

/* Adds the headers of a frame to a message. */
void
link_read_headers(struct http_message *m, Link__Header *const *list, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		http_add(m, list[i]->name, list[i]->value);
}
