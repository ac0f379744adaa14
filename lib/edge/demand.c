/* Exchanges the demand of entries in the reports that carry loads (aggregate.c),
 * so that all entries know the shortage of slots (lib/shortage). */
#include "edge/peers_internal.h"

#include <string.h>

/* Period of demand in the reports to one peer: a rate changes over a second,
 * and small instances pay for each byte. */
#define SEND_PERIOD_US 500000
/* Period of the totals that this entry computes for itself. */
#define TOTAL_PERIOD_US 250000
/* Demand of a peer counts for this long after the time that it describes. */
#define DEMAND_LIFE_US 2000000

static bool
has_fresh_demand(const GwPeerEntry *peer, int64_t now_us)
{
    return peer->demand != NULL &&
           now_us - peer->demand_as_of_us < DEMAND_LIFE_US;
}

static bool
is_in_domain(const GwPeers *peers, const GwPeerEntry *peer)
{
    return strcmp(peer->domain, peers->edge->settings->router.domain) == 0;
}

/* Replaces `out` with the demand of this entry, its failure domain or all. */
static void
sum_demand(GwPeers *peers, GwLoadScope scope, int64_t now_us, GArray *out)
{
    GHashTableIter iter;
    gpointer value;

    g_array_set_size(out, 0);
    GwDemandMeter_Read(GwRouter_DemandMeter(peers->edge->router), now_us, out);
    if (scope == GW_LOADS_OWN) {
        return;
    }
    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwPeerEntry *peer = value;
        if (has_fresh_demand(peer, now_us) &&
            (scope == GW_LOADS_ALL || is_in_domain(peers, peer))) {
            GwDemand_AddTo(out, (const GwDemand *)peer->demand->data,
                           peer->demand->len);
        }
    }
}

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
    sum_demand(peers, scope, now_us, peers->demand);
    report->n_demand = MIN(peers->demand->len, GW_DEMANDS_MAX);
    for (size_t i = 0; i < report->n_demand; i++) {
        arrays->list[i] =
            write_demand(&g_array_index(peers->demand, GwDemand, i),
                         &arrays->messages[i], arrays->work[i]);
    }
    report->demand = arrays->list;
    report->demand_age_ms = 1;
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
        g_array_append_val(out, demand);
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

void
GwPeers_ApplyDemand(GwPeers *peers, GwPeerEntry *peer,
                    const Gw__Peer__Report *report)
{
    GwShortage *shortage = GwRouter_Shortage(peers->edge->router);
    int64_t now_us = GwEdge_Now();

    if (report->loads_of != GW_LOADS_OWN &&
        report->loads_of != GW_LOADS_DOMAIN) {
        peer->demand_as_of_us = now_us - DEMAND_LIFE_US;
    }
    if (shortage == NULL || report->demand_age_ms == 0) {
        return;
    }
    uint32_t age_ms = report->demand_age_ms - 1;
    if (report->loads_of == GW_LOADS_ALL) {
        if (accepts_total(peers, peer)) {
            read_demand(report, peers->demand);
            GwShortage_PutTotal(shortage, now_us, age_ms,
                                (const GwDemand *)peers->demand->data,
                                peers->demand->len);
        }
        return;
    }
    if (peer->demand == NULL) {
        peer->demand = g_array_new(FALSE, FALSE, sizeof(GwDemand));
    }
    read_demand(report, peer->demand);
    peer->demand_as_of_us = now_us - (int64_t)age_ms * 1000;
}

void
GwPeers_UpdateDemand(GwPeers *peers, int64_t now_us)
{
    GwShortage *shortage = GwRouter_Shortage(peers->edge->router);

    if (shortage == NULL || (peers->uses_sums && !peers->is_aggregator) ||
        now_us - peers->demand_total_us < TOTAL_PERIOD_US) {
        return;
    }
    peers->demand_total_us = now_us;
    sum_demand(peers, GW_LOADS_ALL, now_us, peers->demand);
    GwShortage_PutTotal(shortage, now_us, 0,
                        (const GwDemand *)peers->demand->data,
                        peers->demand->len);
}
