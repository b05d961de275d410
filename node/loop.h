/* The event loop of a node. */
#ifndef LOOP_H
#define LOOP_H

#include "node_int.h"

/* Opens the node's links; NODE_OK or NODE_ELISTEN. */
int loop_open_link(struct node *);
/* Runs the event loop until the node has drained or its drain timed out. */
void loop_main(struct node *);

#endif
