/* Membership of several nodes over a simulated network. */
#include "fakes/member_net.h"

#include <criterion/criterion.h>

#define SECOND 1000000LL

/* Twelve entries that start with a list of all of them find each other. */
Test(members, twelve_entries_find_each_other)
{
    MemberNet *net = MemberNet_Create(12, 3, 1);

    MemberNet_List(net, 12);
    MemberNet_Run(net, 20 * SECOND);
    cr_assert(MemberNet_Agrees(net));
    cr_assert_eq(net->died, 0);
    cr_assert_leq(net->updates_max, GW_UPDATES_MAX);
    MemberNet_Free(net);
}

/* An entry crashes. It gets traffic until a probe fails; then it is
 * suspected, and after the time-out all others hold it dead. */
Test(members, a_crashed_entry_is_dead_everywhere)
{
    MemberNet *net = MemberNet_Create(12, 3, 2);

    MemberNet_List(net, 12);
    MemberNet_Run(net, 20 * SECOND);
    MemberNet_Stop(net, 4);
    MemberNet_Run(net, 12 * SECOND);
    cr_assert(MemberNet_Agrees(net));
    cr_assert_eq(MemberNet_State(net, 0, 4), GW_MEMBER_DEAD);
    MemberNet_Run(net, 200 * SECOND);
    cr_assert_eq(MemberNet_State(net, 0, 4), 0);
    MemberNet_Free(net);
}

/* An instance is replaced by another of the same name. The new start
 * applies at once, and a late message of the old start changes nothing. */
Test(members, a_restart_replaces_the_old_start_at_once)
{
    MemberNet *net = MemberNet_Create(6, 2, 3);
    GwNodeId old = net->nodes[2].params.id;

    MemberNet_List(net, 6);
    MemberNet_Run(net, 10 * SECOND);
    MemberNet_Restart(net, 2);
    MemberNet_List(net, 6);
    MemberNet_Run(net, 5 * SECOND);
    cr_assert(MemberNet_Agrees(net));
    GwMessage *late = GwMessage_Create(GW_MSG_PROBE, old);
    const GwMember *seen = GwMembers_Find(net->nodes[0].members, old.node);
    late->u.heartbeat.update_count = 1;
    late->u.heartbeat.updates[0] = seen->info;
    late->u.heartbeat.updates[0].id = old;
    late->u.heartbeat.updates[0].incarnation = 99;
    uint64_t sent = net->sent;
    MemberNet_Deliver(net, 0, late);
    cr_assert_eq(net->sent, sent);
    cr_assert(MemberNet_Agrees(net));
    GwMessage_Free(late);
    MemberNet_Free(net);
}

/* Regions are partitioned for ten minutes, until each holds the others'
 * members dead and has made them tombstones. After the partition one probe
 * is answered, and all tables merge. */
Test(members, partitioned_regions_merge_again)
{
    MemberNet *net = MemberNet_Create(12, 3, 4);

    MemberNet_List(net, 12);
    MemberNet_Run(net, 20 * SECOND);
    net->cut = true;
    MemberNet_Run(net, 600 * SECOND);
    cr_assert_eq(MemberNet_State(net, 0, 1), 0);
    cr_assert_eq(MemberNet_State(net, 0, 3), GW_MEMBER_ALIVE);
    net->cut = false;
    MemberNet_Run(net, 40 * SECOND);
    cr_assert(MemberNet_Agrees(net));
    MemberNet_Free(net);
}

/* A process is paused and resumes. It must not suspect other members
 * because of acks that it has not read yet. */
Test(members, a_paused_process_suspects_no_member)
{
    MemberNet *net = MemberNet_Create(12, 3, 5);

    MemberNet_List(net, 12);
    MemberNet_Run(net, 20 * SECOND);
    net->nodes[3].paused = true;
    MemberNet_Run(net, 30 * SECOND);
    net->nodes[3].paused = false;
    uint64_t died = net->died;
    MemberNet_Run(net, 20 * SECOND);
    cr_assert(MemberNet_Agrees(net));
    cr_assert_eq(net->died, died);
    MemberNet_Free(net);
}

/* The platform lists an instance as leaving before the process itself has
 * been notified. */
Test(members, listed_leaving_applies_at_once)
{
    MemberNet *net = MemberNet_Create(3, 1, 6);
    GwInstanceListItem item = {
        .name = "n1", .peer_address = "1", .leaving = true};
    GwInstanceList list = {.count = 1, .items = &item};
    GwActions out = {0};

    MemberNet_List(net, 3);
    MemberNet_Run(net, 10 * SECOND);
    GwMembers_ApplyList(net->nodes[0].members, net->now_us, &list, &out);
    cr_assert_eq(MemberNet_State(net, 0, 1), GW_MEMBER_LEAVING);
    cr_assert(!GwMembers_IsListed(net->nodes[0].members, "n2"));
    MemberNet_Run(net, 10 * SECOND);
    cr_assert_eq(MemberNet_State(net, 0, 1), GW_MEMBER_LEAVING);
    cr_assert_eq(MemberNet_State(net, 0, 2), GW_MEMBER_ALIVE);
    GwActions_Free(&out);
    MemberNet_Free(net);
}

/* Returns whether all others know node j, or, with `is_alive`, show it
 * ALIVE. */
static bool
all_show(const MemberNet *net, uint32_t j, bool is_alive)
{
    GwNodeId id = net->nodes[j].params.id;

    for (uint32_t i = 0; i < net->count; i++) {
        bool known =
            is_alive ? MemberNet_State(net, i, j) == GW_MEMBER_ALIVE
                     : GwMembers_Find(net->nodes[i].members, id.node) != NULL;
        if (i != j && !known) {
            return false;
        }
    }
    return true;
}

/* A new entry is visible soon after the first gossip about it. A member
 * that exists only in gossip never becomes visible. */
Test(members, new_entries_are_visible_soon)
{
    MemberNet *net = MemberNet_Create(12, 1, 7);
    int64_t known_us = 0;
    int64_t shown_us = 0;

    MemberNet_Stop(net, 11);
    MemberNet_List(net, 11);
    MemberNet_Run(net, 20 * SECOND);
    MemberNet_Restart(net, 11);
    MemberNet_List(net, 11);
    while (shown_us < 30 * SECOND && !all_show(net, 11, true)) {
        MemberNet_Run(net, SECOND / 10);
        shown_us += SECOND / 10;
        known_us += all_show(net, 11, false) ? 0 : SECOND / 10;
    }
    cr_log_info("known everywhere after %d ms, shown after %d ms",
                (int)(known_us / 1000), (int)(shown_us / 1000));
    cr_assert_lt(shown_us, 10 * SECOND);
    GwMessage *msg = GwMessage_Create(GW_MSG_PROBE, net->nodes[1].params.id);
    msg->u.heartbeat.update_count = 1;
    msg->u.heartbeat.updates[0] =
        (GwMemberInfo){.id = {.node = 99, .start = 1},
                       .state = GW_MEMBER_ALIVE,
                       .name = "ghost",
                       .peer_address = "649"};
    MemberNet_Deliver(net, 0, msg);
    cr_assert_eq(GwMembers_Find(net->nodes[0].members, 99)->heard_us, 0);
    MemberNet_Run(net, 20 * SECOND);
    cr_assert(MemberNet_Agrees(net));
    cr_assert_eq(GwMembers_Count(net->nodes[0].members), 11);
    GwMessage_Free(msg);
    MemberNet_Free(net);
}

/* An entry that leaves notifies its whole region at once; the others learn
 * it by gossip. */
Test(members, leaving_reaches_all)
{
    MemberNet *net = MemberNet_Create(12, 3, 8);
    GwActions out = {0};

    MemberNet_List(net, 12);
    MemberNet_Run(net, 20 * SECOND);
    GwMembers_AnnounceLeaving(net->nodes[0].members, net->now_us,
                              &net->nodes[0].piggyback, &out);
    for (uint32_t i = 0; i < out.count; i++) {
        const GwSendAction *send = &out.items[i].u.send;
        uint32_t to = (uint32_t)g_ascii_strtoull(send->address, NULL, 10);
        MemberNet_Deliver(net, to, send->message);
    }
    for (uint32_t i = 3; i < 12; i += 3) {
        cr_assert_eq(MemberNet_State(net, i, 0), GW_MEMBER_LEAVING);
    }
    MemberNet_Run(net, 10 * SECOND);
    for (uint32_t i = 1; i < 12; i++) {
        cr_assert_eq(MemberNet_State(net, i, 0), GW_MEMBER_LEAVING, "%u", i);
    }
    GwActions_Free(&out);
    MemberNet_Free(net);
}

/* Two hundred and one entries start together. Within 30 s each sees its
 * whole region, although a round of probes takes far longer. */
Test(members, a_large_region_finds_itself_soon)
{
    MemberNet *net = MemberNet_Create(201, 3, 9);

    net->tick_us = 100000;
    MemberNet_List(net, 201);
    MemberNet_Run(net, 30 * SECOND);
    for (uint32_t i = 0; i < 201; i += 10) {
        for (uint32_t j = i % 3; j < 201; j += 3) {
            cr_assert(i == j || MemberNet_State(net, i, j) == GW_MEMBER_ALIVE,
                      "%u does not show %u", i, j);
        }
    }
    cr_assert_eq(net->died, 0);
    MemberNet_Free(net);
}
