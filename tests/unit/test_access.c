/* Keys of callers: which requests they admit, and for how long. */
#include "fakes/steering.h"

#include <criterion/criterion.h>

#define LEFT_MS 2000
/* Long, so that a third request waits for the only slot. */
#define OBJECTIVE_MS 1500

typedef struct {
    uint64_t version;
    uint32_t organisations; /* 0: no keys are needed */
    bool allows_anonymous;  /* the route /again/ */
} Setup;

static GwRouting *
make_routing(const Setup *setup)
{
    GwRouting *routing = FakeSteering_Routing(setup->version, 3);
    GwRouteHost *host = &routing->hosts[0];

    for (uint32_t i = 0; i < host->route_count; i++) {
        host->routes[i].objective_ms = OBJECTIVE_MS;
        host->routes[i].allows_anonymous =
            setup->allows_anonymous && host->routes[i].idempotent;
    }
    if (setup->organisations > 0) {
        FakeSteering_AddOrganisations(routing, setup->organisations);
    }
    return routing;
}

static void
configure(FakeSteering *f, const Setup *setup)
{
    GwRouting *routing = make_routing(setup);

    cr_assert(GwRouter_SetRouting(f->router, routing));
    GwRouting_Unref(routing);
}

/* Guards against: a request runs without a valid key, or a caller without one
 * learns which routes exist. */
Test(access, a_key_is_needed_unless_the_route_allows_anonymous_callers)
{
    static const struct {
        const char *credential;
        const char *path;
        bool allows_anonymous;
        uint16_t status; /* 0: sent to a server */
    } cases[] = {
        {"key0", "/once/x", false, 0},
        {"key1", "/again/x", false, 0},
        {NULL, "/once/x", false, 401},
        {"", "/once/x", false, 401},
        {"key2", "/once/x", false, 401},
        {"KEY0", "/once/x", false, 401},
        {"key0 ", "/once/x", false, 401},
        {"key0,key0", "/once/x", false, 401},
        {NULL, "/nowhere/x", false, 401},
        {"key2", "/nowhere/x", false, 401},
        {"key0", "/nowhere/x", false, 404},
        {NULL, "/again/x", true, 0},
        {"key2", "/again/x", true, 0},
        {NULL, "/once/x", true, 401},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        FakeSteering *f = FakeSteering_Create("r1", "d1");
        Setup setup = {1, 2, cases[i].allows_anonymous};
        configure(f, &setup);
        FakeSteering_PutServer(f, "s1", "r1", "d1", 2);
        f->credential = cases[i].credential;
        FakeRequest *req =
            FakeSteering_Arrive(f, cases[i].path, NULL, LEFT_MS);
        cr_expect_eq(req->status, cases[i].status, "case %zu: %u", i,
                     req->status);
        cr_expect_eq(req->sends, cases[i].status == 0, "case %zu", i);
        FakeSteering_Free(f);
    }
}

/* Guards against: an entry without a configuration rejects a valid key, which
 * the caller then gives up on. */
Test(access, without_a_configuration_no_key_is_rejected)
{
    FakeSteering *f = FakeSteering_Create("r1", "d1");

    cr_expect_eq(FakeSteering_Arrive(f, "/once/x", NULL, LEFT_MS)->status,
                 503);
    FakeSteering_Free(f);
}

/* Guards against: a request that crashes servers runs at an entry that has
 * just started. */
Test(access, nothing_runs_before_the_quarantine_is_known)
{
    FakeSteering *f = FakeSteering_Create("r1", "d1");
    Setup setup = {1, 0, false};

    configure(f, &setup);
    FakeSteering_PutServer(f, "s1", "r1", "d1", 2);
    GwRouter_SetQuarantineKnown(f->router, false);
    FakeRequest *req = FakeSteering_Arrive(f, "/again/x", NULL, LEFT_MS);
    cr_expect_eq(req->status, 503);
    cr_expect_eq(req->sends, 0);
    GwRouter_SetQuarantineKnown(f->router, true);
    req = FakeSteering_Arrive(f, "/again/x", NULL, LEFT_MS);
    cr_expect_eq(req->sends, 1);
    FakeSteering_Free(f);
}

/* Guards against: a revoked key still runs a request that waited, or its
 * retry. */
Test(access, a_key_is_checked_again_before_each_attempt)
{
    static const struct {
        const char *credential;
        uint32_t organisations; /* in the newer version */
        bool waits;             /* else a retry */
        uint16_t status;
    } cases[] = {
        {"key1", 1, true, 401},
        {"key1", 1, false, 401},
        {"key0", 1, true, 0},
        {"key0", 1, false, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        FakeSteering *f = FakeSteering_Create("r1", "d1");
        Setup old = {1, 2, false};
        Setup new = {2, cases[i].organisations, false};
        configure(f, &old);
        FakeSteering_PutServer(f, "s1", "r1", "d1", 1);
        f->credential = "key0";
        FakeRequest *first = FakeSteering_Arrive(f, "/once/a", NULL, LEFT_MS);
        FakeRequest *ahead = FakeSteering_Arrive(f, "/once/b", NULL, LEFT_MS);
        f->credential = cases[i].credential;
        FakeRequest *req =
            cases[i].waits ? FakeSteering_Arrive(f, "/once/c", NULL, LEFT_MS)
                           : NULL;
        if (!cases[i].waits) {
            FakeSteering_EndAttempt(f, ahead, GW_ATTEMPT_ANSWERED, 200);
            req = FakeSteering_Arrive(f, "/once/c", NULL, LEFT_MS);
            FakeSteering_PutServer(f, "s2", "r1", "d1", 1);
        }
        uint32_t sends = req->sends;
        cr_assert_eq(sends, !cases[i].waits, "case %zu", i);
        configure(f, &new);
        FakeSteering_EndAttempt(f, first, GW_ATTEMPT_ANSWERED, 200);
        FakeSteering_EndAttempt(f, ahead, GW_ATTEMPT_ANSWERED, 200);
        if (!cases[i].waits) {
            FakeSteering_EndAttempt(f, req, GW_ATTEMPT_UNSENT, 0);
        }
        cr_expect_eq(req->status, cases[i].status, "case %zu: %u", i,
                     req->status);
        cr_expect_eq(req->sends - sends, cases[i].status == 0, "case %zu", i);
        FakeSteering_Free(f);
    }
}

/* Guards against: a key is accepted after the proof that it isn't revoked has
 * become too old, on arrival, after a wait, or at the moment of sending. */
Test(access, keys_are_refused_once_the_proof_is_too_old)
{
    FakeSteering *f = FakeSteering_Create("r1", "d1");
    Setup setup = {1, 1, true};

    configure(f, &setup);
    FakeSteering_PutServer(f, "s1", "r1", "d1", 1);
    f->credential = "key0";
    GwRouter_SetProvenUntil(f->router, f->now_us + 100000);
    FakeRequest *first = FakeSteering_Arrive(f, "/once/a", NULL, LEFT_MS);
    FakeRequest *ahead = FakeSteering_Arrive(f, "/once/b", NULL, LEFT_MS);
    FakeRequest *waits = FakeSteering_Arrive(f, "/once/c", NULL, LEFT_MS);
    cr_assert_eq(first->sends, 1);
    cr_assert_eq(waits->sends, 0);
    cr_expect(GwRouter_MaySend(f->router, f->now_us, first->handle));
    f->now_us += 100000;
    cr_expect_not(GwRouter_MaySend(f->router, f->now_us, first->handle));
    FakeSteering_EndAttempt(f, ahead, GW_ATTEMPT_ANSWERED, 200);
    FakeSteering_EndAttempt(f, first, GW_ATTEMPT_ANSWERED, 200);
    cr_expect_eq(waits->status, 503);
    cr_expect_gt(waits->retry_after_ms, 0);
    static const struct {
        const char *credential;
        const char *path;
        uint16_t status;
    } cases[] = {
        {"key0", "/once/x", 503},    {"no-key", "/once/x", 503},
        {"key0", "/nowhere/x", 503}, {NULL, "/again/x", 0},
        {"key0", "/again/x", 0},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        f->credential = cases[i].credential;
        FakeRequest *req =
            FakeSteering_Arrive(f, cases[i].path, NULL, LEFT_MS);
        cr_expect_eq(req->status, cases[i].status, "case %zu", i);
        FakeSteering_EndAttempt(f, req, GW_ATTEMPT_ANSWERED, 200);
    }
    GwRouter_SetProvenUntil(f->router, f->now_us + 1);
    f->credential = "key0";
    cr_expect_eq(FakeSteering_Arrive(f, "/once/d", NULL, LEFT_MS)->status, 0);
    FakeSteering_Free(f);
}

/* Guards against: a request runs in a region that its organisation or its
 * route excludes. */
Test(access, homes_of_route_and_organisation_both_bind)
{
    static const struct {
        const char *route_home; /* NULL: any */
        const char *org_home;   /* NULL: any */
        const char *server;     /* NULL: refused */
    } cases[] = {
        {NULL, NULL, "s1"}, {NULL, "r2", "s2"}, {"r2", NULL, "s2"},
        {"r2", "r2", "s2"}, {"r1", "r2", NULL}, {NULL, "r3", NULL},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        FakeSteering *f = FakeSteering_Create("r1", "d1");
        Setup setup = {1, 1, false};
        GwRouting *routing = make_routing(&setup);
        GwRoute *route = &routing->hosts[0].routes[0];
        GwOrganisation *org = &routing->organisations[0];
        if (cases[i].route_home != NULL) {
            route->home_count = 1;
            route->homes = g_new0(char *, 1);
            route->homes[0] = g_strdup(cases[i].route_home);
        }
        if (cases[i].org_home != NULL) {
            org->home_count = 1;
            org->homes = g_new0(char *, 1);
            org->homes[0] = g_strdup(cases[i].org_home);
        }
        cr_assert(GwRouter_SetRouting(f->router, routing));
        GwRouting_Unref(routing);
        FakeSteering_PutServer(f, "s1", "r1", "d1", 2);
        FakeSteering_PutServer(f, "s2", "r2", "d2", 2);
        f->credential = "key0";
        FakeRequest *req = FakeSteering_Arrive(
            f, routing->hosts[0].routes[0].prefix, "object", LEFT_MS);
        cr_expect_eq(req->status, cases[i].server != NULL ? 0 : 503,
                     "case %zu: %u", i, req->status);
        if (cases[i].server != NULL) {
            cr_expect_str_eq(req->server_id, cases[i].server, "case %zu", i);
        }
        FakeSteering_Free(f);
    }
}

/* Guards against: the priority of a route is used although the organisation
 * has its own. */
Test(access, the_priority_of_the_organisation_comes_first)
{
    FakeSteering *f = FakeSteering_Create("r1", "d1");
    Setup setup = {1, 2, false};
    GwRouting *routing = make_routing(&setup);

    routing->organisations[1].has_priority = true;
    routing->organisations[1].priority = 0;
    cr_assert(GwRouter_SetRouting(f->router, routing));
    GwRouting_Unref(routing);
    FakeSteering_PutServer(f, "s1", "r1", "d1", 1);
    f->credential = "key0";
    FakeRequest *runs = FakeSteering_Arrive(f, "/once/a", NULL, LEFT_MS);
    FakeRequest *ahead = FakeSteering_Arrive(f, "/once/b", NULL, LEFT_MS);
    FakeRequest *early = FakeSteering_Arrive(f, "/once/c", NULL, LEFT_MS);
    f->credential = "key1";
    FakeRequest *urgent = FakeSteering_Arrive(f, "/again/d", NULL, LEFT_MS);
    FakeSteering_EndAttempt(f, ahead, GW_ATTEMPT_ANSWERED, 200);
    cr_expect_eq(urgent->sends, 1);
    cr_expect_eq(early->sends, 0);
    FakeSteering_EndAttempt(f, runs, GW_ATTEMPT_ANSWERED, 200);
    cr_expect_eq(early->sends, 1);
    FakeSteering_Free(f);
}

/* Guards against: versions without a key they had before, or with a key that
 * moved, are looked up wrongly; 100,000 keys are found as fast as a few. */
Test(access, keys_are_found_among_many)
{
    enum { ORGANISATIONS = 10000, KEYS = 10 };
    GwRouting *routing = GwRouting_Create(0, 0);
    char key[32];

    GwRouting_SetOrganisations(routing, ORGANISATIONS);
    for (uint32_t i = 0; i < ORGANISATIONS; i++) {
        routing->organisations[i].name = g_strdup_printf("o%u", i);
        for (uint32_t k = 0; k < KEYS; k++) {
            g_snprintf(key, sizeof(key), "k-%u-%u", i, k);
            GwRouting_AddKey(routing, i, key);
        }
    }
    cr_expect_null(GwRouting_FindConflict(routing));
    for (uint32_t i = 0; i < ORGANISATIONS; i += 97) {
        g_snprintf(key, sizeof(key), "k-%u-%u", i, i % KEYS);
        GwKeyDigest digest = GwKeyDigest_Compute(key);
        const GwOrganisation *org =
            GwRouting_FindOrganisation(routing, &digest);
        cr_assert_not_null(org);
        cr_expect_eq(org, &routing->organisations[i]);
    }
    GwKeyDigest unknown = GwKeyDigest_Compute("k-1-10");
    cr_expect_null(GwRouting_FindOrganisation(routing, &unknown));
    GwRouting_Unref(routing);
}
