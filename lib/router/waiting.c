/* The queue of requests that wait for a server. Chooses the requests to
 * evaluate again after an event. */
#include "router/decisions.h"

/* Bounds the passes over all waiting requests to this many server evaluations
 * per us, a tenth of what a tenth of a core can do (bench_router_cost). */
#define EVALUATIONS_PER_US 0.5
/* Maximum number of requests without a placement that are evaluated when a
 * server gets capacity; mostly, the first of them takes the slot. */
#define UNBOUND_EVALUATIONS_MAX 2

void
GwServer_Reserve(GwServer *s)
{
    if (s->reservations++ == 0) {
        g_ptr_array_add(s->service->reserved_servers, s);
    }
}

static void
clear_reservations(GwServiceState *service)
{
    for (guint i = 0; i < service->reserved_servers->len; i++) {
        ((GwServer *)service->reserved_servers->pdata[i])->reservations = 0;
    }
    g_ptr_array_set_size(service->reserved_servers, 0);
}

/* One pass over the waiting requests of a service. */
typedef struct {
    GwRouter *r;
    int64_t now_us;
    GwServiceState *service;
    GArray *actions;
    bool is_full;           /* evaluates all requests */
    const GwServer *free;   /* server that got capacity; or NULL */
    uint32_t unbound_count; /* evaluated requests without a placement */
} Pass;

/* Returns whether an evaluation could change anything: the request is new, its
 * server has capacity, its last useful slot time is over, or another server
 * has capacity and the request is not tied to a placement. All other requests
 * stay as they are until the next pass over all. */
static bool
needs_evaluation(Pass *pass, const GwRequest *req)
{
    if (pass->is_full || req->awaited_server == NULL ||
        pass->now_us >= req->last_useful_slot_us ||
        GwServer_HasCapacity(pass->r, req->awaited_server, pass->now_us)) {
        return true;
    }
    if (pass->free == NULL || req->awaits_placement ||
        pass->unbound_count == UNBOUND_EVALUATIONS_MAX ||
        !GwServer_HasCapacity(pass->r, pass->free, pass->now_us)) {
        return false;
    }
    pass->unbound_count++;
    return true;
}

static void
place_requests(Pass *pass, bool late)
{
    GPtrArray *waiting = pass->service->waiting;

    for (guint i = 0; i < waiting->len;) {
        GwRequest *req = waiting->pdata[i];
        if (req->is_late == late && needs_evaluation(pass, req)) {
            GwRequest_Place(pass->r, pass->now_us, req, pass->actions);
        }
        else if (req->is_late == late) {
            GwServer_Reserve(req->awaited_server);
        }
        /* A request that was sent or refused is no longer in the array. */
        if (i < waiting->len && waiting->pdata[i] == req) {
            i++;
        }
    }
}

/* Earliest start of the next pass over all, after one that starts now. */
static int64_t
next_pass_us(const GwServiceState *service, int64_t now_us)
{
    double evaluations = service->pass_evaluations * service->waiting->len;

    return now_us + (int64_t)(evaluations / EVALUATIONS_PER_US);
}

/* Dispatches the waiting requests of a service: those that can meet their
 * objective first, each group by priority and arrival. Called on each arrival
 * and end of a request, so evaluating all of them each time would cost more
 * the longer the queue is. */
void
GwRouter_DispatchWaiting(GwRouter *r, int64_t now_us, GwServiceState *service,
                         GArray *actions)
{
    guint count = service->waiting->len;
    Pass pass = {
        .r = r,
        .now_us = now_us,
        .service = service,
        .actions = actions,
        .is_full = now_us >= service->pass_due_us,
        .free = service->freed_server,
    };
    uint64_t before = r->evaluations;

    service->freed_server = NULL;
    if (count == 0) {
        return;
    }
    if (pass.is_full) {
        service->pass_due_us = next_pass_us(service, now_us);
    }
    clear_reservations(service);
    place_requests(&pass, false);
    place_requests(&pass, true);
    clear_reservations(service);
    if (pass.is_full) {
        service->pass_evaluations = (double)(r->evaluations - before) / count;
    }
}

/* Whether `a` is dispatched before `b`, which has been queued for longer. With
 * overload control, callers that were refused before precede others of their
 * priority: they were told when to come back. */
static bool
is_before(const GwRouter *r, const GwRequest *a, const GwRequest *b)
{
    if (a->priority != b->priority) {
        return a->priority < b->priority;
    }
    return r->shortage != NULL && a->is_returning && !b->is_returning;
}

void
GwRequest_Enqueue(GwRouter *r, GwRequest *req)
{
    GPtrArray *waiting = req->service->waiting;
    guint at = waiting->len;

    while (at > 0 && is_before(r, req, waiting->pdata[at - 1])) {
        at--;
    }
    g_ptr_array_insert(waiting, (gint)at, req);
    req->is_waiting = true;
    req->awaited_server = NULL;
}

void
GwRequest_Dequeue(GwRequest *req)
{
    if (req->is_waiting) {
        req->is_waiting = false;
        (void)g_ptr_array_remove(req->service->waiting, req);
    }
}
