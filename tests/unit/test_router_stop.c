/* Requests that arrive during a graceful stop of their entry.
 *
 * Each request was sent to a server with all of its caller's time, although
 * the entry would exit before the run ended: the caller's connection was
 * closed without an answer, and nobody could tell whether the request had run.
 * This happened to requests that arrived late in a stop on a kept connection
 * (46 and 38 ms after half of the grace, before the sweep that refused new
 * ones), and to a request that a server with a supposedly free slot had queued
 * for 2 s, counting its time from the start of the run. The entry must compare
 * the time that a request may need with the time left. */
#include "unit/steering_cases.h"

#include <criterion/criterion.h>

#define MS      1000
#define RUN_MS  200  /* of every request here */
#define STOP_MS 5400 /* from the signal to the exit */
#define LEFT_MS 8000 /* stated by callers, longer than the stop */
#define TEACH   80   /* runs, until the core knows the run time */

/* The ways in which a request reaches a server. */
typedef enum {
    BY_ARRIVAL,
    BY_A_SLOT,        /* waited for a free slot */
    BY_A_REFUSAL,     /* the first server did not run it */
    BY_NO_CONNECTION, /* the first server was not reached */
    BY_A_LOST_ANSWER  /* the first server may have run it */
} Way;

typedef struct {
    const char *what;
    Way way;
    const char *path;
    int64_t before_ms; /* time before the end at which it could be sent */
    bool sent;
    uint16_t status; /* of the refusal */
} Row;

static void
run_once(FakeSteering *f, const char *path, const char *key)
{
    FakeRequest *req = FakeSteering_Arrive(f, path, key, LEFT_MS);

    FakeSteering_Advance(f, RUN_MS * MS);
    FakeSteering_EndAttempt(f, req, GW_ATTEMPT_ANSWERED, 200);
}

static FakeSteering *
start(void)
{
    FakeSteering *f = Steering_Start(2);

    FakeSteering_PutServer(f, "a", "r1", "d1", 1);
    FakeSteering_PutServer(f, "b", "r1", "d1", 1);
    for (int i = 0; i < TEACH; i++) {
        run_once(f, i % 2 == 0 ? "/once/" : "/again/", NULL);
    }
    return f;
}

static void
pass_until(FakeSteering *f, int64_t before_ms)
{
    FakeSteering_Advance(f, f->end_us - before_ms * MS - f->now_us);
}

/* Fills all slots, including the requests sent ahead; `filling` receives the
 * requests. Returns their number. */
static uint32_t
fill(FakeSteering *f, FakeRequest **filling, uint32_t most)
{
    uint32_t count = 0;

    while (count < most) {
        FakeRequest *req = FakeSteering_Arrive(f, "/once/", NULL, LEFT_MS);
        if (req->server == NULL) {
            FakeSteering_Disconnect(f, req);
            break;
        }
        filling[count++] = req;
    }
    return count;
}

static FakeRequest *
reach_server(FakeSteering *f, const Row *row)
{
    static const GwAttemptOutcome outcomes[] = {
        [BY_A_REFUSAL] = GW_ATTEMPT_REFUSED,
        [BY_NO_CONNECTION] = GW_ATTEMPT_UNSENT,
        [BY_A_LOST_ANSWER] = GW_ATTEMPT_LOST,
    };
    FakeRequest *filling[16];
    FakeRequest *req;

    switch (row->way) {
    case BY_ARRIVAL:
        pass_until(f, row->before_ms);
        return FakeSteering_Arrive(f, row->path, NULL, LEFT_MS);
    case BY_A_SLOT:
        pass_until(f, row->before_ms + 100);
        for (uint32_t i = fill(f, filling, G_N_ELEMENTS(filling)); i > 0;
             i--) {
            FakeSteering_Disconnect(f, filling[i - 1]);
        }
        (void)fill(f, filling, G_N_ELEMENTS(filling));
        req = FakeSteering_Arrive(f, row->path, NULL, LEFT_MS);
        pass_until(f, row->before_ms);
        FakeSteering_EndAttempt(f, filling[0], GW_ATTEMPT_ANSWERED, 200);
        return req;
    case BY_A_REFUSAL:
    case BY_NO_CONNECTION:
    case BY_A_LOST_ANSWER:
        break;
    }
    pass_until(f, row->before_ms + 100);
    req = FakeSteering_Arrive(f, row->path, NULL, LEFT_MS);
    pass_until(f, row->before_ms);
    if (req->server != NULL) {
        FakeSteering_EndAttempt(f, req, outcomes[row->way], 503);
    }
    return req;
}

Test(router_stop, requests_that_can_not_end_in_the_stop_are_refused)
{
    static const Row rows[] = {
        {"long before", BY_ARRIVAL, "/once/", 5000, true, 0},
        {"time to wait and to run", BY_ARRIVAL, "/once/", 1000, true, 0},
        {"a queue would cut it", BY_ARRIVAL, "/once/", 700, false, 503},
        {"half of a run", BY_ARRIVAL, "/once/", 100, false, 503},
        {"at the end", BY_ARRIVAL, "/once/", 1, false, 503},
        {"after it", BY_ARRIVAL, "/once/", -50, false, 503},
        {"the same that may repeat", BY_ARRIVAL, "/again/", 100, false, 503},
        {"a slot long before", BY_A_SLOT, "/once/", 4000, true, 0},
        {"a slot too late", BY_A_SLOT, "/once/", 750, false, 503},
        {"a second server", BY_A_REFUSAL, "/once/", 3000, true, 0},
        {"a second one too late", BY_A_REFUSAL, "/once/", 750, false, 503},
        {"unreached", BY_NO_CONNECTION, "/once/", 3000, true, 0},
        {"unreached, too late", BY_NO_CONNECTION, "/once/", 750, false, 503},
        {"a lost answer", BY_A_LOST_ANSWER, "/again/", 3000, true, 0},
        {"one too late", BY_A_LOST_ANSWER, "/again/", 750, false, 502},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        const Row *row = &rows[i];
        FakeSteering *f = start();
        FakeSteering_Stop(f, STOP_MS * MS);
        FakeRequest *req = reach_server(f, row);
        cr_expect_eq(req->server != NULL, row->sent, "%s", row->what);
        if (row->sent) {
            FakeSteering_Advance(f, RUN_MS * MS);
            cr_expect_leq(f->now_us, f->end_us, "%s", row->what);
            FakeSteering_EndAttempt(f, req, GW_ATTEMPT_ANSWERED, 200);
        }
        cr_expect(req->over, "%s", row->what);
        cr_expect_eq(req->status, row->status, "%s: %u", row->what,
                     req->status);
        if (row->status == 503) {
            cr_expect_gt(req->retry_after_ms, 0, "%s", row->what);
            cr_expect_leq(req->retry_after_ms, 50,
                          "%s: other entries take it at once", row->what);
        }
        Steering_Finish(f);
    }
}

/* Requests that wait at the signal are not kept until they are late: those
 * whose turn would come too late are refused at once, to be retried at other
 * entries. */
Test(router_stop, requests_that_wait_too_long_are_refused_at_once)
{
    FakeSteering *f = start();
    FakeRequest *filling[16];
    FakeRequest *waits;

    (void)fill(f, filling, G_N_ELEMENTS(filling));
    waits = FakeSteering_Arrive(f, "/once/", NULL, LEFT_MS);
    cr_assert_not(waits->over);
    FakeSteering_Stop(f, (RUN_MS + RUN_MS / 2) * MS);
    cr_expect(waits->over);
    cr_expect_eq(waits->status, 503);
    Steering_Finish(f);
}

/* An entry that has just started is stopped again: no run of the route has
 * ended, or one that was far longer than the mean. The estimate from the
 * objective may be far too low. */
Test(router_stop, requests_that_may_take_long_are_refused)
{
    static const struct {
        const char *what;
        bool taught;
        int64_t long_run_ms; /* one such run; 0: none */
        bool sent;
    } cases[] = {
        {"nothing is known", false, 0, false},
        {"runs of one length", true, 0, true},
        {"one was longer", true, 900, false},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        FakeSteering *f = cases[i].taught ? start() : Steering_Start(2);
        FakeSteering_PutServer(f, "a", "r1", "d1", 1);
        if (cases[i].long_run_ms > 0) {
            FakeRequest *req = FakeSteering_Arrive(f, "/once/", NULL, LEFT_MS);
            FakeSteering_Advance(f, cases[i].long_run_ms * MS);
            FakeSteering_EndAttempt(f, req, GW_ATTEMPT_ANSWERED, 200);
        }
        FakeSteering_Stop(f, STOP_MS * MS);
        pass_until(f, 1700);
        FakeRequest *req = FakeSteering_Arrive(f, "/once/", NULL, LEFT_MS);
        cr_expect_eq(req->server != NULL, cases[i].sent, "%s", cases[i].what);
        Steering_Finish(f);
    }
}

/* Attempts in progress at the signal go on with all of their time. */
Test(router_stop, attempts_in_progress_go_on)
{
    FakeSteering *f = start();
    FakeRequest *req = FakeSteering_Arrive(f, "/once/", NULL, LEFT_MS);

    FakeSteering_Stop(f, STOP_MS * MS);
    FakeSteering_Advance(f, RUN_MS * MS);
    cr_expect_not(req->over);
    FakeSteering_EndAttempt(f, req, GW_ATTEMPT_ANSWERED, 200);
    cr_expect(req->over);
    cr_expect_eq(req->status, 0);
    Steering_Finish(f);
}

/* A server answers an idempotent request with an error, too late for a second
 * server: its answer is passed on, not replaced by one of the entry. */
Test(router_stop, an_error_too_late_to_retry_is_passed_on)
{
    FakeSteering *f = start();

    FakeSteering_Stop(f, STOP_MS * MS);
    pass_until(f, 900);
    FakeRequest *req = FakeSteering_Arrive(f, "/again/", NULL, LEFT_MS);
    FakeSteering_Advance(f, RUN_MS * MS);
    FakeSteering_EndAttempt(f, req, GW_ATTEMPT_ANSWERED, 500);
    cr_expect(req->over);
    cr_expect_eq(req->status, 0, "%u", req->status);
    Steering_Finish(f);
}

/* The object's placement is busy until it is too late, and another server is
 * idle: that one runs the request. */
Test(router_stop, another_server_that_can_end_in_time_is_used)
{
    FakeSteering *f = start();

    FakeSteering_RemoveServer(f, "b");
    run_once(f, "/once/", "k");
    FakeSteering_PutServer(f, "b", "r1", "d1", 1);
    FakeSteering_Advance(f, 2000 * MS);
    FakeSteering_Stop(f, STOP_MS * MS);
    pass_until(f, 900);
    FakeRequest *ahead = Steering_FillAhead(f, "/once/", "k");
    cr_assert_str_eq(ahead->server_id, "a");
    FakeRequest *req = FakeSteering_Arrive(f, "/once/", "k", LEFT_MS);
    cr_expect_str_eq(req->server_id, "b", "refused with %u", req->status);
    Steering_Finish(f);
}

/* The same, with the only other server too far away for the remaining time. */
Test(router_stop, an_error_is_not_retried_at_a_server_too_far_away)
{
    FakeSteering *f = start();

    FakeSteering_RemoveServer(f, "b");
    FakeSteering_PutServer(f, "far", "r2", "d3", 2);
    FakeSteering_Stop(f, STOP_MS * MS);
    pass_until(f, 1150);
    FakeRequest *req = FakeSteering_Arrive(f, "/again/", NULL, LEFT_MS);
    cr_assert_str_eq(req->server_id, "a");
    FakeSteering_Advance(f, RUN_MS * MS);
    FakeSteering_EndAttempt(f, req, GW_ATTEMPT_ANSWERED, 500);
    cr_expect(req->over);
    cr_expect_eq(req->status, 0, "%u", req->status);
    Steering_Finish(f);
}

/* Guards against: a request is sent to check a server's limit though the stop
 * ends before its run. */
Test(router_stop, no_limit_is_checked_with_a_request_that_can_not_end)
{
    FakeSteering *f = Steering_Start(1);
    GwLimit limit = {.per_s = 6};

    FakeSteering_PutServer(f, "a", "r1", "d1", 4);
    FakeSteering_Advance(f, 3 * FAKE_US_PER_S);
    for (int i = 0; i < 20; i++) {
        FakeRequest *req = FakeSteering_Arrive(f, "/once/", NULL, 3000);
        cr_assert_not_null(req->server);
        limit.server = GwServer_Hash(req->server);
        FakeSteering_Advance(f, FAKE_US_PER_S / 2);
        FakeSteering_EndAttempt(f, req, GW_ATTEMPT_ANSWERED, 200);
    }
    GwRouter_PutLimit(f->router, f->now_us, &limit);
    FakeRequest *first = FakeSteering_Arrive(f, "/once/", NULL, 10);
    FakeSteering_Advance(f, 3 * FAKE_US_PER_S);
    cr_assert(first->over);
    FakeSteering_Stop(f, FAKE_US_PER_S / 2);
    FakeRequest *req = FakeSteering_Arrive(f, "/once/", NULL, 3000);
    cr_expect_null(req->server);
    cr_expect_eq(req->status, 503);
    Steering_Finish(f);
}
