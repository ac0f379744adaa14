/* Placements: requests for an object go to servers that have it cached, and
 * entries agree on them. */
#include "unit/steering_cases.h"

#include <criterion/criterion.h>

/* Under heavy load, with each object warm at one server, every request goes to
 * that server and waits rather than causing a cold run elsewhere. Spread over
 * all servers, all runs were cold and took three times the slot time, and the
 * system did not recover. */
Test(router, requests_for_warm_objects_go_to_their_placement)
{
    FakeSteering *f = Steering_Start(2);
    FakeSteering_PutServer(f, "a", "r1", "d1", 2);
    FakeSteering_PutServer(f, "b", "r1", "d1", 2);
    FakeSteering_PutServer(f, "c", "r1", "d1", 2);
    Steering_Warm(f, "/again/", "k");
    FakeRequest *first = FakeSteering_Arrive(f, "/again/", "k", 3000);
    FakeRequest *second = Steering_FillAhead(f, "/again/", "k");
    FakeRequest *third = FakeSteering_Arrive(f, "/again/", "k", 3000);

    cr_assert_not_null(first->server);
    cr_expect_eq(second->server, first->server);
    cr_expect_null(third->server, "it waits");
    FakeSteering_Advance(f, 50000);
    FakeSteering_EndAttempt(f, first, GW_ATTEMPT_ANSWERED, 200);
    cr_expect_not_null(third->server);
    cr_expect_str_eq(third->server_id, first->server_id);
    Steering_Finish(f);
}

/* The first request for an object is a cold run. Requests that arrive
 * meanwhile go to the same server at once: waiting for the end of that run
 * would make them late, and another server would be a second cold run while
 * the first has capacity. */
Test(router, requests_during_a_first_run_go_to_the_same_server)
{
    FakeSteering *f = Steering_Start(2);
    FakeSteering_PutServer(f, "a", "r1", "d1", 2);
    FakeSteering_PutServer(f, "b", "r1", "d1", 2);
    FakeRequest *first = FakeSteering_Arrive(f, "/again/", "k", 3000);
    FakeSteering_Advance(f, 200000);
    FakeRequest *second = FakeSteering_Arrive(f, "/again/", "k", 3000);

    cr_assert_not_null(first->server);
    cr_assert_not_null(second->server, "it does not wait");
    cr_expect_str_eq(second->server_id, first->server_id);
    FakeSteering_Advance(f, 100000);
    FakeSteering_EndAttempt(f, first, GW_ATTEMPT_ANSWERED, 200);
    FakeRequest *third = FakeSteering_Arrive(f, "/again/", "k", 3000);
    cr_assert_not_null(third->server);
    cr_expect_str_eq(third->server_id, first->server_id);
    Steering_Finish(f);
}

static void
exchange_placements(FakeSteering *f, const GArray *placed)
{
    for (guint i = 0; i < placed->len; i++) {
        GwRouter_PutPlacement(f->router, f->now_us,
                              &g_array_index(placed, GwPlacement, i));
    }
}

/* Both entries send a request for the object at once, to the same server. */
static void
expect_same_server(FakeSteering *one, FakeSteering *two, const char *key)
{
    FakeRequest *first = FakeSteering_Arrive(one, "/again/", key, 3000);
    FakeRequest *second = FakeSteering_Arrive(two, "/again/", key, 3000);

    cr_assert_not_null(first->server, "key %s", key);
    cr_assert_not_null(second->server, "key %s: no first run", key);
    cr_expect_str_eq(second->server_id, first->server_id, "key %s", key);
    FakeSteering_EndAttempt(one, first, GW_ATTEMPT_ANSWERED, 200);
    FakeSteering_EndAttempt(two, second, GW_ATTEMPT_ANSWERED, 200);
}

/* A placement reported by another entry of the region is used here too. */
Test(router, entries_agree_on_the_first_placement)
{
    FakeSteering *one = Steering_Start(2);
    FakeSteering *two = Steering_Start(2);
    FakeSteering *both[] = {one, two};
    GArray *placed = g_array_new(FALSE, FALSE, sizeof(GwPlacement));

    for (int i = 0; i < 2; i++) {
        FakeSteering_PutServer(both[i], "a", "r1", "d1", 2);
        FakeSteering_PutServer(both[i], "b", "r1", "d1", 2);
        FakeSteering_PutServer(both[i], "c", "r1", "d1", 2);
    }
    for (int k = 0; k < 20; k++) {
        char key[8];
        g_snprintf(key, sizeof(key), "%d", k);
        Steering_Warm(one, "/again/", key);
    }
    GwRouter_OwnPlacements(one->router, one->now_us, INT64_MAX, INT64_MAX,
                           placed);
    cr_assert_eq(placed->len, 20);
    exchange_placements(two, placed);
    FakeSteering_Advance(two, FAKE_US_PER_S);
    for (int k = 0; k < 20; k++) {
        char key[8];
        g_snprintf(key, sizeof(key), "%d", k);
        expect_same_server(one, two, key);
    }
    g_array_free(placed, TRUE);
    Steering_Finish(one);
    Steering_Finish(two);
}

/* A restarted entry receives the warm placements from its peers. Without them
 * it would choose a server for each object anew: cold runs, which evict
 * objects that other entries still send there. */
Test(router, a_restarted_entry_receives_warm_placements)
{
    FakeSteering *old = Steering_Start(2);
    FakeSteering *fresh = Steering_Start(2);
    FakeSteering *both[] = {old, fresh};
    GArray *placed = g_array_new(FALSE, FALSE, sizeof(GwPlacement));
    char key[8];

    for (int i = 0; i < 2; i++) {
        FakeSteering_PutServer(both[i], "a", "r1", "d1", 2);
        FakeSteering_PutServer(both[i], "b", "r1", "d1", 2);
    }
    for (int k = 0; k < 20; k++) {
        g_snprintf(key, sizeof(key), "%d", k);
        Steering_Warm(old, "/again/", key);
    }
    GwRouter_WarmPlacements(old->router, 10, placed);
    cr_assert_eq(placed->len, 10, "the last used ten");
    exchange_placements(fresh, placed);
    for (int k = 10; k < 20; k++) {
        g_snprintf(key, sizeof(key), "%d", k);
        expect_same_server(old, fresh, key);
    }
    g_array_free(placed, TRUE);
    Steering_Finish(old);
    Steering_Finish(fresh);
}

/* A route moves to another service while its objects have placements at
 * servers of the old one. The next request for such an object must go to
 * the new service: the old one ran 52 requests that no configuration sent
 * to it. */
Test(router, a_moved_route_does_not_use_its_old_servers)
{
    FakeSteering *f = Steering_Start(2);
    GwRouting *moved = FakeSteering_Routing(2, 2);
    GwServerInfo other = FakeSteering_Info("t1", "t", "r1", "d1", 2);
    GArray *placed = g_array_new(FALSE, FALSE, sizeof(GwPlacement));

    FakeSteering_PutServer(f, "a", "r1", "d1", 2);
    GwRouter_PutServer(f->router, f->now_us, &other, f->actions);
    Steering_Warm(f, "/again/", "k");
    FakeSteering_MoveRoutes(moved, "t");
    cr_assert(GwRouter_SetRouting(f->router, moved));
    GwRouting_Unref(moved);
    FakeRequest *req = FakeSteering_Arrive(f, "/again/", "k", 3000);
    cr_expect_str_eq(req->server_id, "t1");
    /* A peer that still has the old version reports the old server. */
    GwRouter_OwnPlacements(f->router, f->now_us, INT64_MAX, INT64_MAX, placed);
    cr_assert_eq(placed->len, 2);
    GwPlacement wrong = g_array_index(placed, GwPlacement, 1);
    wrong.server = g_array_index(placed, GwPlacement, 0).server;
    wrong.warm = true;
    GwRouter_PutPlacement(f->router, f->now_us, &wrong);
    for (int i = 0; i < 4; i++) {
        req = FakeSteering_Arrive(f, "/again/", "k", 3000);
        cr_expect_str_neq(req->server_id, "a");
    }
    g_array_free(placed, TRUE);
    Steering_Finish(f);
}

/* An object's first run hangs at a server that became slow. Further requests
 * for the object waited for that run and were refused as late while servers
 * had free slots, and their retries too. Each must be sent. */
Test(router, a_hanging_first_run_causes_no_refusals_beside_idle_servers)
{
    static const int64_t cases[] = {3000, 2000,
                                    300}; /* remaining time, in ms */

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        FakeSteering *f = Steering_Start(2);
        FakeSteering_PutServer(f, "slow", "r1", "d1", 2);
        for (int k = 0; k < 10; k++) { /* four times a cold run's time */
            char key[8];
            g_snprintf(key, sizeof(key), "k%d", k);
            FakeRequest *req = FakeSteering_Arrive(f, "/again/", key, 3000);
            FakeSteering_Advance(f, 1600000);
            FakeSteering_EndAttempt(f, req, GW_ATTEMPT_ANSWERED, 200);
        }
        FakeRequest *first = FakeSteering_Arrive(f, "/again/", "k", 3000);
        cr_assert_str_eq(first->server_id, "slow");
        FakeSteering_PutServer(f, "idle", "r1", "d1", 2);
        FakeRequest *next = FakeSteering_Arrive(f, "/again/", "k", cases[i]);
        cr_expect_not(next->over, "case %zu: refused", i);
        cr_expect_not_null(next->server, "case %zu: waits", i);
        Steering_Finish(f);
    }
}
