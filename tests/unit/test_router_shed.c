/* Load shedding: which requests an entry refuses while slots are short
 * everywhere, and when their callers come back.
 *
 * A fixture states the shortage: other entries occupy most slots of the
 * region, and the total gives each level the share that a case asks for. */
#include "fakes/edge_entry.h"
#include "fakes/steering.h"
#include "router/decisions.h"

#include <criterion/criterion.h>
#include <math.h>
#include <string.h>

#define CASES(cases) (sizeof(cases) / sizeof((cases)[0]))
#define MS           1000
#define LEFT_MS      1500
#define SLOTS        1000
#define BUSY         900
/* Work that the rule of lib/shortage admits, in ms per second. */
#define CAPACITY_MS (0.95 * SLOTS * 1000)
/* Levels of new objects on the two routes of FakeSteering_Routing, and of
 * objects of /once/ with a run of eight times the length. */
#define ONCE_LEVEL      5
#define AGAIN_LEVEL     6
#define LONG_ONCE_LEVEL 8

static FakeSteering *
start_named(const char *name, GwRouting *routing, bool overload_control)
{
    FakeSteering *f = FakeSteering_Create("r1", "d1");

    GwRouter_Free(f->router);
    f->params.overload_control = overload_control;
    g_strlcpy(f->params.name, name, sizeof(f->params.name));
    f->router = GwRouter_Create(&f->params, f->now_us);
    cr_assert(GwRouter_SetRouting(f->router, routing));
    GwRouting_Unref(routing);
    FakeSteering_PutServer(f, "s1", "r1", "d1", SLOTS);
    return f;
}

static FakeSteering *
start(void)
{
    return start_named("entry", FakeSteering_Routing(1, 3), true);
}

static void
finish(FakeSteering *f)
{
    cr_expect_str_eq(f->broken->str, "");
    FakeSteering_Free(f);
}

static GwRoute *
find_route(GwRouting *routing, const char *name)
{
    GwRoute *route = routing->hosts[0].routes;

    while (strcmp(route->name, name) != 0) {
        route++;
    }
    return route;
}

static GwServiceState *
service_of(const FakeSteering *f)
{
    return g_hash_table_lookup(f->router->services, "s");
}

static uint64_t
shed_count(const FakeSteering *f)
{
    const GwServiceState *service = service_of(f);
    uint64_t count = 0;

    for (uint32_t l = 0; l < GW_SHORTAGE_LEVELS; l++) {
        count += service != NULL ? service->shedding.shed[l] : 0;
    }
    return count;
}

/* States the requests of other entries at the server. */
static void
set_busy(FakeSteering *f, const char *server, uint32_t count)
{
    const GwServer *s = g_hash_table_lookup(f->router->servers, server);

    GwRouter_SetRegionLoad(f->router, f->now_us, s->path->region,
                           GwServer_Hash(s), count);
}

/* States a total in which `level` is admitted by `share`, better levels in
 * full and worse ones not at all. */
static void
put_shortage(FakeSteering *f, uint32_t level, double share)
{
    GwDemand demand = {.service = GwService_Hash("s"),
                       .region = GwService_Hash("r1")};
    double most = UINT32_MAX / 2.0;

    for (uint32_t l = level; l < GW_SHORTAGE_LEVELS; l++) {
        demand.work_ms_per_s[l] = 1;
    }
    demand.work_ms_per_s[level] =
        (uint32_t)(share > 0 ? MIN(CAPACITY_MS / share, most) : most);
    GwShortage_PutTotal(f->router->shortage, f->now_us, 0, &demand, 1);
}

static void
set_short(FakeSteering *f, uint32_t level, double share)
{
    set_busy(f, "s1", BUSY);
    put_shortage(f, level, share);
}

/* A request for an object of its own that ends at once if it is sent. Returns
 * whether it was shed. */
static bool
is_shed(FakeSteering *f, const char *path)
{
    static uint32_t number;
    uint64_t before = shed_count(f);
    char key[16];

    g_snprintf(key, sizeof(key), "%u", number++);
    FakeRequest *req = FakeSteering_Arrive(f, path, key, LEFT_MS);
    bool is_shed = shed_count(f) > before;
    cr_expect(!is_shed || (req->over && req->status == 503));
    if (!req->over) {
        FakeSteering_Disconnect(f, req);
    }
    return is_shed;
}

static GwRouteState *
route_of(FakeSteering *f, const char *path)
{
    (void)is_shed(f, path); /* creates the state */
    return g_hash_table_lookup(f->router->routes, path);
}

/* ---- Levels -------------------------------------------------------------- */

static GwRouting *
routing_with_priority(uint32_t priority)
{
    GwRouting *routing = FakeSteering_Routing(1, 3);

    find_route(routing, "/once/")->priority = priority;
    return routing;
}

/* Guards against: a level that ignores priority, run time, slowdown, lateness
 * or an earlier refusal. Level 5 is 2 to 4 units of value per second. */
Test(router_shed, level_by_priority_run_time_and_objective)
{
    static const struct {
        uint32_t priority;
        bool is_warm;
        bool is_known; /* other servers have the object */
        bool is_late;
        bool is_returning;
        double slowdown;
        uint32_t level;
    } cases[] = {
        {.priority = 1, .is_warm = true, .slowdown = 1, .level = 5},
        {.priority = 0, .is_warm = true, .slowdown = 1, .level = 4},
        {.priority = 3, .is_warm = true, .slowdown = 1, .level = 7},
        /* The first run makes the next ones warm. */
        {.priority = 1, .slowdown = 1, .level = 5},
        {.priority = 1, .is_known = true, .slowdown = 1, .level = 6},
        {.priority = 1, .is_warm = true, .slowdown = 4, .level = 7},
        {.priority = 1,
         .is_warm = true,
         .is_late = true,
         .slowdown = 1,
         .level = 7},
        {.priority = 3,
         .is_warm = true,
         .is_returning = true,
         .slowdown = 1,
         .level = 5},
        {.priority = 0,
         .is_warm = true,
         .is_returning = true,
         .slowdown = 0.5,
         .level = 1},
        {.priority = 64, .is_warm = true, .slowdown = 1, .level = 15},
        {.priority = 999999999, .slowdown = 16, .level = 15},
        {.priority = 999999999,
         .is_returning = true,
         .slowdown = 16,
         .level = 13},
    };

    for (size_t i = 0; i < CASES(cases); i++) {
        FakeSteering *f = start_named(
            "entry", routing_with_priority(cases[i].priority), true);
        GwServer *s = g_hash_table_lookup(f->router->servers, "s1");
        GwServer other = {0};
        GwKey key = {0};
        GwRouteState state = {.warm_us = 144000, .cold_us = 400000};
        GwRequest req = {
            .service = service_of(f),
            .state = &state,
            .key = &key,
            .priority = cases[i].priority,
            .is_returning = cases[i].is_returning,
            .server_deadline_us = INT64_MAX,
            .objective_end_us = f->now_us + 500 * MS,
        };
        GwChoice c = {.server = s,
                      .has_free_slot = true,
                      .is_placement = cases[i].is_warm,
                      .in_time = !cases[i].is_late};
        key.placements[0].server = cases[i].is_warm    ? s
                                   : cases[i].is_known ? &other
                                                       : NULL;
        s->slowdown = cases[i].slowdown;
        cr_expect_not(GwRequest_IsShed(f->router, f->now_us, &req, &c));
        cr_expect_eq(req.level, cases[i].level, "case %zu: level %u", i,
                     req.level);
        finish(f);
    }
}

/* ---- Shares -------------------------------------------------------------- */

/* Guards against: a share admitted that differs from the one that the total
 * allows. */
Test(router_shed, shares_are_kept)
{
    static const double shares[] = {0.02, 0.1, 0.25, 0.5, 0.75, 0.9, 1};

    for (size_t i = 0; i < CASES(shares); i++) {
        FakeSteering *f = start();
        int admitted = 0;
        set_short(f, ONCE_LEVEL, shares[i]);
        for (int k = 0; k < 400; k++) {
            admitted += !is_shed(f, "/once/");
        }
        cr_expect(fabs(admitted - 400 * shares[i]) <= 2, "%.2f: %d", shares[i],
                  admitted);
        finish(f);
    }
}

/* Guards against: entries with a request or two refuse too many, since each of
 * them begins with a refusal; or all decide alike. */
Test(router_shed, many_entries_with_few_requests_keep_the_share)
{
    static const struct {
        double share;
        int requests; /* of each entry */
    } cases[] = {{0.9, 1}, {0.9, 2}, {0.5, 1}, {0.5, 3}, {0.1, 1}, {0.1, 3}};

    for (size_t i = 0; i < CASES(cases); i++) {
        int admitted = 0;
        for (int entry = 0; entry < 200; entry++) {
            char name[16];
            g_snprintf(name, sizeof(name), "entry-%d", entry);
            FakeSteering *f =
                start_named(name, FakeSteering_Routing(1, 3), true);
            set_short(f, ONCE_LEVEL, cases[i].share);
            for (int k = 0; k < cases[i].requests; k++) {
                admitted += !is_shed(f, "/once/");
            }
            finish(f);
        }
        double share = admitted / 200.0 / cases[i].requests;
        cr_expect(fabs(share - cases[i].share) <= 0.1, "case %zu: %.2f", i,
                  share);
    }
}

/* Guards against: an admission that a share allowed long ago, or a refusal
 * owed, carries over into a later shortage. */
Test(router_shed, a_change_of_the_share_takes_effect_at_once)
{
    static const struct {
        double from;
        double to;
    } cases[] = {{1, 0.2}, {0.9, 0.1}, {0.1, 0.9}, {0.02, 1}, {0.5, 0.5}};

    for (size_t i = 0; i < CASES(cases); i++) {
        FakeSteering *f = start();
        int admitted = 0;
        set_short(f, ONCE_LEVEL, cases[i].from);
        for (int k = 0; k < 50; k++) {
            (void)is_shed(f, "/once/");
        }
        set_short(f, ONCE_LEVEL, cases[i].to);
        for (int k = 0; k < 20; k++) {
            admitted += !is_shed(f, "/once/");
        }
        cr_expect(fabs(admitted - 20 * cases[i].to) <= 2, "case %zu: %d", i,
                  admitted);
        finish(f);
    }
}

/* ---- Rules on kinds ------------------------------------------------------ */

/* Shares admitted of both routes over a time of steady arrivals, without its
 * first fifth. */
typedef struct {
    double once;
    double again;
} Shares;

static Shares
run_steady(FakeSteering *f, uint32_t level, double share, double once_per_s,
           double again_per_s, int seconds)
{
    double due[2] = {0};
    double asked[2] = {0};
    double admitted[2] = {0};

    for (int step = 0; step < seconds * 20; step++) {
        set_short(f, level, share);
        due[0] += once_per_s / 20;
        due[1] += again_per_s / 20;
        for (int i = 0; i < 2; i++) {
            for (; due[i] >= 1; due[i] -= 1) {
                bool ok = !is_shed(f, i == 0 ? "/once/" : "/again/");
                bool counts = step >= seconds * 4;
                asked[i] += counts;
                admitted[i] += counts && ok;
            }
        }
        FakeSteering_Advance(f, 50 * MS);
    }
    return (Shares){admitted[0] / asked[0], admitted[1] / asked[1]};
}

/* Guards against: a route of low value gets no slots, in particular one with
 * too few requests at each entry for a share to be significant. */
Test(router_shed, each_route_gets_a_quarter_of_the_share_of_all)
{
    static const struct {
        double once_per_s;
        double again_per_s;
        double once_share;
    } cases[] = {{10, 10, 1},  {10, 0.5, 1}, {10, 1, 0.6}, {10, 2, 0.6},
                 {40, 0.2, 1}, {2, 20, 1},   {2, 20, 0.5}};

    for (size_t i = 0; i < CASES(cases); i++) {
        FakeSteering *f = start();
        double once = cases[i].once_per_s;
        double again = cases[i].again_per_s;
        Shares got =
            run_steady(f, ONCE_LEVEL, cases[i].once_share, once, again, 200);
        double all = (once * got.once + again * got.again) / (once + again);
        cr_expect_geq(got.again, 0.25 * all, "case %zu: %.3f of %.3f", i,
                      got.again, all);
        cr_expect_leq(got.again, 0.4 * all, "case %zu: %.3f of %.3f", i,
                      got.again, all);
        finish(f);
    }
}

/* Guards against: a more urgent kind with long runs is served less often than
 * a less urgent one, in particular with few requests, or with priorities
 * beyond those that are counted apart. */
Test(router_shed, no_less_urgent_kind_is_admitted_more_often)
{
    static const struct {
        double once_per_s;
        double again_per_s;
        uint32_t priorities[2];
        uint32_t level;
        double share;
    } cases[] = {
        {10, 10, {1, 2}, LONG_ONCE_LEVEL, 0.1},
        {10, 10, {1, 2}, 7, 0},
        {0.5, 10, {1, 2}, LONG_ONCE_LEVEL, 0.1},
        {10, 0.5, {1, 2}, LONG_ONCE_LEVEL, 0.1},
        {0.5, 0.5, {1, 2}, 7, 0},
        {10, 10, {8, 10}, 15, 0.1},
        {10, 10, {1000, 1001}, 15, 0.1},
    };

    for (size_t i = 0; i < CASES(cases); i++) {
        GwRouting *routing = FakeSteering_Routing(1, 3);
        find_route(routing, "/once/")->priority = cases[i].priorities[0];
        find_route(routing, "/again/")->priority = cases[i].priorities[1];
        FakeSteering *f = start_named("entry", routing, true);
        route_of(f, "/once/")->warm_us = 8 * 144000;
        Shares got =
            run_steady(f, cases[i].level, cases[i].share, cases[i].once_per_s,
                       cases[i].again_per_s, 200);
        cr_expect_geq(got.once, got.again - 0.05, "case %zu: %.3f, %.3f", i,
                      got.once, got.again);
        finish(f);
    }
}

/* Guards against: requests that ended long ago decide what is owed now. */
Test(router_shed, shares_of_kinds_that_no_longer_ask_are_forgotten)
{
    FakeSteering *f = start();

    route_of(f, "/once/")->warm_us = 8 * 144000;
    for (int k = 0; k < 100; k++) {
        cr_expect_not(is_shed(f, "/again/"));
    }
    FakeSteering_Advance(f, 60000 * MS);
    Shares got = run_steady(f, LONG_ONCE_LEVEL, 0.2, 10, 0, 20);
    cr_expect_leq(got.once, 0.3, "%.2f", got.once);
    finish(f);
}

/* ---- Requests that are not shed ------------------------------------------ */

/* Guards against: a refusal beside idle servers, or of a request that another
 * entry has admitted, or by what was known long ago. */
Test(router_shed, nothing_is_shed_without_a_known_shortage)
{
    static const struct {
        const char *name;
        uint32_t busy;
        uint32_t age_ms;
        bool is_passed_on;
        bool is_shed;
    } cases[] = {
        {"short", BUSY, 0, false, true},
        {"idle slots", SLOTS * 84 / 100, 0, false, false},
        {"old total", BUSY, 2100, false, false},
        {"passed on", BUSY, 0, true, false},
    };

    for (size_t i = 0; i < CASES(cases); i++) {
        FakeSteering *f = start();
        int shed = 0;
        set_short(f, 0, 0);
        set_busy(f, "s1", cases[i].busy);
        f->arrivals_are_passed_on = cases[i].is_passed_on;
        FakeSteering_Advance(f, cases[i].age_ms * MS);
        for (int k = 0; k < 20; k++) {
            shed += is_shed(f, "/once/");
        }
        cr_expect_eq(shed > 0, cases[i].is_shed, "%s: %d", cases[i].name,
                     shed);
        finish(f);
    }
}

/* Guards against: 503 by load shedding for a request that a server got, or
 * that waits for the result of an attempt. */
Test(router_shed, nothing_is_shed_after_an_attempt)
{
    static const struct {
        GwAttemptOutcome outcome;
        bool closed; /* the request then waits for a probe */
    } cases[] = {{GW_ATTEMPT_REFUSED, false},
                 {GW_ATTEMPT_UNSENT, false},
                 {GW_ATTEMPT_LOST, false},
                 {GW_ATTEMPT_LOST, true}};

    for (size_t i = 0; i < CASES(cases); i++) {
        FakeSteering *f = start();
        GwFingerprint fingerprint = {.hi = 1, .lo = 2};
        GwAttemptEnd end = {.outcome = cases[i].outcome,
                            .closed = cases[i].closed,
                            .fingerprint = &fingerprint};
        f->holds_probes = true;
        FakeSteering_PutServer(f, "s2", "r1", "d1", 4);
        FakeSteering_PutServer(f, "s3", "r1", "d1", 4);
        for (int k = 0; k < 20; k++) {
            (void)is_shed(f, "/again/"); /* earns retries */
        }
        FakeRequest *req = FakeSteering_Arrive(f, "/again/", "k", LEFT_MS);
        cr_assert_eq(req->sends, 1);
        set_short(f, 0, 0);
        FakeSteering_Advance(f, 100 * MS);
        FakeSteering_EndAttemptSo(f, req, &end);
        FakeSteering_EndProbes(f, GW_PROBE_ALIVE);
        cr_expect_eq(req->sends, 2, "case %zu", i);
        FakeSteering_EndAttempt(f, req, GW_ATTEMPT_ANSWERED, 200);
        cr_expect_eq(shed_count(f), 0, "case %zu", i);
        finish(f);
    }
}

/* Guards against: a request is refused for a shortage in a region where it
 * does not run, or while servers of another region that it may use have
 * capacity. */
Test(router_shed, the_regions_that_a_request_may_use_decide)
{
    static const struct {
        const char *home; /* NULL: all regions */
        bool is_short[2]; /* r1, r2 */
        bool has_far_server;
        bool is_shed;
    } cases[] = {
        {"r1", {true, false}, true, true},  {"r1", {false, true}, true, false},
        {"r2", {true, false}, true, false}, {"r2", {false, true}, true, true},
        {NULL, {true, false}, true, false}, {NULL, {true, true}, true, true},
        {NULL, {true, false}, false, true},
    };

    for (size_t i = 0; i < CASES(cases); i++) {
        GwRouting *routing = FakeSteering_Routing(1, 3);
        GwRoute *route = find_route(routing, "/once/");
        GwDemand demand[2] = {{.region = GwService_Hash("r1")},
                              {.region = GwService_Hash("r2")}};
        int shed = 0;
        if (cases[i].home != NULL) {
            route->home_count = 1;
            route->homes = g_new0(char *, 1);
            route->homes[0] = g_strdup(cases[i].home);
        }
        FakeSteering *f = start_named("entry", routing, true);
        set_busy(f, "s1", BUSY);
        if (cases[i].has_far_server) {
            FakeSteering_PutServer(f, "s2", "r2", "d2", SLOTS);
            set_busy(f, "s2", BUSY);
        }
        for (int k = 0; k < 2; k++) {
            demand[k].service = GwService_Hash("s");
            demand[k].work_ms_per_s[0] =
                cases[i].is_short[k] ? UINT32_MAX / 2 : 1;
        }
        GwShortage_PutTotal(f->router->shortage, f->now_us, 0, demand, 2);
        for (int k = 0; k < 20; k++) {
            shed += is_shed(f, "/once/");
        }
        cr_expect_eq(shed > 0, cases[i].is_shed, "case %zu: %d", i, shed);
        finish(f);
    }
}

/* Guards against: a changed behaviour of deployments that don't ask for
 * overload control: refusals, the order of the queue, or its cost. */
Test(router_shed, nothing_changes_without_overload_control)
{
    FakeSteering *f = start_named("entry", FakeSteering_Routing(1, 3), false);

    cr_expect_null(GwRouter_Shortage(f->router));
    cr_expect_null(GwRouter_DemandMeter(f->router));
    set_busy(f, "s1", SLOTS + GW_SLOTS_AHEAD);
    FakeRequest *first = FakeSteering_Arrive(f, "/once/", NULL, LEFT_MS);
    FakeRequest *back = FakeSteering_Arrive(f, "/once/", NULL, LEFT_MS - 400);
    cr_assert(first->handle != NULL && back->handle != NULL);
    cr_expect_not(back->handle->is_measured);
    GPtrArray *waiting = service_of(f)->waiting;
    cr_expect_eq(waiting->pdata[0], first->handle);
    cr_expect_eq(waiting->pdata[1], back->handle);
    cr_expect_eq(shed_count(f), 0);
    finish(f);
}

/* ---- Callers that come back ---------------------------------------------- */

static double
demand_of(FakeSteering *f)
{
    GArray *all = g_array_new(FALSE, FALSE, sizeof(GwDemand));
    double sum = 0;

    GwDemandMeter_Read(f->router->demand, f->now_us, all);
    for (guint i = 0; i < all->len; i++) {
        for (uint32_t l = 0; l < GW_SHORTAGE_LEVELS; l++) {
            sum += g_array_index(all, GwDemand, i).work_ms_per_s[l];
        }
    }
    g_array_free(all, TRUE);
    return sum;
}

/* Guards against: a refused caller is counted again, so that refusals raise
 * the demand; or a caller that states no time makes all others count as
 * refused ones. */
Test(router_shed, callers_that_come_back_are_told_by_their_time)
{
    static const struct {
        int64_t before_ms; /* time of the callers before; -1: not stated */
        int64_t left_ms;
        bool is_returning;
    } cases[] = {
        {1500, 1500, false}, {1500, 1480, false}, {1500, 1400, true},
        {1500, 900, true},   {1500, 300, false}, /* spent too much */
        {-1, 1500, false},   {1500, -1, false},
    };

    for (size_t i = 0; i < CASES(cases); i++) {
        FakeSteering *f = start();
        for (int k = 0; k < 3; k++) {
            FakeSteering_Disconnect(
                f, FakeSteering_Arrive(f, "/once/", NULL, cases[i].before_ms));
        }
        double before = demand_of(f);
        FakeRequest *req =
            FakeSteering_Arrive(f, "/once/", NULL, cases[i].left_ms);
        cr_assert_not_null(req->handle);
        cr_expect_eq(req->handle->is_returning, cases[i].is_returning,
                     "case %zu", i);
        cr_expect_eq(demand_of(f) > before, !cases[i].is_returning, "case %zu",
                     i);
        finish(f);
    }
}

/* Guards against: a caller that did as it was told waits behind new ones, or
 * passes a more urgent one. */
Test(router_shed, queue_by_priority_earlier_refusal_and_arrival)
{
    FakeSteering *f = start();
    static const struct {
        const char *path;
        int64_t left_ms;
        uint32_t place;
    } cases[] = {{"/again/", 1500, 3},
                 {"/once/", 1500, 1},
                 {"/again/", 1000, 2},
                 {"/once/", 1000, 0},
                 {"/again/", 1500, 4}};
    FakeRequest *all[CASES(cases)];

    set_busy(f, "s1", SLOTS + GW_SLOTS_AHEAD);
    for (size_t i = 0; i < CASES(cases); i++) {
        all[i] = FakeSteering_Arrive(f, cases[i].path, NULL, cases[i].left_ms);
    }
    for (size_t i = 0; i < CASES(cases); i++) {
        cr_assert_not_null(all[i]->handle);
        cr_expect_eq(service_of(f)->waiting->pdata[cases[i].place],
                     all[i]->handle, "case %zu", i);
    }
    finish(f);
}

/* Guards against: a promise that counts as kept though its caller got no
 * answer. */
Test(router_shed, kept_and_broken_promises_are_counted)
{
    static const struct {
        GwAttemptOutcome outcome; /* 0: none before the time is over */
        uint32_t answered;
        uint32_t refused;
    } cases[] = {
        {GW_ATTEMPT_ANSWERED, 1, 0}, {GW_ATTEMPT_LOST, 0, 1}, {0, 0, 1}};

    for (size_t i = 0; i < CASES(cases); i++) {
        FakeSteering *f = start();
        FakeRequest *first = FakeSteering_Arrive(f, "/once/", NULL, LEFT_MS);
        FakeRequest *req =
            FakeSteering_Arrive(f, "/once/", NULL, LEFT_MS - 300);
        FakeSteering_EndAttempt(f, first, GW_ATTEMPT_ANSWERED, 200);
        if (cases[i].outcome != 0) {
            FakeSteering_EndAttempt(f, req, cases[i].outcome, 200);
        }
        FakeSteering_Advance(f, 3000 * MS);
        cr_expect(req->over);
        cr_expect_eq(f->router->returns_answered, cases[i].answered,
                     "case %zu", i);
        cr_expect_eq(f->router->returns_refused, cases[i].refused, "case %zu",
                     i);
        finish(f);
    }
}

/* ---- Retry-After --------------------------------------------------------- */

/* Guards against: a retry before a slot is expected, after a third of the
 * caller's time, of all callers at once, or, with the caller's time over, at
 * an undefined time. */
Test(router_shed, retry_after_by_wait_level_and_time_left)
{
    static const struct {
        uint32_t level;
        uint32_t threshold;
        double wait_ms;
        int64_t left_ms;
        uint32_t min_ms;
        uint32_t max_ms;
    } cases[] = {
        {5, 5, 0, 6000, 200, 400},
        {6, 5, 0, 6000, 400, 800},
        {15, 0, 0, 6000, 1000, 2000},
        {15, 0, 0, 60000, 3200, 6400},
        {5, 5, 700, 6000, 700, 1400},
        {5, 5, 1500, 6000, 1500, 2000},
        {5, 5, 5000, 6000, 2000, 2000},
        {5, 9, 0, 6000, 200, 400},
        {5, 5, 0, 600, 25, 50},
        {8, 5, 0, 600, 100, 200},
        {5, 5, 0, 0, 1, 1},
        {5, 5, 900, -100, 1, 1},
    };

    for (size_t i = 0; i < CASES(cases); i++) {
        FakeSteering *f = start();
        GwRequest req = {
            .level = cases[i].level,
            .threshold = cases[i].threshold,
            .slot_wait_us = cases[i].wait_ms * MS,
            .server_deadline_us = f->now_us + cases[i].left_ms * MS,
        };
        uint32_t least = UINT32_MAX;
        uint32_t most = 0;
        for (int k = 0; k < 2000; k++) {
            uint32_t ms =
                GwRequest_ShedRetryAfterMs(f->router, f->now_us, &req);
            least = MIN(least, ms);
            most = MAX(most, ms);
        }
        uint32_t slack = (cases[i].max_ms - cases[i].min_ms) / 20;
        cr_expect(least >= cases[i].min_ms && least <= cases[i].min_ms + slack,
                  "case %zu: from %u", i, least);
        cr_expect(most <= cases[i].max_ms && most + slack >= cases[i].max_ms,
                  "case %zu: to %u", i, most);
        finish(f);
    }
}

/* ---- Tokens -------------------------------------------------------------- */

/* Guards against: a request that was shed uses up its organisation's quota. */
Test(router_shed, the_token_of_a_shed_request_is_returned)
{
    GwQuotaParams params = {
        .own_id = 1,
        .process = 1,
        .bounds = {.window_ms = 5000, .overrun = 0.1, .slack = 20}};
    GwQuotaLimit limit = {.name = "o0", .rate_per_s = 10, .burst = 10};
    GwQuotaMember member = {.id = 1};
    GwQuotaView view = {.members = &member,
                        .member_count = 1,
                        .entries = 1,
                        .is_settled = true};
    GwRouting *routing = FakeSteering_Routing(1, 3);
    FakeSteering_AddOrganisations(routing, 1);
    FakeSteering *f = start_named("entry", routing, true);
    GwQuota *quota = GwQuota_Create(&params, f->now_us);
    uint32_t shed = 0;

    GwQuota_SetLimits(quota, f->now_us, &limit, 1);
    GwQuota_SetView(quota, f->now_us, &view);
    GwRouter_SetQuota(f->router, quota);
    f->credential = "key0";
    for (int k = 0; k < 300; k++) {
        FakeSteering_Advance(f, GW_QUOTA_TICK_MS * MS);
        (void)GwQuota_Tick(quota, f->now_us);
    }
    set_short(f, 0, 0);
    for (int k = 0; k < 40; k++) {
        FakeRequest *req = FakeSteering_Arrive(f, "/once/", NULL, LEFT_MS);
        shed += req->status == 503;
        cr_expect(req->status == 503 || req->sends == 1, "request %d: %u", k,
                  req->status);
    }
    cr_expect_geq(shed, 25);
    finish(f);
    GwQuota_Free(quota);
}

/* ---- Capacity ------------------------------------------------------------ */

/* Guards against: requests are refused for servers that are used all the same:
 * with most of them ejected, ejection is ignored. */
Test(router_shed, ejected_servers_count_while_ejection_is_ignored)
{
    static const struct {
        int ejected; /* of four servers */
        bool is_shed;
    } cases[] = {{0, false}, {2, true}, {3, false}};

    for (size_t i = 0; i < CASES(cases); i++) {
        FakeSteering *f = start();
        static const char *const ids[] = {"s1", "s2", "s3", "s4"};
        int shed = 0;
        for (int k = 0; k < 4; k++) {
            FakeSteering_PutServer(f, ids[k], "r1", "d1", SLOTS);
            set_busy(f, ids[k], BUSY);
            ((GwServer *)g_hash_table_lookup(f->router->servers, ids[k]))
                ->eject_until_us =
                k < cases[i].ejected ? f->now_us + 5000 * MS : 0;
        }
        /* Three servers carry the work. */
        put_shortage(f, ONCE_LEVEL, 1 / 2.9);
        FakeSteering_Advance(f, 100 * MS);
        for (int k = 0; k < 20; k++) {
            shed += is_shed(f, "/once/");
        }
        cr_expect_eq(shed > 0, cases[i].is_shed, "case %zu: %d", i, shed);
        finish(f);
    }
}

/* Guards against: each request costs a scan of all servers; an entry may have
 * a tenth of a core and a service hundreds of servers. */
Test(router_shed, capacity_is_counted_at_intervals)
{
    FakeSteering *f = start();
    uint64_t looks[2];

    for (int i = 0; i < 200; i++) {
        char id[16];
        g_snprintf(id, sizeof(id), "n%d", i);
        FakeSteering_PutServer(f, id, "r1", "d1", 4);
    }
    FakeSteering_Disconnect(f, FakeSteering_Arrive(f, "/once/", "k", LEFT_MS));
    for (int control = 0; control < 2; control++) {
        GwShortage *shortage = f->router->shortage;
        f->router->shortage = control ? shortage : NULL;
        if (control) {
            put_shortage(f, 15, 1);
        }
        uint64_t before = GwRouter_EvaluationCount(f->router);
        for (int k = 0; k < 100; k++) {
            FakeSteering_Disconnect(
                f, FakeSteering_Arrive(f, "/once/", "k", LEFT_MS));
        }
        looks[control] = GwRouter_EvaluationCount(f->router) - before;
        f->router->shortage = shortage;
    }
    cr_expect_leq(looks[1], looks[0] + 2 * 201, "%lu after %lu",
                  (unsigned long)looks[1], (unsigned long)looks[0]);
    finish(f);
}

/* ---- Views --------------------------------------------------------------- */

static void
add_shed(void *ctx, const GwSheddingView *view)
{
    uint64_t *count = ctx;

    cr_expect_str_eq(view->service, "s");
    for (uint32_t l = 0; l < GW_SHORTAGE_LEVELS; l++) {
        count[l] += view->shed[l];
    }
}

/* Guards against: operators can't tell what was shed, and by which total. */
Test(router_shed, views_show_what_was_shed)
{
    FakeSteering *f = start();
    uint64_t count[GW_SHORTAGE_LEVELS] = {0};
    uint64_t shed = 0;
    GArray *actions = g_array_new(FALSE, FALSE, sizeof(GwRouterAction));
    GwArrival arrival = {
        .host = "h", .path = "/once/", .key = "k", .left_us = LEFT_MS * MS};

    set_short(f, 3, 0);
    FakeSteering_Advance(f, 300 * MS);
    set_busy(f, "s1", BUSY);
    GwRouter_Arrive(f->router, f->now_us, &arrival, actions);
    cr_assert_eq(actions->len, 2);
    GwRouterAction *out = &g_array_index(actions, GwRouterAction, 1);
    cr_assert_eq(out->why, GW_REPLY_SHED);
    cr_expect_eq(out->request_summary.level, ONCE_LEVEL);
    cr_expect_eq(out->request_summary.threshold, 3);
    cr_expect_eq(out->request_summary.total_age_ms, 300);
    cr_expect_str_eq(out->request_summary.best, "s1");
    for (int k = 0; k < 5; k++) {
        shed += is_shed(f, "/again/");
    }
    GwRouter_EachShedding(f->router, add_shed, count);
    cr_expect_eq(count[ONCE_LEVEL], 1);
    cr_expect_eq(count[AGAIN_LEVEL], shed);
    cr_expect_eq(GwRouter_Returns(f->router).answered, 0);
    g_array_free(actions, TRUE);
    finish(f);
}

/* Guards against: metrics that are missing, or appear in deployments without
 * overload control. */
Test(router_shed, metrics_show_what_was_shed)
{
    static const char *const lines[] = {
        "\ngw_shed_total{service=\"s\",level=\"5\"} 1\n",
        "\ngw_returns_total{outcome=\"answered\"} 7\n",
        "\ngw_returns_total{outcome=\"refused\"} 2\n",
    };
    EdgeEntry entry = EdgeEntry_Start();
    FakeSteering *f = start();
    GwRouter *routers[2] = {entry.edge->router, f->router};

    set_short(f, 3, 0);
    cr_assert(is_shed(f, "/once/"));
    f->router->returns_answered = 7;
    f->router->returns_refused = 2;
    for (int has_control = 0; has_control < 2; has_control++) {
        GString *page = g_string_new(NULL);
        entry.edge->router = routers[has_control];
        GwStatus_WriteMetrics(entry.edge, page);
        for (size_t i = 0; i < CASES(lines); i++) {
            bool is_on_page = strstr(page->str, lines[i]) != NULL;
            cr_expect_eq(is_on_page, has_control == 1, "%s", lines[i]);
        }
        g_string_free(page, TRUE);
    }
    entry.edge->router = routers[0];
    finish(f);
    EdgeEntry_Stop(&entry);
}
