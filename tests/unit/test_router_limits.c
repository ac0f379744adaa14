/* Limits of the steering core: slots, time, retry budget, cold servers, rate
 * limits and idle connections. */
#include "unit/steering_cases.h"

#include <criterion/criterion.h>

/* With all slots taken by long work, the caller is refused at once with a
 * retry delay, not at the end of its time. */
Test(router, requests_without_capacity_are_refused_at_once)
{
    FakeSteering *f = Steering_Start(2);
    FakeSteering_PutServer(f, "a", "r1", "d1", 1);
    uint32_t refused = 0;

    for (int i = 0; i < 20; i++) {
        FakeRequest *req = FakeSteering_Arrive(f, "/once/", NULL, 3000);
        refused += req->status == 503;
    }
    cr_expect_geq(refused, 10);
    Steering_Finish(f);
}

/* The retry delay of a refused caller follows the expected time of a free
 * slot, spread over the same time again, since callers ahead take the first
 * slots. With a fixed delay of 250 to 750 ms, callers retried long after work
 * of 50 ms had ended, or found a queue of seconds again. */
Test(router, the_retry_delay_follows_the_expected_free_slot)
{
    static const struct {
        int64_t work_us;
        uint32_t slots;
    } cases[] = {{50000, 1}, {50000, 4}, {400000, 2}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        FakeSteering *f = Steering_Start(2);
        FakeSteering_PutServer(f, "a", "r1", "d1", cases[i].slots);
        for (int k = 0; k < 150; k++) { /* to learn the work's run time */
            FakeRequest *req = FakeSteering_Arrive(f, "/once/", NULL, 3000);
            FakeSteering_Advance(f, cases[i].work_us);
            FakeSteering_EndAttempt(f, req, GW_ATTEMPT_ANSWERED, 200);
        }
        uint32_t least = UINT32_MAX;
        uint32_t most = 0;
        uint32_t told = 0;
        for (int k = 0; k < 200; k++) {
            FakeRequest *req = FakeSteering_Arrive(f, "/once/", NULL, 3000);
            if (req->status == 503) {
                least = MIN(least, req->retry_after_ms);
                most = MAX(most, req->retry_after_ms);
                told++;
            }
        }
        cr_assert_gt(told, 50, "case %zu", i);
        /* Requests wait up to 1.5 objectives (600 ms), so a slot is free about
         * then; each of them takes its work's time in turn. */
        double slot_ms = cases[i].work_us / 1000.0 / cases[i].slots;
        cr_expect_geq(least, 600 - cases[i].work_us / 1000 - 2 * slot_ms - 10,
                      "case %zu: %u", i, least);
        cr_expect_leq(most, 2 * 600 + 2 * slot_ms + 10, "case %zu: %u", i,
                      most);
        cr_expect_gt(most, least + least / 2, "case %zu: spread", i);
        Steering_Finish(f);
    }
}

static void
run_short(FakeSteering *f)
{
    FakeRequest *req = FakeSteering_Arrive(f, "/again/", "k", 3000);

    FakeSteering_Advance(f, 50000);
    FakeSteering_EndAttempt(f, req, GW_ATTEMPT_ANSWERED, 200);
}

/* A single caller allows a minute. Callers that allow three seconds, as
 * before, must not be taken for retries: their requests would wait behind all
 * others from then on. */
Test(router, one_long_caller_time_makes_no_other_request_late)
{
    FakeSteering *f = Steering_Start(2);
    FakeSteering_PutServer(f, "a", "r1", "d1", 1);
    for (int i = 0; i < 50; i++) {
        run_short(f);
    }
    FakeRequest *patient = FakeSteering_Arrive(f, "/again/", "k", 60000);
    FakeSteering_EndAttempt(f, patient, GW_ATTEMPT_ANSWERED, 200);
    for (int i = 0; i < 300; i++) {
        run_short(f);
    }
    FakeRequest *first = Steering_FillAhead(f, "/again/", "k");
    FakeRequest *back = FakeSteering_Arrive(f, "/again/", "k", 2300);
    FakeRequest *second = FakeSteering_Arrive(f, "/again/", "k", 3000);
    cr_assert_not_null(first->server);
    cr_assert_not(back->over);
    FakeSteering_Advance(f, 50000);
    FakeSteering_EndAttempt(f, first, GW_ATTEMPT_ANSWERED, 200);
    cr_expect_not_null(second->server, "in time, so before the other");
    cr_expect_null(back->server, "comes back after 0.7 s: late");
    Steering_Finish(f);
}

/* The fixed part of the retry budget is divided by the number of entries: with
 * many more entries than configured, each uses a smaller part, or all together
 * would exceed it. */
Test(router, the_retry_budget_is_divided_by_entries)
{
    uint32_t repeats[2];

    for (int many = 0; many < 2; many++) {
        FakeSteering *f = Steering_Start(3);
        for (int i = 0; i < 4; i++) {
            char id[8];
            g_snprintf(id, sizeof(id), "s%d", i);
            FakeSteering_PutServer(f, id, "r1", "d1", 4);
        }
        for (int i = 0; i < many * 60; i++) {
            char name[16];
            g_snprintf(name, sizeof(name), "peer-%d", i);
            GwPeerInfo peer = {.name = name, .region = "r1", .serves = true};
            GwRouter_PutPeer(f->router, f->now_us, &peer);
        }
        for (int i = 0; i < 40; i++) {
            FakeRequest *req = FakeSteering_Arrive(f, "/again/", NULL, 3000);
            for (int j = 0; j < 3; j++) {
                FakeSteering_EndAttempt(f, req, GW_ATTEMPT_REFUSED, 503);
            }
            FakeSteering_Advance(f, 250000);
        }
        repeats[many] = f->repeats;
        Steering_Finish(f);
    }
    /* 0.8 of 60 in 10 s: 16 for one of three, under one for one of 61. */
    cr_expect_gt(repeats[0], repeats[1] + 5, "%u and %u", repeats[0],
                 repeats[1]);
    cr_expect_leq(repeats[1], 10, "%u", repeats[1]);
}

/* A cold server accepts cold_per_s requests per second from all entries
 * together. Only the rate owner sends to it, at a lower rate; an entry that
 * has just started knows no peers and owns no rate. */
Test(router, only_the_rate_owner_sends_to_a_cold_server)
{
    FakeSteering *f = Steering_Start(2);
    FakeSteering_PutServer(f, "a", "r1", "d1", 2);
    FakeSteering_SetCold(f, "a", 20000);
    FakeRequest *early = FakeSteering_Arrive(f, "/once/", NULL, 3000);
    uint32_t sent = 0;

    cr_expect_null(early->server);
    FakeSteering_Advance(f, 3 * FAKE_US_PER_S);
    for (int i = 0; i < 1000; i++) {
        FakeRequest *req = FakeSteering_Arrive(f, "/once/", NULL, 3000);
        sent += req->sends;
        FakeSteering_Advance(f, 5000);
        FakeSteering_EndAttempt(f, req, GW_ATTEMPT_ANSWERED, 200);
        FakeSteering_Advance(f, 5000);
    }
    cr_expect_geq(sent, 20, "%u in 10 s", sent);
    cr_expect_leq(sent, 52, "%u in 10 s", sent);
    Steering_Finish(f);
}

/* An entry that did not yet know the entries of the server's region sent to
 * the cold server beside that region's rate owner. */
Test(router, a_new_entry_owns_no_rate_in_other_regions)
{
    FakeSteering *f = Steering_Start(2);
    FakeSteering_PutServer(f, "far", "r2", "d9", 2);

    uint32_t early = 0;
    uint32_t late = 0;

    GwServerInfo info = FakeSteering_Info("far", "s", "r2", "d9", 2);

    info.warmup_left_ms = 60000;
    GwRouter_PutServer(f->router, f->now_us, &info, f->actions);
    FakeSteering_RunActions(f);
    for (int second = 0; second < 30; second++) {
        FakeRequest *req = FakeSteering_Arrive(f, "/once/", NULL, 3000);
        *(second < 20 ? &early : &late) += req->sends;
        FakeSteering_Advance(f, FAKE_US_PER_S / 2);
        FakeSteering_EndAttempt(f, req, GW_ATTEMPT_ANSWERED, 200);
        FakeSteering_Advance(f, FAKE_US_PER_S / 2);
    }
    cr_expect_eq(early, 0);
    cr_expect_gt(late, 5);
    Steering_Finish(f);
}

/* Servers reset connections beyond a limit that counts those of all entries.
 * If entries kept every connection open, idle ones would reach the limit, and
 * requests would meet resets. */
Test(router, idle_connections_use_at_most_half)
{
    static const struct {
        uint32_t connections_max;
        uint32_t entries_max; /* configured; no peer is known */
        uint32_t expected;
    } cases[] = {
        {330, 11, 15}, /* half of it, divided by eleven */
        {330, 165, 1}, /* exactly one */
        {330, 650,
         1}, /* never zero: each request would need a new connection */
        {0, 11, UINT32_MAX} /* no limit configured */
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        FakeSteering *f = FakeSteering_Create("r1", "d1");
        GwRouting *routing = FakeSteering_Routing(1, 1);

        f->params.entries_max = cases[i].entries_max;
        GwRouter_SetBounds(f->router, &f->params);
        routing->services[0].connections_max = cases[i].connections_max;
        (void)GwRouter_SetRouting(f->router, routing);
        FakeSteering_PutServer(f, "a", "r1", "d1", 1);
        FakeRequest *req = FakeSteering_Arrive(f, "/once/", NULL, 3000);
        cr_expect_eq(GwRouter_IdleConnectionsMax(f->router, req->server),
                     cases[i].expected, "case %zu", i);
        GwRouting_Unref(routing);
        FakeSteering_Free(f);
    }
}

/* A request to another region occupies a slot for only part of its time.
 * Counted in full, servers with cross-region callers seem full at two thirds
 * of their load, and callers are refused beside them: 23 in 100 in a simulated
 * day. */
Test(router, remote_requests_count_by_their_slot_time)
{
    static const struct {
        const char *server_region;
        const char *peer_region; /* of the entry with peer_load in flight */
        uint32_t peer_load;
        uint32_t sent; /* of ten at once; two slots and one ahead */
    } cases[] = {
        {"r1", "r1", 0, 3}, /* local: each counts in full */
        {"r2", "r2", 0,
         5}, /* remote, 100 ms away: two thirds of 200 ms work */
        {"r1", "r1", 2, 1}, /* a local peer's count in full too */
        {"r1", "r2", 2, 2}, /* those of another region don't */
        {"r2", "r2", 2, 2}, /* those of the server's own region do */
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        FakeSteering *f = Steering_Start(1);
        uint32_t sent = 0;

        FakeSteering_PutServer(f, "a", cases[i].server_region, "d9", 2);
        GwPeerLoad load = {.in_flight = cases[i].peer_load};
        GwPeerInfo peer = {.name = "e2",
                           .region = cases[i].peer_region,
                           .serves = true,
                           .load_count = 1,
                           .loads = &load};
        FakeRequest *first = FakeSteering_Arrive(f, "/once/", NULL, 3000);
        load.server = GwServer_Hash(first->server);
        GwRouter_PutPeer(f->router, f->now_us, &peer);
        sent = first->sends;
        for (int k = 1; k < 10; k++) {
            sent += FakeSteering_Arrive(f, "/once/", NULL, 3000)->sends;
        }
        cr_expect_eq(sent, cases[i].sent, "case %zu: %u", i, sent);
        Steering_Finish(f);
    }
}

/* Sends a request to server "a", whose answer states this limit. */
static void
answer_with_limit(FakeSteering *f, FakeRequest *req, GwLimitStatement word,
                  double per_s)
{
    GwAttemptEnd end = {.outcome = GW_ATTEMPT_ANSWERED,
                        .status = 200,
                        .limit = word,
                        .limit_per_s = per_s};

    req->server = NULL;
    GwRouter_AttemptEnded(f->router, f->now_us, req->handle, &end, f->actions);
    FakeSteering_RunActions(f);
}

/* The limit known to this entry; negative for none. */
static double
limit_known(const FakeSteering *f)
{
    GwLimit limit = {.per_s = -1};

    (void)GwRouter_Limits(f->router, f->now_us, 0, &limit, 1);
    return limit.per_s;
}

/* Guards against: a reordered answer, or an old report of another entry, lifts
 * a limit. */
Test(router, a_lower_limit_applies_at_once_and_a_higher_one_later)
{
    static const struct {
        int64_t after_ms; /* time since the answer before */
        GwLimitStatement word;
        double per_s;
        double known;
    } steps[] = {
        {0, GW_LIMIT_STATED, 9, 9},      {100, GW_LIMIT_STATED, 6, 6},
        {100, GW_LIMIT_STATED, 9, 6},    {100, GW_LIMIT_NONE, 0, 6},
        {100, GW_LIMIT_UNKNOWN, 0, 6},   {600, GW_LIMIT_STATED, 9, 9},
        {600, GW_LIMIT_NONE, 0, -1},     {10, GW_LIMIT_STATED, 1e300, 1e6},
        {10, GW_LIMIT_STATED, 0.5, 0.5},
    };
    FakeSteering *f = Steering_Start(1);
    FakeRequest *reqs[G_N_ELEMENTS(steps)];

    FakeSteering_PutServer(f, "a", "r1", "d1", 20);
    FakeSteering_Advance(f, 3 * FAKE_US_PER_S);
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        reqs[i] = FakeSteering_Arrive(f, "/once/", NULL, 60000);
        cr_assert_not_null(reqs[i]->server);
    }
    GwLimit old = {.server = GwServer_Hash(reqs[0]->server),
                   .per_s = -1,
                   .age_ms = 60000};
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        f->now_us += steps[i].after_ms * 1000;
        answer_with_limit(f, reqs[i], steps[i].word, steps[i].per_s);
        GwRouter_PutLimit(f->router, f->now_us, &old);
        cr_expect_float_eq(limit_known(f), steps[i].known, 1e-9,
                           "step %zu: %g", i, limit_known(f));
    }
    Steering_Finish(f);
}

/* Guards against: a limited server receives a burst from each entry, or
 * nothing while callers are refused. */
Test(router, a_limited_server_receives_its_rate_and_no_more)
{
    FakeSteering *f = Steering_Start(1);
    GwPeerInfo peer = {.name = "other", .region = "r1", .serves = true};
    uint32_t before = 0;

    GwRouter_PutPeer(f->router, f->now_us, &peer);
    FakeSteering_PutServer(f, "a", "r1", "d1", 2);
    FakeSteering_Advance(f, 3 * FAKE_US_PER_S);
    const FakeServer *server = f->servers->pdata[0];
    for (int i = 0; i < 1000; i++) {
        (void)FakeSteering_Arrive(f, "/once/", NULL, 300);
        FakeSteering_Advance(f, 20000);
        for (guint k = 0; k < f->requests->len; k++) {
            FakeRequest *req = f->requests->pdata[k];
            if (req->server != NULL && req->handle != NULL) {
                answer_with_limit(f, req, GW_LIMIT_STATED, 6);
            }
        }
        before = i == 100 ? server->arrivals->len : before;
    }
    uint32_t sent = server->arrivals->len - before;
    /* Half of 6 per second, for 18 s. */
    cr_expect_geq(sent, 40, "%u", sent);
    cr_expect_leq(sent, 56, "%u", sent);
    Steering_Finish(f);
}
