/* A stop of an entry in the process of the test: callers are plain sockets, and
 * the loop runs when the test says so. */
#include "fakes/edge_host.h"
#include "fakes/raw_server.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#define GRACE_MS    1000
#define LEFT_MS     20000 /* of callers: far more than the grace */
#define SHORT_MS    200   /* and so little that it is over well before */
#define FAR_PAST_US (12 * GRACE_MS * 100)

typedef struct {
    EdgeHost *h;
    int caller;
    GString *got; /* by the caller */
    const char *awaited;
} Stop;

static Stop
start(uint32_t slots)
{
    Stop stop = {.h = EdgeHost_Create(), .got = g_string_new(NULL)};

    stop.h->edge->settings->grace_ms = GRACE_MS;
    EdgeHost_AddServer(stop.h, "a", slots);
    stop.caller = EdgeHost_Call(stop.h);
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
    EdgeHost_AskFor(stop->caller, "/again/", id, LEFT_MS);
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
has_come(void *ctx)
{
    Stop *stop = ctx;

    return EdgeHost_Got(&stop->h->servers[0], stop->awaited) > 0;
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
    return EdgeHost_Until(stop->h, is_so, stop);
}

/* Until the kernel's list of what is ready is empty, so that what comes next is
 * told in the order in which it comes. */
static void
settle(const Stop *stop)
{
    for (int i = 0; i < 10; i++) {
        EdgeHost_Turn(stop->h);
        g_usleep(1000);
    }
}

static void
on_prepare(uv_prepare_t *prepare)
{
    (void)uv_prepare_stop(prepare);
    (void)raise(SIGTERM);
    g_usleep(FAR_PAST_US);
}

/* One turn in which the signal comes, which takes until long after the grace, and
 * which looks at the sockets only then. Timers of that turn have been. */
static void
be_told_in_a_long_turn(const Stop *stop)
{
    uv_prepare_t prepare;

    (void)uv_prepare_init(&stop->h->edge->loop, &prepare);
    (void)uv_prepare_start(&prepare, on_prepare);
    EdgeHost_Turn(stop->h);
    uv_close((uv_handle_t *)&prepare, NULL);
    EdgeHost_Turn(stop->h);
}

/* A request lies unread when the signal comes, and the loop gets to both only
 * when the entry should be gone. It must not be sent on: it is refused. */
Test(edge_stop, what_is_read_late_is_judged_by_the_signal, .timeout = 30)
{
    Stop stop = start(4);

    /* A connection to the server is kept: what is sent leaves at once. */
    ask(&stop, "first");
    cr_assert(await(&stop, has_come, "first"));
    EdgeHost_Answer(&stop.h->servers[0], "first");
    cr_assert(await(&stop, has_answer, "200 OK"));
    settle(&stop);
    EdgeHost_AskFor(stop.caller, "/again/", "late", SHORT_MS);
    be_told_in_a_long_turn(&stop);
    cr_expect(await(&stop, has_answer, "HTTP/1.1 503"));
    cr_expect_eq(count_text(stop.got, "Connection: close"), 1);
    cr_expect_eq(count_text(stop.got, "Retry-After: "), 1);
    cr_expect_eq(EdgeHost_Got(&stop.h->servers[0], "late"), 0);
    finish(&stop);
}

/* The same for one that waits for a slot, when an answer that lies unread makes
 * room: the loop reads that answer first. */
Test(edge_stop, room_that_comes_late_is_not_given, .timeout = 30)
{
    Stop stop = start(1);
    char id[8];

    for (int i = 0; i < 4; i++) {
        g_snprintf(id, sizeof(id), "r%d", i);
        ask(&stop, id);
    }
    cr_assert(await(&stop, has_come, "r0"));
    cr_assert(await(&stop, has_come, "r1")); /* sent ahead of its slot */
    settle(&stop);
    EdgeHost_Answer(&stop.h->servers[0], "r0");
    be_told_in_a_long_turn(&stop);
    cr_expect(await(&stop, has_answer, "200 OK"));
    cr_expect_eq(EdgeHost_Got(&stop.h->servers[0], "r2"), 0);
    cr_expect_eq(EdgeHost_Got(&stop.h->servers[0], "r3"), 0);
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

/* Callers are sent to an entry that has been told to stop. */
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
    cr_assert(EdgeHost_Until(stop.h, is_ready, &stop));
    cr_expect_eq(count_named(&stop), 1);
    (void)raise(SIGTERM); /* the loop has not heard of it yet */
    cr_expect_not(is_ready(&stop));
    cr_expect_eq(count_named(&stop), 0);
    finish(&stop);
    RawServer_Stop(store);
}

/* Several come in one piece, and none can end in the stop. Each is refused, and
 * the last alone closes the connection: what is read behind an answer that
 * closes it would get nothing. */
Test(edge_stop, those_that_come_together_are_refused_each, .timeout = 30)
{
    Stop stop = start(4);

    EdgeHost_Turn(stop.h);
    (void)raise(SIGTERM);
    EdgeHost_Turn(stop.h);
    ask(&stop, "one");
    ask(&stop, "two");
    ask(&stop, "three");
    cr_expect(await(&stop, has_answer, "Connection: close"));
    cr_expect_eq(count_text(stop.got, "HTTP/1.1 503"), 3);
    cr_expect_eq(count_text(stop.got, "Retry-After: "), 3);
    cr_expect_eq(count_text(stop.got, "Connection: close"), 1);
    finish(&stop);
}

/* A caller has sent one before the signal, which runs for long, and sends
 * another behind it. That one was sent on at once and answered; its answer
 * waited for the first one's, and went with the process. It is not begun: the
 * caller may send it again. */
Test(edge_stop, nothing_is_begun_behind_another, .timeout = 30)
{
    Stop stop = start(4);

    stop.h->edge->settings->grace_ms = 100 * LEFT_MS; /* both could end */
    ask(&stop, "first");
    cr_assert(await(&stop, has_come, "first"));
    (void)raise(SIGTERM);
    ask(&stop, "second");
    for (int i = 0; i < 100; i++) {
        EdgeHost_Turn(stop.h);
    }
    cr_expect_eq(EdgeHost_Got(&stop.h->servers[0], "second"), 0);
    EdgeHost_Answer(&stop.h->servers[0], "first");
    cr_expect(await(&stop, has_come, "second"));
    EdgeHost_Answer(&stop.h->servers[0], "second");
    cr_expect(await(&stop, has_answer, "Connection: close"));
    cr_expect_eq(count_text(stop.got, "200 OK"), 2);
    finish(&stop);
}

/* The grace is over while a request runs, and while another waits for a
 * connection to its server. The loop ends; the second has not left, so its
 * caller is told that it did not run. */
Test(edge_stop, the_loop_ends_and_refuses_what_was_not_sent, .timeout = 30)
{
    Stop stop = start(4);
    int other;

    ask(&stop, "runs");
    cr_assert(await(&stop, has_come, "runs"));
    EdgeHost_Block(&stop.h->servers[0]);
    other = EdgeHost_Call(stop.h);
    EdgeHost_AskFor(other, "/once/", "unsent", LEFT_MS);
    EdgeHost_Turn(stop.h);
    EdgeHost_Turn(stop.h);
    cr_assert_eq(GwRouter_OpenCount(stop.h->edge->router), 2);
    (void)raise(SIGTERM);
    GwEdge_Run(stop.h->edge);
    cr_expect_not_null(strstr(EdgeHost_Read(other), "HTTP/1.1 503"));
    cr_expect_str_eq(EdgeHost_Read(stop.caller), "");
    close(other);
    finish(&stop);
}
