#include "edge/news.h"

#include <criterion/criterion.h>

#define CASES(cases) (sizeof(cases) / sizeof((cases)[0]))

/* A row changes. The first of each failure domain fetches it at once, and the
 * others from the one above them; nobody waits for one that does not come, and
 * in small failure domains nobody waits at all. */
Test(news, who_asks_whom)
{
    static const struct {
        GwNewsSight sight;
        bool asks;
        const char *what;
    } cases[] = {
        {{.domain_size = 12, .own = 0, .teller = GW_NEWS_OUTSIDE},
         true,
         "the first asks anybody"},
        {{.domain_size = 12, .own = 3, .teller = GW_NEWS_OUTSIDE},
         false,
         "the others wait"},
        {{.domain_size = 12, .own = 3, .teller = 0}, true, "the one above"},
        {{.domain_size = 12, .own = 7, .teller = 1}, true, "the same, below"},
        {{.domain_size = 12, .own = 7, .teller = 0},
         false,
         "not the one above that: it would serve all"},
        {{.domain_size = 12, .own = 7, .teller = 9}, false, "one beside"},
        {{.domain_size = 12,
          .own = 7,
          .teller = GW_NEWS_OUTSIDE,
          .waited_us = GW_NEWS_WAIT_US},
         true,
         "the one above did not come"},
        {{.domain_size = GW_NEWS_DOMAIN_MIN - 1,
          .own = 2,
          .teller = GW_NEWS_OUTSIDE},
         true,
         "a small domain"},
    };

    for (size_t i = 0; i < CASES(cases); i++) {
        cr_expect_eq(GwNews_AsksNow(&cases[i].sight), cases[i].asks, "%s",
                     cases[i].what);
    }
}

/* Whatever the size of a failure domain, all get the rows, in few steps, and no
 * entry answers more than the fan. */
Test(news, rows_reach_all_with_bounded_answers)
{
    static const struct {
        uint32_t size;
        uint32_t steps;
    } cases[] = {{4, 1}, {5, 1}, {50, 3}, {54, 3}};
    bool has[64];
    uint32_t answers[64];

    for (size_t i = 0; i < CASES(cases); i++) {
        uint32_t size = cases[i].size;
        uint32_t left = size - 1;
        uint32_t steps = 0;
        for (uint32_t k = 0; k < size; k++) {
            has[k] = k == 0;
            answers[k] = 0;
        }
        for (; left > 0 && steps < 10; steps++) {
            bool had[64];
            for (uint32_t k = 0; k < size; k++) {
                had[k] = has[k];
            }
            for (uint32_t k = 1; k < size; k++) {
                for (uint32_t t = 0; t < size && !has[k]; t++) {
                    GwNewsSight sight = {
                        .domain_size = size, .own = k, .teller = t};
                    has[k] = had[t] && GwNews_AsksNow(&sight);
                    answers[t] += has[k];
                    left -= has[k];
                }
            }
        }
        cr_expect_eq(left, 0, "%u entries", size);
        cr_expect_leq(steps, cases[i].steps, "%u entries: %u", size, steps);
        for (uint32_t k = 0; k < size; k++) {
            cr_expect_leq(answers[k], GW_NEWS_FAN, "%u of %u", k, size);
        }
    }
}
