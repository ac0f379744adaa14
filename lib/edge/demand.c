/* Exchanges the demand of entries in the reports that carry loads (aggregate.c),
 * so that all entries know the shortage of slots (lib/shortage).
 *
 * The demand of an entry is in a total at most once: a failure domain counts
 * the own demand of its entries only, and of another failure domain exactly one
 * sum is counted, even while two of its entries aggregate it. A total may lack
 * some demand, so that less is refused than could be. */
#include "edge/peers_internal.h"

#include <string.h>

/* Period of demand in the reports to one peer: a rate changes over a second,
 * and small instances pay for each byte. */
#define SEND_PERIOD_US 500000
/* Period of the totals that this entry computes for itself. */
#define TOTAL_PERIOD_US 250000
/* Demand of a peer counts for this long after the time that it describes. */
#define DEMAND_LIFE_US 2000000

/* A loop that has not run for this long was paused, or nearly so. Reports that
 * came meanwhile wait in the socket and don't show how old they are. */
#define PAUSE_US 1000000
/* The reports that waited are read within this time. */
#define DRAIN_US 200000

/* ---- Sums ---------------------------------------------------------------- */

static bool
has_fresh_demand(const GwPeerEntry *peer, GwLoadScope of, int64_t now_us)
{
    return peer->demand != NULL && peer->demand_of == of &&
           now_us - peer->demand_as_of_us < DEMAND_LIFE_US;
}

static bool
is_in_domain(const GwPeers *peers, const GwPeerEntry *peer)
{
    return strcmp(peer->domain, peers->edge->settings->router.domain) == 0;
}

/* A sum, and its work multiplied by the age of that work. */
typedef struct {
    GArray *demand; /* GwDemand */
    double work;
    double aged_work_us;
} Sum;

static bool
has_pair(const GArray *sum, const GwDemand *demand)
{
    for (guint i = 0; i < sum->len; i++) {
        const GwDemand *at = &g_array_index(sum, GwDemand, i);
        if (at->service == demand->service && at->region == demand->region) {
            return true;
        }
    }
    return false;
}

/* Adds the demand of a peer. Pairs that no report has room for are left out,
 * which also bounds the time that a peer with many pairs costs. */
static void
add_peer(Sum *sum, const GwPeerEntry *peer, int64_t now_us)
{
    double age_us = (double)(now_us - peer->demand_as_of_us);

    for (guint i = 0; i < peer->demand->len; i++) {
        const GwDemand *demand = &g_array_index(peer->demand, GwDemand, i);
        if (sum->demand->len >= GW_DEMANDS_MAX &&
            !has_pair(sum->demand, demand)) {
            continue;
        }
        GwDemand_AddTo(sum->demand, demand, 1);
        for (uint32_t l = 0; l < GW_SHORTAGE_LEVELS; l++) {
            sum->work += demand->work_ms_per_s[l];
            sum->aged_work_us += demand->work_ms_per_s[l] * age_us;
        }
    }
}

/* Work of this entry is as of now. */
static void
add_own(Sum *sum, const GwPeers *peers, int64_t now_us)
{
    GwDemandMeter_Read(GwRouter_DemandMeter(peers->edge->router), now_us,
                       sum->demand);
    for (guint i = 0; i < sum->demand->len; i++) {
        const GwDemand *demand = &g_array_index(sum->demand, GwDemand, i);
        for (uint32_t l = 0; l < GW_SHORTAGE_LEVELS; l++) {
            sum->work += demand->work_ms_per_s[l];
        }
    }
}

static double
total_work(const GwPeerEntry *peer)
{
    double work = 0;

    for (guint i = 0; peer != NULL && i < peer->demand->len; i++) {
        const GwDemand *demand = &g_array_index(peer->demand, GwDemand, i);
        for (uint32_t l = 0; l < GW_SHORTAGE_LEVELS; l++) {
            work += demand->work_ms_per_s[l];
        }
    }
    return work;
}

/* Adds one sum for each other failure domain. While two of its entries send
 * one, the larger sum lacks less: an aggregator that has just begun, or that its
 * own domain doesn't reach, knows little more than its own demand. */
static void
add_domain_sums(Sum *sum, const GwPeers *peers, int64_t now_us)
{
    GHashTable *best = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwPeerEntry *peer = value;
        if (has_fresh_demand(peer, GW_LOADS_DOMAIN, now_us) &&
            !is_in_domain(peers, peer) &&
            total_work(peer) >=
                total_work(g_hash_table_lookup(best, peer->domain))) {
            g_hash_table_replace(best, peer->domain, peer);
        }
    }
    g_hash_table_iter_init(&iter, best);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        add_peer(sum, value, now_us);
    }
    g_hash_table_destroy(best);
}

/* Replaces `out` with the demand of this entry, its failure domain or all.
 * Returns the age of the sum in ms: the mean over its work. With the age of its
 * oldest part, one entry that has stopped would make the totals of all too old
 * to be used. */
static uint32_t
sum_demand(const GwPeers *peers, GwLoadScope scope, int64_t now_us,
           GArray *out)
{
    Sum sum = {.demand = out};
    GHashTableIter iter;
    gpointer value;

    g_array_set_size(out, 0);
    add_own(&sum, peers, now_us);
    if (scope == GW_LOADS_OWN) {
        return 0;
    }
    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwPeerEntry *peer = value;
        if (has_fresh_demand(peer, GW_LOADS_OWN, now_us) &&
            (!peers->uses_sums || is_in_domain(peers, peer))) {
            add_peer(&sum, peer, now_us);
        }
    }
    if (scope == GW_LOADS_ALL && peers->uses_sums) {
        add_domain_sums(&sum, peers, now_us);
    }
    return sum.work > 0 ? (uint32_t)(sum.aged_work_us / sum.work / 1000) : 0;
}

/* ---- Reports ------------------------------------------------------------- */

/* Writes the levels from the first to the last with any work. */
static Gw__Peer__Demand *
write_demand(const GwDemand *demand, Gw__Peer__Demand *message, uint32_t *work)
{
    uint32_t first = 0;
    uint32_t end = GW_SHORTAGE_LEVELS;

    while (first < end && demand->work_ms_per_s[first] == 0) {
        first++;
    }
    while (end > first && demand->work_ms_per_s[end - 1] == 0) {
        end--;
    }
    gw__peer__demand__init(message);
    message->service = demand->service;
    message->region = demand->region;
    message->first_level = first;
    memcpy(work, &demand->work_ms_per_s[first],
           (end - first) * sizeof(uint32_t));
    message->work_ms_per_s = work;
    message->n_work_ms_per_s = end - first;
    return message;
}

void
GwPeers_FillDemand(GwPeers *peers, GwPeerEntry *peer, Gw__Peer__Report *report,
                   GwDemandArrays *arrays)
{
    int64_t now_us = GwEdge_Now();
    GwLoadScope scope = (GwLoadScope)report->loads_of;

    if (GwRouter_DemandMeter(peers->edge->router) == NULL ||
        scope == GW_LOADS_NONE ||
        now_us - peer->demand_sent_us < SEND_PERIOD_US) {
        return;
    }
    peer->demand_sent_us = now_us;
    uint32_t age_ms = sum_demand(peers, scope, now_us, peers->demand);
    report->n_demand = MIN(peers->demand->len, GW_DEMANDS_MAX);
    for (size_t i = 0; i < report->n_demand; i++) {
        arrays->list[i] =
            write_demand(&g_array_index(peers->demand, GwDemand, i),
                         &arrays->messages[i], arrays->work[i]);
    }
    report->demand = arrays->list;
    report->demand_age_ms = age_ms + 1;
}

void
GwPeers_DropDemand(GwPeerEntry *peer, Gw__Peer__Report *report)
{
    if (report->demand_age_ms != 0) {
        report->n_demand = 0;
        report->demand_age_ms = 0;
        peer->demand_sent_us = 0;
    }
}

static void
read_demand(const Gw__Peer__Report *report, GArray *out)
{
    g_array_set_size(out, 0);
    for (size_t i = 0; i < MIN(report->n_demand, GW_DEMANDS_MAX); i++) {
        const Gw__Peer__Demand *message = report->demand[i];
        GwDemand demand = {.service = message->service,
                           .region = message->region};
        for (size_t j = 0;
             j < message->n_work_ms_per_s && j < GW_SHORTAGE_LEVELS &&
             message->first_level < GW_SHORTAGE_LEVELS - j;
             j++) {
            demand.work_ms_per_s[message->first_level + j] =
                message->work_ms_per_s[j];
        }
        GwDemand_AddTo(out, &demand, 1);
    }
}

/* As for loads, the total counts only if it comes from the aggregator to which
 * this entry reports. */
static bool
accepts_total(const GwPeers *peers, const GwPeerEntry *peer)
{
    return peers->uses_sums && !peers->is_aggregator && peer->is_aggregator &&
           is_in_domain(peers, peer);
}

/* Notes that the loop runs. Returns whether reports may have waited during a
 * pause. */
static bool
is_after_pause(GwPeers *peers, int64_t now_us)
{
    if (peers->demand_tick_us != 0 &&
        now_us - peers->demand_tick_us > PAUSE_US) {
        peers->demand_from_us = now_us + DRAIN_US;
    }
    peers->demand_tick_us = now_us;
    return now_us < peers->demand_from_us;
}

/* Uses peers->demand as the total. Reports arrive in order, so it is the newest
 * one, although its work may be older on average than that of the last: it
 * counts at least as long as that. */
static void
put_total(const GwPeers *peers, uint32_t age_ms, int64_t now_us)
{
    GwShortage *shortage = GwRouter_Shortage(peers->edge->router);
    int64_t last_age_ms = GwShortage_AgeMs(shortage, now_us);

    if (last_age_ms >= 0) {
        age_ms = (uint32_t)MIN(age_ms, last_age_ms);
    }
    GwShortage_PutTotal(shortage, now_us, age_ms,
                        (const GwDemand *)peers->demand->data,
                        peers->demand->len);
}

void
GwPeers_ApplyDemand(GwPeers *peers, GwPeerEntry *peer,
                    const Gw__Peer__Report *report)
{
    GwShortage *shortage = GwRouter_Shortage(peers->edge->router);
    GwLoadScope scope = (GwLoadScope)report->loads_of;
    int64_t now_us = GwEdge_Now();

    if (scope != peer->demand_of) {
        /* What it sent before is in the sum of another entry now. */
        peer->demand_of = GW_LOADS_NONE;
    }
    if (is_after_pause(peers, now_us) || shortage == NULL ||
        report->demand_age_ms == 0) {
        return;
    }
    uint32_t age_ms = report->demand_age_ms - 1;
    switch (scope) {
    case GW_LOADS_OWN:
    case GW_LOADS_DOMAIN:
        if (peer->demand == NULL) {
            peer->demand = g_array_new(FALSE, FALSE, sizeof(GwDemand));
        }
        read_demand(report, peer->demand);
        peer->demand_of = scope;
        peer->demand_as_of_us = now_us - (int64_t)age_ms * 1000;
        break;
    case GW_LOADS_ALL:
        if (accepts_total(peers, peer)) {
            read_demand(report, peers->demand);
            put_total(peers, age_ms, now_us);
        }
        break;
    default:
        break;
    }
}

void
GwPeers_UpdateDemand(GwPeers *peers, int64_t now_us)
{
    GwShortage *shortage = GwRouter_Shortage(peers->edge->router);

    (void)is_after_pause(peers, now_us);
    if (shortage == NULL || (peers->uses_sums && !peers->is_aggregator) ||
        now_us - peers->demand_total_us < TOTAL_PERIOD_US) {
        return;
    }
    peers->demand_total_us = now_us;
    uint32_t age_ms = sum_demand(peers, GW_LOADS_ALL, now_us, peers->demand);
    put_total(peers, age_ms, now_us);
}
