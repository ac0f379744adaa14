/* Callers' connections: requests in, answers out in the same order. */
#include "edge/callers_internal.h"

#include <stdlib.h>
#include <string.h>

/* Requests of one connection that are under way at once; what comes behind
 * them stays unread, so a caller that never reads holds no more than this. */
#define PIPELINE_MAX 32
/* When a caller whose body found no room may come back. */
#define NO_ROOM_RETRY_MS 1000
static void
free_exchange(GwExchange *x)
{
    GwHttpMessage_Free(x->msg);
    GwHttpMessage_Free(x->answer);
    if (x->out != NULL) {
        g_string_free(x->out, TRUE);
    }
    g_free(x);
}

/* Requests without an answer yet: those that wait behind others have no line
 * otherwise. */
static void
note_open(const GwExchange *x, GwRequestEnd end)
{
    int64_t now_us = GwEdge_Now();
    GwRequestStory story = {.took_ms =
                                (uint32_t)((now_us - x->arrived_us) / 1000)};

    if (x->out != NULL) {
        return;
    }
    if (x->request != NULL) {
        story = GwRequest_Story(x->request, now_us);
    }
    GwEdge_NoteEnd(x, end, 0, GW_WHY_NONE, &story);
}

/* The connection is gone or about to be: what is under way is abandoned, and
 * ends in that way. */
void
GwCaller_Free(GwCaller *caller, GwRequestEnd open_end)
{
    GwEdge *edge = caller->edge;
    GwExchange *x;

    g_queue_unlink(&edge->callers, &caller->link);
    if (caller->dirty) {
        g_queue_remove(&edge->dirty, caller);
    }
    if (caller->gone) {
        g_queue_remove(&edge->gone, caller);
    }
    while ((x = g_queue_pop_head(&caller->exchanges)) != NULL) {
        note_open(x, open_end);
        if (x->request != NULL) {
            GwServerLink_Cancel(x);
            GwRouter_Gone(edge->router, GwEdge_Now(), x->request,
                          edge->actions);
        }
        free_exchange(x);
    }
    GwRouter_Settle(edge->router, GwEdge_Now(), edge->actions);
    g_free(caller);
    GwCallers_Resume(edge);
}

/* Its answers are sent once all that the router said is carried out. */
void
GwCaller_Mark(GwCaller *caller)
{
    if (!caller->dirty) {
        caller->dirty = true;
        g_queue_push_tail(&caller->edge->dirty, caller);
    }
}

bool
GwExchange_HasCaller(GwExchange *x)
{
    GwCaller *caller = x->caller;

    if (!caller->gone && GwConn_HasEnded(caller->conn)) {
        caller->gone = true;
        g_queue_push_tail(&caller->edge->gone, caller);
    }
    return !caller->gone;
}

/* One at a time: the room that it leaves may have been given to a request of
 * the next one, which an action names then. */
void
GwCallers_DropOneGone(GwEdge *edge)
{
    GwCaller *caller = g_queue_peek_head(&edge->gone);

    if (caller != NULL) {
        GwConn_Close(caller->conn);
        GwCaller_Free(caller, GW_END_LEFT);
    }
}

static bool
is_tail(GwCaller *caller, const GwExchange *x)
{
    return g_queue_peek_tail(&caller->exchanges) == x;
}

static const char *
status_text(uint16_t status)
{
    switch (status) {
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    default:
        return "Gateway Timeout";
    }
}

static void
write_own(GString *out, uint16_t status, uint32_t retry_after_ms, bool close)
{
    g_string_append_printf(out, "HTTP/1.1 %u %s\r\nContent-Length: 0\r\n",
                           status, status_text(status));
    if (retry_after_ms > 0) {
        g_string_append_printf(out, "Retry-After: %u.%03u\r\n",
                               retry_after_ms / 1000, retry_after_ms % 1000);
    }
    g_string_append(out, close ? "Connection: close\r\n\r\n" : "\r\n");
}

static int64_t
read_left_us(const GwExchange *x)
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
field_of(const GwHttpMessage *msg, const char *name)
{
    const char *value = GwHttpMessage_Get(msg, name);

    return value != NULL ? value : "";
}

/* A caller has many addresses, and shares some: what names it is what it says
 * of itself. */
const GwFingerprint *
GwExchange_Fingerprint(GwExchange *x)
{
    GwFingerprintParts parts = {
        .method = x->msg->method,
        .host = field_of(x->msg, "host"),
        .target = x->msg->target->str,
        .caller = field_of(x->msg, "authorization"),
        .body = x->msg->body->str,
        .body_len = x->msg->body->len,
    };

    if (!x->has_fingerprint) {
        x->fingerprint = GwFingerprint_Make(&parts);
        x->has_fingerprint = true;
    }
    return &x->fingerprint;
}

static void
start(GwExchange *x)
{
    GwEdge *edge = x->edge;
    const char *host = GwHttpMessage_Get(x->msg, "host");
    GwArrival arrival = {
        .user = x,
        .host = host != NULL ? host : "",
        .path = x->msg->target->str,
        .key = GwHttpMessage_Get(x->msg, edge->adapter->object_key),
        .left_us = read_left_us(x),
    };

    if (GwRouter_WantsFingerprints(edge->router)) {
        arrival.fingerprint = GwExchange_Fingerprint(x);
    }

    x->started = true;
    edge->counts.arrived++;
    GwEdge_NoticeStop(edge);
    GwRouter_Arrive(edge->router, GwEdge_Now(), &arrival, edge->actions);
}

/* Starts what may run now. A request that may run once only waits until all
 * before it on its connection are answered: if one of those closed the
 * connection, the caller would send it again. In a stop all wait: the one
 * before may outlast the entry, and an answer behind it would go with it. */
static void
start_next(GwCaller *caller)
{
    GwEdge *edge = caller->edge;

    for (GList *at = caller->exchanges.head; at != NULL; at = at->next) {
        GwExchange *x = at->data;
        bool first = at == caller->exchanges.head;
        if (!x->started && !first && (!x->idempotent || edge->leaving)) {
            return;
        }
        if (!x->started) {
            start(x);
        }
        if (!x->idempotent) {
            return;
        }
    }
}

/* Sends the answers that are ready and next in order. An answer that ends the
 * connection must be the last of what was read, for what was passed on behind
 * it would be sent again by the caller. */
void
GwCaller_Flush(GwCaller *caller)
{
    GwEdge *edge = caller->edge;
    GwExchange *x = g_queue_peek_head(&caller->exchanges);
    bool close = false;

    caller->dirty = false;
    while (!close && x != NULL && x->out != NULL) {
        bool last = is_tail(caller, x) && !GwConn_IsInside(caller->conn);
        close = last && caller->bad_status == 0 &&
                (edge->leaving || !x->msg->keep_alive);
        if (close) {
            /* Goes in behind the start line. */
            const char *eol = strstr(x->out->str, "\r\n");
            g_string_insert(x->out, eol - x->out->str + 2,
                            "Connection: close\r\n");
        }
        GwConn_Write(caller->conn, x->out);
        (void)g_queue_pop_head(&caller->exchanges);
        free_exchange(x);
        x = g_queue_peek_head(&caller->exchanges);
    }
    GwCaller_BeginIdle(caller);
    caller->arriving = true;
    if (x == NULL && caller->bad_status != 0) {
        GString *out = g_string_new(NULL);
        write_own(out, caller->bad_status,
                  caller->bad_status == 503 ? NO_ROOM_RETRY_MS : 0, true);
        GwConn_Write(caller->conn, out);
        g_string_free(out, TRUE);
        close = true;
    }
    if (close) {
        GwConn_FinishAndClose(caller->conn);
        GwCaller_Free(caller, GW_END_CUT);
        return;
    }
    GwConn_Pause(caller->conn,
                 caller->bad_status != 0 ||
                     g_queue_get_length(&caller->exchanges) >= PIPELINE_MAX);
    start_next(caller);
}

static bool
is_idempotent(const GwEdge *edge, const GwHttpMessage *msg)
{
    const GwRouting *routing = GwRouter_Routing(edge->router);
    const char *host = GwHttpMessage_Get(msg, "host");

    if (routing == NULL || host == NULL) {
        return true; /* it won't run at all */
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
    x->arrived_us = GwEdge_Now();
    caller->inside_since_us = 0;
    g_queue_push_tail(&caller->exchanges, x);
    if (g_queue_get_length(&caller->exchanges) >= PIPELINE_MAX) {
        GwConn_Pause(caller->conn, true);
    }
    start_next(caller);
}

/* Answers go out only now: the first of several requests that came together may
 * be refused at once, and an answer that closes the connection has to be the
 * last of them. */
static void
on_read(void *owner)
{
    GwCaller *caller = owner;

    GwEdge_Carry(caller->edge);
}

static void
on_ended(void *owner, GwConnEnd end)
{
    GwCaller *caller = owner;
    GwEdge *edge = caller->edge;

    if (end != GW_CONN_BAD) {
        GwEdge_NoticeStop(edge);
        GwCaller_Free(caller, GW_END_LEFT);
        GwEdge_Carry(edge);
        return;
    }
    switch (GwConn_Error(caller->conn)) {
    case GW_HTTP_LONG_HEAD:
        caller->bad_status = 431;
        break;
    case GW_HTTP_LONG_BODY:
        caller->bad_status = 413;
        break;
    case GW_HTTP_NO_ROOM:
        caller->bad_status = 503; /* not whole, so it did not run */
        break;
    default:
        caller->bad_status = 400;
        break;
    }
    GwCaller_Mark(caller);
    GwEdge_Carry(edge);
}

/* Right only behind an answer that said that it closes the connection: the
 * caller knows then that nothing behind it was run, and sends it again. With
 * an idle_ms above some milliseconds there was no such answer, and the caller
 * can't know. */
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
    .ended = on_ended,
    .dropped = on_dropped,
};

void
GwCallers_Resume(GwEdge *edge)
{
    if (edge->callers_wait && edge->call_listener != NULL &&
        GwCallers_HaveRoom(edge)) {
        edge->callers_wait = false;
        GwCallers_OnConnection((uv_stream_t *)edge->call_listener, 0);
    }
}

/* libuv listens no further until a connection that it reported is accepted, so
 * the next ones wait in the kernel while there are many. */
void
GwCallers_OnConnection(uv_stream_t *listener, int status)
{
    GwEdge *edge = listener->data;
    GwCallerLimits limits = GwCallers_Limits(edge);

    if (status != 0) {
        return;
    }
    edge->callers_wait = !GwCallers_MakeRoom(edge);
    if (edge->callers_wait) {
        return;
    }
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
    };
    caller->edge = edge;
    caller->link.data = caller;
    caller->conn = GwConn_Accept(&params, listener);
    if (caller->conn == NULL) {
        g_free(caller);
        return;
    }
    g_queue_push_tail_link(&edge->callers, &caller->link);
    GwCaller_BeginIdle(caller);
}

/* ---- Ends of requests ---------------------------------------------------- */

void
GwExchange_Reply(GwExchange *x, uint16_t status, uint32_t retry_after_ms)
{
    x->request = NULL;
    x->out = g_string_new(NULL);
    write_own(x->out, status, retry_after_ms, false);
    GwCaller_Mark(x->caller);
}

void
GwExchange_PassOn(GwExchange *x)
{
    GwHttpWrite how = {
        .to_head = strcmp(x->msg->method, "HEAD") == 0,
    };

    x->request = NULL;
    x->out = g_string_sized_new(x->answer->body->len + 512);
    GwHttpMessage_WriteAnswer(x->answer, &how, x->out);
    GwCaller_Mark(x->caller);
}
