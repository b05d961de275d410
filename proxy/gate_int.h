/* Shared by the parts of the gate: admission, status checks. */
#ifndef GATE_INT_H
#define GATE_INT_H

#include "proxy_int.h"

/*
 * A request that was running when a target crashed three times is refused: the
 * users' rule allows three more retries after the third crash.
 */
#define POISON_CRASHES 3

void gate_pump(struct gate *);
void gate_probe_init(struct gate *);
void gate_probe_clear(struct gate *);
/* The target is cold for so long. */
void gate_set_cold(struct gate *, int64_t for_ms);
/* A job failed in a way that makes the target doubtful. */
void gate_doubt(struct gate *, const struct job *, enum upstream_result,
    const struct http_message *);

#endif
