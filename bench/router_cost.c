/* What one request costs the steering core, and what one report costs on the
 * wire, by number of backend servers, objects and entries. Times are CPU time
 * of this machine; the slope is the figure. Prints rows for CAPACITY.md. */
#include "fakes/steering.h"

#include <malloc.h>
#include <stdio.h>
#include <time.h>

#define OBJECTS 2000
#define ROUNDS  20000

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
        FakeSteering_Put(f, id, regions[i % 4], domains[i % 4], 4);
    }
}

/* One request that is answered at once; `spread` objects in turn. */
static void
run(FakeSteering *f, uint32_t rounds, uint32_t spread)
{
    char key[16];

    for (uint32_t i = 0; i < rounds; i++) {
        g_snprintf(key, sizeof(key), "%u", i % spread);
        FakeRequest *req = FakeSteering_Arrive(f, "/again/", key, 3000);
        f->now_us += 1000;
        FakeSteering_End(f, req, GW_ATTEMPT_ANSWERED, 200);
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

int
main(void)
{
    static const uint32_t sizes[] = {24, 100, 300, 600, 1000};

    printf("| servers of the service | first request of an object, us | "
           "warm one, us | bytes a server | bytes an object |\n"
           "|---|---|---|---|---|\n");
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        measure(sizes[i]);
    }
    return 0;
}
