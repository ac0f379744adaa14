#include "edge/news.h"

#include <criterion/criterion.h>
#include <glib.h>

#define CASES(cases) (sizeof(cases) / sizeof((cases)[0]))

/* A row changes. The first of each failure domain fetches it at once, and the
 * others from the one above them; nobody waits for one that does not come, and
 * in small failure domains nobody waits at all. */
Test(news, who_asks_whom)
{
    static const struct {
        GwFetchView view;
        bool asks;
        const char *what;
    } cases[] = {
        {{.domain_size = 12, .own_rank = 0, .provider_rank = GW_FETCH_OUTSIDE},
         true,
         "the first asks anybody"},
        {{.domain_size = 12, .own_rank = 3, .provider_rank = GW_FETCH_OUTSIDE},
         false,
         "the others wait"},
        {{.domain_size = 12, .own_rank = 3, .provider_rank = 0},
         true,
         "the one above"},
        {{.domain_size = 12, .own_rank = 7, .provider_rank = 1},
         true,
         "the same, below"},
        {{.domain_size = 12, .own_rank = 7, .provider_rank = 0},
         false,
         "not the one above that: it would serve all"},
        {{.domain_size = 12, .own_rank = 7, .provider_rank = 9},
         false,
         "one beside"},
        {{.domain_size = 12,
          .own_rank = 7,
          .provider_rank = GW_FETCH_OUTSIDE,
          .waited_us = GW_FETCH_WAIT_US},
         true,
         "the one above did not come"},
        {{.domain_size = GW_FETCH_TREE_MIN - 1,
          .own_rank = 2,
          .provider_rank = GW_FETCH_OUTSIDE},
         true,
         "a small domain"},
    };

    for (size_t i = 0; i < CASES(cases); i++) {
        cr_expect_eq(GwFetchView_MayFetch(&cases[i].view), cases[i].asks, "%s",
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
                    GwFetchView view = {.domain_size = size,
                                        .own_rank = k,
                                        .provider_rank = t};
                    has[k] = had[t] && GwFetchView_MayFetch(&view);
                    answers[t] += has[k];
                    left -= has[k];
                }
            }
        }
        cr_expect_eq(left, 0, "%u entries", size);
        cr_expect_leq(steps, cases[i].steps, "%u entries: %u", size, steps);
        for (uint32_t k = 0; k < size; k++) {
            cr_expect_leq(answers[k], GW_FETCH_FANOUT, "%u of %u", k, size);
        }
    }
}

/* The larger instance goes first, and of equals all agree on one order. */
Test(news, large_instances_go_first)
{
    static const struct {
        GwEntryRank a;
        GwEntryRank b;
        bool before;
        const char *what;
    } cases[] = {
        {{"a", 200000, 500}, {"b", 10000, 500}, true, "the larger link"},
        {{"a", 10000, 900}, {"b", 200000, 100}, false, "it goes first"},
        {{"a", 10000, 500}, {"b", 10000, 100}, true, "the larger processor"},
        {{"a", 0, 0}, {"b", 10000, 100}, false, "one that has not said"},
    };

    for (size_t i = 0; i < CASES(cases); i++) {
        cr_expect_eq(GwEntryRank_IsBefore(&cases[i].a, &cases[i].b),
                     cases[i].before, "%s", cases[i].what);
        cr_expect_eq(GwEntryRank_IsBefore(&cases[i].b, &cases[i].a),
                     !cases[i].before, "%s, seen from b", cases[i].what);
    }
    GwEntryRank a = {"a", 10000, 100};
    GwEntryRank b = {"b", 10000, 100};
    cr_expect_neq(GwEntryRank_IsBefore(&a, &b), GwEntryRank_IsBefore(&b, &a));
    cr_expect_not(GwEntryRank_IsBefore(&a, &a));
}

/* Entries of one failure domain, large ones first as in the tree. */
typedef struct {
    uint32_t entries;
    uint32_t large; /* of them, with the larger link */
    uint32_t large_kbps;
    uint32_t small_kbps;
    uint32_t all; /* entries of the deployment, which share the store's link */
} Fleet;

#define STORE_KBPS 4000000u
/* Between hearing that there is news and asking for it: the next report. */
#define HEAR_MS 200u

static uint32_t
link_of(const Fleet *f, uint32_t entry)
{
    return entry < f->large ? f->large_kbps : f->small_kbps;
}

/* When the last entry has the rows, in ms after the first of the failure
 * domain has them. Copies that one entry sends at once share its link. */
static uint64_t
last_has_rows_ms(const Fleet *f, uint64_t bytes)
{
    uint64_t at_ms[64] = {0};
    uint64_t last_ms = 0;

    for (uint32_t k = 1; k < f->entries; k++) {
        uint32_t from = (k - 1) / GW_FETCH_FANOUT;
        GwFetchCopy size = {.bytes = bytes,
                            .link_kbps = MIN(link_of(f, k), link_of(f, from))};
        uint64_t own_ms = bytes * 8 / link_of(f, k);
        if (GwFetchCopy_IsLarge(&size)) {
            uint64_t shared_ms = bytes * 8 * f->all / STORE_KBPS;
            at_ms[k] = at_ms[from] + HEAR_MS + MAX(own_ms, shared_ms);
        }
        else {
            uint64_t sent_ms = bytes * 8 * GW_FETCH_FANOUT / link_of(f, from);
            at_ms[k] = at_ms[from] + HEAR_MS + MAX(own_ms, sent_ms);
        }
        last_ms = MAX(last_ms, at_ms[k]);
    }
    return last_ms;
}

/* A version of two thousand routes (330 KB) comes. Passed on from instance to
 * instance of 10 Mbit/s, four copies each, it would take 3 to 4 s, and
 * requests would meet the older version after the bound. The bounds are those
 * that operators state: 2.5 s at 12 entries, 3 and 4 s at 70 and 200, 14 s at
 * 650; half of each is left to the report of the first, to the processor and
 * to callers on the same link. */
Test(news, large_rows_reach_small_instances_in_time)
{
    static const struct {
        Fleet fleet;
        uint64_t bytes;
        uint64_t bound_ms;
    } cases[] = {
        {{2, 2, 1000000, 1000000, 12}, 330000, 2500},
        {{12, 2, 200000, 10000, 70}, 330000, 3000},
        {{12, 0, 200000, 10000, 70}, 330000, 3000},
        {{22, 3, 200000, 20000, 200}, 330000, 4000},
        {{54, 5, 200000, 10000, 650}, 1000000, 14000},
        {{12, 2, 200000, 10000, 70}, 5000, 3000},
        {{12, 0, 200000, 10000, 70}, 31000, 3000},
    };

    for (size_t i = 0; i < CASES(cases); i++) {
        uint64_t last_ms = last_has_rows_ms(&cases[i].fleet, cases[i].bytes);
        cr_expect_leq(last_ms, cases[i].bound_ms / 2,
                      "case %zu: %" G_GUINT64_FORMAT " ms", i, last_ms);
    }
}
