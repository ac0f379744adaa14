/* Measurement of the turns of an event loop. */
#include "edge/turns.h"

#include "fakes/edge_host.h"

#include <criterion/criterion.h>
#include <string.h>

#define LONG_US  (2 * GW_TURN_LONG_US)
#define SLEEP_MS 50

typedef struct {
    int64_t work_us; /* work per turn in which the timer fires */
    int turns_left;
    uint32_t notified;
    int64_t notified_max_us;
} Work;

static int64_t
clock_us(void)
{
    return (int64_t)(uv_hrtime() / 1000);
}

static void
on_timer(uv_timer_t *timer)
{
    const Work *work = timer->data;
    int64_t start_us = clock_us();

    while (clock_us() - start_us < work->work_us) {
    }
    if (--((Work *)timer->data)->turns_left == 0) {
        uv_close((uv_handle_t *)timer, NULL);
    }
}

static void
on_long(void *ctx, int64_t turn_us)
{
    Work *work = ctx;

    work->notified++;
    work->notified_max_us = MAX(work->notified_max_us, turn_us);
}

/* Guards against late answers that leave no trace in the entry's log: a busy
 * loop stamps each line with the time at which the request was read. Turns are
 * measured without the time spent waiting for input. */
Test(turns, long_turns_are_counted_without_idle_time)
{
    static const struct {
        int64_t work_us;
        int turns;
        uint32_t long_min; /* minimum number of long turns */
    } cases[] = {{0, 4, 0}, {LONG_US, 1, 1}, {LONG_US, 2, 2}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Work work = {.work_us = cases[i].work_us,
                     .turns_left = cases[i].turns};
        uv_loop_t loop;
        uv_timer_t timer;
        int64_t start_us = clock_us();

        (void)uv_loop_init(&loop);
        GwTurns *turns = GwTurns_Create(&loop, on_long, &work);
        (void)uv_timer_init(&loop, &timer);
        timer.data = &work;
        (void)uv_timer_start(&timer, on_timer, SLEEP_MS, SLEEP_MS);
        (void)uv_run(&loop, UV_RUN_DEFAULT);
        GwTurnsView view = GwTurns_View(turns);
        int64_t asleep_us = (int64_t)(uv_metrics_idle_time(&loop) / 1000);
        cr_expect_geq(view.count_long, cases[i].long_min, "case %zu", i);
        cr_expect_eq(view.count_long, work.notified, "case %zu", i);
        cr_expect_geq(view.max_us, cases[i].work_us, "case %zu", i);
        cr_expect_eq(work.notified > 0 ? view.max_us : 0,
                     work.notified_max_us);
        cr_expect_leq(view.busy_us, clock_us() - start_us - asleep_us,
                      "case %zu: waits are no work", i);
        GwTurns_Close(turns);
        (void)uv_run(&loop, UV_RUN_DEFAULT);
        cr_expect_eq(uv_loop_close(&loop), 0);
    }
}

/* Checks the metrics page. */
Test(turns, the_metrics_page_shows_turns)
{
    static const char *const names[] = {
        "\ngw_loop_busy_ms_total ",
        "\ngw_loop_turns_long_total ",
        "\ngw_loop_turn_max_ms ",
        "\ngw_server_looks_total ",
    };
    EdgeHost *h = EdgeHost_Create();
    GString *page = g_string_new(NULL);

    EdgeHost_RunOnce(h);
    GwStatus_WriteMetrics(h->edge, page);
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        cr_expect_not_null(strstr(page->str, names[i]), "%s", names[i]);
    }
    g_string_free(page, TRUE);
    EdgeHost_Free(h);
}
