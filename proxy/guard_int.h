/* Internal interface of the guard: dispatch, status checks, crash detection. */
#ifndef PROXY_GUARD_INT_H
#define PROXY_GUARD_INT_H

#include "proxy_int.h"

/* Starts queued jobs that have a slot; called when a slot may be free. */
void proxy_guard_dispatch(struct proxy_guard *);
/* Timers and state of status checks. */
void proxy_guard_probe_init(struct proxy_guard *);
void proxy_guard_probe_clear(struct proxy_guard *);
/* Limits the rate of requests for for_ms, as the target is warming up. */
void proxy_guard_set_cold(struct proxy_guard *, int64_t for_ms);
/*
 * Handles a failed job: schedules a status check of the target, and records the
 * job as a crash suspect if its connection broke.
 */
void proxy_guard_job_failed(struct proxy_guard *, const struct job *,
    enum upstream_result, const struct http_message *);

/* guard_link.c: admission by bytes, for jobs of other nodes */
/*
 * Whether the link can bring a job's answer in time; sets its link_wait_ms, and
 * the request for guard_link_commit.
 */
int guard_link_admits(
    struct proxy_guard *, struct job *, struct link_request *, int64_t now);
/* Commits the answer of a job that is admitted. */
void guard_link_commit(struct proxy_guard *, struct job *,
    const struct link_request *, int64_t now);
/* The job's long answer begins; some of its bytes have arrived. */
void guard_link_begin(struct job *, const struct http_message *head);
void guard_link_arrived(struct job *, size_t);
/* Ends the commitment of a job, if it has one; m is its answer, or NULL. */
void guard_link_settle(struct job *, const struct http_message *m);
/* Ms until a job like this one, refused as busy, would be admitted. */
int
guard_busy_wait_ms(const struct proxy_guard *, const struct job *, int64_t now);

/* guard_http.c: headers for the target, and what its answers prove */
/* Sets the time left, the caller and the target's id, which it checks. */
void proxy_guard_set_headers(struct proxy_guard *, struct job *, int64_t now);
enum call_outcome
guard_classify_answer(const struct proxy_guard *, const struct http_message *);
enum call_outcome guard_job_outcome(const struct proxy_guard *,
    const struct job *, enum upstream_result, const struct http_message *);

/* guard_slots.c: how many of the target's slots are used */
/* Applies the slots, the outlier detection and the slow start to admission. */
void proxy_guard_set_slots(struct proxy_guard *);
/* Begins a slow start, if the configuration limits cold targets. */
void proxy_guard_slow_start(struct proxy_guard *, enum slow_start_reason);
/* Handles the first check of a target, or one that finds another target. */
void proxy_guard_slots_found(struct proxy_guard *, int is_first, int64_t cold);
/* Records a run that was answered with a status, or without one (0). */
void proxy_guard_slots_done(
    struct proxy_guard *, const struct job *, int status, int64_t took_us);

/* crash.c: detects crashes of the target and the requests that caused them */
void crash_init(struct proxy_guard *);
void crash_clear(struct proxy_guard *);
/* Records a request whose connection broke, and requests a status check. */
void crash_add_suspect(struct proxy_guard *, uint64_t fingerprint);
/* Removes the suspects of a fingerprint, as one was answered on a resend. */
void crash_clear_suspect(struct proxy_guard *, uint64_t fingerprint);
/* Reports a crash for all pending suspects: the target is down or replaced. */
void crash_confirm(struct proxy_guard *);
/* Removes suspects from before sent_us: a check sent then was answered. */
void crash_refute(struct proxy_guard *, int64_t sent_us);
/* Whether there are suspects for which no check has decided yet. */
int crash_is_pending(struct proxy_guard *);

#endif
