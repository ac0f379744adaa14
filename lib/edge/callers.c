/* Connections from callers: parses requests and sends the answers in the order
 * of the requests. */
#include "edge/callers_internal.h"
#include "edge/relay.h"

#include <stdlib.h>
#include <string.h>

/* Maximum number of requests in progress on one connection. Further requests
 * stay unread in the socket, which bounds the memory of a caller that never
 * reads its answers. */
#define PIPELINE_MAX 32
/* Retry-After of a 503 sent because the budget for bodies is used up. */
#define OVER_BUDGET_RETRY_MS 1000
/* Bytes of a caller that wait in the kernel, where they count towards no limit
 * of this process; enough to keep a link busy between two writes. */
#define UNSENT_MAX_BYTES (128u << 10)

void
GwExchange_Free(gpointer item)
{
    GwExchange *x = item;

    GwHttpMessage_Free(x->msg);
    GwHttpMessage_Free(x->answer);
    if (x->out != NULL) {
        g_string_free(x->out, TRUE);
    }
    g_free(x);
}

/* The request is answered, or its caller has gone. Actions of the router may
 * still refer to it. */
static void
end_exchange(GwExchange *x)
{
    GwExchange_ReleaseRoom(x);
    x->caller = NULL;
    g_ptr_array_add(x->edge->ended_exchanges, x);
}

/* Logs the end of a request that has no answer yet. Otherwise there would be
 * no log line for a request queued behind others on its connection. */
static void
log_open_exchange(const GwExchange *x, GwRequestEnd end)
{
    int64_t now_us = GwEdge_Now();
    GwRequestSummary request_summary = {
        .took_ms = (uint32_t)((now_us - x->arrived_us) / 1000)};

    if (x->out != NULL) {
        return;
    }
    if (x->request != NULL) {
        request_summary = GwRequest_Summarize(x->request, now_us);
    }
    GwEdge_LogRequestEnd(x, end, 0, GW_REPLY_NONE, &request_summary);
}

/* Removes a connection that is closed or about to be closed. Its requests in
 * progress are cancelled and logged with `open_end`. */
void
GwCaller_Free(GwCaller *caller, GwRequestEnd open_end)
{
    GwEdge *edge = caller->edge;
    GwExchange *x;

    g_queue_unlink(&edge->callers, &caller->link);
    GwCaller_EndIdle(caller);
    GwCaller_EndRoomWait(caller);
    if (caller->is_flush_pending) {
        g_queue_remove(&edge->flush_queue, caller);
    }
    if (caller->is_disconnected) {
        g_queue_remove(&edge->disconnected, caller);
    }
    while ((x = g_queue_pop_head(&caller->exchanges)) != NULL) {
        log_open_exchange(x, open_end);
        if (x->request != NULL) {
            GwServerLink_Cancel(x);
            GwRelay_Cancel(x);
            GwRouter_CallerDisconnected(edge->router, GwEdge_Now(), x->request,
                                        edge->actions);
        }
        end_exchange(x);
    }
    GwRouter_DispatchPending(edge->router, GwEdge_Now(), edge->actions);
    caller->conn = NULL;
    g_ptr_array_add(edge->ended_callers, caller);
    /* Without a free slot it would close another connection, which the loop
     * that closes this one may have to visit next. */
    if (GwCallers_HasFreeSlot(edge)) {
        GwCallers_Resume(edge);
    }
}

/* Schedules the connection's answers to be sent after all pending router
 * actions have run. */
void
GwCaller_ScheduleFlush(GwCaller *caller)
{
    if (!caller->is_flush_pending) {
        caller->is_flush_pending = true;
        g_queue_push_tail(&caller->edge->flush_queue, caller);
    }
}

bool
GwExchange_IsCallerConnected(GwExchange *x)
{
    GwCaller *caller = x->caller;

    if (!caller->is_disconnected && GwConn_HasEnded(caller->conn)) {
        caller->is_disconnected = true;
        g_queue_push_tail(&caller->edge->disconnected, caller);
    }
    return !caller->is_disconnected;
}

void
GwCallers_CloseDisconnected(GwEdge *edge)
{
    GwCaller *caller;

    while ((caller = g_queue_peek_head(&edge->disconnected)) != NULL) {
        GwConn_Close(caller->conn);
        GwCaller_Free(caller, GW_END_DISCONNECTED);
    }
}

static bool
is_last_exchange(GwCaller *caller, const GwExchange *x)
{
    return g_queue_peek_tail(&caller->exchanges) == x;
}

int64_t
GwExchange_TimeLeftUs(const GwExchange *x)
{
    const char *text = GwHttpMessage_Get(x->msg, x->edge->adapter->time_left);
    char *rest;

    if (text == NULL) {
        return -1;
    }
    int64_t ms = strtoll(text, &rest, 10);
    return rest != text && ms >= 0 && ms < INT32_MAX ? ms * 1000 : -1;
}

static const char *
header_or_empty(const GwHttpMessage *msg, const char *name)
{
    const char *value = GwHttpMessage_Get(msg, name);

    return value != NULL ? value : "";
}

/* Returns the organisation that holds the caller's key, or what the caller
 * states itself where no keys are in use. A fingerprint is logged and stored,
 * so it must not depend on a key. */
static const char *
caller_identity(const GwExchange *x)
{
    const GwRouting *routing = GwRouter_Routing(x->edge->router);
    const char *credential =
        GwHttpMessage_GetOnly(x->msg, x->edge->adapter->credential);

    if (routing == NULL || !routing->requires_keys || credential == NULL) {
        return header_or_empty(x->msg, "authorization");
    }
    GwKeyDigest digest = GwKeyDigest_Compute(credential);
    const GwOrganisation *org = GwRouting_FindOrganisation(routing, &digest);
    return org != NULL ? org->name : "";
}

/* Identifies the caller by its credentials: a caller can use many addresses
 * and can share an address with others. */
const GwFingerprint *
GwExchange_Fingerprint(GwExchange *x)
{
    GwFingerprintParts parts = {
        .method = x->msg->method,
        .host = header_or_empty(x->msg, "host"),
        .target = x->msg->target->str,
        .caller = caller_identity(x),
        .body = x->msg->body->str,
        .body_len = x->msg->body->len,
    };

    if (!x->has_fingerprint) {
        x->fingerprint = GwFingerprint_Compute(&parts);
        x->has_fingerprint = true;
    }
    return &x->fingerprint;
}

/* The request is meant for another process, or does not come from an entry. */
static void
refuse_unauthorized(GwExchange *x)
{
    GwRouterAction refusal = {
        .kind = GW_ROUTER_REPLY, .user = x, .status = 421};

    GwLog_Event(GW_LOG_PASS_ON_DENIED, "status=%u", refusal.status);
    GwExchange_Reply(x, &refusal);
}

static void
start_exchange(GwExchange *x)
{
    GwEdge *edge = x->edge;
    const char *host = GwHttpMessage_Get(x->msg, "host");
    GwArrival arrival = {
        .user = x,
        .host = host != NULL ? host : "",
        .path = x->msg->target->str,
        .key = GwHttpMessage_Get(x->msg, edge->adapter->object_key),
        .credential = GwHttpMessage_GetOnly(x->msg, edge->adapter->credential),
        .left_us = GwExchange_TimeLeftUs(x),
        .waited_us = GwEdge_Now() - x->arrived_us,
        .is_passed_on = x->is_passed_on,
        .objective_left_us = GwRelay_ReadObjectiveUs(x->msg),
    };

    if (GwRouter_WantsFingerprints(edge->router)) {
        arrival.fingerprint = GwExchange_Fingerprint(x);
    }

    x->started = true;
    if (x->is_passed_on && !GwRelay_IsAuthorized(edge, x->msg)) {
        refuse_unauthorized(x);
        return;
    }
    edge->counts.arrived++;
    edge->counts.taken_over += x->is_passed_on;
    GwEdge_CheckStopSignal(edge);
    GwEdge_ApplyProof(edge);
    GwRouter_Arrive(edge->router, GwEdge_Now(), &arrival, edge->actions);
}

/* Starts the requests that may run now. A non-idempotent request waits until
 * all requests before it on the connection are answered: if one of those
 * answers closed the connection, the caller would send the request again.
 * During a graceful stop every request waits for its predecessors: a
 * predecessor may still run when the process exits, and the answers queued
 * behind it would be lost. */
void
GwCaller_StartReady(GwCaller *caller)
{
    GwEdge *edge = caller->edge;
    GwStartVerdict verdict = GW_START_NOW;

    for (GList *at = caller->exchanges.head; at != NULL; at = at->next) {
        GwExchange *x = at->data;
        bool first = at == caller->exchanges.head;
        if (!x->started && !first && (!x->idempotent || edge->is_stopping)) {
            return;
        }
        if (!x->started) {
            verdict = GwExchange_TakeRoom(x);
        }
        if (verdict == GW_START_WAITS) {
            return;
        }
        if (!x->started) {
            start_exchange(x);
        }
        if (!x->idempotent) {
            return;
        }
    }
}

static uint32_t
error_retry_ms(const GwCaller *caller)
{
    if (caller->error_status != 503) {
        return 0;
    }
    return caller->edge->is_stopping ? GW_STOP_RETRY_AFTER_MS
                                     : OVER_BUDGET_RETRY_MS;
}

/* Sends the answers that are ready, in request order. An answer that closes
 * the connection must be the last for the data read so far: the caller would
 * resend any request already forwarded behind it. */
void
GwCaller_Flush(GwCaller *caller)
{
    GwEdge *edge = caller->edge;
    GwExchange *x = g_queue_peek_head(&caller->exchanges);
    bool close = false;

    caller->is_flush_pending = false;
    while (!close && x != NULL && x->out != NULL) {
        bool last =
            is_last_exchange(caller, x) && !GwConn_IsInMessage(caller->conn);
        close = last && caller->error_status == 0 &&
                (edge->is_stopping || !x->msg->keep_alive);
        if (close) {
            /* Inserted after the start line. */
            const char *eol = strstr(x->out->str, "\r\n");
            g_string_insert(x->out, eol - x->out->str + 2,
                            "Connection: close\r\n");
        }
        GwConn_Write(caller->conn, x->out);
        if (x->sends_body_apart) {
            GwConn_WriteOwned(caller->conn, GwHttpMessage_TakeBody(x->answer));
        }
        (void)g_queue_pop_head(&caller->exchanges);
        end_exchange(x);
        x = g_queue_peek_head(&caller->exchanges);
    }
    GwCaller_BeginIdle(caller);
    caller->has_unacked_answer = true;
    if (x == NULL && caller->error_status != 0) {
        GString *out = g_string_new(NULL);
        GwReply_Write(out, caller->error_status, error_retry_ms(caller), "",
                      true);
        GwConn_Write(caller->conn, out);
        g_string_free(out, TRUE);
        close = true;
    }
    if (close) {
        GwCaller_Close(caller, caller->error_status != 0 ? GW_CLOSE_REJECTED
                                                         : GW_CLOSE_LAST);
        return;
    }
    GwConn_Pause(caller->conn,
                 caller->error_status != 0 ||
                     g_queue_get_length(&caller->exchanges) >= PIPELINE_MAX);
    GwCaller_StartReady(caller);
}

static bool
is_idempotent(const GwEdge *edge, const GwHttpMessage *msg)
{
    const GwRouting *routing = GwRouter_Routing(edge->router);
    const char *host = GwHttpMessage_Get(msg, "host");

    if (routing == NULL || host == NULL) {
        return true; /* the request is answered without being run */
    }
    const GwRoute *route = GwRouting_Match(routing, host, msg->target->str);
    return route == NULL || route->idempotent;
}

static void
on_message(void *owner, GwHttpMessage *msg)
{
    GwCaller *caller = owner;
    GwExchange *x = g_new0(GwExchange, 1);

    x->edge = caller->edge;
    x->caller = caller;
    x->msg = msg;
    x->idempotent = is_idempotent(caller->edge, msg);
    x->is_passed_on = caller->is_peer;
    x->arrived_us = GwEdge_Now();
    caller->partial_since_us = 0;
    g_queue_push_tail(&caller->exchanges, x);
    GwCaller_EndIdle(caller);
    if (g_queue_get_length(&caller->exchanges) >= PIPELINE_MAX) {
        GwConn_Pause(caller->conn, true);
    }
    GwCaller_StartReady(caller);
}

/* Sends answers only after the whole read is parsed: the first of several
 * pipelined requests may be refused at once, and only the last answer may
 * close the connection. */
static void
on_read(void *owner)
{
    GwCaller *caller = owner;

    GwEdge_RunActions(caller->edge);
}

/* The caller has read answers, so that there may be room for others. */
static void
on_drained(void *owner)
{
    GwCaller *caller = owner;

    caller->edge->is_room_freed = true;
    if (!caller->awaits_room) {
        GwCaller_StartReady(caller);
    }
    GwEdge_RunActions(caller->edge);
}

static void
on_connection_end(void *owner, GwConnEnd end)
{
    GwCaller *caller = owner;
    GwEdge *edge = caller->edge;

    if (end != GW_CONN_MALFORMED) {
        GwEdge_CheckStopSignal(edge);
        GwCaller_Free(caller, GW_END_DISCONNECTED);
        GwEdge_RunActions(edge);
        return;
    }
    switch (GwConn_Error(caller->conn)) {
    case GW_HTTP_LONG_HEAD:
        caller->error_status = 431;
        break;
    case GW_HTTP_LONG_BODY:
        caller->error_status = 413;
        break;
    case GW_HTTP_OVER_BUDGET:
        caller->error_status = 503; /* incomplete, so never run */
        break;
    default:
        caller->error_status = 400;
        break;
    }
    GwCaller_ScheduleFlush(caller);
    GwEdge_RunActions(edge);
}

/* Dropping a request is correct only after an answer with "Connection: close":
 * the caller then knows that no later request was run, and resends it. An
 * idle_ms above a few milliseconds means that no such answer preceded the
 * request, so the caller can't know whether it ran. */
static void
on_dropped(void *host, const GwConnDropped *dropped)
{
    GwEdge *edge = host;
    const char *name = edge->adapter->request_id;
    const char *id =
        dropped->msg != NULL ? GwHttpMessage_Get(dropped->msg, name) : NULL;

    edge->counts.dropped++;
    GwLog_Event(GW_LOG_REQUEST_DROPPED,
                "request=%.40s closing_ms=%u idle_ms=%u", id != NULL ? id : "",
                dropped->closing_ms, dropped->idle_ms);
}

static const GwConnOps caller_ops = {
    .message = on_message,
    .read = on_read,
    .drained = on_drained,
    .ended = on_connection_end,
    .dropped = on_dropped,
    .cut = GwCallers_OnCut,
};

static GwCaller *
accept_caller(GwEdge *edge, uv_stream_t *listener)
{
    GwCallerLimits limits = GwCallers_Limits(edge);
    GwCaller *caller = g_new0(GwCaller, 1);
    GwConnParams params = {
        .loop = &edge->loop,
        .ops = &caller_ops,
        .owner = caller,
        .host = edge,
        .requests = true,
        .head_max = limits.head_bytes,
        .body_max = limits.body_bytes,
        .budget = &edge->bodies,
        .close_by_us = &edge->close_by_us,
        .unsent_max_bytes = UNSENT_MAX_BYTES,
    };
    caller->edge = edge;
    caller->accepted_us = GwEdge_Now();
    caller->link.data = caller;
    caller->idle_link.data = caller;
    caller->room_link.data = caller;
    caller->conn = GwConn_Accept(&params, listener);
    if (caller->conn == NULL) {
        g_free(caller);
        return NULL;
    }
    g_queue_push_tail_link(&edge->callers, &caller->link);
    GwCaller_BeginIdle(caller);
    return caller;
}

void
GwCallers_Resume(GwEdge *edge)
{
    if (edge->is_accept_paused && edge->call_listener != NULL) {
        edge->is_accept_paused = false;
        GwCallers_OnConnection((uv_stream_t *)edge->call_listener, 0);
    }
}

/* libuv stops accepting until the connection that it reported has been
 * accepted, so while the limit is reached further connections wait in the
 * kernel's backlog. */
void
GwCallers_OnConnection(uv_stream_t *listener, int status)
{
    GwEdge *edge = listener->data;

    if (status != 0) {
        return;
    }
    edge->is_accept_paused = !GwCallers_FreeSlot(edge);
    if (!edge->is_accept_paused) {
        edge->accept_paused_us = 0;
        (void)accept_caller(edge, listener);
    }
    else if (edge->accept_paused_us == 0) {
        edge->accept_paused_us = GwEdge_Now();
    }
}

void
GwCallers_AcceptPeer(GwEdge *edge, uv_stream_t *listener)
{
    GwCaller *caller = accept_caller(edge, listener);

    if (caller != NULL) {
        caller->is_peer = true;
    }
}
