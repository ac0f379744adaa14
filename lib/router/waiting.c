/* The queue of requests that wait for a server, and the choice of those to
 * evaluate again after an event. */
#include "router/router_internal.h"

/* Bounds the passes over all waiting requests to this many server evaluations
 * per us, a tenth of what a tenth of a core can do (bench_router_cost). */
#define LOOKS_PER_US 0.5
/* Of the requests that any server with capacity would do for, at most this
 * many are evaluated when one gets capacity; the first mostly takes the
 * slot. */
#define ASKED_MAX 2

void
GwServer_Claim(GwServer *s)
{
    if (s->claims++ == 0) {
        g_ptr_array_add(s->service->claimed, s);
    }
}

static void
drop_claims(GwServiceState *service)
{
    for (guint i = 0; i < service->claimed->len; i++) {
        ((GwServer *)service->claimed->pdata[i])->claims = 0;
    }
    g_ptr_array_set_size(service->claimed, 0);
}

/* One pass over the waiting requests of a service. */
typedef struct {
    GwRouter *r;
    int64_t now_us;
    GwServiceState *service;
    GArray *actions;
    bool all; /* evaluate all */
    const GwServer
        *free;      /* has got capacity for one of the requests; or NULL */
    uint32_t asked; /* evaluated requests that any server would do for */
} Pass;

/* Returns whether an evaluation could change anything: the request is new, its
 * server has capacity, its last useful slot time is over, or another server
 * has capacity and the request is not tied to a placement. All other requests
 * stay as they are until the next pass over all. */
static bool
is_to_be_judged(Pass *pass, const GwRequest *req)
{
    if (pass->all || req->waits_for == NULL ||
        pass->now_us >= req->too_late_us ||
        GwServer_HasRoom(pass->r, req->waits_for, pass->now_us)) {
        return true;
    }
    if (pass->free == NULL || req->waits_for_place ||
        pass->asked == ASKED_MAX ||
        !GwServer_HasRoom(pass->r, pass->free, pass->now_us)) {
        return false;
    }
    pass->asked++;
    return true;
}

static void
place_all(Pass *pass, bool late)
{
    GPtrArray *waiting = pass->service->waiting;

    for (guint i = 0; i < waiting->len;) {
        GwRequest *req = waiting->pdata[i];
        if (req->late == late && is_to_be_judged(pass, req)) {
            GwRequest_Place(pass->r, pass->now_us, req, pass->actions);
        }
        else if (req->late == late) {
            GwServer_Claim(req->waits_for);
        }
        /* A request that was placed has left the array. */
        if (i < waiting->len && waiting->pdata[i] == req) {
            i++;
        }
    }
}

/* Earliest start of the next pass over all, after one that starts now. */
static int64_t
next_pass_us(const GwServiceState *service, int64_t now_us)
{
    double looks = service->pass_looks * service->waiting->len;

    return now_us + (int64_t)(looks / LOOKS_PER_US);
}

/* Dispatches the waiting requests of a service: those that can meet their
 * objective first, each group by priority and arrival. Called on each arrival
 * and end of a request, so evaluating all of them each time would cost more
 * the longer the queue is. */
void
GwRouter_Pump(GwRouter *r, int64_t now_us, GwServiceState *service,
              GArray *actions)
{
    guint count = service->waiting->len;
    Pass pass = {
        .r = r,
        .now_us = now_us,
        .service = service,
        .actions = actions,
        .all = now_us >= service->pass_due_us,
        .free = service->freed,
    };
    uint64_t looks = r->looks;

    service->freed = NULL;
    if (count == 0) {
        return;
    }
    if (pass.all) {
        service->pass_due_us = next_pass_us(service, now_us);
    }
    drop_claims(service);
    place_all(&pass, false);
    place_all(&pass, true);
    drop_claims(service);
    if (pass.all) {
        service->pass_looks = (double)(r->looks - looks) / count;
    }
}

void
GwRequest_Wait(GwRequest *req)
{
    GPtrArray *waiting = req->service->waiting;
    guint at = waiting->len;

    while (at > 0) {
        const GwRequest *other = waiting->pdata[at - 1];
        if (other->route->priority <= req->route->priority) {
            break;
        }
        at--;
    }
    g_ptr_array_insert(waiting, (gint)at, req);
    req->waits = true;
    req->waits_for = NULL;
}

void
GwRequest_StopWaiting(GwRequest *req)
{
    if (req->waits) {
        req->waits = false;
        (void)g_ptr_array_remove(req->service->waiting, req);
    }
}
