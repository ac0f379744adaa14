/* Duration of a drain in virtual time: time until idle and the longest request
 * in flight at its start, aborted calls, and work started after the drain.
 * Results are deterministic.
 *
 * A server announces its drain in answers and at its health endpoint, a place
 * (a service in a region) drains by a configuration change, an entry by a
 * graceful stop. */
#include "sites.h"

#include <stdio.h>

#define LOAD_FROM_US (5 * FAKE_SEC)
#define DRAIN_US     (14 * FAKE_SEC)
#define LOAD_END_US  (22 * FAKE_SEC)
#define END_US       (60 * FAKE_SEC)
#define LOAD_PERCENT 80

typedef enum { SERVER, PLACE, ENTRY, KIND_COUNT } Kind;

static const char *const kind_names[] = {"server", "place", "entry"};

typedef struct {
    const Site *site;
    Kind kind;
    FakeCluster *c;
    GwRng rng;
    bool is_draining;
    int64_t longest_us; /* longest remaining work at the start of the drain */
    int64_t idle_us;    /* from the start of the drain until idle */
} Drain;

/* Whether a server drains: server 0, or all of the first service in region 0;
 * none if node 0 stops. */
static bool
is_drained(const Drain *d, uint32_t backend)
{
    const FakeBackend *b = FakeCluster_Backend(d->c, backend);

    switch (d->kind) {
    case SERVER:
        return backend == 0;
    case PLACE:
        return b->region == 0 && backend < d->site->sizes[0].backends;
    default:
        return false;
    }
}

static int64_t
busy_until_us(const Drain *d)
{
    int64_t until_us = 0;

    for (uint32_t i = 0; i < d->c->backends->len; i++) {
        if (is_drained(d, i)) {
            const FakeBackend *b = FakeCluster_Backend(d->c, i);
            until_us = MAX(until_us, b->busy_until_us);
        }
    }
    return until_us;
}

/* The longest service time among the open calls of node 0. */
static int64_t
longest_open_us(const Drain *d)
{
    int64_t longest_us = 0;

    for (uint32_t i = 0; i < d->c->calls->len; i++) {
        const FakeCallerCall *call = FakeCluster_CallAt(d->c, i);
        if (call->node == 0 && !call->done) {
            longest_us = MAX(longest_us, work_of(call->key));
        }
    }
    return longest_us;
}

static void
start_drain(Drain *d)
{
    FakeBackend *b = FakeCluster_Backend(d->c, 0);
    FakeServiceSize sizes[SERVICES];

    d->is_draining = true;
    d->longest_us = d->kind == ENTRY ? longest_open_us(d)
                                     : busy_until_us(d) - d->c->now_us;
    switch (d->kind) {
    case SERVER:
        b->draining = true;
        b->draining_since_us = d->c->now_us;
        break;
    case PLACE: {
        for (uint32_t s = 0; s < SERVICES; s++) {
            sizes[s] = d->site->sizes[s];
        }
        sizes[0].drain_place = 1;
        char *text =
            FakeConfig_Sized(REGIONS, SERVICES, sizes, d->site->cap, 24);
        FakeCluster_Change(d->c, text, 0);
        g_free(text);
        break;
    }
    default:
        FakeCluster_Stop(d->c, 0);
    }
}

/* Arrivals are spread evenly over entries, and over services by their slots.
 * Callers do not use an entry after its graceful stop began. */
static void
run_workload(Drain *d)
{
    uint32_t slots[SERVICES];
    uint32_t total = 0;

    for (uint32_t s = 0; s < SERVICES; s++) {
        slots[s] = d->site->sizes[s].backends * d->site->sizes[s].slots;
        total += slots[s];
    }
    int64_t gap_us = (int64_t)WORK_MEAN_US * 100 / (total * LOAD_PERCENT);
    for (int64_t at = LOAD_FROM_US; at < LOAD_END_US; at += gap_us) {
        uint32_t node = GwRng_Below(&d->rng, NODES);
        uint32_t s = GwRng_Below(&d->rng, total) < slots[0] ? 0 : 1;
        if (!d->is_draining && at >= DRAIN_US) {
            FakeCluster_Run(d->c, DRAIN_US);
            start_drain(d);
        }
        FakeCluster_Run(d->c, at);
        if (d->c->nodes[0].stopped && d->idle_us == 0) {
            d->idle_us = at - DRAIN_US;
        }
        if (d->is_draining && d->kind == ENTRY && node == 0) {
            node = REGIONS;
        }
        FakeCluster_Call(d->c, node, s == 0 ? "s0" : "s1",
                         GwRng_Below(&d->rng, 10) < 6, NULL, 0,
                         at + DEADLINE_US);
    }
    FakeCluster_Run(d->c, END_US);
}

static void
run(const Site *site, Kind kind, uint64_t seed)
{
    work_seed = seed;
    Drain d = {.site = site, .kind = kind, .rng = GwRng_Make(seed)};

    d.c = make_cluster(site, GW_POLICY_SLOTS, seed);
    run_workload(&d);
    if (kind != ENTRY) {
        d.idle_us = busy_until_us(&d) - DRAIN_US;
    }
    FakeCallsReport j = FakeCluster_CheckCalls(d.c);
    printf("drain site=%s kind=%s seed=%u idle_ms=%.1f longest_ms=%.1f "
           "cut_off=%u late_ms=%u unfinished=%u false_refusals=%u "
           "doubled=%u over_slots=%u\n",
           site->name, kind_names[kind], (uint32_t)seed,
           (double)d.idle_us / 1e3, (double)d.longest_us / 1e3, j.cut_off,
           j.late_ms, j.unfinished, j.false_refusals, j.doubled, j.over_slots);
    FakeCluster_Free(d.c);
}

int
main(void)
{
    for (uint32_t s = 0; s < G_N_ELEMENTS(sites); s++) {
        for (uint32_t kind = 0; kind < KIND_COUNT; kind++) {
            for (uint64_t seed = 1; seed <= 3; seed++) {
                run(&sites[s], (Kind)kind, seed);
            }
        }
    }
    return 0;
}
