/* Carries out the actions of the router, and frees what they referred to. */
#include "edge/edge_internal.h"
#include "edge/relay.h"

/* Returns whether the action came too late: its request ended, or its caller
 * disconnected, after it was appended. */
static bool
is_stale(const GwRouterAction *act)
{
    const GwExchange *x = act->user;

#if GW_MUTANT == 167 /* breaks: an action outlives its request */
    return false;
#endif
    switch (act->kind) {
    case GW_ROUTER_ACCEPT:
    case GW_ROUTER_SEND:
    case GW_ROUTER_PASS_ON:
        return x->caller == NULL || GwRequest_IsEnded(act->request);
    case GW_ROUTER_CANCEL:
    case GW_ROUTER_ANSWER:
    case GW_ROUTER_REPLY:
        return x->caller == NULL;
    case GW_ROUTER_PROBE:
    case GW_ROUTER_DROP_SERVER:
    case GW_ROUTER_LOG_EJECTED:
    case GW_ROUTER_LOG_LEAVING:
    case GW_ROUTER_LOG_RESTING:
    case GW_ROUTER_LOG_RECOVERED:
        break;
    }
    return false;
}

/* A request whose caller disconnected before it was accepted is not known to
 * the exchange, so its end is reported here. */
static void
drop_action(GwEdge *edge, const GwRouterAction *act)
{
    const GwExchange *x = act->user;

    edge->counts.stale_actions++;
    if (act->kind == GW_ROUTER_ACCEPT && x->caller == NULL) {
        GwRouter_CallerDisconnected(edge->router, GwEdge_Now(), act->request,
                                    edge->actions);
        GwRouter_DispatchPending(edge->router, GwEdge_Now(), edge->actions);
    }
}

static void
run_action(GwEdge *edge, const GwRouterAction *act)
{
    GwExchange *x = act->user;

    switch (act->kind) {
    case GW_ROUTER_ACCEPT:
        x->request = act->request;
        break;
    case GW_ROUTER_SEND:
        /* From the configuration that admitted the request, which may be newer
         * than the configuration at its arrival. */
        x->idempotent = act->idempotent;
        GwServerLink_Send(x, act);
        break;
    case GW_ROUTER_PASS_ON:
        x->idempotent = act->idempotent;
        GwRelay_Send(x, act);
        break;
    case GW_ROUTER_CANCEL:
        GwServerLink_Cancel(x);
        GwRelay_Cancel(x);
        break;
    case GW_ROUTER_ANSWER:
        GwEdge_LogRequestEnd(
            x, act->status < 500 ? GW_END_ANSWERED : GW_END_FAILED,
            act->status, GW_REPLY_NONE, &act->request_summary);
        GwExchange_ForwardAnswer(x, act);
        break;
    case GW_ROUTER_REPLY:
        GwEdge_LogRequestEnd(x, GwRequestEnd_OfReply(act->status), act->status,
                             act->why, &act->request_summary);
        GwExchange_Reply(x, act);
        break;
    case GW_ROUTER_PROBE:
        /* It may have left the registry since the action was appended. */
        if (GwServer_IsListed(act->server)) {
            GwServerLink_Probe(edge, act->server);
        }
        break;
    case GW_ROUTER_DROP_SERVER:
        GwServerLink_DropServer(edge, act->server);
        break;
    case GW_ROUTER_LOG_EJECTED:
        GwLog_Event(GW_LOG_BACKEND_EJECTED, "server=%s for_ms=%u",
                    GwServer_Id(act->server), act->left_ms);
        break;
    case GW_ROUTER_LOG_LEAVING:
        GwLog_Event(GW_LOG_BACKEND_LEAVING, "server=%s",
                    GwServer_Id(act->server));
        break;
    case GW_ROUTER_LOG_RESTING:
        GwLog_Event(GW_LOG_BACKEND_RESTS, "server=%s for_ms=%u",
                    GwServer_Id(act->server), act->left_ms);
        break;
    case GW_ROUTER_LOG_RECOVERED:
        GwLog_Event(GW_LOG_BACKEND_BACK, "server=%s",
                    GwServer_Id(act->server));
        break;
    }
}

/* The only place in which requests and connections of callers are freed: no
 * action is left, and no function further up the stack uses them. */
static void
free_ended(GwEdge *edge)
{
    g_ptr_array_set_size(edge->ended_exchanges, 0);
    g_ptr_array_set_size(edge->ended_callers, 0);
}

void
GwEdge_RunActions(GwEdge *edge)
{
    if (edge->is_running_actions) {
        return;
    }
    edge->is_running_actions = true;
    while (edge->actions->len > 0 || edge->is_room_freed ||
           !g_queue_is_empty(&edge->disconnected) ||
           !g_queue_is_empty(&edge->flush_queue)) {
        for (guint i = 0; i < edge->actions->len; i++) {
            /* Copied: running the action may append and so move the array. */
            GwRouterAction act =
                g_array_index(edge->actions, GwRouterAction, i);
            if (is_stale(&act)) {
                drop_action(edge, &act);
            }
            else {
                run_action(edge, &act);
            }
        }
        g_array_set_size(edge->actions, 0);
        GwCallers_CloseDisconnected(edge);
        GwCaller *caller = g_queue_pop_head(&edge->flush_queue);
        if (caller != NULL) {
            GwCaller_Flush(caller);
        }
        if (edge->is_room_freed) {
            GwCallers_ServeRoom(edge);
        }
    }
    free_ended(edge);
    edge->is_running_actions = false;
    GwEdge_TellReach(edge);
    GwQuotas_SendMessages(edge);
    GwEdge_ArmDeadline(edge);
}
