/* A stop signal arrives while the loop is in a long turn. Guards against
 * counting the grace period from the time at which the loop handles the
 * signal. A busy entry handled the signal 4 s late, counted the whole grace
 * period from there and was killed when the platform's was over: a request
 * read 4.4 s after the signal had its connection closed without an answer 6.0
 * s after it. */
#include "edge/stop_signal.h"

#include <criterion/criterion.h>
#include <errno.h>
#include <signal.h>
#include <unistd.h>

#define BUSY_US 20000

static int64_t
now_us(void)
{
    return (int64_t)(uv_hrtime() / 1000);
}

static void
on_stop_signal(void *owner)
{
    GwStopSignal *s = owner;

    GwStopSignal_Close(s);
}

Test(stop_signal, the_stop_counts_from_the_signal, .timeout = 10)
{
    static const int signals[] = {SIGTERM, SIGINT};

    for (size_t i = 0; i < sizeof(signals) / sizeof(signals[0]); i++) {
        GwStopSignal s;
        uv_loop_t loop;
        (void)uv_loop_init(&loop);
        GwStopSignal_Start(&s, &loop, on_stop_signal, &s);
        cr_expect_eq(GwStopSignal_At(), 0);
        int64_t before_us = now_us();
        (void)raise(signals[i]);
        int64_t after_us = now_us();
        while (now_us() < after_us + BUSY_US) {
            /* keeps the turn busy */
        }
        (void)uv_run(&loop, UV_RUN_DEFAULT);
        cr_expect_geq(GwStopSignal_At(), before_us);
        cr_expect_leq(GwStopSignal_At(), after_us, "signal %d", signals[i]);
        cr_expect_eq(uv_loop_close(&loop), 0);
    }
}

/* A second signal, for example of an impatient operator, does not extend the
 * grace period. The handler preserves errno, also where its wake-up fails: the
 * loop's eventfd is full here. */
Test(stop_signal, the_first_signal_counts_and_errno_stays, .timeout = 10)
{
    uint64_t most = UINT64_MAX - 1;
    GwStopSignal s;
    uv_loop_t loop;

    (void)uv_loop_init(&loop);
    GwStopSignal_Start(&s, &loop, on_stop_signal, &s);
    cr_assert_eq(write(loop.async_io_watcher.fd, &most, sizeof(most)),
                 sizeof(most));
    errno = ENOENT;
    (void)raise(SIGTERM);
    cr_expect_eq(errno, ENOENT);
    int64_t first_us = GwStopSignal_At();
    int64_t until_us = now_us() + BUSY_US;
    while (now_us() < until_us) {
        (void)raise(SIGINT);
    }
    cr_expect_eq(GwStopSignal_At(), first_us);
    (void)uv_run(&loop, UV_RUN_DEFAULT);
    cr_expect_eq(uv_loop_close(&loop), 0);
}
