/* Several GwMembers over a seeded queue that loses and delays messages. */
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
    bool cut; /* no message passes between regions */
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
    uint32_t burst_max; /* messages of one received message */
    uint64_t died;      /* MEMBER_DEAD logged */
    /* Verdicts and suspicions by each node on members of its region that
     * run. */
    uint32_t wrong[GW_NET_MAX];
    uint32_t suspected[GW_NET_MAX];
} MemberNet;

MemberNet *MemberNet_Create(uint32_t count, uint32_t regions, uint64_t seed);
void MemberNet_Free(MemberNet *net);
/* Gives every live node a list of `listed` first nodes. */
void MemberNet_List(MemberNet *net, uint32_t listed);
void MemberNet_Run(MemberNet *net, int64_t for_us);
void MemberNet_Kill(MemberNet *net, uint32_t i);
void MemberNet_Restart(MemberNet *net, uint32_t i);
/* Hands one made-up message to a node, at once. */
void MemberNet_Inject(MemberNet *net, uint32_t to, const GwMessage *msg);
/* The state node i shows for node j; 0 when it does not show it. */
uint32_t MemberNet_Shown(const MemberNet *net, uint32_t i, uint32_t j);
/* Every live node shows every other live one as alive and heard, at its
 * present start, and no dead one as alive. */
bool MemberNet_Agrees(const MemberNet *net);

#endif
