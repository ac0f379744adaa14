/* Requests that come while their entry stops.
 *
 * Seen: entries were replaced one after the other, with nothing else at fault,
 * and callers' connections were closed with no answer while a server ran their
 * requests; a dose may have been issued, and nobody could say. Each request had
 * come late in its entry's stop, on a kept connection, and was sent to a server
 * at once, with all of its caller's time; the process ended before the run.
 *
 * Cause: nobody compared the time that a request may need with the time that is
 * left. A flag said "takes nothing new", set by a sweep at half of the grace.
 * Proved by two traces: sent 46 and 38 ms after half of the grace, before the
 * sweep, and cut at its end; half of the grace is shorter than many runs. A
 * third was cut at the end itself: its server, believed to have a free slot,
 * had kept it queued for 2 s and counted its time from the start of the run. */
#include "unit/steering_cases.h"

#include <criterion/criterion.h>

#define MS      1000
#define RUN_MS  200  /* of every request here */
#define STOP_MS 5400 /* from the signal to the end */
#define LEFT_MS 8000 /* what callers give, more than the stop does */
#define TEACH   80   /* runs, until the core knows what one takes */

/* The ways by which a request comes to a server. */
typedef enum {
    BY_ARRIVAL,
    BY_A_SLOT,        /* it has waited for one */
    BY_A_REFUSAL,     /* the first server did not run it */
    BY_NO_CONNECTION, /* the first server was not reached */
    BY_A_LOST_ANSWER  /* the first server may have run it */
} Way;

typedef struct {
    const char *what;
    Way way;
    const char *path;
    int64_t before_ms; /* the end, when it could be sent */
    bool sent;
    uint16_t status; /* of the refusal */
} Row;

static void
run_once(FakeSteering *f, const char *path, const char *key)
{
    FakeRequest *req = FakeSteering_Arrive(f, path, key, LEFT_MS);

    FakeSteering_Pass(f, RUN_MS * MS);
    FakeSteering_End(f, req, GW_ATTEMPT_ANSWERED, 200);
}

static FakeSteering *
start(void)
{
    FakeSteering *f = Steering_Start(2);

    FakeSteering_Put(f, "a", "r1", "d1", 1);
    FakeSteering_Put(f, "b", "r1", "d1", 1);
    for (int i = 0; i < TEACH; i++) {
        run_once(f, i % 2 == 0 ? "/once/" : "/again/", NULL);
    }
    return f;
}

static void
pass_until(FakeSteering *f, int64_t before_ms)
{
    FakeSteering_Pass(f, f->end_us - before_ms * MS - f->now_us);
}

/* Fills all slots, also those that are sent ahead; `held` takes the requests.
 * Gives their number. */
static uint32_t
fill(FakeSteering *f, FakeRequest **held, uint32_t most)
{
    uint32_t count = 0;

    while (count < most) {
        FakeRequest *req = FakeSteering_Arrive(f, "/once/", NULL, LEFT_MS);
        if (req->server == NULL) {
            FakeSteering_Leave(f, req);
            break;
        }
        held[count++] = req;
    }
    return count;
}

static FakeRequest *
come_to_a_server(FakeSteering *f, const Row *row)
{
    static const GwAttemptOutcome outcomes[] = {
        [BY_A_REFUSAL] = GW_ATTEMPT_REFUSED,
        [BY_NO_CONNECTION] = GW_ATTEMPT_UNSENT,
        [BY_A_LOST_ANSWER] = GW_ATTEMPT_BROKEN,
    };
    FakeRequest *held[16];
    FakeRequest *req;

    switch (row->way) {
    case BY_ARRIVAL:
        pass_until(f, row->before_ms);
        return FakeSteering_Arrive(f, row->path, NULL, LEFT_MS);
    case BY_A_SLOT:
        pass_until(f, row->before_ms + 100);
        for (uint32_t i = fill(f, held, G_N_ELEMENTS(held)); i > 0; i--) {
            FakeSteering_Leave(f, held[i - 1]);
        }
        (void)fill(f, held, G_N_ELEMENTS(held));
        req = FakeSteering_Arrive(f, row->path, NULL, LEFT_MS);
        pass_until(f, row->before_ms);
        FakeSteering_End(f, held[0], GW_ATTEMPT_ANSWERED, 200);
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
        FakeSteering_End(f, req, outcomes[row->way], 503);
    }
    return req;
}

Test(router_stop, what_can_not_end_in_the_stop_is_refused)
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
        FakeRequest *req = come_to_a_server(f, row);
        cr_expect_eq(req->server != NULL, row->sent, "%s", row->what);
        if (row->sent) {
            FakeSteering_Pass(f, RUN_MS * MS);
            cr_expect_leq(f->now_us, f->end_us, "%s", row->what);
            FakeSteering_End(f, req, GW_ATTEMPT_ANSWERED, 200);
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

/* What waits when the signal comes is not kept until it is too late: those
 * whose turn would come too late go to other entries at once. */
Test(router_stop, those_that_wait_too_long_are_refused_at_once)
{
    FakeSteering *f = start();
    FakeRequest *held[16];
    FakeRequest *waits;

    (void)fill(f, held, G_N_ELEMENTS(held));
    waits = FakeSteering_Arrive(f, "/once/", NULL, LEFT_MS);
    cr_assert_not(waits->over);
    FakeSteering_Stop(f, (RUN_MS + RUN_MS / 2) * MS);
    cr_expect(waits->over);
    cr_expect_eq(waits->status, 503);
    Steering_Finish(f);
}

/* An entry that has just started is stopped again: it has seen no run of the
 * route, or one that was far longer than the mean. What it takes such work to
 * need by its objective may be far too little. */
Test(router_stop, what_may_take_long_is_refused)
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
        FakeSteering_Put(f, "a", "r1", "d1", 1);
        if (cases[i].long_run_ms > 0) {
            FakeRequest *req = FakeSteering_Arrive(f, "/once/", NULL, LEFT_MS);
            FakeSteering_Pass(f, cases[i].long_run_ms * MS);
            FakeSteering_End(f, req, GW_ATTEMPT_ANSWERED, 200);
        }
        FakeSteering_Stop(f, STOP_MS * MS);
        pass_until(f, 1700);
        FakeRequest *req = FakeSteering_Arrive(f, "/once/", NULL, LEFT_MS);
        cr_expect_eq(req->server != NULL, cases[i].sent, "%s", cases[i].what);
        Steering_Finish(f);
    }
}

/* What was under way when the signal came goes on with all of its time: it was
 * taken before anybody knew. */
Test(router_stop, what_was_under_way_goes_on)
{
    FakeSteering *f = start();
    FakeRequest *req = FakeSteering_Arrive(f, "/once/", NULL, LEFT_MS);

    FakeSteering_Stop(f, STOP_MS * MS);
    FakeSteering_Pass(f, RUN_MS * MS);
    cr_expect_not(req->over);
    FakeSteering_End(f, req, GW_ATTEMPT_ANSWERED, 200);
    cr_expect(req->over);
    cr_expect_eq(req->status, 0);
    Steering_Finish(f);
}

/* A server fails one that may be repeated, too late for a second server: its
 * own answer is passed on, and not one of ours in its place. */
Test(router_stop, a_failure_that_can_not_be_repeated_in_time_is_passed_on)
{
    FakeSteering *f = start();

    FakeSteering_Stop(f, STOP_MS * MS);
    pass_until(f, 900);
    FakeRequest *req = FakeSteering_Arrive(f, "/again/", NULL, LEFT_MS);
    FakeSteering_Pass(f, RUN_MS * MS);
    FakeSteering_End(f, req, GW_ATTEMPT_ANSWERED, 500);
    cr_expect(req->over);
    cr_expect_eq(req->status, 0, "%u", req->status);
    Steering_Finish(f);
}

/* The place of the object is busy until it is too late, and another server is
 * idle: that one takes the request. */
Test(router_stop, another_server_that_could_end_it_in_time_is_used)
{
    FakeSteering *f = start();

    FakeSteering_Drop(f, "b");
    run_once(f, "/once/", "k");
    FakeSteering_Put(f, "b", "r1", "d1", 1);
    FakeSteering_Pass(f, 2000 * MS);
    FakeSteering_Stop(f, STOP_MS * MS);
    pass_until(f, 900);
    FakeRequest *ahead = Steering_FillAhead(f, "/once/", "k");
    cr_assert_str_eq(ahead->server_id, "a");
    FakeRequest *req = FakeSteering_Arrive(f, "/once/", "k", LEFT_MS);
    cr_expect_str_eq(req->server_id, "b", "refused with %u", req->status);
    Steering_Finish(f);
}

/* The same where the only other server is too far away for the time that is
 * left. */
Test(router_stop, a_failure_is_not_given_up_for_a_server_too_late)
{
    FakeSteering *f = start();

    FakeSteering_Drop(f, "b");
    FakeSteering_Put(f, "far", "r2", "d3", 2);
    FakeSteering_Stop(f, STOP_MS * MS);
    pass_until(f, 1150);
    FakeRequest *req = FakeSteering_Arrive(f, "/again/", NULL, LEFT_MS);
    cr_assert_str_eq(req->server_id, "a");
    FakeSteering_Pass(f, RUN_MS * MS);
    FakeSteering_End(f, req, GW_ATTEMPT_ANSWERED, 500);
    cr_expect(req->over);
    cr_expect_eq(req->status, 0, "%u", req->status);
    Steering_Finish(f);
}

/* Guards against: a request is sent to ask after a server's limit though the
 * stop ends before its run. */
Test(router_stop, no_limit_is_asked_after_with_what_can_not_end)
{
    FakeSteering *f = Steering_Start(1);
    GwLimit limit = {.per_s = 6};

    FakeSteering_Put(f, "a", "r1", "d1", 4);
    FakeSteering_Pass(f, 3 * FAKE_US_PER_S);
    for (int i = 0; i < 20; i++) {
        FakeRequest *req = FakeSteering_Arrive(f, "/once/", NULL, 3000);
        cr_assert_not_null(req->server);
        limit.server = GwServer_Hash(req->server);
        FakeSteering_Pass(f, FAKE_US_PER_S / 2);
        FakeSteering_End(f, req, GW_ATTEMPT_ANSWERED, 200);
    }
    GwRouter_PutLimit(f->router, f->now_us, &limit);
    FakeRequest *first = FakeSteering_Arrive(f, "/once/", NULL, 10);
    FakeSteering_Pass(f, 3 * FAKE_US_PER_S);
    cr_assert(first->over);
    FakeSteering_Stop(f, FAKE_US_PER_S / 2);
    FakeRequest *req = FakeSteering_Arrive(f, "/once/", NULL, 3000);
    cr_expect_null(req->server);
    cr_expect_eq(req->status, 503);
    Steering_Finish(f);
}
