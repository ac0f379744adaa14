/* Requests for the head and for documents, to peers and to the table. */
#include "config/sync_internal.h"

#include <inttypes.h>
#include <string.h>

static void
get_row(GwSync *s, int64_t now_us, const char *key, uint64_t doc,
        GwActions *out)
{
    GwTableRequest *request = g_new0(GwTableRequest, 1);

    request->token = GW_TOKEN_SYNC | ++s->next_token;
    request->op = GW_TABLE_GET;
    request->row_count = 1;
    g_strlcpy(request->rows[0].key, key, GW_ROW_KEY_MAX);
    GwActions_Add(out, GW_ACTION_TABLE)->u.table = request;
    s->table.token = request->token;
    s->table.doc = doc;
    s->table.sent_us = now_us;
}

/* The more entries live, the longer each waits: any one that reads a new head
 * tells the others, and hundreds that poll at the pace of a dozen would take
 * the table's reads from everybody. One that lost its peers counts few of them,
 * and polls at the pace of a dozen again. */
static int64_t
poll_us(GwSync *s)
{
    int64_t base_us = (int64_t)s->params.config_poll_ms * 1000;
    int64_t shared_us =
        MIN(s->entries * GW_SYNC_ENTRY_US, GW_SYNC_SHARED_MAX_US);
    uint32_t shift = MIN(s->table_fails, GW_SYNC_BACKOFF_MAX);
    int64_t wait_us = MAX(base_us << shift, shared_us);

    return GwRng_Jitter(&s->rng, wait_us * 3 / 4, wait_us / 2);
}

/* Asks the table which version is in force. */
void
GwSync_GetHead(GwSync *s, int64_t now_us, GwActions *out)
{
    s->next_poll_us = now_us + poll_us(s);
    get_row(s, now_us, GW_KEY_HEAD, 0, out);
}

/* No answer: polls and fetches slow down, so that a table in trouble gets
 * less work from each entry, not more. */
void
GwSync_TableAway(GwSync *s, int64_t now_us, GwActions *out)
{
    if (s->table_fails++ == 0) {
        GwActions_Log(out, GW_LOG_STORE_AWAY, "what=config");
    }
    s->next_poll_us = now_us + poll_us(s);
    s->next_doc_us = s->next_poll_us;
}

/* The peer with the highest version among those not asked just now. */
static GwSyncPeer *
best_peer(GwSync *s, int64_t now_us)
{
    GwSyncPeer *best = NULL;

    for (uint32_t i = 0; i < GW_SYNC_PEERS; i++) {
        GwSyncPeer *peer = &s->peers[i];
        bool rests = peer->asked_us != 0 &&
                     now_us - peer->asked_us < 2 * GW_SYNC_ASK_US;
        if (peer->version <= GwSync_Have(s) || rests) {
            continue;
        }
        if (best == NULL || peer->version > best->version) {
            best = peer;
        }
    }
    return best;
}

static void
ask_peer(GwSync *s, int64_t now_us, GwSyncPeer *peer, GwActions *out)
{
    GwAction *action = GwActions_Add(out, GW_ACTION_SEND);
    GwMessage *msg = GwMessage_Create(GW_MSG_CONFIG_ASK, s->params.id);

    msg->u.config_version = GwSync_Have(s);
    g_strlcpy(action->u.send.address, peer->address, GW_ADDR_MAX);
    action->u.send.to = peer->id;
    action->u.send.message = msg;
    peer->asked_us = now_us;
    peer->tries++;
    s->ask.active = true;
    s->ask.id = peer->id;
    s->ask.sent_us = now_us;
}

/* Goes after the version wanted: a peer that has it, or else the table, one
 * request of each at most. The table's document is read only by the head's
 * checksum; a version known from a peer alone waits for the next poll. A
 * document that was refused is read again at the pace of the polls: it may
 * have been mangled on its way. */
void
GwSync_Fetch(GwSync *s, int64_t now_us, GwActions *out)
{
    if (s->ask.active) {
        return;
    }
    GwSyncPeer *peer = best_peer(s, now_us);
    if (peer != NULL) {
        ask_peer(s, now_us, peer, out);
        return;
    }
    if (s->table.token == 0 && s->head_version > GwSync_Have(s) &&
        now_us >= s->next_doc_us) {
        char key[GW_ROW_KEY_MAX];
        g_snprintf(key, sizeof(key), GW_KEY_DOC_PREFIX "%020" PRIu64,
                   s->head_version);
        s->next_doc_us = now_us + poll_us(s);
        get_row(s, now_us, key, s->head_version, out);
    }
}

/* "<version> <checksum hex>" and nothing else. */
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

/* Takes the head in. A lower one than known before is a stale read, or the
 * work of a broken store: versions only rise. */
static void
take_head(GwSync *s, const GwRow *row, GwActions *out)
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
take_doc(GwSync *s, int64_t now_us, const GwRow *row, uint64_t version,
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
    if (!adopted && version > GwSync_Have(s)) {
        s->refused_version = version;
    }
    return adopted;
}

/* The answer to a poll or a fetch; returns true when a new configuration is
 * in force. Answers that were given up before are ignored. */
bool
GwSync_TableReply(GwSync *s, int64_t now_us, const GwTableReply *reply,
                  GwActions *out)
{
    uint64_t doc = s->table.doc;
    bool adopted = false;

    if (s->table.token == 0 || reply->token != s->table.token) {
        return false;
    }
    s->table.token = 0;
    if (reply->status != GW_TABLE_DONE) {
        GwSync_TableAway(s, now_us, out);
        return false;
    }
    if (s->table_fails > 0) {
        s->table_fails = 0;
        GwActions_Log(out, GW_LOG_STORE_BACK, "what=config");
    }
    const GwRow *row = reply->row_count > 0 && reply->rows[0].version != 0 &&
                               reply->rows[0].value != NULL
                           ? &reply->rows[0]
                           : NULL;
    if (doc == 0) {
        s->head_read = true;
        if (row != NULL) {
            take_head(s, row, out);
        }
    }
    else if (row != NULL) {
        adopted = take_doc(s, now_us, row, doc, out);
    }
    GwSync_NoteBehind(s, now_us);
    GwSync_Fetch(s, now_us, out);
    return adopted;
}
