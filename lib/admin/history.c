/* Get and History: documents by version, and the log of changes. */
#include "admin/rpc_internal.h"
#include "common/json.h"
#include "platform/snapshots.h"
#include "config/change.h"
#include "config/reader.h"
#include "config/sync.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define HISTORY_DEFAULT 20
#define HISTORY_MAX     100

static void
make_key(char key[GW_ROW_KEY_MAX], const char *prefix, uint64_t version)
{
    g_snprintf(key, GW_ROW_KEY_MAX, "%s%020" PRIu64, prefix, version);
}

/* Reads the current version from the head row; 0 before the first change. */
static GwResultCode
read_head(const GwRpc *rpc, uint64_t *version)
{
    GwTableReply reply;
    GwRow *row = NULL;
    GwResultCode code = GW_RESULT_OK;
    *version = 0;
    if (!GwRpc_GetRow(rpc, GW_KEY_HEAD, &reply, &row)) {
        code = GW_RESULT_STORE_AWAY;
    }
    else if (row != NULL && sscanf(row->value, "%" SCNu64, version) != 1) {
        code = GW_RESULT_CORRUPT;
    }
    rpc->table_clear(&reply);
    return code;
}

static void
pack_get(GwResultCode code, uint64_t version, const char *document,
         GwRpcReply *reply)
{
    Gw__Admin__GetReply out = GW__ADMIN__GET_REPLY__INIT;
    out.code = (uint32_t)code;
    out.code_name = (char *)GwResult_Name(code);
    out.message =
        (char *)(code == GW_RESULT_OK          ? ""
                 : code == GW_RESULT_NOT_FOUND ? "there is no such version"
                                               : "the platform's table is "
                                                 "unavailable or corrupt");
    out.version = version;
    out.document = (char *)document;
    GwRpc_Pack(&out.base, reply);
}

static void
get_version(const GwRpc *rpc, uint64_t version, GwRpcReply *reply)
{
    char key[GW_ROW_KEY_MAX];
    GwTableReply row_reply;
    GwRow *row = NULL;
    make_key(key, GW_KEY_DOC_PREFIX, version);
    if (!GwRpc_GetRow(rpc, key, &row_reply, &row)) {
        pack_get(GW_RESULT_STORE_AWAY, version, "", reply);
    }
    else if (row == NULL) {
        pack_get(GW_RESULT_NOT_FOUND, version, "", reply);
    }
    else {
        pack_get(GW_RESULT_OK, version, row->value, reply);
    }
    rpc->table_clear(&row_reply);
}

/* Returns the document that the table's head row names. While the table is
 * unavailable or empty, returns the document in force at this entry. */
static void
get_current(const GwRpc *rpc, GwRpcReply *reply)
{
    uint64_t version = 0;
    GwResultCode code = read_head(rpc, &version);
    if (code == GW_RESULT_OK && version != 0) {
        get_version(rpc, version, reply);
        return;
    }
    char *text = rpc->host->config_text(rpc->host->ctx, &version);
    if (text != NULL) {
        pack_get(GW_RESULT_OK, version, text, reply);
        g_free(text);
        return;
    }
    pack_get(code == GW_RESULT_OK ? GW_RESULT_NOT_FOUND : code, 0, "", reply);
}

/* Returns a document from the object store, for recovery when the table has
 * lost its rows. */
static void
get_snapshot(const GwRpc *rpc, uint64_t at_most, GwRpcReply *reply)
{
    GwSnapshot snapshot = {0};
    uint32_t damaged = 0;

    if (rpc->host->objects == NULL) {
        pack_get(GW_RESULT_NOT_FOUND, at_most, "", reply);
        return;
    }
    GwResult r = GwSnapshots_ReadNewest(rpc->host->objects,
                                        at_most == 0 ? UINT64_MAX : at_most,
                                        &snapshot, &damaged);
    if (GwResult_IsError(r)) {
        pack_get(GwResult_Code(r), at_most, "", reply);
        return;
    }
    pack_get(GW_RESULT_OK, snapshot.version, snapshot.text, reply);
    GwSnapshot_Clear(&snapshot);
}

GwRpcStatus
GwRpc_Get(const GwRpc *rpc, const uint8_t *body, uint32_t len,
          GwRpcReply *reply)
{
    Gw__Admin__GetRequest *request =
        gw__admin__get_request__unpack(NULL, len, body);
    if (request == NULL) {
        return GW_RPC_BAD_BODY;
    }
    if (request->snapshot) {
        get_snapshot(rpc, request->version, reply);
    }
    else if (request->version == 0) {
        get_current(rpc, reply);
    }
    else {
        get_version(rpc, request->version, reply);
    }
    gw__admin__get_request__free_unpacked(request, NULL);
    return GW_RPC_DONE;
}

/* Parses an entry of the change log; NULL when the text is malformed. */
static Gw__Admin__HistoryEntry *
parse_entry(uint64_t version, const char *text)
{
    struct json_object *object = GwRead_Text(text, strlen(text), NULL);
    if (object == NULL) {
        return NULL;
    }
    Gw__Admin__HistoryEntry *entry = g_new0(Gw__Admin__HistoryEntry, 1);
    gw__admin__history_entry__init(entry);
    entry->version = version;
    entry->operator_name = g_strdup(GwJson_GetText(object, "operator"));
    entry->request_id = g_strdup(GwJson_GetText(object, "request_id"));
    entry->what = g_strdup(GwJson_GetText(object, "what"));
    entry->when_ms =
        json_object_get_int64(json_object_object_get(object, "when_ms"));
    json_object_put(object);
    return entry;
}

static void
free_entry(Gw__Admin__HistoryEntry *entry)
{
    g_free(entry->operator_name);
    g_free(entry->request_id);
    g_free(entry->what);
    g_free(entry);
}

/* Reads up to `limit` entries, from `version` downwards. */
static GwResultCode
read_entries(const GwRpc *rpc, uint64_t version, uint32_t limit,
             Gw__Admin__HistoryReply *out)
{
    for (uint32_t i = 0; i < limit && version > 0; i++, version--) {
        char key[GW_ROW_KEY_MAX];
        GwTableReply row_reply;
        GwRow *row = NULL;
        make_key(key, GW_KEY_LOG_PREFIX, version);
        bool has_answered = GwRpc_GetRow(rpc, key, &row_reply, &row);
        Gw__Admin__HistoryEntry *entry =
            row != NULL ? parse_entry(version, row->value) : NULL;
        rpc->table_clear(&row_reply);
        if (!has_answered) {
            return GW_RESULT_STORE_AWAY;
        }
        if (entry == NULL) {
            return GW_RESULT_CORRUPT;
        }
        out->entries[out->n_entries++] = entry;
    }
    return GW_RESULT_OK;
}

GwRpcStatus
GwRpc_History(const GwRpc *rpc, const uint8_t *body, uint32_t len,
              GwRpcReply *reply)
{
    Gw__Admin__HistoryRequest *request =
        gw__admin__history_request__unpack(NULL, len, body);
    if (request == NULL) {
        return GW_RPC_BAD_BODY;
    }
    uint32_t limit = request->limit == 0 ? HISTORY_DEFAULT : request->limit;
    uint64_t before = request->before;
    gw__admin__history_request__free_unpacked(request, NULL);
    Gw__Admin__HistoryEntry *entries[HISTORY_MAX];
    Gw__Admin__HistoryReply out = GW__ADMIN__HISTORY_REPLY__INIT;
    uint64_t version = 0;
    out.entries = entries;
    GwResultCode code = read_head(rpc, &version);
    if (before != 0) {
        version = MIN(version, before - 1);
    }
    if (code == GW_RESULT_OK) {
        code = read_entries(rpc, version, MIN(limit, HISTORY_MAX), &out);
    }
    out.code = (uint32_t)code;
    out.code_name = (char *)GwResult_Name(code);
    GwRpc_Pack(&out.base, reply);
    for (size_t i = 0; i < out.n_entries; i++) {
        free_entry(entries[i]);
    }
    return GW_RPC_DONE;
}
