/* State machine of the calls at one entry: ticket, queue, attempts, outcome.
 *
 * Guarantees at-most-once execution: a non-idempotent call is retried only
 * after an attempt that provably did not run, and the outcome of a ticket is
 * kept until no valid resend of it can arrive. */
#ifndef GW_ENTRY_CALLS_H
#define GW_ENTRY_CALLS_H

#include "steer/steer.h"

typedef struct GwCalls_s GwCalls;

/* `params` is copied. */
GwCalls *GwCalls_Create(const GwNodeParams *params);
void GwCalls_Free(GwCalls *c);
/* Applies a new configuration. Call GwCalls_DispatchWaiting or GwCalls_Tick
 * afterwards; the next tick refuses waiting calls of removed services. */
void GwCalls_Configure(GwCalls *c, int64_t now_us, const GwConfig *config);

/* The other parts of the node, for the duration of one step. */
typedef struct {
    int64_t now_us;
    const GwConfig *config; /* NULL until a configuration is in force */
    const GwMembers *members;
    GwSeats *seats;
    GwSteer *steer;
    bool ready;   /* GwSync_IsReady: may take and start new calls */
    bool leaving; /* a graceful stop has begun */
    GwActions *out;
} GwCallsEnv;

/* Accepts or refuses a call. Each call ends in exactly one FINISH action, in
 * this step or a later one. */
void GwCalls_Arrive(GwCalls *c, const GwCallsEnv *env, const GwCallEvent *ev);
/* Drops a call that is queued or backs off. A running call continues, so that
 * its outcome can be recorded for a resend; so does a call that a resend is
 * attached to. */
void GwCalls_CallerDisconnected(GwCalls *c, const GwCallsEnv *env,
                                uint64_t handle);
/* Processes the end of an attempt: finishes the call or retries it. Ends of
 * finished calls are ignored. */
void GwCalls_EndAttempt(GwCalls *c, const GwCallsEnv *env,
                        const GwAttemptEvent *ev);
/* Refuses all waiting calls at the start of a graceful stop; running calls
 * continue. `env->leaving` must be true in this and all later steps. */
void GwCalls_RefuseWaiting(GwCalls *c, const GwCallsEnv *env);
/* Runs due timers (time-outs, hedges, back-offs), expires ticket records and
 * dispatches waiting calls. */
void GwCalls_Tick(GwCalls *c, const GwCallsEnv *env);
/* Starts waiting calls, earliest deadline first, while capacity is free. */
void GwCalls_DispatchWaiting(GwCalls *c, const GwCallsEnv *env);

/* Writes `count` new tickets to `out`; returns `count`. */
GwResult GwCalls_MintTickets(GwCalls *c, int64_t now_us, uint32_t count,
                             GwTicket *out);
/* Number of waiting calls per service index; GW_MAX_SERVICES elements. */
const uint32_t *GwCalls_Queued(const GwCalls *c);
uint32_t GwCalls_OpenCount(const GwCalls *c);
/* Number of ticket records. */
uint32_t GwCalls_TicketCount(const GwCalls *c);

#endif
