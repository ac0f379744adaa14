/* Which entries read the store. Calls to it are priced and bounded, and all
 * entries would be told the same. One entry of each region polls; the others
 * learn from reports that there is news, and fetch it from a peer. */
#include "edge/peers_internal.h"

#include <string.h>

/* With fewer others that read, every entry reads: the store may have turned
 * the readers away, or they may be cut off from it. */
#define OTHERS_MIN 2
/* A reader counts while it was heard within this: sooner than it counts as
 * silent, for news must come within 2.5 s also when all readers end at once;
 * reading for nothing costs a call. */
#define HEARD_PERIODS 2.4
#define HEARD_MIN_US  1200000
/* An entry that has just started reads for itself until it knows its peers. */
#define START_US 1000000

GwNewsEntry
GwPeers_Own(const GwPeers *peers)
{
    const GwEdgeSettings *own = peers->edge->settings;

    return (GwNewsEntry){
        .name = own->router.name,
        .link_kbps = own->link_kbps,
        .cpu_milli = own->cpu_milli,
    };
}

GwNewsEntry
GwPeerEntry_AsNews(const GwPeerEntry *peer)
{
    return (GwNewsEntry){
        .name = peer->name,
        .link_kbps = peer->link_kbps,
        .cpu_milli = peer->cpu_milli,
    };
}

static bool
is_heard_lately(const GwPeerEntry *peer, int64_t now_us)
{
    int64_t limit_us = (int64_t)(HEARD_PERIODS * peer->next_ms * 1000);

    return now_us - peer->heard_us < MAX(limit_us, HEARD_MIN_US);
}

void
GwPeers_ChooseReader(GwPeers *peers, int64_t now_us)
{
    GwEdge *edge = peers->edge;
    const GwRouterParams *own = &edge->settings->router;
    GwNewsEntry self = GwPeers_Own(peers);
    bool first = true;
    uint32_t others = 0;
    GwPeerScan scan = GwPeers_Scan(peers, NULL, NULL);
    const GwPeerEntry *peer;

    while ((peer = GwPeerScan_Next(&scan)) != NULL) {
        others += peer->reads && is_heard_lately(peer, now_us);
        GwNewsEntry other = GwPeerEntry_AsNews(peer);
        if (strcmp(peer->region, own->region) == 0 &&
            GwNews_IsBefore(&other, &self)) {
            first = false;
        }
    }
    bool lacks = !edge->leaving && !GwEdge_IsReady(edge);
    bool reads = first || others < OTHERS_MIN || lacks ||
                 now_us - edge->started_us < START_US;
    GwFeed_SetReads(edge->operator_feed, reads);
    GwFeed_SetReads(edge->server_feed, reads);
}

uint32_t
GwPeers_CountReadingWell(const GwPeers *peers)
{
    int64_t now_us = GwEdge_Now();
    GHashTableIter iter;
    gpointer value;
    uint32_t count = 0;

    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwPeerEntry *peer = value;
        count +=
            GwPeerEntry_IsLive(peer, now_us) && peer->reads && !peer->saw_away;
    }
    return count;
}
