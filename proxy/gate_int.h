/* Shared by the parts of the gate: admission, status checks. */
#ifndef GATE_INT_H
#define GATE_INT_H

#include "proxy_int.h"

void gate_pump(struct gate *);
void gate_probe_init(struct gate *);
void gate_probe_clear(struct gate *);
/* The target is cold for so long. */
void gate_set_cold(struct gate *, int64_t for_ms);
/* A job failed in a way that makes the target doubtful. */
void gate_doubt(struct gate *, const struct job *, enum upstream_result,
    const struct http_message *);

/* crash.c: whether the target ended, and under which requests */
void crash_init(struct gate *);
void crash_clear(struct gate *);
/* A request broke off. */
void crash_suspect(struct gate *, uint64_t fingerprint);
/* It was answered when it was sent again. */
void crash_acquit(struct gate *, uint64_t fingerprint);
/* The target that ran them has ended. */
void crash_found(struct gate *);
/* It answers what was sent at a time, so it lived on until then. */
void crash_denied(struct gate *, int64_t sent_us);
/* Whether the target's fate is open for some request. */
int crash_is_open(struct gate *);

#endif
