/* Private to the request machine. */
#ifndef GW_ENTRY_CALLS_INTERNAL_H
#define GW_ENTRY_CALLS_INTERNAL_H

#include "common/heap.h"
#include "common/rng.h"
#include "entry/calls.h"
#include "entry/estimate.h"
#include "entry/tickets.h"

#include <glib.h>

#define GW_ATTEMPTS_MAX     4 /* over the life of a call */
#define GW_ATTEMPTS_AT_ONCE 2 /* the first and its hedge */
#define GW_BACKOFF_MIN_US   40000
#define GW_RETRY_AFTER_MS   200 /* hint where nothing better is known */

typedef enum {
    GW_CALL_WAITING = 1, /* in a wait queue */
    GW_CALL_BACKOFF = 2, /* will wait again at due_us */
    GW_CALL_RUNNING = 3, /* at least one attempt in flight */
    GW_CALL_ATTACHED = 4 /* a resend: waits for another call's outcome */
} GwCallState;

typedef enum {
    GW_ATTEMPT_BACKEND = 1,
    GW_ATTEMPT_PEER = 2, /* shifted to another region on a grant */
    GW_ATTEMPT_OWNER = 3 /* relayed to the owner of the ticket */
} GwAttemptKind;

typedef struct {
    bool active;
    GwAttemptKind kind;
    uint32_t number;
    uint32_t use; /* handle of GwSteer; not for OWNER */
    uint64_t backend;
    int64_t started_us;
    int64_t give_up_us;
} GwAttempt;

typedef struct GwCall_s GwCall;
struct GwCall_s {
    uint64_t call;
    GwCallState state;
    uint32_t service; /* GW_NONE once its service left the configuration */
    bool idempotent;
    bool relayed;
    bool to_owner;
    bool hedged;
    bool may_have_run; /* an attempt ended UNKNOWN */
    GwNodeId relay_from;
    uint64_t grant;
    GwTicket ticket; /* seq 0 for idempotent calls */
    int64_t arrived_us;
    int64_t deadline_us;
    int64_t due_us; /* next time-out of any sort */
    uint32_t attempts_made;
    uint64_t last_backend;
    GwReason last_reason;
    GwAttempt attempts[GW_ATTEMPTS_AT_ONCE];
    GwCall *next_attached; /* resends waiting for this call's outcome */
    uint32_t timer_place;
    uint32_t queue_place;
};

/* What is kept per service; found again by name in a new configuration. */
typedef struct {
    char name[GW_NAME_MAX];
    GwLatency latency;
    GwRetryBudget budget;
    GwHeap local;   /* waiting calls by deadline */
    GwHeap relayed; /* the same, of calls that must run in this region */
} GwServiceCalls;

struct GwCalls_s {
    GwNodeParams params;
    GwRng rng;
    GwTickets *tickets;
    int64_t hold_us;  /* how long a refusal of a ticket stands */
    GHashTable *open; /* &call->call -> GwCall, owned */
    GwHeap timers;    /* every open call by due_us */
    uint32_t waiting_count;
    uint32_t service_count;
    GwServiceCalls services[GW_MAX_SERVICES];
    uint32_t queued[GW_MAX_SERVICES];
};

/* calls_finish.c */
typedef struct {
    GwOutcome outcome;
    GwReason reason;
    uint32_t retry_after_ms;
    uint64_t answer_of;
    uint32_t answer_attempt;
} GwCallEnd;

void GwCalls_CancelAttempt(const GwCallsEnv *env, const GwCall *call,
                           const GwAttempt *attempt);
void GwCalls_Finish(GwCalls *c, const GwCallsEnv *env, GwCall *call,
                    const GwCallEnd *end);
void GwCalls_FinishNotRun(GwCalls *c, const GwCallsEnv *env, GwCall *call,
                          GwReason reason, uint32_t retry_after_ms);
void GwCalls_FinishUnknown(GwCalls *c, const GwCallsEnv *env, GwCall *call,
                           GwReason reason);

/* calls_start.c */
void GwCalls_Enqueue(GwCalls *c, GwCall *call);
void GwCalls_Dequeue(GwCalls *c, GwCall *call);
void GwCalls_StartOwner(GwCalls *c, const GwCallsEnv *env, GwCall *call,
                        const GwMember *owner);
bool GwCalls_Hedge(GwCalls *c, const GwCallsEnv *env, GwCall *call);
void GwCalls_SetDue(GwCalls *c, const GwCallsEnv *env, GwCall *call);
bool GwCalls_IsHopeless(const GwCalls *c, const GwCall *call, int64_t now_us);

#endif
