/* Histogram quantiles and the text exposition format. */
#include "common/metrics.h"
#include "common/rng.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

static int
compare(const void *a, const void *b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;
    return (x > y) - (x < y);
}

/* Compares quantiles with those of the sorted samples, for samples of 1 to 61
 * bits. */
Test(metrics, quantiles_are_within_the_documented_error)
{
    static const double qs[] = {0.0, 0.01, 0.5, 0.9, 0.99, 0.999, 1.0};
    enum { COUNT = 5000 };
    uint64_t *samples = g_new(uint64_t, COUNT);
    GwRng rng = GwRng_Make(42);

    for (uint32_t bits = 1; bits <= 63; bits += 6) {
        GwHistogram *h = g_new0(GwHistogram, 1);
        GwHistogram *half = g_new0(GwHistogram, 1);
        for (uint32_t i = 0; i < COUNT; i++) {
            samples[i] = GwRng_Next(&rng) >> (64 - bits);
            GwHistogram_Add(i % 2 == 0 ? h : half, samples[i]);
        }
        GwHistogram_Merge(h, half);
        qsort(samples, COUNT, sizeof(*samples), compare);
        for (size_t i = 0; i < G_N_ELEMENTS(qs); i++) {
            uint64_t rank = (uint64_t)(qs[i] * COUNT);
            rank += (double)rank < qs[i] * COUNT || rank == 0;
            uint64_t expected = samples[rank - 1];
            uint64_t actual = GwHistogram_Quantile(h, qs[i]);
            cr_expect_geq(actual, expected, "bits %u q %f", bits, qs[i]);
            cr_expect_leq(actual - expected, expected / GW_HIST_SUB,
                          "bits %u q %f", bits, qs[i]);
        }
        g_free(h);
        g_free(half);
    }
    g_free(samples);
}

Test(metrics, boundary_values_have_a_bucket)
{
    static const uint64_t values[] = {0, 1, 31, 32, 63, 64, UINT64_MAX};
    for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
        GwHistogram *h = g_new0(GwHistogram, 1);
        GwHistogram_Add(h, values[i]);
        cr_expect_geq(GwHistogram_Quantile(h, 0.5), values[i]);
        g_free(h);
    }
}

Test(metrics, text_exposition)
{
    GString *out = g_string_new(NULL);
    GwMetrics_Counter(out, "gw_x_total", "Some.", 3);
    cr_expect_str_eq(out->str, "# HELP gw_x_total Some.\n"
                               "# TYPE gw_x_total counter\n"
                               "gw_x_total 3\n");
    g_string_free(out, TRUE);
}
