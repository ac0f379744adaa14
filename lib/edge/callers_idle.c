/* Limits on the lifetime and number of connections from callers. */
#include "edge/callers_internal.h"
#include "edge/relay.h"

/* Callers may use one of FD_PARTS parts of the file descriptors: each
 * request in progress needs another one for its server, and idle server
 * connections stay open as well. With no descriptor left, no server can be
 * reached and accept() fails in a busy loop. */
#define FD_PARTS 3
/* Number of longest-idle connections checked when a slot is needed. */
#define IDLEST_CHECKED 8
/* An entry that accepts nothing for this long is not ready. */
#define ACCEPT_PAUSE_MAX_MS INT64_C(1000)
/* Idle time of a connection from another entry, which closes it itself before
 * that. */
#define PEER_IDLE_MS 5000
/* A caller that makes no progress with its answers for this time is closed;
 * while answers use most of their memory, for the shorter one. Callers wait
 * for some seconds, so it has gone or will never read. */
#define STALLED_MS       30000
#define STALLED_SHORT_MS 10000

GwCallerLimits
GwCallers_Limits(const GwEdge *edge)
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

void
GwCaller_EndIdle(GwCaller *caller)
{
    if (caller->is_listed_idle) {
        caller->is_listed_idle = false;
        g_queue_unlink(&caller->edge->idle_callers, &caller->idle_link);
    }
}

/* Keeps the lists of callers ordered by idle time, longest first. */
void
GwCaller_BeginIdle(GwCaller *caller)
{
    GQueue *callers = &caller->edge->callers;

    g_queue_unlink(callers, &caller->link);
    g_queue_push_tail_link(callers, &caller->link);
    GwCaller_EndIdle(caller);
    if (caller->exchanges.head == NULL) {
        caller->is_listed_idle = true;
        g_queue_push_tail_link(&caller->edge->idle_callers,
                               &caller->idle_link);
    }
    caller->idle_since_us = GwEdge_Now();
    caller->idle_limit_ms = GwCallers_Limits(caller->edge).idle_timeout_ms;
}

/* Whether all answers are acknowledged and no request is in progress, partly
 * received or unread in the socket. While the process was stalled, a request
 * may have arrived that the loop has not read when the limits are checked. */
static bool
is_idle(const GwCaller *caller)
{
#if GW_MUTANT != 153 /* breaks: a connection is idle while its caller reads */
    if (caller->has_unacked_answer && !GwConn_IsAllAcked(caller->conn)) {
        return false;
    }
#endif
    return caller->exchanges.head == NULL &&
           !GwConn_IsInMessage(caller->conn) &&
           !GwConn_HasUnread(caller->conn);
}

/* ---- Connection slots ---------------------------------------------------- */

bool
GwCallers_HasFreeSlot(const GwEdge *edge)
{
    return edge->is_stopping || g_queue_get_length((GQueue *)&edge->callers) <
                                    edge->settings->fd_limit / FD_PARTS;
}

/* Closes the longest-idle connection to free a slot: callers keep connections
 * open for long, and new callers would have to wait for them. One on which a
 * request is arriving goes to the end of the list, so that repeated calls
 * reach those behind it. */
bool
GwCallers_FreeSlot(GwEdge *edge)
{
    GList *at;

    for (int i = 0; i < IDLEST_CHECKED && !GwCallers_HasFreeSlot(edge) &&
                    (at = edge->idle_callers.head) != NULL;
         i++) {
        GwCaller *caller = at->data;
        if (is_idle(caller)) {
            GwCaller_Close(caller, GW_CLOSE_SLOT);
            break;
        }
        g_queue_unlink(&edge->idle_callers, at);
        g_queue_push_tail_link(&edge->idle_callers, at);
    }
    return GwCallers_HasFreeSlot(edge);
}

bool
GwCallers_AreFull(const GwEdge *edge, int64_t now_us)
{
    return edge->accept_paused_us != 0 &&
           now_us - edge->accept_paused_us > ACCEPT_PAUSE_MAX_MS * 1000;
}

/* ---- Time ---------------------------------------------------------------- */

static bool
is_overdue(int64_t since_us, uint32_t limit_ms, int64_t now_us)
{
    return now_us - since_us > (int64_t)limit_ms * 1000;
}

/* Checks a connection on which a request is partly received. */
static void
check_partial_request(GwCaller *caller, const GwCallerLimits *limits,
                      int64_t now_us)
{
    bool in_head = GwConn_IsInHead(caller->conn);

    if (caller->partial_since_us == 0) {
        caller->partial_since_us = now_us;
    }
    uint32_t limit_ms =
        in_head ? limits->head_timeout_ms : limits->idle_timeout_ms;
    int64_t since = in_head ? caller->partial_since_us
                            : GwConn_LastReceivedUs(caller->conn);
    /* Unread data was sent in time; the process was stalled. */
    if (caller->error_status == 0 && is_overdue(since, limit_ms, now_us) &&
        !GwConn_HasUnread(caller->conn)) {
        caller->error_status = 408; /* incomplete, so never run */
        GwCaller_ScheduleFlush(caller);
    }
}

/* The caller measures idle time from the arrival of the answer, which can be
 * long after the write on a slow link. */
static void
note_reading(GwCaller *caller, int64_t now_us)
{
    if (!caller->has_unacked_answer) {
        return;
    }
    size_t unacked = GwConn_UnackedBytes(caller->conn);
    GwSendProgress_Note(&caller->reading,
                        GwConn_BytesOut(caller->conn) - unacked, unacked,
                        now_us);
    if (unacked == 0) {
        caller->has_unacked_answer = false;
        caller->idle_since_us = now_us;
    }
}

static bool
is_stalled(const GwCaller *caller, int64_t now_us)
{
    uint32_t limit_ms = GwHttpBudget_IsShort(&caller->edge->bodies)
                            ? STALLED_SHORT_MS
                            : STALLED_MS;

#if GW_MUTANT == 146 /* breaks: callers that read nothing keep the memory */
    return false;
#endif
    return GwSendProgress_StalledUs(&caller->reading, now_us) >
           (int64_t)limit_ms * 1000;
}

static void
sweep_caller(GwCaller *caller, const GwCallerLimits *limits, int64_t now_us)
{
    /* libuv reports the end of a stream only while reading. On a paused
     * connection the requests would go on running at servers although the
     * caller has disconnected. */
    if (GwConn_IsPaused(caller->conn) && GwConn_HasEnded(caller->conn)) {
        GwConn_Close(caller->conn);
        GwCaller_Free(caller, GW_END_DISCONNECTED);
        return;
    }
    note_reading(caller, now_us);
    if (is_stalled(caller, now_us)) {
        GwCaller_Close(caller, GW_CLOSE_STALLED);
        return;
    }
    GwConn_SetLimits(caller->conn,
                     limits->head_bytes +
                         (caller->is_peer ? GW_RELAY_HEAD_BYTES : 0),
                     limits->body_bytes);
    if (GwConn_IsInMessage(caller->conn)) {
        check_partial_request(caller, limits, now_us);
        return;
    }
    /* A lowered limit applies from the next time that the connection becomes
     * idle: the caller relies on the limit in force before, and its request
     * could cross the close. A raised limit applies at once, because callers
     * may know it already. */
    uint32_t idle_ms =
        caller->is_peer ? PEER_IDLE_MS
                        : MAX(caller->idle_limit_ms, limits->idle_timeout_ms);
    if (is_overdue(caller->idle_since_us, idle_ms, now_us) &&
        is_idle(caller)) {
        GwCaller_Close(caller, GW_CLOSE_IDLE);
    }
}

void
GwCallers_Sweep(GwEdge *edge, int64_t now_us)
{
    GwCallerLimits limits = GwCallers_Limits(edge);

    for (GList *at = edge->callers.head, *next; at != NULL; at = next) {
        next = at->next;
        sweep_caller(at->data, &limits, now_us);
    }
    GwCallers_SweepRoom(edge, now_us);
    GwCallers_Resume(edge); /* a request may have ended since the pause */
}

/* Flushes the log lines of the interrupted requests here: the process may be
 * killed while the last answers are being delivered. */
void
GwCallers_CloseAll(GwEdge *edge)
{
    GwCaller *caller;

    edge->is_accept_paused = false; /* stop accepting */
    while ((caller = g_queue_peek_head(&edge->callers)) != NULL) {
        GwCaller_Close(caller, GW_CLOSE_EXIT);
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
            GwCaller_Close(caller, GW_CLOSE_STOP);
        }
    }
}
