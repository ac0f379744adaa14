/* Spread of the configuration: polls of the head, fetches, readiness. */
#include "config/sync_internal.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

/* Starts with no configuration. The first poll is spread over a moment, so
 * that entries started together don't read as one. */
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
GwSync_Have(const GwSync *s)
{
    return s->config == NULL ? 0 : s->config->version;
}

static bool
counts(const GwSyncPeer *peer, int64_t now_us)
{
    return peer->tries < GW_SYNC_TRIES ||
           now_us - peer->heard_us < GW_SYNC_FRESH_US;
}

/* The version to get: what a reachable peer has in force, or the head names.
 * A peer that is neither heard nor answers doesn't count: if the only holder
 * of a version died while the table is away, nobody can get it, and all
 * entries would stop for it. Nor does a head whose document was read whole
 * and refused: nobody can have that in force. */
uint64_t
GwSync_Wanted(const GwSync *s, int64_t now_us)
{
    uint64_t wanted =
        s->head_version == s->refused_version ? 0 : s->head_version;

    for (uint32_t i = 0; i < GW_SYNC_PEERS; i++) {
        if (counts(&s->peers[i], now_us)) {
            wanted = MAX(wanted, s->peers[i].version);
        }
    }
    return wanted;
}

/* Keeps since when a higher version is known. */
void
GwSync_NoteBehind(GwSync *s, int64_t now_us)
{
    if (GwSync_Wanted(s, now_us) <= GwSync_Have(s)) {
        s->behind_us = 0;
    }
    else if (s->behind_us == 0) {
        s->behind_us = now_us;
    }
}

/* Puts a document in force, if it is whole, newer, and can be read. The
 * checksum guards against a document cut short or mangled on its way or in
 * the store: the symptom would be caps and places that no operator set. */
bool
GwSync_Adopt(GwSync *s, int64_t now_us, const GwSyncDoc *doc, GwActions *out)
{
    GError *error = NULL;

#if GW_MUTANT != 44 /* breaks: versions may fall */
    if (doc->version <= GwSync_Have(s)) {
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
    GwSync_NoteBehind(s, now_us);
    GwActions_Log(out, GW_LOG_CONFIG_IN_FORCE, "version=%" PRIu64 " from=%s",
                  doc->version, doc->source);
    return true;
}

/* A time-out that was reached counts as a lost answer. */
static void
expire(GwSync *s, int64_t now_us, GwActions *out)
{
    if (s->table.token != 0 && now_us - s->table.sent_us > GW_SYNC_TABLE_US) {
        s->table.token = 0;
        GwSync_TableAway(s, now_us, out);
    }
    if (s->ask.active && now_us - s->ask.sent_us > GW_SYNC_ASK_US) {
        s->ask.active = false;
    }
}

/* Polls the head when due, and fetches what is wanted. */
void
GwSync_Tick(GwSync *s, int64_t now_us, GwActions *out)
{
    if (s->next_poll_us == 0) {
        s->next_poll_us = now_us + GwRng_Jitter(&s->rng, 0, GW_SYNC_START_US);
    }
    expire(s, now_us, out);
    GwSync_NoteBehind(s, now_us);
    GwSync_Fetch(s, now_us, out);
    if (s->table.token == 0 && now_us >= s->next_poll_us) {
        GwSync_GetHead(s, now_us, out);
    }
    s->served = s->served || GwSync_Ready(s, now_us);
}

/* Whether this node may serve. A fresh one must hold the highest version
 * heard: it might otherwise send work into a place drained long ago. It needs
 * the table's word, or that of peers for a moment, in which the second peer
 * may name a higher version than the first.
 *
 * One that is serving goes on for a bound while it fetches a higher version:
 * every change would else take all entries out of service together. Past the
 * bound it is cut off from what the others obey, so it stops taking work. */
bool
GwSync_Ready(const GwSync *s, int64_t now_us)
{
    bool settled = s->head_read || (s->peer_us != 0 &&
                                    now_us - s->peer_us >= GW_SYNC_SETTLE_US);

    if (s->config == NULL) {
        return false;
    }
    if (GwSync_Have(s) >= GwSync_Wanted(s, now_us)) {
        return settled || s->served;
    }
    return s->served && now_us - s->behind_us <= GW_SYNC_BEHIND_US;
}

/* This process was paused: others may have taken a server or a place out
 * meanwhile, and its buffers hold heartbeats and answers from before they did.
 * It would send new work there for as long as it takes to hear of the change.
 * So it is as fresh as after a start, and nothing asked before counts. */
void
GwSync_Woke(GwSync *s, int64_t now_us)
{
    s->head_read = false;
    s->served = false;
    s->peer_us = 0;
    s->table.token = 0;
    s->ask.active = false;
    s->next_poll_us = now_us;
}

static GwSyncPeer *
peer_slot(GwSync *s, GwNodeId id)
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

/* A heartbeat of `from` named `version`; ask for it when higher. */
void
GwSync_Heard(GwSync *s, int64_t now_us, GwNodeId from, const char *address,
             uint64_t version, GwActions *out)
{
    if (from.node == s->params.id.node) {
        return;
    }
    if (s->peer_us == 0) {
        s->peer_us = now_us;
    }
    if (version <= GwSync_Have(s)) {
        return;
    }
    GwSyncPeer *peer = peer_slot(s, from);
    if (!GwNodeId_Equal(peer->id, from)) {
        if (peer->version > version) {
            return;
        }
        *peer = (GwSyncPeer){.id = from};
    }
    peer->version = version;
    peer->heard_us = now_us;
    g_strlcpy(peer->address, address, GW_ADDR_MAX);
    GwSync_NoteBehind(s, now_us);
    GwSync_Fetch(s, now_us, out);
}

static void
answer(const GwSync *s, const GwMessage *msg, const char *address,
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

/* CONFIG_ASK (answers with the document) and CONFIG_DOC. Returns true when a
 * new configuration is in force. A document from this node itself is what its
 * administration side got accepted: were it dropped, an accepted change would
 * be in force nowhere while the table is away after the accept. */
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
            answer(s, msg, reply_address, out);
        }
        return false;
    }
    if (msg->kind != GW_MSG_CONFIG_DOC || msg->u.doc.text == NULL) {
        return false;
    }
    if (s->ask.active && GwNodeId_Equal(s->ask.id, msg->from)) {
        s->ask.active = false;
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
