/* Eras of the store (store/version.h): a new one begins when the store was
 * restored from a copy, which lacks what was written last. */
#include "edge/feed_internal.h"
#include "edge/quarantine_rows.h"

uint32_t
GwEdge_NoteStoreAnswer(GwEdge *edge, const GwFeed *reader,
                       const GwHttpMessage *msg)
{
    uint32_t era =
        GwStoreEra_Parse(GwHttpMessage_GetOnly(msg, edge->adapter->store_era));
    GwFeed *feeds[] = {edge->operator_feed, edge->server_feed};

    for (size_t i = 0; era != 0 && i < G_N_ELEMENTS(feeds); i++) {
        if (feeds[i] != reader || msg->status != 200) {
            GwFollower_NoteEra(feeds[i]->follower, GwEdge_BootNow(), era);
            GwFeed_LogEra(feeds[i]);
        }
    }
    return era;
}

static void
log_new_era(GwFeed *feed, uint32_t era)
{
    GwEdge *edge = feed->edge;
    GwStoreVersion held = GwFeed_Version(feed);

    GwLog_Event(GW_LOG_STORE_ERA,
                "table=%s era=%u was=%u version=%" PRIu64
                " version_era=%u news_ms=%" PRId64 " pending=%u",
                feed->table, era, feed->era, held.number, held.era,
                GwFeed_AgeMs(feed), GwFeed_PendingRows(feed));
    if (feed == edge->operator_feed) {
        GwPeers_WriteRowAgain(edge->peers);
        GwQuarantineRows_WriteAgain(edge->quarantine_rows);
    }
}

void
GwFeed_LogEra(GwFeed *feed)
{
    uint32_t era = GwFeed_Era(feed);
    uint32_t pending = GwFeed_PendingRows(feed);

    if (era != feed->era) {
        if (feed->era != 0) {
            log_new_era(feed, era);
        }
        feed->era = era;
    }
    if (pending == 0 && feed->pending_rows > 0) {
        GwLog_Event(GW_LOG_ROWS_SETTLED, "table=%s era=%u", feed->table, era);
    }
    feed->pending_rows = pending;
}
