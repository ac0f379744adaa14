/* What waits for a service, and which of it is judged anew at an event. */
#include "router/router_internal.h"

/* All that wait are judged anew only as often as takes so many looks at
 * servers, which is a tenth of what a tenth of a core has time for
 * (bench_router_cost). */
#define LOOKS_PER_US 0.5
/* Of those that would go to any server with room, so many are judged when one
 * has some; the first mostly takes it. */
#define ASKED_MAX 2

/* One that waits takes the next slot there, before those behind it. */
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

/* A pass over what waits for a service. */
typedef struct {
    GwRouter *r;
    int64_t now_us;
    GwServiceState *service;
    GArray *actions;
    bool all;             /* are judged */
    const GwServer *free; /* has room that one of them may take; or NULL */
    uint32_t asked;       /* of those who would go to any server */
} Pass;

/* Whether a look could change anything for it: it is new, there is room where
 * it waits, a slot would come too late now, or there is room elsewhere and it
 * waits for no place in particular. All others stay as they are until the next
 * pass over all. */
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
        /* The one that was placed has left the array. */
        if (i < waiting->len && waiting->pdata[i] == req) {
            i++;
        }
    }
}

/* From when on a pass over all may be made again, after one that begins now. */
static int64_t
next_pass_us(const GwServiceState *service, int64_t now_us)
{
    double looks = service->pass_looks * service->waiting->len;

    return now_us + (int64_t)(looks / LOOKS_PER_US);
}

/* Places what waits for the service: what can be in time before what can't,
 * each by priority and arrival. Each request that comes or ends calls for it,
 * so if all were judged each time, an entry would spend the more on it the
 * further it is behind. */
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
