/* Simulates entries with the real steering core in virtual time, without a
 * network (tests/fakes/fleet.h), under several load shapes. A hundred runs
 * take about ten seconds on eight cores.
 * usage: bench_policies [SEEDS]     one line per shape, then the mean
 *
 * Not simulated: faults of servers and links, prices, worst seconds and worst
 * failure domains. If the users' benchmark gives a different result for a
 * change, that one decides (docs/STEERING.md has examples). */
#include "fakes/fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/wait.h>
#include <unistd.h>

#define SEEDS 3
#define JOBS  6
/* Age of load reports: aggregated in large fleets, sent from each entry to
 * each in small ones. */
#define AGGREGATED_LAG_MS 75
#define DIRECT_LAG_MS     50

typedef struct {
    const char *name;
    uint32_t entries;
    double burst;
    bool urgent;  /* short urgent requests share slots with long ones */
    double scale; /* factor of the service time */
} Shape;

static const Shape shapes[] = {
    {"calm, 70", 70, 1, false, 1},
    {"calm, 12", 12, 1, false, 1},
    {"burst of 1.3, 70", 70, 1.3, false, 1},
    {"burst of 1.3, 12", 12, 1.3, false, 1},
    {"burst of 2.5, 70", 70, 2.5, false, 1},
    {"burst of 2.5, 12", 12, 2.5, false, 1},
    {"urgent behind long, 70", 70, 1, true, 1},
    {"urgent behind long, 12", 12, 1, true, 1},
    {"the same, burst of 2.5, 70", 70, 2.5, true, 1},
    {"the same, burst of 2.5, 12", 12, 2.5, true, 1},
    {"work four times as long, 12", 12, 1.3, false, 4},
    {"a quarter as long, 12", 12, 1.3, false, 0.25},
};

#define SHAPES (sizeof(shapes) / sizeof(shapes[0]))

typedef struct {
    double worth;
    double first;  /* worth of the first two seconds: all objects cold */
    double calm;   /* worth of six seconds before the burst */
    double within; /* answers in time during the burst, relative to before */
    double after;  /* the same from four seconds after the burst */
    double moved;  /* largest change in 2 s of a region's cross-region share */
} Result;

static void
set_kinds(FleetParams *p, const Shape *shape, double size)
{
    p->kind_count = 1;
    p->kinds[0] = (FleetKind){
        .name = "/view/",
        .service = "s",
        .per_s = 1144 * size,
        .work_ms = 528,
        .objective_ms = 300,
        .left_ms = 2000,
        .priority = 1,
        .objects = (uint32_t)(265 * size),
        .worth = 1,
        .idempotent = true,
    };
    if (!shape->urgent) {
        return;
    }
    p->kind_count = 2;
    p->kinds[0] = (FleetKind){
        .name = "/times/",
        .service = "s",
        .per_s = 473 * size,
        .work_ms = 1296,
        .objective_ms = 800,
        .left_ms = 5000,
        .priority = 2,
        .objects = (uint32_t)(91 * size),
        .worth = 1,
        .idempotent = true,
    };
    p->kinds[1] = (FleetKind){
        .name = "/proof/",
        .service = "s",
        .per_s = 293 * size,
        .work_ms = 211,
        .objective_ms = 150,
        .left_ms = 800,
        .priority = 1,
        .objects = (uint32_t)(56 * size),
        .worth = 2,
        .idempotent = true,
    };
}

/* Three regions; the second has about a fifth of the servers of the others. */
static FleetParams
make_params(const Shape *shape, uint64_t seed)
{
    double size = shape->entries / 70.0;
    FleetParams p = {
        .regions = 3,
        .entries = shape->entries,
        .service_count = 1,
        .services = {{.name = "s",
                      .servers = {(uint32_t)(60 * size),
                                  (uint32_t)(12 * size + 0.5),
                                  (uint32_t)(50 * size)},
                      .slots = 3,
                      .keeps = 15}},
        .far_ms = 20,
        .report_ms = 50,
        .lag_ms = shape->entries > 15 ? AGGREGATED_LAG_MS : DIRECT_LAG_MS,
        .burst = shape->burst,
        .burst_from_s = 14,
        .burst_to_s = 20,
        .seconds = 28,
        .scale = shape->scale,
        .seed = seed,
    };

    set_kinds(&p, shape, size);
    return p;
}

static double
in_time(const FleetReport *r, uint32_t from, uint32_t to)
{
    double sum = 0;

    for (uint32_t w = from; w < to; w++) {
        sum += r->windows[w].in_time;
    }
    return sum / (to - from);
}

static Result
run_shape(const Shape *shape, uint64_t seed)
{
    FleetParams p = make_params(shape, seed);
    FleetReport r = Fleet_Run(&p);
    double before = in_time(&r, 3, 7);
    Result result = {
        .worth = r.worth,
        .first = r.windows[0].worth,
        .calm =
            (r.windows[4].worth + r.windows[5].worth + r.windows[6].worth) / 3,
        .within = in_time(&r, 7, 10) / before,
        .after = in_time(&r, 12, 14) / before,
    };

    for (uint32_t g = 0; g < p.regions; g++) {
        for (uint32_t w = 1; w < r.window_count; w++) {
            double change =
                r.cross_region_share[g][w] - r.cross_region_share[g][w - 1];
            result.moved = MAX(result.moved, ABS(change));
        }
    }
    return result;
}

static void
run_all(Result *results, uint32_t seeds)
{
    uint32_t running = 0;

    for (uint32_t i = 0; i < SHAPES * seeds; i++) {
        if (running == JOBS) {
            (void)wait(NULL);
            running--;
        }
        if (fork() == 0) {
            results[i] = run_shape(&shapes[i / seeds], i % seeds + 1);
            _exit(0);
        }
        running++;
    }
    while (wait(NULL) > 0) {
    }
}

int
main(int argc, char **argv)
{
    uint32_t seeds = argc > 1 ? (uint32_t)MAX(atoi(argv[1]), 1) : SEEDS;
    Result *results =
        mmap(NULL, sizeof(Result) * SHAPES * seeds, PROT_READ | PROT_WRITE,
             MAP_SHARED | MAP_ANONYMOUS, -1, 0);
    double total = 0;

    if (results == MAP_FAILED) {
        perror("mmap");
        return 1;
    }
    run_all(results, seeds);
    for (uint32_t i = 0; i < SHAPES; i++) {
        Result sum = {0};
        for (uint32_t s = 0; s < seeds; s++) {
            const Result *one = &results[i * seeds + s];
            sum.worth += one->worth / seeds;
            sum.first += one->first / seeds;
            sum.calm += one->calm / seeds;
            sum.within += one->within / seeds;
            sum.after += one->after / seeds;
            sum.moved = MAX(sum.moved, one->moved);
        }
        printf("%-28s worth %.4f first %.3f calm %.3f within %.2f after %.2f "
               "moved %.2f\n",
               shapes[i].name, sum.worth, sum.first, sum.calm, sum.within,
               sum.after, sum.moved);
        total += sum.worth / SHAPES;
    }
    printf("mean worth %.4f\n", total);
    return 0;
}
