/* Conversion of versions to and from their messages on the wire. */
#include <string.h>

#include "node.h"
#include "wire_set.h"

/* Points the messages into the delta, which must outlive them. */
void
wire_set_pack(const struct config_delta *d, Wire__SetReply *r, Wire__Version *v)
{
	gsize len;

	v->number = d->version.number;
	v->hash.data = (uint8_t *)d->version.hash;
	v->hash.len = VERSION_HASH_LEN;
	r->set = v;
	r->built_on.data = (uint8_t *)d->base;
	r->built_on.len = d->has_base ? VERSION_HASH_LEN : 0;
	r->parent.data = (uint8_t *)d->parent;
	r->parent.len = d->has_parent ? VERSION_HASH_LEN : 0;
	r->length = d->length;
	r->payload.data = (uint8_t *)g_bytes_get_data(d->payload, &len);
	r->payload.len = len;
}

/* Copies the message to a delta whose payload the caller owns. */
int
wire_set_unpack(const Wire__SetReply *r, struct config_delta *d)
{
	memset(d, 0, sizeof(*d));
	if (r == NULL || r->set == NULL ||
	    r->set->hash.len != VERSION_HASH_LEN || r->payload.len == 0 ||
	    r->length > BASE_SET_MAX)
		return NODE_EMALFORMED;
	d->version.number = r->set->number;
	memcpy(d->version.hash, r->set->hash.data, VERSION_HASH_LEN);
	if (r->parent.len == VERSION_HASH_LEN) {
		memcpy(d->parent, r->parent.data, VERSION_HASH_LEN);
		d->has_parent = 1;
	}
	if (r->built_on.len == VERSION_HASH_LEN) {
		memcpy(d->base, r->built_on.data, VERSION_HASH_LEN);
		d->has_base = 1;
	}
	d->length = r->length;
	d->payload = g_bytes_new(r->payload.data, r->payload.len);
	return NODE_OK;
}
