/* Private to the node facade. */
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
    bool leaving;
    bool stopped;
    int64_t leave_at_us;
    int64_t last_beat_us;
    int64_t published_us;
};

#endif
