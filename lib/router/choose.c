/* Which backend server a request should go to.
 *
 * A server that lately handled an object runs the next request for it in
 * about 0.3 of the time, and remembers some tens of objects. So each object
 * has a few servers, its places, and its requests go there: at full load the
 * same slots carry three times as much as when requests are spread, and once
 * spread, they stay spread, since every run is a cold one. A request waits for
 * a place of its object as long as the answer still comes in time; an object
 * gets a further place only where slots are idle, one at a time. */
#include "router/router_internal.h"

#include <string.h>

/* The weights below were tried on the users' days; docs/MEASURES.md has the
 * worth of each. */

/* A report on an answer outranks our own count for this long. */
#define LOAD_FRESH_US 60000
/* With so many of a service's servers ejected the failures are not theirs:
 * all are tried again. */
#define PANIC_SHARE    0.5
#define PANIC_EVERY_US 20000
/* What it is worth to stay within the failure domain and within the region,
 * as time: bytes across are paid for, and an object that once went to another
 * region costs its round trip from then on. */
#define OTHER_DOMAIN_US 60000.0
#define OTHER_REGION_US 100000.0
/* Of servers that could be an object's first place, all entries should pick
 * the same one: a hash of both is worth up to this. */
#define SPREAD_US 300000.0
/* Servers that remember many objects already, or were busy lately, are worse
 * for one more. */
#define OBJECT_US 10000.0
#define BUSY_US   150000.0
/* Keeps a lower bound below what rounding makes of the sum that it bounds. */
#define ALMOST_ONE (1 - 1e-9)
/* What a judgement takes besides its search, in looks at servers. */
#define OWN_LOOKS 40
/* A further place is made where the server was less busy than this lately. */
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

/* Counted anew only now and then: a request must not cost a look at every
 * server of a large service. */
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

/* There is mostly none at all, and a look-up hashes the name. */
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

    /* A place of the object may be of another service: reports name objects
     * by hash only, and a route may have moved. Run there, the request would
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
    GwServer *server; /* NULL: there is none */
    double wait_us;   /* until a slot is free for it */
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

/* Where the entry stops, a server at which the request could not end in time is
 * none; another one may be free. */
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

/* The best of the object's places, also where its first run is still under way:
 * to wait for the end of that run was worth -0.001 to -0.013 of a day. */
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

/* The part of `SPREAD_US` that this object meets at this server. Suspects that
 * ran on the same server when it crashed part here: the next crash tells them
 * apart. */
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

/* What the object's work would cost there if a slot were free and the server
 * had been idle: the real cost is never less. In the same order of terms as
 * `judge` and `best_new` have, so that rounding can't turn it around. */
static double
least_cost_us(const Look *look, const GwServer *s, double extra_us)
{
    double est_us = s->path->rtt_us + look->req->state->cold_us * s->slow;

    return est_us + distance_us(s) + extra_us;
}

/* The same with what it has to do now: the mean lies between what is in its
 * slots and what the mean was. */
static double
least_busy_us(const Look *look, const GwServer *s)
{
    double now = GwServer_InSlots(look->r, s) / (double)MAX(s->slots, 1);

    return BUSY_US * MIN(s->busy, now) * ALMOST_ONE;
}

/* The best server that is no place of the object yet. A service may have a
 * thousand: those that can't be better than the best so far are told by a few
 * additions, or an entry with a tenth of a core spends it here. */
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
        /* A cold one is looked at in any case: that fills its tokens. */
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

/* The best server without a look at how much traffic moves. */
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

/* Whether all that may take the request is in the region, or all outside. */
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
    /* Where nobody in the region could take it at all, it is not the limit's
     * to refuse. And nothing goes abroad for the sake of the share that would
     * not arrive in time there, or be a cold run. */
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
