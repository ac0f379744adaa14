/* The end of an attempt: the request is answered, tried again or refused. */
#include "router/router_internal.h"

/* Attempts that reached no server cost time only, but are bounded. */
#define UNSENT_MAX 3
/* Part of the retry budget of all entries that is used: the rest covers
 * requests counted late or twice, and new entries. */
#define RETRY_SHARE 0.8
#define RETRY_BURST 8.0

/* Each new request earns a part of a retry. */
void
GwRouter_EarnRetry(GwRouter *r, GwServiceState *service)
{
    service->retries.tokens += r->params.retry_ratio * RETRY_SHARE;
}

/* Number of entries that share the fixed part of the retry budget: the
 * configured maximum, or half as many again as the entries known. */
uint32_t
GwRouter_EntriesMax(const GwRouter *r)
{
    uint32_t known = g_hash_table_size(r->peers) + 1;

    return MAX(MAX(r->params.entries_max, 1), MAX(known, r->entries) * 3 / 2);
}

void
GwRouter_SetEntries(GwRouter *r, uint32_t count)
{
    r->entries = count;
}

static uint32_t
attempts_max(const GwRequest *req)
{
#if GW_MUTANT == 117 /* breaks: each entry counts its own attempts only */
    return MAX(req->route->attempts_max, 1);
#endif
    return req->is_passed_on ? 1 : MAX(req->route->attempts_max, 1);
}

/* Returns whether another attempt is allowed, and charges the retry budget. A
 * retry is free if no earlier attempt reached a server. */
static bool
may_retry(GwRouter *r, int64_t now_us, GwRequest *req)
{
    GwServiceState *service = req->service;
    double extra =
        r->params.retry_extra * RETRY_SHARE / GwRouter_EntriesMax(r);
    double window_s = MAX(r->params.retry_window_ms, 1) / 1000.0;

#if GW_MUTANT != 75 /* breaks: a request is sent to any number of servers */
    if (req->attempts >= attempts_max(req)) {
        return false;
    }
#endif
    if (now_us >= req->server_deadline_us) {
        return false;
    }
    if (req->arrivals == 0) {
        return true;
    }
    service->retries.max = RETRY_BURST + extra / 2;
    GwBucket_Fill(&service->retries, now_us, extra / 2 / window_s);
#if GW_MUTANT != 74 /* breaks: retries without a budget */
    if (service->retries.tokens < 1.0) {
        return false;
    }
#endif
    service->retries.tokens -= 1.0;
    return true;
}

void
GwRequest_ReleaseServer(GwRouter *r, int64_t now_us, GwRequest *req, bool ran,
                        GArray *actions)
{
    GwServer *s = req->server;

    if (req->key != NULL) {
        GwKey_EndRun(req->key, s, ran);
    }
    GwServer_UpdateUtilization(r, s, now_us);
    s->in_flight--;
    s->service->freed_server = s->listed ? s : NULL;
    req->server = NULL;
    GwServer_Unref(r, s, actions);
}

/* A server that rests may be tried later. */
static void
forget_withheld(GwRequest *req, const GwServer *s, const GwAttemptEnd *end)
{
    if (end->withheld && req->tried_count > 0 &&
        req->tried[req->tried_count - 1] == s) {
        req->tried_count--;
    }
}

static void
count_attempt(GwRequest *req, const GwServer *s, const GwAttemptEnd *end)
{
    if (end->outcome == GW_ATTEMPT_UNSENT) {
        req->attempts--;
        req->unsent++;
        forget_withheld(req, s, end);
    }
    else {
        req->arrivals++;
    }
}

/* Retries or ends the request after an attempt that got no answer. */
static void
after_failure(GwRouter *r, int64_t now_us, GwRequest *req, GwServer *s,
              const GwAttemptEnd *end, GArray *actions)
{
    if (end->outcome == GW_ATTEMPT_LOST) {
        req->may_have_run = true;
    }
#if GW_MUTANT != 70 /* breaks: sent again though it may have run */
    if (req->may_have_run && !req->route->idempotent) {
        GwRequest_Refuse(r, now_us, req, GW_REPLY_MAY_HAVE_RUN, actions);
        return;
    }
#endif
    bool may_go_on = may_retry(r, now_us, req);
    if (may_go_on && req->unsent >= UNSENT_MAX) {
        if (GwRequest_PassOn(r, now_us, req, actions)) {
            return;
        }
        may_go_on = false;
    }
    if (!may_go_on) {
        GwRequest_Refuse(r, now_us, req,
                         req->may_have_run ? GW_REPLY_MAY_HAVE_RUN
                                           : GW_REPLY_NO_RETRY,
                         actions);
        return;
    }
    if (!end->closed || !GwRequest_AwaitProbe(r, now_us, req, s)) {
        GwRequest_Enqueue(r, req);
    }
}

void
GwRequest_EndAttempt(GwRouter *r, int64_t now_us, GwRequest *req, GwServer *s,
                     const GwAttemptEnd *end, GArray *actions)
{
    bool good = end->outcome == GW_ATTEMPT_ANSWERED && end->status < 500;

    if (end->outcome != GW_ATTEMPT_ANSWERED) {
        after_failure(r, now_us, req, s, end, actions);
        return;
    }
    /* During a stop the server's answer is passed on even if it is an error: a
     * retry might end too late, and the answer would be lost. */
    bool again = !good && req->route->idempotent && r->end_us == INT64_MAX;
    req->service->answered_us = now_us;
    if (again && may_retry(r, now_us, req)) {
        req->may_have_run = true;
        GwRequest_Enqueue(r, req);
        return;
    }
    r->returns_answered += req->is_returning;
    GwRouterAction *out = GwRouter_AddAction(actions, GW_ROUTER_ANSWER, req);
    out->status = end->status;
    out->request_summary = GwRequest_Summarize(req, now_us);
    GwRequest_Finish(r, req);
}

/* What the attempt shows about the links to servers. */
static void
note_link(GwRouter *r, int64_t now_us, const GwRequest *req, GwServer *s,
          const GwAttemptEnd *end, GArray *actions)
{
    bool is_unsent = end->outcome == GW_ATTEMPT_UNSENT;

    if (is_unsent && !end->withheld && !end->no_connection) {
        GwRouter_NoteConnectFailed(
            r, now_us, s,
            end->link != GW_LINK_OK ? end->link : GW_LINK_REFUSED, actions);
    }
    else if (!is_unsent && end->connect_us > 0) {
        GwRouter_NoteConnected(r, now_us, s, req->sent_us + end->connect_us);
    }
    if (end->outcome == GW_ATTEMPT_LOST && end->link == GW_LINK_TIMEOUT) {
        GwRouter_NoteSilence(r, now_us, s, actions);
    }
    if (end->outcome == GW_ATTEMPT_ANSWERED ||
        end->outcome == GW_ATTEMPT_REFUSED) {
        s->answered_us = now_us;
    }
}

void
GwRouter_AttemptEnded(GwRouter *r, int64_t now_us, GwRequest *req,
                      const GwAttemptEnd *end, GArray *actions)
{
    GwServiceState *service = req->service;
    bool answered = end->outcome == GW_ATTEMPT_ANSWERED;
    bool good = answered && end->status < 500;

    GwServer *s = req->server;

    GwRouter_FreeRemoved(r, actions);
    GwRouter_Learn(r, now_us, req, end, actions);
    if (end->closed) {
        GwRouter_NoteConnectionLost(r, now_us, req, end->fingerprint, actions);
    }
    else if (good && end->fingerprint != NULL) {
        GwQuarantine_NoteSuccess(r->quarantine, now_us, end->fingerprint);
    }
    note_link(r, now_us, req, s, end, actions);
    GwRequest_ReleaseServer(r, now_us, req, good, actions);
    count_attempt(req, s, end);
    GwRequest_EndAttempt(r, now_us, req, s, end, actions);
    GwRouter_DispatchWaiting(r, now_us, service, actions);
}
