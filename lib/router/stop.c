/* A stop of the entry: what may still be begun.
 *
 * The process ends at a set time and closes the connections of its callers. A
 * request that a server still runs then ends with no answer, and nobody can
 * say whether it ran. So from the signal on each request, by whatever way it
 * comes to be sent, is asked the same: can its run end in the time that is
 * left? One that can't has not run and goes to another entry at once. */
#include "router/router_internal.h"

/* A run may take so many times what runs of its route took at servers that did
 * not hold the object: servers differ, and slow down when nearly full. */
#define RUN_SPREAD 1.5
/* For the answer's way back, through a busy loop and a narrow link. */
#define WAY_BACK_US 200000

void
GwRouter_Stop(GwRouter *r, int64_t now_us, int64_t end_us, GArray *actions)
{
    GHashTableIter iter;
    gpointer value;

    GwRouter_FreeFreed(r, actions);
    r->end_us = end_us;
    while (r->awaiting->len > 0) {
        GwRequest_EndAwaiting(r, r->awaiting->pdata[0]);
    }
    g_hash_table_iter_init(&iter, r->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwServiceState *service = value;
        service->pass_due_us = now_us;
        GwRouter_Pump(r, now_us, service, actions);
    }
}

/* Whether its caller or its route waits no longer than the entry lives, also
 * where no stop was begun. */
static bool
gives_up_before(const GwRouter *r, const GwRequest *req)
{
    return r->end_us == INT64_MAX ||
           req->give_up_us <= r->end_us - WAY_BACK_US;
}

/* The longest time that a server may be given: it counts from the start of the
 * run, and keeps the request in its queue for as long at most, whatever this
 * entry believes of its slots. */
static int64_t
server_time_us(const GwRouter *r, int64_t now_us)
{
    return (r->end_us - WAY_BACK_US - now_us) / 2;
}

/* One that may be repeated is judged by what is expected of it at that server:
 * if the run takes longer, the server's word that its time is over lets the
 * caller ask again. One that may run once would be lost by that, so it is taken
 * to be as long as any lately, and its object to be cold everywhere. */
static double
need_us(const GwRequest *req, const GwServer *s, double run_us)
{
    if (req->route->idempotent) {
        return RUN_SPREAD * run_us;
    }
    double cold_us = req->state->cold_us * MAX(s->slow, 1.0);
    return MAX(RUN_SPREAD * MAX(run_us, cold_us), req->state->longest_us);
}

int64_t
GwRouter_LastSlotUs(const GwRouter *r, const GwRequest *req, const GwServer *s,
                    double run_us)
{
#if GW_MUTANT == 77 /* breaks: sent though the entry ends before its run */
    return INT64_MAX;
#endif
    if (gives_up_before(r, req)) {
        return INT64_MAX;
    }
    if (req->state->longest_us == 0) {
        return INT64_MIN; /* nobody has seen what such a run takes */
    }
    double after_us = s->path->rtt_us + 2 * need_us(req, s, run_us);
    return r->end_us - WAY_BACK_US - (int64_t)after_us;
}

/* The end of the time that a server is given for a request. It answers when
 * that is over, so that even a run that takes longer than any before ends with
 * the server's word, and before the entry. */
int64_t
GwRouter_ServerUntil(const GwRouter *r, int64_t now_us, const GwRequest *req)
{
#if GW_MUTANT == 78 /* breaks: a server works on when the entry is gone */
    return req->budget_us;
#endif
    return gives_up_before(r, req)
               ? req->budget_us
               : MIN(req->budget_us, now_us + server_time_us(r, now_us));
}
