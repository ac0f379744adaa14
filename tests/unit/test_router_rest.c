/* Servers that refuse a request and ask this entry for rest. */
#include "unit/steering_cases.h"

#include <criterion/criterion.h>
#include <string.h>

#define MS      1000
#define S       1000000
#define REST_US (2 * S)
/* A rest ends at most so much later. */
#define REST_END_US (REST_US * 12 / 10 + MS)

static void
refuse(FakeSteering *f, FakeRequest *req, int64_t rest_us)
{
    GwAttemptEnd end = {
        .outcome = GW_ATTEMPT_REFUSED, .status = 503, .rest_us = rest_us};

    FakeSteering_EndAttemptSo(f, req, &end);
}

static bool
is_at(const FakeRequest *req, const char *id)
{
    return req->server != NULL && strcmp(req->server_id, id) == 0;
}

/* Runs requests of 50 ms, from which the core learns how long work takes. */
static void
run_short_work(FakeSteering *f)
{
    for (int i = 0; i < 100; i++) {
        FakeRequest *req = FakeSteering_Arrive(f, "/once/", NULL, 3000);
        FakeSteering_Advance(f, 50 * MS);
        FakeSteering_EndAttempt(f, req, GW_ATTEMPT_ANSWERED, 200);
    }
}

/* Guards against: a rest is ignored because so many servers fail that their
 * ejection is ignored. */
Test(router_rest, a_rest_holds_while_most_servers_fail)
{
    FakeSteering *f = Steering_Start(1);
    FakeSteering_PutServer(f, "a", "r1", "d1", 2);
    refuse(f, FakeSteering_Arrive(f, "/once/", NULL, 3000), REST_US);
    FakeSteering_PutServer(f, "b", "r1", "d1", 2);
    FakeSteering_PutServer(f, "c", "r1", "d1", 2);
    int64_t end_us = f->now_us + REST_US;

    while (f->now_us < end_us - 50 * MS) {
        FakeRequest *req = FakeSteering_Arrive(f, "/once/", NULL, 3000);
        cr_assert_not(is_at(req, "a"));
        FakeSteering_EndAttempt(f, req, GW_ATTEMPT_LOST, 0);
        FakeSteering_Advance(f, 20 * MS);
    }
    Steering_Finish(f);
}

/* Guards against: a request whose connection is being set up reaches a server
 * that has asked for rest meanwhile; or the server counts as failed. */
Test(router_rest, a_request_is_withheld_while_it_connects)
{
    FakeSteering *f = Steering_Start(3);
    GwAttemptEnd withheld = {.outcome = GW_ATTEMPT_UNSENT, .withheld = true};
    FakeSteering_PutServer(f, "a", "r1", "d1", 4);
    FakeRequest *first = FakeSteering_Arrive(f, "/once/", NULL, 3000);
    FakeRequest *connecting = FakeSteering_Arrive(f, "/once/", NULL, 3000);

    cr_assert(GwRouter_MaySend(f->router, f->now_us, connecting->handle));
    FakeSteering_PutServer(f, "b", "r1", "d1", 4);
    refuse(f, first, REST_US);
    cr_expect_not(GwRouter_MaySend(f->router, f->now_us, connecting->handle));
    FakeSteering_EndAttemptSo(f, connecting, &withheld);
    cr_expect(is_at(connecting, "b"));
    FakeSteering_RemoveServer(f, "b");
    FakeSteering_Advance(f, REST_END_US);
    cr_expect(is_at(FakeSteering_Arrive(f, "/once/", NULL, 3000), "a"));
    Steering_Finish(f);
}

/* Guards against: all that waits is sent at once to a server that has just
 * been full. */
Test(router_rest, after_a_rest_one_request_shows_whether_the_server_works)
{
    FakeSteering *f = Steering_Start(1);
    FakeSteering_PutServer(f, "a", "r1", "d1", 4);
    run_short_work(f);
    refuse(f, FakeSteering_Arrive(f, "/once/", NULL, 3000), REST_US);
    FakeSteering_Advance(f, REST_END_US);
    FakeRequest *trial = FakeSteering_Arrive(f, "/once/", NULL, 3000);
    FakeRequest *second = FakeSteering_Arrive(f, "/once/", NULL, 3000);

    cr_expect(is_at(trial, "a"));
    cr_expect_null(second->server);
    cr_expect_not(second->over);
    FakeSteering_Advance(f, 50 * MS);
    FakeSteering_EndAttempt(f, trial, GW_ATTEMPT_ANSWERED, 200);
    cr_expect(is_at(second, "a"));
    cr_expect(is_at(FakeSteering_Arrive(f, "/once/", NULL, 3000), "a"));
    Steering_Finish(f);
}

/* Guards against: requests for an object are refused or wait for its server
 * while that rests and another one has a free slot, or leave a server whose
 * rest ends in time. */
Test(router_rest, objects_of_a_resting_server_go_where_they_are_served)
{
    static const struct {
        int64_t rest_us;
        bool waits;
    } cases[] = {{REST_US, false}, {20 * MS, true}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        FakeSteering *f = Steering_Start(1);
        FakeSteering_PutServer(f, "a", "r1", "d1", 2);
        for (int k = 0; k < 30; k++) {
            FakeRequest *req = FakeSteering_Arrive(f, "/again/", "k", 3000);
            FakeSteering_Advance(f, 100 * MS);
            FakeSteering_EndAttempt(f, req, GW_ATTEMPT_ANSWERED, 200);
        }
        FakeSteering_PutServer(f, "b", "r1", "d1", 2);
        refuse(f, FakeSteering_Arrive(f, "/again/", "k", 3000),
               cases[i].rest_us);
        FakeRequest *req = FakeSteering_Arrive(f, "/again/", "k", 3000);
        cr_expect_eq(is_at(req, "b"), !cases[i].waits, "case %zu", i);
        FakeSteering_Advance(f, 50 * MS);
        cr_expect(is_at(req, cases[i].waits ? "a" : "b"), "case %zu", i);
        Steering_Finish(f);
    }
}

/* Guards against: a caller is told to come back while the only server still
 * rests. */
Test(router_rest, a_refused_caller_comes_back_after_the_rest)
{
    FakeSteering *f = Steering_Start(1);
    FakeSteering_PutServer(f, "a", "r1", "d1", 2);
    refuse(f, FakeSteering_Arrive(f, "/once/", NULL, 3000), REST_US);

    for (int64_t left_us = REST_US; left_us > 1 * S; left_us -= 100 * MS) {
        FakeRequest *req = FakeSteering_Arrive(f, "/once/", NULL, 3000);
        cr_assert_eq(req->status, 503);
        cr_assert_geq(req->retry_after_ms, left_us / MS);
        FakeSteering_Advance(f, 100 * MS);
    }
    Steering_Finish(f);
}
