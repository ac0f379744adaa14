/* The tree along which the entries of a failure domain fetch rows. */
#include "edge/fetch_tree.h"

#include <criterion/criterion.h>
#include <glib.h>

#define CASES(cases) (sizeof(cases) / sizeof((cases)[0]))

/* After a change, the root of each failure domain fetches at once and the
 * others from their parent; an unreachable parent is not waited for beyond
 * the limit, and small failure domains do not wait at all. */
Test(fetch_tree, each_entry_fetches_from_its_parent)
{
    static const struct {
        GwFetchView view;
        bool fetches;
        const char *what;
    } cases[] = {
        {{.domain_size = 12, .own_rank = 0, .provider_rank = GW_FETCH_OUTSIDE},
         true,
         "the root fetches from any entry"},
        {{.domain_size = 12, .own_rank = 3, .provider_rank = GW_FETCH_OUTSIDE},
         false,
         "the others wait"},
        {{.domain_size = 12, .own_rank = 3, .provider_rank = 0},
         true,
         "the parent has the rows"},
        {{.domain_size = 12, .own_rank = 7, .provider_rank = 1},
         true,
         "the same, one level below"},
        {{.domain_size = 12, .own_rank = 7, .provider_rank = 0},
         false,
         "not from the grandparent: it would serve all"},
        {{.domain_size = 12, .own_rank = 7, .provider_rank = 9},
         false,
         "an entry that is not the parent"},
        {{.domain_size = 12,
          .own_rank = 7,
          .provider_rank = GW_FETCH_OUTSIDE,
          .waited_us = GW_FETCH_WAIT_US},
         true,
         "the parent did not respond in time"},
        {{.domain_size = GW_FETCH_TREE_MIN - 1,
          .own_rank = 2,
          .provider_rank = GW_FETCH_OUTSIDE},
         true,
         "a small failure domain"},
    };

    for (size_t i = 0; i < CASES(cases); i++) {
        cr_expect_eq(GwFetchView_MayFetch(&cases[i].view), cases[i].fetches,
                     "%s", cases[i].what);
    }
}

/* For any size of the failure domain, all entries get the rows in few
 * steps, and no entry answers more requests than the fanout. */
Test(fetch_tree, rows_reach_all_with_bounded_answers)
{
    static const struct {
        uint32_t size;
        uint32_t steps;
    } cases[] = {{4, 1}, {5, 1}, {50, 3}, {54, 3}};
    bool has[64];
    uint32_t answers[64];

    for (size_t i = 0; i < CASES(cases); i++) {
        uint32_t size = cases[i].size;
        uint32_t missing = size - 1;
        uint32_t steps = 0;
        for (uint32_t k = 0; k < size; k++) {
            has[k] = k == 0;
            answers[k] = 0;
        }
        for (; missing > 0 && steps < 10; steps++) {
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
                    missing -= has[k];
                }
            }
        }
        cr_expect_eq(missing, 0, "%u entries", size);
        cr_expect_leq(steps, cases[i].steps, "%u entries: %u", size, steps);
        for (uint32_t k = 0; k < size; k++) {
            cr_expect_leq(answers[k], GW_FETCH_FANOUT, "%u of %u", k, size);
        }
    }
}

/* The larger instance ranks first; among equals, all entries agree on one
 * order. */
Test(fetch_tree, large_instances_rank_first)
{
    static const struct {
        GwEntryRank a;
        GwEntryRank b;
        bool before;
        const char *what;
    } cases[] = {
        {{"a", 200000, 500}, {"b", 10000, 500}, true, "the larger link"},
        {{"a", 10000, 900},
         {"b", 200000, 100},
         false,
         "the larger link outweighs the processor"},
        {{"a", 10000, 500}, {"b", 10000, 100}, true, "the larger processor"},
        {{"a", 0, 0}, {"b", 10000, 100}, false, "unknown link"},
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

/* Entries of one failure domain, in rank order: large links first. */
typedef struct {
    uint32_t entries;
    uint32_t large; /* entries with the large link */
    uint32_t large_kbps;
    uint32_t small_kbps;
    uint32_t all; /* entries of the deployment; they share the store's link */
} Fleet;

#define STORE_KBPS 4000000u
/* Time from the change to the request: the next report. */
#define REPORT_DELAY_MS 200u

static uint32_t
link_of(const Fleet *f, uint32_t entry)
{
    return entry < f->large ? f->large_kbps : f->small_kbps;
}

/* Time until the last entry has the rows, in ms after the root of the
 * failure domain has them. Copies that an entry sends concurrently share
 * its link. */
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
            at_ms[k] = at_ms[from] + REPORT_DELAY_MS + MAX(own_ms, shared_ms);
        }
        else {
            uint64_t sent_ms = bytes * 8 * GW_FETCH_FANOUT / link_of(f, from);
            at_ms[k] = at_ms[from] + REPORT_DELAY_MS + MAX(own_ms, sent_ms);
        }
        last_ms = MAX(last_ms, at_ms[k]);
    }
    return last_ms;
}

/* A configuration of two thousand routes (330 KB) is published. Relayed
 * between instances of 10 Mbit/s, four copies each, it would take 3 to 4 s,
 * and requests would meet the older version after the bound. The bounds are
 * those that operators state: 2.5 s at 12 entries, 3 and 4 s at 70 and 200,
 * 14 s at 650; half of each is left for the report of the root, processing,
 * and callers on the same link. */
Test(fetch_tree, large_rows_reach_small_instances_in_time)
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
