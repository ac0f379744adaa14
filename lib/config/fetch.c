/* Requests for the head and for documents, to peers and to the table. */
#include "config/sync_internal.h"

#include <inttypes.h>
#include <string.h>

static void
request_row(GwSync *s, int64_t now_us, const char *key, uint64_t doc_version,
            GwActions *out)
{
    GwTableRequest *request = g_new0(GwTableRequest, 1);

    request->token = GW_TOKEN_SYNC | ++s->next_token;
    request->op = GW_TABLE_GET;
    request->row_count = 1;
    g_strlcpy(request->rows[0].key, key, GW_ROW_KEY_MAX);
    GwActions_Add(out, GW_ACTION_TABLE)->u.table = request;
    s->table.token = request->token;
    s->table.doc_version = doc_version;
    s->table.sent_us = now_us;
}

/* Returns the wait before the next poll. It grows with the number of live
 * entries: an entry that reads a new head announces it to the others, and
 * hundreds of entries polling at the rate of a dozen would use up the table's
 * read capacity. An entry that has lost its peers counts few live entries, and
 * polls faster again. */
static int64_t
poll_us(GwSync *s)
{
    int64_t base_us = (int64_t)s->params.config_poll_ms * 1000;
    int64_t shared_us = MIN(s->entries * GW_SYNC_POLL_PER_ENTRY_US,
                            GW_SYNC_POLL_SHARED_MAX_US);
    uint32_t shift = MIN(s->table_failures, GW_SYNC_BACKOFF_MAX);
    int64_t wait_us = MAX(base_us << shift, shared_us);

    return GwRng_Jitter(&s->rng, wait_us * 3 / 4, wait_us / 2);
}

/* Requests the head row from the table. */
void
GwSync_GetHead(GwSync *s, int64_t now_us, GwActions *out)
{
    s->next_poll_us = now_us + poll_us(s);
    request_row(s, now_us, GW_KEY_HEAD, 0, out);
}

/* Handles a failed table request: polls and fetches slow down, so that an
 * overloaded table gets fewer requests from each entry, not more. */
void
GwSync_TableFailed(GwSync *s, int64_t now_us, GwActions *out)
{
    if (s->table_failures++ == 0) {
        GwActions_Log(out, GW_LOG_STORE_AWAY, "what=config");
    }
    s->next_poll_us = now_us + poll_us(s);
    s->next_doc_us = s->next_poll_us;
}

/* Returns the peer with the highest version among those without a recent
 * request, or NULL. */
static GwSyncPeer *
choose_peer(GwSync *s, int64_t now_us)
{
    GwSyncPeer *best = NULL;

    for (uint32_t i = 0; i < GW_SYNC_PEERS; i++) {
        GwSyncPeer *peer = &s->peers[i];
        bool is_recent =
            peer->requested_us != 0 &&
            now_us - peer->requested_us < 2 * GW_SYNC_PEER_TIMEOUT_US;
        if (peer->version <= GwSync_Version(s) || is_recent) {
            continue;
        }
        if (best == NULL || peer->version > best->version) {
            best = peer;
        }
    }
    return best;
}

static void
request_from_peer(GwSync *s, int64_t now_us, GwSyncPeer *peer, GwActions *out)
{
    GwAction *action = GwActions_Add(out, GW_ACTION_SEND);
    GwMessage *msg = GwMessage_Create(GW_MSG_CONFIG_ASK, s->params.id);

    msg->u.config_version = GwSync_Version(s);
    g_strlcpy(action->u.send.address, peer->address, GW_ADDR_MAX);
    action->u.send.to = peer->id;
    action->u.send.message = msg;
    peer->requested_us = now_us;
    peer->request_count++;
    s->peer_request.active = true;
    s->peer_request.id = peer->id;
    s->peer_request.sent_us = now_us;
}

/* Requests the wanted version from a peer that has it, or else from the
 * table, with at most one request in flight to each. A document in the
 * table is only read once the head row gave its checksum; a version known
 * from peers alone waits for the next poll. A rejected document is read
 * again at the rate of the polls, since it may have been damaged in
 * transit. */
void
GwSync_Fetch(GwSync *s, int64_t now_us, GwActions *out)
{
    if (s->peer_request.active) {
        return;
    }
    GwSyncPeer *peer = choose_peer(s, now_us);
    if (peer != NULL) {
        request_from_peer(s, now_us, peer, out);
        return;
    }
    if (s->table.token == 0 && s->head_version > GwSync_Version(s) &&
        now_us >= s->next_doc_us) {
        char key[GW_ROW_KEY_MAX];
        g_snprintf(key, sizeof(key), GW_KEY_DOC_PREFIX "%020" PRIu64,
                   s->head_version);
        s->next_doc_us = now_us + poll_us(s);
        request_row(s, now_us, key, s->head_version, out);
    }
}

/* Parses "<version> <checksum hex>" and nothing else. */
static bool
parse_head(const GwRow *row, uint64_t *version, uint64_t *checksum)
{
    g_autofree char *text = g_strndup(row->value, row->len);
    g_auto(GStrv) words = g_strsplit(text, " ", -1);

    return g_strv_length(words) == 2 &&
           g_ascii_string_to_unsigned(words[0], 10, 1, UINT64_MAX, version,
                                      NULL) &&
           g_ascii_string_to_unsigned(words[1], 16, 0, UINT64_MAX, checksum,
                                      NULL);
}

/* Applies the head row. A lower version than known is a stale read or a
 * fault of the store, since versions only rise. */
static void
apply_head(GwSync *s, const GwRow *row, GwActions *out)
{
    uint64_t version = 0;
    uint64_t checksum = 0;

    if (!parse_head(row, &version, &checksum)) {
        GwActions_Log(out, GW_LOG_CONFIG_REFUSED, "from=table why=head");
        return;
    }
    if (version > s->head_version) {
        s->head_version = version;
        s->head_checksum = checksum;
        s->next_doc_us = 0;
    }
}

static bool
apply_doc(GwSync *s, int64_t now_us, const GwRow *row, uint64_t version,
          GwActions *out)
{
    GwSyncDoc doc = {.version = version,
                     .checksum = s->head_checksum,
                     .text = row->value,
                     .len = row->len,
                     .source = "table"};

    if (version != s->head_version) {
        return false;
    }
    bool adopted = GwSync_Adopt(s, now_us, &doc, out);
    if (!adopted && version > GwSync_Version(s)) {
        s->refused_version = version;
    }
    return adopted;
}

/* Handles the reply to a poll or a fetch; returns true if a new
 * configuration is in force. Replies to requests that timed out are
 * ignored. */
bool
GwSync_TableReply(GwSync *s, int64_t now_us, const GwTableReply *reply,
                  GwActions *out)
{
    uint64_t doc_version = s->table.doc_version;
    bool adopted = false;

    if (s->table.token == 0 || reply->token != s->table.token) {
        return false;
    }
    s->table.token = 0;
    if (reply->status != GW_TABLE_DONE) {
        GwSync_TableFailed(s, now_us, out);
        return false;
    }
    if (s->table_failures > 0) {
        s->table_failures = 0;
        GwActions_Log(out, GW_LOG_STORE_BACK, "what=config");
    }
    const GwRow *row = reply->row_count > 0 && reply->rows[0].version != 0 &&
                               reply->rows[0].value != NULL
                           ? &reply->rows[0]
                           : NULL;
    if (doc_version == 0) {
        s->head_read = true;
        if (row != NULL) {
            apply_head(s, row, out);
        }
    }
    else if (row != NULL) {
        adopted = apply_doc(s, now_us, row, doc_version, out);
    }
    GwSync_UpdateBehind(s, now_us);
    GwSync_Fetch(s, now_us, out);
    return adopted;
}
