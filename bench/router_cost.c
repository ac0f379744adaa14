/* CPU time of the steering core per request, and memory per server and object,
 * by number of backend servers and of waiting requests. Only the slope
 * compares between machines. Prints the rows of docs/CAPACITY.md. */
#include "fakes/steering.h"

#include <malloc.h>
#include <stdio.h>
#include <time.h>

#define OBJECTS    2000
#define ROUNDS     20000
#define WAIT_PER_S 250
#define LEFT_MS    10000

static double
cpu_us(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
    return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

static void
put_servers(FakeSteering *f, uint32_t count)
{
    static const char *const regions[] = {"r1", "r2", "r3", "r4"};
    static const char *const domains[] = {"d1", "d2", "d3", "d4"};
    char id[16];

    for (uint32_t i = 0; i < count; i++) {
        g_snprintf(id, sizeof(id), "s%u", i);
        FakeSteering_PutServer(f, id, regions[i % 4], domains[i % 4], 4);
    }
}

/* Sends requests that are answered at once, for `objects` objects in turn. */
static void
run(FakeSteering *f, uint32_t rounds, uint32_t objects)
{
    char key[16];

    for (uint32_t i = 0; i < rounds; i++) {
        g_snprintf(key, sizeof(key), "%u", i % objects);
        FakeRequest *req = FakeSteering_Arrive(f, "/again/", key, 3000);
        f->now_us += 1000;
        FakeSteering_EndAttempt(f, req, GW_ATTEMPT_ANSWERED, 200);
        g_ptr_array_set_size(f->requests, 0);
    }
}

static void
measure(uint32_t servers)
{
    size_t before = mallinfo2().uordblks;
    FakeSteering *f = FakeSteering_Create("r1", "d1");

    FakeSteering_Configure(f, 1, 2);
    put_servers(f, servers);
    size_t with_servers = mallinfo2().uordblks;
    double start = cpu_us();
    run(f, OBJECTS, OBJECTS);
    double first = (cpu_us() - start) / OBJECTS;
    size_t with_objects = mallinfo2().uordblks;
    start = cpu_us();
    run(f, ROUNDS, OBJECTS);
    double warm = (cpu_us() - start) / ROUNDS;
    printf("| %u | %.2f | %.2f | %.0f | %.0f |\n", servers, first, warm,
           (double)(with_servers - before) / servers,
           (double)(with_objects - with_servers) / OBJECTS);
    FakeSteering_Free(f);
}

static void
add_waiting(void *ctx, const GwServiceView *view)
{
    *(double *)ctx += view->waiting;
}

static double
count_waiting(const FakeSteering *f)
{
    double waiting = 0;

    GwRouter_EachService(f->router, f->now_us, add_waiting, &waiting);
    return waiting;
}

static void
arrive(FakeSteering *f, uint32_t i, bool keyed)
{
    char key[16];

    g_snprintf(key, sizeof(key), "%u", i % OBJECTS);
    (void)FakeSteering_Arrive(f, "/again/", keyed ? key : NULL, LEFT_MS);
}

/* Simulates one second of an entry whose servers are full: requests arrive and
 * end, and some wait. */
static void
measure_waiting(uint32_t servers, uint32_t waiting, bool keyed)
{
    FakeSteering *f = FakeSteering_Create("r1", "d1");
    GwRouting *routing = FakeSteering_Routing(1, 2);
    uint32_t oldest = 0;
    double waiting_sum = 0;

    /* Long time limits, so that many requests can wait. */
    for (uint32_t i = 0; i < routing->hosts[0].route_count; i++) {
        routing->hosts[0].routes[i].objective_ms = LEFT_MS / 2;
        routing->hosts[0].routes[i].timeout_ms = LEFT_MS;
    }
    (void)GwRouter_SetRouting(f->router, routing);
    GwRouting_Unref(routing);
    put_servers(f, servers);
    for (uint32_t i = 0; i < 20000 && count_waiting(f) < waiting; i++) {
        arrive(f, i, keyed);
    }
    uint64_t evaluations_before = GwRouter_EvaluationCount(f->router);
    double start = cpu_us();
    for (uint32_t i = 0; i < WAIT_PER_S; i++) {
        waiting_sum += count_waiting(f);
        while (((FakeRequest *)f->requests->pdata[oldest])->server == NULL) {
            oldest++;
        }
        FakeSteering_EndAttempt(f, f->requests->pdata[oldest],
                                GW_ATTEMPT_ANSWERED, 200);
        arrive(f, i, keyed);
        FakeSteering_Advance(f, FAKE_US_PER_S / WAIT_PER_S);
    }
    double took = cpu_us() - start;
    double evaluations =
        (double)(GwRouter_EvaluationCount(f->router) - evaluations_before);
    printf("| %u | %.0f%s | %.1f | %.2f | %.1f |\n", servers,
           waiting_sum / WAIT_PER_S, keyed ? ", for places" : "", took / 1000,
           evaluations / 1e6, evaluations > 0 ? took * 1000 / evaluations : 0);
    FakeSteering_Free(f);
}

int
main(void)
{
    static const uint32_t sizes[] = {24, 100, 300, 600, 1000};
    static const uint32_t waits[] = {1, 100, 900};

    printf("| servers of the service | first request of an object, us | "
           "warm one, us | bytes a server | bytes an object |\n"
           "|---|---|---|---|---|\n");
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        measure(sizes[i]);
    }
    printf("\n| servers of the service | requests that wait | processor for a "
           "second of %d requests, ms | million evaluations | ns an "
           "evaluation, all "
           "included |\n|---|---|---|---|---|\n",
           WAIT_PER_S);
    for (size_t i = 0; i < G_N_ELEMENTS(waits); i++) {
        measure_waiting(24, waits[i], false);
        measure_waiting(500, waits[i], false);
        measure_waiting(500, waits[i], true);
    }
    return 0;
}
