/* Cost of placing requests, in server evaluations. */
#include "unit/steering_cases.h"

#include <criterion/criterion.h>

/* An entry with a tenth of a core gets this many requests per second, and may
 * spend at most half of its processor time on placing them: 50 ms per second.
 * An evaluation takes 20 ns (bench_router_cost), which bounds the evaluations
 * per second. */
#define REQUESTS_PER_S 250
#define LOOKS_PER_S    2500000
#define SLOTS          4
/* Long, so that many requests wait. */
#define OBJECTIVE_MS 4000
#define LEFT_MS      10000
#define SECONDS      2

static const char *const regions[] = {"r1", "r2", "r3"};

static void
put_servers(FakeSteering *f, uint32_t count)
{
    char id[16];

    for (uint32_t i = 0; i < count; i++) {
        g_snprintf(id, sizeof(id), "s%u", i);
        FakeSteering_PutServer(f, id, regions[i % 3], "d1", SLOTS);
    }
}

static FakeSteering *
start(void)
{
    FakeSteering *f = FakeSteering_Create("r1", "d1");
    GwRouting *routing = FakeSteering_Routing(1, 2);

    for (uint32_t i = 0; i < routing->hosts[0].route_count; i++) {
        routing->hosts[0].routes[i].objective_ms = OBJECTIVE_MS;
        routing->hosts[0].routes[i].timeout_ms = LEFT_MS;
    }
    (void)GwRouter_SetRouting(f->router, routing);
    GwRouting_Unref(routing);
    return f;
}

static void
add_waiting(void *ctx, const GwServiceView *view)
{
    *(uint32_t *)ctx = view->waiting;
}

static uint32_t
count_waiting(const FakeSteering *f)
{
    uint32_t waiting = 0;

    GwRouter_EachService(f->router, f->now_us, add_waiting, &waiting);
    return waiting;
}

/* Adds requests until at most this many wait. */
static void
fill(FakeSteering *f, uint32_t waiting, bool keyed)
{
    char key[16];

    for (uint32_t i = 0; i < 20000 && count_waiting(f) < waiting; i++) {
        g_snprintf(key, sizeof(key), "%u", i % 500);
        (void)FakeSteering_Arrive(f, "/again/", keyed ? key : NULL, LEFT_MS);
    }
}

/* Ends the oldest request that was sent to a server. */
static void
end_oldest(FakeSteering *f, uint32_t *oldest)
{
    while (((FakeRequest *)f->requests->pdata[*oldest])->server == NULL) {
        (*oldest)++;
    }
    FakeSteering_EndAttempt(f, f->requests->pdata[*oldest],
                            GW_ATTEMPT_ANSWERED, 200);
}

/* Servers are full and requests wait at an entry with a small part of a core.
 * Each arrival, end and timer evaluated all waiting requests against all
 * servers: the longer the queue, the further the entry fell behind, until it
 * read nothing for seconds and callers disconnected. The cost must be bounded
 * whatever the queue and the service's size. */
Test(router_work, evaluations_of_waiting_requests_are_bounded)
{
    static const struct {
        uint32_t servers;
        uint32_t waiting;
        bool keyed;
    } cases[] = {{24, 10, false},   {24, 10, true},     {500, 10, false},
                 {500, 100, false}, {500, 100, true},   {500, 300, false},
                 {500, 300, true},  {1000, 300, false}, {500, 900, true},
                 {500, 900, false}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        FakeSteering *f = start();
        char key[16];
        uint32_t oldest = 0;
        uint32_t held = 0;

        put_servers(f, cases[i].servers);
        fill(f, cases[i].waiting, cases[i].keyed);
        uint64_t before = GwRouter_EvaluationCount(f->router);
        for (uint32_t k = 0; k < SECONDS * REQUESTS_PER_S; k++) {
            end_oldest(f, &oldest);
            g_snprintf(key, sizeof(key), "%u", k % 500);
            (void)FakeSteering_Arrive(f, "/again/",
                                      cases[i].keyed ? key : NULL, LEFT_MS);
            FakeSteering_Advance(f, FAKE_US_PER_S / REQUESTS_PER_S);
            held += count_waiting(f);
        }
        uint64_t looks =
            (GwRouter_EvaluationCount(f->router) - before) / SECONDS;
        cr_expect_leq(looks, LOOKS_PER_S,
                      "case %zu: %lu looks a second, %u "
                      "wait",
                      i, (unsigned long)looks,
                      held / (SECONDS * REQUESTS_PER_S));
        Steering_Finish(f);
    }
}
