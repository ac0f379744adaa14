/* Chooses the entries that read the store (store/reader.h). The other entries
 * receive reports of the changed versions and fetch the rows from a peer. */
#include "edge/peers_internal.h"

#include <string.h>

/* A new entry fetches its tables from a peer, which costs no call: it waits
 * SEEK_US for a report of a peer that has them, and PEER_ROWS_US for the
 * rows. When all entries start together no peer has the tables, and each entry
 * reads the store, as callers are waiting. */
#define SEEK_US      150000
#define PEER_ROWS_US 700000
/* At the first start of the whole system, callers come later: the first
 * entry of each region reads once it knows its peers, and the others if
 * they still lack the tables at FIRST_READ_US. */
#define FIRST_SEEK_US 600000
#define FIRST_READ_US 2500000
/* Minimum interval between two announcements of a reader. */
#define ANNOUNCE_US 2000000

GwEntryRank
GwPeers_OwnRank(const GwPeers *peers)
{
    const GwEdgeSettings *own = peers->edge->settings;

    return (GwEntryRank){
        .name = own->router.name,
        .link_kbps = own->link_kbps,
        .cpu_milli = own->cpu_milli,
    };
}

GwEntryRank
GwPeerEntry_Rank(const GwPeerEntry *peer)
{
    return (GwEntryRank){
        .name = peer->name,
        .link_kbps = peer->link_kbps,
        .cpu_milli = peer->cpu_milli,
    };
}

/* Number of entries of the region that rank before this one: of the serving
 * peers, or, if `of_serving` is false, of all live peers, for when none can
 * serve yet. */
static uint32_t
rank_in_region(const GwPeers *peers, int64_t now_us, bool of_serving)
{
    const char *region = peers->edge->settings->router.region;
    GwEntryRank own = GwPeers_OwnRank(peers);
    GHashTableIter iter;
    gpointer value;
    uint32_t before = 0;

    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwPeerEntry *peer = value;
        GwEntryRank peer_rank = GwPeerEntry_Rank(peer);
        before += (peer->serves || !of_serving) &&
                  GwPeerEntry_IsLive(peer, now_us) &&
                  strcmp(peer->region, region) == 0 &&
                  GwEntryRank_IsBefore(&peer_rank, &own);
    }
    return before;
}

static bool
reads_at_start(const GwPeers *peers, int64_t now_us)
{
    int64_t age_us = now_us - peers->edge->started_us;

    if (peers->tables_seen_us != 0) {
        return now_us - peers->tables_seen_us > PEER_ROWS_US;
    }
    if (peers->edge->settings->first_start) {
        return age_us > FIRST_READ_US ||
               (age_us > FIRST_SEEK_US &&
                rank_in_region(peers, now_us, false) == 0);
    }
    return age_us > SEEK_US;
}

/* Announces a change of the reader's health at once: other entries decide
 * by it whether to read. */
static void
announce(GwPeers *peers, int64_t now_us)
{
    GwEdge *edge = peers->edge;
    bool is_reading = GwFeed_IsHealthy(edge->operator_feed) &&
                      GwFeed_IsHealthy(edge->server_feed);

    if (is_reading != peers->announced_reading &&
        now_us - peers->announced_us > ANNOUNCE_US) {
        peers->announced_reading = is_reading;
        peers->announced_us = now_us;
        GwPeers_Announce(peers);
    }
}

/* Logs that this entry begins or ends to read the store. */
static void
log_reads(GwPeers *peers, GwReadReason reason)
{
    const GwEdge *edge = peers->edge;

    if (reason == peers->read_reason) {
        return;
    }
    peers->read_reason = reason;
    GwLog_Event(
        GW_LOG_STORE_READS,
        "why=%s version=%" PRIu64 " era=%u news_ms=%" PRId64
        " server_news_ms=%" PRId64,
        GwReadReason_Name(reason), GwFeed_Version(edge->operator_feed).number,
        GwFeed_Era(edge->operator_feed), GwFeed_AgeMs(edge->operator_feed),
        GwFeed_AgeMs(edge->server_feed));
}

static GwReadReason
reason_to_read(const GwPeers *peers, int64_t now_us)
{
    const GwEdge *edge = peers->edge;
    GwReaderView view = {
        .rank = rank_in_region(peers, now_us, true),
        .age_us = 1000 * MAX(GwFeed_AgeMs(edge->operator_feed),
                             GwFeed_AgeMs(edge->server_feed)),
        .bound_ms = GwEdgeSettings_ChangeBoundMs(edge->settings),
    };

    if (!edge->is_stopping && !GwEdge_HasTables(edge)) {
        return reads_at_start(peers, now_us) ? GW_READS_START : GW_READS_NOT;
    }
    return GwReaderView_Reason(&view);
}

void
GwPeers_ChooseReader(GwPeers *peers, int64_t now_us)
{
    GwEdge *edge = peers->edge;
    GwReadReason reason = reason_to_read(peers, now_us);

    GwFeed_SetReads(edge->operator_feed, reason);
    GwFeed_SetReads(edge->server_feed, reason);
    log_reads(peers, reason);
    if (reason == GW_READS_FIRST) {
        announce(peers, now_us);
    }
}

uint32_t
GwPeers_CountHealthyReaders(const GwPeers *peers)
{
    int64_t now_us = GwEdge_Now();
    GHashTableIter iter;
    gpointer value;
    uint32_t count = 0;

    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwPeerEntry *peer = value;
        count += GwPeerEntry_IsLive(peer, now_us) && peer->reads_store &&
                 !peer->saw_outage;
    }
    return count;
}
