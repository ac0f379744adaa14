/* Which backend server a request should go to.
 *
 * Each candidate is judged by the time at which its answer would be back:
 * round trip, wait for a slot, and the work, which is short where the object
 * is warm. A cold run is charged more than its own time, since it takes slot
 * time from others. Warm work at a distance beats cold work nearby, and a
 * short wait for a warm server beats both. */
#include "router/router_internal.h"

#include <string.h>

/* A report on an answer outranks our own count for this long. */
#define LOAD_FRESH_US 60000
/* Requests sent to a far server beyond its free slots, so that one is there
 * when a slot becomes free and not a round trip later. */
#define FAR_AHEAD 1
/* With so many of a service's servers ejected the failures are not theirs:
 * all are tried again. */
#define PANIC_SHARE 0.5

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
may_take(GwRouter *r, const GwRequest *req, const GwServer *s)
{
    return !s->draining && s->slots > 0 &&
           !g_hash_table_contains(r->evacuated, s->domain) &&
           GwRoute_AllowsRegion(req->route, s->region) && !was_tried(req, s);
}

static bool
is_panic(const GwServiceState *service, int64_t now_us)
{
    guint ejected = 0;

    for (guint i = 0; i < service->servers->len; i++) {
        const GwServer *s = service->servers->pdata[i];
        ejected += now_us < s->eject_until_us;
    }
    return (double)ejected > PANIC_SHARE * (double)service->servers->len;
}

/* Requests at the server and on their way there, as far as is known. */
static uint32_t
busy_at(const GwServer *s, int64_t now_us)
{
    uint32_t known = s->in_flight + s->peers_in_flight;
    uint32_t reported = s->load_running + s->load_waiting;

    if (now_us - s->load_at_us < LOAD_FRESH_US && s->load_waiting > 0) {
        return MAX(known, reported);
    }
    return known;
}

typedef struct {
    GwServer *server;
    double est_us;
    double cost_us;
    bool is_free;
} Candidate;

/* The part of `GW_SPREAD_US` that this object meets at this server. */
static double
spread_of(const GwRequest *req, const GwServer *s)
{
    if (req->key == NULL) {
        return 0;
    }
    uint64_t mix = (req->key->hash ^ s->hash) * 0x9e3779b97f4a7c15ULL;
    mix ^= mix >> 32;
    mix *= 0xd6e8feb86659fd93ULL;
    return (double)GW_SPREAD_US * (double)(mix >> 11) * 0x1p-53;
}

static Candidate
judge(GwRouter *r, int64_t now_us, GwRequest *req, GwServer *s)
{
    Candidate c = {.server = s};
    GwKeyServer *at = req->key != NULL ? GwKey_At(req->key, s) : NULL;
    bool warm = at != NULL && (at->used_us == 0 ||
                               now_us - at->used_us < GW_WARM_KEEP_US);
    double rtt = GwRouter_RttUs(r, s);
    double work = (warm ? req->state->warm_us : req->state->cold_us);
    uint32_t busy = busy_at(s, now_us) + s->claims;
    uint32_t limit = s->slots + (s->same_region ? 0 : FAR_AHEAD);
    double wait = 0;

    if (busy >= limit) {
        wait = (double)(busy - limit + 1) * s->service->work_us * s->slow /
               (double)s->slots;
    }
    c.is_free = busy < limit;
    if (warm && at->used_us == 0) {
        /* The first run is still under way: warm from its end. */
        double left = (double)(at->started_us - now_us) +
                      req->state->cold_us * s->slow + rtt;
        if (left > wait) {
            wait = left;
        }
        c.is_free = c.is_free && left <= 0;
    }
    if (GwServer_IsCold(s, now_us)) {
        work *= 2;
    }
    c.est_us = rtt + wait + work * s->slow;
    c.cost_us = c.est_us;
    if (!warm) {
        c.cost_us += GW_COLD_PRICE *
                         (req->state->cold_us - req->state->warm_us) +
                     spread_of(req, s);
    }
    return c;
}

/* An entry without a warm or a free server for a request takes the cheapest
 * that has room, so that the work at least gets done. */
GwChoice
GwRouter_Choose(GwRouter *r, int64_t now_us, GwRequest *req)
{
    GPtrArray *servers = req->service->servers;
    bool panic = is_panic(req->service, now_us);
    Candidate best = {0};
    Candidate free_best = {0};

    for (guint i = 0; i < servers->len; i++) {
        GwServer *s = servers->pdata[i];
        if (!may_take(r, req, s) ||
            (!panic && now_us < s->eject_until_us)) {
            continue;
        }
        if (GwServer_IsCold(s, now_us) &&
            !GwRouter_FeedsCold(r, s, now_us)) {
            continue;
        }
        Candidate c = judge(r, now_us, req, s);
        if (best.server == NULL || c.cost_us < best.cost_us) {
            best = c;
        }
        if (c.is_free && (free_best.server == NULL ||
                          c.cost_us < free_best.cost_us)) {
            free_best = c;
        }
    }
    return (GwChoice){
        .server = best.server,
        .ready = best.is_free,
        .est_us = best.est_us,
        .free_server = free_best.server,
    };
}
