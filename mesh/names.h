/* Names of enumerators in traces; each list ends with NULL. */
#ifndef NAMES_H
#define NAMES_H

#include "call.h"

extern const char *const guard_verdict_names[];
extern const char *const exchange_names[];
extern const char *const call_action_names[];
extern const char *const offer_verdict_names[];

/* Index of a name in a list that ends with NULL, or MESH_ENOTFOUND. */
int name_index(const char *const *names, const char *name);
/* Outcome (enum call_outcome) by its code, or MESH_ENOTFOUND. */
int outcome_index(const char *code);

#endif
