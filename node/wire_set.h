/* Versions of the set as they travel, in datagrams and over links. */
#ifndef WIRE_SET_H
#define WIRE_SET_H

#include "config.h"
#include "wire.pb-c.h"

/* Writes a version; what it points to stays with the difference. */
void
wire_set_pack(const struct config_delta *, Wire__SetReply *, Wire__Version *);
/* Reads one; NODE_EGARBLED, or the payload of out is owned by the caller. */
int wire_set_unpack(const Wire__SetReply *, struct config_delta *out);

#endif
