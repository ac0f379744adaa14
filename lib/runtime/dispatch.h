/* One attempt at a backend server over HTTP, and the pool of connections.
 *
 * Everything here serves one question: may the backend server have run the
 * request? GwDispatch_Run answers NOT_RUN only on proof. */
#ifndef GW_RUNTIME_DISPATCH_H
#define GW_RUNTIME_DISPATCH_H

#include "runtime/answer.h"

/* A connection that answered less than this ago is taken to be alive for a
 * non-idempotent call. A new one costs about 1 ms; an unknown end far more. */
#define GW_FRESH_US 500000

typedef struct GwDispatcher_s GwDispatcher;

/* Lets another thread end an attempt at once. */
typedef struct GwAbort_s GwAbort;

GwAbort *GwAbort_Create(void);
GwAbort *GwAbort_Ref(GwAbort *abort);
void GwAbort_Unref(GwAbort *abort);
/* The attempt ends soon after, its connection closed. Any thread. */
void GwAbort_Trigger(GwAbort *abort);

typedef struct {
    const char *address;
    const char *method;
    const char *target; /* path and query, sent unchanged */
    const char *content_type;
    const uint8_t *body;
    uint32_t body_len;
    const char *request_id;
    int64_t deadline_us; /* of the call, told to the backend server */
    int64_t give_up_us;  /* of this attempt */
    bool idempotent;
    bool new_connection; /* a retry: pooled ones are suspect */
} GwDispatchAsk;

typedef struct {
    GwOutcome outcome;
    GwReason reason;
    uint32_t retry_after_ms;
    bool draining;
    bool has_load;
    uint32_t reported_load;
    GwAnswer *answer; /* ANSWERED only; owned by the receiver */
} GwDispatchEnd;

typedef struct {
    uint64_t opened;
    uint64_t reused;
    uint64_t resends_stopped;
} GwDispatchStats;

GwDispatcher *GwDispatcher_Create(void);
/* Attempts must have ended. */
void GwDispatcher_Free(GwDispatcher *d);
/* Blocks until the attempt ended; any thread, no lock held. */
void GwDispatch_Run(GwDispatcher *d, const GwDispatchAsk *ask, GwAbort *abort,
                    GwDispatchEnd *end);
void GwDispatcher_Stats(const GwDispatcher *d, GwDispatchStats *stats);

#endif
