/* Chooses the entries that read the store. Calls to the store are paid for
 * and rate limited, and all entries would read the same rows. One entry per
 * region polls; the others learn of changes from reports and fetch the rows
 * from a peer. */
#include "edge/peers_internal.h"

#include <string.h>

/* With fewer other readers than this, every entry reads: the store may have
 * rejected the readers, or they may be unreachable. */
#define OTHERS_MIN 2
/* A reader counts for this long after its last report, which is shorter
 * than the time after which it is dead: changes must arrive within 2.5 s
 * even if all readers stop at once, while needless reading costs one call. */
#define HEARD_PERIODS 2.4
#define HEARD_MIN_US  1200000
/* A new entry fetches its tables from a peer, which costs no call: it waits
 * SEEK_US for a report of a peer that has them, and PEER_ROWS_US for the
 * rows. When all entries start together no peer has them, and each reads
 * the store, as callers are waiting. */
#define SEEK_US      150000
#define PEER_ROWS_US 700000
/* At the first start of the whole system, callers come later: the first
 * entry of each region reads once it knows its peers, and the others if
 * they still lack the tables at FIRST_ALONE_US. */
#define FIRST_SEEK_US  600000
#define FIRST_ALONE_US 2500000
/* A new entry may not have received reports from the readers of other
 * regions yet. */
#define SETTLE_US 3000000
/* Minimum interval between two announcements of a reader. */
#define ANNOUNCE_US 2000000

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

/* Whether this entry is the first of its region: among the serving peers,
 * or, if `of_serving` is false, among all live peers, for when none can
 * serve yet. */
static bool
is_first(const GwPeers *peers, int64_t now_us, bool of_serving)
{
    const char *region = peers->edge->settings->router.region;
    GwNewsEntry self = GwPeers_Own(peers);
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwPeerEntry *peer = value;
        GwNewsEntry other = GwPeerEntry_AsNews(peer);
        if ((peer->serves || !of_serving) &&
            GwPeerEntry_IsLive(peer, now_us) &&
            strcmp(peer->region, region) == 0 &&
            GwNews_IsBefore(&other, &self)) {
            return false;
        }
    }
    return true;
}

static uint32_t
count_readers(const GwPeers *peers, int64_t now_us)
{
    GwPeerScan scan = GwPeers_Scan(peers, NULL, NULL);
    const GwPeerEntry *peer;
    uint32_t count = 0;

    while ((peer = GwPeerScan_Next(&scan)) != NULL) {
        count += peer->reads && is_heard_lately(peer, now_us);
    }
    return count;
}

static bool
reads_to_start(const GwPeers *peers, int64_t now_us)
{
    int64_t age_us = now_us - peers->edge->started_us;

    if (peers->informed_us != 0) {
        return now_us - peers->informed_us > PEER_ROWS_US;
    }
    if (peers->edge->settings->first_start) {
        return age_us > FIRST_ALONE_US ||
               (age_us > FIRST_SEEK_US && is_first(peers, now_us, false));
    }
    return age_us > SEEK_US;
}

/* Announces a change of the reader's health at once: other entries decide
 * by it whether to read. */
static void
announce(GwPeers *peers, int64_t now_us)
{
    GwEdge *edge = peers->edge;
    bool well = GwFeed_IsHealthy(edge->operator_feed) &&
                GwFeed_IsHealthy(edge->server_feed);

    if (well != peers->reads_well &&
        now_us - peers->reads_well_us > ANNOUNCE_US) {
        peers->reads_well = well;
        peers->reads_well_us = now_us;
        GwPeers_Announce(peers);
    }
}

void
GwPeers_ChooseReader(GwPeers *peers, int64_t now_us)
{
    GwEdge *edge = peers->edge;
    uint32_t others = count_readers(peers, now_us);
    bool settles = now_us - edge->started_us < SETTLE_US;
    bool first = is_first(peers, now_us, true);
    bool reads = first || others < (settles ? 1 : OTHERS_MIN);

    if (!edge->leaving && !GwEdge_IsReady(edge)) {
        reads = reads_to_start(peers, now_us);
    }
    GwFeed_SetReads(edge->operator_feed, reads);
    GwFeed_SetReads(edge->server_feed, reads);
    if (first) {
        announce(peers, now_us);
    }
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
