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

/* Servers s0, s1 and so on of service "s", and t0 and t1 of another one. */
static FakeSteering *
start(uint32_t servers)
{
    FakeSteering *f = Steering_Start(3);

    f->holds_probes = true;
    for (uint32_t i = 0; i < servers; i++) {
        char id[8];
        g_snprintf(id, sizeof(id), "s%u", i);
        put_server(f, id, "s");
    }
    put_server(f, "t0", "t");
    put_server(f, "t1", "t");
    return f;
}

/* Ends all probes, also those that follow: servers that have lost a request
 * refuse them, and the others too, unless they are alive. */
static void
end_probes(FakeSteering *f, bool are_others_alive)
{
    while (f->probed->len > 0) {
        GwServer *s = f->probed->pdata[0];
        bool is_alive = are_others_alive && s->connect_failed_us == 0 &&
                        !GwQuarantine_HasLostConnection(
                            GwRouter_Quarantine(f->router), s->hash);
        (void)g_ptr_array_remove_index(f->probed, 0);
        GwRouter_ProbeEnded(f->router, f->now_us, s,
                            is_alive ? GW_PROBE_ALIVE : GW_PROBE_REFUSED,
                            f->actions);
        FakeSteering_RunActions(f);
    }
}

/* Sends a request to a server that has not crashed. */
static FakeRequest *
send_request(FakeSteering *f)
{
    FakeRequest *req = FakeSteering_Arrive(f, "/once/x", NULL, LEFT_MS);

    cr_assert_not_null(req->server);
    while (GwQuarantine_HasCrashed(GwRouter_Quarantine(f->router),
                                   req->server->hash)) {
        FakeSteering_EndAttempt(f, req, GW_ATTEMPT_UNSENT, 0);
        cr_assert_not_null(req->server);
    }
    return req;
}

/* The server closes the connection of the request that it was running. */
static void
lose_connection(FakeSteering *f, FakeRequest *req)
{
    GwAttemptEnd end = {.outcome = GW_ATTEMPT_LOST,
                        .link = GW_LINK_RESET,
                        .closed = true,
                        .fingerprint = &crasher};

    FakeSteering_EndAttemptSo(f, req, &end);
}

/* Guards against: when the servers of a service crash one after the other, the
 * crash of the last one counts for nobody. */
Test(router_crashes, the_last_server_of_a_service_crashes_too)
{
    static const struct {
        const char *name;
        uint32_t servers; /* of the service */
        bool one_by_one;  /* else all are lost at the same moment */
        uint32_t crashes;
    } cases[] = {
        {"one after the other", 3, true, 3},
        {"the links of this entry", 3, false, 0},
        {"the links of this entry to the only server", 1, false, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        FakeSteering *f = start(cases[i].servers);
        FakeRequest *sent[3] = {NULL};
        put_peer(f, "a", true);
        for (uint32_t n = 0; n < cases[i].servers && !cases[i].one_by_one;
             n++) {
            sent[n] = send_request(f);
        }
        for (uint32_t n = 0; n < cases[i].servers; n++) {
            lose_connection(f, sent[n] != NULL ? sent[n] : send_request(f));
            end_probes(f, cases[i].one_by_one);
            FakeSteering_Advance(f, 50 * MS);
        }
        cr_expect_eq(
            GwQuarantine_Crashes(GwRouter_Quarantine(f->router), &crasher),
            cases[i].crashes, "%s", cases[i].name);
        Steering_Finish(f);
    }
}

/* Guards against: an entry that is cut off from one service suspects requests
 * as soon as it connects to a server of another one. */
Test(router_crashes, another_service_says_nothing_while_peers_reach_this_one)
{
    FakeSteering *f = start(3);

    put_peer(f, "a", true);
    lose_connection(f, send_request(f));
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
    FakeSteering *f = start(3);

    lose_connection(f, send_request(f));
    for (int i = 0; i < 100; i++) {
        FakeSteering_EndProbes(f, GW_PROBE_REFUSED);
        FakeSteering_Advance(f, 260 * MS);
    }
    cr_expect_leq(f->router->unconfirmed_crashes->len, 1);
    Steering_Finish(f);
}
