/* Shared by the parts of the gate: admission, status checks. */
#ifndef PROXY_GUARD_INT_H
#define PROXY_GUARD_INT_H

#include "proxy_int.h"

void proxy_guard_dispatch(struct proxy_guard *);
void proxy_guard_probe_init(struct proxy_guard *);
void proxy_guard_probe_clear(struct proxy_guard *);
/* The target is cold for so long. */
void proxy_guard_set_cold(struct proxy_guard *, int64_t for_ms);
/* A job failed in a way that makes the target doubtful. */
void proxy_guard_job_failed(struct proxy_guard *, const struct job *,
    enum upstream_result, const struct http_message *);

/* crash.c: whether the target ended, and under which requests */
void crash_init(struct proxy_guard *);
void crash_clear(struct proxy_guard *);
/* A request broke off. */
void crash_add_suspect(struct proxy_guard *, uint64_t fingerprint);
/* It was answered when it was sent again. */
void crash_clear_suspect(struct proxy_guard *, uint64_t fingerprint);
/* The target that ran them has ended. */
void crash_confirm(struct proxy_guard *);
/* It answers what was sent at a time, so it lived on until then. */
void crash_refute(struct proxy_guard *, int64_t sent_us);
/* Whether the target's fate is open for some request. */
int crash_is_pending(struct proxy_guard *);

#endif
