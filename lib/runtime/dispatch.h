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
    uint64_t idle; /* connections that wait for their next attempt */
} GwDispatchStats;

/* A backend server that the configuration in force names. */
typedef struct {
    const char *address;
    uint32_t idle_max; /* connections kept open without an attempt */
} GwDispatchServer;

/* An idle connection is closed after this time. */
#define GW_IDLE_US 4000000

GwDispatcher *GwDispatcher_Create(void);
/* Attempts must have ended. */
void GwDispatcher_Free(GwDispatcher *d);
/* Blocks until the attempt ended; any thread, no lock held. */
void GwDispatch_Run(GwDispatcher *d, const GwDispatchAsk *ask, GwAbort *abort,
                    GwDispatchEnd *end);
/* Replaces the list of servers; until the first list every server is kept
 * to one idle connection. Closes what is idle too long, above its server's
 * bound, or belongs to a server that is not listed. To be called about once a
 * second. */
void GwDispatcher_Trim(GwDispatcher *d, const GwDispatchServer *servers,
                       uint32_t count, int64_t now_us);
void GwDispatcher_Stats(GwDispatcher *d, GwDispatchStats *stats);

#endif
