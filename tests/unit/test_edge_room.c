/* Requests that wait at an entry until there is room for their answers. */
#include "edge/callers_internal.h"
#include "fakes/edge_host.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#define MEMORY  (2u << 20)
#define LARGE   (400u << 10)
#define TURNS   100
#define LEFT_MS 300

typedef struct {
    EdgeHost *h;
    const char *awaited;
    int caller;
    char got[256];
} Ctx;

static bool
was_received(void *ctx)
{
    const Ctx *c = ctx;

    return EdgeHost_CountRequests(&c->h->servers[0], c->awaited) > 0;
}

static bool
has_answer(void *ctx)
{
    Ctx *c = ctx;

    if (c->got[0] == '\0') {
        g_strlcpy(c->got, EdgeHost_Read(c->caller), sizeof(c->got));
    }
    return c->got[0] != '\0';
}

/* An entry that expects large answers of /again/ and has no room. */
static Ctx
start(void)
{
    Ctx c = {.h = EdgeHost_Create()};
    GwEdge *edge = c.h->edge;

    edge->bodies.responses_max = MEMORY;
    EdgeHost_AddServer(c.h, "a", 8);
    GwAnswerRoom_Learn(&edge->room, "/again/", LARGE);
    GwAnswerRoom_Learn(&edge->room, "/once/", 100);
    edge->bodies.responses = MEMORY;
    c.caller = EdgeHost_Connect(c.h);
    return c;
}

static void
free_room(Ctx *c)
{
    c->h->edge->bodies.responses = 0;
}

static void
stop(Ctx *c)
{
    close(c->caller);
    free_room(c);
    for (int i = 0; i < TURNS; i++) {
        EdgeHost_RunOnce(c->h);
        g_usleep(200);
    }
    cr_expect_eq(c->h->edge->room.reserved, 0);
    cr_expect(g_queue_is_empty(&c->h->edge->room_waiters));
    EdgeHost_Free(c->h);
}

static void
run(Ctx *c)
{
    for (int i = 0; i < TURNS; i++) {
        EdgeHost_RunOnce(c->h);
        g_usleep(200);
    }
}

/* Guards against: a request is sent though its answer has no room, and gets
 * 502 after it has run; or it waits on when there is room again. */
Test(edge_room, a_request_waits_until_its_answer_has_room)
{
    Ctx c = start();
    EdgeHostServer *s = &c.h->servers[0];

    EdgeHost_SendRequest(c.caller, "/again/", "r1");
    run(&c);
    cr_expect_eq(EdgeHost_CountRequests(s, "r1"), 0);
    cr_expect_eq(g_queue_get_length(&c.h->edge->room_waiters), 1);
    free_room(&c);
    c.awaited = "r1";
    cr_assert(EdgeHost_RunUntil(c.h, was_received, &c));
    cr_expect_geq(c.h->edge->room.reserved, LARGE);
    EdgeHost_Answer(s, "r1");
    cr_expect(EdgeHost_RunUntil(c.h, has_answer, &c));
    cr_expect(g_str_has_prefix(c.got, "HTTP/1.1 200 "), "%s", c.got);
    cr_expect_eq(c.h->edge->room.reserved, 0);
    stop(&c);
}

/* Guards against: a small answer waits for the room that large ones need. */
Test(edge_room, a_small_answer_needs_no_room)
{
    Ctx c = start();

    EdgeHost_SendRequest(c.caller, "/once/", "r1");
    c.awaited = "r1";
    cr_expect(EdgeHost_RunUntil(c.h, was_received, &c));
    stop(&c);
}

/* Guards against: a request that waits for room is never answered, or runs
 * after its refusal. */
Test(edge_room, a_request_without_room_in_time_is_refused_as_not_run)
{
    Ctx c = start();

    EdgeHost_SendRequestFor(c.caller, "/again/", "r1", LEFT_MS);
    cr_assert(EdgeHost_RunUntil(c.h, has_answer, &c));
    cr_expect(g_str_has_prefix(c.got, "HTTP/1.1 503 "), "%s", c.got);
    cr_expect_not_null(strstr(c.got, "Retry-After: "), "%s", c.got);
    free_room(&c);
    run(&c);
    cr_expect_eq(EdgeHost_CountRequests(&c.h->servers[0], "r1"), 0);
    cr_expect_eq(c.h->edge->counts.refused_for_room, 1);
    stop(&c);
}

/* Guards against: a request runs though its caller disconnected while it
 * waited for room, or keeps its place in the list. */
Test(edge_room, a_caller_that_disconnects_stops_waiting)
{
    Ctx c = start();
    int other = EdgeHost_Connect(c.h);

    EdgeHost_SendRequest(c.caller, "/again/", "r1");
    run(&c);
    EdgeHost_SendRequest(other, "/again/", "r2");
    run(&c);
    cr_expect_eq(g_queue_get_length(&c.h->edge->room_waiters), 2);
    close(c.caller);
    run(&c);
    cr_expect_eq(g_queue_get_length(&c.h->edge->room_waiters), 1);
    free_room(&c);
    c.awaited = "r2";
    cr_expect(EdgeHost_RunUntil(c.h, was_received, &c));
    cr_expect_eq(EdgeHost_CountRequests(&c.h->servers[0], "r1"), 0);
    c.caller = other;
    stop(&c);
}

/* Guards against: one caller that sends ahead takes the room of all. */
Test(edge_room, a_caller_sends_ahead_within_its_part)
{
    Ctx c = start();
    GwEdge *edge = c.h->edge;

    free_room(&c);
    for (int i = 0; i < 6; i++) {
        char id[8];
        g_snprintf(id, sizeof(id), "r%d", i);
        EdgeHost_SendRequest(c.caller, "/again/", id);
    }
    run(&c);
    cr_expect_eq(EdgeHost_CountRequests(&c.h->servers[0], "r0"), 1);
    cr_expect_eq(EdgeHost_CountRequests(&c.h->servers[0], "r1"), 0);
    cr_expect_eq(edge->room.reserved, LARGE);
    int other = EdgeHost_Connect(c.h);
    EdgeHost_SendRequest(other, "/again/", "o1");
    c.awaited = "o1";
    cr_expect(EdgeHost_RunUntil(c.h, was_received, &c));
    EdgeHost_Answer(&c.h->servers[0], "r0");
    c.awaited = "r1";
    cr_expect(EdgeHost_RunUntil(c.h, was_received, &c));
    close(other);
    stop(&c);
}

/* Guards against: a request that waits for room at the end of a graceful stop
 * gets no answer. */
Test(edge_room, a_waiting_request_is_refused_at_the_end_of_a_stop,
     .timeout = 30)
{
    Ctx c = start();

    c.h->edge->settings->grace_ms = 500;
    EdgeHost_SendRequest(c.caller, "/again/", "r1");
    run(&c);
    (void)raise(SIGTERM);
    GwEdge_Run(c.h->edge);
    cr_expect(has_answer(&c));
    cr_expect(g_str_has_prefix(c.got, "HTTP/1.1 503 "), "%s", c.got);
    cr_expect_eq(EdgeHost_CountRequests(&c.h->servers[0], "r1"), 0);
    stop(&c);
}
