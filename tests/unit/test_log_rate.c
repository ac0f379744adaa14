#include "common/log_rate.h"

#include <criterion/criterion.h>

/* A flood of one event: the burst is written, then the rate, and the number of
 * those left out is told once, with the next line. */
Test(log_rate, a_flood_is_counted_and_told_once)
{
    GwLogRate rate = {0};
    uint64_t suppressed = 99;
    uint32_t written = 0;
    int64_t now_us = 1000000;

    for (int i = 0; i < 1000; i++) {
        written += GwLogRate_Take(&rate, now_us, &suppressed);
    }
    cr_expect_eq(written, GW_LOG_RATE_BURST);
    cr_expect_eq(suppressed, 0);
    now_us += 1000000 / GW_LOG_RATE_PER_S;
    cr_expect(GwLogRate_Take(&rate, now_us, &suppressed));
    cr_expect_eq(suppressed, 1000 - GW_LOG_RATE_BURST);
    cr_expect_not(GwLogRate_Take(&rate, now_us, &suppressed));
    now_us += 1000000;
    cr_expect(GwLogRate_Take(&rate, now_us, &suppressed));
    cr_expect_eq(suppressed, 1);
}

/* What comes at an ordinary rate is never left out. */
Test(log_rate, an_ordinary_rate_is_written_whole)
{
    GwLogRate rate = {0};
    uint64_t suppressed;

    for (int64_t i = 1; i <= 10000; i++) {
        cr_assert(GwLogRate_Take(&rate, i * 1000000 / GW_LOG_RATE_PER_S,
                                 &suppressed));
        cr_assert_eq(suppressed, 0);
    }
}
