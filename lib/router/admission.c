/* Quotas of organisations: a request is placed once it has a token, and waits
 * for the token without holding a place in the queue of its service. */
#include "router/router_internal.h"

void
GwRouter_SetQuota(GwRouter *r, GwQuota *quota)
{
    r->quota = quota;
}

static bool
needs_token(const GwRouter *r, const GwRequest *req)
{
#if GW_MUTANT != 116 /* breaks: a request uses a token at each entry */
    if (req->is_passed_on) {
        return false;
    }
#endif
    return r->quota != NULL && req->organisation != NULL &&
           !req->route->allows_anonymous && !req->has_token;
}

/* Stops waiting for a token. */
void
GwRequest_CancelTokenWait(GwRouter *r, GwRequest *req)
{
    if (req->awaits_token) {
        req->awaits_token = false;
        (void)g_ptr_array_remove(r->awaiting_token, req);
    }
}

static void
place(GwRouter *r, int64_t now_us, GwRequest *req, GArray *actions)
{
    GwRequest_CancelTokenWait(r, req);
    GwRequest_SetDeadline(r, req, req->give_up_us);
    GwRequest_Enqueue(r, req);
    GwRouter_DispatchWaiting(r, now_us, req->service, actions);
}

static void
wait_for_token(GwRouter *r, GwRequest *req, int64_t retry_us)
{
    if (!req->awaits_token) {
        req->awaits_token = true;
        g_ptr_array_add(r->awaiting_token, req);
    }
    GwRequest_SetDeadline(r, req, MIN(req->give_up_us, retry_us));
}

void
GwRequest_Admit(GwRouter *r, int64_t now_us, GwRequest *req, GArray *actions)
{
    GwReplyReason why = GwRouter_HasEnded(r, now_us)
                            ? GW_REPLY_LEAVING
                            : GwRequest_CheckAccess(r, now_us, req);

    if (why != GW_REPLY_NONE) {
        GwRequest_Refuse(r, now_us, req, why, actions);
        return;
    }
    if (!needs_token(r, req)) {
        place(r, now_us, req, actions);
        return;
    }
    GwQuotaResult result = GwQuota_Take(
        r->quota, now_us, req->organisation->name, req->arrived_us);
    switch (result.state) {
    case GW_QUOTA_GRANTED:
        req->has_token = true;
        place(r, now_us, req, actions);
        break;
    case GW_QUOTA_WAIT:
        wait_for_token(r, req, result.retry_us);
        break;
    case GW_QUOTA_DENIED:
        req->retry_after_ms = result.retry_after_ms;
        GwRequest_Refuse(r, now_us, req, GW_REPLY_OVER_QUOTA, actions);
        break;
    case GW_QUOTA_UNKNOWN:
        req->retry_after_ms = result.retry_after_ms;
        GwRequest_Refuse(r, now_us, req, GW_REPLY_QUOTA_UNKNOWN, actions);
        break;
    }
}

/* Requests that are admitted or refused leave the array, and placing one may
 * end others. */
void
GwRouter_RetryTokens(GwRouter *r, int64_t now_us, GArray *actions)
{
    GPtrArray *waiting = r->awaiting_token;

    GwRouter_FreeRemoved(r, actions);
    for (guint i = 0; i < waiting->len;) {
        GwRequest *req = waiting->pdata[i];
        GwRequest_Admit(r, now_us, req, actions);
        if (i < waiting->len && waiting->pdata[i] == req) {
            i++;
        }
    }
}

/* A token of a request that reached no server may serve another one. */
void
GwRequest_ReturnToken(GwRouter *r, int64_t now_us, const GwRequest *req)
{
    if (req->has_token && req->sends == 0 && req->organisation != NULL) {
        GwQuota_Return(r->quota, now_us, req->organisation->name);
    }
}
