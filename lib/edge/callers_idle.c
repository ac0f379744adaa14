/* How long callers' connections last, and how many there are. */
#include "edge/callers_internal.h"

/* Of the descriptors, what callers' connections may take: each request under
 * way needs one more, to its server, and kept ones stay open beside them. With
 * none left no server can be reached, and the loop accepts without end. */
#define CALLERS_SHARE 3
/* How many of those that were idle longest are looked at to make room for one. */
#define IDLEST_LOOKS 8
/* For the last answers to arrive on a connection that is closed: one that has
 * been idle, and at the end of the process, which is killed soon after. */
#define IDLE_WAIT_MS 10000
#define END_WAIT_MS  500

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

/* From here on the connection is idle, unless something is under way. The one
 * that was idle longest is the first of all. */
void
GwCaller_BeginIdle(GwCaller *caller)
{
    GQueue *callers = &caller->edge->callers;

    g_queue_unlink(callers, &caller->link);
    g_queue_push_tail_link(callers, &caller->link);
    caller->idle_since_us = GwEdge_Now();
    caller->idle_limit_ms = GwCallers_Limits(caller->edge).idle_timeout_ms;
}

/* Nothing is under way, nor has a request begun to come: one that came while
 * the process stood still waits unread when the limits are looked at. */
static bool
is_idle(const GwCaller *caller)
{
    return caller->exchanges.head == NULL && !GwConn_IsInside(caller->conn) &&
           !GwConn_HasUnread(caller->conn);
}

/* ---- Room ---------------------------------------------------------------- */

bool
GwCallers_HaveRoom(const GwEdge *edge)
{
    return edge->leaving || g_queue_get_length((GQueue *)&edge->callers) <
                                edge->settings->fd_limit / CALLERS_SHARE;
}

/* Closes the connection that was idle longest: callers keep theirs for long, and
 * those who come next would wait for that. */
bool
GwCallers_MakeRoom(GwEdge *edge)
{
    GList *at = edge->callers.head;

    for (int i = 0; i < IDLEST_LOOKS && at != NULL; i++, at = at->next) {
        GwCaller *caller = at->data;
        if (GwCallers_HaveRoom(edge)) {
            break;
        }
        if (is_idle(caller)) {
            GwConn_CloseUnread(caller->conn, IDLE_WAIT_MS);
            GwCaller_Free(caller, GW_END_CUT);
            break;
        }
    }
    return GwCallers_HaveRoom(edge);
}

/* ---- Time ---------------------------------------------------------------- */

static bool
is_late(int64_t since_us, uint32_t limit_ms, int64_t now_us)
{
    return now_us - since_us > (int64_t)limit_ms * 1000;
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
        GwCaller_Mark(caller);
    }
}

static void
sweep_one(GwCaller *caller, const GwCallerLimits *limits, int64_t now_us)
{
    /* The loop tells an end only where it reads; the requests would go on at
     * servers, for nobody. */
    if (GwConn_IsPaused(caller->conn) && GwConn_HasEnded(caller->conn)) {
        GwConn_Close(caller->conn);
        GwCaller_Free(caller, GW_END_LEFT);
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
        GwCaller_Free(caller, GW_END_CUT);
    }
}

void
GwCallers_Sweep(GwEdge *edge, int64_t now_us)
{
    GwCallerLimits limits = GwCallers_Limits(edge);

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
        GwCaller_Free(caller, GW_END_CUT);
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
            GwCaller_Free(caller, GW_END_CUT);
        }
    }
}
