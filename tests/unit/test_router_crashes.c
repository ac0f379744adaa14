/* Which failures of servers count as crashes of the requests that they ran. */
#include "unit/steering_cases.h"

#include "router/router_internal.h"

#include <criterion/criterion.h>
#include <string.h>

#define MS      1000
#define LEFT_MS 2000

static const GwFingerprint crasher = {.hi = 1, .lo = 2};

static void
put_server(FakeSteering *f, const char *id, const char *service)
{
    GwServerInfo info = FakeSteering_Info(id, service, "r1", "d1", 8);

    GwRouter_PutServer(f->router, f->now_us, &info, f->actions);
    FakeSteering_RunActions(f);
}

static void
put_peer(FakeSteering *f, const char *name, bool reaches)
{
    uint32_t unreached[] = {GwService_Hash("s")};
    GwPeerInfo info = {.name = name,
                       .region = "r1",
                       .domain = "d1",
                       .serves = true,
                       .unreached = unreached,
                       .unreached_count = !reaches};

    GwRouter_PutPeer(f->router, f->now_us, &info);
}

/* Servers s0 to s2 of service "s", and t0 and t1 of another one. */
static FakeSteering *
start(void)
{
    FakeSteering *f = Steering_Start(3);

    f->holds_probes = true;
    put_server(f, "s0", "s");
    put_server(f, "s1", "s");
    put_server(f, "s2", "s");
    put_server(f, "t0", "t");
    put_server(f, "t1", "t");
    return f;
}

/* The server closes the connection of a request that it was running. */
static void
lose_connection(FakeSteering *f)
{
    FakeRequest *req = FakeSteering_Arrive(f, "/once/x", NULL, LEFT_MS);
    GwAttemptEnd end = {.outcome = GW_ATTEMPT_LOST,
                        .link = GW_LINK_RESET,
                        .closed = true,
                        .fingerprint = &crasher};

    cr_assert_not_null(req->server);
    FakeSteering_EndAttemptSo(f, req, &end);
}

/* Guards against: an entry that is cut off from one service suspects requests
 * as soon as it connects to a server of another one. */
Test(router_crashes, another_service_says_nothing_while_peers_reach_this_one)
{
    FakeSteering *f = start();

    put_peer(f, "a", true);
    lose_connection(f);
    for (int i = 0; i < 3; i++) {
        FakeSteering_EndProbes(f, GW_PROBE_REFUSED);
        FakeSteering_Advance(f, 50 * MS);
    }
    GwRouting *routing = FakeSteering_Routing(2, 3);
    FakeSteering_MoveRoutes(routing, "t");
    (void)GwRouter_SetRouting(f->router, routing);
    GwRouting_Unref(routing);
    FakeRequest *req = FakeSteering_Arrive(f, "/again/x", NULL, LEFT_MS);
    cr_assert_not_null(req->server);
    FakeSteering_Advance(f, 5 * MS);
    FakeSteering_EndAttemptSo(f, req,
                              &(GwAttemptEnd){.outcome = GW_ATTEMPT_ANSWERED,
                                              .status = 200,
                                              .connect_us = MS});
    cr_expect_eq(
        GwQuarantine_Crashes(GwRouter_Quarantine(f->router), &crasher), 0);
    Steering_Finish(f);
}

/* Guards against: each refused connection of a long outage takes memory, and
 * time whenever a connection is set up. */
Test(router_crashes, refused_connections_await_confirmation_once_a_server)
{
    FakeSteering *f = start();

    lose_connection(f);
    for (int i = 0; i < 100; i++) {
        FakeSteering_EndProbes(f, GW_PROBE_REFUSED);
        FakeSteering_Advance(f, 260 * MS);
    }
    cr_expect_leq(f->router->unconfirmed_crashes->len, 1);
    Steering_Finish(f);
}
