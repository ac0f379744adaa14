/* Requests without an answer at the end of a graceful stop, for each place in
 * which a request can wait. */
#include "edge/callers_internal.h"
#include "edge/open_requests.h"
#include "edge/peers_internal.h"
#include "fakes/edge_host.h"
#include "fakes/steering.h"
#include "platform/platform.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#define GRACE_MS      100 /* shorter than the patience with a silent quota owner */
#define LONG_GRACE_MS 60000
#define LEFT_MS       20000
#define MEMORY        (2u << 20)
#define LARGE         (400u << 10)
#define PEER_PROCESS  0x1234567890abcdefULL

typedef struct {
    EdgeHost *h;
    int caller;
    GwOpenWait wait;
    GString *got;
} Ctx;

static void
ask_on(int caller, const char *path, const char *id)
{
    char *text = g_strdup_printf(
        "GET %s%s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: %d\r\n%s: key0\r\n\r\n",
        path, id, Platform_Adapter.request_id, id, Platform_Adapter.time_left,
        LEFT_MS, Platform_Adapter.credential);

    EdgeHost_SendText(caller, text);
    g_free(text);
}

static void
ask(const Ctx *c, const char *path, const char *id)
{
    ask_on(c->caller, path, id);
}

static bool
is_there(void *ctx)
{
    Ctx *c = ctx;
    uint32_t counts[GW_WAIT_COUNT];

    (void)GwOpenRequests_Count(c->h->edge, counts);
    return counts[c->wait] > 0;
}

static bool
has_answer(void *ctx)
{
    Ctx *c = ctx;

    g_string_append(c->got, EdgeHost_Read(c->caller));
    return strstr(c->got->str, "HTTP/1.1 ") != NULL;
}

/* ---- The places ---------------------------------------------------------- */

static void
begin_at_server(Ctx *c)
{
    EdgeHost_AddServer(c->h, "a", 4);
    ask(c, "/again/", "r0");
}

static void
begin_in_pipeline(Ctx *c)
{
    begin_at_server(c);
    ask(c, "/once/", "r1");
}

static void
begin_at_slot(Ctx *c)
{
    EdgeHost_AddServer(c->h, "a", 1);
    for (int i = 0; i < 6; i++) {
        char id[8];
        g_snprintf(id, sizeof(id), "r%d", i);
        ask(c, "/again/", id);
    }
}

static void
begin_at_connection(Ctx *c)
{
    EdgeHost_AddServer(c->h, "a", 4);
    EdgeHost_Block(&c->h->servers[0]);
    ask(c, "/again/", "r0");
}

static void
begin_at_peer(Ctx *c)
{
    EdgeHost_AddServer(c->h, "a", 4);
    EdgeHost_Crash(&c->h->servers[0]);
    (void)EdgeHost_AddPeer(c->h, "e2", PEER_PROCESS);
    ask(c, "/once/", "r0");
}

/* The quota's owner is another entry that never answers. */
static void
limit_organisation(Ctx *c)
{
    GwRouting *routing = FakeSteering_Routing(2, 3);

    FakeSteering_AddOrganisations(routing, 1);
    routing->organisations[0].rate_per_s = 100;
    routing->organisations[0].burst = 100;
    cr_assert(GwRouter_SetRouting(c->h->edge->router, routing));
    GwRouting_Unref(routing);
    EdgeHost_AddServer(c->h, "a", 4);
    (void)EdgeHost_AddPeer(c->h, "e2", PEER_PROCESS);
    GwQuotas_ApplyRouting(c->h->edge);
    GwPeers_Sweep(c->h->edge->peers, GwEdge_Now());
}

static void
begin_at_token(Ctx *c)
{
    limit_organisation(c);
    ask(c, "/again/", "r0");
}

static void
fill_room(Ctx *c)
{
    GwEdge *edge = c->h->edge;

    edge->bodies.responses_max = MEMORY;
    GwAnswerRoom_Learn(&edge->room, "/again/", LARGE);
    edge->bodies.responses = MEMORY;
}

static void
begin_at_room(Ctx *c)
{
    EdgeHost_AddServer(c->h, "a", 4);
    fill_room(c);
    ask(c, "/again/", "r0");
}

static void
begin_at_room_before_token(Ctx *c)
{
    limit_organisation(c);
    fill_room(c);
    ask(c, "/again/", "r0");
}

static const struct {
    const char *name;
    void (*begin)(Ctx *c);
    GwOpenWait wait;
    const char *answers; /* status of the first request */
} places[] = {
    {"pipeline", begin_in_pipeline, GW_WAIT_PIPELINE, "HTTP/1.1 502"},
    {"room", begin_at_room, GW_WAIT_ROOM, "HTTP/1.1 503"},
    {"room, then token", begin_at_room_before_token, GW_WAIT_ROOM,
     "HTTP/1.1 503"},
    {"token", begin_at_token, GW_WAIT_TOKEN, "HTTP/1.1 503"},
    {"slot", begin_at_slot, GW_WAIT_SLOT, "HTTP/1.1 502"},
    {"connection", begin_at_connection, GW_WAIT_CONNECTION, "HTTP/1.1 503"},
    {"server", begin_at_server, GW_WAIT_SERVER, "HTTP/1.1 502"},
    {"peer", begin_at_peer, GW_WAIT_PEER, "HTTP/1.1 502"},
};

static Ctx
start(size_t i)
{
    Ctx c = {.h = EdgeHost_Create(),
             .wait = places[i].wait,
             .got = g_string_new(NULL)};

    c.caller = EdgeHost_Connect(c.h);
    places[i].begin(&c);
    cr_assert(EdgeHost_RunUntil(c.h, is_there, &c), "%s", places[i].name);
    return c;
}

static void
finish(Ctx *c)
{
    close(c->caller);
    c->h->edge->bodies.responses = 0;
    EdgeHost_Free(c->h);
    g_string_free(c->got, TRUE);
}

/* Guards against: a request that was read ends without an answer because the
 * stop does not look where it waits. */
Test(edge_open, every_request_is_answered_at_the_end_of_a_stop, .timeout = 60)
{
    for (size_t i = 0; i < G_N_ELEMENTS(places); i++) {
        Ctx c = start(i);
        uint32_t counts[GW_WAIT_COUNT];

        c.h->edge->settings->grace_ms = GRACE_MS;
        (void)raise(SIGTERM);
        GwEdge_Run(c.h->edge);
        cr_expect_eq(GwOpenRequests_Count(c.h->edge, counts), 0, "%s",
                     places[i].name);
        cr_expect(has_answer(&c), "%s", places[i].name);
        cr_expect(g_str_has_prefix(c.got->str, places[i].answers), "%s: %s",
                  places[i].name, c.got->str);
        finish(&c);
    }
}

/* Guards against: the same at a process that was stalled until the grace
 * period had passed. */
Test(edge_open, every_request_is_answered_by_a_stalled_process, .timeout = 60)
{
    for (size_t i = 0; i < G_N_ELEMENTS(places); i++) {
        Ctx c = start(i);
        uint32_t counts[GW_WAIT_COUNT];

        c.h->edge->settings->grace_ms = GRACE_MS;
        (void)raise(SIGTERM);
        g_usleep(2 * GRACE_MS * 1000);
        (void)raise(SIGTERM);
        GwEdge_Run(c.h->edge);
        cr_expect_eq(GwOpenRequests_Count(c.h->edge, counts), 0, "%s",
                     places[i].name);
        cr_expect(has_answer(&c), "%s", places[i].name);
        finish(&c);
    }
}

/* Guards against: a request that has to wait for room in a stop is held until
 * the end, though another entry could serve it at once. */
Test(edge_open, a_stop_refuses_requests_without_room_at_once, .timeout = 60)
{
    for (size_t i = 0; i < G_N_ELEMENTS(places); i++) {
        if (places[i].wait != GW_WAIT_ROOM) {
            continue;
        }
        Ctx c = start(i);
        c.h->edge->settings->grace_ms = LONG_GRACE_MS;
        (void)raise(SIGTERM);
        cr_expect(EdgeHost_RunUntil(c.h, has_answer, &c), "%s",
                  places[i].name);
        cr_expect(g_str_has_prefix(c.got->str, "HTTP/1.1 503"), "%s: %s",
                  places[i].name, c.got->str);
        cr_expect_not_null(strstr(c.got->str, "Retry-After: 0.020"), "%s: %s",
                           places[i].name, c.got->str);
        finish(&c);
    }
}

/* Guards against: a caller that still sends a request at the end of a stop
 * sees a closed connection and can't know that it did not run. */
Test(edge_open, an_incomplete_request_is_refused_at_the_end_of_a_stop,
     .timeout = 30)
{
    Ctx c = {.h = EdgeHost_Create(), .got = g_string_new(NULL)};

    EdgeHost_AddServer(c.h, "a", 4);
    c.caller = EdgeHost_Connect(c.h);
    EdgeHost_SendText(c.caller, "POST /once/r0 HTTP/1.1\r\nHost: h\r\n"
                                "Content-Length: 100\r\n\r\nhalf");
    for (int i = 0; i < 20; i++) {
        EdgeHost_RunOnce(c.h);
        g_usleep(200);
    }
    c.h->edge->settings->grace_ms = GRACE_MS;
    (void)raise(SIGTERM);
    GwEdge_Run(c.h->edge);
    cr_expect(has_answer(&c));
    cr_expect(g_str_has_prefix(c.got->str, "HTTP/1.1 503"), "%s", c.got->str);
    finish(&c);
}
