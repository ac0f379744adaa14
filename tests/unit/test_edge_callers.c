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
