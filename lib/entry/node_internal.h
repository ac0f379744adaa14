/* State of a node; private to the facade, the look-up and the dump. */
#ifndef GW_ENTRY_NODE_INTERNAL_H
#define GW_ENTRY_NODE_INTERNAL_H

#include "config/sync.h"
#include "entry/calls.h"

struct GwNode_s {
    GwNodeParams params;
    GwMembers *members;
    GwSync *sync;
    GwSeats *seats;
    GwSteer *steer;
    GwCalls *calls;
    const GwConfig *config; /* in force; owned by sync */
    bool leaving;           /* a graceful stop has begun */
    bool stopped;           /* STOPPED was emitted */
    int64_t leave_began_us;
    int64_t last_seat_tick_us; /* 0 before the first step */
    int64_t last_publish_us;
};

#endif
