/* Callers' connections of an entry: how they end, and what becomes of
 * requests that are under way or come just then. */
#include "fakes/edge_entry.h"

#include <criterion/criterion.h>
#include <string.h>

/* Answered at once by the entry itself. */
#define NOWHERE "GET /nowhere/ HTTP/1.1\r\nHost: h\r\n"
/* Passed on to the server, which answers nothing. */
#define ONCE  "GET /once/x HTTP/1.1\r\nHost: h\r\n\r\n"
#define AGAIN "GET /again/x HTTP/1.1\r\nHost: h\r\n\r\n"

static bool
is_under_way(void *ctx)
{
    const EdgeEntry *entry = ctx;

    return GwRouter_OpenCount(entry->edge->router) > 0;
}

/* As many as one connection may have under way. */
#define FULL 32

static bool
is_full(void *ctx)
{
    const EdgeEntry *entry = ctx;

    return GwRouter_OpenCount(entry->edge->router) == FULL;
}

static void
expect_on_page(const EdgeEntry *entry, const char *line)
{
    GString *page = g_string_new(NULL);

    GwStatus_WriteMetrics(entry->edge, page);
    cr_expect_not_null(strstr(page->str, line), "%s is not in\n%s", line,
                       page->str);
    g_string_free(page, TRUE);
}

/* A caller sends two requests at once and has said that its connection ends
 * with the first. The second is read, dropped, and sent again elsewhere: that
 * is right, and must be told apart from what is lost. */
Test(edge_callers, requests_behind_a_close_are_counted)
{
    static const char *const behind[] = {
        NOWHERE "\r\n", NOWHERE "Content-Length: 3\r\n\r\nabc",
        NOWHERE, /* and its head goes no further */
    };

    for (size_t i = 0; i < G_N_ELEMENTS(behind); i++) {
        EdgeEntry entry = EdgeEntry_Start();
        PlainCaller caller = PlainCaller_Connect(&entry);

        PlainCaller_Send(&caller, NOWHERE "Connection: close\r\n\r\n");
        (void)PlainCaller_AwaitAnswer(&caller);
        (void)PlainCaller_AwaitEnd(&caller);
        cr_expect_eq(entry.edge->counts.dropped, 0);
        PlainCaller_Send(&caller, behind[i]);
        (void)PlainCaller_AwaitReset(&caller);
        expect_on_page(&entry, "gw_requests_dropped_total 1\n");
        PlainCaller_Close(&caller);
        EdgeEntry_Stop(&entry);
    }
}

/* The process ends while one request is at a server and one waits behind it.
 * Their callers see a closed connection; the log said that they had left. */
Test(edge_callers, requests_that_the_end_of_the_process_cuts_are_told_so)
{
    EdgeEntry entry = EdgeEntry_Start();
    PlainCaller caller = PlainCaller_Connect(&entry);

    PlainCaller_Send(&caller, ONCE AGAIN);
    cr_assert(EdgeEntry_RunUntil(&entry, is_under_way, &entry));
    GwCallers_CloseAll(entry.edge);
    expect_on_page(&entry,
                   "gw_request_ms_count{route=\"/once/\",end=\"cut\"} 1\n");
    expect_on_page(&entry,
                   "gw_request_ms_count{route=\"(none)\",end=\"cut\"} 1\n");
    PlainCaller_Close(&caller);
    EdgeEntry_Stop(&entry);
}

/* Those whose caller has left are still told as such. */
Test(edge_callers, requests_whose_caller_left_are_told_so)
{
    EdgeEntry entry = EdgeEntry_Start();
    PlainCaller caller = PlainCaller_Connect(&entry);

    PlainCaller_Send(&caller, AGAIN);
    cr_assert(EdgeEntry_RunUntil(&entry, is_under_way, &entry));
    PlainCaller_Close(&caller);
    while (!g_queue_is_empty(&entry.edge->callers)) {
        (void)uv_run(&entry.edge->loop, UV_RUN_ONCE);
    }
    expect_on_page(&entry,
                   "gw_request_ms_count{route=\"/again/\",end=\"left\"} 1\n");
    EdgeEntry_Stop(&entry);
}

/* As the entry itself does it. */
static void
sweep_after(EdgeEntry *entry, int64_t ms)
{
    GwCallers_Sweep(entry->edge, GwEdge_Now() + ms * 1000);
    GwEdge_Carry(entry->edge);
}

/* Its request is answered, and the entry knows that the answer has arrived. */
static void
become_idle(PlainCaller *caller)
{
    PlainCaller_Send(caller, NOWHERE "\r\n");
    cr_assert_eq(PlainCaller_AwaitAnswer(caller), CALLER_WAITS);
    sweep_after(caller->entry, 0);
}

static PlainCaller
connect_idle(EdgeEntry *entry)
{
    PlainCaller caller = PlainCaller_Connect(entry);

    become_idle(&caller);
    return caller;
}

static void
sweep_above_limit(EdgeEntry *entry)
{
    sweep_after(entry, GW_DEFAULT_IDLE_TIMEOUT_MS + 1000);
}

static void
stop_idle(EdgeEntry *entry)
{
    GwCallers_CloseIdle(entry->edge);
}

typedef struct {
    const char *what;
    void (*close)(EdgeEntry *entry);
} IdleClose;

static const IdleClose idle_closes[] = {
    {"a stop", stop_idle},
    {"the idle limit", sweep_above_limit},
};

/* The entry closes an idle connection while a request of its caller is on the
 * way. The request was read and dropped, and the connection ended without an
 * answer: the caller may not send it again, since it may have run. Idle
 * connections were closed like those behind a last answer, which read on for
 * 0.4 s; the entry's counter of dropped requests showed it. */
Test(edge_callers, a_request_that_crosses_an_idle_close_stays_unread)
{
    for (size_t i = 0; i < G_N_ELEMENTS(idle_closes); i++) {
        EdgeEntry entry = EdgeEntry_Start();
        PlainCaller caller = connect_idle(&entry);

        idle_closes[i].close(&entry);
        cr_assert_eq(PlainCaller_AwaitEnd(&caller), CALLER_ENDED, "%s",
                     idle_closes[i].what);
        PlainCaller_Send(&caller, ONCE);
        cr_expect_eq(PlainCaller_AwaitReset(&caller), CALLER_RESET, "%s",
                     idle_closes[i].what);
        cr_expect_eq(entry.edge->counts.dropped, 0, "%s", idle_closes[i].what);
        PlainCaller_Close(&caller);
        EdgeEntry_Stop(&entry);
    }
}

#define MANY      400
#define NOT_FOUND "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"

static bool
have_all_arrived(void *ctx)
{
    return ((EdgeEntry *)ctx)->edge->counts.arrived == MANY;
}

static uint32_t
count_answers(const PlainCaller *caller)
{
    uint32_t count = 0;

    for (const char *at = caller->got->str;
         (at = strstr(at, "HTTP/1.1 404 ")) != NULL; at++) {
        count++;
    }
    return count;
}

static void
send_times(PlainCaller *caller, const char *request, uint32_t times)
{
    GString *requests = g_string_new(NULL);

    for (uint32_t i = 0; i < times; i++) {
        g_string_append(requests, request);
    }
    PlainCaller_Send(caller, requests->str);
    g_string_free(requests, TRUE);
}

/* The entry has answered all of them, and the caller has read none. */
static void
send_many(PlainCaller *caller)
{
    send_times(caller, NOWHERE "\r\n", MANY);
    cr_assert(
        EdgeEntry_RunUntil(caller->entry, have_all_arrived, caller->entry));
}

/* Answers are on their way on a narrow link when their connection is closed,
 * and the caller sends a further request. The reset that this one gets must
 * not overtake the answers and destroy them. */
static void
expect_answers_to_arrive(const IdleClose *end)
{
    EdgeEntry entry = EdgeEntry_Start();
    PlainCaller caller = PlainCaller_ConnectNarrow(&entry);

    send_many(&caller);
    end->close(&entry);
    PlainCaller_Send(&caller, ONCE);
    (void)PlainCaller_AwaitEnd(&caller);
    cr_expect_eq(count_answers(&caller), MANY, "%s: %u", end->what,
                 count_answers(&caller));
    cr_expect_eq(entry.edge->counts.dropped, 0, "%s", end->what);
    PlainCaller_Close(&caller);
    EdgeEntry_Stop(&entry);
}

Test(edge_callers, answers_arrive_before_an_idle_close)
{
    for (size_t i = 0; i < G_N_ELEMENTS(idle_closes); i++) {
        expect_answers_to_arrive(&idle_closes[i]);
    }
}

static void
end_process(EdgeEntry *entry)
{
    GwCallers_CloseAll(entry->edge);
}

/* At the end of the process sockets were closed at once. The kernel goes on
 * sending, but a request that comes then makes it forget what it has: a few
 * dozen of 400 answers arrived. */
Test(edge_callers, answers_arrive_before_the_end_of_the_process)
{
    const IdleClose end = {"the end of the process", end_process};

    expect_answers_to_arrive(&end);
}

/* The entry was busy or stood still while a connection reached its idle limit
 * and a request came on it. The limit was looked at first, and the request was
 * then read and dropped; its caller had kept to the limit. Only a stop asked
 * the socket whether something had come; the sweep of the limits did not. */
Test(edge_callers, a_connection_with_a_request_unread_is_not_idle)
{
    for (size_t i = 0; i < G_N_ELEMENTS(idle_closes); i++) {
        EdgeEntry entry = EdgeEntry_Start();
        PlainCaller caller = connect_idle(&entry);

        PlainCaller_Send(&caller, NOWHERE "\r\n");
        idle_closes[i].close(&entry);
        cr_expect_eq(PlainCaller_AwaitAnswer(&caller), CALLER_WAITS, "%s",
                     idle_closes[i].what);
        cr_expect_gt(caller.got->len, 0, "%s", idle_closes[i].what);
        cr_expect_eq(entry.edge->counts.dropped, 0, "%s", idle_closes[i].what);
        PlainCaller_Close(&caller);
        EdgeEntry_Stop(&entry);
    }
}

/* A new configuration lowers the idle limit. Connections that were idle for
 * longer than the new limit were closed at the next sweep, though their
 * callers had them under the old one and were still using them: requests
 * crossed the close. The sweep knew the newest limit only. */
Test(edge_callers, a_lowered_idle_limit_leaves_what_is_idle_alone)
{
    EdgeEntry entry = EdgeEntry_Start();
    PlainCaller caller = connect_idle(&entry);

    EdgeEntry_SetIdleLimit(&entry, 1000);
    sweep_after(&entry, GW_DEFAULT_IDLE_TIMEOUT_MS * 4 / 5);
    PlainCaller_Send(&caller, NOWHERE "\r\n");
    cr_expect_eq(PlainCaller_AwaitAnswer(&caller), CALLER_WAITS);
    cr_expect_gt(caller.got->len, 0);
    cr_expect_eq(entry.edge->counts.dropped, 0);
    PlainCaller_Close(&caller);
    EdgeEntry_Stop(&entry);
}

/* It holds from the next time that the connection is idle; a raised one holds
 * at once, since callers may know it. */
Test(edge_callers, a_new_idle_limit_comes_into_force)
{
    static const struct {
        uint32_t limit_ms;
        int64_t idle_ms;
        CallerState state;
    } cases[] = {
        {1000, 500, CALLER_WAITS},
        {1000, 1500, CALLER_ENDED},
        {60000, 50000, CALLER_WAITS},
        {60000, 61000, CALLER_ENDED},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        EdgeEntry entry = EdgeEntry_Start();
        bool lowered = cases[i].limit_ms < GW_DEFAULT_IDLE_TIMEOUT_MS;
        PlainCaller caller = connect_idle(&entry);

        EdgeEntry_SetIdleLimit(&entry, cases[i].limit_ms);
        if (lowered) {
            become_idle(&caller);
        }
        sweep_after(&entry, cases[i].idle_ms);
        if (cases[i].state == CALLER_ENDED) {
            cr_expect_eq(PlainCaller_AwaitEnd(&caller), CALLER_ENDED,
                         "case %zu", i);
        }
        else {
            PlainCaller_Send(&caller, NOWHERE "\r\n");
            cr_expect_eq(PlainCaller_AwaitAnswer(&caller), CALLER_WAITS,
                         "case %zu", i);
        }
        PlainCaller_Close(&caller);
        EdgeEntry_Stop(&entry);
    }
}

/* A caller sends two requests at once, and the second is cut in two on the
 * way. With the first answered and half of the second read, the connection
 * was taken for idle and closed in a stop: the second got no answer and no
 * refusal. The parser said "inside a message" by a flag that the first message
 * took back and the second, in the same read, did not set again. */
Test(edge_callers, a_connection_with_half_a_request_is_not_idle)
{
    EdgeEntry entry = EdgeEntry_Start();
    PlainCaller caller = PlainCaller_Connect(&entry);

    PlainCaller_Send(&caller, NOWHERE "\r\n" NOWHERE);
    cr_assert_eq(PlainCaller_AwaitAnswer(&caller), CALLER_WAITS);
    stop_idle(&entry);
    PlainCaller_Send(&caller, "\r\n");
    cr_expect_eq(PlainCaller_AwaitAnswer(&caller), CALLER_WAITS);
    cr_expect_gt(caller.got->len, 0);
    cr_expect_eq(entry.edge->counts.dropped, 0);
    PlainCaller_Close(&caller);
    EdgeEntry_Stop(&entry);
}

/* The answers take their time on a narrow link. The caller counts from their
 * arrival, for up to four fifths of the limit; the entry counted from the
 * moment at which it had handed them to its kernel, and closed the connection
 * just before the caller's next request. */
Test(edge_callers, a_connection_is_idle_from_the_arrival_of_its_answer)
{
    EdgeEntry entry = EdgeEntry_Start();
    PlainCaller caller = PlainCaller_ConnectNarrow(&entry);

    send_many(&caller);
    sweep_after(&entry, 0);
    PlainCaller_Take(&caller, MANY * strlen(NOT_FOUND));
    cr_assert_eq(count_answers(&caller), MANY);
    sweep_after(&entry, GW_DEFAULT_IDLE_TIMEOUT_MS * 3 / 5);
    sweep_after(&entry, GW_DEFAULT_IDLE_TIMEOUT_MS * 7 / 5);
    PlainCaller_Send(&caller, NOWHERE "\r\n");
    cr_expect_eq(PlainCaller_AwaitAnswer(&caller), CALLER_WAITS);
    cr_expect_gt(caller.got->len, 0);
    PlainCaller_Close(&caller);
    EdgeEntry_Stop(&entry);
}

static void
refuse_long(EdgeEntry *entry, PlainCaller *caller)
{
    (void)entry;
    PlainCaller_Send(caller, NOWHERE "Content-Length: 1000000000000\r\n\r\n");
}

static void
refuse_for_room(EdgeEntry *entry, PlainCaller *caller)
{
    entry->edge->bodies.max = 1;
    PlainCaller_Send(caller, NOWHERE "Content-Length: 2000\r\n\r\n");
}

static void
refuse_slow(EdgeEntry *entry, PlainCaller *caller)
{
    PlainCaller_Send(caller, NOWHERE "Content-Length: 2000\r\n\r\n");
    EdgeEntry_RunOnce(entry);
    sweep_after(entry, GW_DEFAULT_IDLE_TIMEOUT_MS + 1000);
}

#define PIECE    "0123456789"
#define PIECES   12
#define PIECE_MS 60 /* all take longer than a close lingers in silence */

/* A request is refused at its head, and its caller sends the whole body before
 * it looks for an answer. The entry read on for 0.4 s behind its refusal, and
 * then reset the connection: the refusal was lost, and with it the promise
 * that the request has not run. The time was counted from the refusal, not
 * from what came last. */
Test(edge_callers, a_refusal_outlives_the_body_that_still_comes)
{
    static const struct {
        const char *status;
        void (*refuse)(EdgeEntry *entry, PlainCaller *caller);
    } cases[] = {
        {"HTTP/1.1 413 ", refuse_long},
        {"HTTP/1.1 503 ", refuse_for_room},
        {"HTTP/1.1 408 ", refuse_slow},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        EdgeEntry entry = EdgeEntry_Start();
        PlainCaller caller = PlainCaller_Connect(&entry);

        cases[i].refuse(&entry, &caller);
        for (int k = 0; k < PIECES && caller.state != CALLER_RESET; k++) {
            PlainCaller_Send(&caller, PIECE);
            EdgeEntry_RunOnce(&entry);
            g_usleep(PIECE_MS * 1000);
            PlainCaller_Take(&caller, 0);
        }
        cr_expect_eq(PlainCaller_AwaitEnd(&caller), CALLER_ENDED, "%s",
                     cases[i].status);
        cr_expect(g_str_has_prefix(caller.got->str, cases[i].status), "%s: %s",
                  cases[i].status, caller.got->str);
        PlainCaller_Close(&caller);
        EdgeEntry_Stop(&entry);
    }
}

/* The entry stood still while the rest of a request came. The limit for half
 * a request was looked at first, and the request refused as too slow although
 * its bytes were there: timers of the loop come before reads. */
Test(edge_callers, a_request_whose_rest_is_unread_is_not_late)
{
    EdgeEntry entry = EdgeEntry_Start();
    PlainCaller caller = PlainCaller_Connect(&entry);

    PlainCaller_Send(&caller, NOWHERE);
    EdgeEntry_RunOnce(&entry);
    sweep_after(&entry, 0);
    PlainCaller_Send(&caller, "\r\n");
    sweep_after(&entry, GW_DEFAULT_HEAD_TIMEOUT_MS + 1000);
    cr_expect_eq(PlainCaller_AwaitAnswer(&caller), CALLER_WAITS);
    cr_expect(g_str_has_prefix(caller.got->str, "HTTP/1.1 404 "), "%s",
              caller.got->str);
    PlainCaller_Close(&caller);
    EdgeEntry_Stop(&entry);
}

/* A caller sends more requests at once than the entry takes, which stops
 * reading; then it leaves. Its end stood behind what was not read, and its
 * requests went on at the servers until the first one was answered. The loop
 * tells no end of a stream that it does not read. */
Test(edge_callers, a_caller_that_is_not_read_can_leave)
{
    EdgeEntry entry = EdgeEntry_Start();
    PlainCaller caller = PlainCaller_Connect(&entry);

    send_times(&caller, AGAIN, FULL);
    cr_assert(EdgeEntry_RunUntil(&entry, is_full, &entry));
    PlainCaller_Send(&caller, AGAIN);
    PlainCaller_Shut(&caller);
    sweep_after(&entry, 0);
    cr_expect_eq(GwRouter_OpenCount(entry.edge->router), 0);
    PlainCaller_Close(&caller);
    EdgeEntry_Stop(&entry);
}

#define FLOOD_BYTES (8u << 20) /* more than buffers of kernels on the way */

/* A caller sends requests without end and reads no answer. The entry read on
 * and kept the answers: ten bytes of memory for each that the caller sent.
 * Only requests under way stopped it, and these were over at once. */
Test(edge_callers, a_caller_that_reads_nothing_is_not_read_either)
{
    EdgeEntry entry = EdgeEntry_Start();
    PlainCaller caller = PlainCaller_ConnectNarrow(&entry);
    GString *text = g_string_new(NULL);

    for (int i = 0; i < MANY; i++) {
        g_string_append(text, NOWHERE "\r\n");
    }
    size_t sent = PlainCaller_Flood(&caller, text->str, FLOOD_BYTES);
    cr_expect_lt(sent, FLOOD_BYTES);
    uint64_t before = entry.edge->counts.arrived;
    while (caller.got->len < sent && entry.edge->counts.arrived == before) {
        PlainCaller_Take(&caller, caller.got->len + 1);
        EdgeEntry_RunOnce(&entry);
    }
    cr_expect_gt(entry.edge->counts.arrived, before, "it is read again");
    g_string_free(text, TRUE);
    PlainCaller_Close(&caller);
    EdgeEntry_Stop(&entry);
}
