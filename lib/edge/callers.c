/* Callers' connections: requests in, answers out in the same order. */
#include "edge/edge_internal.h"

#include <stdlib.h>
#include <string.h>

/* Requests of one connection that are under way at once; what comes behind
 * them stays unread, so a caller that never reads holds no more than this. */
#define PIPELINE_MAX 32
/* Of the descriptors, what callers' connections may take: each request under
 * way needs one more, to its server, and kept ones stay open beside them. With
 * none left no server can be reached, and the loop accepts without end. */
#define CALLERS_SHARE 3
/* When a caller whose body found no room may come back. */
#define NO_ROOM_RETRY_MS 1000
/* For the last answers to arrive on a connection that is closed: one that has
 * been idle, and at the end of the process, which is killed soon after. */
#define IDLE_WAIT_MS 10000
#define END_WAIT_MS  500

struct GwCaller_s {
    GwEdge *edge;
    GwConn *conn;
    GList link;       /* in edge->callers */
    GQueue exchanges; /* GwExchange, oldest first */
    int64_t idle_since_us;
    uint32_t idle_limit_ms;  /* in force when it became idle */
    bool arriving;           /* its last answer may not have arrived */
    int64_t inside_since_us; /* a message has begun to come; 0: none */
    bool dirty;              /* in edge->dirty: answers wait to be sent */
    bool gone;               /* in edge->gone: it has left */
    uint16_t bad_status; /* to be said when the rest is answered; 0: none */
};

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
static void
free_caller(GwCaller *caller, GwRequestEnd open_end)
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
static void
mark(GwCaller *caller)
{
    if (!caller->dirty) {
        caller->dirty = true;
        g_queue_push_tail(&caller->edge->dirty, caller);
    }
}

static GwCallerLimits
limits_of(const GwEdge *edge)
{
    const GwRouting *routing = GwRouter_Routing(edge->router);

    if (routing != NULL) {
        return routing->limits;
    }
    return (GwCallerLimits){
        .head_bytes = GW_DEFAULT_HEAD_BYTES,
        .body_bytes = GW_DEFAULT_BODY_BYTES,
        .head_timeout_ms = GW_DEFAULT_HEAD_TIMEOUT_MS,
        .idle_timeout_ms = GW_DEFAULT_IDLE_TIMEOUT_MS,
    };
}

/* From here on the connection is idle, unless something is under way. */
static void
begin_idle(GwCaller *caller)
{
    caller->idle_since_us = GwEdge_Now();
    caller->idle_limit_ms = limits_of(caller->edge).idle_timeout_ms;
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
        free_caller(caller, GW_END_LEFT);
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
    begin_idle(caller);
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
        free_caller(caller, GW_END_CUT);
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
        free_caller(caller, GW_END_LEFT);
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
    mark(caller);
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

static bool
is_full(const GwEdge *edge)
{
    return !edge->leaving && g_queue_get_length((GQueue *)&edge->callers) >=
                                 edge->settings->fd_limit / CALLERS_SHARE;
}

void
GwCallers_Resume(GwEdge *edge)
{
    if (edge->callers_wait && edge->call_listener != NULL) {
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
    GwCallerLimits limits = limits_of(edge);

    if (status != 0) {
        return;
    }
    edge->callers_wait = is_full(edge);
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
    begin_idle(caller);
    caller->conn = GwConn_Accept(&params, listener);
    if (caller->conn == NULL) {
        g_free(caller);
        return;
    }
    g_queue_push_tail_link(&edge->callers, &caller->link);
}

/* ---- Ends of requests ---------------------------------------------------- */

void
GwExchange_Reply(GwExchange *x, uint16_t status, uint32_t retry_after_ms)
{
    x->request = NULL;
    x->out = g_string_new(NULL);
    write_own(x->out, status, retry_after_ms, false);
    mark(x->caller);
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
    mark(x->caller);
}

/* ---- Time ---------------------------------------------------------------- */

static bool
is_late(int64_t since_us, uint32_t limit_ms, int64_t now_us)
{
    return now_us - since_us > (int64_t)limit_ms * 1000;
}

/* Nothing is under way, nor has a request begun to come: one that came while
 * the process stood still waits unread when the limits are looked at. */
static bool
is_idle(const GwCaller *caller)
{
    return caller->exchanges.head == NULL && !GwConn_IsInside(caller->conn) &&
           !GwConn_HasUnread(caller->conn);
}

/* Half a request has come. */
static void
sweep_inside(GwCaller *caller, const GwCallerLimits *limits, int64_t now_us)
{
    bool in_head = GwConn_IsInHead(caller->conn);

    if (caller->inside_since_us == 0) {
        caller->inside_since_us = now_us;
    }
    uint32_t limit_ms =
        in_head ? limits->head_timeout_ms : limits->idle_timeout_ms;
    int64_t since =
        in_head ? caller->inside_since_us : GwConn_LastHeard(caller->conn);
    /* What waits unread was sent in time: the process stood still. */
    if (caller->bad_status == 0 && is_late(since, limit_ms, now_us) &&
        !GwConn_HasUnread(caller->conn)) {
        caller->bad_status = 408; /* it was not whole, so it did not run */
        mark(caller);
    }
}

static void
sweep_one(GwCaller *caller, const GwCallerLimits *limits, int64_t now_us)
{
    /* The loop tells an end only where it reads; the requests would go on at
     * servers, for nobody. */
    if (GwConn_IsPaused(caller->conn) && GwConn_HasEnded(caller->conn)) {
        GwConn_Close(caller->conn);
        free_caller(caller, GW_END_LEFT);
        return;
    }
    GwConn_SetLimits(caller->conn, limits->head_bytes, limits->body_bytes);
    if (GwConn_IsInside(caller->conn)) {
        sweep_inside(caller, limits, now_us);
        return;
    }
    /* Its caller counts from the arrival of the answer, which takes its time on
     * a narrow link. */
    if (caller->arriving && GwConn_HasArrived(caller->conn)) {
        caller->arriving = false;
        caller->idle_since_us = now_us;
    }
    /* A lowered limit holds from the next time that it becomes idle: its caller
     * counts on the one that was in force, and a request would cross the
     * close. Callers may know a raised one already. */
    uint32_t idle_ms = MAX(caller->idle_limit_ms, limits->idle_timeout_ms);
    if (is_late(caller->idle_since_us, idle_ms, now_us) && is_idle(caller)) {
        GwConn_CloseUnread(caller->conn, IDLE_WAIT_MS);
        free_caller(caller, GW_END_CUT);
    }
}

void
GwCallers_Sweep(GwEdge *edge, int64_t now_us)
{
    GwCallerLimits limits = limits_of(edge);

    for (GList *at = edge->callers.head, *next; at != NULL; at = next) {
        next = at->next;
        sweep_one(at->data, &limits, now_us);
    }
}

/* The lines of what is cut go out first: the process may be killed while the
 * last answers are on their way. */
void
GwCallers_CloseAll(GwEdge *edge)
{
    GwCaller *caller;

    edge->callers_wait = false; /* nobody is accepted any more */
    while ((caller = g_queue_peek_head(&edge->callers)) != NULL) {
        GwConn_CloseUnread(caller->conn, END_WAIT_MS);
        free_caller(caller, GW_END_CUT);
    }
    GwLog_Flush();
}

void
GwCallers_CloseIdle(GwEdge *edge)
{
    for (GList *at = edge->callers.head, *next; at != NULL; at = next) {
        GwCaller *caller = at->data;
        next = at->next;
        if (is_idle(caller)) {
            GwConn_CloseUnread(caller->conn, IDLE_WAIT_MS);
            free_caller(caller, GW_END_CUT);
        }
    }
}
