/* Fetches rows from a peer, and serves rows to peers: the source of all
 * tables for entries that do not read the store. */
#include "edge/feed_internal.h"

#include <string.h>

/* A copy that was not refreshed for this long is read again in full:
 * tombstones of removed rows may have expired. */
#define STALE_MS 60000
/* Maximum time without a byte from a peer before another peer is tried: a
 * round trip between two regions and the peer's processing. The time of the
 * whole transfer can be longer: on a link of 10 Mbit/s a row of 300 KB that
 * four peers read at once takes a second. */
#define PEER_ANSWER_MS 600
/* Maximum time of the whole transfer, which bounds the delay by a peer that
 * sends very slowly. */
#define PEER_TRANSFER_MS 4000
/* After a failed call to the store, rows are fetched from peers for this
 * long. */
#define STORE_FAILED_US 2000000

static const GwConnOps peer_ops;

/* The store's change history does not reach back to the beginning, so the
 * full table needs another call. */
static void
request_from_store(GwFeed *feed)
{
    const GwAdapter *a = feed->edge->adapter;
    char *target =
        feed->peer_full
            ? a->read_target(feed->table, NULL)
            : a->feed_target(feed->table, GwFeed_Version(feed).number);

    GwConn_WriteGet(feed->peer, target, feed->edge->settings->store_address);
    g_free(target);
    feed->edge->counts.store_calls++;
}

static void
request_rows(GwFeed *feed)
{
    GwRowsRequest request = {.digest = 0};

    if (feed->peer_is_store) {
        request_from_store(feed);
        return;
    }
    if (!feed->peer_full && !GwStoreVersion_IsNone(GwFeed_Version(feed))) {
        request.after = GwFeed_Version(feed);
        request.digest = GwRowCache_Digest(GwFeed_Cache(feed));
    }
    g_strlcpy(request.table, feed->table, sizeof(request.table));
    char *target = GwRowsRequest_WriteTarget(&request);
    GwConn_WriteGet(feed->peer, target, "peer");
    g_free(target);
}

static void
note_store_failed(GwFeed *feed)
{
    if (feed->peer_is_store) {
        feed->store_failed_us = GwEdge_Now();
    }
}

static void
on_peer_connected(void *owner)
{
    GwFeed *feed = owner;

    feed->peer_full |= GwFeed_AgeMs(feed) > STALE_MS;
    request_rows(feed);
}

/* Logs where an entry that does not read the store got new operator rows. */
static void
log_rows(const GwFeed *feed, const GwRowSet *set)
{
    const GwEdge *edge = feed->edge;

    if (set->rows->len > 0 && feed == edge->operator_feed) {
        GwLog_Event(GW_LOG_ROWS_TAKEN,
                    "rows=%u version=%" PRIu64 " era=%u from=%s address=%s "
                    "took_ms=%" PRId64,
                    set->rows->len, set->version.number, set->version.era,
                    feed->peer_is_store ? "store" : "peer", feed->peer_address,
                    (GwEdge_Now() - feed->peer_sent_us) / 1000);
    }
}

static void
apply_rows(GwFeed *feed, const GwRowSet *set)
{
    log_rows(feed, set);
    GwFollower_OnPeerRows(feed->follower, GwEdge_BootNow(), set,
                          feed->peer_full, &feed->peer_proof);
    GwFeed_LogEra(feed);
}

/* Changes that the store sent after a version of another era are of no use:
 * they lack what was written again at lower versions. */
static bool
has_other_era(const GwFeed *feed, const GwRowSet *set)
{
    return feed->peer_is_store && !feed->peer_full &&
           set->version.era != GwFeed_Version(feed).era;
}

static void
on_peer_message(void *owner, GwHttpMessage *msg)
{
    GwFeed *feed = owner;
    GwRowSet *set = NULL;
    uint32_t era = 0;

    if (feed->peer_is_store) {
        era = GwEdge_NoteStoreAnswer(feed->edge, NULL, msg);
    }
    if (msg->status == 410 && !feed->peer_full) {
        /* The peer no longer has all removals since that version. */
        GwHttpMessage_Free(msg);
        feed->peer_full = true;
        request_rows(feed);
        return;
    }
    if (!feed->peer_is_store) {
        GwDistance distance =
            GwPeers_DistanceTo(feed->edge->peers, feed->peer_address);
        feed->edge->cost.bytes[GW_CONTROL_ROWS][distance] += msg->body->len;
    }
    if (msg->status == 200) {
        set = feed->peer_is_store
                  ? feed->edge->adapter->read_rows(msg->body->str,
                                                   msg->body->len, NULL)
                  : GwRowSet_Unpack(msg->body->str, msg->body->len);
    }
    GwHttpMessage_Free(msg);
    GwConn_CloseAndClear(&feed->peer);
    if (set != NULL && feed->peer_is_store) {
        GwRowSet_SetEra(set, era != 0 ? era : GwFeed_Version(feed).era);
    }
    if (set == NULL || set->more || has_other_era(feed, set)) {
        note_store_failed(feed); /* a partial table can't be applied */
        GwRowSet_Free(set);
        set = NULL;
    }
    if (set != NULL) {
        apply_rows(feed, set);
        GwRowSet_Free(set);
        GwPeers_ExpediteDomain(feed->edge->peers);
        GwEdge_RunActions(feed->edge);
    }
}

static void
on_peer_ended(void *owner, GwConnEnd end)
{
    GwFeed *feed = owner;

    if (end == GW_CONN_MALFORMED) {
        GwConn_CloseAndClear(&feed->peer);
    }
    feed->peer = NULL;
    note_store_failed(feed);
}

static const GwConnOps peer_ops = {
    .connected = on_peer_connected,
    .message = on_peer_message,
    .ended = on_peer_ended,
};

static void
fetch_once(GwFeed *feed, const char *address, bool is_store, bool is_full,
           const GwPeerProof *proof)
{
    GwConnParams params = {
        .loop = &feed->edge->loop,
        .ops = &peer_ops,
        .owner = feed,
        .head_max = 64 << 10,
        .body_max = GW_ROWS_MAX_BYTES,
    };
    feed->peer_sent_us = GwEdge_Now();
    feed->peer_proof = *proof;
    feed->peer_is_store = is_store;
    feed->peer_full = is_full;
    g_strlcpy(feed->peer_address, address, sizeof(feed->peer_address));
    feed->peer = GwConn_Connect(&params, address);
}

void
GwFeed_ReadFromPeer(GwFeed *feed, const char *address, GwStoreVersion version,
                    const GwPeerProof *proof)
{
    if (feed->peer == NULL &&
        GwStoreVersion_IsNewer(version, GwFeed_Version(feed))) {
        fetch_once(feed, address, false, false, proof);
    }
}

void
GwFeed_ReadWholeFromPeer(GwFeed *feed, const char *address,
                         const GwPeerProof *proof)
{
    if (feed->peer == NULL) {
        fetch_once(feed, address, false, true, proof);
    }
}

void
GwFeed_ReadFromStore(GwFeed *feed, GwStoreVersion version)
{
    GwPeerProof proof = {.as_of_us = GwEdge_BootNow()};

    if (feed->peer == NULL &&
        GwStoreVersion_IsNewer(version, GwFeed_Version(feed))) {
        bool is_full = version.era != GwFeed_Version(feed).era;
        fetch_once(feed, feed->edge->settings->store_address, true, is_full,
                   &proof);
    }
}

bool
GwFeed_MayReadFromStore(const GwFeed *feed)
{
    return !GwFollower_Reads(feed->follower) &&
           (feed->store_failed_us == 0 ||
            GwEdge_Now() - feed->store_failed_us > STORE_FAILED_US);
}

uint64_t
GwFeed_BytesAfter(const GwFeed *feed, GwStoreVersion version)
{
    return GwRowCache_BytesAfter(GwFeed_Cache(feed), version);
}

/* Whether the requester's rows are equal to this copy although its version
 * is older: when many entries start together, tables are read at many
 * versions. */
static bool
has_same_rows(const GwFeed *feed, const GwRowsRequest *request)
{
    return request->digest != 0 &&
           request->digest == GwRowCache_Digest(GwFeed_Cache(feed));
}

GByteArray *
GwFeed_AnswerPeer(const GwFeed *feed, const GwRowsRequest *request,
                  uint16_t *status)
{
    GwStoreVersion after = request->after;

    *status = 404;
    if (strcmp(request->table, feed->table) != 0 || !GwFeed_IsLoaded(feed)) {
        return NULL;
    }
    if (after.era == 0 && !GwStoreVersion_IsNone(after)) {
        after.era = GwFeed_Version(feed).era;
    }
    if (!GwStoreVersion_IsNone(after) &&
        !GwRowCache_HasRemovalsAfter(GwFeed_Cache(feed), after)) {
        if (!has_same_rows(feed, request)) {
            *status = 410;
            return NULL;
        }
        after = GwFeed_Version(feed);
    }
    GwRowSet *set = GwRowCache_After(GwFeed_Cache(feed), after);
    GByteArray *bytes = GwRowSet_Pack(set);
    GwRowSet_Free(set);
    *status = 200;
    return bytes;
}

static bool
is_timed_out(const GwFeed *feed, int64_t now_us)
{
    int64_t received_us =
        MAX(feed->peer_sent_us, GwConn_LastReceivedUs(feed->peer));

    return now_us - received_us > PEER_ANSWER_MS * 1000 ||
           now_us - feed->peer_sent_us > PEER_TRANSFER_MS * 1000;
}

void
GwFeed_SweepPeer(GwFeed *feed)
{
    if (feed->peer != NULL && is_timed_out(feed, GwEdge_Now())) {
        GwConn_CloseAndClear(&feed->peer);
        note_store_failed(feed);
    }
}
