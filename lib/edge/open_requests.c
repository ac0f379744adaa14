#include "edge/open_requests.h"

#include "edge/callers_internal.h"
#include "edge/relay.h"

const char *
GwOpenWait_Name(GwOpenWait wait)
{
    static const char *const names[GW_WAIT_COUNT] = {
        [GW_WAIT_PIPELINE] = "pipeline", [GW_WAIT_ROOM] = "room",
        [GW_WAIT_TOKEN] = "token",       [GW_WAIT_PROBE] = "probe",
        [GW_WAIT_SLOT] = "slot",         [GW_WAIT_CONNECTION] = "connection",
        [GW_WAIT_SERVER] = "server",     [GW_WAIT_PEER] = "member",
    };

    return names[wait];
}

/* The first request of a connection that is not started waits for room if its
 * connection does; those behind it wait for it. */
static GwOpenWait
wait_of_unstarted(const GwExchange *x)
{
    const GwExchange *first = NULL;

    for (GList *at = x->caller->exchanges.head; at != NULL && first == NULL;
         at = at->next) {
        const GwExchange *candidate = at->data;
        first = candidate->started ? NULL : candidate;
    }
    return x == first && x->caller->awaits_room ? GW_WAIT_ROOM
                                                : GW_WAIT_PIPELINE;
}

static GwOpenWait
wait_of(const GwExchange *x)
{
    if (x->request == NULL) {
        return wait_of_unstarted(x);
    }
    if (GwServerLink_IsConnecting(x) || GwRelay_IsConnecting(x)) {
        return GW_WAIT_CONNECTION;
    }
    switch (GwRequest_Awaits(x->request)) {
    case GW_REQUEST_AWAITS_TOKEN:
        return GW_WAIT_TOKEN;
    case GW_REQUEST_AWAITS_PROBE:
        return GW_WAIT_PROBE;
    case GW_REQUEST_AWAITS_SLOT:
        return GW_WAIT_SLOT;
    case GW_REQUEST_AWAITS_PEER:
        return GW_WAIT_PEER;
    case GW_REQUEST_AWAITS_SERVER:
        break;
    }
    return GW_WAIT_SERVER;
}

typedef void (*OpenVisitor)(void *ctx, const GwExchange *x, GwOpenWait wait);

static void
each_open(const GwEdge *edge, OpenVisitor visit, void *ctx)
{
    for (GList *at = edge->callers.head; at != NULL; at = at->next) {
        const GwCaller *caller = at->data;
        for (GList *k = caller->exchanges.head; k != NULL; k = k->next) {
            const GwExchange *x = k->data;
            if (x->out == NULL) {
                visit(ctx, x, wait_of(x));
            }
        }
    }
}

static void
count_one(void *ctx, const GwExchange *x, GwOpenWait wait)
{
    uint32_t *counts = ctx;

    (void)x;
    counts[wait]++;
}

uint32_t
GwOpenRequests_Count(const GwEdge *edge, uint32_t counts[GW_WAIT_COUNT])
{
    uint32_t sum = 0;

    for (int i = 0; i < GW_WAIT_COUNT; i++) {
        counts[i] = 0;
    }
    each_open(edge, count_one, counts);
    for (int i = 0; i < GW_WAIT_COUNT; i++) {
        sum += counts[i];
    }
    return sum;
}

void
GwExchange_Refuse(GwExchange *x, const char *route, GwReplyReason why,
                  uint32_t retry_after_ms)
{
    const GwRouting *routing = GwRouter_Routing(x->edge->router);
    uint32_t waited_ms = (uint32_t)((GwEdge_Now() - x->arrived_us) / 1000);
    GwRouterAction reply = {
        .kind = GW_ROUTER_REPLY,
        .user = x,
        .why = why,
        .status = 503,
        .retry_after_ms = retry_after_ms,
        .request_summary =
            {
                .version = routing != NULL ? routing->version : 0,
                .waited_ms = waited_ms,
                .took_ms = waited_ms,
            },
    };

    g_strlcpy(reply.request_summary.route, route,
              sizeof(reply.request_summary.route));
    x->started = true;
    GwEdge_LogRequestEnd(x, GW_END_NOT_RUN, reply.status, reply.why,
                         &reply.request_summary);
    GwExchange_Reply(x, &reply);
}

static void
refuse_unstarted(GwCaller *caller)
{
    for (GList *at = caller->exchanges.head; at != NULL; at = at->next) {
        GwExchange *x = at->data;
        if (!x->started) {
            GwExchange_Refuse(x, "", GW_REPLY_LEAVING, GW_STOP_RETRY_AFTER_MS);
        }
    }
}

/* Unless it is told, the caller can't know that a request which it was still
 * sending did not run. */
static void
refuse_incomplete(GwCaller *caller)
{
    if (caller->error_status == 0 && GwConn_IsInMessage(caller->conn)) {
        caller->error_status = 503;
        GwCaller_ScheduleFlush(caller);
    }
}

/* First those that the router knows. The others wait in lists of this entry;
 * passed to the router only now, they could begin to wait there. */
void
GwOpenRequests_EndAll(GwEdge *edge)
{
    GwRouter_EndAll(edge->router, GwEdge_Now(), edge->actions);
    for (GList *at = edge->callers.head; at != NULL; at = at->next) {
        refuse_unstarted(at->data);
        refuse_incomplete(at->data);
    }
    GwEdge_RunActions(edge);
}

static void
log_one(void *ctx, const GwExchange *x, GwOpenWait wait)
{
    const char *id = GwHttpMessage_Get(x->msg, x->edge->adapter->request_id);

    (void)ctx;
    GwLog_Event(GW_LOG_REQUEST_OPEN,
                "request=%.40s waits=%s open_ms=%" PRId64 " idempotent=%d",
                id != NULL ? id : "", GwOpenWait_Name(wait),
                (GwEdge_Now() - x->arrived_us) / 1000, x->idempotent);
}

void
GwOpenRequests_Log(const GwEdge *edge)
{
    each_open(edge, log_one, NULL);
}

void
GwOpenRequests_WriteMetrics(const GwEdge *edge, GString *out)
{
    uint32_t counts[GW_WAIT_COUNT];

    (void)GwOpenRequests_Count(edge, counts);
    for (int i = 0; i < GW_WAIT_COUNT; i++) {
        g_string_append_printf(out, "gw_requests_open{waits=\"%s\"} %u\n",
                               GwOpenWait_Name((GwOpenWait)i), counts[i]);
    }
}
