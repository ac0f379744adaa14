/* Synchronisation of the configuration: polling, adoption, readiness. */
#include "config/sync_internal.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

/* Creates a state without a configuration. The first poll is delayed at
 * random, so that entries that start at the same time do not all read at
 * once. */
GwSync *
GwSync_Create(const GwNodeParams *params)
{
    GwSync *s = g_new0(GwSync, 1);

    s->params = *params;
    s->rng = GwRng_Make(params->seed ^ GW_TOKEN_SYNC);
    return s;
}

void
GwSync_Free(GwSync *s)
{
    if (s == NULL) {
        return;
    }
    if (s->config != NULL) {
        GwConfig_Free(s->config);
    }
    g_free(s);
}

const GwConfig *
GwSync_Config(const GwSync *s)
{
    return s->config;
}

void
GwSync_SetEntries(GwSync *s, uint32_t entries)
{
    s->entries = entries;
}

uint64_t
GwSync_Version(const GwSync *s)
{
    return s->config == NULL ? 0 : s->config->version;
}

static bool
is_reachable(const GwSyncPeer *peer, int64_t now_us)
{
    return peer->request_count < GW_SYNC_PEER_REQUESTS_MAX ||
           now_us - peer->heard_us < GW_SYNC_PEER_FRESH_US;
}

/* Returns the version to obtain: the highest that a reachable peer has in
 * force or that the head names. A peer that neither sends nor answers
 * doesn't count: if the only holder of a version crashed during an outage
 * of the table, no entry could obtain that version, and all would stop
 * serving. Nor does a head whose document was read and found invalid: no
 * entry can have that version in force. */
uint64_t
GwSync_WantedVersion(const GwSync *s, int64_t now_us)
{
    uint64_t wanted =
        s->head_version == s->refused_version ? 0 : s->head_version;

    for (uint32_t i = 0; i < GW_SYNC_PEERS; i++) {
        if (is_reachable(&s->peers[i], now_us)) {
            wanted = MAX(wanted, s->peers[i].version);
        }
    }
    return wanted;
}

/* Updates behind_since_us: since when a higher version is known. */
void
GwSync_UpdateBehind(GwSync *s, int64_t now_us)
{
    if (GwSync_WantedVersion(s, now_us) <= GwSync_Version(s)) {
        s->behind_since_us = 0;
    }
    else if (s->behind_since_us == 0) {
        s->behind_since_us = now_us;
    }
}

/* Puts a document in force if it is intact, newer and valid. The checksum
 * guards against a document truncated or corrupted in transit or in the
 * store, which would put caps and places in force that no operator set. */
bool
GwSync_Adopt(GwSync *s, int64_t now_us, const GwSyncDoc *doc, GwActions *out)
{
    GError *error = NULL;

#if GW_MUTANT != 44 /* breaks: versions may fall */
    if (doc->version <= GwSync_Version(s)) {
        return false;
    }
#endif
#if GW_MUTANT != 45 /* breaks: no checksum */
    if (doc->len > GW_CONFIG_DOC_MAX ||
        XXH64(doc->text, doc->len, 0) != doc->checksum ||
        (doc->version == s->head_version &&
         doc->checksum != s->head_checksum)) {
        GwActions_Log(out, GW_LOG_CONFIG_REFUSED,
                      "version=%" PRIu64 " from=%s why=checksum", doc->version,
                      doc->source);
        return false;
    }
#endif
    GwConfig *config =
        GwConfig_Parse(doc->text, doc->len, doc->version, &error);
    if (config == NULL) {
        GwActions_Log(out, GW_LOG_CONFIG_REFUSED,
                      "version=%" PRIu64 " from=%s why=%s", doc->version,
                      doc->source, error == NULL ? "?" : error->message);
        g_clear_error(&error);
        return false;
    }
    if (s->config != NULL) {
        GwConfig_Free(s->config);
    }
    s->config = config;
    GwSync_UpdateBehind(s, now_us);
    GwActions_Log(out, GW_LOG_CONFIG_IN_FORCE, "version=%" PRIu64 " from=%s",
                  doc->version, doc->source);
    return true;
}

/* Treats requests that timed out as lost. */
static void
expire_requests(GwSync *s, int64_t now_us, GwActions *out)
{
    if (s->table.token != 0 &&
        now_us - s->table.sent_us > GW_SYNC_TABLE_TIMEOUT_US) {
        s->table.token = 0;
        GwSync_TableFailed(s, now_us, out);
    }
    if (s->peer_request.active &&
        now_us - s->peer_request.sent_us > GW_SYNC_PEER_TIMEOUT_US) {
        s->peer_request.active = false;
    }
}

/* Polls the head when due, and fetches the wanted version. */
void
GwSync_Tick(GwSync *s, int64_t now_us, GwActions *out)
{
    if (s->next_poll_us == 0) {
        s->next_poll_us =
            now_us + GwRng_Jitter(&s->rng, 0, GW_SYNC_START_SPREAD_US);
    }
    expire_requests(s, now_us, out);
    GwSync_UpdateBehind(s, now_us);
    GwSync_Fetch(s, now_us, out);
    if (s->table.token == 0 && now_us >= s->next_poll_us) {
        GwSync_GetHead(s, now_us, out);
    }
    s->has_served = s->has_served || GwSync_IsReady(s, now_us);
}

/* Returns whether this node may serve. A node that has just started must
 * hold the highest known version: it might otherwise send work to a place
 * drained long ago. It waits for the table's answer, or for peers alone for
 * GW_SYNC_SETTLE_US, since the second peer may name a higher version than
 * the first.
 *
 * A node that is serving continues for at most GW_SYNC_BEHIND_MAX_US while
 * it fetches a higher version; otherwise every change would stop all
 * entries together. After that it is cut off from the configuration that
 * the others follow, so it stops taking work. */
bool
GwSync_IsReady(const GwSync *s, int64_t now_us)
{
    bool settled =
        s->head_read || (s->first_peer_us != 0 &&
                         now_us - s->first_peer_us >= GW_SYNC_SETTLE_US);

    if (s->config == NULL) {
        return false;
    }
    if (GwSync_Version(s) >= GwSync_WantedVersion(s, now_us)) {
        return settled || s->has_served;
    }
    return s->has_served &&
           now_us - s->behind_since_us <= GW_SYNC_BEHIND_MAX_US;
}

/* Handles a pause of this process. Meanwhile a server or a place may have been
 * taken out, and the buffers hold heartbeats and answers from before; the node
 * would send new work there until it receives the change. So it returns to the
 * state after a start, and discards earlier requests. */
void
GwSync_Resume(GwSync *s, int64_t now_us)
{
    s->head_read = false;
    s->has_served = false;
    s->first_peer_us = 0;
    s->table.token = 0;
    s->peer_request.active = false;
    s->next_poll_us = now_us;
}

static GwSyncPeer *
find_peer_slot(GwSync *s, GwNodeId id)
{
    GwSyncPeer *lowest = &s->peers[0];

    for (uint32_t i = 0; i < GW_SYNC_PEERS; i++) {
        if (GwNodeId_Equal(s->peers[i].id, id)) {
            return &s->peers[i];
        }
        if (s->peers[i].version < lowest->version) {
            lowest = &s->peers[i];
        }
    }
    return lowest;
}

/* Handles a heartbeat of `from` that names `version`; requests the document
 * if the version is higher. */
void
GwSync_NotePeerVersion(GwSync *s, int64_t now_us, GwNodeId from,
                       const char *address, uint64_t version, GwActions *out)
{
    if (from.node == s->params.id.node) {
        return;
    }
    if (s->first_peer_us == 0) {
        s->first_peer_us = now_us;
    }
    if (version <= GwSync_Version(s)) {
        return;
    }
    GwSyncPeer *peer = find_peer_slot(s, from);
    if (!GwNodeId_Equal(peer->id, from)) {
        if (peer->version > version) {
            return;
        }
        *peer = (GwSyncPeer){.id = from};
    }
    peer->version = version;
    peer->heard_us = now_us;
    g_strlcpy(peer->address, address, GW_ADDR_MAX);
    GwSync_UpdateBehind(s, now_us);
    GwSync_Fetch(s, now_us, out);
}

static void
send_document(const GwSync *s, const GwMessage *msg, const char *address,
              GwActions *out)
{
    if (s->config == NULL || s->config->version <= msg->u.config_version) {
        return;
    }
    GwAction *action = GwActions_Add(out, GW_ACTION_SEND);
    GwMessage *reply = GwMessage_Create(GW_MSG_CONFIG_DOC, s->params.id);

    g_strlcpy(action->u.send.address, address, GW_ADDR_MAX);
    action->u.send.to = msg->from;
    action->u.send.message = reply;
    reply->u.doc.version = s->config->version;
    reply->u.doc.checksum = XXH64(s->config->text, s->config->text_len, 0);
    reply->u.doc.text_len = s->config->text_len;
    reply->u.doc.text = g_strndup(s->config->text, s->config->text_len);
}

/* Handles CONFIG_ASK (answered with the document) and CONFIG_DOC. Returns
 * true if a new configuration is in force. A document from this node itself
 * is a change accepted through its administration interface; if it were
 * ignored, a change accepted just before an outage of the table would be in
 * force nowhere. */
bool
GwSync_Receive(GwSync *s, int64_t now_us, const GwMessage *msg,
               const char *reply_address, GwActions *out)
{
    bool own = msg->from.node == s->params.id.node;

#if GW_MUTANT == 14 /* breaks: an accepted change spreads from its entry */
    if (own) {
        return false;
    }
#endif
    if (msg->kind == GW_MSG_CONFIG_ASK) {
        if (!own) {
            send_document(s, msg, reply_address, out);
        }
        return false;
    }
    if (msg->kind != GW_MSG_CONFIG_DOC || msg->u.doc.text == NULL) {
        return false;
    }
    if (s->peer_request.active &&
        GwNodeId_Equal(s->peer_request.id, msg->from)) {
        s->peer_request.active = false;
    }
    GwSyncDoc doc = {.version = msg->u.doc.version,
                     .checksum = msg->u.doc.checksum,
                     .text = msg->u.doc.text,
                     .len = msg->u.doc.text_len,
                     .source = own ? "operator" : "peer"};
    bool adopted = GwSync_Adopt(s, now_us, &doc, out);
    GwSync_Fetch(s, now_us, out);
    return adopted;
}
