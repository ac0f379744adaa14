/* Demand in reports of whole entries, over loopback. */
#include "edge/feed_internal.h"
#include "edge/peers_internal.h"
#include "fakes/edge_entry.h"

#include <criterion/criterion.h>
#include <string.h>

#define ENTRIES_MAX 10
#define SERVICE     11
#define REGION      21
#define OWN_MS      1000
/* Demand is measured at a time to come, so that it doesn't decay. */
#define LATER_US 3600000000LL

typedef struct {
    EdgeEntry at[ENTRIES_MAX];
    bool has_stopped[ENTRIES_MAX];
    uint32_t count;
    uint32_t total; /* entries whose demand is expected in each total */
} Fleet;

/* The registry has been read: an entry that isn't ready aggregates nothing. */
static void
mark_ready(GwEdge *edge)
{
    GwRowSet *none = GwRowSet_Create();
    GwPeerProof proof = {.version = {0, 5}, .as_of_us = 1};

    none->version = proof.version;
    GwFollower_OnPeerRows(edge->server_feed->follower, GwEdge_BootNow(), none,
                          true, &proof);
    GwRowSet_Free(none);
    cr_assert(GwEdge_IsReady(edge));
}

/* All take the first one for their seed. `without`: an entry without overload
 * control; ENTRIES_MAX: none. */
static void
start(Fleet *f, uint32_t count, uint32_t without)
{
    f->count = count;
    for (uint32_t i = 0; i < count; i++) {
        char *name = g_strdup_printf("e%u", i);
        char *seeds =
            i == 0 ? g_strdup("")
                   : g_strdup_printf(",\"seeds\":[\"%s\"]",
                                     f->at[0].edge->settings->peer_address);
        char *more = g_strdup_printf("%s,\"overload_control\":%s", seeds,
                                     i != without ? "true" : "false");
        f->at[i] = EdgeEntry_StartAs(name, i % 2 == 0 ? "d1" : "d2", more);
        GwEdge *edge = f->at[i].edge;
        mark_ready(edge);
        if (i != without) {
            GwDemandMeter_Add(GwRouter_DemandMeter(edge->router),
                              GwEdge_Now() + LATER_US, SERVICE, REGION, 5,
                              OWN_MS * GW_DEMAND_WINDOW_US / 1000.0);
        }
        g_free(more);
        g_free(seeds);
        g_free(name);
    }
}

static void
stop_one(Fleet *f, uint32_t i)
{
    if (!f->has_stopped[i]) {
        f->has_stopped[i] = true;
        EdgeEntry_Stop(&f->at[i]);
    }
}

static void
stop(Fleet *f)
{
    for (uint32_t i = 0; i < f->count; i++) {
        stop_one(f, i);
    }
}

static void
add_offered(void *ctx, const GwShortageView *view)
{
    *(double *)ctx += view->offered_ms_per_s;
}

static bool
has_total(const EdgeEntry *entry, uint32_t entries)
{
    GwShortage *shortage = GwRouter_Shortage(entry->edge->router);
    double offered_ms = 0;

    if (shortage == NULL) {
        return true;
    }
    GwShortage_Each(shortage, GwEdge_Now(), add_offered, &offered_ms);
    return (uint32_t)(offered_ms / OWN_MS + 0.5) == entries &&
           GwShortage_AgeMs(shortage, GwEdge_Now()) < 2000;
}

static bool
have_total(void *ctx)
{
    Fleet *f = ctx;
    bool all = true;

    for (uint32_t i = 0; i < f->count; i++) {
        if (!f->has_stopped[i]) {
            EdgeEntry_RunOnce(&f->at[i]);
            all = has_total(&f->at[i], f->total) && all;
        }
    }
    return all;
}

/* Runs all entries until each has the total; false after 10 s. */
static bool
await_total(Fleet *f, uint32_t total)
{
    uint32_t any = 0;

    while (f->has_stopped[any]) {
        any++;
    }
    f->total = total;
    return EdgeEntry_RunUntil(&f->at[any], have_total, f);
}

/* Guards against: demand that is lost between what one entry writes into a
 * datagram and what another one reads, or a report of an entry without
 * overload control that is refused. */
Test(edge_demand_wire, few_entries_know_each_others_demand)
{
    Fleet f = {.count = 0};

    start(&f, 3, 1);
    cr_expect(await_total(&f, 2));
    cr_expect_gt(
        f.at[0].edge->cost.bytes[GW_CONTROL_DEMAND][GW_DISTANCE_DOMAIN], 0);
    cr_expect_eq(
        f.at[1].edge->cost.bytes[GW_CONTROL_DEMAND][GW_DISTANCE_REGION], 0);
    stop_one(&f, 2);
    cr_expect(await_total(&f, 1), "of an entry that has stopped");
    stop(&f);
}

/* Guards against: after the loss of the entry that sums a failure domain, its
 * entries have no total, or keep the demand of the lost one. */
Test(edge_demand_wire, a_lost_aggregator_is_replaced)
{
    Fleet f = {.count = 0};
    uint32_t lost = ENTRIES_MAX;

    start(&f, ENTRIES_MAX, ENTRIES_MAX);
    cr_assert(await_total(&f, ENTRIES_MAX));
    for (uint32_t i = 0; i < ENTRIES_MAX; i++) {
        const GwPeers *peers = f.at[i].edge->peers;
        cr_expect(peers->uses_sums, "entry %u", i);
        lost = peers->is_aggregator ? i : lost;
    }
    cr_assert_neq(lost, ENTRIES_MAX);
    stop_one(&f, lost);
    cr_expect(await_total(&f, ENTRIES_MAX - 1));
    stop(&f);
}
