/* Demand of entries in their reports: what each entry knows of the total. No
 * sockets: reports are packed, and unpacked at the receiver. Demand is measured
 * at a time to come, so that it doesn't decay during a test. */
#include "edge/peers_internal.h"

#include <criterion/criterion.h>
#include <string.h>

#define ENTRIES    12
#define DOMAINS    3
#define SERVICE    11
#define REGION     21
#define LEVEL      5
#define OWN_MS     1000 /* demand of each entry */
#define LATER_US   3600000000LL
#define PERIOD_US  500000 /* of demand in reports */
#define LIFE_US    2000000
#define REPORT_MAX 16384

typedef struct {
    GwEdge edge;
    GwEdgeSettings settings;
    GwPeers peers;
} Entry;

typedef struct {
    Entry *at[ENTRIES];
    uint32_t count;
} Fleet;

/* ---- Entries ------------------------------------------------------------- */

static void
free_peer(gpointer item)
{
    GwPeerEntry *peer = item;

    g_free(peer->name);
    g_free(peer->region);
    g_free(peer->domain);
    g_free(peer->peer_address);
    if (peer->loads != NULL) {
        g_array_free(peer->loads, TRUE);
    }
    if (peer->demand != NULL) {
        g_array_free(peer->demand, TRUE);
    }
    g_free(peer);
}

/* The first entry of each failure domain has the largest link, the second one
 * the next largest. */
static uint32_t
link_of(uint32_t i)
{
    return i < DOMAINS ? 200000 : i < 2 * DOMAINS ? 100000 : 10000;
}

static Entry *
create_entry(uint32_t i, bool has_overload_control)
{
    Entry *e = g_new0(Entry, 1);
    GwRouterParams *params = &e->settings.router;

    g_snprintf(params->name, sizeof(params->name), "e%u", i);
    g_strlcpy(params->region, "r", sizeof(params->region));
    g_snprintf(params->domain, sizeof(params->domain), "d%u", i % DOMAINS);
    params->overload_control = has_overload_control;
    e->settings.link_kbps = link_of(i);
    e->settings.cpu_milli = 100;
    e->edge.settings = &e->settings;
    e->edge.router = GwRouter_Create(params, GwEdge_Now());
    e->peers.edge = &e->edge;
    e->peers.by_address =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_peer);
    e->peers.loads = g_array_new(FALSE, FALSE, sizeof(GwPeerLoad));
    e->peers.demand = g_array_new(FALSE, FALSE, sizeof(GwDemand));
    GwPeers_CreateSums(&e->peers, i + 1);
    if (has_overload_control) {
        GwDemandMeter_Add(GwRouter_DemandMeter(e->edge.router),
                          GwEdge_Now() + LATER_US, SERVICE, REGION, LEVEL,
                          OWN_MS * GW_DEMAND_WINDOW_US / 1000.0);
    }
    return e;
}

static void
free_entry(Entry *e)
{
    g_hash_table_destroy(e->peers.by_address);
    g_array_free(e->peers.loads, TRUE);
    g_array_free(e->peers.demand, TRUE);
    GwPeers_FreeSums(&e->peers);
    GwRouter_Free(e->edge.router);
    g_free(e);
}

static void
add_peer(Entry *e, uint32_t i)
{
    GwPeerEntry *peer = g_new0(GwPeerEntry, 1);

    *peer = (GwPeerEntry){
        .name = g_strdup_printf("e%u", i),
        .region = g_strdup("r"),
        .domain = g_strdup_printf("d%u", i % DOMAINS),
        .peer_address = g_strdup_printf("10.0.0.%u:1", i),
        .link_kbps = link_of(i),
        .cpu_milli = 100,
        .serves = true,
        .has_reported = true,
        .last_report_us = GwEdge_Now(),
        .next_ms = 60000, /* stays reachable on a slow test machine */
    };
    g_hash_table_insert(e->peers.by_address, peer->peer_address, peer);
}

static GwPeerEntry *
peer_of(Entry *e, uint32_t i)
{
    char address[32];

    g_snprintf(address, sizeof(address), "10.0.0.%u:1", i);
    return g_hash_table_lookup(e->peers.by_address, address);
}

static void
choose_aggregators(Fleet *f)
{
    for (uint32_t i = 0; i < f->count; i++) {
        GwPeers_ChooseAggregators(&f->at[i]->peers, GwEdge_Now());
    }
}

/* `without`: an entry without overload control; ENTRIES: none. */
static Fleet
create_fleet(uint32_t count, bool uses_sums, uint32_t without)
{
    Fleet f = {.count = count};

    for (uint32_t i = 0; i < count; i++) {
        f.at[i] = create_entry(i, i != without);
        f.at[i]->peers.period_scale = uses_sums ? 3 : 1;
        for (uint32_t k = 0; k < count; k++) {
            if (k != i) {
                add_peer(f.at[i], k);
            }
        }
    }
    choose_aggregators(&f);
    return f;
}

static void
free_fleet(Fleet *f)
{
    for (uint32_t i = 0; i < f->count; i++) {
        free_entry(f->at[i]);
    }
}

/* ---- Reports ------------------------------------------------------------- */

/* Passes the packed report to the receiver. */
static void
receive(Entry *to, GwPeerEntry *sender, const Gw__Peer__Report *report)
{
    uint8_t bytes[REPORT_MAX * 4];
    size_t len = gw__peer__report__pack(report, bytes);
    Gw__Peer__Report *got = gw__peer__report__unpack(NULL, len, bytes);

    cr_assert_not_null(got);
    if (got->loads_of == GW_LOADS_OWN || got->loads_of == GW_LOADS_DOMAIN) {
        GwPeers_NoteLoads(&to->peers, sender, NULL, 0);
    }
    else {
        sender->loads_received_us = 0;
    }
    GwPeers_ApplyDemand(&to->peers, sender, got);
    gw__peer__report__free_unpacked(got, NULL);
}

/* Returns the number of demands in the report. */
static size_t
report_to(Fleet *f, uint32_t from, uint32_t to)
{
    GwPeerEntry *receiver = peer_of(f->at[from], to);
    Gw__Peer__Report report = GW__PEER__REPORT__INIT;
    GwDemandArrays arrays;

    report.loads_of = GwPeers_LoadScopeFor(&f->at[from]->peers, receiver);
    GwPeers_FillDemand(&f->at[from]->peers, receiver, &report, &arrays);
    receive(f->at[to], peer_of(f->at[to], from), &report);
    return report.n_demand;
}

/* A round of reports between all entries; `lost` sends and receives none. */
static void
report_all(Fleet *f, uint32_t lost)
{
    for (uint32_t i = 0; i < f->count; i++) {
        for (uint32_t k = 0; k < f->count; k++) {
            if (i != k && i != lost && k != lost) {
                (void)report_to(f, i, k);
            }
        }
    }
}

/* Lets time pass for the demand in the tables. */
static void
pass_time(Fleet *f, int64_t us)
{
    for (uint32_t i = 0; i < f->count; i++) {
        f->at[i]->peers.demand_total_us -= us;
        for (uint32_t k = 0; k < f->count; k++) {
            if (k != i) {
                GwPeerEntry *peer = peer_of(f->at[i], k);
                peer->demand_as_of_us -= us;
                peer->demand_sent_us -= us;
            }
        }
    }
}

/* Three rounds: to the aggregator, between aggregators, and back. */
static void
exchange(Fleet *f, uint32_t lost)
{
    for (int round = 0; round < 3; round++) {
        pass_time(f, PERIOD_US);
        report_all(f, lost);
    }
    for (uint32_t i = 0; i < f->count; i++) {
        GwPeers_UpdateDemand(&f->at[i]->peers, GwEdge_Now());
    }
}

static void
add_offered(void *ctx, const GwShortageView *view)
{
    if (view->service == SERVICE && view->region == REGION) {
        *(double *)ctx += view->offered_ms_per_s;
    }
}

/* Demand in the total of the entry, in entries. */
static double
entries_in_total(Entry *e)
{
    double offered_ms = 0;

    GwShortage_Each(GwRouter_Shortage(e->edge.router), GwEdge_Now(),
                    add_offered, &offered_ms);
    return offered_ms / OWN_MS;
}

/* The total that the entry computes now. */
static double
entries_in_own_total(Entry *e)
{
    e->peers.demand_total_us = 0;
    GwPeers_UpdateDemand(&e->peers, GwEdge_Now());
    return entries_in_total(e);
}

/* ---- Totals -------------------------------------------------------------- */

/* Guards against: entries that decide by different totals, an entry that is
 * missing or counted twice, and an entry without overload control that stops
 * the exchange of the others. */
Test(edge_demand, all_entries_have_the_same_total)
{
    static const struct {
        const char *name;
        uint32_t entries;
        bool uses_sums;
        uint32_t without;
        uint32_t total;
    } cases[] = {
        {"two entries", 2, false, ENTRIES, 2},
        {"few entries", 5, false, ENTRIES, 5},
        {"one of an older build", 5, false, 3, 4},
        {"aggregators", 12, true, ENTRIES, 12},
        {"aggregators, one entry of an older build", 12, true, 7, 11},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Fleet f = create_fleet(cases[i].entries, cases[i].uses_sums,
                               cases[i].without);
        exchange(&f, ENTRIES);
        exchange(&f, ENTRIES);
        for (uint32_t k = 0; k < f.count; k++) {
            if (k == cases[i].without) {
                cr_expect_null(GwRouter_Shortage(f.at[k]->edge.router));
                continue;
            }
            cr_expect_float_eq(entries_in_total(f.at[k]), cases[i].total, 0.01,
                               "%s: entry %u counts %.2f", cases[i].name, k,
                               entries_in_total(f.at[k]));
        }
        free_fleet(&f);
    }
}

/* Guards against: an aggregator of an older build makes the other failure
 * domains admit everything, or its own one refuse by part of the demand. */
Test(edge_demand, an_aggregator_of_an_older_build_leaves_out_its_domain)
{
    Fleet f = create_fleet(ENTRIES, true, 0);

    exchange(&f, ENTRIES);
    exchange(&f, ENTRIES);
    for (uint32_t i = 1; i < ENTRIES; i++) {
        uint32_t total = i % DOMAINS == 0 ? 0 : 8;
        cr_expect_float_eq(entries_in_total(f.at[i]), total, 0.01,
                           "entry %u counts %.2f", i,
                           entries_in_total(f.at[i]));
    }
    cr_expect_eq(GwShortage_AgeMs(GwRouter_Shortage(f.at[3]->edge.router),
                                  GwEdge_Now()),
                 -1);
    free_fleet(&f);
}

/* Guards against: without its aggregator a failure domain has no total for
 * long, or the demand that both aggregators know counts twice elsewhere. */
Test(edge_demand, a_lost_aggregator_is_replaced_without_counting_twice)
{
    Fleet f = create_fleet(ENTRIES, true, ENTRIES);

    exchange(&f, ENTRIES);
    for (uint32_t i = 1; i < ENTRIES; i++) {
        GwPeerEntry *lost = peer_of(f.at[i], 0);
        lost->next_ms = GW_SUM_PERIOD_MIN_MS;
        lost->last_report_us -= 1000000;
    }
    choose_aggregators(&f);
    cr_assert(f.at[3]->peers.is_aggregator);
    /* No demand expires yet: the sum of the lost one is still there. */
    report_all(&f, 0);
    report_all(&f, 0);
    for (uint32_t i = 1; i < DOMAINS; i++) {
        cr_expect_leq(entries_in_own_total(f.at[i]), 12.01, "%u: %.2f", i,
                      entries_in_own_total(f.at[i]));
    }
    pass_time(&f, LIFE_US);
    exchange(&f, 0);
    for (uint32_t i = 1; i < ENTRIES; i++) {
        cr_expect_float_eq(entries_in_total(f.at[i]), 11, 0.01,
                           "entry %u counts %.2f", i,
                           entries_in_total(f.at[i]));
    }
    free_fleet(&f);
}

/* Guards against: two entries aggregate a failure domain for a while, and each
 * sums the demand of an entry that has moved from one to the other. */
Test(edge_demand, two_active_aggregators_count_once)
{
    Fleet f = create_fleet(ENTRIES, true, ENTRIES);

    exchange(&f, ENTRIES);
    /* Entries 3, 6 and 9 no longer hear entry 0, which goes on. */
    for (uint32_t i = 3; i < ENTRIES; i += DOMAINS) {
        peer_of(f.at[i], 0)->serves = false;
    }
    choose_aggregators(&f);
    cr_assert(f.at[0]->peers.is_aggregator && f.at[3]->peers.is_aggregator);
    pass_time(&f, PERIOD_US);
    (void)report_to(&f, 6, 3);
    (void)report_to(&f, 9, 3);
    (void)report_to(&f, 3, 1);
    (void)report_to(&f, 0, 1);
    cr_expect_float_eq(entries_in_own_total(f.at[1]), 12, 0.01, "%.2f",
                       entries_in_total(f.at[1]));
    /* Later, entry 0 sums no more than its own demand: the larger of both sums
     * counts, though entry 1 takes entry 0 for the aggregator. */
    pass_time(&f, LIFE_US);
    report_all(&f, 0);
    (void)report_to(&f, 0, 1);
    pass_time(&f, PERIOD_US);
    report_all(&f, 0);
    (void)report_to(&f, 0, 1);
    cr_expect(peer_of(f.at[1], 0)->is_aggregator);
    cr_expect_float_eq(entries_in_own_total(f.at[1]), 11, 0.01, "%.2f",
                       entries_in_total(f.at[1]));
    /* Neither does an aggregator count the sum that another one of its own
     * failure domain sends because it doesn't know the domain yet. */
    g_free(peer_of(f.at[3], 0)->domain);
    peer_of(f.at[3], 0)->domain = g_strdup("");
    peer_of(f.at[3], 0)->is_aggregator = true;
    peer_of(f.at[3], 0)->demand_sent_us = 0;
    (void)report_to(&f, 3, 0);
    cr_expect_float_eq(entries_in_own_total(f.at[0]), 1, 0.01, "%.2f",
                       entries_in_total(f.at[0]));
    free_fleet(&f);
}

/* Guards against: an entry that has not begun to use aggregators adds the sum
 * of a failure domain to the demand of that domain's entries. */
Test(edge_demand, the_sum_of_a_domain_counts_only_with_aggregators)
{
    Fleet f = create_fleet(ENTRIES, true, ENTRIES);
    Entry *few = f.at[4]; /* of the failure domain of 1, as 7 and 10 */

    few->peers.period_scale = 1;
    choose_aggregators(&f);
    exchange(&f, ENTRIES);
    for (uint32_t i = 0; i < ENTRIES; i++) {
        GwPeerEntry *peer = i != 4 ? peer_of(few, i) : NULL;
        if (peer != NULL) {
            f.at[i]->peers.period_scale = 1;
        }
    }
    /* All but 0, which still sums its failure domain. */
    f.at[0]->peers.period_scale = 3;
    choose_aggregators(&f);
    pass_time(&f, PERIOD_US);
    peer_of(f.at[0], 4)->is_aggregator = true;
    report_all(&f, ENTRIES);
    cr_expect_float_eq(entries_in_own_total(few), 11, 0.01, "%.2f",
                       entries_in_total(few));
    free_fleet(&f);
}

/* Guards against: the demand of an entry counts at the aggregator that it has
 * left, or at those of other failure domains, which get it in a sum; and an
 * entry takes the total of an aggregator that it doesn't report to. */
Test(edge_demand, an_entry_counts_only_where_it_reports)
{
    Fleet f = create_fleet(ENTRIES, true, ENTRIES);

    exchange(&f, ENTRIES);
    f.at[4]->peers.period_scale = 1; /* it reports to all */
    choose_aggregators(&f);
    pass_time(&f, PERIOD_US);
    cr_expect_eq(report_to(&f, 4, 0), 1);
    (void)report_to(&f, 4, 1);
    (void)report_to(&f, 1, 0);
    cr_expect_float_eq(entries_in_own_total(f.at[0]), 12, 0.01, "%.2f",
                       entries_in_total(f.at[0]));
    peer_of(f.at[6], 0)->serves = false; /* it reports to entry 3 */
    choose_aggregators(&f);
    (void)report_to(&f, 6, 0);
    cr_expect_float_eq(entries_in_own_total(f.at[0]), 11, 0.01, "%.2f",
                       entries_in_total(f.at[0]));
    free_fleet(&f);

    f = create_fleet(ENTRIES, true, ENTRIES);
    (void)report_to(&f, 6, 0);
    peer_of(f.at[6], 0)->serves = false;
    choose_aggregators(&f);
    cr_expect_eq(report_to(&f, 0, 6), 1);
    cr_expect_eq(GwShortage_AgeMs(GwRouter_Shortage(f.at[6]->edge.router),
                                  GwEdge_Now()),
                 -1);
    free_fleet(&f);
}

/* ---- Ages ---------------------------------------------------------------- */

/* Guards against: the demand of entries that have stopped counts again for its
 * whole life at each step, because sums are sent as new. */
Test(edge_demand, the_age_of_a_sum_is_that_of_what_it_sums)
{
    static const struct {
        int64_t own_age_us; /* of the peer's demand at the aggregator */
        double entries;     /* in the sum */
        int64_t age_ms;     /* of the sum; half of it is always new */
    } cases[] = {
        {0, 2, 0},
        {600000, 2, 300},
        {1600000, 2, 800},
        {2000000, 1, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Fleet f = create_fleet(ENTRIES, true, ENTRIES);
        const GwShortage *known = GwRouter_Shortage(f.at[6]->edge.router);
        (void)report_to(&f, 3, 0);
        peer_of(f.at[0], 3)->demand_as_of_us -= cases[i].own_age_us;
        GwPeers_NoteLoads(&f.at[0]->peers, peer_of(f.at[0], 6), NULL, 0);
        (void)report_to(&f, 0, 6);
        cr_expect_float_eq(entries_in_total(f.at[6]), cases[i].entries, 0.01,
                           "case %zu", i);
        int64_t age_ms = GwShortage_AgeMs(known, GwEdge_Now());
        cr_expect(age_ms >= cases[i].age_ms && age_ms < cases[i].age_ms + 300,
                  "case %zu: %" PRId64 " ms", i, age_ms);
        (void)report_to(&f, 0, 1);
        pass_time(&f, LIFE_US - cases[i].age_ms * 1000 - 400000);
        cr_expect_float_eq(entries_in_own_total(f.at[1]), 1 + cases[i].entries,
                           0.01, "case %zu: fresh", i);
        pass_time(&f, 500000);
        cr_expect_float_eq(entries_in_own_total(f.at[1]), 1, 0.01,
                           "case %zu: expired", i);
        free_fleet(&f);
    }
}

/* Guards against: an entry that was paused refuses requests by totals that have
 * waited in its socket. */
Test(edge_demand, reports_that_waited_during_a_pause_are_ignored)
{
    static const struct {
        int64_t paused_us;
        int64_t since_us; /* from the end of the pause to the report */
        double entries;
    } cases[] = {
        {50000, 0, 2},
        {400000, 0, 2}, /* a long turn of the loop */
        {1500000, 0, 1},
        {1500000, 1000, 1}, /* the socket is not empty yet */
        {1500000, 500000, 2},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Fleet f = create_fleet(2, false, ENTRIES);
        GwPeers *paused = &f.at[0]->peers;
        GwPeers_UpdateDemand(paused, GwEdge_Now());
        paused->demand_tick_us -= cases[i].paused_us;
        if (cases[i].since_us > 0) {
            GwPeers_UpdateDemand(paused, GwEdge_Now());
            paused->demand_from_us -= cases[i].since_us;
        }
        (void)report_to(&f, 1, 0);
        cr_expect_float_eq(entries_in_own_total(f.at[0]), cases[i].entries,
                           0.01, "case %zu", i);
        free_fleet(&f);
    }
}

/* Guards against: each report carries demand, which costs small instances
 * bytes. */
Test(edge_demand, demand_is_sent_twice_a_second)
{
    Fleet f = create_fleet(2, false, ENTRIES);

    cr_expect_eq(report_to(&f, 0, 1), 1);
    cr_expect_eq(report_to(&f, 0, 1), 0);
    pass_time(&f, PERIOD_US);
    cr_expect_eq(report_to(&f, 0, 1), 1);
    cr_expect_float_eq(entries_in_own_total(f.at[1]), 2, 0.01);
    free_fleet(&f);
}

/* ---- Reports with too much, or wrong ------------------------------------- */

static void
init_demand(Gw__Peer__Demand *demand, uint32_t service, uint32_t first_level,
            uint32_t *work, size_t count)
{
    gw__peer__demand__init(demand);
    demand->service = service;
    demand->region = REGION;
    demand->first_level = first_level;
    demand->work_ms_per_s = work;
    demand->n_work_ms_per_s = count;
}

/* Guards against: writes beyond the levels, sums that wrap around, and a
 * report without loads that counts as demand of its sender. */
Test(edge_demand, values_out_of_range_are_ignored)
{
    static const struct {
        const char *name;
        uint32_t loads_of;
        uint32_t first_level;
        uint32_t age_ms; /* plus one */
        size_t count;    /* of work, 1000 each */
        double entries;  /* in the total beside the own demand */
    } cases[] = {
        {"levels", GW_LOADS_OWN, 0, 1, 16, 16},
        {"too many levels", GW_LOADS_OWN, 0, 1, 400, 16},
        {"too many from a level", GW_LOADS_OWN, 15, 1, 400, 1},
        {"first level too large", GW_LOADS_OWN, 16, 1, 4, 0},
        {"first level near the end", GW_LOADS_OWN, UINT32_MAX, 1, 400, 0},
        {"no demand", GW_LOADS_OWN, 0, 0, 16, 0},
        {"too old", GW_LOADS_OWN, 0, 2001, 16, 0},
        {"far too old", GW_LOADS_OWN, 0, UINT32_MAX, 16, 0},
        {"of no scope", GW_LOADS_NONE, 0, 1, 16, 0},
        {"of a scope to come", 7, 0, 1, 16, 0},
        {"a total, without aggregators", GW_LOADS_ALL, 0, 1, 16, 0},
    };
    uint32_t work[400];

    for (size_t i = 0; i < G_N_ELEMENTS(work); i++) {
        work[i] = OWN_MS;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Fleet f = create_fleet(2, false, ENTRIES);
        Gw__Peer__Demand demand;
        Gw__Peer__Demand *list[] = {&demand};
        Gw__Peer__Report report = GW__PEER__REPORT__INIT;
        init_demand(&demand, SERVICE, cases[i].first_level, work,
                    cases[i].count);
        report.loads_of = cases[i].loads_of;
        report.demand = list;
        report.n_demand = 1;
        report.demand_age_ms = cases[i].age_ms;
        receive(f.at[0], peer_of(f.at[0], 1), &report);
        cr_expect_float_eq(entries_in_own_total(f.at[0]), 1 + cases[i].entries,
                           0.01, "%s: %.2f", cases[i].name,
                           entries_in_total(f.at[0]));
        free_fleet(&f);
    }
}

static void
count_views(void *ctx, const GwShortageView *view)
{
    (void)view;
    (*(uint32_t *)ctx)++;
}

/* Guards against: totals that grow with the pairs that peers make up, wrap
 * around, or depend on the order of two items of the same pair. */
Test(edge_demand, many_items_and_large_values_are_bounded)
{
    Fleet f = create_fleet(ENTRIES, false, ENTRIES);
    Gw__Peer__Demand demands[300];
    Gw__Peer__Demand *list[300];
    Gw__Peer__Report report = GW__PEER__REPORT__INIT;
    uint32_t most[GW_SHORTAGE_LEVELS];
    uint32_t pairs = 0;

    memset(most, 0xff, sizeof(most));
    report.loads_of = GW_LOADS_OWN;
    report.demand = list;
    report.n_demand = 300;
    report.demand_age_ms = 1;
    for (uint32_t peer = 1; peer < ENTRIES; peer++) {
        for (uint32_t i = 0; i < 300; i++) {
            list[i] = &demands[i];
            init_demand(&demands[i], peer * 1000 + i, 0, most,
                        GW_SHORTAGE_LEVELS);
        }
        demands[0].service = SERVICE;
        demands[1].service = SERVICE;
        receive(f.at[0], peer_of(f.at[0], peer), &report);
    }
    double entries = entries_in_own_total(f.at[0]);
    cr_expect_float_eq(entries,
                       (double)UINT32_MAX * GW_SHORTAGE_LEVELS / OWN_MS, 1);
    GwShortage_Each(GwRouter_Shortage(f.at[0]->edge.router), GwEdge_Now(),
                    count_views, &pairs);
    cr_expect_leq(pairs, GW_DEMANDS_MAX, "%u", pairs);
    free_fleet(&f);
}

/* Guards against: a report that is cut to fit a datagram keeps demand of which
 * the receiver can't tell whose it is, or loses the loads for the sake of the
 * demand. */
Test(edge_demand, a_report_that_is_too_large_gives_up_demand_first)
{
    static const struct {
        const char *name;
        GwLoadScope loads_of;
        uint32_t loads;
        uint32_t addresses;
        bool has_loads; /* in the report that is sent */
        bool has_demand;
    } cases[] = {
        {"fits", GW_LOADS_ALL, 100, 0, true, true},
        {"without demand it fits", GW_LOADS_ALL, 1500, 0, true, false},
        {"without loads only", GW_LOADS_ALL, 1500, 500, false, false},
        {"without own loads only", GW_LOADS_OWN, 1500, 500, false, false},
    };
    uint32_t work[GW_SHORTAGE_LEVELS];
    uint32_t numbers[1500];
    char *known[500];

    memset(work, 0x7f, sizeof(work));
    memset(numbers, 0x7f, sizeof(numbers));
    for (size_t i = 0; i < G_N_ELEMENTS(known); i++) {
        known[i] = (char *)"255.255.255.255:65535";
    }
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Gw__Peer__Demand demands[GW_DEMANDS_MAX];
        Gw__Peer__Demand *list[GW_DEMANDS_MAX];
        Gw__Peer__SumChange sum = GW__PEER__SUM_CHANGE__INIT;
        Gw__Peer__Report report = GW__PEER__REPORT__INIT;
        GwPeerEntry peer = {.demand_sent_us = GwEdge_Now()};
        sum.servers = numbers;
        sum.n_servers = cases[i].loads;
        sum.counts = numbers;
        sum.n_counts = cases[i].loads;
        report.loads_of = cases[i].loads_of;
        if (cases[i].loads_of == GW_LOADS_OWN) {
            report.load_servers = numbers;
            report.load_counts = numbers;
            report.n_load_servers = cases[i].loads;
            report.n_load_counts = cases[i].loads;
        }
        else {
            report.sum = &sum;
        }
        report.known = known;
        report.n_known = cases[i].addresses;
        report.demand = list;
        report.n_demand = GW_DEMANDS_MAX;
        report.demand_age_ms = 1;
        for (uint32_t k = 0; k < GW_DEMANDS_MAX; k++) {
            list[k] = &demands[k];
            init_demand(&demands[k], k, 0, work, GW_SHORTAGE_LEVELS);
        }
        size_t len = GwPeers_ShrinkReport(&peer, &report);
        cr_expect_eq(len, gw__peer__report__get_packed_size(&report));
        cr_expect_leq(len, REPORT_MAX, "%s: %zu", cases[i].name, len);
        cr_expect_eq(report.sum != NULL || report.n_load_servers > 0,
                     cases[i].has_loads, "%s", cases[i].name);
        cr_expect_eq(report.loads_of != GW_LOADS_NONE, cases[i].has_loads);
        cr_expect_eq(report.n_demand > 0, cases[i].has_demand, "%s",
                     cases[i].name);
        cr_expect_eq(report.demand_age_ms > 0, cases[i].has_demand);
        cr_expect_eq(peer.demand_sent_us > 0, cases[i].has_demand,
                     "%s: it is sent with the next report", cases[i].name);
    }
}
