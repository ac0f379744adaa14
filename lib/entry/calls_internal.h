/* Private to the call state machine. */
#ifndef GW_ENTRY_CALLS_INTERNAL_H
#define GW_ENTRY_CALLS_INTERNAL_H

#include "common/heap.h"
#include "common/rng.h"
#include "entry/calls.h"
#include "entry/estimate.h"
#include "entry/tickets.h"

#include <glib.h>

#define GW_ATTEMPTS_MAX     4 /* per call */
#define GW_ATTEMPTS_AT_ONCE 2 /* the first attempt and its hedge */
#define GW_BACKOFF_MIN_US   40000
#define GW_RETRY_AFTER_MS   200 /* default hint to the caller */

typedef enum {
    GW_CALL_WAITING = 1, /* queued */
    GW_CALL_BACKOFF = 2, /* is queued again at due_us */
    GW_CALL_RUNNING = 3, /* at least one attempt in flight */
    GW_CALL_ATTACHED = 4 /* a resend: gets the outcome of another open call */
} GwCallState;

typedef enum {
    GW_ATTEMPT_BACKEND = 1,
    GW_ATTEMPT_PEER = 2, /* sent to another region under a grant */
    GW_ATTEMPT_OWNER = 3 /* relayed to the entry that owns the ticket */
} GwAttemptKind;

typedef struct {
    bool active;
    GwAttemptKind kind;
    uint32_t number;
    uint32_t use; /* handle for GwSteer_Done; unused for OWNER */
    uint64_t backend;
    int64_t started_us;
    int64_t give_up_us;
} GwAttempt;

typedef struct GwCall_s GwCall;
struct GwCall_s {
    uint64_t call;
    GwCallState state;
    uint32_t service; /* GW_NONE if the configuration has no such service */
    bool idempotent;
    bool relayed;
    bool to_owner;
    bool hedged;
    bool may_have_run; /* an attempt ended as UNKNOWN */
    GwNodeId relay_from;
    uint64_t grant;
    GwTicket ticket; /* seq is 0 for an idempotent call */
    int64_t arrived_us;
    int64_t deadline_us;
    int64_t due_us; /* when the call's timer fires next */
    uint32_t attempts_made;
    uint64_t last_backend;
    GwReason last_reason;
    GwAttempt attempts[GW_ATTEMPTS_AT_ONCE];
    GwCall *next_attached; /* list of attached resends */
    uint32_t timer_index;
    uint32_t queue_index;
};

/* State of one service, carried over to a new configuration by name. */
typedef struct {
    char name[GW_NAME_MAX];
    GwLatency latency;
    GwRetryBudget budget;
    GwHeap local;   /* waiting calls, by deadline */
    GwHeap relayed; /* waiting calls that may run only in this region */
} GwServiceCalls;

struct GwCalls_s {
    GwNodeParams params;
    GwRng rng;
    GwTickets *tickets;
    int64_t refusal_hold_us; /* how long a refusal of a ticket holds */
    GHashTable *open;        /* &call->call -> GwCall, owned */
    GwHeap timers;           /* all open calls, by due_us */
    uint32_t waiting_count;  /* sum of queued[] */
    uint32_t service_count;
    GwServiceCalls services[GW_MAX_SERVICES];
    uint32_t queued[GW_MAX_SERVICES]; /* waiting calls per service */
};

/* calls_finish.c */
typedef struct {
    GwOutcome outcome;
    GwReason reason;
    uint32_t retry_after_ms;
    uint64_t answer_call;    /* ANSWERED: the call that has the answer */
    uint32_t answer_attempt; /* ANSWERED: the attempt that has it */
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
void GwCalls_RelayToOwner(GwCalls *c, const GwCallsEnv *env, GwCall *call,
                          const GwMember *owner);
bool GwCalls_TryHedge(GwCalls *c, const GwCallsEnv *env, GwCall *call);
void GwCalls_UpdateTimer(GwCalls *c, const GwCallsEnv *env, GwCall *call);
bool GwCalls_WillMissDeadline(const GwCalls *c, const GwCall *call,
                              int64_t now_us);

#endif
