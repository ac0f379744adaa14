/* Chooses the backend server for a request.
 *
 * A server that recently handled an object runs the next request for it in
 * about 0.3 of the time, and caches some tens of objects. Each object
 * therefore has a few placements, servers to which its requests go: at full
 * load the same slots carry three times as much as with requests spread
 * evenly. Once spread, requests stay spread, since every run is then a cold
 * one. A request waits for a placement of its object as long as the answer
 * still meets the objective; an object gets a further placement only where
 * slots are idle, one at a time. */
#include "router/router_internal.h"

#include <string.h>

/* For this long a load report takes precedence over the local count. */
#define LOAD_FRESH_US 60000
/* With a larger share of a service's servers ejected, the failures have a
 * common cause outside of them: ejection is ignored. */
#define PANIC_SHARE    0.5
#define PANIC_EVERY_US 20000
/* Cost of leaving the failure domain or the region, as time: traffic across is
 * paid for, and an object that is placed in another region costs the round
 * trip from then on. */
#define OTHER_DOMAIN_US 60000.0
#define OTHER_REGION_US 100000.0
/* Entries must agree on the first placement of an object without
 * communication: a hash of object and server adds up to this to the cost. */
#define SPREAD_US 300000.0
/* Cost of each object that the server has cached already, and of its recent
 * utilization. */
#define OBJECT_US 10000.0
#define BUSY_US   150000.0
/* Keeps a lower bound below the rounded sum that it bounds. */
#define ALMOST_ONE (1 - 1e-9)
/* Fixed work per choice, counted as server evaluations. */
#define OWN_LOOKS 40
/* An object gets a further placement at a server with a recent utilization
 * below this. */
#define IDLE_BELOW 0.35

static bool
was_tried(const GwRequest *req, const GwServer *s)
{
    for (uint32_t i = 0; i < req->tried_count; i++) {
        if (req->tried[i] == s) {
            return true;
        }
    }
    return false;
}

static bool
count_panic(const GwServiceState *service, int64_t now_us)
{
    guint ejected = 0;

    for (guint i = 0; i < service->servers->len; i++) {
        const GwServer *s = service->servers->pdata[i];
        ejected += now_us < s->eject_until_us;
    }
    return (double)ejected > PANIC_SHARE * (double)service->servers->len;
}

/* Recomputed at intervals: a request must not cost a scan of every server of a
 * large service. */
static bool
is_panic(GwServiceState *service, int64_t now_us)
{
    if (now_us - service->panic_at_us >= PANIC_EVERY_US) {
        service->panic_at_us = now_us;
        service->panic = count_panic(service, now_us);
    }
    return service->panic;
}

typedef struct {
    GwRouter *r;
    GwRequest *req;
    int64_t now_us;
    bool panic;
    GwDriftSide side;
} Look;

/* The set is mostly empty, and a lookup hashes the name. */
static bool
is_evacuated(const GwRouter *r, const GwServer *s)
{
    return g_hash_table_size(r->evacuated) > 0 &&
           g_hash_table_contains(r->evacuated, s->domain);
}

static bool
may_take(const Look *look, GwServer *s)
{
    GwRouter *r = look->r;

    /* A placement of the object may belong to another service: reports name
     * objects by hash only, and a route may have moved. The request would then
     * be answered by a service that it was never sent to. */
    if (s->service != look->req->service || s->draining || !s->listed ||
        s->slots == 0 || is_evacuated(r, s) ||
        (look->side == GW_DRIFT_NEAR && !s->same_region) ||
        (look->side == GW_DRIFT_FAR && s->same_region) ||
        !GwRoute_AllowsRegion(look->req->route, s->path->region) ||
        was_tried(look->req, s) ||
        (!look->panic && look->now_us < s->eject_until_us)) {
        return false;
    }
    if (GwServer_IsLimited(s) && !GwRouter_FeedsLimited(r, s, look->now_us)) {
        return false;
    }
    return !GwServer_IsCold(s, look->now_us) ||
           GwRouter_FeedsCold(r, s, look->now_us);
}

double
GwServer_Occupied(const GwRouter *r, const GwServer *s, int64_t now_us)
{
    double known = GwServer_InSlots(r, s);
    double reported = s->load_running + s->load_waiting;

    if (now_us - s->load_at_us < LOAD_FRESH_US && s->load_waiting > 0) {
        known = MAX(known, reported);
    }
    return known + s->claims;
}

bool
GwServer_HasRoom(const GwRouter *r, const GwServer *s, int64_t now_us)
{
    return GwServer_Occupied(r, s, now_us) < s->slots + GW_SLOTS_AHEAD &&
           GwServer_LimitWaitUs(s, now_us) <= 0;
}

static double
distance_us(const GwServer *s)
{
    return s->same_domain   ? 0
           : s->same_region ? OTHER_DOMAIN_US
                            : OTHER_REGION_US;
}

typedef struct {
    GwServer *server; /* NULL: none found */
    double wait_us;   /* until a slot is free */
    double est_us;
    double cost_us;
    bool is_free;
    int64_t last_slot_us;
} Candidate;

static Candidate
judge(const Look *look, GwServer *s, double work_us)
{
    double busy = GwServer_Occupied(look->r, s, look->now_us);
    double limit = s->slots + GW_SLOTS_AHEAD;
    double wait = GwServer_LimitWaitUs(s, look->now_us);
    bool is_free = busy < limit && wait <= 0;

    if (busy >= limit) {
        double slot_us = (busy - limit + 1) * s->service->work_us * s->slow /
                         (double)s->slots;
        wait = MAX(wait, slot_us);
    }
    if (GwServer_IsCold(s, look->now_us)) {
        work_us *= 2;
    }
    Candidate c = {.server = s, .wait_us = wait, .is_free = is_free};
    c.est_us = s->path->rtt_us + wait + work_us * s->slow;
    c.cost_us = c.est_us + distance_us(s);
    c.last_slot_us =
        GwRouter_LastSlotUs(look->r, look->req, s, work_us * s->slow);
    return c;
}

/* During a stop, a server at which the request could not end in time is no
 * candidate. */
static void
keep_better(const Look *look, Candidate *best, const Candidate *c)
{
    if (look->now_us + (int64_t)c->wait_us > c->last_slot_us) {
        return;
    }
    if (best->server == NULL || c->cost_us < best->cost_us) {
        *best = *c;
    }
}

/* The best placement of the object. Includes placements whose first run is
 * still in progress: excluding them until that run has ended performs worse. */
static Candidate
best_place(const Look *look)
{
    GwRequest *req = look->req;
    Candidate best = {0};

    bool uses_places = req->key != NULL && !req->is_suspect;

    for (int i = 0; uses_places && i < GW_KEY_SERVERS; i++) {
        GwServer *s = req->key->at[i].server;
        if (s != NULL && may_take(look, s)) {
            Candidate c = judge(look, s, req->state->warm_us);
            keep_better(look, &best, &c);
        }
    }
    return best;
}

/* The part of SPREAD_US for this object at this server. Suspects that ran
 * together on a server when it crashed are spread over different servers, so
 * that the next crash tells them apart. */
static double
spread_of(const GwRequest *req, const GwServer *s)
{
    if (req->key == NULL && !req->is_suspect) {
        return 0;
    }
    uint64_t hash = req->is_suspect ? req->fingerprint.hi : req->key->hash;
    uint64_t mix = (hash ^ s->hash) * 0x9e3779b97f4a7c15ULL;
    mix ^= mix >> 32;
    mix *= 0xd6e8feb86659fd93ULL;
    return SPREAD_US * (double)(mix >> 11) * 0x1p-53;
}

/* Lower bound of the cost at this server: a slot is free and the server was
 * idle. The terms are added in the same order as in `judge` and `best_new`, so
 * that rounding can't put the bound above the cost. */
static double
least_cost_us(const Look *look, const GwServer *s, double extra_us)
{
    double est_us = s->path->rtt_us + look->req->state->cold_us * s->slow;

    return est_us + distance_us(s) + extra_us;
}

/* Lower bound of the utilization term: the mean lies between the old mean and
 * the current utilization. */
static double
least_busy_us(const Look *look, const GwServer *s)
{
    double now = GwServer_InSlots(look->r, s) / (double)MAX(s->slots, 1);

    return BUSY_US * MIN(s->busy, now) * ALMOST_ONE;
}

/* The best server that is not yet a placement of the object. A service may
 * have a thousand servers, and an entry may have a tenth of a core: servers
 * that can't be better than the best so far are skipped after a few
 * additions. */
static Candidate
best_new(const Look *look)
{
    GwRequest *req = look->req;
    GPtrArray *servers = req->service->servers;
    Candidate best = {0};

    look->r->looks += servers->len;
    for (guint i = 0; i < servers->len; i++) {
        GwServer *s = servers->pdata[i];
        double extra_us = spread_of(req, s) + OBJECT_US * s->objects;
        /* Cold servers are never skipped: the check refills their tokens. */
        if (best.server != NULL && !GwServer_IsCold(s, look->now_us)) {
            double least_us = least_cost_us(look, s, extra_us);
            if (least_us >= best.cost_us ||
                least_us + least_busy_us(look, s) >= best.cost_us) {
                continue;
            }
        }
        if (!may_take(look, s) ||
            (req->key != NULL && GwKey_At(req->key, s) != NULL)) {
            continue;
        }
        Candidate c = judge(look, s, req->state->cold_us);
        c.cost_us +=
            extra_us + BUSY_US * GwServer_Busy(look->r, s, look->now_us);
        keep_better(look, &best, &c);
    }
    return best;
}

static bool
is_in_time(const Look *look, const Candidate *c)
{
    return look->now_us + (int64_t)c->est_us <= look->req->aim_us;
}

static bool
has_idle(const Look *look, const Candidate *c, double below)
{
    return c->server != NULL && c->is_free &&
           GwServer_Busy(look->r, c->server, look->now_us) < below;
}

static GwChoice
choice_of(const Look *look, const Candidate *c)
{
    return (GwChoice){
        .server = c->server,
        .ready = c->is_free,
        .in_time = c->server != NULL && is_in_time(look, c),
        .est_us = c->est_us,
        .wait_us = c->wait_us,
        .last_slot_us = c->last_slot_us,
    };
}

/* The best server without regard to the share of cross-region requests. */
static GwChoice
choose_one(Look *look)
{
    GwServer *unheard =
        GwRouter_UnheardLimited(look->r, look->now_us, look->req->service);

    if (unheard != NULL && may_take(look, unheard)) {
        Candidate c = judge(look, unheard, look->req->state->cold_us);
        Candidate best = {0};
        keep_better(look, &best, &c);
        if (best.server != NULL) {
            return choice_of(look, &best);
        }
    }
    Candidate place = best_place(look);

    if (place.server == NULL) {
        Candidate fresh = best_new(look);
        return choice_of(look, &fresh);
    }
    if (!place.is_free && !is_in_time(look, &place)) {
        Candidate fresh = best_new(look);
        if (has_idle(look, &fresh, IDLE_BELOW)) {
            return choice_of(look, &fresh);
        }
    }
    GwChoice c = choice_of(look, &place);
    c.is_place = true;
    return c;
}

/* Returns whether the route names the regions of its servers. */
static bool
is_forced(const GwRequest *req)
{
    return req->route->home_count > 0;
}

GwChoice
GwRouter_Choose(GwRouter *r, int64_t now_us, GwRequest *req)
{
    Look look = {
        .r = r,
        .req = req,
        .now_us = now_us,
        .panic = is_panic(req->service, now_us),
    };
    r->looks += OWN_LOOKS;
    GwChoice c = choose_one(&look);
    GwDriftSide side = GwRouter_DriftSide(r, now_us);

    c.wants_far = c.server != NULL && !c.server->same_region;
    if (c.server == NULL || side == GW_DRIFT_ANY || is_forced(req) ||
        c.wants_far == (side == GW_DRIFT_FAR)) {
        return c;
    }
    look.side = side;
    GwChoice other = choose_one(&look);
    other.wants_far = c.wants_far;
    /* The limit on the cross-region share never causes a refusal: without a
     * server on the required side the first choice stands. A request is not
     * moved to another region for the share's sake if it would be late there
     * or would be a cold run. */
    if (other.server == NULL) {
        return c;
    }
    if (side == GW_DRIFT_FAR && !GwRouter_DriftStarts(r, now_us) &&
        (!other.in_time || !other.ready ||
         (req->key != NULL && GwKey_At(req->key, other.server) == NULL))) {
        return c;
    }
    return other;
}
