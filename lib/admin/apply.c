/* Apply and GetOperation: run the changes of operators (config/change.h). */
#include "admin/edit.h"
#include "admin/rpc_internal.h"
#include "common/log_events.h"
#include "config/change.h"
#include "platform/snapshots.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

#define RETRY_PAUSE_US     50000
#define RETRY_PAUSE_MAX_US 800000

/* Runs a change until its result is known. Blocks: each request waits at most
 * the timeout of the table's client. Pauses between lost requests double up to
 * RETRY_PAUSE_MAX_US, so that a change survives a short outage. */
static void
run_change(const GwRpc *rpc, GwChange *change)
{
    GwTableRequest request;
    uint64_t pause_us = RETRY_PAUSE_US;
    while (GwChange_Next(change, &request)) {
        GwTableReply reply = {0};
        rpc->table_do(rpc->table, &request, &reply);
        bool lost = reply.status == GW_TABLE_LOST;
        GwChange_Reply(change, &reply);
        rpc->table_clear(&reply);
        GwChange_ClearRequest(&request);
        if (lost) {
            g_usleep(pause_us);
            pause_us = MIN(pause_us * 2, RETRY_PAUSE_MAX_US);
        }
    }
}

static Gw__Admin__Outcome
to_outcome(GwChangeOutcome outcome)
{
    switch (outcome) {
    case GW_CHANGE_ACCEPTED:
        return GW__ADMIN__OUTCOME__ACCEPTED;
    case GW_CHANGE_REFUSED:
        return GW__ADMIN__OUTCOME__REFUSED;
    case GW_CHANGE_PENDING:
        return GW__ADMIN__OUTCOME__PENDING;
    }
    return GW__ADMIN__OUTCOME__OUTCOME_NONE;
}

static void
pack_result(const GwChangeResult *result, GwRpcReply *reply)
{
    Gw__Admin__ChangeReply out = GW__ADMIN__CHANGE_REPLY__INIT;
    out.code = (uint32_t)result->code;
    out.code_name = (char *)GwResult_Name(result->code);
    out.message = (char *)result->message;
    out.version = result->version;
    out.outcome = to_outcome(result->outcome);
    GwRpc_Pack(&out.base, reply);
}

static void
log_result(const GwRpc *rpc, const GwChangeRequest *params,
           const GwChangeResult *result)
{
    uint32_t event =
        result->outcome == GW_CHANGE_ACCEPTED  ? GW_LOG_ADMIN_ACCEPTED
        : result->outcome == GW_CHANGE_REFUSED ? GW_LOG_ADMIN_REFUSED
                                               : GW_LOG_ADMIN_PENDING;
    char *text = g_strdup_printf("operator=%s request=%s version=%" PRIu64
                                 " code=%s what=\"%s\" message=\"%s\"",
                                 params->operator_name, params->request_id,
                                 result->version, GwResult_Name(result->code),
                                 params->summary, result->message);
    g_strdelimit(text, "\r\n", ' ');
    rpc->log(event, text);
    g_free(text);
}

/* Hash of the content of a change, which detects a request id that is reused
 * for another change. The operator's name is excluded: another operator may
 * continue a change. */
static uint64_t
content_hash(const Gw__Admin__ApplyRequest *request)
{
    Gw__Admin__ApplyRequest bare = *request;
    bare.request_id = (char *)protobuf_c_empty_string;
    bare.operator_name = (char *)protobuf_c_empty_string;
    size_t size = gw__admin__apply_request__get_packed_size(&bare);
    uint8_t *packed = g_malloc(size + 1);
    gw__admin__apply_request__pack(&bare, packed);
    uint64_t hash = XXH64(packed, size, 0);
    g_free(packed);
    return hash;
}

/* Fills the kind of change and its input; returns the summary, for g_free, or
 * NULL when the request names no kind. */
static char *
read_kind(const Gw__Admin__ApplyRequest *request, GwChangeRequest *params)
{
    switch (request->what_case) {
    case GW__ADMIN__APPLY_REQUEST__WHAT_DOCUMENT:
        params->kind = GW_CHANGE_DOCUMENT;
        params->document = request->document;
        return g_strdup("document");
    case GW__ADMIN__APPLY_REQUEST__WHAT_BATCH:
        params->kind = GW_CHANGE_EDIT;
        params->make = GwEdit_Make;
        params->ctx = request->batch;
        return GwEdit_Describe(request->batch);
    case GW__ADMIN__APPLY_REQUEST__WHAT_ROLLBACK:
        params->kind = GW_CHANGE_ROLLBACK;
        params->rollback_version = request->rollback->version;
        return g_strdup_printf("rollback %" PRIu64,
                               request->rollback->version);
    default:
        return NULL;
    }
}

/* Fills the parameters of a change. False with `fault` when the request is
 * malformed. */
static bool
read_params(const GwRpc *rpc, const Gw__Admin__ApplyRequest *request,
            GwChangeRequest *params, char **summary, const char **fault)
{
    if (!GwRequestId_IsValid(request->request_id)) {
        *fault = "request_id: must be 1 to 64 of A-Z a-z 0-9 . _ -";
        return false;
    }
    if (!GwRequestId_IsValid(request->operator_name)) {
        *fault = "operator_name: must be 1 to 64 of A-Z a-z 0-9 . _ -";
        return false;
    }
    g_strlcpy(params->request_id, request->request_id,
              sizeof(params->request_id));
    g_strlcpy(params->operator_name, request->operator_name,
              sizeof(params->operator_name));
    *summary = read_kind(request, params);
    if (*summary == NULL) {
        *fault = "what: neither document, batch nor rollback is given";
        return false;
    }
    params->summary = *summary;
    params->when_ms = rpc->now_ms();
    params->content = content_hash(request);
    params->has_base = request->base_version != NULL;
    params->base_version =
        params->has_base ? request->base_version->version : 0;
    return true;
}

/* Puts an accepted document in force in this process, which sends it to its
 * peers. The result has no document when an earlier run of the change was
 * accepted; the next poll of the table then reads the document. */
static void
put_in_force(const GwRpc *rpc, const GwChangeResult *result)
{
    if (result->outcome == GW_CHANGE_ACCEPTED && result->document != NULL) {
        rpc->host->publish_config(rpc->host->ctx, result->version,
                                  result->document,
                                  (uint32_t)strlen(result->document));
    }
}

/* A failed write is logged and does not affect the change: the table holds the
 * document, and a later version writes the next snapshot. */
static void
write_snapshot(const GwRpc *rpc, const GwChangeResult *result)
{
    const GwAdminHost *host = rpc->host;

    if (host->objects == NULL || host->snapshot_every == 0 ||
        result->outcome != GW_CHANGE_ACCEPTED || result->document == NULL ||
        result->version % host->snapshot_every != 0) {
        return;
    }
    GwResult r =
        GwSnapshots_Write(host->objects, result->version, result->document,
                          (uint32_t)strlen(result->document));
    if (GwResult_IsError(r)) {
        char *text =
            g_strdup_printf("version=%" PRIu64 " code=%s", result->version,
                            GwResult_Name(GwResult_Code(r)));
        rpc->log(GW_LOG_SNAPSHOT_FAILED, text);
        g_free(text);
    }
}

GwRpcStatus
GwRpc_Apply(const GwRpc *rpc, const uint8_t *body, uint32_t len,
            GwRpcReply *reply)
{
    Gw__Admin__ApplyRequest *request =
        gw__admin__apply_request__unpack(NULL, len, body);
    if (request == NULL) {
        return GW_RPC_BAD_BODY;
    }
    GwChangeRequest params = {0};
    char *summary = NULL;
    const char *fault = "";
    if (read_params(rpc, request, &params, &summary, &fault)) {
        GwChange *change = GwChange_Create(&params);
        run_change(rpc, change);
        const GwChangeResult *result = GwChange_Result(change);
        put_in_force(rpc, result);
        write_snapshot(rpc, result);
        log_result(rpc, &params, result);
        pack_result(result, reply);
        GwChange_Free(change);
    }
    else {
        GwChangeResult refusal = {.outcome = GW_CHANGE_REFUSED,
                                  .code = GW_RESULT_INVALID};
        g_strlcpy(refusal.message, fault, sizeof(refusal.message));
        pack_result(&refusal, reply);
    }
    g_free(summary);
    gw__admin__apply_request__free_unpacked(request, NULL);
    return GW_RPC_DONE;
}

GwRpcStatus
GwRpc_GetOperation(const GwRpc *rpc, const uint8_t *body, uint32_t len,
                   GwRpcReply *reply)
{
    Gw__Admin__OperationRequest *request =
        gw__admin__operation_request__unpack(NULL, len, body);
    if (request == NULL) {
        return GW_RPC_BAD_BODY;
    }
    GwChange *change = GwChange_CreateResolve(request->request_id);
    run_change(rpc, change);
    pack_result(GwChange_Result(change), reply);
    GwChange_Free(change);
    gw__admin__operation_request__free_unpacked(request, NULL);
    return GW_RPC_DONE;
}
