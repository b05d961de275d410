/* What operators see and do. */
#ifndef STATUS_H
#define STATUS_H

#include "node_int.h"

/* On the server's thread: the loop answers. */
void operator_request(void *node, struct server_request *);
void operator_handle(struct node *, struct server_request *);

#endif
