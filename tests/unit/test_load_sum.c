/* Sums of loads by region, and the period of load reports. */
#include "edge/load_sum.h"

#include <criterion/criterion.h>

static GArray *
loads_of(const GwPeerLoad *loads, guint count)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(GwPeerLoad));

    g_array_append_vals(out, loads, count);
    return out;
}

static uint32_t
in_flight(const GwLoadSum *sum, const char *region, uint32_t server)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(GwPeerLoad));
    uint32_t found = 0;

    for (uint32_t i = 0; i < GwLoadSum_RegionCount(sum); i++) {
        g_array_set_size(out, 0);
        GwLoadSum_Loads(sum, i, out);
        for (guint k = 0; k < out->len; k++) {
            const GwPeerLoad *load = &g_array_index(out, GwPeerLoad, k);
            if (load->server == server &&
                g_str_equal(GwLoadSum_Region(sum, i), region)) {
                found += load->in_flight;
            }
        }
    }
    g_array_free(out, TRUE);
    return found;
}

Test(load_sum, loads_are_summed_by_region)
{
    const GwPeerLoad a[] = {{1, 2}, {2, 1}};
    const GwPeerLoad b[] = {{1, 3}, {9, 4}};
    GArray *la = loads_of(a, 2);
    GArray *lb = loads_of(b, 2);
    GwLoadSum *sum = GwLoadSum_Create();

    GwLoadSum_Add(sum, "r1", la);
    GwLoadSum_Add(sum, "r1", lb);
    GwLoadSum_Add(sum, "r2", lb);
    static const struct {
        const char *region;
        uint32_t server;
        uint32_t all;
    } cases[] = {
        {"r1", 1, 5}, {"r1", 2, 1}, {"r1", 9, 4},
        {"r2", 1, 3}, {"r2", 2, 0}, {"r3", 1, 0},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cr_expect_eq(in_flight(sum, cases[i].region, cases[i].server),
                     cases[i].all, "case %zu", i);
    }
    GwLoadSum_Free(sum);
    g_array_free(la, TRUE);
    g_array_free(lb, TRUE);
}

/* Load reports of any size take only a bounded share of the link, and their
 * period does not grow without need: at 70 and 200 entries loads must be
 * younger than the shortest request of the known deployments, 130 ms. */
Test(load_sum, reports_take_a_bounded_part_of_the_link)
{
    static const struct {
        uint32_t bytes;
        uint32_t link_kbps;
        uint32_t most_ms;
    } cases[] = {
        {100, 1000000, 50},   /* shortest period */
        {2000, 10000, 60},    /* 300 servers, a small instance */
        {3000, 20000, 60},    /* 500 servers, 20 Mbit/s */
        {6000, 10000, 200},   /* 1000 servers */
        {16000, 10000, 1000}, /* the largest report */
        {2000, 0, 1000},      /* unknown link */
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        uint32_t ms = GwLoadSum_PeriodMs(cases[i].bytes, cases[i].link_kbps);
        double kbps = cases[i].bytes * 8.0 / ms;
        cr_expect_leq(ms, cases[i].most_ms, "case %zu: %u", i, ms);
        cr_expect_geq(ms, GW_SUM_PERIOD_MIN_MS);
        if (cases[i].link_kbps > 0) {
            cr_expect_leq(kbps, 0.05 * cases[i].link_kbps, "case %zu", i);
        }
    }
}
