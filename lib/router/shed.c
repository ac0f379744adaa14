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
/* Time constant of the shares admitted by service and priority. */
#define ADMITTED_TAU_US 3000000.0
/* A route's share admitted is at least this part of its service's. Above the
 * quarter that is owed, since some of the admitted requests still fail. */
#define ROUTE_SHARE_MIN 0.3
/* A more urgent priority's share admitted is at most this much below that of a
 * less urgent one. Less than the 0.05 that operators allow, since the shares
 * are known from samples. */
#define URGENT_SHARE_BELOW 0.02
/* A priority without a request for this long doesn't count any more. */
#define RECENT_US 5000000
/* Retry delay for each level that a request lies below the threshold, and as a
 * part of the longest delay, so that levels differ for callers with little
 * time. */
#define LEVEL_WAIT_US    400000.0
#define LEVEL_WAIT_SHARE 0.25
/* Part of their time that callers wait for a retry. */
#define RETRY_SHARE_MAX (1.0 / 3)

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
    if (*count == GW_SHEDDING_REGIONS_MAX) {
        return NULL;
    }
    regions[*count] = (RegionSlots){.path = path};
    return &regions[(*count)++];
}

static bool
accepts_requests(const GwRouter *r, const GwServer *s, int64_t now_us)
{
    bool is_evacuated = g_hash_table_size(r->evacuated) > 0 &&
                        g_hash_table_contains(r->evacuated, s->domain);

    return !s->start->is_leaving && !is_evacuated &&
           (s->service->panic || now_us >= s->eject_until_us);
}

/* Counts the slots of the service by region. */
static void
count_capacity(GwRouter *r, int64_t now_us, GwServiceState *service)
{
    RegionSlots regions[GW_SHEDDING_REGIONS_MAX];
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
    service->shedding.region_count = count;
    for (uint32_t i = 0; i < count; i++) {
        service->shedding.regions[i] = regions[i].path->region;
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

/* The counts of the request's priority. Beyond GW_PRIORITY_CLASSES priorities,
 * that with the oldest last request makes room. */
static GwPriorityClass *
find_or_add_class(const GwRequest *req)
{
    GwShedding *shedding = &req->service->shedding;
    GwPriorityClass *oldest = &shedding->classes[0];

    for (uint32_t i = 0; i < shedding->class_count; i++) {
        GwPriorityClass *class = &shedding->classes[i];
        if (class->priority == req->priority) {
            return class;
        }
        if (class->admitted.at_us < oldest->admitted.at_us) {
            oldest = class;
        }
    }
    if (shedding->class_count < GW_PRIORITY_CLASSES) {
        oldest = &shedding->classes[shedding->class_count++];
    }
    *oldest = (GwPriorityClass){.priority = req->priority};
    return oldest;
}

static double
share_of_all(const GwShedding *shedding)
{
    const GwAdmitted *all = &shedding->all;

    return all->offered > 0 ? all->admitted / all->offered : 1;
}

/* The least share that is to be admitted of the priority: about that of the
 * less urgent ones of the last seconds. */
static double
least_of_class(const GwShedding *shedding, int64_t now_us,
               const GwPriorityClass *class)
{
    double least = 0;

#if GW_MUTANT == 134 /* breaks: a less urgent kind is admitted more often */
    return 0;
#endif
    for (uint32_t i = 0; i < shedding->class_count; i++) {
        const GwPriorityClass *other = &shedding->classes[i];
        const GwAdmitted *a = &other->admitted;
        if (other->priority > class->priority &&
            now_us - a->at_us <= RECENT_US && a->offered > 0) {
            least = MAX(least, a->admitted / a->offered - URGENT_SHARE_BELOW);
        }
    }
    return least;
}

/* The least share that is to be admitted of each route. */
static double
least_of_route(const GwShedding *shedding)
{
#if GW_MUTANT == 133 /* breaks: a route of low value gets no slots */
    return 0;
#endif
    return ROUTE_SHARE_MIN * share_of_all(shedding);
}

/* ---- Credits ------------------------------------------------------------- */

/* A credit grows with each request by the share that is to be admitted, and an
 * admission uses up 1 of it: the share holds for any number of requests, and
 * refusals are spread evenly.
 *
 * Entries begin with different credits, else all would refuse their first
 * requests of a level, and those with few requests more than the share. */
static void
init_credits(const GwRouter *r, GwServiceState *service)
{
    GwShedding *shedding = &service->shedding;

    if (shedding->has_credits) {
        return;
    }
    shedding->has_credits = true;
    for (uint32_t i = 0; i < GW_SHORTAGE_LEVELS; i++) {
        GwRng rng = GwRng_Make(GwHash_Text(r->params.name, i));
        shedding->local_credit[i] = GwRng_Below(&rng, 1000) / 1000.0;
        shedding->remote_credit[i] = GwRng_Below(&rng, 1000) / 1000.0;
    }
}

static bool
takes_credit(double *credit, double share)
{
    *credit += share;
    if (*credit < 1) {
        return false;
    }
    *credit -= 1;
    return true;
}

/* Whether the request is admitted whatever its level: its route is admitted too
 * rarely, or less often than a less urgent one. */
static bool
is_owed(const GwRequest *req, const GwPriorityClass *class)
{
    return req->state->owed >= 1 || class->owed >= 1;
}

/* An excess of admissions counts for one. */
static void
pay_owed(double *owed, bool admitted)
{
    *owed = MAX(*owed - admitted, -1);
}

/* ---- Decision ------------------------------------------------------------ */

static bool
is_admitted_by_level(GwRouter *r, int64_t now_us, const GwRequest *req,
                     const GwServer *s)
{
    GwShedding *shedding = &req->service->shedding;
    double *credit =
        s->same_region ? shedding->local_credit : shedding->remote_credit;
    double share = GwShortage_AdmitShare(
        r->shortage, now_us, GwService_Hash(req->service->name),
        GwService_Hash(s->path->region), req->level);

    return share >= 1 || takes_credit(&credit[req->level], share);
}

/* Whether servers of another region that the request may use have capacity for
 * its level. The request then waits until the share of requests sent there has
 * grown: a region with few servers is always short of slots. */
static bool
has_room_elsewhere(const GwRouter *r, int64_t now_us, const GwRequest *req)
{
    const GwShedding *shedding = &req->service->shedding;
    uint32_t service = GwService_Hash(req->service->name);

#if GW_MUTANT == 137 /* breaks: refused beside idle servers elsewhere */
    return false;
#endif
    for (uint32_t i = 0; i < shedding->region_count; i++) {
        const char *region = shedding->regions[i];
        if (GwRequest_AllowsRegion(req, region) &&
            GwShortage_AdmitShare(r->shortage, now_us, service,
                                  GwService_Hash(region), req->level) >= 1) {
            return true;
        }
    }
    return false;
}

/* A request that was sent is not refused, since 503 means that it has not run;
 * one that comes back from another entry was counted there. */
static bool
is_first_placement(const GwRequest *req)
{
#if GW_MUTANT == 136 /* breaks: a request that was sent is shed */
    return true;
#endif
    return !req->is_measured && req->sends == 0;
}

/* Decides by the level and by what is owed to the request's route and
 * priority. Both are charged with each admission while slots are short. */
static bool
is_admitted(GwRouter *r, int64_t now_us, GwRequest *req,
            GwPriorityClass *class, const GwServer *s)
{
    GwShedding *shedding = &req->service->shedding;
    uint32_t threshold = GwShortage_Threshold(
        r->shortage, now_us, GwService_Hash(req->service->name),
        GwService_Hash(s->path->region));

    if (threshold == GW_SHORTAGE_LEVELS || req->is_passed_on) {
        return true;
    }
    init_credits(r, req->service);
    req->state->owed += least_of_route(shedding);
    class->owed += least_of_class(shedding, now_us, class);
    bool admitted = has_room_elsewhere(r, now_us, req) ||
                    is_admitted_by_level(r, now_us, req, s) ||
                    is_owed(req, class);
    pay_owed(&req->state->owed, admitted);
    pay_owed(&class->owed, admitted);
    if (!admitted) {
        req->threshold = threshold;
        req->total_age_ms = GwShortage_AgeMs(r->shortage, now_us);
        shedding->shed[req->level]++;
    }
    return admitted;
}

bool
GwRequest_IsShed(GwRouter *r, int64_t now_us, GwRequest *req,
                 const GwChoice *c)
{
    if (r->shortage == NULL || !is_first_placement(req)) {
        return false;
    }
    GwPriorityClass *class = find_or_add_class(req);
    double slot_us = slot_time_us(req, c);

    req->is_measured = true;
    req->level = GwRequest_Level(req, c);
    /* A refused caller was counted when it first came. Counting it again would
     * raise the demand with each refusal. */
#if GW_MUTANT != 135 /* breaks: refusals raise the demand */
    if (!req->is_returning)
#endif
    {
        GwDemandMeter_Add(
            r->demand, now_us, GwService_Hash(req->service->name),
            GwService_Hash(c->server->path->region), req->level, slot_us);
    }
    count_capacity(r, now_us, req->service);
    bool admitted = is_admitted(r, now_us, req, class, c->server);
    count_request(&req->service->shedding.all, now_us, admitted);
    count_request(&class->admitted, now_us, admitted);
    return !admitted;
}

/* The less a request is worth, the later it comes back; callers that were
 * refused together don't come back together, and none before a slot is
 * expected, unless that is after the longest time that callers wait. */
uint32_t
GwRequest_ShedRetryAfterMs(GwRouter *r, int64_t now_us, const GwRequest *req)
{
    uint32_t below = req->level - MIN(req->level, req->threshold);
    double left_us = (double)MAX(req->server_deadline_us - now_us, 0);
    double most_us = left_us * RETRY_SHARE_MAX;
    double step_us = MIN(LEVEL_WAIT_US, LEVEL_WAIT_SHARE * most_us);
    double delay_us = MAX(2 * req->slot_wait_us, step_us * (below + 1));

    delay_us = MIN(delay_us, most_us);
    double from_us = MAX(delay_us / 2, MIN(req->slot_wait_us, most_us));
    uint32_t from_ms = (uint32_t)(from_us / 1000);
    uint32_t to_ms = MAX((uint32_t)(delay_us / 1000), from_ms);

    return MAX(from_ms + GwRng_Below(&r->rng, to_ms - from_ms + 1), 1);
}
