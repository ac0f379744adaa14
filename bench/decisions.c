/* Simulates decisions under load in virtual time and compares them with an
 * ideal queue that knows all service times.
 *
 * Runs both site sizes with each policy, loads in percent of all slots, and
 * four conditions. Arrivals and service times depend on the seed only, so that
 * all policies and the ideal queue get the same work. Results are
 * deterministic.
 *
 * usage: bench_decisions [--long] [--site N] [--policy N] [--load PERCENT]
 *                        [--condition N] */
#include "entry/node_internal.h"
#include "sites.h"

#include <popt.h>
#include <stdio.h>

#define LOST_REGION    2
#define LOAD_FROM_US   (5 * FAKE_SEC)
#define FAULT_US       (12 * FAKE_SEC)
#define MEASURE_US     (16 * FAKE_SEC)
#define MEASURE_END_US (22 * FAKE_SEC)
#define END_US         (25 * FAKE_SEC)
#define PERMILLE       1000

/* A pool is the servers of one service in one region. */
typedef enum {
    CONDITION_CALM = 0,
    CONDITION_REGION_LOST = 1,   /* a region's servers refuse connections */
    CONDITION_FALSE_REPORTS = 2, /* a server per pool reports load 0 */
    CONDITION_NO_REPORTS = 3,    /* no server reports its load */
    CONDITION_COUNT
} Condition;

static const char *const condition_names[] = {"calm", "region-lost", "lying",
                                              "no-reports"};
static const char *const policy_names[] = {"SLOTS", "TWO", "SUBSET"};

typedef struct {
    const Site *site;
    GwPolicyKind policy;
    uint32_t load_percent;
    Condition condition;
    uint64_t seed;
} Case;

/* One call of the workload. */
typedef struct {
    int64_t at_us;
    uint32_t node;
    uint32_t region;
    uint32_t service;
    bool lookup;
    uint32_t call; /* index in the cluster's calls */
    bool ideal_answered;
    int64_t ideal_us; /* latency in the ideal queue */
} Arrival;

/* Sums over all seeds of a case. */
typedef struct {
    GArray *over;    /* int64_t us: latency minus service time, all calls */
    GArray *lookups; /* int64_t us: latency of look-ups */
    GArray *ideal;   /* int64_t us: their latency in the ideal queue */
    uint32_t sent;
    uint32_t refused;
    uint32_t unknown;
    uint32_t false_refusals;
    uint32_t doubled;
    uint32_t most_percent; /* maximum in flight per slots of a server */
    uint32_t lost_sent;
    uint32_t lost_answered;
    int64_t good_us;
    int64_t slot_us;
    uint64_t samples;
    uint64_t free_slots;
    uint64_t free_while_queued;
    uint64_t slots;
} Stats;

static uint32_t
slot_count(const Site *site, uint32_t service, uint32_t region)
{
    const FakeServiceSize *size = &site->sizes[service];
    uint32_t servers = (size->backends + REGIONS - 1 - region) / REGIONS;

    return servers * size->slots;
}

/* ---- workload ------------------------------------------------------------ */

static gint
by_time(gconstpointer a, gconstpointer b)
{
    int64_t x = ((const Arrival *)a)->at_us;
    int64_t y = ((const Arrival *)b)->at_us;
    return (x > y) - (x < y);
}

/* Approximates the exponential gap between arrivals of a Poisson process by a
 * geometric number of 64ths of the mean and a uniform part. Integers only, so
 * that results do not depend on the logarithm of a C library. */
static int64_t
next_gap_us(GwRng *rng, int64_t mean_us)
{
    int64_t steps = 0;

    while (GwRng_Below(rng, 64) != 0) {
        steps++;
    }
    return steps * mean_us / 64 + GwRng_Below(rng, (uint32_t)mean_us / 32);
}

static void
add_stream(GArray *arrivals, const Case *k, uint32_t service, uint32_t region)
{
    const Site *site = k->site;
    GwRng rng = GwRng_Make(k->seed * 7919 + service * 31 + region);
    int64_t slots = slot_count(site, service, region);
    int64_t mean_us = (int64_t)WORK_MEAN_US * 100 / (slots * k->load_percent);

    for (int64_t at = LOAD_FROM_US + next_gap_us(&rng, mean_us);
         at < MEASURE_END_US; at += next_gap_us(&rng, mean_us)) {
        Arrival a = {.at_us = at,
                     .region = region,
                     .service = service,
                     .node = region + REGIONS * GwRng_Below(&rng, 3),
                     .lookup = GwRng_Below(&rng, PERMILLE) <
                               site->lookup_permille[service]};
        g_array_append_val(arrivals, a);
    }
}

static GArray *
make_arrivals(const Case *k)
{
    GArray *arrivals = g_array_new(FALSE, TRUE, sizeof(Arrival));

    for (uint32_t s = 0; s < SERVICES; s++) {
        for (uint32_t r = 0; r < REGIONS; r++) {
            add_stream(arrivals, k, s, r);
        }
    }
    g_array_sort(arrivals, by_time);
    return arrivals;
}

/* ---- ideal queue --------------------------------------------------------- */

/* Simulates one FIFO queue per region and service over all slots, without
 * network delay. All calls have the same relative deadline, so FIFO order is
 * earliest deadline first. A call that would miss its deadline is not
 * started. */
static void
run_ideal(GArray *arrivals, const Site *site, uint32_t service,
          uint32_t region)
{
    uint32_t slots = slot_count(site, service, region);
    int64_t *slot_free_us = g_new0(int64_t, slots);

    for (guint i = 0; i < arrivals->len; i++) {
        Arrival *a = &g_array_index(arrivals, Arrival, i);
        uint32_t first = 0;
        if (a->service != service || a->region != region) {
            continue;
        }
        for (uint32_t s = 1; s < slots; s++) {
            first = slot_free_us[s] < slot_free_us[first] ? s : first;
        }
        int64_t start_us = MAX(a->at_us, slot_free_us[first]);
        int64_t end_us = start_us + work_of(i + 1);
        a->ideal_us = end_us - a->at_us;
        a->ideal_answered = a->ideal_us <= DEADLINE_US;
        if (a->ideal_answered) {
            slot_free_us[first] = end_us;
        }
    }
    g_free(slot_free_us);
}

/* ---- simulation ------------------------------------------------------------ */

static void
inject_fault(FakeCluster *c, const Case *k)
{
    uint64_t seen = 0;

    for (uint32_t i = 0; i < c->backends->len; i++) {
        FakeBackend *b = FakeCluster_Backend(c, i);
        uint64_t bit = 1ULL << (b->region + (b->slots == 3 ? 0 : 8));
        b->down =
            k->condition == CONDITION_REGION_LOST && b->region == LOST_REGION;
        b->no_reports = k->condition == CONDITION_NO_REPORTS;
        b->reports_no_load =
            k->condition == CONDITION_FALSE_REPORTS && (seen & bit) == 0;
        seen |= bit;
    }
}

static uint32_t
waiting_count(const FakeCluster *c, uint32_t region)
{
    uint32_t count = 0;

    for (uint32_t i = region; i < NODES; i += REGIONS) {
        if (c->nodes[i].node != NULL) {
            const uint32_t *queued = GwCalls_Queued(c->nodes[i].node->calls);
            count += queued[0] + queued[1];
        }
    }
    return count;
}

/* Counts idle slots, and those of them that a call waiting in the same region
 * could use. */
static void
sample(const FakeCluster *c, const Case *k, Stats *st)
{
    uint32_t idle[REGIONS] = {0};

    st->samples++;
    for (uint32_t i = 0; i < c->backends->len; i++) {
        const FakeBackend *b = g_ptr_array_index(c->backends, i);
        if (b->in_flight < b->slots) {
            idle[b->region] += b->slots - b->in_flight;
        }
        st->slots += b->down ? 0 : b->slots;
    }
    for (uint32_t r = 0; r < REGIONS; r++) {
        if (k->condition == CONDITION_REGION_LOST && r == LOST_REGION) {
            continue;
        }
        st->free_slots += idle[r];
        st->free_while_queued += MIN(idle[r], waiting_count(c, r));
    }
}

static void
run_workload(FakeCluster *c, const Case *k, GArray *arrivals, Stats *st)
{
    bool is_fault_active = false;

    for (guint i = 0; i < arrivals->len; i++) {
        Arrival *a = &g_array_index(arrivals, Arrival, i);
        if (!is_fault_active && a->at_us >= FAULT_US) {
            FakeCluster_Run(c, FAULT_US);
            inject_fault(c, k);
            is_fault_active = true;
        }
        FakeCluster_Run(c, a->at_us);
        if (a->at_us >= MEASURE_US && i % 8 == 0) {
            sample(c, k, st);
        }
        a->call = FakeCluster_Call(c, a->node, a->service == 0 ? "s0" : "s1",
                                   a->lookup, NULL, 0, a->at_us + DEADLINE_US);
    }
    FakeCluster_Run(c, END_US);
}

static void
add_call(const Case *k, const Arrival *a, const FakeCallerCall *call,
         Stats *st)
{
    int64_t latency_us = call->ended_us - a->at_us;
    bool answered = call->done && call->outcome == GW_OUTCOME_ANSWERED;

    if (k->condition == CONDITION_REGION_LOST && a->region == LOST_REGION) {
        st->lost_sent++;
        st->lost_answered += answered;
        return;
    }
    st->sent++;
    st->refused += call->done && call->outcome == GW_OUTCOME_NOT_RUN;
    st->unknown += !call->done || call->outcome == GW_OUTCOME_UNKNOWN;
    if (answered) {
        int64_t over_us = latency_us - work_of(call->key);
        g_array_append_val(st->over, over_us);
        if (a->lookup) {
            g_array_append_val(st->lookups, latency_us);
        }
    }
    if (a->lookup && a->ideal_answered) {
        g_array_append_val(st->ideal, a->ideal_us);
    }
}

static void
collect(const FakeCluster *c, const Case *k, const GArray *arrivals, Stats *st)
{
    FakeCallsReport j = FakeCluster_CheckCalls(c);

    st->false_refusals += j.false_refusals;
    st->doubled += j.doubled;
    for (guint i = 0; i < arrivals->len; i++) {
        const Arrival *a = &g_array_index(arrivals, Arrival, i);
        const FakeCallerCall *call = g_ptr_array_index(c->calls, a->call);
        if (a->at_us >= MEASURE_US) {
            add_call(k, a, call, st);
        }
        if (call->done && call->outcome == GW_OUTCOME_ANSWERED &&
            call->ended_us >= MEASURE_US && call->ended_us < MEASURE_END_US) {
            st->good_us += work_of(call->key);
        }
    }
    for (uint32_t i = 0; i < c->backends->len; i++) {
        const FakeBackend *b = g_ptr_array_index(c->backends, i);
        st->most_percent =
            MAX(st->most_percent, b->most_in_flight * 100 / b->slots);
        st->slot_us += b->down ? 0 : b->slots * (MEASURE_END_US - MEASURE_US);
    }
}

static void
run_case(const Case *k, Stats *st)
{
    work_seed = k->seed;
    GArray *arrivals = make_arrivals(k);
    FakeCluster *c = make_cluster(k->site, k->policy, k->seed);

    for (uint32_t s = 0; s < SERVICES; s++) {
        for (uint32_t r = 0; r < REGIONS; r++) {
            run_ideal(arrivals, k->site, s, r);
        }
    }
    run_workload(c, k, arrivals, st);
    collect(c, k, arrivals, st);
    FakeCluster_Free(c);
    g_array_free(arrivals, TRUE);
}

/* ---- output ----------------------------------------------------------------- */

static gint
by_value(gconstpointer a, gconstpointer b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;
    return (x > y) - (x < y);
}

/* Returns a quantile in ms; the array must be sorted. */
static double
quantile_ms(const GArray *values, uint32_t permille)
{
    if (values->len == 0) {
        return 0;
    }
    guint at = (guint)((uint64_t)values->len * permille / PERMILLE);
    at = MIN(at, values->len - 1);
    return (double)g_array_index(values, int64_t, at) / 1e3;
}

static double
percent(double part, double whole)
{
    return whole > 0 ? part * 100 / whole : 0;
}

static void
print_stats(const Case *k, Stats *st)
{
    g_array_sort(st->over, by_value);
    g_array_sort(st->lookups, by_value);
    g_array_sort(st->ideal, by_value);
    double ideal = quantile_ms(st->ideal, 990);
    double ratio = ideal > 0 ? quantile_ms(st->lookups, 990) / ideal : 0;
    printf("load site=%s policy=%s load=%u condition=%s over_p50_ms=%.2f "
           "over_p99_ms=%.2f over_p999_ms=%.2f lookup_p99_ms=%.2f "
           "ideal_p99_ms=%.2f ratio=%.3f sent=%u refused=%u unknown=%u "
           "false_refusals=%u doubled=%u most_percent=%u "
           "goodput_percent=%.1f idle_percent=%.1f beside_queue_percent=%.2f "
           "lost_answered_percent=%.1f\n",
           k->site->name, policy_names[k->policy], k->load_percent,
           condition_names[k->condition], quantile_ms(st->over, 500),
           quantile_ms(st->over, 990), quantile_ms(st->over, 999),
           quantile_ms(st->lookups, 990), ideal, ratio, st->sent, st->refused,
           st->unknown, st->false_refusals, st->doubled, st->most_percent,
           percent((double)st->good_us, (double)st->slot_us),
           percent((double)st->free_slots, (double)st->slots),
           percent((double)st->free_while_queued, (double)st->slots),
           percent(st->lost_answered, st->lost_sent));
    fflush(stdout);
}

static void
run_seeds(Case k, uint32_t seeds)
{
    Stats st = {.over = g_array_new(FALSE, FALSE, sizeof(int64_t)),
                .lookups = g_array_new(FALSE, FALSE, sizeof(int64_t)),
                .ideal = g_array_new(FALSE, FALSE, sizeof(int64_t))};

    for (uint32_t i = 1; i <= seeds; i++) {
        k.seed = i;
        run_case(&k, &st);
    }
    print_stats(&k, &st);
    g_array_free(st.over, TRUE);
    g_array_free(st.lookups, TRUE);
    g_array_free(st.ideal, TRUE);
}

/* ---- options ----------------------------------------------------------------- */

typedef struct {
    int long_run;
    int site;
    int policy;
    int load;
    int condition;
} Options;

static bool
is_selected(int option, uint32_t value)
{
    return option < 0 || (uint32_t)option == value;
}

static void
run_cases(const Options *o)
{
    static const uint32_t loads[] = {50, 80, 95, 120};
    uint32_t seeds = o->long_run ? 5 : 1;

    for (uint32_t s = 0; s < G_N_ELEMENTS(sites); s++) {
        for (uint32_t p = 0; p <= GW_POLICY_SUBSET; p++) {
            for (uint32_t l = 0; l < G_N_ELEMENTS(loads); l++) {
                for (uint32_t x = 0; x < CONDITION_COUNT; x++) {
                    if (is_selected(o->site, s) && is_selected(o->policy, p) &&
                        is_selected(o->load, loads[l]) &&
                        is_selected(o->condition, x)) {
                        run_seeds((Case){.site = &sites[s],
                                         .policy = (GwPolicyKind)p,
                                         .load_percent = loads[l],
                                         .condition = (Condition)x},
                                  seeds);
                    }
                }
            }
        }
    }
}

static bool
read_options(int argc, const char **argv, Options *o)
{
    struct poptOption table[] = {
        {"long", 0, POPT_ARG_NONE, &o->long_run, 0, "five seeds", NULL},
        {"site", 0, POPT_ARG_INT, &o->site, 0, "0 or 1", NULL},
        {"policy", 0, POPT_ARG_INT, &o->policy, 0, "0 to 2", NULL},
        {"load", 0, POPT_ARG_INT, &o->load, 0, "percent of slots", NULL},
        {"condition", 0, POPT_ARG_INT, &o->condition, 0, "0 to 3", NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext ctx = poptGetContext(NULL, argc, argv, table, 0);
    int rc = poptGetNextOpt(ctx);

    if (rc < -1) {
        fprintf(stderr, "%s: %s\n", poptBadOption(ctx, 0), poptStrerror(rc));
    }
    poptFreeContext(ctx);
    return rc >= -1;
}

int
main(int argc, const char **argv)
{
    Options o = {.site = -1, .policy = -1, .load = -1, .condition = -1};

    if (!read_options(argc, argv, &o)) {
        return 2;
    }
    run_cases(&o);
    return 0;
}
