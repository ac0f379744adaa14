/* Connections of callers that the entry closes, and when it does not. */
#include "edge/callers_internal.h"
#include "fakes/edge_entry.h"

#include <criterion/criterion.h>
#include <string.h>
#include <sys/socket.h>

#define UNROUTED  "GET /nowhere/ HTTP/1.1\r\nHost: h\r\n"
#define NOT_FOUND "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"

static void
sweep_after(EdgeEntry *entry, int64_t ms)
{
    GwCallers_Sweep(entry->edge, GwEdge_Now() + ms * 1000);
    GwEdge_RunActions(entry->edge);
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

static void
answer_and_go_idle(PlainCaller *caller)
{
    PlainCaller_Send(caller, UNROUTED "\r\n");
    (void)PlainCaller_AwaitAnswer(caller);
    sweep_after(caller->entry, 0);
    sweep_after(caller->entry, GW_DEFAULT_IDLE_TIMEOUT_MS + 1000);
}

static void
answer_and_stop(PlainCaller *caller)
{
    PlainCaller_Send(caller, UNROUTED "\r\n");
    (void)PlainCaller_AwaitAnswer(caller);
    GwCallers_CloseIdle(caller->entry->edge);
}

static void
answer_the_last(PlainCaller *caller)
{
    PlainCaller_Send(caller, UNROUTED "Connection: close\r\n\r\n");
    (void)PlainCaller_AwaitAnswer(caller);
}

static void
reject(PlainCaller *caller)
{
    PlainCaller_Send(caller, "\001\r\n");
    (void)PlainCaller_AwaitAnswer(caller);
}

static void
end_process(PlainCaller *caller)
{
    GwCallers_CloseAll(caller->entry->edge);
}

/* Guards against: connections that the entry closes for different reasons
 * look the same to an operator. */
Test(edge_closes, each_is_counted_by_its_reason)
{
    static const struct {
        const char *reason;
        void (*make)(PlainCaller *caller);
    } cases[] = {
        {"idle", answer_and_go_idle},
        {"stop", answer_and_stop},
        {"last-answer", answer_the_last},
        {"rejected", reject},
        {"exit", end_process},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        EdgeEntry entry = EdgeEntry_Start();
        PlainCaller caller = PlainCaller_Connect(&entry);
        char *line = g_strdup_printf(
            "gw_callers_closed_total{reason=\"%s\"} 1\n", cases[i].reason);

        cases[i].make(&caller);
        (void)PlainCaller_AwaitEnd(&caller);
        expect_on_page(&entry, line);
        expect_on_page(&entry, "gw_callers_cut_total 0\n");
        g_free(line);
        PlainCaller_Close(&caller);
        EdgeEntry_Stop(&entry);
    }
}

/* More than the receive buffer of such a caller. */
#define MANY 400

static bool
have_all_arrived(void *ctx)
{
    return ((EdgeEntry *)ctx)->edge->counts.arrived == MANY;
}

static void
leave_answers_unread(PlainCaller *caller)
{
    GString *requests = g_string_new(NULL);

    for (int i = 0; i < MANY; i++) {
        g_string_append(requests, UNROUTED "\r\n");
    }
    PlainCaller_Send(caller, requests->str);
    cr_assert(
        EdgeEntry_RunUntil(caller->entry, have_all_arrived, caller->entry));
    g_string_free(requests, TRUE);
}

static uint32_t
count_open(const EdgeEntry *entry)
{
    return g_queue_get_length(&entry->edge->callers);
}

/* Reads just that many bytes. */
static void
receive(PlainCaller *caller, size_t len)
{
    char bytes[MANY * sizeof(NOT_FOUND)];

    if (len > 0) {
        cr_assert_eq(recv(caller->fd, bytes, len, MSG_WAITALL), (ssize_t)len);
    }
}

#define STEPS   4
#define STEP_MS 14000

/* Guards against: a caller that reads an answer without a pause for longer
 * than the idle time-out is cut in the middle of it; or one that has stopped
 * reading keeps its connection for good. */
Test(edge_closes, a_caller_keeps_its_connection_as_long_as_it_reads)
{
    static const struct {
        const char *what;
        size_t read; /* in each step */
        bool closed;
    } cases[] = {
        {"it reads", MANY * (sizeof(NOT_FOUND) - 1) / STEPS, false},
        {"it reads next to nothing", 1, true},
        {"it does not read", 0, true},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        EdgeEntry entry = EdgeEntry_Start();
        PlainCaller caller = PlainCaller_ConnectNarrow(&entry);

        leave_answers_unread(&caller);
        for (int step = 0; step < STEPS; step++) {
            receive(&caller, cases[i].read);
            EdgeEntry_RunOnce(&entry);
            sweep_after(&entry, step * STEP_MS);
        }
        cr_expect_eq(count_open(&entry), cases[i].closed ? 0 : 1, "%s",
                     cases[i].what);
        expect_on_page(&entry,
                       cases[i].closed
                           ? "gw_callers_closed_total{reason=\"stalled\"} 1\n"
                           : "gw_callers_closed_total{reason=\"idle\"} 0\n");
        PlainCaller_Close(&caller);
        EdgeEntry_Stop(&entry);
    }
}

/* Guards against: a caller that still reads its answer loses its connection
 * to a new caller, or in a graceful stop. */
Test(edge_closes, a_connection_with_answers_in_transit_frees_no_slot)
{
    EdgeEntry entry = EdgeEntry_Start();
    PlainCaller caller = PlainCaller_ConnectNarrow(&entry);

    entry.edge->settings->fd_limit = 3; /* one connection */
    leave_answers_unread(&caller);
    cr_expect_not(GwCallers_FreeSlot(entry.edge));
    GwCallers_CloseIdle(entry.edge);
    cr_expect_eq(count_open(&entry), 1);
    PlainCaller_Receive(&caller, MANY * strlen(NOT_FOUND));
    cr_expect_eq(caller.got->len, MANY * strlen(NOT_FOUND));
    sweep_after(&entry, 0);
    cr_expect(GwCallers_FreeSlot(entry.edge));
    cr_expect_eq(count_open(&entry), 0);
    PlainCaller_Close(&caller);
    EdgeEntry_Stop(&entry);
}

static bool
is_cut(void *ctx)
{
    return ((EdgeEntry *)ctx)->edge->counts.callers_cut > 0;
}

/* More than the kernel takes for a connection. */
#define HUGE (16u << 20)

static void
write_huge_answer(GwCaller *caller)
{
    GString *answer = g_string_new(NULL);

    g_string_set_size(answer, HUGE);
    memset(answer->str, 'x', HUGE);
    GwConn_WriteOwned(caller->conn, answer);
}

/* Guards against: a process outlives its grace period because a caller does
 * not read the last answers. */
Test(edge_closes, a_slow_reader_does_not_keep_an_ending_process)
{
    EdgeEntry entry = EdgeEntry_Start();
    PlainCaller caller = PlainCaller_ConnectNarrow(&entry);

    write_huge_answer(entry.edge->callers.head->data);
    GwCaller_Close(entry.edge->callers.head->data, GW_CLOSE_LAST);
    EdgeEntry_RunOnce(&entry);
    cr_expect_not(is_cut(&entry));
    entry.edge->close_by_us = GwEdge_Now();
    cr_expect(EdgeEntry_RunUntil(&entry, is_cut, &entry));
    PlainCaller_Close(&caller);
    EdgeEntry_Stop(&entry);
}

#define ANSWER_BYTES (600u << 10) /* within what the kernel takes */

static bool
is_in_kernel(void *ctx)
{
    return GwConn_QueuedBytes(*(GwConn **)ctx) == 0;
}

/* Guards against: a last answer that waits in the process is lost when the
 * process ends, where the kernel would have delivered it. */
Test(edge_closes, the_kernel_gets_the_last_answer)
{
    EdgeEntry entry = EdgeEntry_Start();
    PlainCaller caller = PlainCaller_Connect(&entry);
    GwCaller *c = entry.edge->callers.head->data;
    GwConn *conn = c->conn;
    GString *answer = g_string_new(NULL);

    g_string_set_size(answer, ANSWER_BYTES);
    memset(answer->str, 'x', ANSWER_BYTES);
    GwConn_WriteOwned(conn, answer);
    for (int i = 0; i < 20; i++) {
        EdgeEntry_RunOnce(&entry);
    }
    cr_expect_not(is_in_kernel(&conn));
    GwCaller_Close(c, GW_CLOSE_LAST);
    cr_expect(EdgeEntry_RunUntil(&entry, is_in_kernel, &conn));
    PlainCaller_Close(&caller);
    EdgeEntry_Stop(&entry);
}

#define IDLE_CALLERS 4

static bool
have_all_connected(void *ctx)
{
    return count_open(ctx) == IDLE_CALLERS;
}

/* Guards against: closing one of many idle connections closes another one,
 * which the same loop visits next after it was freed. */
Test(edge_closes, a_close_frees_no_other_connection_of_the_loop)
{
    EdgeEntry entry = EdgeEntry_Start();
    GwEdge *edge = entry.edge;
    PlainCaller callers[IDLE_CALLERS];

    for (int i = 0; i < IDLE_CALLERS; i++) {
        callers[i] = PlainCaller_Connect(&entry);
    }
    cr_assert(EdgeEntry_RunUntil(&entry, have_all_connected, &entry));
    edge->settings->fd_limit = 6; /* two connections */
    edge->is_accept_paused = true;
    sweep_after(&entry, GW_DEFAULT_IDLE_TIMEOUT_MS + 1000);
    cr_expect_eq(edge->counts.callers_closed[GW_CLOSE_IDLE], IDLE_CALLERS);
    cr_expect_eq(edge->counts.callers_closed[GW_CLOSE_SLOT], 0);
    for (int i = 0; i < IDLE_CALLERS; i++) {
        PlainCaller_Close(&callers[i]);
    }
    EdgeEntry_Stop(&entry);
}
