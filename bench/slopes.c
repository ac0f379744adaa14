/* Control-plane cost by number of nodes, in virtual time: bytes, messages, CPU
 * time and memory per node, load of the table service, and how long a
 * configuration change and the loss of an entry take to reach all entries.
 *
 * usage: bench_slopes [calm] [NODES...]
 * NODES: 12, 50, 200 or 650; default: all. calm: without changes, crashes and
 * message loss. Bytes are measured with the real codec, CPU time in
 * GwNode_Step() only. */
#include "fakes/cluster.h"
#include "member/member.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define STEP_US       (50 * FAKE_MS)
#define CHANGE_MAX_S  40
#define REMOVAL_MAX_S 30
#define LOOKUPS       20000
/* A node publishes every 200 ms (PUBLISH_PERIOD_US of entry/node.c). */
#define PUBLISHES_PER_S 5
#define SETTLE_S        10 /* a restarted entry is known to all by then */

/* There are more seats than entries of a region. Regions times services is the
 * number of places: 88 at 650 nodes, the target of 86 rounded up to a multiple
 * of 4 regions. */
typedef struct {
    uint32_t nodes;
    uint32_t regions;
    uint32_t services;
    uint32_t backends;
    uint32_t seats;
    uint32_t warm_s;
    uint32_t measure_s;
    uint32_t loss_s; /* virtual time with 2 % loss */
} Size;

static const Size sizes[] = {
    {12, 3, 2, 18, 12, 60, 60, 3600},
    {50, 4, 4, 15, 32, 60, 60, 300},
    {200, 4, 10, 12, 128, 60, 30, 60},
    {650, 4, 22, 10, 256, 25, 8, 10},
};

typedef struct {
    FakeCluster *c;
    const Size *size;
    char *text;
    uint32_t versions; /* changes made */
} Run;

static uint32_t
live_count(const FakeCluster *c)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < c->params.node_count; i++) {
        count += c->nodes[i].node != NULL ? 1 : 0;
    }
    return count;
}

static void
run_s(FakeCluster *c, uint32_t seconds)
{
    FakeCluster_Run(c, c->now_us + seconds * FAKE_SEC);
}

static Run
start(const Size *size)
{
    Run r = {.size = size};

    r.text = FakeConfig_Text(size->regions, size->services, size->backends, 3,
                             12, size->seats);
    FakeClusterParams params = {.seed = 650,
                                .node_count = size->nodes,
                                .region_count = size->regions,
                                .domains_per_region = size->nodes > 12 ? 3 : 2,
                                .config_text = r.text,
                                .domain_delay_us = 1500,
                                .region_delay_us = 55000,
                                .service_time_us = 40000,
                                .count_bytes = true,
                                .count_cpu = true};
    r.c = FakeCluster_Create(&params);
    return r;
}

/* ---- steady state --------------------------------------------------------- */

static uint64_t
cpu_total_ns(const FakeCosts *costs)
{
    uint64_t total = 0;

    for (uint32_t i = 0; i < FAKE_EVENT_KINDS; i++) {
        total += costs->step_ns[i];
    }
    return total;
}

static void
print_calm(const Run *r, uint64_t reads, uint64_t writes, double seconds)
{
    const FakeCluster *c = r->c;
    const FakeCosts *costs = &c->costs;
    double per_node = seconds * r->size->nodes;
    uint64_t bytes = 0;
    uint64_t messages = 0;
    uint64_t most = 0;

    for (uint32_t i = 0; i < r->size->nodes; i++) {
        bytes += c->nodes[i].bytes_sent;
        messages += c->nodes[i].messages_sent;
        most = MAX(most, c->nodes[i].bytes_sent);
    }
    printf("nodes=%u doc_bytes=%zu sent_bytes_s=%.0f max=%.0f messages_s=%.1f "
           "table_bytes_s=%.0f list_bytes_s=%.0f health_polls_s=%.0f\n",
           r->size->nodes, strlen(r->text), (double)bytes / per_node,
           (double)most / seconds, (double)messages / per_node,
           (double)costs->table_bytes / per_node,
           (double)costs->list_bytes / per_node,
           (double)costs->steps[GW_EVENT_HEALTH] / per_node);
    printf("  cpu_us_s=%.0f tick=%.0f message=%.0f health=%.0f list=%.0f "
           "table=%.0f one_tick_ns=%.0f\n",
           (double)cpu_total_ns(costs) / 1e3 / per_node,
           (double)costs->step_ns[GW_EVENT_TICK] / 1e3 / per_node,
           (double)costs->step_ns[GW_EVENT_MESSAGE] / 1e3 / per_node,
           (double)costs->step_ns[GW_EVENT_HEALTH] / 1e3 / per_node,
           (double)costs->step_ns[GW_EVENT_INSTANCE_LIST] / 1e3 / per_node,
           (double)costs->step_ns[GW_EVENT_TABLE] / 1e3 / per_node,
           (double)costs->step_ns[GW_EVENT_TICK] /
               (double)MAX(costs->steps[GW_EVENT_TICK], 1));
    printf("  table_reads_s=%.1f table_writes_s=%.1f bytes_by_kind:",
           (double)reads / seconds, (double)writes / seconds);
    for (uint32_t i = 1; i < FAKE_MSG_KINDS; i++) {
        if (costs->messages[i] > 0) {
            printf(" %u:%.0f/%.2f", i,
                   (double)costs->message_bytes[i] / per_node,
                   (double)costs->messages[i] / per_node);
        }
    }
    printf("\n");
}

static void
measure_calm(Run *r)
{
    FakeCluster *c = r->c;

    memset(&c->costs, 0, sizeof(c->costs));
    for (uint32_t i = 0; i < r->size->nodes; i++) {
        c->nodes[i].bytes_sent = 0;
        c->nodes[i].messages_sent = 0;
    }
    uint64_t reads = c->table_reads;
    uint64_t writes = c->table_writes;
    run_s(c, r->size->measure_s);
    print_calm(r, c->table_reads - reads, c->table_writes - writes,
               r->size->measure_s);
}

/* ---- configuration changes ------------------------------------------------ */

static int
by_time(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;

    return (x > y) - (x < y);
}

static bool
all_have_version(const FakeCluster *c, uint64_t version)
{
    for (uint32_t i = 0; i < c->params.node_count; i++) {
        if (c->nodes[i].node != NULL &&
            c->nodes[i].config_version != version) {
            return false;
        }
    }
    return true;
}

/* Makes a change at a live node and waits until all live nodes have it. */
static void
measure_change(Run *r, const char *title, FakeStoreMode store_after)
{
    FakeCluster *c = r->c;
    uint32_t node = 0;

    while (c->nodes[node].node == NULL) {
        node++;
    }
    int64_t start_us = c->now_us;
    uint64_t version = FakeCluster_Change(c, r->text, node);
    c->store = store_after;
    while (!all_have_version(c, version) &&
           c->now_us - start_us < CHANGE_MAX_S * FAKE_SEC) {
        FakeCluster_Run(c, c->now_us + STEP_US);
    }
    c->store = FAKE_STORE_OK;
    int64_t *at = g_new0(int64_t, c->params.node_count);
    uint32_t count = 0;
    uint32_t behind = 0;
    for (uint32_t i = 0; i < c->params.node_count; i++) {
        const FakeNode *n = &c->nodes[i];
        if (n->node != NULL && n->config_version == version) {
            at[count++] = n->config_at_us - start_us;
        }
        behind += n->node != NULL && n->config_version != version ? 1 : 0;
    }
    qsort(at, count, sizeof(*at), by_time);
    int64_t p50_us = count > 0 ? at[count / 2] : -1000;
    int64_t max_us = count > 0 ? at[count - 1] : -1000;
    printf("  change %s: p50_ms=%ld max_ms=%ld behind=%u of %u\n", title,
           (long)(p50_us / 1000), (long)(max_us / 1000), behind,
           live_count(c));
    g_free(at);
}

/* ---- crashed entries ------------------------------------------------------- */

static bool
is_in_lookups(const FakeCluster *c, const bool *is_crashed)
{
    for (uint32_t i = 0; i < c->params.node_count; i++) {
        GwLookup lookup;
        if (c->nodes[i].node == NULL ||
            GwNode_Lookup(c->nodes[i].node, "s0", 0, &lookup) < 0) {
            continue;
        }
        for (uint32_t e = 0; e < lookup.count; e++) {
            uint64_t id = GwName_Hash64(lookup.entries[e].name);
            gpointer at = g_hash_table_lookup(c->by_id, &id);
            if (is_crashed[GPOINTER_TO_UINT(at) - 1]) {
                return true;
            }
        }
    }
    return false;
}

static void
wait_until_removed(Run *r, const char *title, const bool *is_crashed)
{
    FakeCluster *c = r->c;
    int64_t start_us = c->now_us;
    int64_t last_us = start_us;

    while (c->now_us - start_us < REMOVAL_MAX_S * FAKE_SEC) {
        FakeCluster_Run(c, c->now_us + 2 * STEP_US);
        if (is_in_lookups(c, is_crashed)) {
            last_us = c->now_us;
        }
        else if (c->now_us - last_us > 3 * FAKE_SEC) {
            break;
        }
    }
    printf("  %s out_of_lookups_ms=%.0f\n", title,
           (double)(last_us - start_us) / 1e3);
}

static void
measure_crash(Run *r)
{
    bool *is_crashed = g_new0(bool, r->size->nodes);
    uint32_t victim = r->size->nodes - 1;

    is_crashed[victim] = true;
    FakeCluster_Crash(r->c, victim);
    wait_until_removed(r, "one entry dead:", is_crashed);
    FakeCluster_Start(r->c, victim);
    g_free(is_crashed);
}

/* Crashes all entries of a failure domain and makes a change right after. */
static void
measure_domain_loss(Run *r)
{
    FakeCluster *c = r->c;
    bool *is_crashed = g_new0(bool, r->size->nodes);

    for (uint32_t i = 0; i < r->size->nodes; i++) {
        if (c->nodes[i].region == 1 && c->nodes[i].domain == 1 &&
            c->nodes[i].node != NULL) {
            is_crashed[i] = true;
            FakeCluster_Crash(c, i);
        }
    }
    measure_change(r, "domain lost", FAKE_STORE_OK);
    wait_until_removed(r, "since then, a domain dead:", is_crashed);
    g_free(is_crashed);
}

/* ---- message loss ---------------------------------------------------------- */

/* Returns the number of live entries missing from look-ups, summed over the
 * nodes that answer. */
static uint32_t
count_missing(const Run *r)
{
    const FakeCluster *c = r->c;
    uint32_t missing = 0;

    for (uint32_t i = 0; i < r->size->nodes; i++) {
        GwLookup lookup;
        if (GwNode_Lookup(c->nodes[i].node, "s0", 0, &lookup) < 0) {
            continue;
        }
        uint32_t expected = MIN(r->size->nodes, GW_LOOKUP_MAX);
        missing += lookup.count < expected ? expected - lookup.count : 0;
    }
    return missing;
}

static void
measure_loss(Run *r)
{
    FakeCluster *c = r->c;
    uint32_t worst = 0;
    uint32_t total = 0;

    run_s(c, SETTLE_S);
    c->params.loss_permille = 20;
    for (uint32_t s = 0; s < r->size->loss_s; s++) {
        run_s(c, 1);
        uint32_t missing = count_missing(r);
        total += missing;
        worst = MAX(worst, missing);
    }
    printf("  2%% loss for %u s, sampled every s: missing_from_lookups=%u "
           "worst_at_once=%u\n",
           r->size->loss_s, total, worst);
    measure_change(r, "2% loss", FAKE_STORE_OK);
    c->params.loss_permille = 0;
}

/* Memory per node: bytes freed by destroying all nodes. */
static void
measure_memory(Run *r)
{
    struct mallinfo2 before = mallinfo2();
    uint32_t live = live_count(r->c);

    for (uint32_t i = 0; i < r->size->nodes; i++) {
        if (r->c->nodes[i].node != NULL) {
            FakeCluster_Crash(r->c, i);
        }
    }
    struct mallinfo2 after = mallinfo2();
    printf("  memory_kb=%zu\n",
           (before.uordblks + before.hblkhd - after.uordblks - after.hblkhd) /
               1024 / live);
}

/* CPU time of one look-up, and of the copies published per second. */
static void
measure_lookup(const Run *r)
{
    GwLookup lookup;
    clock_t start = clock();

    for (uint32_t i = 0; i < LOOKUPS; i++) {
        GwNode_Lookup(r->c->nodes[i % r->size->nodes].node, "s0", 0, &lookup);
    }
    double us = (double)(clock() - start) * 1e6 / CLOCKS_PER_SEC / LOOKUPS;
    printf("  lookup_us=%.2f publish_us_s=%.0f\n", us,
           us * r->size->services * PUBLISHES_PER_S);
}

static void
run_size(const Size *size, bool calm_only)
{
    Run r = start(size);

    run_s(r.c, size->warm_s);
    measure_calm(&r);
    measure_lookup(&r);
    if (calm_only) {
        measure_memory(&r);
        FakeCluster_Free(r.c);
        g_free(r.text);
        return;
    }
    measure_change(&r, "calm", FAKE_STORE_OK);
    measure_change(&r, "store away", FAKE_STORE_UNAVAILABLE);
    measure_crash(&r);
    measure_loss(&r);
    measure_domain_loss(&r);
    measure_memory(&r);
    FakeCluster_Free(r.c);
    g_free(r.text);
}

int
main(int argc, char **argv)
{
    setvbuf(stdout, NULL, _IOLBF, 0);
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        bool calm_only = argc > 1 && strcmp(argv[1], "calm") == 0;
        int first = calm_only ? 2 : 1;
        bool wanted = argc == first;
        for (int a = first; a < argc; a++) {
            wanted |= strtoul(argv[a], NULL, 10) == sizes[i].nodes;
        }
        if (wanted) {
            run_size(&sizes[i], calm_only);
        }
    }
    return 0;
}
