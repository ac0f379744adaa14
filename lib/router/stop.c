/* Graceful stop of the entry: which requests may still be sent.
 *
 * The process exits at a set time and closes the connections of its callers. A
 * request that a server still runs then ends without an answer, and its caller
 * can't know whether it ran. So once a stop has begun, each request is sent
 * only if its run can end in the remaining time, whether it is new, waiting or
 * retried. Any other request is refused at once without being run, so that the
 * caller can retry at another entry. */
#include "router/router_internal.h"

/* Upper bound of a run relative to earlier cold runs of its route: servers
 * differ, and slow down when nearly full. */
#define RUN_TIME_FACTOR 1.5
/* Time for the answer to reach the caller through a busy event loop and a slow
 * link. */
#define ANSWER_DELAY_US 200000

void
GwRouter_Stop(GwRouter *r, int64_t now_us, int64_t end_us, GArray *actions)
{
    GHashTableIter iter;
    gpointer value;

    GwRouter_FreeRemoved(r, actions);
    r->end_us = end_us;
    while (r->awaiting_probe->len > 0) {
        GwRequest_EndProbeWait(r, r->awaiting_probe->pdata[0]);
    }
    while (GwRouter_HasEnded(r, now_us) && r->awaiting_token->len > 0) {
        GwRequest_Refuse(r, now_us, r->awaiting_token->pdata[0],
                         GW_REPLY_LEAVING, actions);
    }
    g_hash_table_iter_init(&iter, r->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwServiceState *service = value;
        service->pass_due_us = now_us;
        GwRouter_DispatchWaiting(r, now_us, service, actions);
    }
}

bool
GwRouter_HasEnded(const GwRouter *r, int64_t now_us)
{
#if GW_MUTANT == 161 /* breaks: requests begin to wait after the end */
    return false;
#endif
    return now_us >= r->end_us;
}

void
GwRouter_EndAll(GwRouter *r, int64_t now_us, GArray *actions)
{
    GwRouter_FreeRemoved(r, actions);
    r->end_us = MIN(r->end_us, now_us);
    GList *open = g_hash_table_get_keys(r->open);
    for (GList *at = open; at != NULL; at = at->next) {
        GwRequest *req = at->data;
        GwReplyReason why = GwRequest_MayHaveRun(req) ? GW_REPLY_MAY_HAVE_RUN
                                                      : GW_REPLY_LEAVING;
        GwRequest_Cancel(r, now_us, req, actions);
        GwRequest_Refuse(r, now_us, req, why, actions);
    }
    g_list_free(open);
}

/* Returns whether the caller or the route gives up before the entry exits, or
 * no stop has begun. */
static bool
gives_up_before(const GwRouter *r, const GwRequest *req)
{
    return r->end_us == INT64_MAX ||
           req->give_up_us <= r->end_us - ANSWER_DELAY_US;
}

/* The longest time limit to send to a server. The limit counts from the start
 * of the run and also bounds the time in the server's queue, whatever this
 * entry knows of the server's slots; so each gets half of the remaining
 * time. */
static int64_t
server_time_us(const GwRouter *r, int64_t now_us)
{
    return (r->end_us - ANSWER_DELAY_US - now_us) / 2;
}

/* Time to allow for a run. For an idempotent request, the expected run time at
 * that server: if the run takes longer, the server answers that the time is
 * over, and the caller can retry. A request that may run only once can't be
 * retried, so the longest recent run and an uncached object are assumed. */
static double
allowed_run_us(const GwRequest *req, const GwServer *s, double run_us)
{
    if (req->route->idempotent) {
        return RUN_TIME_FACTOR * run_us;
    }
    double cold_us = req->state->cold_us * MAX(s->slowdown, 1.0);
    return MAX(RUN_TIME_FACTOR * MAX(run_us, cold_us),
               req->state->longest_run_us);
}

int64_t
GwRouter_LastSlotUs(const GwRouter *r, const GwRequest *req, const GwServer *s,
                    double run_us)
{
#if GW_MUTANT == 77 /* breaks: sent though the entry exits first */
    return INT64_MAX;
#endif
    if (gives_up_before(r, req)) {
        return INT64_MAX;
    }
    if (req->state->longest_run_us == 0) {
        return INT64_MIN; /* no run of the route has ended yet */
    }
    double after_us = s->path->rtt_us + 2 * allowed_run_us(req, s, run_us);
    return r->end_us - ANSWER_DELAY_US - (int64_t)after_us;
}

/* The server answers when this time is over, so that even a run that takes
 * longer than all earlier ones gets an answer before the entry exits. */
int64_t
GwRouter_ServerUntil(const GwRouter *r, int64_t now_us, const GwRequest *req)
{
#if GW_MUTANT == 78 /* breaks: a server works on after the entry has exited */
    return req->server_deadline_us;
#endif
    return gives_up_before(r, req) ? req->server_deadline_us
                                   : MIN(req->server_deadline_us,
                                         now_us + server_time_us(r, now_us));
}
