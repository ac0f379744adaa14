/* Requests that an entry passes on to another one. */
#include "fakes/outages_internal.h"

static int64_t
hop_delay_us(const Entry *from, const Entry *to)
{
    return from->region == to->region ? SAME_REGION_US : CROSS_REGION_US;
}

static void
end_hop_at(World *w, Hop *hop, int64_t at_us, GwPassedOnEnd end)
{
    if (!hop->has_ended) {
        hop->has_ended = true;
        hop->end = end;
        Outages_Schedule(w, at_us, EV_HOP_END, hop);
    }
}

void
OutageCall_PassOn(Call *call, const GwRouterAction *act)
{
    World *w = call->world;
    Hop *hop = g_new0(Hop, 1);
    Entry *to =
        &w->entries[strtoul(GwRequest_Peer(call->request) + 1, NULL, 10)];

    *hop = (Hop){.outer = call,
                 .to = to,
                 .incarnation = call->incarnation,
                 .left_us = act->left_ms * INT64_C(1000),
                 .objective_left_us = act->objective_left_ms * INT64_C(1000)};
    call->hop = hop;
    g_ptr_array_add(w->hops, hop);
    w->report.hops++;
    Outages_Schedule(w, w->now_us + hop_delay_us(call->entry, to), EV_HOP,
                     hop);
}

void
OutageHop_Arrive(World *w, Hop *hop)
{
    Call *inner = g_new0(Call, 1);
    Call *outer = hop->outer;
    Entry *to = hop->to;

    if (hop->is_dropped) {
        g_free(inner);
        return;
    }
    *inner = (Call){.world = w,
                    .content = outer->content,
                    .entry = to,
                    .incarnation = to->incarnation,
                    .arrived_us = w->now_us,
                    .tries = 1,
                    .inner_of = hop};
    g_ptr_array_add(w->calls, inner);
    hop->inner = inner;
    GwArrival arrival = {
        .user = inner,
        .host = "h",
        .path = outer->content->path,
        .key = outer->content->key,
        .left_us = hop->left_us,
        .is_passed_on = true,
        .objective_left_us = hop->objective_left_us,
    };
    if (GwRouter_WantsFingerprints(to->router)) {
        arrival.fingerprint = &outer->content->fingerprint;
    }
    GwRouter_Arrive(to->router, w->now_us, &arrival, to->actions);
    OutageEntry_RunActions(to);
}

/* The entry that was asked ends the request. */
void
OutageHop_EndInner(Call *inner, const GwRouterAction *act)
{
    World *w = inner->world;
    Hop *hop = inner->inner_of;
    const GwRequestSummary *summary = &act->request_summary;
    GwPassedOnEnd end = {.has_reached = summary->has_reached,
                         .retry_after_ms = act->retry_after_ms};

    inner->over = true;
    end.attempt.status = act->status;
    if (act->kind == GW_ROUTER_ANSWER) {
        end.attempt.outcome = GW_ATTEMPT_ANSWERED;
        end.has_reached = true;
    }
    else if (act->status == 502 || act->status == 504) {
        end.attempt.outcome = GW_ATTEMPT_LOST;
        end.has_reached = true;
    }
    else {
        end.attempt.outcome = GW_ATTEMPT_REFUSED;
        end.has_no_capacity = act->why == GW_REPLY_NO_CAPACITY;
    }
    end_hop_at(w, hop, w->now_us + hop_delay_us(hop->outer->entry, hop->to),
               end);
}

void
OutageHop_End(World *w, Hop *hop)
{
    Call *outer = hop->outer;
    Entry *e = outer->entry;

    if (hop->is_dropped || hop->incarnation != e->incarnation) {
        return;
    }
    outer->hop = NULL;
    GwRouter_PassedOnEnded(e->router, w->now_us, outer->request, &hop->end,
                           e->actions);
    OutageEntry_RunActions(e);
}

/* The entry that passed the request on gives up: the other one sees its caller
 * disconnect. */
void
OutageHop_Drop(Hop *hop)
{
    Call *inner = hop->inner;

    hop->is_dropped = true;
    if (inner == NULL || inner->over || inner->request == NULL ||
        inner->incarnation != inner->entry->incarnation) {
        return;
    }
    Entry *e = inner->entry;
    OutageCall_Drop(inner);
    inner->over = true;
    GwRouter_CallerDisconnected(e->router, e->world->now_us, inner->request,
                                e->actions);
    GwRouter_DispatchPending(e->router, e->world->now_us, e->actions);
    OutageEntry_RunActions(e);
}

/* The process of the entry ends: what was passed on to it is lost. */
void
OutageEntry_LoseHops(World *w, const Entry *e)
{
    for (guint i = 0; i < w->hops->len; i++) {
        Hop *hop = w->hops->pdata[i];
        if (hop->to == e && !hop->is_dropped) {
            end_hop_at(w, hop, w->now_us + SAME_REGION_US,
                       (GwPassedOnEnd){.attempt = {.outcome = GW_ATTEMPT_LOST},
                                       .has_reached = true});
        }
    }
}
