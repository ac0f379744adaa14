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
/* An entry that starts gets its tables from a peer, which costs no call. It
 * waits so long to hear of one that has them, and then for the tables. When all
 * start at once nobody has them: each reads for itself, for callers wait. */
#define SEEK_US      150000
#define PEER_ROWS_US 700000
/* At the first start of all callers come later: the first of each region reads
 * when it knows its peers, and the others if they still lack the tables then. */
#define FIRST_SEEK_US  600000
#define FIRST_ALONE_US 2500000
/* An entry that has just started may not have heard yet of those that read for
 * other regions. */
#define SETTLE_US 3000000
/* Between two announcements of who reads. */
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

/* Whether this entry is the one that reads for its region: among the peers that
 * serve, or, while none can yet, among all that are heard. */
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

/* Others decide by who reads whether they have to. */
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
