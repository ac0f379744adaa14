/* Rows of the store: a long poll for each table, and a read of the whole table
 * where the store no longer has the history. */
#include "edge/feed_internal.h"
#include "store/outage.h"

/* The store counts as unavailable after this time without an answer: rows may
 * have expired meanwhile. */
#define OUTAGE_MIN_US 1000000

static const GwConnOps store_ops;

GwFeed *
GwFeed_Create(GwEdge *edge, const char *table, GwRowChanged changed,
              GwRowIsUpdate is_update)
{
    GwFeed *feed = g_new0(GwFeed, 1);

    feed->edge = edge;
    feed->table = g_strdup(table);
    feed->follower = GwFollower_Create(changed, edge, GwEdge_Now());
    GwRowCache_SetIsUpdate(GwFeed_Cache(feed), is_update);
    return feed;
}

void
GwFeed_Close(GwFeed *feed)
{
    GwConn_CloseAndClear(&feed->conn);
    GwConn_CloseAndClear(&feed->peer);
}

void
GwFeed_Free(GwFeed *feed)
{
    if (feed == NULL) {
        return;
    }
    GwFollower_Free(feed->follower);
    g_free(feed->table);
    g_free(feed);
}

GwRowCache *
GwFeed_Cache(const GwFeed *feed)
{
    return GwFollower_Cache(feed->follower);
}

uint64_t
GwFeed_Version(const GwFeed *feed)
{
    return GwRowCache_Version(GwFeed_Cache(feed));
}

int64_t
GwFeed_UnansweredMs(const GwFeed *feed, int64_t now_us)
{
    return GwFollower_UnansweredUs(feed->follower, now_us) / 1000;
}

int64_t
GwFeed_AgeMs(const GwFeed *feed, int64_t now_us)
{
    return (now_us - GwFollower_UpdatedUs(feed->follower)) / 1000;
}

bool
GwFeed_IsLoaded(const GwFeed *feed)
{
    return GwFollower_IsKnown(feed->follower);
}

bool
GwFeed_IsHealthy(const GwFeed *feed)
{
    return GwFollower_IsHealthy(feed->follower);
}

void
GwFeed_SetPollPeriod(GwFeed *feed, uint32_t period_ms)
{
    GwFollower_SetPeriod(feed->follower, period_ms);
}

static int64_t
grace_us(const GwFeed *feed)
{
    return (int64_t)feed->edge->settings->row_grace_ms * 1000;
}

bool
GwFeed_HadOutage(const GwFeed *feed, int64_t now_us)
{
    return now_us < feed->outage_grace_until_us;
}

/* A row that expired while the store was unavailable is written again by its
 * owner, if the owner is alive, within two seconds after the store is
 * available again. Sets a grace period for the removal of rows, unless some
 * entry could read the store all the time. */
static bool
set_grace_after_outage(GwFeed *feed, int64_t now_us, bool failed,
                       bool polls_succeed)
{
    GwStoreHealth sight = {
        .failed = failed,
        .polls_succeed = polls_succeed,
        .healthy_peers = GwPeers_CountHealthyReaders(feed->edge->peers),
    };

    if (!GwStoreHealth_HadOutage(&sight)) {
        return false;
    }
    GwRowCache_SetGrace(GwFeed_Cache(feed), now_us + grace_us(feed),
                        grace_us(feed));
    return true;
}

void
GwFeed_NotePeerReport(GwFeed *feed, int64_t now_us, bool saw_outage)
{
    bool polls_succeed =
        GwFeed_IsHealthy(feed) && !GwFeed_HadOutage(feed, now_us);

    (void)set_grace_after_outage(feed, now_us, saw_outage, polls_succeed);
}

static void
note_store_answer(GwFeed *feed)
{
    int64_t now_us = GwEdge_Now();
    int64_t answered_us = GwFollower_AnsweredUs(feed->follower);
    bool failed =
        now_us - answered_us >
            OUTAGE_MIN_US + (int64_t)GwStorePoll_WaitMs(false) * 1000 ||
        GwFollower_HasFailed(feed->follower);

    if (set_grace_after_outage(feed, now_us, failed, false)) {
        feed->outage_grace_until_us = now_us + grace_us(feed);
        GwLog_Event(GW_LOG_STORE_BACK, "table=%s away_ms=%" G_GINT64_FORMAT,
                    feed->table, (now_us - answered_us) / 1000);
    }
}

/* ---- Calls to the store -------------------------------------------------- */

static void
fail_call(GwFeed *feed)
{
    GwConn_CloseAndClear(&feed->conn);
    GwFollower_OnFailure(feed->follower, GwEdge_Now());
}

/* Writes the call to the open connection. */
static void
write_call(GwFeed *feed)
{
    GwEdge *edge = feed->edge;
    const GwAdapter *a = edge->adapter;
    const GwStoreCall *call = &feed->call;
    char *target =
        call->kind == GW_CALL_READ
            ? a->read_target(feed->table, call->from_key)
            : a->feed_target(feed->table, call->after, call->wait_ms);

    GwConn_WriteGet(feed->conn, target, edge->settings->store_address);
    g_free(target);
    edge->counts.store_calls++;
    GwFollower_OnSent(feed->follower, GwEdge_Now(), GwEdge_BootNow());
}

static void
connect_store(GwFeed *feed)
{
    GwConnParams params = {
        .loop = &feed->edge->loop,
        .ops = &store_ops,
        .owner = feed,
        .head_max = 64 << 10,
        .body_max = GW_ROWS_MAX_BYTES,
        .user_timeout_ms = GW_POLL_MARGIN_MS,
        .keepalive = true,
    };

    feed->conn = GwConn_Connect(&params, feed->edge->settings->store_address);
    if (feed->conn == NULL) {
        fail_call(feed);
    }
}

static void
call_store(GwFeed *feed)
{
    if (!GwFollower_NextCall(feed->follower, GwEdge_Now(), &feed->call)) {
        return;
    }
    if (feed->conn == NULL) {
        connect_store(feed);
    }
    else {
        write_call(feed);
    }
}

/* The copy has every change that the store had acknowledged when the first
 * page was requested; how much later the store answered is not known. */
static void
note_proof(const GwFeed *feed)
{
    if (feed == feed->edge->operator_feed) {
        GwEdge_NoteProof(feed->edge, GwFollower_AskedUs(feed->follower));
    }
}

/* Logs an answer that is older than the rows held. */
static void
log_if_older(const GwFeed *feed, const GwRowSet *set)
{
    uint64_t held = GwFeed_Version(feed);

    if (set->version < held) {
        GwLog_Event(GW_LOG_ROWS_OLDER,
                    "table=%s version=%" PRIu64 " held=%" PRIu64, feed->table,
                    set->version, held);
    }
}

static void
apply_rows(GwFeed *feed, GwRowSet *set)
{
    bool has_rows = set->rows->len > 0;

    note_store_answer(feed);
    log_if_older(feed, set);
    if (GwFollower_OnRows(feed->follower, GwEdge_Now(), set)) {
        note_proof(feed);
    }
    else {
        call_store(feed);
    }
    if (has_rows) {
        GwPeers_ExpediteRegion(feed->edge->peers);
    }
    GwEdge_RunActions(feed->edge);
}

static void
on_store_message(void *owner, GwHttpMessage *msg)
{
    GwFeed *feed = owner;
    GError *error = NULL;
    GwRowSet *set = NULL;

    if (msg->status == 410) {
        GwHttpMessage_Free(msg);
        GwFollower_OnGone(feed->follower, GwEdge_Now());
        call_store(feed);
        return;
    }
    if (msg->status == 200) {
        set = feed->edge->adapter->read_rows(msg->body->str, msg->body->len,
                                             &error);
    }
    GwHttpMessage_Free(msg);
    if (error != NULL) {
        GwLog_Event(GW_LOG_STORE_AWAY, "table=%s why=\"%s\"", feed->table,
                    error->message);
        g_error_free(error);
    }
    if (set == NULL) {
        fail_call(feed);
        return;
    }
    apply_rows(feed, set);
}

static void
on_store_connected(void *owner)
{
    write_call(owner);
}

static void
on_store_ended(void *owner, GwConnEnd end)
{
    GwFeed *feed = owner;

    if (end != GW_CONN_MALFORMED) {
        feed->conn = NULL;
    }
    fail_call(feed);
}

static const GwConnOps store_ops = {
    .connected = on_store_connected,
    .message = on_store_message,
    .ended = on_store_ended,
};

void
GwFeed_SetReads(GwFeed *feed, bool reads)
{
    if (GwFollower_SetReads(feed->follower, GwEdge_Now(), reads) && !reads) {
        GwConn_CloseAndClear(&feed->conn);
    }
}

void
GwFeed_Sweep(GwFeed *feed, int64_t now_us)
{
    GwRowCache_Expire(GwFeed_Cache(feed), now_us);
    call_store(feed);
    if (GwFollower_IsOverdue(feed->follower, now_us)) {
        GwLog_Event(GW_LOG_STORE_AWAY, "table=%s why=silent", feed->table);
        fail_call(feed);
    }
    GwFeed_SweepPeer(feed, now_us);
}
