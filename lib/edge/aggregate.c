/* Who adds up the loads of a failure domain, and who is told which sum
 * (load_sum.h says why). While entries are few each tells each, as that is
 * within what an entry may send.
 *
 *     entry -> its domain's aggregator: what it has in flight
 *     aggregator -> those of other domains: the sum of its domain
 *     aggregator -> entries that told it: the sum of all others, by region
 *
 * An aggregator is chosen by each entry for itself: the first of the failure
 * domain that is heard (GwNews_IsBefore). Two that are chosen at once know half
 * each for a moment; nobody's promise rests on it. */
#include "edge/peers_internal.h"

#include <string.h>

/* Each entry tells each until reports have to be stretched by this. With sums
 * the bound on the others is half as high, so one entry more or less does not
 * change it to and fro. */
#define SUMS_ABOVE_STRETCH 1.25
/* The entry that adds up is missed after two and a half of its reports and a
 * little: long before it counts as silent, since loads are blind meanwhile. */
#define MISSED_PERIODS 2.5
#define MISSED_MS      300
/* What an entry had in flight counts for so long. */
#define LOADS_LIFE_US 2000000
/* A sum is made anew at most this often: one tick tells it to all. */
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

/* The first of each failure domain, among those that are heard. */
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

void
GwPeers_ChooseAggregators(GwPeers *peers, int64_t now_us)
{
    const char *domain = peers->edge->settings->router.domain;
    bool was = peers->by_sums;

    peers->by_sums = peers->stretch > SUMS_ABOVE_STRETCH;
    peers->aggregates = false;
    if (!peers->by_sums) {
        if (was) {
            GwRouter_DropSums(peers->edge->router, now_us);
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
        GwRouter_DropSums(peers->edge->router, now_us);
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

/* Adds what this entry has in flight, and what those of its failure domain or
 * of all told. */
static void
add_up(GwPeers *peers, GwLoadSum *sum, bool all)
{
    const char *region = peers->edge->settings->router.region;
    int64_t now_us = GwEdge_Now();
    GHashTableIter iter;
    gpointer value;

    GwLoadSum_Clear(sum);
    g_array_set_size(peers->loads, 0);
    GwRouter_OwnLoads(peers->edge->router, peers->loads);
    GwLoadSum_Add(sum, region, peers->loads);
    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwPeerEntry *peer = value;
        if (tells_us(peer, now_us) && (all || is_of_domain(peers, peer))) {
            GwLoadSum_Add(sum, peer->region, peer->loads);
        }
    }
}

void
GwPeers_DomainLoads(GwPeers *peers, GArray *out)
{
    GwLoadSum *sum = GwLoadSum_Create();

    add_up(peers, sum, false);
    g_array_set_size(out, 0);
    GwLoadSum_Loads(sum, 0, out);
    GwLoadSum_Free(sum);
}

const GwLoadSum *
GwPeers_SumFor(GwPeers *peers, const GwPeerEntry *peer)
{
    int64_t now_us = GwEdge_Now();

    if (now_us - peers->sum_us > SUM_LIFE_US) {
        add_up(peers, peers->sum, true);
        peers->sum_us = now_us;
    }
    GwLoadSum_Less(peers->sum, peer->region, peer->loads);
    return peers->sum;
}

void
GwPeers_SumDone(GwPeers *peers, const GwPeerEntry *peer)
{
    GwLoadSum_Add(peers->sum, peer->region, peer->loads);
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
    peers->sum_us = 0;
}
