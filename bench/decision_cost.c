/* What one decision costs: GwSteer_Pick and GwSteer_Done of one entry, by
 * number of servers, entries and places, and the allocations they make. The
 * times are of this machine and of CPU time; the slope is the figure. */
#include "entry/node_internal.h"
#include "fakes/cluster.h"

#include <stdio.h>
#include <time.h>

#define ROUNDS  200000u
#define WARM_US (20 * FAKE_SEC)

/* Counts allocations by standing before the C library's. */
extern void *__libc_malloc(size_t size);
extern void *__libc_realloc(void *old, size_t size);
extern void *__libc_calloc(size_t count, size_t size);

static uint64_t allocations;

void *
malloc(size_t size)
{
    allocations++;
    return __libc_malloc(size);
}

void *
realloc(void *old, size_t size)
{
    allocations++;
    return __libc_realloc(old, size);
}

void *
calloc(size_t count, size_t size)
{
    allocations++;
    return __libc_calloc(count, size);
}

static double
cpu_ns(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
    return (double)ts.tv_sec * 1e9 + (double)ts.tv_nsec;
}

static void
decide(GwNode *node, int64_t now_us, uint32_t rounds, uint32_t *picked)
{
    GwAttemptEvent end = {.outcome = GW_OUTCOME_ANSWERED};
    GwPickRequest ask = {.idempotent = true,
                         .deadline_us = now_us + 2 * FAKE_SEC};

    for (uint32_t i = 0; i < rounds; i++) {
        GwPick pick;
        GwSteer_Pick(node->steer, now_us, &ask, node->members, node->seats,
                     &pick);
        *picked += pick.kind == GW_PICK_BACKEND;
        GwSteer_Done(node->steer, now_us, pick.use, &end, now_us);
    }
}

static bool
measure(uint32_t policy, uint32_t servers, uint32_t entries, uint32_t regions,
        uint32_t services)
{
    char *text = FakeConfig_Text(regions, services, servers, 3, 4, 64);
    FakeClusterParams params = {.seed = 1,
                                .node_count = entries,
                                .region_count = regions,
                                .domains_per_region = 2,
                                .config_text = text,
                                .domain_delay_us = 1500,
                                .region_delay_us = 55000,
                                .service_time_us = 40000,
                                .policy = policy};
    FakeCluster *c = FakeCluster_Create(&params);
    uint32_t picked = 0;

    FakeCluster_Run(c, WARM_US);
    GwNode *node = c->nodes[0].node;
    decide(node, c->now_us, 1000, &picked);
    picked = 0;
    uint64_t before = allocations;
    double start_ns = cpu_ns();
    decide(node, c->now_us, ROUNDS, &picked);
    double spent_ns = cpu_ns() - start_ns;
    printf("cost policy=%u servers=%u entries=%u places=%u picked=%u "
           "pick_done_ns=%.0f allocations=%lu\n",
           policy, servers, entries, regions * services, picked,
           spent_ns / ROUNDS, (unsigned long)(allocations - before));
    FakeCluster_Free(c);
    g_free(text);
    return picked == ROUNDS;
}

int
main(void)
{
    static const uint32_t servers[] = {3, 9, 12, 35, 100, 300};
    static const uint32_t entries[] = {3, 9, 30, 60};
    bool good = true;

    for (uint32_t policy = 0; policy <= GW_POLICY_SUBSET; policy++) {
        for (uint32_t i = 0; i < G_N_ELEMENTS(servers); i++) {
            good &= measure(policy, servers[i], 9, 3, 2);
        }
    }
    for (uint32_t i = 0; i < G_N_ELEMENTS(entries); i++) {
        good &= measure(GW_POLICY_SLOTS, 12, entries[i], 3, 2);
    }
    for (uint32_t regions = 1; regions <= 8; regions *= 2) {
        good &= measure(GW_POLICY_SLOTS, 12, 3 * regions, regions, 4);
    }
    return good ? 0 : 1;
}
