/* Simulated clusters of both sites' sizes, for the benchmarks. The service
 * time of a call depends on seed and key only. */
#ifndef BENCH_SITES_H
#define BENCH_SITES_H

#include "fakes/cluster.h"
#include "steer/steer.h"

#define REGIONS      3
#define NODES        9
#define SERVICES     2
#define WORK_US      40000
#define WORK_MEAN_US 42400 /* mean of work_of() with its tail */
#define DEADLINE_US  (2 * FAKE_SEC)

typedef struct {
    const char *name;
    FakeServiceSize sizes[SERVICES];
    uint32_t lookup_permille[SERVICES];
    uint32_t cap;
    int64_t domain_delay_us;
    int64_t region_delay_us;
} Site;

static const Site sites[] = {
    {.name = "hen-viec",
     .sizes = {{.backends = 25, .slots = 3}, {.backends = 10, .slots = 3}},
     .lookup_permille = {643, 500},
     .cap = 12,
     .domain_delay_us = 1500,
     .region_delay_us = 55000},
    {.name = "dyehouse",
     .sizes = {{.backends = 35, .slots = 6}, {.backends = 10, .slots = 3}},
     .lookup_permille = {643, 500},
     .cap = 24,
     .domain_delay_us = 1000,
     .region_delay_us = 20000},
};

static uint64_t work_seed;

/* Returns the service time of a call in us: uniform in [0.5, 1.5] * WORK_US,
 * and 4 times that for 1 call in 50. */
static inline int64_t
work_of(uint64_t key)
{
    GwRng rng = GwRng_Make(work_seed * 1000003 + key);
    int64_t work_us = GwRng_Jitter(&rng, WORK_US / 2, WORK_US);

    return GwRng_Below(&rng, 50) == 0 ? work_us * 4 : work_us;
}

static inline FakeCluster *
make_cluster(const Site *site, GwPolicyKind policy, uint64_t seed)
{
    char *text =
        FakeConfig_Sized(REGIONS, SERVICES, site->sizes, site->cap, 24);
    FakeClusterParams params = {.seed = seed,
                                .node_count = NODES,
                                .region_count = REGIONS,
                                .domains_per_region = 2,
                                .config_text = text,
                                .domain_delay_us = site->domain_delay_us,
                                .region_delay_us = site->region_delay_us,
                                .service_time_us = WORK_US,
                                .work_us = work_of,
                                .policy = policy};
    FakeCluster *c = FakeCluster_Create(&params);

    g_free(text);
    return c;
}

#endif
