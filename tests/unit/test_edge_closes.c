/* Connections of callers that the entry closes, and when it does not. */
#include "edge/callers_internal.h"
#include "fakes/edge_entry.h"

#include <criterion/criterion.h>
#include <string.h>

#define UNROUTED "GET /nowhere/ HTTP/1.1\r\nHost: h\r\n"

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
