/* Shared by the parts of the entry: intake, choice, calls. */
#ifndef ENTRY_INT_H
#define ENTRY_INT_H

#include "node_int.h"

#define DEADLINE_HEADER "X-Deadline-Ms"
#define ID_HEADER	"X-Request-Id"
#define TRACE_HEADER	"traceparent"

/* What is known of a target; made on first use. */
struct view *entry_view(struct node *, const char *target);
/*
 * Chooses the target of the next sending, making the id of a call that needs
 * one.  MESH_ENOTFOUND when there is none, MESH_EREFUSED when the home of a
 * caller's id cannot be asked.
 */
int entry_choose(struct node *, struct entry_call *, const struct set *);

#endif
