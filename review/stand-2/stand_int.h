/* Shared by the parts of the stand. */
#ifndef STAND_INT_H
#define STAND_INT_H

#include <stdlib.h>

#include "stand.h"

/* First letter of an id: each step is recorded, or only the sums are. */
#define ID_RECORDED 'c'
#define ID_COUNTED  'h'

/* Starts the server beside a machine's process. */
struct server *server_new(struct machine *);
void server_free(struct server *);

#endif
