/* Rows of the store: a long poll for each table, and a read of the whole table
 * where the store no longer has the history. */
#include "edge/feed_internal.h"
#include "store/outage.h"

#include <stdlib.h>
#include <string.h>

/* Pause between an answer and the next poll: changes come in bursts, and a
 * poll after the pause returns the whole burst. */
#define POLL_PAUSE_US 300000
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
    feed->cache = GwRowCache_Create(changed, edge);
    GwRowCache_SetIsUpdate(feed->cache, is_update);
    feed->phase = PHASE_READ;
    feed->retry_ms = GW_POLL_RETRY_MIN_MS;
    feed->answered_us = GwEdge_Now();
    feed->updated_us = feed->answered_us;
    return feed;
}

static void
close_store(GwFeed *feed)
{
    GwConn_CloseAndClear(&feed->conn);
    feed->next_poll_us = 0;
    GwRowSet_Free(feed->pages);
    feed->pages = NULL;
}

void
GwFeed_Close(GwFeed *feed)
{
    close_store(feed);
    GwConn_CloseAndClear(&feed->peer);
}

void
GwFeed_Free(GwFeed *feed)
{
    if (feed == NULL) {
        return;
    }
    GwRowCache_Free(feed->cache);
    g_free(feed->table);
    g_free(feed);
}

uint64_t
GwFeed_Version(const GwFeed *feed)
{
    return GwRowCache_Version(feed->cache);
}

int64_t
GwFeed_UnansweredMs(const GwFeed *feed, int64_t now_us)
{
    bool is_asking = feed->conn != NULL && feed->next_poll_us == 0;

    return is_asking ? (now_us - feed->polled_us) / 1000 : 0;
}

int64_t
GwFeed_AgeMs(const GwFeed *feed, int64_t now_us)
{
    return (now_us - feed->updated_us) / 1000;
}

bool
GwFeed_IsLoaded(const GwFeed *feed)
{
    return feed->known;
}

/* Closes the connection and schedules a retry with exponential backoff. */
static void
back_off(GwFeed *feed)
{
    close_store(feed);
    feed->retry_at_us = GwEdge_Now() + (int64_t)feed->retry_ms * 1000;
    feed->retry_ms = MIN(feed->retry_ms * 2, GW_POLL_RETRY_MAX_MS);
}

static void
send_poll(GwFeed *feed)
{
    GwEdge *edge = feed->edge;
    const GwAdapter *a = edge->adapter;
    char *target;

    if (feed->pages == NULL) {
        feed->asked_us = GwEdge_BootNow();
    }
    if (feed->phase == PHASE_READ) {
        feed->wait_ms = 0;
        target = a->read_target(feed->table, GwRowSet_LastKey(feed->pages));
    }
    else {
        feed->wait_ms =
            feed->poll_period_ms > 0
                ? 0
                : GwStorePoll_WaitMs(feed->retry_ms > GW_POLL_RETRY_MIN_MS);
        target = a->feed_target(feed->table, feed->version, feed->wait_ms);
    }
    GwConn_WriteGet(feed->conn, target, edge->settings->store_address);
    g_free(target);
    edge->counts.store_calls++;
    feed->polled_us = GwEdge_Now();
}

void
GwFeed_SetPollPeriod(GwFeed *feed, uint32_t period_ms)
{
    feed->poll_period_ms = period_ms;
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
    GwRowCache_SetGrace(feed->cache, now_us + grace_us(feed), grace_us(feed));
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
    bool failed =
        now_us - feed->answered_us >
            OUTAGE_MIN_US + (int64_t)GwStorePoll_WaitMs(false) * 1000 ||
        feed->retry_ms > GW_POLL_RETRY_MIN_MS;

    if (set_grace_after_outage(feed, now_us, failed, false)) {
        feed->outage_grace_until_us = now_us + grace_us(feed);
        GwLog_Event(GW_LOG_STORE_BACK, "table=%s away_ms=%" G_GINT64_FORMAT,
                    feed->table, (now_us - feed->answered_us) / 1000);
    }
    feed->answered_us = now_us;
    feed->retry_ms = GW_POLL_RETRY_MIN_MS;
}

/* Appends a page to the read in progress; returns whether more pages follow.
 * The version of the result is that of the first page: the feed sends all
 * later changes. */
static bool
append_page(GwFeed *feed, GwRowSet *set)
{
    bool more = set->more && set->rows->len > 0;

    if (feed->pages == NULL) {
        feed->pages = set;
        return more;
    }
    for (guint i = 0; i < set->rows->len; i++) {
        g_ptr_array_add(feed->pages->rows, set->rows->pdata[i]);
    }
    g_ptr_array_set_free_func(set->rows, NULL);
    GwRowSet_Free(set);
    return more;
}

/* All pages are read. They have every change that the store had acknowledged
 * when the first one was requested; how much later the store answered is not
 * known. */
static void
note_proof(const GwFeed *feed)
{
    if (feed == feed->edge->operator_feed) {
        GwEdge_NoteProof(feed->edge, feed->asked_us);
    }
}

/* Logs a read of the whole table that is older than the rows held. */
static void
log_if_older(const GwFeed *feed)
{
    uint64_t held = GwFeed_Version(feed);

    if (feed->pages->version < held) {
        GwLog_Event(GW_LOG_ROWS_OLDER,
                    "table=%s version=%" PRIu64 " held=%" PRIu64, feed->table,
                    feed->pages->version, held);
    }
}

static void
apply_rows(GwFeed *feed, GwRowSet *set)
{
    int64_t now_us = GwEdge_Now();

    note_store_answer(feed);
    feed->updated_us = now_us;
    bool has_rows = set->rows->len > 0;
    if (feed->phase == PHASE_FEED) {
        GwRowCache_ApplyChanges(feed->cache, now_us, set);
        feed->version = MAX(feed->version, set->version);
        GwRowSet_Free(set);
    }
    else if (!append_page(feed, set)) {
        log_if_older(feed);
        GwRowCache_ApplyFull(feed->cache, now_us, feed->pages);
        feed->version = feed->pages->version;
        feed->phase = PHASE_FEED;
        feed->known = true;
        GwRowSet_Free(feed->pages);
        feed->pages = NULL;
    }
    if (feed->pages != NULL) {
        send_poll(feed);
    }
    else {
        feed->next_poll_us =
            MAX(now_us + POLL_PAUSE_US,
                feed->polled_us + (int64_t)feed->poll_period_ms * 1000);
        note_proof(feed);
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
        feed->phase = PHASE_READ;
        GwHttpMessage_Free(msg);
        send_poll(feed);
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
        back_off(feed);
        return;
    }
    apply_rows(feed, set);
}

static void
on_store_connected(void *owner)
{
    send_poll(owner);
}

static void
on_store_ended(void *owner, GwConnEnd end)
{
    GwFeed *feed = owner;

    if (end != GW_CONN_MALFORMED) {
        feed->conn = NULL;
    }
    back_off(feed);
}

static const GwConnOps store_ops = {
    .connected = on_store_connected,
    .message = on_store_message,
    .ended = on_store_ended,
};

/* ---- Connection and time-outs -------------------------------------------- */

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

    feed->polled_us = GwEdge_Now();
    feed->wait_ms = 0;
    feed->conn = GwConn_Connect(&params, feed->edge->settings->store_address);
    if (feed->conn == NULL) {
        back_off(feed);
    }
}

/* An entry that starts to read the store continues from the version that it
 * has received from peers. */
void
GwFeed_SetReads(GwFeed *feed, bool reads)
{
    if (feed->reads == reads) {
        return;
    }
    feed->reads = reads;
    feed->answered_us = GwEdge_Now(); /* not polled, so no outage */
    if (!reads) {
        close_store(feed);
        return;
    }
    if (feed->known) {
        feed->phase = PHASE_FEED;
        feed->version = GwFeed_Version(feed);
    }
    feed->retry_at_us = 0;
}

bool
GwFeed_IsHealthy(const GwFeed *feed)
{
    return feed->reads && feed->known && feed->phase == PHASE_FEED &&
           feed->conn != NULL && feed->retry_ms == GW_POLL_RETRY_MIN_MS;
}

void
GwFeed_Sweep(GwFeed *feed, int64_t now_us)
{
    int64_t limit_us = ((int64_t)feed->wait_ms + GW_POLL_MARGIN_MS) * 1000;

    GwRowCache_Expire(feed->cache, now_us);
    if (feed->next_poll_us != 0 && now_us >= feed->next_poll_us) {
        feed->next_poll_us = 0;
        send_poll(feed);
    }
    if (feed->conn == NULL && feed->reads && now_us >= feed->retry_at_us) {
        connect_store(feed);
    }
    else if (feed->conn != NULL && feed->next_poll_us == 0 &&
             now_us - feed->polled_us > limit_us) {
        GwLog_Event(GW_LOG_STORE_AWAY, "table=%s why=silent", feed->table);
        back_off(feed);
    }
    GwFeed_SweepPeer(feed, now_us);
}
