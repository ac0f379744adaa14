/* Load shedding: when slots are short at all entries, refuses the requests that
 * are worth least to their callers for the slot time that they need.
 *
 * lib/shortage derives from the demand of all entries which share of each level
 * the servers have capacity for. The decision is made once, when a request is
 * first placed and has not been sent: a refusal is "not run" then, and the
 * caller learns at once when to come back. */
#include "router/decisions.h"

#include <math.h>

/* Value of an answer after the objective, beside 1 within it. */
#define LATE_VALUE 0.2
/* A caller that was refused before counts as worth four times as much, since it
 * was told when a slot would be free. */
#define RETURN_LEVELS 2
/* The servers of a service are counted again after this time. */
#define CAPACITY_INTERVAL_US 50000
/* Time constant of the shares admitted by route and priority. */
#define ADMITTED_TAU_US 3000000.0
/* A route's share admitted is at least this part of its service's. Above the
 * quarter that is owed, since some of the admitted requests still fail. */
#define ROUTE_SHARE_MIN 0.3
/* A more urgent priority's share admitted is at most this much below that of a
 * less urgent one. */
#define URGENT_SHARE_BELOW 0.05
/* With fewer requests than this, decayed, a share is not significant. */
#define OFFERED_MIN 4.0
/* Retry delay for each level that a request lies below the threshold. */
#define LEVEL_WAIT_US 400000.0
#define REGIONS_MAX   16

/* ---- Levels -------------------------------------------------------------- */

static bool
has_placement(const GwRequest *req)
{
    for (int i = 0; req->key != NULL && i < GW_KEY_PLACEMENTS_MAX; i++) {
        if (req->key->placements[i].server != NULL) {
            return true;
        }
    }
    return false;
}

static uint32_t
level_of(const GwRequest *req, double value, double slot_us)
{
    uint32_t level =
        GwShortage_Level(ldexp(value, -(int)MIN(req->priority, 64)), slot_us);

    return req->is_returning ? level - MIN(level, RETURN_LEVELS) : level;
}

/* Expected time in a slot. The first run of an object is taken for a warm one:
 * it makes the following runs warm. */
static double
slot_time_us(const GwRequest *req, const GwChoice *c)
{
    bool is_warm =
        c->is_placement || (req->key != NULL && !has_placement(req));

    return (is_warm ? req->state->warm_us : req->state->cold_us) *
           c->server->slowdown;
}

static double
value_of(const GwRequest *req, const GwChoice *c)
{
    bool is_first = req->key != NULL && !has_placement(req);

    return c->in_time || is_first ? 1 : LATE_VALUE;
}

uint32_t
GwRequest_Level(const GwRequest *req, const GwChoice *c)
{
    return level_of(req, value_of(req, c), slot_time_us(req, c));
}

/* ---- Capacity ------------------------------------------------------------ */

typedef struct {
    const GwPath *path;
    double slots;
    double busy;
} RegionSlots;

static RegionSlots *
find_or_add_region(RegionSlots *regions, uint32_t *count, const GwPath *path)
{
    for (uint32_t i = 0; i < *count; i++) {
        if (regions[i].path == path) {
            return &regions[i];
        }
    }
    if (*count == REGIONS_MAX) {
        return NULL;
    }
    regions[*count] = (RegionSlots){.path = path};
    return &regions[(*count)++];
}

static bool
accepts_requests(const GwRouter *r, const GwServer *s, int64_t now_us)
{
    return !s->start->is_leaving && now_us >= s->eject_until_us &&
           !g_hash_table_contains(r->evacuated, s->domain);
}

/* Counts the slots of the service by region. */
static void
count_capacity(GwRouter *r, int64_t now_us, GwServiceState *service)
{
    RegionSlots regions[REGIONS_MAX];
    uint32_t count = 0;

    if (service->shedding.capacity_at_us != 0 &&
        now_us - service->shedding.capacity_at_us < CAPACITY_INTERVAL_US) {
        return;
    }
    service->shedding.capacity_at_us = now_us;
    r->evaluations += service->servers->len;
    for (guint i = 0; i < service->servers->len; i++) {
        const GwServer *s = service->servers->pdata[i];
        RegionSlots *region =
            accepts_requests(r, s, now_us)
                ? find_or_add_region(regions, &count, s->path)
                : NULL;
        if (region != NULL) {
            region->slots += s->slots;
            region->busy += MIN(GwServer_SlotsInUse(r, s), s->slots);
        }
    }
    for (uint32_t i = 0; i < count; i++) {
        GwShortage_PutCapacity(r->shortage, now_us,
                               GwService_Hash(service->name),
                               GwService_Hash(regions[i].path->region),
                               regions[i].slots, regions[i].busy);
    }
}

/* ---- Shares admitted ----------------------------------------------------- */

static void
count_request(GwAdmitted *a, int64_t now_us, bool admitted)
{
    double keep = exp(-(double)(now_us - a->at_us) / ADMITTED_TAU_US);

    a->offered = a->offered * keep + 1;
    a->admitted = a->admitted * keep + admitted;
    a->at_us = now_us;
}

static double
share_admitted(const GwAdmitted *a)
{
    return a->offered >= OFFERED_MIN ? a->admitted / a->offered : 1;
}

static GwAdmitted *
class_of(const GwRequest *req)
{
    return &req->service->shedding
                .by_priority[MIN(req->priority, GW_PRIORITY_CLASSES - 1)];
}

/* Whether a less urgent priority is admitted more often. */
static bool
is_behind_less_urgent(const GwRequest *req)
{
    const GwShedding *shedding = &req->service->shedding;
    double own = share_admitted(class_of(req));

    for (uint32_t p = req->priority + 1; p < GW_PRIORITY_CLASSES; p++) {
        const GwAdmitted *other = &shedding->by_priority[p];
        if (other->offered >= OFFERED_MIN &&
            share_admitted(other) > own + URGENT_SHARE_BELOW) {
            return true;
        }
    }
    return false;
}

/* Whether the request is admitted whatever its level: its route is admitted too
 * rarely, or less often than a less urgent one. */
static bool
is_owed(const GwRequest *req)
{
    double least =
        ROUTE_SHARE_MIN * share_admitted(&req->service->shedding.all);

#if GW_MUTANT == 133 /* breaks: a route of low value gets no slots */
    return is_behind_less_urgent(req);
#endif
    return share_admitted(&req->state->admitted) < least ||
           is_behind_less_urgent(req);
}

/* Whether the share of the level allows one more request. Spreads the refusals
 * evenly over the requests of a level. */
static bool
takes_credit(double *credit, double share)
{
    *credit = MIN(*credit + share, 1 + share);
    if (*credit < 1) {
        return false;
    }
    *credit -= 1;
    return true;
}

/* ---- Decision ------------------------------------------------------------ */

static bool
is_admitted(GwRouter *r, int64_t now_us, GwRequest *req, const GwChoice *c)
{
    GwShedding *shedding = &req->service->shedding;
    uint32_t service = GwService_Hash(req->service->name);
    uint32_t region = GwService_Hash(c->server->path->region);
    double share = GwShortage_AdmitShare(r->shortage, now_us, service, region,
                                         req->level);

    if (share >= 1 || req->is_passed_on || req->sends > 0) {
        return true;
    }
    double *credit = c->server->same_region ? shedding->local_credit
                                            : shedding->remote_credit;
    if (takes_credit(&credit[req->level], share) || is_owed(req)) {
        return true;
    }
    req->threshold =
        GwShortage_Threshold(r->shortage, now_us, service, region);
    shedding->shed[req->level]++;
    return false;
}

bool
GwRequest_IsShed(GwRouter *r, int64_t now_us, GwRequest *req,
                 const GwChoice *c)
{
    if (r->shortage == NULL || req->is_measured) {
        return false;
    }
    double slot_us = slot_time_us(req, c);

    req->is_measured = true;
    req->level = GwRequest_Level(req, c);
    /* A refused caller was counted when it first came. Counting it again would
     * raise the demand with each refusal. */
    if (!req->is_returning) {
        GwDemandMeter_Add(
            r->demand, now_us, GwService_Hash(req->service->name),
            GwService_Hash(c->server->path->region), req->level, slot_us);
    }
    count_capacity(r, now_us, req->service);
    bool admitted = is_admitted(r, now_us, req, c);
    count_request(&req->service->shedding.all, now_us, admitted);
    count_request(&req->state->admitted, now_us, admitted);
    count_request(class_of(req), now_us, admitted);
    return !admitted;
}

/* The less a request is worth, the later it comes back; callers that were
 * refused together don't come back together. */
uint32_t
GwRequest_ShedRetryAfterMs(GwRouter *r, int64_t now_us, const GwRequest *req)
{
    uint32_t below = req->level - MIN(req->level, req->threshold);
    double left_us = (double)(req->server_deadline_us - now_us);
    double wait_us = MAX(req->slot_wait_us, LEVEL_WAIT_US * (below + 1));
    uint32_t most_ms = (uint32_t)(MIN(wait_us, left_us / 3) / 1000);

    most_ms = MAX(most_ms, 2);
    return most_ms / 2 + GwRng_Below(&r->rng, most_ms / 2 + 1);
}
