/* Chooses the backend server for a request.
 *
 * A server that recently handled an object runs the next request for it in
 * about 0.3 of the time, and caches some tens of objects. Each object
 * therefore has a few placements, servers to which its requests go: at full
 * load the same slots carry three times as much as with requests spread
 * evenly. Once spread, requests stay spread, since every run is then a cold
 * run. A request waits for a placement of its object as long as the answer
 * still meets the objective; an object gets a further placement only where
 * slots are idle, and only one at a time. */
#include "router/decisions.h"

#include <string.h>

/* For this long a load report takes precedence over the local count. */
#define LOAD_REPORT_LIFE_US 60000
/* With a larger share of a service's servers ejected, the failures probably
 * have a common cause outside of the servers: ejection is ignored. */
#define PANIC_SHARE       0.5
#define PANIC_INTERVAL_US 20000
/* Cost, as time, of a server in another failure domain or region: traffic
 * between them is paid for, and each later request for an object placed in
 * another region takes the longer round trip. */
#define CROSS_DOMAIN_COST_US 60000.0
#define CROSS_REGION_COST_US 100000.0
/* Maximum cost added by a hash of object and server, by which entries agree on
 * the first placement of an object without communication. */
#define HASH_SPREAD_COST_US 300000.0
/* Cost of each object that the server has cached already, and of its recent
 * utilization. */
#define OBJECT_COST_US      10000.0
#define UTILIZATION_COST_US 150000.0
/* Keeps a lower bound below the rounded sum that it bounds. */
#define ALMOST_ONE (1 - 1e-9)
/* Fixed work per choice, counted as server evaluations. */
#define FIXED_EVALUATIONS 40
/* An object gets a further placement at a server with a recent utilization
 * below this. */
#define IDLE_UTILIZATION_MAX 0.35

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
has_panic_share(const GwServiceState *service, int64_t now_us)
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
    if (now_us - service->panic_at_us >= PANIC_INTERVAL_US) {
        service->panic_at_us = now_us;
        service->panic = has_panic_share(service, now_us);
    }
    return service->panic;
}

typedef struct {
    GwRouter *r;
    GwRequest *req;
    int64_t now_us;
    bool panic;
    GwRegionRule region_rule;
} Search;

/* The set is mostly empty, and a lookup hashes the name. */
static bool
is_evacuated(const GwRouter *r, const GwServer *s)
{
    return g_hash_table_size(r->evacuated) > 0 &&
           g_hash_table_contains(r->evacuated, s->domain);
}

const char *
GwIneligible_Name(GwIneligible why)
{
    static const char *const names[] = {
        [GW_ELIGIBLE] = "",
        [GW_INELIGIBLE_SERVICE] = "other-service",
        [GW_INELIGIBLE_LEAVING] = "leaving",
        [GW_INELIGIBLE_UNLISTED] = "unlisted",
        [GW_INELIGIBLE_EVACUATED] = "evacuated",
        [GW_INELIGIBLE_REGION_SHARE] = "region-share",
        [GW_INELIGIBLE_HOMES] = "homes",
        [GW_INELIGIBLE_TRIED] = "tried",
        [GW_INELIGIBLE_UNREACHED] = "unreached",
        [GW_INELIGIBLE_EJECTED] = "ejected",
        [GW_INELIGIBLE_LIMITED] = "limited",
        [GW_INELIGIBLE_COLD] = "cold",
    };

    return names[why];
}

static GwIneligible
why_ineligible(const Search *search, GwServer *s)
{
    GwRouter *r = search->r;

    /* A placement of the object may belong to another service: reports name
     * objects by hash only, and a route may have been moved to another
     * service. The wrong service would then answer the request. */
    if (s->service != search->req->service) {
        return GW_INELIGIBLE_SERVICE;
    }
    if (s->start->is_leaving) {
        return GW_INELIGIBLE_LEAVING;
    }
    if (!s->listed || s->slots == 0) {
        return GW_INELIGIBLE_UNLISTED;
    }
    if (is_evacuated(r, s)) {
        return GW_INELIGIBLE_EVACUATED;
    }
    if ((search->region_rule == GW_REGIONS_LOCAL && !s->same_region) ||
        (search->region_rule == GW_REGIONS_REMOTE && s->same_region)) {
        return GW_INELIGIBLE_REGION_SHARE;
    }
    if (!GwRequest_AllowsRegion(search->req, s->path->region)) {
        return GW_INELIGIBLE_HOMES;
    }
    if (was_tried(search->req, s)) {
        return GW_INELIGIBLE_TRIED;
    }
    if (!GwServer_MayConnect(s) && !GwServer_StillAnswers(s)) {
        return GW_INELIGIBLE_UNREACHED;
    }
    if (!search->panic && search->now_us < s->eject_until_us) {
        return GW_INELIGIBLE_EJECTED;
    }
    if (GwServer_IsLimited(s) &&
        !GwRouter_HasLimitShare(r, s, search->now_us)) {
        return GW_INELIGIBLE_LIMITED;
    }
    if (GwServer_IsCold(s, search->now_us) &&
        !GwRouter_HasColdToken(r, s, search->now_us)) {
        return GW_INELIGIBLE_COLD;
    }
    return GW_ELIGIBLE;
}

static bool
is_eligible(const Search *search, GwServer *s)
{
    return why_ineligible(search, s) == GW_ELIGIBLE;
}

double
GwServer_Load(const GwRouter *r, const GwServer *s, int64_t now_us)
{
    double known = GwServer_SlotsInUse(r, s);
    double reported = s->load_running + s->load_waiting;

    if (now_us - s->load_at_us < LOAD_REPORT_LIFE_US && s->load_waiting > 0) {
        known = MAX(known, reported);
    }
    return known + s->reservations;
}

bool
GwServer_HasCapacity(const GwRouter *r, const GwServer *s, int64_t now_us)
{
    return GwServer_Load(r, s, now_us) < s->slots + GW_SLOTS_AHEAD &&
           GwServer_SendWaitUs(s, now_us) <= 0 && GwServer_HasTrialSlot(s);
}

static double
distance_cost_us(const GwServer *s)
{
    return s->same_domain   ? 0
           : s->same_region ? CROSS_DOMAIN_COST_US
                            : CROSS_REGION_COST_US;
}

typedef struct {
    GwServer *server; /* NULL: none found */
    double wait_us;   /* until a slot is free */
    double est_us;
    double cost_us;
    bool has_free_slot;
    /* The answer would be late, and the server is not idle: an idle one of
     * this region is better. */
    bool is_last_resort;
    int64_t last_slot_us;
} Candidate;

static bool
is_in_time(const Search *search, double est_us)
{
    return search->now_us + (int64_t)est_us <= search->req->objective_end_us;
}

static bool
is_idle_nearby(const Search *search, const GwServer *s)
{
    return s->same_region &&
           GwServer_Utilization(search->r, s, search->now_us) <
               IDLE_UTILIZATION_MAX;
}

static Candidate
evaluate(const Search *search, GwServer *s, double work_us)
{
    double load = GwServer_Load(search->r, s, search->now_us);
    double limit = s->slots + GW_SLOTS_AHEAD;
    double wait = GwServer_SendWaitUs(s, search->now_us);
    double run_us = s->service->work_us * s->slowdown;
    bool has_trial_slot = GwServer_HasTrialSlot(s);
    bool has_free_slot = load < limit && wait <= 0 && has_trial_slot;

    if (load >= limit) {
        wait = MAX(wait, (load - limit + 1) * run_us / (double)s->slots);
    }
    if (!has_trial_slot) {
        wait = MAX(wait, run_us);
    }
    if (GwServer_IsCold(s, search->now_us)) {
        work_us *= 2;
    }
    Candidate c = {
        .server = s, .wait_us = wait, .has_free_slot = has_free_slot};
    c.est_us = s->path->rtt_us + wait + work_us * s->slowdown;
    c.is_last_resort = !is_in_time(search, c.est_us) &&
                       !(has_free_slot && is_idle_nearby(search, s));
    c.cost_us = c.est_us + distance_cost_us(s);
    c.last_slot_us =
        GwRouter_LastSlotUs(search->r, search->req, s, work_us * s->slowdown);
    return c;
}

static bool
is_better(const Candidate *c, const Candidate *than)
{
    if (c->is_last_resort != than->is_last_resort) {
        return than->is_last_resort;
    }
    return c->cost_us < than->cost_us;
}

/* During a stop, a server at which the request could not end in time is no
 * candidate. */
static void
update_best(const Search *search, Candidate *best, const Candidate *c)
{
    if (search->now_us + (int64_t)c->wait_us > c->last_slot_us) {
        return;
    }
    if (best->server == NULL || is_better(c, best)) {
        *best = *c;
    }
}

/* Returns the best placement of the object. Placements whose first run is
 * still in progress count as well: excluding them performs worse. */
static Candidate
best_placement(const Search *search)
{
    GwRequest *req = search->req;
    Candidate best = {0};

    bool uses_placements = req->key != NULL && !req->is_suspect;

    for (int i = 0; uses_placements && i < GW_KEY_PLACEMENTS_MAX; i++) {
        GwServer *s = req->key->placements[i].server;
        if (s != NULL && is_eligible(search, s)) {
            Candidate c = evaluate(search, s, req->state->warm_us);
            update_best(search, &best, &c);
        }
    }
    return best;
}

/* The part of HASH_SPREAD_COST_US for this object at this server. Suspects
 * that ran together on a server when it crashed are spread over different
 * servers, so that the next crash shows which of them caused it. */
static double
hash_spread_cost_us(const GwRequest *req, const GwServer *s)
{
    if (req->key == NULL && !req->is_suspect) {
        return 0;
    }
    uint64_t hash = req->is_suspect ? req->fingerprint.hi : req->key->hash;
    uint64_t mix = (hash ^ s->hash) * 0x9e3779b97f4a7c15ULL;
    mix ^= mix >> 32;
    mix *= 0xd6e8feb86659fd93ULL;
    return HASH_SPREAD_COST_US * (double)(mix >> 11) * 0x1p-53;
}

/* Lower bound of the cost at this server: a slot is free and the server was
 * idle. The terms are added in the same order as in `evaluate` and `best_new`,
 * so that rounding can't put the bound above the cost. */
static double
cost_lower_bound_us(const Search *search, const GwServer *s, double extra_us)
{
    double est_us =
        s->path->rtt_us + search->req->state->cold_us * s->slowdown;

    return est_us + distance_cost_us(s) + extra_us;
}

/* Lower bound of the utilization: the mean lies between the old mean and the
 * current value. */
static double
utilization_lower_bound(const Search *search, const GwServer *s)
{
    double now = GwServer_SlotsInUse(search->r, s) / (double)MAX(s->slots, 1);

    return MIN(s->utilization, now) * ALMOST_ONE;
}

static double
utilization_lower_bound_us(const Search *search, const GwServer *s)
{
    return UTILIZATION_COST_US * utilization_lower_bound(search, s);
}

/* Whether the server may turn out to be better than any last resort. */
static bool
may_be_preferred(const Search *search, const GwServer *s)
{
    double est_us =
        s->path->rtt_us + search->req->state->cold_us * s->slowdown;

    return is_in_time(search, est_us) ||
           (s->same_region &&
            utilization_lower_bound(search, s) < IDLE_UTILIZATION_MAX);
}

/* A server that is not yet a placement of the object. */
static Candidate
evaluate_new(const Search *search, GwServer *s, double extra_us)
{
    Candidate c = evaluate(search, s, search->req->state->cold_us);

    c.cost_us +=
        extra_us + UTILIZATION_COST_US *
                       GwServer_Utilization(search->r, s, search->now_us);
    return c;
}

static double
new_placement_cost_us(const GwRequest *req, const GwServer *s)
{
    return hash_spread_cost_us(req, s) + OBJECT_COST_US * s->objects;
}

/* The best server that is not yet a placement of the object. A service may
 * have a thousand servers, and an entry may have a tenth of a core: servers
 * that can't be better than the best so far are skipped after a few
 * additions. */
static Candidate
best_new(const Search *search)
{
    GwRequest *req = search->req;
    GPtrArray *servers = req->service->servers;
    Candidate best = {0};

    search->r->evaluations += servers->len;
    for (guint i = 0; i < servers->len; i++) {
        GwServer *s = servers->pdata[i];
        double extra_us = new_placement_cost_us(req, s);
        /* Cold servers are never skipped: the check refills their tokens. */
        if (best.server != NULL &&
            (!best.is_last_resort || !may_be_preferred(search, s)) &&
            !GwServer_IsCold(s, search->now_us)) {
            double bound_us = cost_lower_bound_us(search, s, extra_us);
            if (bound_us >= best.cost_us ||
                bound_us + utilization_lower_bound_us(search, s) >=
                    best.cost_us) {
                continue;
            }
        }
        if (!is_eligible(search, s) ||
            (req->key != NULL && GwKey_FindPlacement(req->key, s) != NULL)) {
            continue;
        }
        Candidate c = evaluate_new(search, s, extra_us);
        update_best(search, &best, &c);
    }
    return best;
}

static bool
is_idle_below(const Search *search, const Candidate *c, double below)
{
    return c->server != NULL && c->has_free_slot &&
           GwServer_Utilization(search->r, c->server, search->now_us) < below;
}

static GwChoice
choice_of(const Search *search, const Candidate *c)
{
    return (GwChoice){
        .server = c->server,
        .has_free_slot = c->has_free_slot,
        .in_time = c->server != NULL && is_in_time(search, c->est_us),
        .est_us = c->est_us,
        .wait_us = c->wait_us,
        .last_slot_us = c->last_slot_us,
    };
}

/* Whether the request goes to a server that is no placement of its object,
 * though it has one, where it would wait and be late. */
static bool
leaves_placement(const Search *search, const Candidate *place,
                 const Candidate *fresh)
{
    if (fresh->server != NULL &&
        GwServer_IsResting(place->server, search->now_us)) {
        return is_better(fresh, place);
    }
    return is_idle_below(search, fresh, IDLE_UTILIZATION_MAX);
}

/* The best server without regard to the share of cross-region requests. */
static GwChoice
choose_server(Search *search)
{
    GwServer *stale = GwRouter_FindStaleLimited(search->r, search->now_us,
                                                search->req->service);

    if (stale != NULL && is_eligible(search, stale)) {
        Candidate c = evaluate(search, stale, search->req->state->cold_us);
        Candidate best = {0};
        update_best(search, &best, &c);
        if (best.server != NULL) {
            return choice_of(search, &best);
        }
    }
    Candidate place = best_placement(search);

    if (place.server == NULL) {
        Candidate fresh = best_new(search);
        return choice_of(search, &fresh);
    }
    if (!place.has_free_slot && !is_in_time(search, place.est_us)) {
        Candidate fresh = best_new(search);
        if (leaves_placement(search, &place, &fresh)) {
            return choice_of(search, &fresh);
        }
    }
    GwChoice c = choice_of(search, &place);
    c.is_placement = true;
    return c;
}

GwChoice
GwRouter_Choose(GwRouter *r, int64_t now_us, GwRequest *req)
{
    Search search = {
        .r = r,
        .req = req,
        .now_us = now_us,
        .panic = is_panic(req->service, now_us),
    };
    r->evaluations += FIXED_EVALUATIONS;
    GwChoice c = choose_server(&search);
    GwRegionRule rule = GwRouter_RegionRule(r, now_us);

    c.prefers_remote = c.server != NULL && !c.server->same_region;
    if (c.server == NULL || rule == GW_REGIONS_ALL ||
        GwRequest_IsRegionBound(req) ||
        c.prefers_remote == (rule == GW_REGIONS_REMOTE)) {
        return c;
    }
    search.region_rule = rule;
    GwChoice other = choose_server(&search);
    other.prefers_remote = c.prefers_remote;
    /* The limit on the cross-region share never causes a refusal: if no server
     * satisfies the rule, the first choice is used. After the start phase,
     * a request is not moved to another region for the sake of the share if it
     * would wait, be late or run cold there. */
    if (other.server == NULL) {
        return c;
    }
    if (rule == GW_REGIONS_REMOTE && !GwRouter_IsStartPhase(r, now_us) &&
        (!other.in_time || !other.has_free_slot ||
         (req->key != NULL &&
          GwKey_FindPlacement(req->key, other.server) == NULL))) {
        return c;
    }
    return other;
}

/* Evaluates each server as GwRouter_Choose does without a rule on regions. */
void
GwRouter_EachCandidate(GwRouter *r, int64_t now_us, GwRequest *req,
                       void (*visit)(void *ctx,
                                     const GwCandidateView *candidate),
                       void *ctx)
{
    Search search = {.r = r, .req = req, .now_us = now_us};

    search.panic = is_panic(req->service, now_us);
    for (guint i = 0; i < req->service->servers->len; i++) {
        GwServer *s = req->service->servers->pdata[i];
        GwCandidateView view = {
            .server = s,
            .why = why_ineligible(&search, s),
            .is_placement = req->key != NULL && !req->is_suspect &&
                            GwKey_FindPlacement(req->key, s) != NULL,
            .load = GwServer_Load(r, s, now_us),
        };
        Candidate c =
            view.is_placement
                ? evaluate(&search, s, req->state->warm_us)
                : evaluate_new(&search, s, new_placement_cost_us(req, s));
        view.wait_us = c.wait_us;
        view.est_us = c.est_us;
        view.cost_us = c.cost_us;
        visit(ctx, &view);
    }
}
