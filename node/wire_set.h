/* Conversion of versions to and from their messages on the wire. */
#ifndef WIRE_SET_H
#define WIRE_SET_H

#include "config.h"
#include "wire.pb-c.h"

/*
 * Fills in the two messages for a version.  They point into the delta, which
 * must live as long as they do.
 */
void
wire_set_pack(const struct config_delta *, Wire__SetReply *, Wire__Version *);
/*
 * Reads a version from a message, which may be NULL.  Returns NODE_OK, and then
 * the caller owns the payload of out, or NODE_EMALFORMED.
 */
int wire_set_unpack(const Wire__SetReply *, struct config_delta *out);

#endif
