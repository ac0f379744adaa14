/* CPU time and allocations of one decision (GwSteer_Pick and GwSteer_Done) by
 * number of servers, entries and places (a service in a region). Only the
 * slope compares between machines. */
#include "entry/node_internal.h"
#include "fakes/cluster.h"

#include <stdio.h>
#include <time.h>

#define ROUNDS  200000u
#define WARM_US (20 * FAKE_SEC)

/* Interposes the allocation functions of the C library to count calls. */
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
make_decisions(GwNode *node, int64_t now_us, uint32_t rounds, uint32_t *picked)
{
    GwAttemptEvent result = {.outcome = GW_OUTCOME_ANSWERED};
    GwPickRequest request = {.idempotent = true,
                             .deadline_us = now_us + 2 * FAKE_SEC};

    for (uint32_t i = 0; i < rounds; i++) {
        GwPick pick;
        GwSteer_Pick(node->steer, now_us, &request, node->members, node->seats,
                     &pick);
        *picked += pick.kind == GW_PICK_BACKEND;
        GwSteer_Done(node->steer, now_us, pick.use, &result, now_us);
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
    make_decisions(node, c->now_us, 1000, &picked);
    picked = 0;
    uint64_t before = allocations;
    double start_ns = cpu_ns();
    make_decisions(node, c->now_us, ROUNDS, &picked);
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
    bool is_complete = true;

    for (uint32_t policy = 0; policy <= GW_POLICY_SUBSET; policy++) {
        for (uint32_t i = 0; i < G_N_ELEMENTS(servers); i++) {
            is_complete &= measure(policy, servers[i], 9, 3, 2);
        }
    }
    for (uint32_t i = 0; i < G_N_ELEMENTS(entries); i++) {
        is_complete &= measure(GW_POLICY_SLOTS, 12, entries[i], 3, 2);
    }
    for (uint32_t regions = 1; regions <= 8; regions *= 2) {
        is_complete &= measure(GW_POLICY_SLOTS, 12, 3 * regions, regions, 4);
    }
    return is_complete ? 0 : 1;
}
