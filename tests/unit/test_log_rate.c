/* Rate limit of the log lines of one event. */
#include "common/log_rate.h"

#include <criterion/criterion.h>

/* Under a flood of one event, lines pass up to the burst and then at the rate.
 * The number of suppressed lines is reported once, with the next line. */
Test(log_rate, suppressed_lines_are_reported_once)
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

Test(log_rate, no_line_is_suppressed_at_the_rate)
{
    GwLogRate rate = {0};
    uint64_t suppressed;

    for (int64_t i = 1; i <= 10000; i++) {
        cr_assert(GwLogRate_Take(&rate, i * 1000000 / GW_LOG_RATE_PER_S,
                                 &suppressed));
        cr_assert_eq(suppressed, 0);
    }
}
