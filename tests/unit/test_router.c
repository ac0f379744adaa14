/* The steering core, case by case: what becomes of a request. Promises that
 * hold always are checked by the fake host (fakes/steering.c) in each case. */
#include "unit/steering_cases.h"

#include <criterion/criterion.h>
#include <string.h>

Test(router, outcomes_decide_what_the_caller_gets)
{
    static const struct {
        const char *what;
        const char *path;
        GwAttemptOutcome first;
        uint16_t first_status;
        uint32_t sends; /* in all; the second one is answered 200 */
        uint16_t status;
    } cases[] = {
        {"answered", "/once/", GW_ATTEMPT_ANSWERED, 200, 1, 0},
        {"answered, idempotent", "/again/", GW_ATTEMPT_ANSWERED, 200, 1, 0},
        {"a server's failure is its answer", "/once/", GW_ATTEMPT_ANSWERED,
         500, 1, 0},
        {"an idempotent one is tried elsewhere", "/again/",
         GW_ATTEMPT_ANSWERED, 500, 2, 0},
        {"refused: proof, so it may go elsewhere", "/once/",
         GW_ATTEMPT_REFUSED, 503, 2, 0},
        {"never sent: the same", "/once/", GW_ATTEMPT_UNSENT, 0, 2, 0},
        {"broken: may have run", "/once/", GW_ATTEMPT_BROKEN, 0, 1, 502},
        {"broken, idempotent", "/again/", GW_ATTEMPT_BROKEN, 0, 2, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        FakeSteering *f = Steering_Start(2);
        FakeSteering_Put(f, "a", "r1", "d1", 2);
        FakeSteering_Put(f, "b", "r1", "d1", 2);
        for (int j = 0; j < 12; j++) { /* earns the budget of retries */
            Steering_Warm(f, "/again/", NULL);
        }
        FakeRequest *req = FakeSteering_Arrive(f, cases[i].path, "k", 3000);
        FakeSteering_End(f, req, cases[i].first, cases[i].first_status);
        FakeSteering_Pass(f, 100000);
        FakeSteering_End(f, req, GW_ATTEMPT_ANSWERED, 200);
        cr_expect(req->over, "%s", cases[i].what);
        cr_expect_eq(req->sends, cases[i].sends, "%s", cases[i].what);
        cr_expect_eq(req->status, cases[i].status, "%s", cases[i].what);
        Steering_Finish(f);
    }
}

/* A caller sends requests on one connection and leaves. The first have the
 * slot and what is sent ahead, the last waits. Their room must not go to it
 * when they are taken away: the host drops all together, and a send for one of
 * them was carried out on freed memory. */
Test(router, a_caller_takes_all_its_requests_along)
{
    FakeSteering *f = Steering_Start(1);
    FakeSteering_Put(f, "a", "r1", "d1", 1);
    Steering_Warm(f, "/again/", "k");
    FakeRequest *reqs[2 + GW_SLOTS_AHEAD];

    for (size_t i = 0; i < G_N_ELEMENTS(reqs); i++) {
        reqs[i] = FakeSteering_Arrive(f, "/again/", "k", 3000);
        cr_assert_eq(reqs[i]->server != NULL, i <= GW_SLOTS_AHEAD);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(reqs); i++) {
        GwRouter_Gone(f->router, f->now_us, reqs[i]->handle, f->actions);
        cr_expect_eq(f->actions->len, 0, "request %zu", i);
        reqs[i]->handle = NULL;
    }
    GwRouter_Settle(f->router, f->now_us, f->actions);
    cr_expect_eq(f->actions->len, 0);
    cr_expect_eq(GwRouter_OpenCount(f->router), 0);
    Steering_Finish(f);
}

Test(router, who_may_take_a_request)
{
    static const struct {
        const char *what;
        bool drained;
        bool dropped;
        bool evacuated;
        bool taken;
    } cases[] = {
        {"ready", false, false, false, true},
        {"draining", true, false, false, false},
        {"gone", false, true, false, false},
        {"its failure domain is evacuated", false, false, true, false},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        FakeSteering *f = Steering_Start(2);
        FakeSteering_Put(f, "a", "r1", "d1", 2);
        if (cases[i].drained) {
            FakeSteering_Drain(f, "a");
        }
        if (cases[i].dropped) {
            FakeSteering_Drop(f, "a");
        }
        GwRouter_SetEvacuated(f->router, f->now_us, "d1", cases[i].evacuated);
        FakeRequest *req = FakeSteering_Arrive(f, "/once/", "k", 3000);
        cr_expect_eq(req->server != NULL, cases[i].taken, "%s", cases[i].what);
        cr_expect_eq(req->status, cases[i].taken ? 0 : 503, "%s",
                     cases[i].what);
        Steering_Finish(f);
    }
}

/* A drain once seen stays, whatever a report that was overtaken says; a new
 * start under the same id is another server. */
Test(router, a_drain_is_not_unlearned)
{
    FakeSteering *f = Steering_Start(2);
    GwServerInfo again = FakeSteering_Info("a", "s", "r1", "d1", 2);

    again.born_ms = 2;
    FakeSteering_Put(f, "a", "r1", "d1", 2);
    FakeSteering_Drain(f, "a");
    FakeSteering_Put(f, "a", "r1", "d1", 2);
    FakeRequest *req = FakeSteering_Arrive(f, "/once/", "k", 3000);
    cr_expect_eq(req->status, 503);
    GwRouter_PutServer(f->router, f->now_us, &again, f->actions);
    ((FakeServer *)f->servers->pdata[0])->draining = false;
    req = FakeSteering_Arrive(f, "/once/", "k", 3000);
    cr_expect_not_null(req->server);
    Steering_Finish(f);
}

/* Time-outs: sent and silent is 504 at the route's time-out, never sent is a
 * true 503. What servers are told is what is left. */
Test(router, a_silent_server_does_not_hold_a_caller)
{
    FakeSteering *f = Steering_Start(2);
    FakeSteering_Put(f, "a", "r1", "d1", 1);
    FakeRequest *sent = FakeSteering_Arrive(f, "/once/", "k", 5000);

    cr_expect_eq(sent->left_ms, 2000);
    FakeSteering_Pass(f, 1900000);
    cr_expect_not(sent->over);
    FakeSteering_Pass(f, 200000);
    cr_expect(sent->over);
    cr_expect_eq(sent->status, 504);
    Steering_Finish(f);
}

Test(router, versions_never_fall)
{
    FakeSteering *f = Steering_Start(1);
    GwRouting *older = FakeSteering_Routing(1, 3);

    FakeSteering_Configure(f, 5, 2);
    cr_expect_not(GwRouter_SetRouting(f->router, older));
    cr_expect_eq(GwRouter_Routing(f->router)->version, 5);
    GwRouting_Unref(older);
    Steering_Finish(f);
}

/* Routes come and go with the versions; what was learned of one that is gone
 * is dropped, but not under a request that is still open. */
Test(router, gone_routes_are_forgotten)
{
    FakeSteering *f = Steering_Start(1);
    FakeRequest *open = NULL;
    GString *dump = g_string_new(NULL);

    FakeSteering_Put(f, "a", "r1", "d1", 100);
    for (uint64_t version = 2; version < 50; version++) {
        GwRouting *routing = FakeSteering_Routing(version, 1);
        GwRoute *route = &routing->hosts[0].routes[0];
        g_free(route->name);
        route->name = g_strdup_printf("route-%u", (unsigned)version);
        cr_assert(GwRouter_SetRouting(f->router, routing));
        FakeRequest *req = FakeSteering_Arrive(f, route->prefix, NULL, 3000);
        GwRouting_Unref(routing);
        if (version == 10) {
            open = req;
            continue;
        }
        FakeSteering_End(f, req, GW_ATTEMPT_ANSWERED, 200);
    }
    FakeSteering_End(f, open, GW_ATTEMPT_ANSWERED, 200);
    cr_expect(open->over);
    FakeSteering_Configure(f, 60, 1);
    GwRouter_Dump(f->router, f->now_us, dump);
    cr_expect_not_null(strstr(dump->str, "\"routes\":0,"), "%s", dump->str);
    g_string_free(dump, TRUE);
    Steering_Finish(f);
}

Test(router, without_a_configuration_nothing_is_missing)
{
    FakeSteering *f = FakeSteering_Create("r1", "d1");
    FakeRequest *req = FakeSteering_Arrive(f, "/once/", NULL, 3000);

    cr_expect_eq(req->status, 503);
    FakeSteering_Configure(f, 1, 1);
    req = FakeSteering_Arrive(f, "/nowhere/", NULL, 3000);
    cr_expect_eq(req->status, 404);
    Steering_Finish(f);
}

/* Each stretch of a split is split as the whole is. */
Test(router, a_split_keeps_its_weights)
{
    FakeSteering *f = FakeSteering_Create("r1", "d1");
    GwRouting *routing = FakeSteering_Routing(1, 1);
    GwRoute *route = &routing->hosts[0].routes[0];
    uint32_t counts[2] = {0};

    g_free(route->parts[0].service);
    g_free(route->parts);
    route->part_count = 2;
    route->parts = g_new0(GwRoutePart, 2);
    route->parts[0] = (GwRoutePart){g_strdup("s"), 9};
    route->parts[1] = (GwRoutePart){g_strdup("t"), 1};
    (void)GwRouter_SetRouting(f->router, routing);
    GwRouting_Unref(routing);
    FakeSteering_Put(f, "a", "r1", "d1", 100);
    for (int i = 0; i < 100; i++) {
        const char *path =
            strcmp(route->prefix, "/once/") == 0 ? "/once/" : "/again/";
        FakeRequest *req = FakeSteering_Arrive(f, path, NULL, 3000);
        counts[req->server == NULL]++;
        FakeSteering_End(f, req, GW_ATTEMPT_ANSWERED, 200);
    }
    cr_expect_eq(counts[0], 90);
    cr_expect_eq(counts[1], 10, "the part without servers is not moved");
    Steering_Finish(f);
}
