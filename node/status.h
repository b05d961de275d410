/* The operators' HTTP interface. */
#ifndef STATUS_H
#define STATUS_H

#include "node_int.h"

/*
 * Handler of the operators' server, on its thread: passes a request to the
 * loop of the node that is its first argument.
 */
void operator_request(void *node, struct server_request *);
/* Answers a request, on the loop thread; it is no longer valid afterwards. */
void operator_handle(struct node *, struct server_request *);

#endif
