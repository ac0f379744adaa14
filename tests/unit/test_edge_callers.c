/* Connections from callers: how they end, and what happens to requests that
 * are in progress or arrive at that moment. */
#include "fakes/edge_entry.h"

#include <criterion/criterion.h>
#include <string.h>

#define UNROUTED "GET /nowhere/ HTTP/1.1\r\nHost: h\r\n"
/* Forwarded to the server, which never answers. */
#define ONCE  "GET /once/x HTTP/1.1\r\nHost: h\r\n\r\n"
#define AGAIN "GET /again/x HTTP/1.1\r\nHost: h\r\n\r\n"

static bool
is_under_way(void *ctx)
{
    const EdgeEntry *entry = ctx;

    return GwRouter_OpenCount(entry->edge->router) > 0;
}

/* Maximum number of requests in progress on one connection. */
#define PIPELINE_MAX 32

static bool
is_full(void *ctx)
{
    const EdgeEntry *entry = ctx;

    return GwRouter_OpenCount(entry->edge->router) == PIPELINE_MAX;
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

/* A caller sends two pipelined requests, the first with "Connection: close".
 * The second is read, dropped and retried elsewhere. That is correct, so the
 * counter must tell it apart from lost requests. */
Test(edge_callers, requests_behind_a_close_are_counted)
{
    static const char *const behind[] = {
        UNROUTED "\r\n", UNROUTED "Content-Length: 3\r\n\r\nabc",
        UNROUTED, /* incomplete head */
    };

    for (size_t i = 0; i < G_N_ELEMENTS(behind); i++) {
        EdgeEntry entry = EdgeEntry_Start();
        PlainCaller caller = PlainCaller_Connect(&entry);

        PlainCaller_Send(&caller, UNROUTED "Connection: close\r\n\r\n");
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

/* The process exits while one request runs at a server and another waits
 * behind it. The callers see a closed connection; the log used to claim that
 * they had disconnected. */
Test(edge_callers, requests_interrupted_by_the_exit_are_counted_as_cut)
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

/* A request whose caller disconnects is counted as such. */
Test(edge_callers, requests_of_a_disconnected_caller_are_counted_as_left)
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

/* Runs the entry's sweep with the clock `ms` ahead. */
static void
sweep_after(EdgeEntry *entry, int64_t ms)
{
    GwCallers_Sweep(entry->edge, GwEdge_Now() + ms * 1000);
    GwEdge_RunActions(entry->edge);
}

/* Gets a request answered and makes the entry note the arrival of the
 * answer. */
static void
become_idle(PlainCaller *caller)
{
    PlainCaller_Send(caller, UNROUTED "\r\n");
    cr_assert_eq(PlainCaller_AwaitAnswer(caller), CALLER_OPEN);
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

/* An entry closes an idle connection while a request of its caller is in
 * transit. Guards against reading and dropping that request, as is done for
 * 0.4 s behind a last answer: the connection then ends without an answer, and
 * the caller can't resend the request because it may have run. */
Test(edge_callers, a_request_that_crosses_an_idle_close_stays_unread)
{
    for (size_t i = 0; i < G_N_ELEMENTS(idle_closes); i++) {
        EdgeEntry entry = EdgeEntry_Start();
        PlainCaller caller = connect_idle(&entry);

        idle_closes[i].close(&entry);
        cr_assert_eq(PlainCaller_AwaitEnd(&caller), CALLER_CLOSED, "%s",
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

/* Sends requests that the entry answers, without reading the answers. */
static void
send_many(PlainCaller *caller)
{
    send_times(caller, UNROUTED "\r\n", MANY);
    cr_assert(
        EdgeEntry_RunUntil(caller->entry, have_all_arrived, caller->entry));
}

/* Guards against: a connection counts as idle while its answers are in transit
 * on a slow link. It is closed in the middle of them, or its caller's next
 * request is left unread. */
Test(edge_callers, answers_arrive_before_an_idle_close)
{
    for (size_t i = 0; i < G_N_ELEMENTS(idle_closes); i++) {
        EdgeEntry entry = EdgeEntry_Start();
        PlainCaller caller = PlainCaller_ConnectNarrow(&entry);

        send_many(&caller);
        idle_closes[i].close(&entry);
        PlainCaller_Receive(&caller, MANY * strlen(NOT_FOUND));
        cr_expect_eq(count_answers(&caller), MANY, "%s: %u",
                     idle_closes[i].what, count_answers(&caller));
        cr_expect_eq(caller.state, CALLER_OPEN, "%s", idle_closes[i].what);
        sweep_after(&entry, 0);
        idle_closes[i].close(&entry);
        cr_expect_eq(PlainCaller_AwaitEnd(&caller), CALLER_CLOSED, "%s",
                     idle_closes[i].what);
        cr_expect_eq(entry.edge->counts.dropped, 0, "%s", idle_closes[i].what);
        PlainCaller_Close(&caller);
        EdgeEntry_Stop(&entry);
    }
}

/* Answers are in transit on a slow link when the process ends, and the caller
 * sends another request. The reset sent for that request must not overtake and
 * destroy the answers. */
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

static void
end_process(EdgeEntry *entry)
{
    GwCallers_CloseAll(entry->edge);
}

/* Guards against closing sockets at once when the process exits. The kernel
 * continues to send, but discards its send buffer when another request
 * arrives: a few dozen of 400 answers arrived. */
Test(edge_callers, answers_arrive_before_the_end_of_the_process)
{
    const IdleClose end = {"the end of the process", end_process};

    expect_answers_to_arrive(&end);
}

/* The entry is busy or stalled while a connection reaches its idle limit and a
 * request arrives on it. Guards against checking the limit before the socket:
 * the request was then read and dropped, although its caller had kept to the
 * limit. The graceful stop checked the socket, the sweep did not. */
Test(edge_callers, a_connection_with_a_request_unread_is_not_idle)
{
    for (size_t i = 0; i < G_N_ELEMENTS(idle_closes); i++) {
        EdgeEntry entry = EdgeEntry_Start();
        PlainCaller caller = connect_idle(&entry);

        PlainCaller_Send(&caller, UNROUTED "\r\n");
        idle_closes[i].close(&entry);
        cr_expect_eq(PlainCaller_AwaitAnswer(&caller), CALLER_OPEN, "%s",
                     idle_closes[i].what);
        cr_expect_gt(caller.got->len, 0, "%s", idle_closes[i].what);
        cr_expect_eq(entry.edge->counts.dropped, 0, "%s", idle_closes[i].what);
        PlainCaller_Close(&caller);
        EdgeEntry_Stop(&entry);
    }
}

/* A new configuration lowers the idle limit. Guards against closing
 * connections that have been idle for longer than the new limit at the next
 * sweep: their callers still use them under the old limit, and requests cross
 * the close. */
Test(edge_callers, a_lowered_idle_limit_leaves_what_is_idle_alone)
{
    EdgeEntry entry = EdgeEntry_Start();
    PlainCaller caller = connect_idle(&entry);

    EdgeEntry_SetIdleLimit(&entry, 1000);
    sweep_after(&entry, GW_DEFAULT_IDLE_TIMEOUT_MS * 4 / 5);
    PlainCaller_Send(&caller, UNROUTED "\r\n");
    cr_expect_eq(PlainCaller_AwaitAnswer(&caller), CALLER_OPEN);
    cr_expect_gt(caller.got->len, 0);
    cr_expect_eq(entry.edge->counts.dropped, 0);
    PlainCaller_Close(&caller);
    EdgeEntry_Stop(&entry);
}

/* A lowered limit applies from the next time that the connection is idle; a
 * raised limit applies at once, because callers may know it. */
Test(edge_callers, a_new_idle_limit_applies)
{
    static const struct {
        uint32_t limit_ms;
        int64_t idle_ms;
        CallerState state;
    } cases[] = {
        {1000, 500, CALLER_OPEN},
        {1000, 1500, CALLER_CLOSED},
        {60000, 50000, CALLER_OPEN},
        {60000, 61000, CALLER_CLOSED},
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
        if (cases[i].state == CALLER_CLOSED) {
            cr_expect_eq(PlainCaller_AwaitEnd(&caller), CALLER_CLOSED,
                         "case %zu", i);
        }
        else {
            PlainCaller_Send(&caller, UNROUTED "\r\n");
            cr_expect_eq(PlainCaller_AwaitAnswer(&caller), CALLER_OPEN,
                         "case %zu", i);
        }
        PlainCaller_Close(&caller);
        EdgeEntry_Stop(&entry);
    }
}

/* A caller sends two pipelined requests, and the second arrives in two parts.
 * Guards against taking the connection for idle, and closing it in a graceful
 * stop without an answer, when the first request is answered and half of the
 * second is read. The parser's flag for a partial message was cleared by the
 * first message and not set by the second in the same read. */
Test(edge_callers, a_connection_with_half_a_request_is_not_idle)
{
    EdgeEntry entry = EdgeEntry_Start();
    PlainCaller caller = PlainCaller_Connect(&entry);

    PlainCaller_Send(&caller, UNROUTED "\r\n" UNROUTED);
    cr_assert_eq(PlainCaller_AwaitAnswer(&caller), CALLER_OPEN);
    stop_idle(&entry);
    PlainCaller_Send(&caller, "\r\n");
    cr_expect_eq(PlainCaller_AwaitAnswer(&caller), CALLER_OPEN);
    cr_expect_gt(caller.got->len, 0);
    cr_expect_eq(entry.edge->counts.dropped, 0);
    PlainCaller_Close(&caller);
    EdgeEntry_Stop(&entry);
}

/* Answers take long on a slow link. The caller measures idle time from their
 * arrival, up to four fifths of the limit. Guards against measuring from the
 * write to the kernel, which closes the connection just before the caller's
 * next request. */
Test(edge_callers, a_connection_is_idle_from_the_arrival_of_its_answer)
{
    EdgeEntry entry = EdgeEntry_Start();
    PlainCaller caller = PlainCaller_ConnectNarrow(&entry);

    send_many(&caller);
    sweep_after(&entry, 0);
    PlainCaller_Receive(&caller, MANY * strlen(NOT_FOUND));
    cr_assert_eq(count_answers(&caller), MANY);
    sweep_after(&entry, GW_DEFAULT_IDLE_TIMEOUT_MS * 3 / 5);
    sweep_after(&entry, GW_DEFAULT_IDLE_TIMEOUT_MS * 7 / 5);
    PlainCaller_Send(&caller, UNROUTED "\r\n");
    cr_expect_eq(PlainCaller_AwaitAnswer(&caller), CALLER_OPEN);
    cr_expect_gt(caller.got->len, 0);
    PlainCaller_Close(&caller);
    EdgeEntry_Stop(&entry);
}

static void
refuse_long(EdgeEntry *entry, PlainCaller *caller)
{
    (void)entry;
    PlainCaller_Send(caller, UNROUTED "Content-Length: 1000000000000\r\n\r\n");
}

static void
refuse_for_room(EdgeEntry *entry, PlainCaller *caller)
{
    entry->edge->bodies.max = 1;
    PlainCaller_Send(caller, UNROUTED "Content-Length: 2000\r\n\r\n");
}

static void
refuse_slow(EdgeEntry *entry, PlainCaller *caller)
{
    PlainCaller_Send(caller, UNROUTED "Content-Length: 2000\r\n\r\n");
    EdgeEntry_RunOnce(entry);
    sweep_after(entry, GW_DEFAULT_IDLE_TIMEOUT_MS + 1000);
}

#define PIECE    "0123456789"
#define PIECES   12
#define PIECE_MS 60 /* longer in total than the linger time */

/* A request is refused at its head, and its caller sends the whole body before
 * reading the answer. Guards against resetting the connection 0.4 s after the
 * refusal instead of after the last input: the refusal is lost, and with it
 * the guarantee that the request did not run. */
Test(edge_callers, a_refusal_is_received_while_the_body_still_arrives)
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
            PlainCaller_Receive(&caller, 0);
        }
        cr_expect_eq(PlainCaller_AwaitEnd(&caller), CALLER_CLOSED, "%s",
                     cases[i].status);
        cr_expect(g_str_has_prefix(caller.got->str, cases[i].status), "%s: %s",
                  cases[i].status, caller.got->str);
        PlainCaller_Close(&caller);
        EdgeEntry_Stop(&entry);
    }
}

/* The entry is stalled while the rest of a request arrives. Guards against
 * checking the time limit for partial requests before the socket, since timers
 * of the loop run before reads: the request was refused as too slow although
 * it was complete. */
Test(edge_callers, a_request_whose_rest_is_unread_is_not_late)
{
    EdgeEntry entry = EdgeEntry_Start();
    PlainCaller caller = PlainCaller_Connect(&entry);

    PlainCaller_Send(&caller, UNROUTED);
    EdgeEntry_RunOnce(&entry);
    sweep_after(&entry, 0);
    PlainCaller_Send(&caller, "\r\n");
    sweep_after(&entry, GW_DEFAULT_HEAD_TIMEOUT_MS + 1000);
    cr_expect_eq(PlainCaller_AwaitAnswer(&caller), CALLER_OPEN);
    cr_expect(g_str_has_prefix(caller.got->str, "HTTP/1.1 404 "), "%s",
              caller.got->str);
    PlainCaller_Close(&caller);
    EdgeEntry_Stop(&entry);
}

/* A caller pipelines more requests than the entry accepts, so the entry stops
 * reading; then the caller disconnects. Guards against missing the disconnect,
 * because libuv doesn't report the end of a stream that is not being read: the
 * requests kept running at the servers until the first one was answered. */
Test(edge_callers, a_disconnect_of_a_paused_caller_is_noticed)
{
    EdgeEntry entry = EdgeEntry_Start();
    PlainCaller caller = PlainCaller_Connect(&entry);

    send_times(&caller, AGAIN, PIPELINE_MAX);
    cr_assert(EdgeEntry_RunUntil(&entry, is_full, &entry));
    PlainCaller_Send(&caller, AGAIN);
    PlainCaller_ShutdownSend(&caller);
    sweep_after(&entry, 0);
    cr_expect_eq(GwRouter_OpenCount(entry.edge->router), 0);
    PlainCaller_Close(&caller);
    EdgeEntry_Stop(&entry);
}

#define FLOOD_BYTES (8u << 20) /* exceeds the kernel's socket buffers */

/* A caller sends requests without end and reads no answers. Guards against
 * buffering the answers without a bound, at ten bytes of memory per byte
 * received: only requests in progress paused the reading, and these ended at
 * once. */
Test(edge_callers, a_caller_that_reads_no_answers_is_paused)
{
    EdgeEntry entry = EdgeEntry_Start();
    PlainCaller caller = PlainCaller_ConnectNarrow(&entry);
    GString *text = g_string_new(NULL);

    for (int i = 0; i < MANY; i++) {
        g_string_append(text, UNROUTED "\r\n");
    }
    size_t sent = PlainCaller_Flood(&caller, text->str, FLOOD_BYTES);
    cr_expect_lt(sent, FLOOD_BYTES);
    uint64_t before = entry.edge->counts.arrived;
    while (caller.got->len < sent && entry.edge->counts.arrived == before) {
        PlainCaller_Receive(&caller, caller.got->len + 1);
        EdgeEntry_RunOnce(&entry);
    }
    cr_expect_gt(entry.edge->counts.arrived, before, "it is read again");
    g_string_free(text, TRUE);
    PlainCaller_Close(&caller);
    EdgeEntry_Stop(&entry);
}
