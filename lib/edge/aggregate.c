/* Chooses the entry that aggregates the loads of a failure domain, and
 * which loads each peer is sent (load_sum.h gives the reason). While
 * entries are few, each entry reports its loads to all others.
 *
 *     entry -> aggregator of its domain: its own requests in flight
 *     aggregator -> aggregators of other domains: the sum over its domain
 *     aggregator -> entries that report to it: the sum over all entries except
 *                   the receiver, by region
 *
 * Each entry chooses for itself: the first reachable entry of the failure
 * domain in the order of GwEntryRank_IsBefore. Two aggregators may be active
 * for a short time, each with a part of the loads; no guarantee depends on
 * having a single aggregator. */
#include "edge/peers_internal.h"

#include <string.h>

/* Above this factor on the periods, loads go through aggregators. With
 * sums, the bound on all other reports is half as high, so that a change of
 * one entry does not switch the mode back and forth. */
#define SUMS_ABOVE_SCALE 1.25
/* An aggregator is replaced after two and a half of its periods plus this
 * margin, long before it counts as dead: until then, entries do not see
 * each other's loads. */
#define MISSED_PERIODS 2.5
#define MISSED_MS      300
/* Reported loads expire after this time. */
#define LOADS_EXPIRE_US 2000000
/* A sum is reused for all reports of one tick. */
#define SUM_REUSE_US 50000

static bool
is_reachable(const GwPeerEntry *peer, int64_t now_us)
{
    double limit_ms = MISSED_PERIODS * peer->next_ms + MISSED_MS;

    return peer->serves && peer->has_reported &&
           (double)(now_us - peer->last_report_us) < limit_ms * 1000;
}

static bool
has_fresh_loads(const GwPeerEntry *peer, int64_t now_us)
{
    return peer->loads != NULL &&
           now_us - peer->loads_received_us < LOADS_EXPIRE_US;
}

static bool
is_in_domain(const GwPeers *peers, const GwPeerEntry *peer)
{
    return strcmp(peer->domain, peers->edge->settings->router.domain) == 0;
}

/* Maps each failure domain to its first reachable entry. */
static GHashTable *
find_aggregators(GwPeers *peers, int64_t now_us)
{
    GHashTable *aggregators = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwPeerEntry *peer = value;
        peer->is_aggregator = false;
        if (!is_reachable(peer, now_us)) {
            continue;
        }
        const GwPeerEntry *best =
            g_hash_table_lookup(aggregators, peer->domain);
        GwEntryRank a = GwPeerEntry_Rank(peer);
        if (best != NULL) {
            GwEntryRank b = GwPeerEntry_Rank(best);
            if (!GwEntryRank_IsBefore(&a, &b)) {
                continue;
            }
        }
        g_hash_table_replace(aggregators, peer->domain, peer);
    }
    return aggregators;
}

/* Drops the sum over all entries; the next aggregator has to send it in
 * full. */
static void
drop_all_sum(GwPeers *peers, int64_t now_us)
{
    GwPeerEntry *peer =
        g_hash_table_lookup(peers->by_address, peers->aggregator);

    if (peer != NULL) {
        GwSumCopy_Free(peer->copy);
        peer->copy = NULL;
    }
    peers->aggregator[0] = '\0';
    GwRouter_DropRegionLoads(peers->edge->router, now_us);
}

void
GwPeers_ChooseAggregators(GwPeers *peers, int64_t now_us)
{
    const char *domain = peers->edge->settings->router.domain;
    bool used_sums = peers->uses_sums;

    peers->uses_sums = peers->period_scale > SUMS_ABOVE_SCALE;
    peers->is_aggregator = false;
    if (!peers->uses_sums) {
        if (used_sums) {
            drop_all_sum(peers, now_us);
        }
        return;
    }
    GHashTable *aggregators = find_aggregators(peers, now_us);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, aggregators);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((GwPeerEntry *)value)->is_aggregator = true;
    }
    GwPeerEntry *local = g_hash_table_lookup(aggregators, domain);
    GwEntryRank own_rank = GwPeers_OwnRank(peers);
    GwEntryRank local_rank = {0};
    if (local != NULL) {
        local_rank = GwPeerEntry_Rank(local);
    }
    if (local == NULL || GwEntryRank_IsBefore(&own_rank, &local_rank)) {
        peers->is_aggregator = true;
        if (local != NULL) {
            local->is_aggregator = false;
        }
    }
    g_hash_table_destroy(aggregators);
    if (peers->is_aggregator ||
        now_us - peers->sums_received_us > LOADS_EXPIRE_US) {
        drop_all_sum(peers, now_us);
    }
}

bool
GwPeers_CountsLoadsOf(const GwPeers *peers, const GwPeerEntry *peer)
{
    return peers->uses_sums ? has_fresh_loads(peer, GwEdge_Now())
                            : GwPeers_IsInRegion(peers, peer);
}

GwLoadScope
GwPeers_LoadScopeFor(const GwPeers *peers, const GwPeerEntry *peer)
{
    if (!peers->uses_sums) {
        return GW_LOADS_OWN;
    }
    if (!peers->is_aggregator) {
        return peer->is_aggregator && is_in_domain(peers, peer)
                   ? GW_LOADS_OWN
                   : GW_LOADS_NONE;
    }
    if (is_in_domain(peers, peer)) {
        return has_fresh_loads(peer, GwEdge_Now()) ? GW_LOADS_ALL
                                                   : GW_LOADS_NONE;
    }
    return peer->is_aggregator ? GW_LOADS_DOMAIN : GW_LOADS_NONE;
}

/* Sums the loads of this entry with those reported by its failure domain,
 * or by all entries. */
static void
build_sum(GwPeers *peers, bool all)
{
    const char *region = peers->edge->settings->router.region;
    int64_t now_us = GwEdge_Now();
    GHashTableIter iter;
    gpointer value;

    GwLoadSum_Clear(peers->sum);
    g_array_set_size(peers->loads, 0);
    GwRouter_OwnLoads(peers->edge->router, peers->loads);
    GwLoadSum_Add(peers->sum, region, peers->loads);
    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwPeerEntry *peer = value;
        if (has_fresh_loads(peer, now_us) &&
            (all || is_in_domain(peers, peer))) {
            GwLoadSum_Add(peers->sum, peer->region, peer->loads);
        }
    }
}

static const GwSumSource *
refresh(GwPeers *peers, GwSumSource *source, int64_t *at_us, bool all)
{
    int64_t now_us = GwEdge_Now();

    if (now_us - *at_us > SUM_REUSE_US) {
        build_sum(peers, all);
        GwSumSource_Update(source, peers->sum);
        *at_us = now_us;
    }
    return source;
}

const GwSumSource *
GwPeers_DomainSource(GwPeers *peers)
{
    return refresh(peers, peers->domain_source, &peers->domain_updated_us,
                   false);
}

const GwSumSource *
GwPeers_AllSource(GwPeers *peers)
{
    return refresh(peers, peers->all_source, &peers->all_updated_us, true);
}

void
GwPeers_NoteLoads(GwPeers *peers, GwPeerEntry *peer, const GwPeerLoad *loads,
                  uint32_t count)
{
    if (peer->loads == NULL) {
        peer->loads = g_array_new(FALSE, FALSE, sizeof(GwPeerLoad));
    }
    g_array_set_size(peer->loads, 0);
    if (count > 0) {
        g_array_append_vals(peer->loads, loads, count);
    }
    peer->loads_received_us = GwEdge_Now();
    peers->domain_updated_us = 0;
    peers->all_updated_us = 0;
}

static void
ignore_count(void *ctx, const char *region, uint32_t server, uint32_t count)
{
    (void)ctx;
    (void)region;
    (void)server;
    (void)count;
}

void
GwPeers_ApplyDomainSum(GwPeers *peers, GwPeerEntry *peer,
                       const Gw__Peer__SumChange *change)
{
    if (peer->copy == NULL) {
        peer->copy = GwSumCopy_Create(ignore_count, NULL);
    }
    if (GwSumCopy_Apply(peer->copy, change)) {
        g_array_set_size(peers->loads, 0);
        GwSumCopy_Loads(peer->copy, peers->loads);
        GwPeers_NoteLoads(peers, peer, (GwPeerLoad *)peers->loads->data,
                          peers->loads->len);
    }
}

static void
set_router_count(void *ctx, const char *region, uint32_t server,
                 uint32_t count)
{
    const GwPeers *peers = ctx;

    GwRouter_SetRegionLoad(peers->edge->router, GwEdge_Now(), region, server,
                           count);
}

/* Accepts the sum only from the aggregator to which this entry reports: while
 * two aggregators are active, each has only a part of the loads. */
void
GwPeers_ApplyAllSum(GwPeers *peers, GwPeerEntry *peer,
                    const Gw__Peer__SumChange *change)
{
    if (!peers->uses_sums || peers->is_aggregator || !peer->is_aggregator ||
        !is_in_domain(peers, peer)) {
        return;
    }
    if (strcmp(peers->aggregator, peer->peer_address) != 0) {
        drop_all_sum(peers, GwEdge_Now());
        GwSumCopy_Free(peer->copy);
        peer->copy = GwSumCopy_Create(set_router_count, peers);
        g_strlcpy(peers->aggregator, peer->peer_address,
                  sizeof(peers->aggregator));
    }
    if (GwSumCopy_Apply(peer->copy, change)) {
        peers->sums_received_us = GwEdge_Now();
    }
}

void
GwPeers_CreateSums(GwPeers *peers, uint32_t epoch)
{
    peers->sum = GwLoadSum_Create();
    peers->all_source = GwSumSource_Create(epoch);
    peers->domain_source = GwSumSource_Create(~epoch);
    peers->message = GwSumMessage_Create();
}

void
GwPeers_FreeSums(GwPeers *peers)
{
    GwLoadSum_Free(peers->sum);
    GwSumSource_Free(peers->all_source);
    GwSumSource_Free(peers->domain_source);
    GwSumMessage_Free(peers->message);
}
