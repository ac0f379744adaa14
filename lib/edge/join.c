/* Discovers the other entries: writes this entry's row into the store and
 * reads the rows of all entries. Seeds replace the rows during a store
 * outage. */
#include "edge/bootstrap.h"
#include "edge/peers_internal.h"

#include <string.h>

#define ENTRY_TABLE     "entries"
#define JOIN_TIMEOUT_US 1500000
#define JOIN_RETRY_US   700000
#define ROWS_BODY_MAX   (8u << 20)
/* A copy from which the store is restored is some seconds old. */
#define COPY_AGE_MAX_US 60000000
/* Entries that write their rows again spread their calls over this time. */
#define REWRITE_SPREAD_US 10000000

static void
retry_join(GwPeers *peers)
{
    GwConn_CloseAndClear(&peers->join);
    peers->next_join_us = GwEdge_Now() + JOIN_RETRY_US;
}

static void
write_own_row(GwPeers *peers)
{
    const GwEdgeSettings *own = peers->edge->settings;
    const GwAdapter *a = peers->edge->adapter;
    GwEntryRow row = {.link_kbps = own->link_kbps,
                      .cpu_milli = own->cpu_milli};

    g_strlcpy(row.address, own->peer_address, sizeof(row.address));
    g_strlcpy(row.region, own->router.region, sizeof(row.region));
    g_strlcpy(row.domain, own->router.domain, sizeof(row.domain));
    char *value = GwEntryRow_WriteValue(&row);
    char *body = a->write_body(ENTRY_TABLE, own->router.name, value);

    GwConn_WritePost(peers->join, a->write_target, own->store_address, body);
    g_free(body);
    g_free(value);
}

static void
send_call(GwPeers *peers)
{
    GwEdge *edge = peers->edge;

    edge->counts.store_calls++;
    if (peers->step == GW_JOIN_WRITE) {
        write_own_row(peers);
        return;
    }
    char *target = edge->adapter->read_target(ENTRY_TABLE, peers->join_after);
    GwConn_WriteGet(peers->join, target, edge->settings->store_address);
    g_free(target);
}

static void
on_join_connected(void *owner)
{
    send_call(owner);
}

static GArray *
read_entries(const GwRowSet *set)
{
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(GwEntryRow));

    for (guint i = 0; i < set->rows->len; i++) {
        const GwStoreRow *row = set->rows->pdata[i];
        GwEntryRow entry;
        if (!row->removed && GwEntryRow_Read(row->key, row->value, &entry)) {
            g_array_append_val(rows, entry);
        }
    }
    return rows;
}

/* Notified peers get a report now, the others at their regular period. */
static void
add_entries(GwPeers *peers, const GwRowSet *set)
{
    const char *region = peers->edge->settings->router.region;
    GArray *rows = read_entries(set);
    bool *notified = g_new(bool, rows->len + 1);

    GwBootstrap_ChooseNotified(region, rows, notified);
    for (guint i = 0; i < rows->len; i++) {
        GwPeerEntry *peer =
            GwPeers_Add(peers, g_array_index(rows, GwEntryRow, i).address);
        if (peer != NULL && notified[i]) {
            GwPeers_SendReport(peers, peer, false);
        }
    }
    GwPeers_SetPeriods(peers, GwEdge_Now());
    GwPeers_StaggerFirstReports(peers);
    g_free(notified);
    g_array_free(rows, TRUE);
}

static void
on_join_message(void *owner, GwHttpMessage *msg)
{
    GwPeers *peers = owner;
    GwRowSet *set = NULL;
    bool ok = msg->status == 200;
    uint32_t era = GwEdge_NoteStoreAnswer(peers->edge, NULL, msg);
    bool is_new_era = peers->join_era != 0 && era != peers->join_era;

    peers->join_era = era;
    if (ok && peers->step == GW_JOIN_READ) {
        set = peers->edge->adapter->read_rows(msg->body->str, msg->body->len,
                                              NULL);
        ok = set != NULL;
    }
    GwHttpMessage_Free(msg);
    if (!ok) {
        retry_join(peers);
    }
    else if (set == NULL) {
        peers->row_written_us = GwEdge_BootNow();
        peers->step = GW_JOIN_READ;
        send_call(peers);
    }
    else {
        add_entries(peers, set);
        if (is_new_era) {
            /* This entry's row and the earlier pages are of another history. */
            peers->step = GW_JOIN_WRITE;
            g_clear_pointer(&peers->join_after, g_free);
            send_call(peers);
        }
        else if (set->more && set->rows->len > 0) {
            g_free(peers->join_after);
            peers->join_after = g_strdup(GwRowSet_LastKey(set));
            send_call(peers);
        }
        else {
            peers->step = GW_JOIN_DONE;
            GwConn_CloseAndClear(&peers->join);
        }
    }
    GwRowSet_Free(set);
}

static void
on_join_ended(void *owner, GwConnEnd end)
{
    GwPeers *peers = owner;

    if (end != GW_CONN_MALFORMED) {
        peers->join = NULL;
    }
    retry_join(peers);
}

static const GwConnOps join_ops = {
    .connected = on_join_connected,
    .message = on_join_message,
    .ended = on_join_ended,
};

void
GwPeers_WriteRowAgain(GwPeers *peers)
{
    int64_t now_us = GwEdge_Now();
    int64_t age_us = GwEdge_BootNow() - peers->row_written_us;

    if (peers->step == GW_JOIN_DONE && age_us < COPY_AGE_MAX_US) {
        peers->step = GW_JOIN_WRITE;
        g_free(peers->join_after);
        peers->join_after = NULL;
        peers->next_join_us =
            now_us + (int64_t)(peers->process_id % REWRITE_SPREAD_US);
    }
}

void
GwPeers_SweepJoin(GwPeers *peers, int64_t now_us)
{
    GwConnParams params = {
        .loop = &peers->edge->loop,
        .ops = &join_ops,
        .owner = peers,
        .head_max = 64 << 10,
        .body_max = ROWS_BODY_MAX,
    };

    if (peers->step == GW_JOIN_DONE || now_us < peers->next_join_us) {
        return;
    }
    if (peers->join != NULL) {
        retry_join(peers);
        return;
    }
    peers->next_join_us = now_us + JOIN_TIMEOUT_US;
    peers->join =
        GwConn_Connect(&params, peers->edge->settings->store_address);
}
