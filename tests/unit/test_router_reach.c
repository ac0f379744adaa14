/* Whether an entry can connect to the servers of a service. */
#include "unit/steering_cases.h"

#include "router/router_internal.h"

#include <criterion/criterion.h>
#include <string.h>

#define MS      1000
#define LEFT_MS 2000

typedef struct {
    uint32_t ends;
    uint32_t begins;
} Changes;

static void
on_change(void *ctx, const GwReachChange *change)
{
    Changes *changes = ctx;

    changes->ends += change->is_reached;
    changes->begins += !change->is_reached;
}

static bool
is_unreached(const FakeSteering *f)
{
    uint32_t services[GW_UNREACHED_MAX];

    return GwRouter_UnreachedServices(f->router, services, GW_UNREACHED_MAX) ==
               1 &&
           services[0] == GwService_Hash("s");
}

static FakeSteering *
start(uint32_t servers)
{
    FakeSteering *f = Steering_Start(3);

    f->holds_probes = true;
    for (uint32_t i = 0; i < servers; i++) {
        char id[8];
        g_snprintf(id, sizeof(id), "s%u", i);
        FakeSteering_PutServer(f, id, "r1", "d1", 8);
    }
    return f;
}

static void
end_attempt(FakeSteering *f, FakeRequest *req, GwAttemptOutcome outcome,
            GwLinkEnd link, int64_t connect_us)
{
    GwAttemptEnd end = {.outcome = outcome,
                        .status = outcome == GW_ATTEMPT_ANSWERED ? 200 : 0,
                        .link = link,
                        .connect_us = connect_us};

    FakeSteering_EndAttemptSo(f, req, &end);
}

/* Makes all attempts of a request fail to connect. */
static void
fail_request(FakeSteering *f, GwLinkEnd link)
{
    FakeRequest *req = FakeSteering_Arrive(f, "/again/x", NULL, LEFT_MS);

    while (!req->over) {
        cr_assert_not_null(req->server);
        end_attempt(f, req, GW_ATTEMPT_UNSENT, link, 0);
    }
}

/* Makes so many attempts fail to connect, each at another server. */
static void
fail_attempts(FakeSteering *f, int count)
{
    FakeRequest *req = FakeSteering_Arrive(f, "/again/x", NULL, LEFT_MS);

    for (int i = 0; i < count; i++) {
        cr_assert_not_null(req->server);
        end_attempt(f, req, GW_ATTEMPT_UNSENT, GW_LINK_REFUSED, 0);
    }
    FakeSteering_Disconnect(f, req);
}

/* Guards against: one server that is down makes a service unreached, or no
 * number of servers in a row does. */
Test(router_reach, a_service_is_unreached_after_failures_in_a_row)
{
    static const struct {
        const char *name;
        uint32_t servers;
        const char *events; /* f: connect fails, o: succeeds, r: reused */
        bool is_unreached;
    } cases[] = {
        {"two of three", 3, "ff", false},
        {"three of three", 3, "fff", true},
        {"three of nine", 9, "fff", true},
        {"a success between", 9, "ffoff", false},
        {"a success first", 9, "offf", true},
        {"answers on open connections prove nothing", 9, "frfrf", true},
        {"the only server", 1, "f", true},
        {"one of two", 2, "f", false},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        FakeSteering *f = start(cases[i].servers);
        for (const char *e = cases[i].events; *e != '\0'; e++) {
            /* Longer than an ejection, so that each event has a server. */
            FakeRequest *req =
                FakeSteering_Arrive(f, "/again/x", NULL, LEFT_MS);
            cr_assert_not_null(req->server, "%s", cases[i].name);
            FakeSteering_Advance(f, 5 * MS);
            end_attempt(f, req,
                        *e == 'f' ? GW_ATTEMPT_UNSENT : GW_ATTEMPT_ANSWERED,
                        *e == 'f' ? GW_LINK_REFUSED : GW_LINK_OK,
                        *e == 'o' ? 2 * MS : 0);
            FakeSteering_Disconnect(f, req);
            FakeSteering_Advance(f, 5 * MS);
        }
        cr_expect_eq(is_unreached(f), cases[i].is_unreached, "%s",
                     cases[i].name);
        Steering_Finish(f);
    }
}

/* Guards against: a connection that was set up before the links failed, and
 * whose answer comes after, ends the outage. */
Test(router_reach, an_earlier_connection_proves_nothing)
{
    FakeSteering *f = start(9);
    FakeRequest *early = FakeSteering_Arrive(f, "/again/x", NULL, LEFT_MS);

    FakeSteering_Advance(f, 50 * MS);
    fail_request(f, GW_LINK_TIMEOUT);
    cr_assert(is_unreached(f));
    end_attempt(f, early, GW_ATTEMPT_ANSWERED, GW_LINK_OK, 2 * MS);
    cr_expect(is_unreached(f));
    Steering_Finish(f);
}

/* Guards against: an entry with few requests finds out late, or one whose links
 * are back goes on passing requests on. */
Test(router_reach, probes_confirm_and_end_an_outage)
{
    Changes changes = {0};
    FakeSteering *f = start(9);
    FakeRequest *req = FakeSteering_Arrive(f, "/again/x", NULL, LEFT_MS);

    GwRouter_SetReachCallback(f->router, on_change, &changes);
    end_attempt(f, req, GW_ATTEMPT_UNSENT, GW_LINK_TIMEOUT, 0);
    cr_assert_geq(f->probed->len, 3, "probes of further servers at once");
    FakeSteering_EndProbes(f, GW_PROBE_TIMEOUT);
    cr_assert(is_unreached(f));
    cr_expect_eq(changes.begins, 1);

    FakeSteering_EndProbes(f, GW_PROBE_TIMEOUT);
    FakeSteering_Advance(f, 300 * MS);
    cr_assert_geq(f->probed->len, 1, "probes go on");
    FakeSteering_EndProbes(f, GW_PROBE_ALIVE);
    FakeSteering_Advance(f, 300 * MS);
    FakeSteering_EndProbes(f, GW_PROBE_ALIVE);
    cr_expect_not(is_unreached(f));
    cr_expect_eq(changes.ends, 1);
    Steering_Finish(f);
}

/* Guards against: servers that are known to be down are asked whether the links
 * work, and the probes run out before one that is up is asked. */
Test(router_reach, probes_go_to_servers_whose_last_connection_worked)
{
    FakeSteering *f = start(6);

    f->holds_probes = false; /* each is answered */
    fail_attempts(f, 3);
    f->holds_probes = true;
    for (int i = 0; i < 20; i++) {
        FakeSteering_Advance(f, 300 * MS);
        fail_attempts(f, 1);
        for (guint k = 0; k < f->probed->len; k++) {
            const GwServer *s = f->probed->pdata[k];
            cr_expect_eq(s->connect_failed_us, 0);
        }
        FakeSteering_EndProbes(f, GW_PROBE_ALIVE);
    }
    Steering_Finish(f);
}

/* Guards against: servers stay ejected for failures of this entry's links. */
Test(router_reach, servers_are_used_again_once_reached)
{
    FakeSteering *f = start(3);

    fail_request(f, GW_LINK_REFUSED);
    cr_assert(is_unreached(f));
    while (is_unreached(f)) {
        FakeSteering_EndProbes(f, GW_PROBE_ALIVE);
        FakeSteering_Advance(f, 260 * MS);
    }
    for (int i = 0; i < 6; i++) {
        const FakeRequest *req =
            FakeSteering_Arrive(f, "/again/x", NULL, LEFT_MS);
        cr_expect_not_null(req->server);
    }
    Steering_Finish(f);
}

/* Guards against: without another entry, requests time out one after the other
 * in connections that can't be set up. */
Test(router_reach, only_open_connections_are_used_while_unreached)
{
    FakeSteering *f = start(4);
    FakeRequest *open = FakeSteering_Arrive(f, "/again/x", NULL, LEFT_MS);

    fail_request(f, GW_LINK_TIMEOUT);
    FakeSteering_EndProbes(f, GW_PROBE_TIMEOUT);
    cr_assert(is_unreached(f));
    const FakeRequest *refused =
        FakeSteering_Arrive(f, "/again/x", NULL, LEFT_MS);
    cr_expect_eq(refused->status, 503);
    cr_expect_gt(refused->retry_after_ms, 0);

    char id[16];
    g_strlcpy(id, open->server_id, sizeof(id));
    FakeSteering_Advance(f, MS);
    end_attempt(f, open, GW_ATTEMPT_ANSWERED, GW_LINK_OK, 0);
    FakeSteering_Advance(f, 4500 * MS);
    FakeRequest *sent = FakeSteering_Arrive(f, "/again/x", NULL, LEFT_MS);
    cr_assert_not_null(sent->server, "its server answered after the failures");
    cr_expect_str_eq(sent->server_id, id);
    FakeSteering_EndAttemptSo(
        f, sent,
        &(GwAttemptEnd){.outcome = GW_ATTEMPT_UNSENT, .no_connection = true});
    cr_expect_eq(sent->status, 503);
    Steering_Finish(f);
}

/* Guards against: after all servers of a service crashed, those that are back
 * get no requests until several probes have succeeded. */
Test(router_reach, servers_that_are_back_are_used_while_unreached)
{
    static const struct {
        const char *name;
        bool is_probed;      /* a probe connects to one of the servers */
        const char *started; /* server that registers, NULL: none */
        bool is_used;
    } cases[] = {
        {"none is back", false, NULL, false},
        {"one accepted a connection", true, NULL, true},
        {"a new one has registered", false, "s9", true},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        FakeSteering *f = start(3);
        fail_request(f, GW_LINK_TIMEOUT);
        cr_assert(is_unreached(f));
        FakeSteering_EndProbes(f, GW_PROBE_TIMEOUT);
        FakeSteering_Advance(f, 260 * MS);
        if (cases[i].is_probed) {
            cr_assert_eq(f->probed->len, 1);
            FakeSteering_EndProbes(f, GW_PROBE_ALIVE);
        }
        if (cases[i].started != NULL) {
            FakeSteering_PutServer(f, cases[i].started, "r1", "d1", 8);
        }
        cr_assert(is_unreached(f), "%s", cases[i].name);
        FakeRequest *req = FakeSteering_Arrive(f, "/again/x", NULL, LEFT_MS);
        cr_expect_eq(req->server != NULL, cases[i].is_used, "%s",
                     cases[i].name);
        cr_expect_not(req->reuses_connection, "%s", cases[i].name);
        end_attempt(f, req, GW_ATTEMPT_UNSENT, GW_LINK_TIMEOUT, 0);
        cr_expect(req->over, "%s: a time-out ends its use", cases[i].name);
        Steering_Finish(f);
    }
}

/* Guards against: an entry takes a service whose servers all crashed for
 * unreached, and the first of them that is back gets no requests until a probe
 * finds it. */
Test(router_reach, servers_that_refuse_at_once_are_tried_while_unreached)
{
    FakeSteering *f = start(3);

    fail_request(f, GW_LINK_REFUSED);
    FakeSteering_EndProbes(f, GW_PROBE_REFUSED);
    cr_assert(is_unreached(f));
    FakeSteering_Advance(f, 260 * MS); /* past PANIC_INTERVAL_US */
    FakeRequest *req = FakeSteering_Arrive(f, "/again/x", NULL, LEFT_MS);
    cr_assert_not_null(req->server);
    cr_expect_not(req->reuses_connection);
    while (!req->over) {
        end_attempt(f, req, GW_ATTEMPT_UNSENT, GW_LINK_REFUSED, 0);
    }
    cr_expect_eq(req->status, 503);
    Steering_Finish(f);
}
