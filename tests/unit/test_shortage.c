/* Levels, demand and shares of lib/shortage. The behaviour of many entries
 * together is tested by tests/property/shortage.cpp. */
#include "shortage/shortage.h"

#include <criterion/criterion.h>
#include <math.h>
#include <string.h>

#define DESK  1
#define SHELF 2
#define NORTH 10
#define SOUTH 20
#define S_US  1000000
#define LAST  (GW_SHORTAGE_LEVELS - 1)

/* ---- Levels -------------------------------------------------------------- */

/* Guards against: a request of low value, or one whose value is not known,
 * goes before those that are worth most. */
Test(shortage, level_follows_value_per_slot_time)
{
    static const struct {
        const char *name;
        double value;
        double slot_us;
        uint32_t level;
    } cases[] = {
        {"urgent, 16 ms: end of level 0", 1, 15625, 0},
        {"urgent, slightly longer", 1, 15626, 1},
        {"urgent, 1 s", 1, 1e6, 6},
        {"a factor 2 is one level", 0.5, 1e6, 7},
        {"grid, warm", 1, 264000, 5},
        {"grid, cold", 1, 880000, 6},
        {"grid, cold and late", 0.2, 880000, 9},
        {"renewal, cold", 0.25, 1160000, 9},
        {"renewal, cold and late", 0.05, 1160000, 11},
        {"archive, slow server, late", 0.05, 13.3e6, 15},
        {"no time", 1, 0, 0},
        {"tiny time", 1, 1e-9, 0},
        {"tiny value and tiny time", 1e-9, 1e-9, LAST},
        {"huge time", 1, 1e18, LAST},
        {"endless", 1, INFINITY, LAST},
        {"no value", 0, 1e6, LAST},
        {"no value, no time", 0, 0, LAST},
        {"negative value", -1, 1e6, LAST},
        {"negative time", 1, -1e6, LAST},
        {"unknown value", NAN, 1e6, LAST},
        {"unknown time", 1, NAN, LAST},
        {"infinite value", INFINITY, 1e6, 0},
        {"infinite value and time", INFINITY, INFINITY, LAST},
        {"smallest value", 5e-324, 1e6, LAST},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cr_expect_eq(GwShortage_Level(cases[i].value, cases[i].slot_us),
                     cases[i].level, "%s: %u", cases[i].name,
                     GwShortage_Level(cases[i].value, cases[i].slot_us));
    }
}

/* ---- Demand of one entry ------------------------------------------------- */

static uint32_t
work_of(const GArray *demands, uint32_t service, uint32_t region,
        uint32_t level)
{
    uint32_t work = 0;

    for (guint i = 0; i < demands->len; i++) {
        const GwDemand *d = &g_array_index(demands, GwDemand, i);
        if (d->service == service && d->region == region) {
            work += d->work_ms_per_s[level];
        }
    }
    return work;
}

static uint32_t
read_work(const GwDemandMeter *m, int64_t now_us, uint32_t level)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(GwDemand));

    GwDemandMeter_Read(m, now_us, out);
    uint32_t work = work_of(out, DESK, NORTH, level);
    g_array_free(out, TRUE);
    return work;
}

static guint
read_count(const GwDemandMeter *m, int64_t now_us)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(GwDemand));

    GwDemandMeter_Read(m, now_us, out);
    guint count = out->len;
    g_array_free(out, TRUE);
    return count;
}

/* Guards against: a burst that is over still counts as demand. */
Test(shortage, meter_forgets_within_a_second)
{
    static const struct {
        int64_t after_us;
        uint32_t work;
    } cases[] = {{-S_US, 1250},     {0, 1250},
                 {S_US / 2, 1250},  {800000, 1250},
                 {850000, 625},     {875000, 313},
                 {900000, 0},       {12 * (int64_t)S_US, 0},
                 {INT64_MAX / 2, 0}};
    GwDemandMeter *m = GwDemandMeter_Create();

    GwDemandMeter_Add(m, S_US, DESK, NORTH, 3, 1e6);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cr_expect_eq(read_work(m, S_US + cases[i].after_us, 3), cases[i].work,
                     "case %zu: %u", i,
                     read_work(m, S_US + cases[i].after_us, 3));
    }
    GwDemandMeter_Free(m);
}

/* Guards against: the rate differs from the slot time offered per second. */
Test(shortage, meter_reads_the_rate_of_a_steady_stream)
{
    GwDemandMeter *m = GwDemandMeter_Create();

    for (int64_t t = 0; t < 10 * S_US; t += 20000) {
        GwDemandMeter_Add(m, t, DESK, NORTH, 3, 30000);
        GwDemandMeter_Add(m, t, DESK, NORTH, 200, 10000);
        GwDemandMeter_Add(m, t, DESK, SOUTH, 3, 90000);
    }
    cr_expect_float_eq((double)read_work(m, 10 * S_US, 3), 1500, 30);
    cr_expect_float_eq((double)read_work(m, 10 * S_US, LAST), 500, 10);
    cr_expect_eq(read_work(m, 10 * S_US, 4), 0);
    GwDemandMeter_Free(m);
}

/* Guards against: one request with an odd slot time makes the demand of its
 * level unlimited for ever, and all entries refuse the levels after it. */
Test(shortage, meter_ignores_odd_slot_times)
{
    static const double cases[] = {0, -1, -1e300, NAN, INFINITY, -INFINITY};
    GwDemandMeter *m = GwDemandMeter_Create();

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GwDemandMeter_Add(m, 0, DESK, NORTH, 3, cases[i]);
        cr_expect_eq(read_work(m, 0, 3), 0, "case %zu", i);
    }
    GwDemandMeter_Add(m, 0, DESK, NORTH, 3, 1e6);
    cr_expect_eq(read_work(m, 0, 3), 1250);
    GwDemandMeter_Add(m, 0, DESK, NORTH, 3, 1e300);
    cr_expect_eq(read_work(m, 0, 3), UINT32_MAX);
    cr_expect_leq(read_work(m, 60 * (int64_t)S_US, 3), 1);
    GwDemandMeter_Free(m);
}

/* Guards against: the meter grows with each service that ever existed. What is
 * observable is that others keep their rates when one is dropped. */
Test(shortage, meter_drops_services_that_disappeared)
{
    GwDemandMeter *m = GwDemandMeter_Create();

    for (uint32_t i = 0; i < 1000; i++) {
        int64_t now_us = (int64_t)i * S_US;
        GwDemandMeter_Add(m, now_us, 1000 + i, NORTH, 3, 1e6);
        GwDemandMeter_Add(m, now_us, DESK, NORTH, 3, 1e6);
        cr_expect_geq(read_work(m, now_us, 3), 1000);
        cr_expect_leq(read_count(m, now_us), 20);
    }
    cr_expect_eq(read_count(m, 2000 * (int64_t)S_US), 0);
    GwDemandMeter_Free(m);
}

/* ---- Sums ---------------------------------------------------------------- */

/* Guards against: demands of different services or regions are mixed, or a sum
 * of large demands starts again at 0 and everything is admitted. */
Test(shortage, sums_are_by_service_and_region_and_saturate)
{
    const GwDemand a[] = {
        {DESK, NORTH, {[0] = 1, [3] = UINT32_MAX - 1, [LAST] = 7}},
        {SHELF, NORTH, {[3] = 5}},
    };
    const GwDemand b[] = {
        {DESK, SOUTH, {[3] = 9}},
        {DESK, NORTH, {[0] = 2, [3] = 5, [LAST] = 1}},
        {DESK, NORTH, {[0] = 4}},
    };
    static const struct {
        uint32_t service;
        uint32_t region;
        uint32_t level;
        uint32_t work;
    } cases[] = {
        {DESK, NORTH, 0, 7},  {DESK, NORTH, 3, UINT32_MAX},
        {DESK, NORTH, 4, 0},  {DESK, NORTH, LAST, 8},
        {SHELF, NORTH, 3, 5}, {DESK, SOUTH, 3, 9},
        {SHELF, SOUTH, 3, 0},
    };
    GArray *sum = g_array_new(FALSE, FALSE, sizeof(GwDemand));

    GwDemand_AddTo(sum, a, 0);
    cr_expect_eq(sum->len, 0);
    GwDemand_AddTo(sum, a, G_N_ELEMENTS(a));
    GwDemand_AddTo(sum, b, G_N_ELEMENTS(b));
    cr_expect_eq(sum->len, 3);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cr_expect_eq(
            work_of(sum, cases[i].service, cases[i].region, cases[i].level),
            cases[i].work, "case %zu", i);
    }
    g_array_free(sum, TRUE);
}

/* ---- Shares -------------------------------------------------------------- */

/* Guards against: a share that differs from the rule: capacity is 0.95 of the
 * slots, given to the levels from 0 on; nothing is refused beside idle servers
 * or if the work fits. 100 slots are 95,000 ms per s. */
Test(shortage, shares_follow_the_rule)
{
    static const struct {
        const char *name;
        double slots;
        double busy;
        uint32_t work[GW_SHORTAGE_LEVELS];
        uint32_t threshold;
        uint32_t level; /* whose share is checked */
        double share;
    } cases[] = {
        {"fits", 100, 100, {[2] = 50000, [5] = 40000}, 16, 5, 1},
        {"fits exactly", 100, 100, {[2] = 50000, [5] = 45000}, 16, 5, 1},
        {"fits exactly, level without work",
         100,
         100,
         {[2] = 50000, [5] = 45000},
         16,
         9,
         1},
        {"partial", 100, 100, {[2] = 50000, [5] = 90000}, 5, 5, 0.5},
        {"before the partial level",
         100,
         100,
         {[2] = 50000, [5] = 90000},
         5,
         2,
         1},
        {"before it, without work",
         100,
         100,
         {[2] = 50000, [5] = 90000},
         5,
         4,
         1},
        {"after it, without work",
         100,
         100,
         {[2] = 50000, [5] = 90000},
         5,
         6,
         0},
        {"after it", 100, 100, {[2] = 95001, [5] = 9}, 2, 5, 0},
        {"first level full", 100, 100, {[2] = 95000, [5] = 9}, 3, 2, 1},
        {"full, between, without work",
         100,
         100,
         {[2] = 95000, [5] = 9},
         3,
         4,
         0},
        {"level 0 partial", 100, 100, {380000}, 0, 0, 0.25},
        {"last level", 100, 100, {[0] = 94000, [LAST] = 4000}, 15, LAST, 0.25},
        {"level beyond the last is the last",
         100,
         100,
         {[0] = 94000, [LAST] = 4000},
         15,
         99,
         0.25},
        {"no work at all", 100, 100, {0}, 16, 3, 1},
        {"idle", 100, 84.9, {[2] = 190000}, 16, 2, 1},
        {"just busy", 100, 85, {[2] = 190000}, 2, 2, 0.5},
        {"more in use than slots", 100, 250, {[2] = 190000}, 2, 2, 0.5},
        {"saturated", 100, 100, {[2] = UINT32_MAX, [3] = UINT32_MAX}, 2, 3, 0},
        {"no slots", 0, 0, {[2] = 10}, 0, 2, 0},
        {"no slots, no work", 0, 0, {0}, 16, 2, 1},
        {"slots unknown", NAN, 100, {[2] = 190000}, 16, 2, 1},
        {"slots infinite", INFINITY, 100, {[2] = 190000}, 16, 2, 1},
        {"slots negative", -1, 100, {[2] = 190000}, 16, 2, 1},
        {"use unknown", 100, NAN, {[2] = 190000}, 16, 2, 1},
        {"use infinite", 100, INFINITY, {[2] = 190000}, 16, 2, 1},
        {"use negative", 100, -3, {[2] = 190000}, 16, 2, 1},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GwShortage *s = GwShortage_Create();
        GwDemand total = {.service = DESK, .region = NORTH};
        memcpy(total.work_ms_per_s, cases[i].work, sizeof cases[i].work);
        GwShortage_PutTotal(s, 0, 0, &total, 1);
        GwShortage_PutCapacity(s, 0, DESK, NORTH, cases[i].slots,
                               cases[i].busy);
        double share =
            GwShortage_AdmitShare(s, 0, DESK, NORTH, cases[i].level);
        cr_expect_float_eq(share, cases[i].share, 1e-6, "%s: %f",
                           cases[i].name, share);
        cr_expect_eq(GwShortage_Threshold(s, 0, DESK, NORTH),
                     cases[i].threshold, "%s: %u", cases[i].name,
                     GwShortage_Threshold(s, 0, DESK, NORTH));
        GwShortage_Free(s);
    }
}

/* Guards against: requests are refused by a total or a capacity that is too
 * old or missing, or that another service or region has. */
Test(shortage, what_is_missing_or_old_refuses_nothing)
{
    enum { NONE = -1 };
    static const struct {
        const char *name;
        int64_t total_us; /* time of arrival; NONE: no total */
        uint32_t age_ms;
        int64_t capacity_us;
        int64_t now_us;
        uint32_t service;
        uint32_t region;
        double share;
        int64_t total_age_ms;
    } cases[] = {
        {"all known", 0, 0, 0, 0, DESK, NORTH, 0.5, 0},
        {"no total", NONE, 0, 0, 0, DESK, NORTH, 1, -1},
        {"no capacity", 0, 0, NONE, 0, DESK, NORTH, 1, 0},
        {"nothing", NONE, 0, NONE, 0, DESK, NORTH, 1, -1},
        {"other service", 0, 0, 0, 0, SHELF, NORTH, 1, 0},
        {"other region", 0, 0, 0, 0, DESK, SOUTH, 1, 0},
        {"total 2 s old", 0, 0, 2 * S_US, 2 * S_US, DESK, NORTH, 0.5, 2000},
        {"total older", 0, 0, 2 * S_US, 2 * S_US + 1, DESK, NORTH, 1, 2000},
        {"old on arrival", 9 * S_US, 2001, 9 * S_US, 9 * S_US, DESK, NORTH, 1,
         2001},
        {"old soon after", 9 * S_US, 1500, 9 * S_US, 9 * S_US + 600000, DESK,
         NORTH, 1, 2100},
        {"oldest age", 9 * S_US, UINT32_MAX, 9 * S_US, 9 * S_US, DESK, NORTH,
         1, UINT32_MAX},
        {"capacity 2 s old", 2 * S_US, 0, 0, 2 * S_US, DESK, NORTH, 0.5, 0},
        {"capacity older", 2 * S_US, 0, 0, 2 * S_US + 1, DESK, NORTH, 1, 0},
        {"clock before the total", S_US, 0, S_US, 0, DESK, NORTH, 0.5, 0},
    };
    const GwDemand total = {DESK, NORTH, {[4] = 190000}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GwShortage *s = GwShortage_Create();
        if (cases[i].capacity_us != NONE) {
            GwShortage_PutCapacity(s, cases[i].capacity_us, DESK, NORTH, 100,
                                   100);
        }
        if (cases[i].total_us != NONE) {
            GwShortage_PutTotal(s, cases[i].total_us, cases[i].age_ms, &total,
                                1);
        }
        double share = GwShortage_AdmitShare(
            s, cases[i].now_us, cases[i].service, cases[i].region, 4);
        cr_expect_float_eq(share, cases[i].share, 1e-9, "%s: %f",
                           cases[i].name, share);
        cr_expect_eq(GwShortage_Threshold(s, cases[i].now_us, cases[i].service,
                                          cases[i].region),
                     cases[i].share < 1 ? 4 : GW_SHORTAGE_LEVELS, "%s",
                     cases[i].name);
        cr_expect_eq(GwShortage_AgeMs(s, cases[i].now_us),
                     cases[i].total_age_ms, "%s", cases[i].name);
        GwShortage_Free(s);
    }
}

/* Guards against: a report that was overtaken by a newer one brings back the
 * rates of an earlier time. */
Test(shortage, an_overtaken_total_is_ignored)
{
    const GwDemand busy = {DESK, NORTH, {[4] = 190000}};
    const GwDemand calm = {DESK, NORTH, {[4] = 10000}};
    static const struct {
        const char *name;
        int64_t second_us;
        uint32_t second_age_ms;
        double share;
        int64_t age_ms;
    } cases[] = {
        {"newer", 5 * S_US + 500000, 100, 1, 100},
        {"same time", 5 * S_US + 500000, 500, 1, 500},
        {"overtaken", 5 * S_US + 500000, 501, 0.5, 500},
        {"overtaken by far", 5 * S_US + 500000, 60000, 0.5, 500},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GwShortage *s = GwShortage_Create();
        GwShortage_PutTotal(s, 5 * S_US, 0, &busy, 1);
        GwShortage_PutCapacity(s, 5 * S_US, DESK, NORTH, 100, 100);
        GwShortage_PutTotal(s, cases[i].second_us, cases[i].second_age_ms,
                            &calm, 1);
        double share =
            GwShortage_AdmitShare(s, cases[i].second_us, DESK, NORTH, 4);
        cr_expect_float_eq(share, cases[i].share, 1e-9, "%s: %f",
                           cases[i].name, share);
        cr_expect_eq(GwShortage_AgeMs(s, cases[i].second_us), cases[i].age_ms,
                     "%s", cases[i].name);
        GwShortage_Free(s);
    }
}

/* Guards against: at each dip of the slots in use everything is admitted, or
 * requests are refused for long beside idle servers. Capacity is known each 50
 * ms; the demand is twice the capacity. */
Test(shortage, idle_servers_count_once_they_last)
{
    static const struct {
        int64_t until_ms;
        double busy;
        double share; /* at the end */
    } cases[] = {
        {1000, 100, 0.5}, {1200, 84, 0.5}, {1250, 85, 0.5}, {1750, 80, 0.5},
        {1800, 80, 1},    {2500, 72, 1},   {2550, 85, 0.5}, {2600, 84, 0.5},
        {3500, 84, 0.5}, /* a second after the turn at 2550 */
        {3550, 84, 1},    {3600, 99, 0.5}, {3650, 59, 1},
    };
    const GwDemand demand = {DESK, NORTH, {[4] = 190000}};
    GwShortage *s = GwShortage_Create();
    int64_t t = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        for (; t <= cases[i].until_ms * 1000; t += 50000) {
            GwShortage_PutTotal(s, t, 0, &demand, 1);
            GwShortage_PutCapacity(s, t, DESK, NORTH, 100, cases[i].busy);
        }
        double share = GwShortage_AdmitShare(s, t - 50000, DESK, NORTH, 4);
        cr_expect_float_eq(share, cases[i].share, 1e-9, "case %zu: %f", i,
                           share);
    }
    GwShortage_Free(s);
}

/* Guards against: noise in the demand moves the threshold to and fro, or what
 * steadies it refuses requests after the shortage. */
Test(shortage, threshold_turns_seldom)
{
    enum { LESS = 100000, MORE = 80000, FITS = 1000 };
    static const struct {
        const char *name;
        int64_t at_ms;
        uint32_t work; /* of level 2; level 4 has 30000 */
        uint32_t threshold;
    } cases[] = {
        {"begin", 0, LESS, 2},
        {"first change to more", 100, MORE, 4},
        {"turn", 200, LESS, 2},
        {"too soon", 300, MORE, 2},
        {"still", 1199, MORE, 2},
        {"a second later", 1200, MORE, 4},
        {"less at once", 1250, LESS, 2},
        {"fits at once", 1300, FITS, GW_SHORTAGE_LEVELS},
        {"less at once after it", 1350, LESS, 2},
        {"after a time without totals", 3400, MORE, 4},
    };
    GwShortage *s = GwShortage_Create();

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        int64_t now_us = cases[i].at_ms * 1000;
        GwDemand demand = {DESK, NORTH, {[2] = cases[i].work, [4] = 30000}};
        GwShortage_PutCapacity(s, now_us, DESK, NORTH, 100, 100);
        GwShortage_PutTotal(s, now_us, 0, &demand, 1);
        uint32_t threshold = GwShortage_Threshold(s, now_us, DESK, NORTH);
        cr_expect_eq(threshold, cases[i].threshold, "%s: %u", cases[i].name,
                     threshold);
    }
    GwShortage_Free(s);
}

/* ---- Services that disappear --------------------------------------------- */

typedef struct {
    uint32_t count;
    GwShortageView last;
} Visited;

static void
visit(void *ctx, const GwShortageView *view)
{
    Visited *v = ctx;

    v->count++;
    v->last = *view;
}

/* Guards against: a service that is in no total any more is refused by its
 * last demand, or listed for ever. */
Test(shortage, services_that_disappear_are_admitted_and_not_listed)
{
    const GwDemand both[] = {{DESK, NORTH, {[4] = 190000}},
                             {SHELF, NORTH, {[2] = 1000, [4] = 2000}}};
    GwShortage *s = GwShortage_Create();
    Visited v = {0};

    GwShortage_Each(s, 0, visit, &v);
    cr_expect_eq(v.count, 0);
    GwShortage_PutCapacity(s, 0, DESK, NORTH, 100, 100);
    GwShortage_Each(s, 0, visit, &v);
    cr_expect_eq(v.count, 0, "not in a total");
    GwShortage_PutTotal(s, 0, 0, both, 2);
    GwShortage_Each(s, 0, visit, &v);
    cr_expect_eq(v.count, 2, "without capacity too");

    v = (Visited){0};
    GwShortage_PutTotal(s, S_US, 0, &both[1], 1);
    GwShortage_Each(s, S_US, visit, &v);
    cr_expect_eq(v.count, 1);
    cr_expect_eq(v.last.service, SHELF);
    cr_expect_eq(v.last.region, NORTH);
    cr_expect_eq(v.last.threshold, GW_SHORTAGE_LEVELS);
    cr_expect_float_eq(v.last.offered_ms_per_s, 3000, 1e-9);
    cr_expect_float_eq(GwShortage_AdmitShare(s, S_US, DESK, NORTH, 4), 1,
                       1e-9);

    v = (Visited){0};
    GwShortage_PutTotal(s, 2 * S_US, 0, &both[0], 1);
    GwShortage_Each(s, 2 * S_US, visit, &v);
    cr_expect_eq(v.count, 1, "it comes back");
    cr_expect_eq(v.last.threshold, 4);
    cr_expect_float_eq(v.last.slots, 100, 1e-9);
    cr_expect_float_eq(v.last.busy, 100, 1e-9);
    GwShortage_PutTotal(s, 3 * S_US, 0, NULL, 0);
    cr_expect_float_eq(GwShortage_AdmitShare(s, 3 * S_US, DESK, NORTH, 4), 1,
                       1e-9);
    GwShortage_Free(s);
}
