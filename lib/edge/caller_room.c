/* Requests of callers that wait until there is room for their answers; the
 * decision is made in answer_room.c. */
#include "edge/callers_internal.h"
#include "edge/open_requests.h"

#include <string.h>

/* Time of a caller that states none, on a route without a timeout. */
#define DEFAULT_CALLER_TIME_US INT64_C(10000000)
/* Retry-After of a request whose deadline passed while it waited. */
#define EXPIRED_RETRY_MS 1000

static const GwRoute *
route_of(const GwExchange *x)
{
    const GwRouting *routing = GwRouter_Routing(x->edge->router);
    const char *host = GwHttpMessage_Get(x->msg, "host");

    return routing != NULL && host != NULL
               ? GwRouting_Match(routing, host, x->msg->target->str)
               : NULL;
}

static int64_t
left_us(const GwExchange *x, const GwRoute *route)
{
    int64_t left = GwExchange_TimeLeftUs(x);

    if (left < 0) {
        left = route->timeout_ms > 0 ? INT64_MAX : DEFAULT_CALLER_TIME_US;
    }
    if (route->timeout_ms > 0) {
        left = MIN(left, (int64_t)route->timeout_ms * 1000);
    }
    return left - (GwEdge_Now() - x->arrived_us);
}

/* Bytes of the caller's other answers: queued, complete, or to arrive. */
static uint64_t
caller_bytes(const GwCaller *caller)
{
    uint64_t bytes = GwConn_QueuedBytes(caller->conn);

    for (GList *at = caller->exchanges.head; at != NULL; at = at->next) {
        const GwExchange *x = at->data;
        bytes += x->room_bytes;
        if (x->out != NULL) {
            bytes += x->out->len;
        }
        if (x->sends_body_apart) {
            bytes += x->answer->body->len;
        }
    }
    return bytes;
}

void
GwExchange_ReleaseRoom(GwExchange *x)
{
    GwEdge *edge = x->edge;

    if (x->room_bytes > 0) {
        GwAnswerRoom_Release(&edge->room, x->room_bytes);
        x->room_bytes = 0;
        edge->is_room_freed = true;
    }
}

void
GwCaller_EndRoomWait(GwCaller *caller)
{
    if (caller->awaits_room) {
        caller->awaits_room = false;
        g_queue_unlink(&caller->edge->room_waiters, &caller->room_link);
        caller->edge->is_room_freed = true;
    }
}

static void
await_room(GwCaller *caller)
{
    if (!caller->awaits_room) {
        caller->awaits_room = true;
        g_queue_push_tail_link(&caller->edge->room_waiters,
                               &caller->room_link);
    }
}

static void
refuse(GwExchange *x, const GwRoute *route, uint32_t retry_after_ms)
{
    x->edge->counts.refused_for_room++;
    GwExchange_Refuse(x, route->name, GW_REPLY_NO_ANSWER_ROOM, retry_after_ms);
}

/* With others waiting, each caller is granted one request at a time. */
static uint64_t
bytes_ahead(const GwCaller *caller, uint64_t bytes)
{
    const GwEdge *edge = caller->edge;
    uint64_t ahead = 0;

    if (edge->room_turn == caller && !edge->is_room_turn_used) {
        return 0;
    }
    for (GList *at = edge->room_waiters.head; at != NULL && at->data != caller;
         at = at->next) {
        ahead += bytes;
    }
    return ahead;
}

/* Size to reserve for the answer; 0: none. Sizes are known by the name in the
 * router's summaries. */
static uint64_t
expected_bytes(const GwExchange *x, const GwRoute *route)
{
    GwRequestSummary summary;

    if (route == NULL || strcmp(x->msg->method, "HEAD") == 0) {
        return 0;
    }
    g_strlcpy(summary.route, route->name, sizeof(summary.route));
    return GwAnswerRoom_Expect(&x->edge->room, summary.route);
}

GwStartVerdict
GwExchange_TakeRoom(GwExchange *x)
{
    GwEdge *edge = x->edge;
    GwCaller *caller = x->caller;
    const GwRoute *route = edge->room.largest > 0 ? route_of(x) : NULL;
    GwRoomRequest request = {.bytes = expected_bytes(x, route)};
    uint32_t retry_after_ms = 0;

    if (request.bytes == 0) {
        return GW_START_NOW;
    }
    request.caller_bytes = caller_bytes(caller);
    request.bytes_ahead = bytes_ahead(caller, request.bytes);
    request.left_us = left_us(x, route);
    GwRoomVerdict verdict =
        GwAnswerRoom_Decide(&edge->room, &request, &retry_after_ms);
#if GW_MUTANT != 162 /* breaks: requests without room are held in a stop */
    /* Other entries have room of their own. */
    if (edge->is_stopping && verdict != GW_ROOM_GRANTED) {
        GwExchange_Refuse(x, route->name, GW_REPLY_LEAVING,
                          GW_STOP_RETRY_AFTER_MS);
        return GW_START_REFUSED;
    }
#endif
    switch (verdict) {
    case GW_ROOM_GRANTED:
        x->room_bytes = request.bytes;
        GwAnswerRoom_Reserve(&edge->room, request.bytes);
        edge->is_room_turn_used = true;
        return GW_START_NOW;
    case GW_ROOM_CALLER_FULL:
        return GW_START_WAITS;
    case GW_ROOM_FULL:
        await_room(caller);
        return GW_START_WAITS;
    case GW_ROOM_TOO_LATE:
        refuse(x, route, retry_after_ms);
        break;
    }
    return GW_START_REFUSED;
}

/* Starts waiting requests in the order in which their callers began to wait.
 * A caller with more requests goes to the end of the list. */
void
GwCallers_ServeRoom(GwEdge *edge)
{
    guint count = g_queue_get_length(&edge->room_waiters);

    edge->is_room_freed = false;
    for (guint i = 0; i < count; i++) {
        GwCaller *caller = g_queue_peek_head(&edge->room_waiters);
        uint64_t reserved = edge->room.reserved;

        g_queue_unlink(&edge->room_waiters, &caller->room_link);
        caller->awaits_room = false;
        edge->room_turn = caller;
        edge->is_room_turn_used = false;
        GwCaller_StartReady(caller);
        edge->room_turn = NULL;
        if (caller->awaits_room && edge->room.reserved == reserved) {
            g_queue_unlink(&edge->room_waiters, &caller->room_link);
            g_queue_push_head_link(&edge->room_waiters, &caller->room_link);
            break;
        }
    }
}

/* Refuses requests whose deadline passes while they wait, and measures how
 * fast room comes free. */
void
GwCallers_SweepRoom(GwEdge *edge, int64_t now_us)
{
    GwAnswerRoom_Sample(&edge->room, !g_queue_is_empty(&edge->room_waiters),
                        now_us);
    for (GList *at = edge->room_waiters.head; at != NULL; at = at->next) {
        GwCaller *caller = at->data;
        for (GList *k = caller->exchanges.head; k != NULL; k = k->next) {
            GwExchange *x = k->data;
            const GwRoute *route = x->started ? NULL : route_of(x);
            if (route != NULL && left_us(x, route) <= 0) {
                refuse(x, route, EXPIRED_RETRY_MS);
            }
        }
    }
    edge->is_room_freed = !g_queue_is_empty(&edge->room_waiters);
}
