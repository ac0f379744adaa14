#include "admin/rpc_internal.h"

#include <string.h>

void
GwRpc_Pack(const ProtobufCMessage *message, GwRpcReply *reply)
{
    size_t size = protobuf_c_message_get_packed_size(message);
    reply->data = g_malloc(size + 1);
    reply->len = (uint32_t)protobuf_c_message_pack(message, reply->data);
}

bool
GwRpc_GetRow(const GwRpc *rpc, const char *key, GwTableReply *reply,
             GwRow **row)
{
    GwTableRequest request = {.op = GW_TABLE_GET, .row_count = 1};
    g_strlcpy(request.rows[0].key, key, GW_ROW_KEY_MAX);
    *reply = (GwTableReply){0};
    *row = NULL;
    rpc->table_do(rpc->table, &request, reply);
    if (reply->status != GW_TABLE_DONE) {
        return false;
    }
    if (reply->row_count > 0 && reply->rows[0].version != 0) {
        *row = &reply->rows[0];
    }
    return true;
}

static void
pack_text(GwResultCode code, const char *message, const char *json,
          GwRpcReply *reply)
{
    Gw__Admin__TextReply out = GW__ADMIN__TEXT_REPLY__INIT;
    out.code = (uint32_t)code;
    out.code_name = (char *)GwResult_Name(code);
    out.message = (char *)message;
    out.json = (char *)json;
    GwRpc_Pack(&out.base, reply);
}

static GwRpcStatus
get_status(const GwRpc *rpc, const uint8_t *body, uint32_t len,
           GwRpcReply *reply)
{
    char *json = rpc->host->status(rpc->host->ctx);
    pack_text(GW_RESULT_OK, "", json, reply);
    g_free(json);
    return GW_RPC_DONE;
}

static GwRpcStatus
get_entries(const GwRpc *rpc, const uint8_t *body, uint32_t len,
            GwRpcReply *reply)
{
    Gw__Admin__EntriesRequest *request =
        gw__admin__entries_request__unpack(NULL, len, body);
    if (request == NULL) {
        return GW_RPC_BAD_BODY;
    }
    char *json = rpc->host->entries == NULL
                     ? NULL
                     : rpc->host->entries(rpc->host->ctx, request->service);
    if (json != NULL) {
        pack_text(GW_RESULT_OK, "", json, reply);
    }
    else {
        pack_text(GW_RESULT_NOT_FOUND, "no entries of that service are known",
                  "", reply);
    }
    g_free(json);
    gw__admin__entries_request__free_unpacked(request, NULL);
    return GW_RPC_DONE;
}

GwRpcStatus
GwRpc_Handle(const GwRpc *rpc, const char *method, const uint8_t *body,
             uint32_t len, uint8_t **out, uint32_t *out_len)
{
    static const struct {
        const char *name;
        GwRpcMethod run;
    } methods[] = {
        {"Apply", GwRpc_Apply}, {"GetOperation", GwRpc_GetOperation},
        {"Get", GwRpc_Get},     {"History", GwRpc_History},
        {"Status", get_status}, {"Entries", get_entries},
    };
    GwRpcReply reply = {0};
    GwRpcStatus status = GW_RPC_NO_METHOD;
    for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
        if (strcmp(methods[i].name, method) == 0) {
            status = methods[i].run(rpc, body, len, &reply);
        }
    }
    *out = reply.data;
    *out_len = reply.len;
    return status;
}
