/* The loop of a node. */
#ifndef LOOP_H
#define LOOP_H

#include "node_int.h"

int loop_open_link(struct node *);
/* Runs until a leaving node may end. */
void loop_main(struct node *);

#endif
