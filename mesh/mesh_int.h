/* Internal to the set: the steps of set_parse. */
#ifndef MESH_INT_H
#define MESH_INT_H

#include "mesh.h"

/* Fills the tables of a set from its parsed text. */
void set_read(struct set *, const struct json *root, struct report *);
/* Resolves names to handles and applies the rules that span objects. */
void set_check(struct set *, const struct json *root, struct report *);

#endif
