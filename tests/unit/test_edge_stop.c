/* Graceful stop of an entry in the test's process: callers are plain sockets,
 * and the test runs the turns of the loop. */
#include "fakes/edge_host.h"
#include "fakes/raw_server.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#define GRACE_MS     1000
#define LEFT_MS      20000 /* of callers: far more than the grace period */
#define SHORT_MS     200 /* time limit that expires well within the long turn */
#define LONG_TURN_US (12 * GRACE_MS * 100)

typedef struct {
    EdgeHost *h;
    int caller;
    GString *got; /* received by the caller */
    const char *awaited;
} Stop;

static Stop
start(uint32_t slots)
{
    Stop stop = {.h = EdgeHost_Create(), .got = g_string_new(NULL)};

    stop.h->edge->settings->grace_ms = GRACE_MS;
    EdgeHost_AddServer(stop.h, "a", slots);
    stop.caller = EdgeHost_Connect(stop.h);
    return stop;
}

static void
finish(Stop *stop)
{
    close(stop->caller);
    EdgeHost_Free(stop->h);
    g_string_free(stop->got, TRUE);
}

static void
ask(const Stop *stop, const char *id)
{
    EdgeHost_SendRequestFor(stop->caller, "/again/", id, LEFT_MS);
}

static uint32_t
count_text(const GString *text, const char *what)
{
    uint32_t count = 0;

    for (const char *at = text->str; (at = strstr(at, what)) != NULL; at++) {
        count++;
    }
    return count;
}

static bool
was_received(void *ctx)
{
    Stop *stop = ctx;

    return EdgeHost_CountRequests(&stop->h->servers[0], stop->awaited) > 0;
}

static bool
has_answer(void *ctx)
{
    Stop *stop = ctx;

    g_string_append(stop->got, EdgeHost_Read(stop->caller));
    return strstr(stop->got->str, stop->awaited) != NULL;
}

static bool
await(Stop *stop, bool (*is_so)(void *ctx), const char *what)
{
    stop->awaited = what;
    return EdgeHost_RunUntil(stop->h, is_so, stop);
}

/* Runs the loop until the kernel's list of ready sockets is empty, so that
 * later events are reported in the order in which they occur. */
static void
settle(const Stop *stop)
{
    for (int i = 0; i < 10; i++) {
        EdgeHost_RunOnce(stop->h);
        g_usleep(1000);
    }
}

static void
on_prepare(uv_prepare_t *prepare)
{
    (void)uv_prepare_stop(prepare);
    (void)raise(SIGTERM);
    g_usleep(LONG_TURN_US);
}

/* Runs one turn in which the signal arrives after the timers have run, and
 * which polls the sockets only long after the end of the grace period. */
static void
signal_in_a_long_turn(const Stop *stop)
{
    uv_prepare_t prepare;

    (void)uv_prepare_init(&stop->h->edge->loop, &prepare);
    (void)uv_prepare_start(&prepare, on_prepare);
    EdgeHost_RunOnce(stop->h);
    uv_close((uv_handle_t *)&prepare, NULL);
    EdgeHost_RunOnce(stop->h);
}

/* A request is unread when the signal arrives, and the loop gets to both only
 * after the grace period. The request must be refused, not forwarded. */
Test(edge_stop, a_request_read_after_the_grace_period_is_refused,
     .timeout = 30)
{
    Stop stop = start(4);

    /* Leaves an idle connection to the server, so that a forwarded request
     * would be sent at once. */
    ask(&stop, "first");
    cr_assert(await(&stop, was_received, "first"));
    EdgeHost_Answer(&stop.h->servers[0], "first");
    cr_assert(await(&stop, has_answer, "200 OK"));
    settle(&stop);
    EdgeHost_SendRequestFor(stop.caller, "/again/", "late", SHORT_MS);
    signal_in_a_long_turn(&stop);
    cr_expect(await(&stop, has_answer, "HTTP/1.1 503"));
    cr_expect_eq(count_text(stop.got, "Connection: close"), 1);
    cr_expect_eq(count_text(stop.got, "Retry-After: "), 1);
    cr_expect_eq(EdgeHost_CountRequests(&stop.h->servers[0], "late"), 0);
    finish(&stop);
}

/* The same for a request that waits for a slot, when an unread answer frees
 * one: the loop reads that answer first. */
Test(edge_stop, a_slot_freed_after_the_grace_period_is_not_assigned,
     .timeout = 30)
{
    Stop stop = start(1);
    char id[8];

    for (int i = 0; i < 4; i++) {
        g_snprintf(id, sizeof(id), "r%d", i);
        ask(&stop, id);
    }
    cr_assert(await(&stop, was_received, "r0"));
    cr_assert(await(&stop, was_received, "r1"));
    settle(&stop);
    EdgeHost_Answer(&stop.h->servers[0], "r0");
    signal_in_a_long_turn(&stop);
    cr_expect(await(&stop, has_answer, "200 OK"));
    cr_expect_eq(EdgeHost_CountRequests(&stop.h->servers[0], "r2"), 0);
    cr_expect_eq(EdgeHost_CountRequests(&stop.h->servers[0], "r3"), 0);
    finish(&stop);
}

#define EMPTY_TABLE                                                           \
    "HTTP/1.1 200 OK\r\nContent-Length: 19\r\n\r\n{\"rows\":[],\"ver\":1}"

static bool
is_ready(void *ctx)
{
    return GwEdge_IsReady(((Stop *)ctx)->h->edge);
}

static guint
count_named(const Stop *stop)
{
    GPtrArray *named = GwPeers_Directory(stop->h->edge->peers, "r1", "d1");
    guint count = named->len;

    g_ptr_array_free(named, TRUE);
    return count;
}

/* Guards against the directory sending callers to an entry that has received a
 * stop signal. */
Test(edge_stop, not_ready_from_the_signal_on, .timeout = 30)
{
    static const RawStep plan[RAW_CONNECTIONS_MAX][RAW_STEPS_MAX] = {
        {{RAW_ANSWER, EMPTY_TABLE}, {RAW_STALL, NULL}},
        {{RAW_ANSWER, EMPTY_TABLE}, {RAW_STALL, NULL}},
        {{RAW_ANSWER, EMPTY_TABLE}, {RAW_STALL, NULL}},
        {{RAW_ANSWER, EMPTY_TABLE}, {RAW_STALL, NULL}},
    };
    RawServer *store = RawServer_Start(plan);
    Stop stop = start(4);
    GwEdgeSettings *settings = stop.h->edge->settings;

    g_strlcpy(settings->store_address, RawServer_Address(store),
              sizeof(settings->store_address));
    cr_assert(EdgeHost_RunUntil(stop.h, is_ready, &stop));
    cr_expect_eq(count_named(&stop), 1);
    (void)raise(SIGTERM); /* not handled by the loop yet */
    cr_expect_not(is_ready(&stop));
    cr_expect_eq(count_named(&stop), 0);
    finish(&stop);
    RawServer_Stop(store);
}

/* Several pipelined requests arrive during a graceful stop. Each must be
 * refused, and only the last answer closes the connection: requests read after
 * an answer that closes it get no answer. */
Test(edge_stop, pipelined_requests_are_refused_one_by_one, .timeout = 30)
{
    Stop stop = start(4);

    EdgeHost_RunOnce(stop.h);
    (void)raise(SIGTERM);
    EdgeHost_RunOnce(stop.h);
    ask(&stop, "one");
    ask(&stop, "two");
    ask(&stop, "three");
    cr_expect(await(&stop, has_answer, "Connection: close"));
    cr_expect_eq(count_text(stop.got, "HTTP/1.1 503"), 3);
    cr_expect_eq(count_text(stop.got, "Retry-After: "), 3);
    cr_expect_eq(count_text(stop.got, "Connection: close"), 1);
    finish(&stop);
}

/* A caller has sent a long-running request before the signal and sends a
 * second one after it. Guards against forwarding the second at once: its
 * answer had to wait for the first and was lost with the process. A request
 * that was not started can be retried. */
Test(edge_stop, nothing_is_begun_behind_another, .timeout = 30)
{
    Stop stop = start(4);

    stop.h->edge->settings->grace_ms =
        100 * LEFT_MS; /* both requests could end */
    ask(&stop, "first");
    cr_assert(await(&stop, was_received, "first"));
    (void)raise(SIGTERM);
    ask(&stop, "second");
    for (int i = 0; i < 100; i++) {
        EdgeHost_RunOnce(stop.h);
    }
    cr_expect_eq(EdgeHost_CountRequests(&stop.h->servers[0], "second"), 0);
    EdgeHost_Answer(&stop.h->servers[0], "first");
    cr_expect(await(&stop, was_received, "second"));
    EdgeHost_Answer(&stop.h->servers[0], "second");
    cr_expect(await(&stop, has_answer, "Connection: close"));
    cr_expect_eq(count_text(stop.got, "200 OK"), 2);
    finish(&stop);
}

/* The grace period ends while a request runs and another waits for a
 * connection to its server. The loop ends, and the second is refused because
 * nothing of it was sent. */
Test(edge_stop, the_loop_ends_and_refuses_unsent_requests, .timeout = 30)
{
    Stop stop = start(4);
    int other;

    ask(&stop, "runs");
    cr_assert(await(&stop, was_received, "runs"));
    EdgeHost_Block(&stop.h->servers[0]);
    other = EdgeHost_Connect(stop.h);
    EdgeHost_SendRequestFor(other, "/once/", "unsent", LEFT_MS);
    EdgeHost_RunOnce(stop.h);
    EdgeHost_RunOnce(stop.h);
    cr_assert_eq(GwRouter_OpenCount(stop.h->edge->router), 2);
    (void)raise(SIGTERM);
    GwEdge_Run(stop.h->edge);
    cr_expect_not_null(strstr(EdgeHost_Read(other), "HTTP/1.1 503"));
    cr_expect_not_null(strstr(EdgeHost_Read(stop.caller), "HTTP/1.1 502"));
    close(other);
    finish(&stop);
}

/* Guards against: requests that are open at the end of the grace period, and
 * those behind them on their connection, end without an answer. */
Test(edge_stop, requests_that_are_still_open_are_answered, .timeout = 30)
{
    Stop stop = start(4);

    ask(&stop, "runs");
    cr_assert(await(&stop, was_received, "runs"));
    EdgeHost_SendRequestFor(stop.caller, "/once/", "behind", LEFT_MS);
    EdgeHost_SendRequestFor(stop.caller, "/again/", "third", LEFT_MS);
    EdgeHost_RunOnce(stop.h);
    (void)raise(SIGTERM);
    GwEdge_Run(stop.h->edge);
    for (int i = 0; i < 100; i++) {
        EdgeHost_RunOnce(stop.h);
    }
    g_string_append(stop.got, EdgeHost_Read(stop.caller));
    cr_expect(g_str_has_prefix(stop.got->str, "HTTP/1.1 502"));
    cr_expect_eq(count_text(stop.got, "HTTP/1.1 503"), 2, "%s", stop.got->str);
    cr_expect_eq(count_text(stop.got, "Connection: close"), 1);
    cr_expect_eq(EdgeHost_CountRequests(&stop.h->servers[0], "behind"), 0);
    finish(&stop);
}
