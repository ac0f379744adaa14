#include "common/log_events.h"
#include "fakes/table.h"
#include "steer/seats.h"

#include <criterion/criterion.h>
#include <string.h>

#define SECOND 1000000LL
#define SEATS  4

/* Two entries of one region at one table that answers at once. */
typedef struct {
    GwNodeParams params;
    GwSeats *seats;
    GwMembers *members;
    bool paused;
    bool store_away;
} Entry;

typedef struct {
    GwFakeTable *table;
    Entry entries[2];
    bool lose_answers; /* writes take effect, their answers are lost */
    bool links_away;
    int64_t now_us;
    uint32_t reads;
    uint32_t writes;
    GwActions out;
} Bench;

static void
see(Bench *b, uint32_t i, GwMemberState other_state, bool other_listed)
{
    Entry *e = &b->entries[i];
    const GwNodeParams *other = &b->entries[1 - i].params;
    GwCargo cargo = {0};
    GwListed item = {0};
    GwListEvent list = {.count = other_listed, .items = &item};

    g_strlcpy(item.name, other->name, GW_NAME_MAX);
    GwMembers_Free(e->members);
    e->members = GwMembers_Create(&e->params);
    GwMembers_Listed(e->members, b->now_us, &list, &b->out);
    if (other_state != GW_MEMBER_DEAD) {
        GwMessage *msg = GwMessage_Create(GW_MSG_ACK, other->id);
        GwMemberInfo *info = &msg->u.heartbeat.updates[0];
        msg->u.heartbeat.update_count = 1;
        *info = (GwMemberInfo){.id = other->id, .state = other_state};
        info->region = GwName_Hash32("ogre");
        g_strlcpy(info->name, other->name, GW_NAME_MAX);
        GwMembers_Receive(e->members, b->now_us, msg, &cargo, &b->out);
        GwMessage_Free(msg);
    }
    GwActions_Clear(&b->out);
}

static void
start(Bench *b, uint32_t i, uint64_t nonce)
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

static Bench
make_bench(void)
{
    Bench b = {.table = GwFakeTable_Create(), .now_us = SECOND};

    start(&b, 0, 1);
    start(&b, 1, 1);
    see(&b, 0, GW_MEMBER_ALIVE, true);
    see(&b, 1, GW_MEMBER_ALIVE, true);
    return b;
}

static void
end_bench(Bench *b)
{
    for (uint32_t i = 0; i < 2; i++) {
        GwSeats_Free(b->entries[i].seats);
        GwMembers_Free(b->entries[i].members);
    }
    GwFakeTable_Free(b->table);
    GwActions_Free(&b->out);
}

static void
answer(Bench *b, Entry *e, const GwTableRequest *request)
{
    bool write = request->op == GW_TABLE_TXN;
    GwTableReply *reply = e->store_away ? GwFakeTable_Lost(request)
                                        : GwFakeTable_Do(b->table, request);

    b->writes += write;
    b->reads += !write;
    if (write && b->lose_answers) {
        reply->status = GW_TABLE_LOST;
    }
    GwSeats_TableReply(e->seats, b->now_us, reply, e->members, &b->out);
    GwFakeTable_FreeReply(reply);
}

static void
carry_out(Bench *b, uint32_t i)
{
    for (uint32_t k = 0; k < b->out.count; k++) {
        const GwAction *action = &b->out.items[k];
        uint32_t other = 1 - i;
        if (action->kind == GW_ACTION_TABLE) {
            answer(b, &b->entries[i], action->u.table);
        }
        else if (action->kind == GW_ACTION_SEND && !b->links_away &&
                 !b->entries[other].paused) {
            GwActions own = b->out;
            b->out = (GwActions){0};
            GwSeats_Receive(b->entries[other].seats, b->now_us,
                            own.items[k].u.send.message,
                            b->entries[other].members, &b->out);
            carry_out(b, other);
            GwActions_Free(&b->out);
            b->out = own;
        }
    }
    GwActions_Clear(&b->out);
}

static void
run(Bench *b, int64_t for_us)
{
    for (int64_t end_us = b->now_us + for_us; b->now_us < end_us;) {
        b->now_us += 10 * GW_TICK_US;
        for (uint32_t i = 0; i < 2; i++) {
            Entry *e = &b->entries[i];
            if (e->paused || e->seats == NULL) {
                continue;
            }
            GwSeats_Tick(e->seats, b->now_us, e->members, &b->out);
            carry_out(b, i);
            for (uint32_t seat = 0; seat < SEATS; seat++) {
                GwSeats_Release(e->seats, b->now_us, seat, e->members,
                                &b->out);
                carry_out(b, i);
            }
        }
    }
}

static uint32_t
used(const Bench *b, uint32_t i)
{
    uint32_t count = 0;

    for (uint32_t seat = 0; seat < SEATS; seat++) {
        count += GwSeats_Usable(b->entries[i].seats, seat);
    }
    return count;
}

Test(seats, each_gets_its_share)
{
    Bench b = make_bench();

    run(&b, 10 * SECOND);
    cr_assert_eq(used(&b, 0), 2);
    cr_assert_eq(used(&b, 1), 2);
    end_bench(&b);
}

/* The answers to all writes are lost, after they took effect. The entries find
 * by reading what they hold. */
Test(seats, lost_answers_are_found_out)
{
    Bench b = make_bench();

    b.lose_answers = true;
    run(&b, 10 * SECOND);
    cr_assert_eq(used(&b, 0), 2);
    cr_assert_eq(used(&b, 1), 2);
    end_bench(&b);
}

/* The table is away for long: whoever holds a seat goes on using it. */
Test(seats, outage_leaves_seats_usable)
{
    Bench b = make_bench();

    run(&b, 10 * SECOND);
    b.entries[0].store_away = b.entries[1].store_away = true;
    run(&b, 600 * SECOND);
    cr_assert_eq(used(&b, 0) + used(&b, 1), SEATS);
    end_bench(&b);
}

/* A holder is paused. The list lacks it and it is silent, so its seats are
 * reclaimed after the hold-off. It wakes, believes it still holds them, and
 * must not use them, table or no table. */
Test(seats, paused_holder_wakes_without_seats)
{
    Bench b = make_bench();

    run(&b, 10 * SECOND);
    b.entries[0].paused = true;
    see(&b, 1, GW_MEMBER_DEAD, false);
    run(&b, 12 * SECOND);
    cr_assert_eq(used(&b, 1), 2);
    run(&b, 20 * SECOND);
    cr_assert_eq(used(&b, 1), SEATS);
    b.entries[0].paused = false;
    b.entries[0].store_away = true;
    run(&b, 30 * SECOND);
    cr_assert(GwSeats_IsFenced(b.entries[0].seats));
    cr_assert_eq(used(&b, 0), 0);
    b.entries[0].store_away = false;
    run(&b, 10 * SECOND);
    cr_assert(!GwSeats_IsFenced(b.entries[0].seats));
    cr_assert_eq(used(&b, 0), 0);
    end_bench(&b);
}

/* The list wrongly lacks a live holder that peers don't hear. It sees the
 * notice on its row, stops for a moment, objects, and keeps its seats. */
Test(seats, live_holder_objects)
{
    Bench b = make_bench();

    run(&b, 10 * SECOND);
    see(&b, 1, GW_MEMBER_DEAD, false);
    run(&b, 100 * SECOND);
    cr_assert_eq(used(&b, 0), 2);
    cr_assert_eq(used(&b, 1), 2);
    end_bench(&b);
}

/* An instance is replaced under its name. Its old rows wait until what the
 * old process sent has ended, then the new one claims them. */
Test(seats, restart_claims_after_the_hold_off)
{
    Bench b = make_bench();

    run(&b, 10 * SECOND);
    start(&b, 0, 2);
    see(&b, 1, GW_MEMBER_ALIVE, true);
    run(&b, 14 * SECOND);
    cr_assert_eq(used(&b, 0), 0);
    run(&b, 10 * SECOND);
    cr_assert_eq(used(&b, 0), 2);
    end_bench(&b);
}

/* An entry leaves. Its seats go to the peer at once; with the peer out of
 * reach they are freed in the table, and claimed from there. */
Test(seats, leaving_gives_all_away)
{
    struct {
        bool links_away;
        int64_t given_us;
        int64_t used_us;
    } cases[] = {{false, SECOND / 2, 0}, {true, 12 * SECOND, 4 * SECOND}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Bench b = make_bench();
        run(&b, 10 * SECOND);
        b.links_away = cases[i].links_away;
        see(&b, 1, GW_MEMBER_LEAVING, true);
        GwSeats_Leave(b.entries[0].seats, b.now_us);
        run(&b, cases[i].given_us);
        cr_assert_eq(GwSeats_HeldCount(b.entries[0].seats), 0, "case %zu", i);
        run(&b, cases[i].used_us);
        cr_assert_eq(used(&b, 1), SEATS, "case %zu", i);
        end_bench(&b);
    }
}

/* Reads and writes at rest: one reading of all rows a poll, no writes. */
Test(seats, cost_at_rest)
{
    Bench b = make_bench();

    run(&b, 30 * SECOND);
    b.reads = b.writes = 0;
    run(&b, 300 * SECOND);
    cr_assert_eq(b.writes, 0);
    cr_assert(b.reads > 180 && b.reads < 230, "%u", b.reads);
    end_bench(&b);
}
