/* The states of an admitted request: waiting, sent, retried, ended. */
#include "router/decisions.h"

#include <string.h>

/* Interval of evaluations of waiting requests: estimates change with the
 * peers' reports, and a first run may end earlier than expected. */
#define EVALUATION_INTERVAL_US 15000
/* Retry delay of refused callers, randomized so that they don't retry at
 * once. */
#define RETRY_AFTER_MIN_MS    250
#define RETRY_AFTER_SPREAD_MS 500
/* Bounds of the retry delay after a refusal for lack of capacity: a forecast
 * of a few ms is not stable, and no caller waits longer than a third of its
 * time. */
#define SLOT_WAIT_MIN_US 50000.0
#define SLOT_WAIT_MAX_US 3000000.0

const char *
GwReplyReason_Name(GwReplyReason why)
{
    static const char *const names[] = {
        [GW_REPLY_NONE] = "none",
        [GW_REPLY_NO_CONFIG] = "no-config",
        [GW_REPLY_NO_ROUTE] = "no-route",
        [GW_REPLY_UNAUTHORIZED] = "unauthorized",
        [GW_REPLY_UNPROVEN] = "unproven",
        [GW_REPLY_OVER_QUOTA] = "over-quota",
        [GW_REPLY_QUOTA_UNKNOWN] = "quota-unknown",
        [GW_REPLY_NO_SERVER] = "no-server",
        [GW_REPLY_CUT_OFF] = "cut-off",
        [GW_REPLY_NO_CAPACITY] = "no-room",
        [GW_REPLY_NO_RETRY] = "no-retry",
        [GW_REPLY_TIMEOUT] = "timeout",
        [GW_REPLY_TIMEOUT_UNSENT] = "time-unsent",
        [GW_REPLY_MAY_HAVE_RUN] = "broken",
        [GW_REPLY_LEAVING] = "leaving",
        [GW_REPLY_QUARANTINED] = "quarantined",
        [GW_REPLY_QUARANTINE_UNKNOWN] = "quarantine-unknown",
        [GW_REPLY_NO_ANSWER_ROOM] = "no-answer-room",
        [GW_REPLY_SHED] = "shed",
    };

    return names[why];
}

const char *
GwLinkEnd_Name(GwLinkEnd end)
{
    static const char *const names[] = {
        [GW_LINK_OK] = "ok",
        [GW_LINK_REFUSED] = "refused",
        [GW_LINK_RESET] = "reset",
        [GW_LINK_TIMEOUT] = "timeout",
    };

    return names[end];
}

uint16_t
GwReplyReason_Status(GwReplyReason why)
{
    switch (why) {
    case GW_REPLY_NO_ROUTE:
        return 404;
    case GW_REPLY_UNAUTHORIZED:
        return 401;
    case GW_REPLY_OVER_QUOTA:
        return 429;
    case GW_REPLY_TIMEOUT:
        return 504;
    default:
        return 503;
    }
}

GwRouterAction *
GwRouter_AddAction(GArray *actions, GwRouterActionKind kind, GwRequest *req)
{
    GwRouterAction empty = {.kind = kind, .user = req->user, .request = req};

    g_array_append_val(actions, empty);
    return &g_array_index(actions, GwRouterAction, actions->len - 1);
}

GwRequestSummary
GwRequest_Summarize(const GwRequest *req, int64_t now_us)
{
    int64_t until_us = req->sends > 0 ? req->sent_us : now_us;
    GwRequestSummary request_summary = {
        .version = req->routing->version,
        .attempts = req->sends,
        .has_reached = req->arrivals > 0,
        .waited_ms = (uint32_t)((until_us - req->arrived_us) / 1000),
        .took_ms = (uint32_t)((now_us - req->arrived_us) / 1000),
        .expected_ms = (uint32_t)(req->expected_us / 1000),
        .warm = req->sent_warm,
        .far = req->sent_remote,
        .level = req->level,
        .threshold = req->threshold,
        .total_age_ms = req->total_age_ms,
    };

    g_strlcpy(request_summary.route, req->route->name,
              sizeof(request_summary.route));
    g_strlcpy(request_summary.server, req->last_server,
              sizeof(request_summary.server));
    g_strlcpy(request_summary.peer, req->last_peer,
              sizeof(request_summary.peer));
    if (req->refused_for != NULL) {
        const GwServer *best = req->refused_for;
        g_strlcpy(request_summary.best, best->id,
                  sizeof(request_summary.best));
        request_summary.best_busy = best->in_flight + best->peers_in_flight;
        request_summary.best_slots = best->slots;
    }
    return request_summary;
}

bool
GwRequest_IsEnded(const GwRequest *req)
{
    return req->is_ended;
}

void
GwRequest_Free(gpointer item)
{
    GwRequest *req = item;

    GwRouting_Unref(req->access_routing);
    GwRouting_Unref(req->routing);
    g_free(req);
}

/* Actions that are not carried out yet may refer to the request. */
void
GwRequest_Finish(GwRouter *r, GwRequest *req)
{
    GwRequest_Dequeue(req);
    GwRequest_CancelProbeWait(r, req);
    GwRequest_CancelTokenWait(r, req);
    if (req->deadline != GW_HEAP_ABSENT) {
        GwHeap_Remove(&r->deadlines, &req->deadline);
    }
    (void)g_hash_table_remove(r->open, req);
    req->state->open--;
    req->is_ended = true;
    g_ptr_array_add(r->ended_requests, req);
}

uint32_t
GwRouter_RetryAfterMs(GwRouter *r)
{
    if (r->end_us != INT64_MAX) {
        return GW_STOP_RETRY_AFTER_MS;
    }
    return RETRY_AFTER_MIN_MS + GwRng_Below(&r->rng, RETRY_AFTER_SPREAD_MS);
}

/* Retry delay until a slot is expected to be free for this kind of request.
 * Requests ahead take the first slots, so callers are spread over the same
 * time again. */
static uint32_t
slot_retry_after_ms(GwRouter *r, const GwRequest *req)
{
    uint32_t ms = (uint32_t)(CLAMP(req->slot_wait_us, SLOT_WAIT_MIN_US,
                                   SLOT_WAIT_MAX_US) /
                             1000);

    return ms + GwRng_Below(&r->rng, ms);
}

static uint32_t
choose_retry_after_ms(GwRouter *r, int64_t now_us, GwRequest *req,
                      GwReplyReason why)
{
    if (why == GW_REPLY_OVER_QUOTA || why == GW_REPLY_QUOTA_UNKNOWN) {
        return req->retry_after_ms;
    }
    if (req->peer_retry_after_ms > 0) {
        return req->peer_retry_after_ms;
    }
    if (why == GW_REPLY_NO_CAPACITY) {
        return slot_retry_after_ms(r, req);
    }
    if (why == GW_REPLY_SHED) {
        return GwRequest_ShedRetryAfterMs(r, now_us, req);
    }
    if (why == GW_REPLY_QUARANTINED) {
        int64_t until_us = GwRequest_QuarantinedUntil(r, now_us, req);
        return (uint32_t)MIN((until_us - now_us) / 1000 + 1, UINT32_MAX);
    }
    return GwRouter_RetryAfterMs(r);
}

void
GwRequest_Refuse(GwRouter *r, int64_t now_us, GwRequest *req,
                 GwReplyReason why, GArray *actions)
{
    GwRouterAction *out = GwRouter_AddAction(actions, GW_ROUTER_REPLY, req);

    out->why = why;
    out->request_summary = GwRequest_Summarize(req, now_us);
    out->status = GwReplyReason_Status(why);
#if GW_MUTANT != 71 /* breaks: "not run" is sent though it may have run */
    if (why == GW_REPLY_MAY_HAVE_RUN ||
        (why != GW_REPLY_TIMEOUT && req->may_have_run)) {
        out->status = 502;
    }
#endif
    r->returns_refused += req->is_returning;
    if (out->status == 503 || out->status == 429) {
        out->retry_after_ms = choose_retry_after_ms(r, now_us, req, why);
        GwRequest_ReturnToken(r, now_us, req);
    }
    GwRequest_Finish(r, req);
}

void
GwRequest_SetDeadline(GwRouter *r, GwRequest *req, int64_t at_us)
{
    if (req->deadline == GW_HEAP_ABSENT) {
        GwHeap_Push(&r->deadlines, at_us, req, &req->deadline);
    }
    else {
        GwHeap_SetKey(&r->deadlines, &req->deadline, at_us);
    }
}

/* ---- Sending ------------------------------------------------------------- */

static void
send_request(GwRouter *r, int64_t now_us, GwRequest *req, GwServer *s,
             GArray *actions)
{
    GwKeyPlacement *at =
        req->key != NULL ? GwKey_FindPlacement(req->key, s) : NULL;

    GwRequest_Dequeue(req);
    req->server = s;
    req->sent_us = now_us;
    req->sent_warm = at != NULL;
    req->sent_remote = !s->same_region;
    req->sent_to_free_slot = s->in_flight + s->peers_in_flight < s->slots;
    req->attempts++;
    req->sends++;
    g_strlcpy(req->last_server, s->id, sizeof(req->last_server));
    if (req->tried_count < G_N_ELEMENTS(req->tried)) {
        req->tried[req->tried_count++] = s;
    }
    GwServer_UpdateUtilization(r, s, now_us);
    s->refs++;
    s->in_flight++;
    if (GwServer_IsCold(s, now_us)) {
        s->cold_tokens.tokens -= 1.0;
    }
    if (GwServer_IsLimited(s)) {
        GwServer_SpendLimit(s, now_us);
    }
    if (req->key != NULL && !req->is_suspect) {
        GwRouter_AddPlacement(r, req->key, s, now_us);
    }
    GwRequest_SetDeadline(r, req, req->give_up_us);
    GwRouterAction *out = GwRouter_AddAction(actions, GW_ROUTER_SEND, req);
    out->server = s;
    out->idempotent = req->route->idempotent;
    out->reuses_connection = !GwServer_MayConnect(s);
    int64_t until_us = GwRouter_ServerUntil(r, now_us, req);
    out->left_ms =
        until_us > now_us ? (uint32_t)((until_us - now_us) / 1000) : 0;
}

/* Returns the time after which an answer is of no use. */
static int64_t
last_useful_answer_us(const GwRequest *req)
{
    return MIN(req->useless_after_us, req->server_deadline_us);
}

static GwReplyReason
why_no_server(const GwRouter *r, const GwRequest *req)
{
    if (r->end_us != INT64_MAX) {
        return GW_REPLY_LEAVING;
    }
    if (GwService_IsUnreached(req->service)) {
        return GW_REPLY_CUT_OFF;
    }
    return req->attempts > 0 ? GW_REPLY_NO_RETRY : GW_REPLY_NO_SERVER;
}

/* Whether the request is to be passed on though a server may be left for
 * it. */
static bool
prefers_peer(GwRouter *r, int64_t now_us, const GwRequest *req)
{
    return !req->is_passed_on &&
           (GwService_IsUnreached(req->service) ||
            !GwRouter_TakesBack(r, now_us, req->service));
}

/* Whether connections to servers of the service fail, so that another entry
 * may have a server where this one has none. */
static bool
has_failing_links(const GwRequest *req)
{
    return req->service->reach.failing_since_us != 0;
}

GwDecision
GwRequest_Decide(GwRouter *r, int64_t now_us, GwRequest *req)
{
    GwDecision d = {.kind = GW_DECIDE_REFUSE};

    d.why = GwRequest_CheckAccess(r, now_us, req);
    if (d.why == GW_REPLY_NONE &&
        GwRequest_QuarantinedUntil(r, now_us, req) != 0) {
        d.why = GW_REPLY_QUARANTINED;
    }
    if (d.why != GW_REPLY_NONE) {
        return d;
    }
    d.prefers_peer = prefers_peer(r, now_us, req);
    d.choice = GwRouter_Choose(r, now_us, req);
    d.has_chosen = true;
    if (d.choice.server == NULL) {
        d.prefers_peer = d.prefers_peer || has_failing_links(req);
        d.why = why_no_server(r, req);
        return d;
    }
    if (d.choice.has_free_slot) {
        d.kind = GW_DECIDE_SEND;
        return d;
    }
    /* A late answer is still of some use, so a late request may wait behind
     * all requests that can meet their objective. */
    if (!d.choice.in_time &&
        now_us + (int64_t)d.choice.est_us > last_useful_answer_us(req)) {
        d.why = GW_REPLY_NO_CAPACITY;
        return d;
    }
    d.kind = GW_DECIDE_WAIT;
    return d;
}

/* Keeps the request in the queue until a slot is expected to be free. */
static void
wait_for_slot(GwRouter *r, int64_t now_us, GwRequest *req, const GwChoice *c)
{
    bool was_late = req->is_late;

    req->is_late = !c->in_time;
    GwServer_Reserve(c->server);
    /* A request that has just become late is evaluated again, behind the
     * others. */
    req->awaited_server = req->is_late == was_late ? c->server : NULL;
    req->awaits_placement = c->is_placement;
    req->last_useful_slot_us =
        req->is_late
            ? last_useful_answer_us(req) - (int64_t)(c->est_us - c->wait_us)
            : INT64_MAX;
    req->last_useful_slot_us = MIN(req->last_useful_slot_us, c->last_slot_us);
    int64_t again_us =
        MAX(now_us + EVALUATION_INTERVAL_US, req->service->pass_due_us);
    again_us = MIN(again_us, req->last_useful_slot_us);
    GwRequest_SetDeadline(r, req, MIN(req->give_up_us, again_us));
}

/* Sends the request, keeps it waiting, or refuses it at once with a retry
 * delay. */
void
GwRequest_Place(GwRouter *r, int64_t now_us, GwRequest *req, GArray *actions)
{
    GwDecision d = GwRequest_Decide(r, now_us, req);
    const GwChoice *c = &d.choice;

    if (d.prefers_peer && GwRequest_PassOn(r, now_us, req, actions)) {
        return;
    }
    if (d.has_chosen) {
        req->expected_us = now_us - req->arrived_us + (int64_t)c->est_us;
        req->slot_wait_us = c->wait_us;
    }
    if (c->server != NULL && GwRequest_IsShed(r, now_us, req, c)) {
        d.kind = GW_DECIDE_REFUSE;
        d.why = GW_REPLY_SHED;
    }
    switch (d.kind) {
    case GW_DECIDE_SEND:
        GwRouter_NoteRegionSent(r, now_us, req, c->prefers_remote,
                                !c->server->same_region);
        send_request(r, now_us, req, c->server, actions);
        break;
    case GW_DECIDE_WAIT:
        wait_for_slot(r, now_us, req, c);
        break;
    case GW_DECIDE_REFUSE:
        if (d.has_chosen) {
            GwRouter_NoteRegionRefused(r, now_us, c->prefers_remote);
        }
        req->refused_for = c->server;
        GwRequest_Refuse(r, now_us, req, d.why, actions);
        break;
    }
}

/* Removed servers and ended requests may be referred to by actions that the
 * host has not carried out yet: the host may call the router while it carries
 * out actions. */
void
GwRouter_FreeRemoved(GwRouter *r, const GArray *actions)
{
    if (actions->len == 0) {
        g_ptr_array_set_size(r->removed_servers, 0);
        g_ptr_array_set_size(r->ended_requests, 0);
    }
}

void
GwRequest_Cancel(GwRouter *r, int64_t now_us, GwRequest *req, GArray *actions)
{
    if (req->peer[0] != '\0') {
        (void)GwRouter_AddAction(actions, GW_ROUTER_CANCEL, req);
        GwRequest_ReleasePeer(r, req);
    }
    if (req->server != NULL) {
        GwRouterAction *out =
            GwRouter_AddAction(actions, GW_ROUTER_CANCEL, req);
        out->server = req->server;
        GwRequest_ReleaseServer(r, now_us, req, false, actions);
    }
}

void
GwRouter_CallerDisconnected(GwRouter *r, int64_t now_us, GwRequest *req,
                            GArray *actions)
{
    GwRouter_FreeRemoved(r, actions);
    if (req->is_ended) {
        return; /* its answer is among the actions */
    }
    if (req->server != NULL) {
        GwRequest_ReleaseServer(r, now_us, req, false, actions);
    }
    GwRequest_ReleasePeer(r, req);
    req->service->needs_dispatch = true;
    GwRequest_Finish(r, req);
}

void
GwRouter_DispatchPending(GwRouter *r, int64_t now_us, GArray *actions)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, r->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwServiceState *service = value;
        if (service->needs_dispatch) {
            service->needs_dispatch = false;
            GwRouter_DispatchWaiting(r, now_us, service, actions);
        }
    }
}

bool
GwRequest_MayHaveRun(const GwRequest *req)
{
    return req->server != NULL || req->peer[0] != '\0' || req->may_have_run;
}

GwRequestAwaits
GwRequest_Awaits(const GwRequest *req)
{
    if (req->awaits_token) {
        return GW_REQUEST_AWAITS_TOKEN;
    }
    if (req->server != NULL) {
        return GW_REQUEST_AWAITS_SERVER;
    }
    if (req->peer[0] != '\0') {
        return GW_REQUEST_AWAITS_PEER;
    }
    return req->is_waiting ? GW_REQUEST_AWAITS_SLOT : GW_REQUEST_AWAITS_PROBE;
}

/* ---- Timers -------------------------------------------------------------- */

int64_t
GwRouter_NextDeadline(const GwRouter *r)
{
    int64_t due_us =
        r->deadlines.count > 0 ? GwHeap_TopKey(&r->deadlines) : INT64_MAX;

    return MIN(due_us, r->reach_due_us);
}

void
GwRouter_Tick(GwRouter *r, int64_t now_us, GArray *actions)
{
    GwRouter_FreeRemoved(r, actions);
    GwRouter_TickReach(r, now_us, actions);
    while (r->deadlines.count > 0 && GwHeap_TopKey(&r->deadlines) <= now_us) {
        GwRequest *req = GwHeap_Top(&r->deadlines);
        GwServiceState *service = req->service;
        if (now_us >= req->give_up_us) {
            bool sent = GwRequest_MayHaveRun(req);
            GwRequest_Cancel(r, now_us, req, actions);
            GwRequest_Refuse(r, now_us, req,
                             sent ? GW_REPLY_TIMEOUT : GW_REPLY_TIMEOUT_UNSENT,
                             actions);
        }
        else if (req->awaits_token) {
            GwRequest_SetDeadline(r, req, req->give_up_us);
            GwRequest_Admit(r, now_us, req, actions);
        }
        else {
            /* GwRequest_Place sets an earlier deadline if the request still
             * waits after that. */
            GwRequest_SetDeadline(r, req, req->give_up_us);
            GwRequest_EndProbeWait(r, req);
        }
        service->needs_dispatch = true;
    }
    GwRouter_DispatchPending(r, now_us, actions);
}

uint32_t
GwRouter_OpenCount(const GwRouter *r)
{
    return g_hash_table_size(r->open);
}

uint64_t
GwRouter_EvaluationCount(const GwRouter *r)
{
    return r->evaluations;
}
