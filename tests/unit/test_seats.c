/* Seats of two entries: claims, lost replies, outages, pauses, reclaims,
 * restarts and handover. */
#include "common/log_events.h"
#include "fakes/table.h"
#include "steer/seats.h"

#include <criterion/criterion.h>
#include <string.h>

#define SECOND 1000000LL
#define SEATS  4

/* Two entries of one region that share a table which replies at once. */
typedef struct {
    GwNodeParams params;
    GwSeats *seats;
    GwMembers *members;
    bool is_paused;
    bool is_store_down;
} Entry;

typedef struct {
    GwFakeTable *table;
    Entry entries[2];
    bool is_losing_replies; /* writes take effect, their replies are lost */
    bool are_links_down;
    int64_t now_us;
    uint32_t reads;
    uint32_t writes;
    GwActions out;
} Fixture;

static void
set_view(Fixture *b, uint32_t i, GwMemberState other_state, bool other_listed)
{
    Entry *e = &b->entries[i];
    const GwNodeParams *other = &b->entries[1 - i].params;
    GwPiggyback piggyback = {0};
    GwInstanceListItem item = {0};
    GwInstanceList list = {.count = other_listed, .items = &item};

    g_strlcpy(item.name, other->name, GW_NAME_MAX);
    GwMembers_Free(e->members);
    e->members = GwMembers_Create(&e->params);
    GwMembers_ApplyList(e->members, b->now_us, &list, &b->out);
    if (other_state != GW_MEMBER_DEAD) {
        GwMessage *msg = GwMessage_Create(GW_MSG_ACK, other->id);
        GwMemberInfo *info = &msg->u.heartbeat.updates[0];
        msg->u.heartbeat.update_count = 1;
        *info = (GwMemberInfo){.id = other->id, .state = other_state};
        info->region = GwName_Hash32("ogre");
        g_strlcpy(info->name, other->name, GW_NAME_MAX);
        GwMembers_Receive(e->members, b->now_us, msg, &piggyback, &b->out);
        GwMessage_Free(msg);
    }
    GwActions_Clear(&b->out);
}

static void
start_entry(Fixture *b, uint32_t i, uint64_t nonce)
{
    Entry *e = &b->entries[i];
    GwNodeParams *p = &e->params;

    *p = (GwNodeParams){.region = "ogre",
                        .seed = nonce * 100 + i,
                        .fence_ms = 2000,
                        .seat_poll_ms = 3000,
                        .seat_holdoff_ms = 15000};
    g_snprintf(p->name, GW_NAME_MAX, "n%u", i);
    p->id = (GwNodeId){.node = GwName_Hash64(p->name), .start = nonce};
    GwSeats_Free(e->seats);
    e->seats = GwSeats_Create(p);
    GwSeats_Configure(e->seats, SEATS);
}

static Fixture
make_fixture(void)
{
    Fixture b = {.table = GwFakeTable_Create(), .now_us = SECOND};

    start_entry(&b, 0, 1);
    start_entry(&b, 1, 1);
    set_view(&b, 0, GW_MEMBER_ALIVE, true);
    set_view(&b, 1, GW_MEMBER_ALIVE, true);
    return b;
}

static void
free_fixture(Fixture *b)
{
    for (uint32_t i = 0; i < 2; i++) {
        GwSeats_Free(b->entries[i].seats);
        GwMembers_Free(b->entries[i].members);
    }
    GwFakeTable_Free(b->table);
    GwActions_Free(&b->out);
}

static void
reply_to(Fixture *b, Entry *e, const GwTableRequest *request)
{
    bool write = request->op == GW_TABLE_TXN;
    GwTableReply *reply = e->is_store_down
                              ? GwFakeTable_Lost(request)
                              : GwFakeTable_Execute(b->table, request);

    b->writes += write;
    b->reads += !write;
    if (write && b->is_losing_replies) {
        reply->status = GW_TABLE_LOST;
    }
    GwSeats_TableReply(e->seats, b->now_us, reply, e->members, &b->out);
    GwFakeTable_FreeReply(reply);
}

static void
run_actions(Fixture *b, uint32_t i)
{
    for (uint32_t k = 0; k < b->out.count; k++) {
        const GwAction *action = &b->out.items[k];
        uint32_t other = 1 - i;
        if (action->kind == GW_ACTION_TABLE) {
            reply_to(b, &b->entries[i], action->u.table);
        }
        else if (action->kind == GW_ACTION_SEND && !b->are_links_down &&
                 !b->entries[other].is_paused) {
            GwActions own = b->out;
            b->out = (GwActions){0};
            GwSeats_Receive(b->entries[other].seats, b->now_us,
                            own.items[k].u.send.message,
                            b->entries[other].members, &b->out);
            run_actions(b, other);
            GwActions_Free(&b->out);
            b->out = own;
        }
    }
    GwActions_Clear(&b->out);
}

static void
run_for(Fixture *b, int64_t for_us)
{
    for (int64_t end_us = b->now_us + for_us; b->now_us < end_us;) {
        b->now_us += 10 * GW_TICK_US;
        for (uint32_t i = 0; i < 2; i++) {
            Entry *e = &b->entries[i];
            if (e->is_paused || e->seats == NULL) {
                continue;
            }
            GwSeats_Tick(e->seats, b->now_us, e->members, &b->out);
            run_actions(b, i);
            for (uint32_t seat = 0; seat < SEATS; seat++) {
                GwSeats_Release(e->seats, b->now_us, seat, e->members,
                                &b->out);
                run_actions(b, i);
            }
        }
    }
}

static uint32_t
count_usable(const Fixture *b, uint32_t i)
{
    uint32_t count = 0;

    for (uint32_t seat = 0; seat < SEATS; seat++) {
        count += GwSeats_IsUsable(b->entries[i].seats, seat);
    }
    return count;
}

Test(seats, each_entry_claims_its_share)
{
    Fixture b = make_fixture();

    run_for(&b, 10 * SECOND);
    cr_assert_eq(count_usable(&b, 0), 2);
    cr_assert_eq(count_usable(&b, 1), 2);
    free_fixture(&b);
}

/* The replies to all writes are lost after the writes took effect. The
 * entries find out which seats they hold by reading. */
Test(seats, lost_write_replies_are_resolved_by_reading)
{
    Fixture b = make_fixture();

    b.is_losing_replies = true;
    run_for(&b, 10 * SECOND);
    cr_assert_eq(count_usable(&b, 0), 2);
    cr_assert_eq(count_usable(&b, 1), 2);
    free_fixture(&b);
}

/* A long outage of the table: each holder keeps using its seats. */
Test(seats, seats_stay_usable_in_a_table_outage)
{
    Fixture b = make_fixture();

    run_for(&b, 10 * SECOND);
    b.entries[0].is_store_down = b.entries[1].is_store_down = true;
    run_for(&b, 600 * SECOND);
    cr_assert_eq(count_usable(&b, 0) + count_usable(&b, 1), SEATS);
    free_fixture(&b);
}

/* A holder is paused, missing from the instance list and unreachable, so
 * its seats are reclaimed after the hold-off. After the pause its state
 * still shows the seats as held; it must not use them, whether the table is
 * reachable or not. */
Test(seats, paused_holder_resumes_without_its_seats)
{
    Fixture b = make_fixture();

    run_for(&b, 10 * SECOND);
    b.entries[0].is_paused = true;
    set_view(&b, 1, GW_MEMBER_DEAD, false);
    run_for(&b, 12 * SECOND);
    cr_assert_eq(count_usable(&b, 1), 2);
    run_for(&b, 20 * SECOND);
    cr_assert_eq(count_usable(&b, 1), SEATS);
    b.entries[0].is_paused = false;
    b.entries[0].is_store_down = true;
    run_for(&b, 30 * SECOND);
    cr_assert(GwSeats_IsFenced(b.entries[0].seats));
    cr_assert_eq(count_usable(&b, 0), 0);
    b.entries[0].is_store_down = false;
    run_for(&b, 10 * SECOND);
    cr_assert(!GwSeats_IsFenced(b.entries[0].seats));
    cr_assert_eq(count_usable(&b, 0), 0);
    free_fixture(&b);
}

/* A live holder is missing from the instance list and unreachable for its
 * peer. It reads the notice in its row, stops using the seat until its
 * objection is confirmed, and keeps its seats. */
Test(seats, live_holder_objects_to_a_reclaim)
{
    Fixture b = make_fixture();

    run_for(&b, 10 * SECOND);
    set_view(&b, 1, GW_MEMBER_DEAD, false);
    run_for(&b, 100 * SECOND);
    cr_assert_eq(count_usable(&b, 0), 2);
    cr_assert_eq(count_usable(&b, 1), 2);
    free_fixture(&b);
}

/* An instance restarts under the same name. The rows of the old start are
 * claimed only after the calls that it sent have ended. */
Test(seats, restart_claims_after_the_hold_off)
{
    Fixture b = make_fixture();

    run_for(&b, 10 * SECOND);
    start_entry(&b, 0, 2);
    set_view(&b, 1, GW_MEMBER_ALIVE, true);
    run_for(&b, 14 * SECOND);
    cr_assert_eq(count_usable(&b, 0), 0);
    run_for(&b, 10 * SECOND);
    cr_assert_eq(count_usable(&b, 0), 2);
    free_fixture(&b);
}

/* An entry stops. Its seats go to the peer at once; if the peer is
 * unreachable, they are freed in the table and claimed from there. */
Test(seats, stopping_entry_hands_over_all_seats)
{
    struct {
        bool are_links_down;
        int64_t given_us;
        int64_t used_us;
    } cases[] = {{false, SECOND / 2, 0}, {true, 12 * SECOND, 4 * SECOND}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Fixture b = make_fixture();
        run_for(&b, 10 * SECOND);
        b.are_links_down = cases[i].are_links_down;
        set_view(&b, 1, GW_MEMBER_LEAVING, true);
        GwSeats_HandOverAll(b.entries[0].seats, b.now_us);
        run_for(&b, cases[i].given_us);
        cr_assert_eq(GwSeats_HeldCount(b.entries[0].seats), 0, "case %zu", i);
        run_for(&b, cases[i].used_us);
        cr_assert_eq(count_usable(&b, 1), SEATS, "case %zu", i);
        free_fixture(&b);
    }
}

/* Without changes an entry reads all rows once per poll period and writes
 * nothing. */
Test(seats, no_writes_without_changes)
{
    Fixture b = make_fixture();

    run_for(&b, 30 * SECOND);
    b.reads = b.writes = 0;
    run_for(&b, 300 * SECOND);
    cr_assert_eq(b.writes, 0);
    cr_assert(b.reads > 180 && b.reads < 230, "%u", b.reads);
    free_fixture(&b);
}
