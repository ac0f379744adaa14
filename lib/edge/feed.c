/* Rows of the store: carries out the calls that a follower decides
 * (store/follower.h). */
#include "edge/feed_internal.h"
#include "store/outage.h"

static const GwConnOps store_ops;

static int64_t
grace_us(const GwFeed *feed)
{
    return (int64_t)feed->edge->settings->row_grace_ms * 1000;
}

GwFeed *
GwFeed_Create(GwEdge *edge, const GwFeedParams *params)
{
    GwFeed *feed = g_new0(GwFeed, 1);

    feed->edge = edge;
    feed->table = g_strdup(params->table);
    feed->follower =
        GwFollower_Create(params->changed, edge, GwEdge_BootNow(),
                          GwEdgeSettings_ChangeBoundMs(edge->settings));
    for (uint32_t i = 0; i < GW_FOLLOWER_CALLS_MAX; i++) {
        feed->links[i].feed = feed;
    }
    GwRowCache_SetIsUpdate(GwFeed_Cache(feed), params->is_update);
    GwRowCache_SetOrder(GwFeed_Cache(feed), params->order);
    GwRowCache_SetEraGrace(GwFeed_Cache(feed), grace_us(feed));
    return feed;
}

static void
close_links(GwFeed *feed)
{
    for (uint32_t i = 0; i < GW_FOLLOWER_CALLS_MAX; i++) {
        GwConn_CloseAndClear(&feed->links[i].conn);
        feed->links[i].call.id = 0;
    }
}

void
GwFeed_Close(GwFeed *feed)
{
    close_links(feed);
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

GwStoreVersion
GwFeed_Version(const GwFeed *feed)
{
    return GwRowCache_Version(GwFeed_Cache(feed));
}

uint32_t
GwFeed_Era(const GwFeed *feed)
{
    return GwFollower_Era(feed->follower);
}

uint32_t
GwFeed_PendingRows(const GwFeed *feed)
{
    return GwRowCache_PendingCount(GwFeed_Cache(feed));
}

int64_t
GwFeed_UnansweredMs(const GwFeed *feed)
{
    return GwFollower_UnansweredUs(feed->follower, GwEdge_BootNow()) / 1000;
}

int64_t
GwFeed_AgeMs(const GwFeed *feed)
{
    return GwFollower_AgeUs(feed->follower, GwEdge_BootNow()) / 1000;
}

const GwProof *
GwFeed_Proof(const GwFeed *feed)
{
    return GwFollower_Proof(feed->follower);
}

void
GwFeed_ExpectEra(GwFeed *feed, uint32_t era)
{
    GwFollower_ExpectEra(feed->follower, GwEdge_BootNow(), era);
}

void
GwFeed_NoteProof(GwFeed *feed, const GwPeerProof *proof)
{
    GwFollower_NoteProof(feed->follower, proof);
}

bool
GwFeed_IsLoaded(const GwFeed *feed)
{
    return GwFollower_IsKnown(feed->follower);
}

bool
GwFeed_IsHealthy(const GwFeed *feed)
{
    return GwFollower_IsHealthy(feed->follower, GwEdge_BootNow());
}

void
GwFeed_FollowOther(GwFeed *feed)
{
    GwFollower_FollowOther(feed->follower);
}

void
GwFeed_SetBound(GwFeed *feed, uint32_t bound_ms)
{
    GwFollower_SetBound(feed->follower, bound_ms);
}

bool
GwFeed_HadOutage(const GwFeed *feed)
{
    return GwEdge_BootNow() < feed->outage_grace_until_us;
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
    GwRowCache_SetGrace(GwFeed_Cache(feed), now_us + grace_us(feed));
    return true;
}

void
GwFeed_NotePeerReport(GwFeed *feed, bool saw_outage)
{
    bool polls_succeed = GwFeed_IsHealthy(feed) && !GwFeed_HadOutage(feed);

    (void)set_grace_after_outage(feed, GwEdge_BootNow(), saw_outage,
                                 polls_succeed);
}

/* Servers' rows may have expired while the store did not answer, whichever
 * table was asked. */
static void
note_store_answer(const GwFeed *feed)
{
    GwFeed *servers = feed->edge->server_feed;
    int64_t now_us = GwEdge_BootNow();
    bool failed = GwFollower_IsAway(feed->follower, now_us);

    if (set_grace_after_outage(servers, now_us, failed, false)) {
        servers->outage_grace_until_us = now_us + grace_us(servers);
        GwLog_Event(GW_LOG_STORE_BACK, "table=%s away_ms=%" G_GINT64_FORMAT,
                    feed->table,
                    (now_us - GwFollower_AnsweredUs(feed->follower)) / 1000);
    }
}

/* ---- Calls to the store -------------------------------------------------- */

/* Writes the call to the open connection. */
static void
write_call(GwStoreLink *link)
{
    GwFeed *feed = link->feed;
    GwEdge *edge = feed->edge;
    const GwAdapter *a = edge->adapter;
    const GwStoreCall *call = &link->call;
    char *target = call->kind == GW_CALL_READ
                       ? a->read_target(feed->table, call->from_key)
                       : a->feed_target(feed->table, call->after);

    GwConn_WriteGet(link->conn, target, edge->settings->store_address);
    g_free(target);
    edge->counts.store_calls++;
    link->received_us = GwConn_LastReceivedUs(link->conn);
}

/* The call failed, and its connection is not used again. */
static void
fail_call(GwStoreLink *link)
{
    uint32_t id = link->call.id;

    link->call.id = 0;
    GwConn_CloseAndClear(&link->conn);
    GwFollower_OnFailure(link->feed->follower, GwEdge_BootNow(), id);
}

static void
connect_store(GwStoreLink *link)
{
    GwEdge *edge = link->feed->edge;
    GwConnParams params = {
        .loop = &edge->loop,
        .ops = &store_ops,
        .owner = link,
        .head_max = 64 << 10,
        .body_max = GW_ROWS_MAX_BYTES,
        .user_timeout_ms = edge->settings->config_bound_ms,
        .keepalive = true,
    };

    link->conn = GwConn_Connect(&params, edge->settings->store_address);
    if (link->conn == NULL) {
        fail_call(link);
    }
}

/* Returns an open connection without a call, or else an unused slot. */
static GwStoreLink *
find_link(GwFeed *feed)
{
    GwStoreLink *unused = NULL;

    for (uint32_t i = 0; i < GW_FOLLOWER_CALLS_MAX; i++) {
        GwStoreLink *link = &feed->links[i];
        if (link->call.id == 0 && link->conn != NULL) {
            return link;
        }
        if (link->call.id == 0) {
            unused = link;
        }
    }
    return unused;
}

static void
call_store(GwFeed *feed)
{
    GwStoreLink *link = find_link(feed);

    if (link == NULL ||
        !GwFollower_NextCall(feed->follower, GwEdge_BootNow(), &link->call)) {
        return;
    }
    if (link->conn == NULL) {
        connect_store(link);
    }
    else {
        write_call(link);
    }
}

/* Logs an answer that is older than the rows held. */
static void
log_if_older(const GwFeed *feed, const GwRowSet *set)
{
    GwStoreVersion held = GwFeed_Version(feed);

    if (GwStoreVersion_IsNewer(held, set->version)) {
        GwLog_Event(GW_LOG_ROWS_OLDER,
                    "table=%s version=%" PRIu64 " era=%u held=%" PRIu64
                    " held_era=%u",
                    feed->table, set->version.number, set->version.era,
                    held.number, held.era);
    }
}

static void
drop_overdue_calls(GwFeed *feed)
{
    uint32_t id;

    while ((id = GwFollower_NextOverdue(feed->follower, GwEdge_BootNow())) !=
           0) {
        for (uint32_t i = 0; i < GW_FOLLOWER_CALLS_MAX; i++) {
            GwStoreLink *link = &feed->links[i];
            if (link->call.id == id) {
                link->call.id = 0;
                GwConn_CloseAndClear(&link->conn);
            }
        }
    }
}

/* Reads the servers' rows if an answer about the operators' rows shows that the
 * store has changed. */
static void
tell_other_feed(const GwFeed *feed)
{
    GwFeed *servers = feed->edge->server_feed;

    if (feed != servers) {
        GwFollower_OnOther(servers->follower, GwEdge_BootNow(),
                           GwFollower_LastAnswer(feed->follower));
        call_store(servers);
    }
}

static void
apply_rows(GwStoreLink *link, GwRowSet *set)
{
    GwFeed *feed = link->feed;
    uint32_t id = link->call.id;
    bool has_rows = set->rows->len > 0;

    note_store_answer(feed);
    log_if_older(feed, set);
    link->call.id = 0;
    if (GwFollower_OnRows(feed->follower, GwEdge_BootNow(), id, set,
                          &link->call)) {
        write_call(link);
    }
    else {
        drop_overdue_calls(feed);
        tell_other_feed(feed);
    }
    GwFeed_LogEra(feed);
    if (has_rows) {
        GwPeers_ExpediteRegion(feed->edge->peers);
    }
    GwEdge_RunActions(feed->edge);
}

static void
on_store_message(void *owner, GwHttpMessage *msg)
{
    GwStoreLink *link = owner;
    GwFeed *feed = link->feed;
    GError *error = NULL;
    GwRowSet *set = NULL;

    uint32_t era = GwEdge_NoteStoreAnswer(feed->edge, feed, msg);
    if (msg->status == 410) {
        uint32_t id = link->call.id;
        GwHttpMessage_Free(msg);
        link->call.id = 0;
        GwFollower_OnGone(feed->follower, GwEdge_BootNow(), id);
        call_store(feed);
        return;
    }
    if (msg->status == 200) {
        set = feed->edge->adapter->read_rows(msg->body->str, msg->body->len,
                                             &error);
    }
    GwHttpMessage_Free(msg);
    if (set != NULL) {
        GwRowSet_SetEra(set, era);
    }
    if (error != NULL) {
        GwLog_Event(GW_LOG_STORE_AWAY, "table=%s why=\"%s\"", feed->table,
                    error->message);
        g_error_free(error);
    }
    if (set == NULL) {
        fail_call(link);
        return;
    }
    apply_rows(link, set);
}

static void
on_store_connected(void *owner)
{
    write_call(owner);
}

static void
on_store_ended(void *owner, GwConnEnd end)
{
    GwStoreLink *link = owner;

    if (end != GW_CONN_MALFORMED) {
        link->conn = NULL;
    }
    fail_call(link);
}

static const GwConnOps store_ops = {
    .connected = on_store_connected,
    .message = on_store_message,
    .ended = on_store_ended,
};

void
GwFeed_SetReads(GwFeed *feed, GwReadReason reason)
{
    if (GwFollower_SetReads(feed->follower, GwEdge_BootNow(), reason) &&
        reason == GW_READS_NOT) {
        close_links(feed);
    }
}

/* Tells the follower of answers that are still arriving. */
static void
note_bytes(GwFeed *feed)
{
    for (uint32_t i = 0; i < GW_FOLLOWER_CALLS_MAX; i++) {
        GwStoreLink *link = &feed->links[i];
        if (link->call.id == 0 || link->conn == NULL ||
            GwConn_LastReceivedUs(link->conn) == link->received_us) {
            continue;
        }
        link->received_us = GwConn_LastReceivedUs(link->conn);
        GwFollower_OnBytes(feed->follower, GwEdge_BootNow(), link->call.id);
    }
}

/* Logs once that the store is away. */
static void
log_outage(GwFeed *feed)
{
    bool is_away = GwFollower_IsAway(feed->follower, GwEdge_BootNow());

    if (is_away && !feed->is_away) {
        GwLog_Event(GW_LOG_STORE_AWAY, "table=%s unanswered_ms=%" PRId64,
                    feed->table, GwFeed_UnansweredMs(feed));
    }
    feed->is_away = is_away;
}

void
GwFeed_Tick(GwFeed *feed)
{
    note_bytes(feed);
    call_store(feed);
    drop_overdue_calls(feed);
    log_outage(feed);
}

void
GwFeed_Sweep(GwFeed *feed)
{
    GwRowCache_Expire(GwFeed_Cache(feed), GwEdge_BootNow());
    GwFeed_LogEra(feed);
    GwFeed_SweepPeer(feed);
}
