/* Apply and GetOperation: operators' changes through config/change.h. */
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

/* Carries a change to its result. Blocks; each request waits at most the
 * timeout of the table's client, with growing pauses after lost ones, so
 * that a short outage is outlasted. */
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
log_result(const GwRpc *rpc, const GwChangeRequest *ask,
           const GwChangeResult *result)
{
    uint32_t event =
        result->outcome == GW_CHANGE_ACCEPTED  ? GW_LOG_ADMIN_ACCEPTED
        : result->outcome == GW_CHANGE_REFUSED ? GW_LOG_ADMIN_REFUSED
                                               : GW_LOG_ADMIN_PENDING;
    char *text = g_strdup_printf("operator=%s request=%s version=%" PRIu64
                                 " code=%s what=\"%s\" message=\"%s\"",
                                 ask->operator_name, ask->request_id,
                                 result->version, GwResult_Name(result->code),
                                 ask->summary, result->message);
    g_strdelimit(text, "\r\n", ' ');
    rpc->log(event, text);
    g_free(text);
}

/* The hash of what is asked for, so that a request id can't stand for two
 * things. Who asks is left out: another operator may take a change over. */
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

/* Fills what is asked for; the returned text is the summary. */
static char *
read_what(const Gw__Admin__ApplyRequest *request, GwChangeRequest *ask)
{
    switch (request->what_case) {
    case GW__ADMIN__APPLY_REQUEST__WHAT_DOCUMENT:
        ask->kind = GW_CHANGE_DOCUMENT;
        ask->document = request->document;
        return g_strdup("document");
    case GW__ADMIN__APPLY_REQUEST__WHAT_BATCH:
        ask->kind = GW_CHANGE_EDIT;
        ask->make = GwEdit_Make;
        ask->ctx = request->batch;
        return GwEdit_Describe(request->batch);
    case GW__ADMIN__APPLY_REQUEST__WHAT_ROLLBACK:
        ask->kind = GW_CHANGE_ROLLBACK;
        ask->rollback_version = request->rollback->version;
        return g_strdup_printf("rollback %" PRIu64,
                               request->rollback->version);
    default:
        return NULL;
    }
}

/* Fills the ask. Returns false with a message when the request can't be a
 * change at all. */
static bool
read_ask(const GwRpc *rpc, const Gw__Admin__ApplyRequest *request,
         GwChangeRequest *ask, char **summary, const char **fault)
{
    if (!GwRequestId_IsValid(request->request_id)) {
        *fault = "request_id: must be 1 to 64 of A-Z a-z 0-9 . _ -";
        return false;
    }
    if (!GwRequestId_IsValid(request->operator_name)) {
        *fault = "operator_name: must be 1 to 64 of A-Z a-z 0-9 . _ -";
        return false;
    }
    g_strlcpy(ask->request_id, request->request_id, sizeof(ask->request_id));
    g_strlcpy(ask->operator_name, request->operator_name,
              sizeof(ask->operator_name));
    *summary = read_what(request, ask);
    if (*summary == NULL) {
        *fault = "what: neither document, batch nor rollback is given";
        return false;
    }
    ask->summary = *summary;
    ask->when_ms = rpc->now_ms();
    ask->content = content_hash(request);
    ask->has_base = request->base_version != NULL;
    ask->base_version = ask->has_base ? request->base_version->version : 0;
    return true;
}

/* Puts an accepted document in force here, from where it spreads. When this
 * run does not hold it, the table's poll finds it. */
static void
offer(const GwRpc *rpc, const GwChangeResult *result)
{
    if (result->outcome == GW_CHANGE_ACCEPTED && result->document != NULL) {
        rpc->host->offer_config(rpc->host->ctx, result->version,
                                result->document,
                                (uint32_t)strlen(result->document));
    }
}

/* The change stands whether or not the snapshot could be written: the table
 * has it, and a later version brings the next one. */
static void
keep_snapshot(const GwRpc *rpc, const GwChangeResult *result)
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
    GwChangeRequest ask = {0};
    char *summary = NULL;
    const char *fault = "";
    if (read_ask(rpc, request, &ask, &summary, &fault)) {
        GwChange *change = GwChange_Create(&ask);
        run_change(rpc, change);
        const GwChangeResult *result = GwChange_Result(change);
        offer(rpc, result);
        keep_snapshot(rpc, result);
        log_result(rpc, &ask, result);
        pack_result(result, reply);
        GwChange_Free(change);
    }
    else {
        GwChangeResult bad = {.outcome = GW_CHANGE_REFUSED,
                              .code = GW_RESULT_INVALID};
        g_strlcpy(bad.message, fault, sizeof(bad.message));
        pack_result(&bad, reply);
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
