/* Requests that an entry without links to servers passes on to another one. */
#include "unit/steering_cases.h"

#include <criterion/criterion.h>
#include <string.h>

#define MS           1000
#define LEFT_MS      2000
#define ATTEMPTS_MAX 3

static void
put_peer(FakeSteering *f, const char *name, const char *region,
         const char *domain, bool reaches)
{
    uint32_t unreached[] = {GwService_Hash("s")};
    GwPeerInfo info = {.name = name,
                       .region = region,
                       .domain = domain,
                       .serves = true,
                       .unreached = unreached,
                       .unreached_count = !reaches};

    GwRouter_PutPeer(f->router, f->now_us, &info);
}

/* An entry that connects to no server. */
static FakeSteering *
start_cut(void)
{
    FakeSteering *f = Steering_Start(ATTEMPTS_MAX);

    f->holds_probes = true;
    for (int i = 0; i < 3; i++) {
        static const char *const ids[] = {"s0", "s1", "s2"};
        FakeSteering_PutServer(f, ids[i], "r1", "d1", 8);
    }
    FakeRequest *req = FakeSteering_Arrive(f, "/again/x", NULL, LEFT_MS);
    while (!req->over) {
        FakeSteering_EndAttempt(f, req, GW_ATTEMPT_UNSENT, 0);
    }
    return f;
}

/* Requests earn the budget of retries. */
static void
earn_retries(FakeSteering *f)
{
    for (int i = 0; i < 50; i++) {
        FakeSteering_Disconnect(
            f, FakeSteering_Arrive(f, "/again/x", NULL, LEFT_MS));
    }
}

/* Arrives; returns the name of the entry that it is passed on to, or "". */
static const char *
passed_to(FakeSteering *f, const char *path, FakeRequest **out)
{
    *out = FakeSteering_Arrive(f, path, NULL, LEFT_MS);
    return (*out)->is_passed_on ? GwRequest_Peer((*out)->handle) : "";
}

/* Guards against: requests go to an entry that doesn't reach the service, or
 * past a nearer one that does. */
Test(router_pass_on, the_nearest_entry_that_reaches_the_service_is_chosen)
{
    typedef struct {
        const char *name;
        const char *region;
        const char *domain;
        bool reaches;
    } Peer;
    static const struct {
        Peer peers[3];
        const char *chosen;
    } cases[] = {
        {{{"a", "r1", "d1", true}, {"b", "r1", "d2", true}}, "a"},
        {{{"a", "r1", "d1", false}, {"b", "r1", "d2", true}}, "b"},
        {{{"a", "r1", "d1", false}, {"b", "r2", "d3", true}}, "b"},
        {{{"a", "r2", "d3", true}, {"b", "r1", "d2", true}}, "b"},
        {{{"a", "r1", "d1", false}, {"b", "r2", "d3", false}}, ""},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        FakeSteering *f = start_cut();
        FakeRequest *req;
        for (const Peer *p = cases[i].peers; p->name != NULL; p++) {
            put_peer(f, p->name, p->region, p->domain, p->reaches);
        }
        cr_expect_str_eq(passed_to(f, "/once/x", &req), cases[i].chosen,
                         "case %zu", i);
        cr_expect_eq(req->status, cases[i].chosen[0] == '\0' ? 503 : 0);
        Steering_Finish(f);
    }
}

/* Guards against: all requests of a failure domain go to the one entry of it
 * that is left. */
Test(router_pass_on, requests_are_spread)
{
    FakeSteering *f = start_cut();
    uint32_t to_a = 0;
    FakeRequest *req;

    put_peer(f, "a", "r1", "d1", true);
    put_peer(f, "b", "r1", "d2", true);
    for (int i = 0; i < 40; i++) {
        to_a += strcmp(passed_to(f, "/once/x", &req), "a") == 0;
    }
    cr_expect(to_a >= 20 && to_a <= 24, "%u", to_a);
    Steering_Finish(f);
}

/* Guards against: two entries without links pass a request to and fro. */
Test(router_pass_on, a_request_takes_one_hop)
{
    FakeSteering *f = start_cut();
    FakeRequest *req;

    put_peer(f, "a", "r1", "d1", true);
    f->arrivals_are_passed_on = true;
    cr_expect_str_eq(passed_to(f, "/once/x", &req), "");
    cr_expect_eq(req->status, 503);
    Steering_Finish(f);
}

/* Guards against: an attempt at another entry is taken for one that did not
 * run, or for one that may have. */
Test(router_pass_on, the_outcome_is_what_the_other_entry_states)
{
    static const struct {
        const char *name;
        const char *path;
        GwPassedOnEnd end;
        uint32_t hops;   /* in total */
        uint16_t status; /* 0: a server's answer, or open */
        bool over;
    } cases[] = {
        {"answered",
         "/once/x",
         {.attempt = {.outcome = GW_ATTEMPT_ANSWERED, .status = 200},
          .has_reached = true},
         1,
         0,
         true},
        {"a server's own error",
         "/once/x",
         {.attempt = {.outcome = GW_ATTEMPT_ANSWERED, .status = 500},
          .has_reached = true},
         1,
         0,
         true},
        {"not run there",
         "/once/x",
         {.attempt = {.outcome = GW_ATTEMPT_REFUSED, .status = 503}},
         2,
         0,
         false},
        {"refused by a server there",
         "/once/x",
         {.attempt = {.outcome = GW_ATTEMPT_REFUSED, .status = 503},
          .has_reached = true},
         2,
         0,
         false},
        {"no connection to it",
         "/once/x",
         {.attempt = {.outcome = GW_ATTEMPT_UNSENT}},
         2,
         0,
         false},
        {"no answer to a request that may run once",
         "/once/x",
         {.attempt = {.outcome = GW_ATTEMPT_LOST}, .has_reached = true},
         1,
         502,
         true},
        {"no answer to a request that may run again",
         "/again/x",
         {.attempt = {.outcome = GW_ATTEMPT_LOST}, .has_reached = true},
         2,
         0,
         false},
        {"no room at any server",
         "/once/x",
         {.attempt = {.outcome = GW_ATTEMPT_REFUSED, .status = 503},
          .has_no_capacity = true,
          .retry_after_ms = 321},
         1,
         503,
         true},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        FakeSteering *f = start_cut();
        FakeRequest *req;
        put_peer(f, "a", "r1", "d1", true);
        put_peer(f, "b", "r1", "d1", true);
        earn_retries(f);
        (void)passed_to(f, cases[i].path, &req);
        FakeSteering_EndHop(f, req, &cases[i].end);
        cr_expect_eq(req->hops, cases[i].hops, "%s", cases[i].name);
        cr_expect_eq(req->status, cases[i].status, "%s", cases[i].name);
        cr_expect_eq(req->over, cases[i].over, "%s", cases[i].name);
        cr_expect(cases[i].end.retry_after_ms == 0 ||
                      req->retry_after_ms == cases[i].end.retry_after_ms,
                  "%s", cases[i].name);
        Steering_Finish(f);
    }
}

/* Guards against: a request reaches more servers than its route allows, because
 * each entry counts its own attempts only. */
Test(router_pass_on, attempts_are_bounded_over_all_entries)
{
    GwPassedOnEnd refused = {
        .attempt = {.outcome = GW_ATTEMPT_REFUSED, .status = 503},
        .has_reached = true};
    FakeSteering *f = start_cut();
    FakeRequest *req;
    uint32_t hops = 0;

    for (char name[] = "a"; name[0] < 'i'; name[0]++) {
        put_peer(f, name, "r1", "d1", true);
    }
    earn_retries(f);
    (void)passed_to(f, "/once/x", &req);
    while (!req->over && hops < 20) {
        FakeSteering_EndHop(f, req, &refused);
        hops++;
    }
    cr_expect_eq(hops, ATTEMPTS_MAX);
    cr_expect_eq(req->status, 503);
    Steering_Finish(f);
}

/* Guards against: the entry that is asked sends the request to a second server,
 * of which the first entry doesn't know. */
Test(router_pass_on, the_entry_that_is_asked_reaches_one_server)
{
    FakeSteering *f = Steering_Start(ATTEMPTS_MAX);

    FakeSteering_PutServer(f, "s0", "r1", "d1", 8);
    FakeSteering_PutServer(f, "s1", "r1", "d1", 8);
    earn_retries(f);
    f->arrivals_are_passed_on = true;
    FakeRequest *req = FakeSteering_Arrive(f, "/again/x", NULL, LEFT_MS);
    cr_assert_not_null(req->server);
    FakeSteering_EndAttempt(f, req, GW_ATTEMPT_REFUSED, 503);
    cr_expect_eq(req->status, 503);
    cr_expect_eq(req->sends, 1);
    Steering_Finish(f);
}

/* Guards against: the body of a request with homes goes to an entry of another
 * region. */
Test(router_pass_on, homes_bind_the_entry_that_is_asked)
{
    static const struct {
        const char *home;
        const char *chosen;
    } cases[] = {{"r1", "a"}, {"r2", "b"}, {"r3", ""}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        FakeSteering *f = start_cut();
        GwRouting *routing = FakeSteering_Routing(9, ATTEMPTS_MAX);
        for (uint32_t k = 0; k < routing->hosts[0].route_count; k++) {
            GwRoute *route = &routing->hosts[0].routes[k];
            route->homes = g_new0(char *, 1);
            route->homes[0] = g_strdup(cases[i].home);
            route->home_count = 1;
        }
        cr_assert(GwRouter_SetRouting(f->router, routing));
        GwRouting_Unref(routing);
        put_peer(f, "a", "r1", "d1", true);
        put_peer(f, "b", "r2", "d3", true);
        FakeRequest *req;
        cr_expect_str_eq(passed_to(f, "/once/x", &req), cases[i].chosen,
                         "home %s", cases[i].home);
        Steering_Finish(f);
    }
}

/* Guards against: requests that were passed on are unaccounted for when their
 * caller disconnects, or the other entry is gone. */
Test(router_pass_on, a_disconnect_ends_the_attempt)
{
    FakeSteering *f = start_cut();
    FakeRequest *req;

    put_peer(f, "a", "r1", "d1", true);
    for (int i = 0; i < 200; i++) {
        cr_assert_str_eq(passed_to(f, "/once/x", &req), "a", "round %d", i);
        FakeSteering_Disconnect(f, req);
    }
    (void)passed_to(f, "/once/x", &req);
    GwRouter_DropPeer(f->router, f->now_us, "a");
    FakeSteering_EndHop(
        f, req,
        &(GwPassedOnEnd){.attempt = {.outcome = GW_ATTEMPT_LOST},
                         .has_reached = true});
    cr_expect_eq(req->status, 502);
    Steering_Finish(f);
}

/* Guards against: a caller whose time is over is told that its request did not
 * run, though the other entry may have sent it. */
Test(router_pass_on, the_end_of_the_time_leaves_the_outcome_open)
{
    FakeSteering *f = start_cut();
    FakeRequest *req;

    put_peer(f, "a", "r1", "d1", true);
    (void)passed_to(f, "/once/x", &req);
    cr_expect_leq(req->left_ms, LEFT_MS);
    FakeSteering_Advance(f, (int64_t)(LEFT_MS + 200) * MS);
    cr_expect_eq(req->status, 504);
    Steering_Finish(f);
}

/* Guards against: all requests return to the servers at once when the links are
 * back. */
Test(router_pass_on, requests_are_taken_back_over_time)
{
    FakeSteering *f = start_cut();
    uint32_t passed[2] = {0};

    put_peer(f, "a", "r1", "d1", true);
    for (int i = 0; i < 3; i++) {
        FakeSteering_EndProbes(f, GW_PROBE_ALIVE);
        FakeSteering_Advance(f, 260 * MS);
    }
    for (int half = 0; half < 2; half++) {
        for (int i = 0; i < 100; i++) {
            FakeRequest *req;
            passed[half] += passed_to(f, "/again/x", &req)[0] != '\0';
            FakeSteering_Disconnect(f, req);
        }
        FakeSteering_Advance(f, 1000 * MS);
    }
    cr_expect_gt(passed[0], 5);
    cr_expect_lt(passed[0], 100);
    cr_expect_eq(passed[1], 0);
    Steering_Finish(f);
}
