/* Shared inside the package: the steps of building and checking a set. */
#ifndef MESH_INT_H
#define MESH_INT_H

#include "mesh.h"

/* Reads the tables of a set from its parsed text. */
void set_read(struct set *, const struct json *root, struct report *);
/* Resolves names and applies every rule to the whole set. */
void set_check(struct set *, const struct json *root, struct report *);

#endif
