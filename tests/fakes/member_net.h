/* Simulated network of GwMembers: a seeded queue that loses and delays
 * messages. Reproducible by seed. */
#ifndef GW_TESTS_FAKES_MEMBER_NET_H
#define GW_TESTS_FAKES_MEMBER_NET_H

#include "common/rng.h"
#include "member/member.h"

#define GW_NET_MAX 650

typedef struct {
    GwMembers *members;
    GwNodeParams params;
    GwPiggyback piggyback;
    bool up;
    bool paused;
} GwNetNode;

typedef struct {
    int64_t at_us;
    uint64_t order;
    uint32_t to;
    GwMessage *message;
} GwNetMail;

typedef struct {
    uint32_t count;
    uint32_t regions;
    uint32_t loss_permille;
    bool cut; /* partition: messages between regions are dropped */
    int64_t delay_us;
    int64_t tick_us;
    int64_t now_us;
    uint64_t order;
    GwRng rng;
    GwNetNode nodes[GW_NET_MAX];
    GArray *mail; /* heap of GwNetMail */
    GwActions actions;
    uint64_t sent;
    uint64_t updates;
    uint64_t digests;
    uint32_t updates_max;
    uint32_t digests_max;
    uint32_t burst_max; /* most messages sent in response to one message */
    uint64_t died;      /* MEMBER_DEAD logged */
    /* Running members of the node's own region that it declared dead, and
     * that it suspected. */
    uint32_t wrong[GW_NET_MAX];
    uint32_t suspected[GW_NET_MAX];
} MemberNet;

MemberNet *MemberNet_Create(uint32_t count, uint32_t regions, uint64_t seed);
void MemberNet_Free(MemberNet *net);
/* Applies a platform list of the first `listed` nodes at every running
 * node. */
void MemberNet_List(MemberNet *net, uint32_t listed);
void MemberNet_Run(MemberNet *net, int64_t for_us);
void MemberNet_Stop(MemberNet *net, uint32_t i);
void MemberNet_Restart(MemberNet *net, uint32_t i);
/* Delivers a message to a node immediately. */
void MemberNet_Deliver(MemberNet *net, uint32_t to, const GwMessage *msg);
/* State of node j in the member table of node i; 0 if absent. */
uint32_t MemberNet_State(const MemberNet *net, uint32_t i, uint32_t j);
/* Whether every running node lists every other running node as alive with its
 * current start, and no stopped node as alive. */
bool MemberNet_Agrees(const MemberNet *net);

#endif
