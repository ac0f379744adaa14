/* Chooses the entry that aggregates the loads of a failure domain, and
 * which loads each peer is sent (load_sum.h gives the reason). While
 * entries are few, each reports its loads to each.
 *
 *     entry -> aggregator of its domain: its own requests in flight
 *     aggregator -> aggregators of other domains: the sum over its domain
 *     aggregator -> entries that report to it: the sum over all others, by
 *                   region
 *
 * Each entry chooses for itself: the first live entry of the failure domain
 * in the order of GwEntryRank_IsBefore. Two aggregators may be active for a
 * short time, with half of the loads each; no guarantee depends on there
 * being only one. */
#include "edge/peers_internal.h"

#include <string.h>

/* Above this factor on the periods, loads go through aggregators. With
 * sums, the bound on all other reports is half as high, so that a change of
 * one entry does not switch the mode back and forth. */
#define SUMS_ABOVE_STRETCH 1.25
/* An aggregator is replaced after two and a half of its periods plus this
 * margin, long before it counts as dead: until then, entries do not see
 * each other's loads. */
#define MISSED_PERIODS 2.5
#define MISSED_MS      300
/* Reported loads expire after this time. */
#define LOADS_LIFE_US 2000000
/* A sum is reused for all reports of one tick. */
#define SUM_LIFE_US 50000

static bool
is_heard(const GwPeerEntry *peer, int64_t now_us)
{
    double limit_ms = MISSED_PERIODS * peer->next_ms + MISSED_MS;

    return peer->serves && peer->heard &&
           (double)(now_us - peer->heard_us) < limit_ms * 1000;
}

static bool
tells_us(const GwPeerEntry *peer, int64_t now_us)
{
    return peer->loads != NULL && now_us - peer->loads_us < LOADS_LIFE_US;
}

static bool
is_of_domain(const GwPeers *peers, const GwPeerEntry *peer)
{
    return strcmp(peer->domain, peers->edge->settings->router.domain) == 0;
}

/* Maps each failure domain to its first live entry. */
static GHashTable *
find_firsts(GwPeers *peers, int64_t now_us)
{
    GHashTable *firsts = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwPeerEntry *peer = value;
        peer->is_first = false;
        if (!is_heard(peer, now_us)) {
            continue;
        }
        const GwPeerEntry *best = g_hash_table_lookup(firsts, peer->domain);
        GwNewsEntry a = GwPeerEntry_AsNews(peer);
        if (best != NULL) {
            GwNewsEntry b = GwPeerEntry_AsNews(best);
            if (!GwNews_IsBefore(&a, &b)) {
                continue;
            }
        }
        g_hash_table_replace(firsts, peer->domain, peer);
    }
    return firsts;
}

/* Drops the sum over all entries; the next aggregator has to send it in
 * full. */
static void
drop_sums(GwPeers *peers, int64_t now_us)
{
    GwPeerEntry *peer =
        g_hash_table_lookup(peers->by_address, peers->sums_from);

    if (peer != NULL) {
        GwSumCopy_Free(peer->copy);
        peer->copy = NULL;
    }
    peers->sums_from[0] = '\0';
    GwRouter_DropSums(peers->edge->router, now_us);
}

void
GwPeers_ChooseAggregators(GwPeers *peers, int64_t now_us)
{
    const char *domain = peers->edge->settings->router.domain;
    bool was = peers->by_sums;

    peers->by_sums = peers->stretch > SUMS_ABOVE_STRETCH;
    peers->aggregates = false;
    if (!peers->by_sums) {
        if (was) {
            drop_sums(peers, now_us);
        }
        return;
    }
    GHashTable *firsts = find_firsts(peers, now_us);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, firsts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((GwPeerEntry *)value)->is_first = true;
    }
    GwPeerEntry *near = g_hash_table_lookup(firsts, domain);
    GwNewsEntry own = GwPeers_Own(peers);
    GwNewsEntry other = {0};
    if (near != NULL) {
        other = GwPeerEntry_AsNews(near);
    }
    if (near == NULL || GwNews_IsBefore(&own, &other)) {
        peers->aggregates = true;
        if (near != NULL) {
            near->is_first = false;
        }
    }
    g_hash_table_destroy(firsts);
    if (peers->aggregates || now_us - peers->sums_heard_us > LOADS_LIFE_US) {
        drop_sums(peers, now_us);
    }
}

bool
GwPeers_TellsLoads(const GwPeers *peers, const GwPeerEntry *peer)
{
    return peers->by_sums ? tells_us(peer, GwEdge_Now())
                          : GwPeers_IsNear(peers, peer);
}

GwLoadsTold
GwPeers_LoadsFor(const GwPeers *peers, const GwPeerEntry *peer)
{
    if (!peers->by_sums) {
        return GW_LOADS_OWN;
    }
    if (!peers->aggregates) {
        return peer->is_first && is_of_domain(peers, peer) ? GW_LOADS_OWN
                                                           : GW_LOADS_NONE;
    }
    if (is_of_domain(peers, peer)) {
        return tells_us(peer, GwEdge_Now()) ? GW_LOADS_ALL : GW_LOADS_NONE;
    }
    return peer->is_first ? GW_LOADS_DOMAIN : GW_LOADS_NONE;
}

/* Sums the loads of this entry with those reported by its failure domain,
 * or by all entries. */
static void
add_up(GwPeers *peers, bool all)
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
        if (tells_us(peer, now_us) && (all || is_of_domain(peers, peer))) {
            GwLoadSum_Add(peers->sum, peer->region, peer->loads);
        }
    }
}

static const GwSumSource *
keep_fresh(GwPeers *peers, GwSumSource *source, int64_t *at_us, bool all)
{
    int64_t now_us = GwEdge_Now();

    if (now_us - *at_us > SUM_LIFE_US) {
        add_up(peers, all);
        GwSumSource_Update(source, peers->sum);
        *at_us = now_us;
    }
    return source;
}

const GwSumSource *
GwPeers_DomainSource(GwPeers *peers)
{
    return keep_fresh(peers, peers->domain_source, &peers->domain_us, false);
}

const GwSumSource *
GwPeers_AllSource(GwPeers *peers)
{
    return keep_fresh(peers, peers->all_source, &peers->all_us, true);
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
    peer->loads_us = GwEdge_Now();
    peers->domain_us = 0;
    peers->all_us = 0;
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
GwPeers_TakeDomainSum(GwPeers *peers, GwPeerEntry *peer,
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
set_in_router(void *ctx, const char *region, uint32_t server, uint32_t count)
{
    const GwPeers *peers = ctx;

    GwRouter_SetSum(peers->edge->router, GwEdge_Now(), region, server, count);
}

/* Accepts the sum only from the aggregator to which this entry reports: two
 * active aggregators hold only a part of the loads each. */
void
GwPeers_TakeAllSum(GwPeers *peers, GwPeerEntry *peer,
                   const Gw__Peer__SumChange *change)
{
    if (!peers->by_sums || peers->aggregates || !peer->is_first ||
        !is_of_domain(peers, peer)) {
        return;
    }
    if (strcmp(peers->sums_from, peer->peer_address) != 0) {
        drop_sums(peers, GwEdge_Now());
        GwSumCopy_Free(peer->copy);
        peer->copy = GwSumCopy_Create(set_in_router, peers);
        g_strlcpy(peers->sums_from, peer->peer_address,
                  sizeof(peers->sums_from));
    }
    if (GwSumCopy_Apply(peer->copy, change)) {
        peers->sums_heard_us = GwEdge_Now();
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
