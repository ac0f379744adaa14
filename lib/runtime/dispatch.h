/* One attempt at a backend server over HTTP, and the connection pool.
 *
 * The outcome of an attempt states whether the backend server may have run
 * the request: GwDispatch_Run returns NOT_RUN only when that is proven. */
#ifndef GW_RUNTIME_DISPATCH_H
#define GW_RUNTIME_DISPATCH_H

#include "runtime/answer.h"

/* A non-idempotent request reuses a connection only within this time of its
 * last answer. A new connection costs about 1 ms; an unknown outcome costs
 * far more. */
#define GW_REUSE_MAX_US 500000

typedef struct GwDispatcher_s GwDispatcher;

/* Lets another thread abort a running attempt. */
typedef struct GwAbort_s GwAbort;

GwAbort *GwAbort_Create(void);
GwAbort *GwAbort_Ref(GwAbort *abort);
void GwAbort_Unref(GwAbort *abort);
/* Ends the attempt early and closes its connection. Any thread. */
void GwAbort_Trigger(GwAbort *abort);

typedef struct {
    const char *address;
    const char *method;
    const char *target; /* path and query, sent unchanged */
    const char *content_type;
    const uint8_t *body;
    uint32_t body_len;
    const char *request_id;
    int64_t deadline_us; /* of the call, sent to the backend server */
    int64_t give_up_us;  /* of this attempt */
    bool idempotent;
    bool new_connection; /* retry: pooled connections may be broken */
} GwDispatchRequest;

typedef struct {
    GwOutcome outcome;
    GwReason reason;
    uint32_t retry_after_ms;
    bool draining;
    bool has_load;
    uint32_t reported_load;
    GwAnswer *answer; /* ANSWERED only; owned by the receiver */
} GwDispatchResult;

typedef struct {
    uint64_t opened;
    uint64_t reused;
    uint64_t resends_stopped;
    uint64_t idle; /* open connections without an attempt */
} GwDispatchStats;

/* A backend server of the active configuration. */
typedef struct {
    const char *address;
    uint32_t idle_max; /* open connections kept without an attempt */
} GwDispatchServer;

/* An idle connection is closed after this time. */
#define GW_IDLE_TIMEOUT_US 4000000

GwDispatcher *GwDispatcher_Create(void);
/* No attempt may be running. */
void GwDispatcher_Free(GwDispatcher *d);
/* Blocks until the attempt ends. Any thread, with no lock held. */
void GwDispatch_Run(GwDispatcher *d, const GwDispatchRequest *request,
                    GwAbort *abort, GwDispatchResult *result);
/* Replaces the list of servers; before the first list each server may keep
 * one idle connection. Closes connections that are idle for too long, exceed
 * idle_max of their server, or belong to an unlisted server. Call about once
 * a second. */
void GwDispatcher_Trim(GwDispatcher *d, const GwDispatchServer *servers,
                       uint32_t count, int64_t now_us);
void GwDispatcher_Stats(GwDispatcher *d, GwDispatchStats *stats);

#endif
