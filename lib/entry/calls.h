/* The life of one call at one entry: ticket, queue, attempts, outcome.
 *
 * Guards "at most once": a non-idempotent call is started again only after
 * an attempt that is proven not run, and a ticket's outcome is kept until no
 * valid resend can come. */
#ifndef GW_ENTRY_CALLS_H
#define GW_ENTRY_CALLS_H

#include "steer/steer.h"

typedef struct GwCalls_s GwCalls;

GwCalls *GwCalls_Create(const GwNodeParams *params);
void GwCalls_Free(GwCalls *c);
void GwCalls_Configure(GwCalls *c, int64_t now_us, const GwConfig *config);

/* What the machine needs of the rest of the node during one step. */
typedef struct {
    int64_t now_us;
    const GwConfig *config;
    const GwMembers *members;
    GwSeats *seats;
    GwSteer *steer;
    bool ready;
    bool leaving;
    GwActions *out;
} GwCallsEnv;

void GwCalls_Arrive(GwCalls *c, const GwCallsEnv *env, const GwCallEvent *ev);
void GwCalls_Gone(GwCalls *c, const GwCallsEnv *env, uint64_t handle);
void GwCalls_Attempt(GwCalls *c, const GwCallsEnv *env,
                     const GwAttemptEvent *ev);
/* Refuses the calls that wait; those that run go on. `env->leaving` is set
 * from now on. */
void GwCalls_Leave(GwCalls *c, const GwCallsEnv *env);
/* Time-outs, hedges, retention; and a pass over the queue. */
void GwCalls_Tick(GwCalls *c, const GwCallsEnv *env);
/* Start waiting calls for which something came free. */
void GwCalls_Pump(GwCalls *c, const GwCallsEnv *env);

GwResult GwCalls_Mint(GwCalls *c, int64_t now_us, uint32_t count,
                      GwTicket *out);
/* Waiting calls per service index; GW_MAX_SERVICES entries. */
const uint32_t *GwCalls_Queued(const GwCalls *c);
uint32_t GwCalls_Open(const GwCalls *c);
/* Records of tickets kept. */
uint32_t GwCalls_Tickets(const GwCalls *c);

#endif
