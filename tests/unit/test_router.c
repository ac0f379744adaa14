/* Steering core: outcomes of requests, server and configuration changes. The
 * fake host (fakes/steering.c) checks the invariants in each case. */
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
        uint32_t sends; /* in all; the second attempt is answered 200 */
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
        {"broken: may have run", "/once/", GW_ATTEMPT_LOST, 0, 1, 502},
        {"broken, idempotent", "/again/", GW_ATTEMPT_LOST, 0, 2, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        FakeSteering *f = Steering_Start(2);
        FakeSteering_PutServer(f, "a", "r1", "d1", 2);
        FakeSteering_PutServer(f, "b", "r1", "d1", 2);
        for (int j = 0; j < 12; j++) { /* earns retry budget */
            Steering_Warm(f, "/again/", NULL);
        }
        FakeRequest *req = FakeSteering_Arrive(f, cases[i].path, "k", 3000);
        FakeSteering_EndAttempt(f, req, cases[i].first, cases[i].first_status);
        FakeSteering_Advance(f, 100000);
        FakeSteering_EndAttempt(f, req, GW_ATTEMPT_ANSWERED, 200);
        cr_expect(req->over, "%s", cases[i].what);
        cr_expect_eq(req->sends, cases[i].sends, "%s", cases[i].what);
        cr_expect_eq(req->status, cases[i].status, "%s", cases[i].what);
        Steering_Finish(f);
    }
}

/* A caller with several requests on one connection disconnects: some are sent,
 * the last one waits. Their capacity must not be used for the waiting one
 * while the host drops all of them: a send for it would be carried out on
 * freed memory. */
Test(router, a_disconnect_ends_all_requests_of_the_connection)
{
    FakeSteering *f = Steering_Start(1);
    FakeSteering_PutServer(f, "a", "r1", "d1", 1);
    Steering_Warm(f, "/again/", "k");
    FakeRequest *reqs[2 + GW_SLOTS_AHEAD];

    for (size_t i = 0; i < G_N_ELEMENTS(reqs); i++) {
        reqs[i] = FakeSteering_Arrive(f, "/again/", "k", 3000);
        cr_assert_eq(reqs[i]->server != NULL, i <= GW_SLOTS_AHEAD);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(reqs); i++) {
        GwRouter_CallerDisconnected(f->router, f->now_us, reqs[i]->handle,
                                    f->actions);
        cr_expect_eq(f->actions->len, 0, "request %zu", i);
        reqs[i]->handle = NULL;
    }
    GwRouter_DispatchPending(f->router, f->now_us, f->actions);
    cr_expect_eq(f->actions->len, 0);
    cr_expect_eq(GwRouter_OpenCount(f->router), 0);
    Steering_Finish(f);
}

Test(router, only_eligible_servers_receive_a_request)
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
        FakeSteering_PutServer(f, "a", "r1", "d1", 2);
        if (cases[i].drained) {
            FakeSteering_DrainServer(f, "a");
        }
        if (cases[i].dropped) {
            FakeSteering_RemoveServer(f, "a");
        }
        GwRouter_SetEvacuated(f->router, f->now_us, "d1", cases[i].evacuated);
        FakeRequest *req = FakeSteering_Arrive(f, "/once/", "k", 3000);
        cr_expect_eq(req->server != NULL, cases[i].taken, "%s", cases[i].what);
        cr_expect_eq(req->status, cases[i].taken ? 0 : 503, "%s",
                     cases[i].what);
        Steering_Finish(f);
    }
}

/* Draining persists whatever a reordered report says; a new start under the
 * same id is another server. */
Test(router, draining_persists_until_a_new_start)
{
    FakeSteering *f = Steering_Start(2);
    GwServerInfo again = FakeSteering_Info("a", "s", "r1", "d1", 2);

    again.born_ms = 2;
    FakeSteering_PutServer(f, "a", "r1", "d1", 2);
    FakeSteering_DrainServer(f, "a");
    FakeSteering_PutServer(f, "a", "r1", "d1", 2);
    FakeRequest *req = FakeSteering_Arrive(f, "/once/", "k", 3000);
    cr_expect_eq(req->status, 503);
    GwRouter_PutServer(f->router, f->now_us, &again, f->actions);
    ((FakeServer *)f->servers->pdata[0])->draining = false;
    req = FakeSteering_Arrive(f, "/once/", "k", 3000);
    cr_expect_not_null(req->server);
    Steering_Finish(f);
}

/* A sent request without an answer ends with 504 at the route's timeout, one
 * that was never sent with 503. Servers receive the remaining time. */
Test(router, a_silent_server_ends_in_a_timeout)
{
    FakeSteering *f = Steering_Start(2);
    FakeSteering_PutServer(f, "a", "r1", "d1", 1);
    FakeRequest *sent = FakeSteering_Arrive(f, "/once/", "k", 5000);

    cr_expect_eq(sent->left_ms, 2000);
    FakeSteering_Advance(f, 1900000);
    cr_expect_not(sent->over);
    FakeSteering_Advance(f, 200000);
    cr_expect(sent->over);
    cr_expect_eq(sent->status, 504);
    Steering_Finish(f);
}

Test(router, older_versions_are_ignored)
{
    FakeSteering *f = Steering_Start(1);
    GwRouting *older = FakeSteering_Routing(1, 3);

    FakeSteering_Configure(f, 5, 2);
    cr_expect_not(GwRouter_SetRouting(f->router, older));
    cr_expect_eq(GwRouter_Routing(f->router)->version, 5);
    GwRouting_Unref(older);
    Steering_Finish(f);
}

/* The state of a route is dropped after a version removes the route, but not
 * while a request of the route is open. */
Test(router, state_of_removed_routes_is_dropped)
{
    FakeSteering *f = Steering_Start(1);
    FakeRequest *open = NULL;
    GString *dump = g_string_new(NULL);

    FakeSteering_PutServer(f, "a", "r1", "d1", 100);
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
        FakeSteering_EndAttempt(f, req, GW_ATTEMPT_ANSWERED, 200);
    }
    FakeSteering_EndAttempt(f, open, GW_ATTEMPT_ANSWERED, 200);
    cr_expect(open->over);
    FakeSteering_Configure(f, 60, 1);
    GwRouter_Dump(f->router, f->now_us, dump);
    cr_expect_not_null(strstr(dump->str, "\"routes\":0,"), "%s", dump->str);
    g_string_free(dump, TRUE);
    Steering_Finish(f);
}

Test(router, without_a_configuration_requests_are_refused)
{
    FakeSteering *f = FakeSteering_Create("r1", "d1");
    FakeRequest *req = FakeSteering_Arrive(f, "/once/", NULL, 3000);

    cr_expect_eq(req->status, 503);
    FakeSteering_Configure(f, 1, 1);
    req = FakeSteering_Arrive(f, "/nowhere/", NULL, 3000);
    cr_expect_eq(req->status, 404);
    Steering_Finish(f);
}

/* Each stretch of requests is split like the whole. */
Test(router, a_split_keeps_its_weights)
{
    FakeSteering *f = FakeSteering_Create("r1", "d1");
    GwRouting *routing = FakeSteering_Routing(1, 1);
    GwRoute *route = &routing->hosts[0].routes[0];
    uint32_t counts[2] = {0};

    g_free(route->parts[0].service);
    g_free(route->parts);
    route->part_count = 2;
    route->parts = g_new0(GwRouteDestination, 2);
    route->parts[0] = (GwRouteDestination){g_strdup("s"), 9};
    route->parts[1] = (GwRouteDestination){g_strdup("t"), 1};
    (void)GwRouter_SetRouting(f->router, routing);
    GwRouting_Unref(routing);
    FakeSteering_PutServer(f, "a", "r1", "d1", 100);
    for (int i = 0; i < 100; i++) {
        const char *path =
            strcmp(route->prefix, "/once/") == 0 ? "/once/" : "/again/";
        FakeRequest *req = FakeSteering_Arrive(f, path, NULL, 3000);
        counts[req->server == NULL]++;
        FakeSteering_EndAttempt(f, req, GW_ATTEMPT_ANSWERED, 200);
    }
    cr_expect_eq(counts[0], 90);
    cr_expect_eq(counts[1], 10, "the part without servers is not moved");
    Steering_Finish(f);
}
