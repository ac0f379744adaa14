#include "common/metrics.h"

#include <stdbool.h>

void
GwCounter_Add(GwCounter *c, uint64_t n)
{
    atomic_fetch_add_explicit(&c->value, n, memory_order_relaxed);
}

uint64_t
GwCounter_Get(const GwCounter *c)
{
    return atomic_load_explicit(&c->value, memory_order_relaxed);
}

/* Each value below GW_HIST_SUB has a bucket of its own. For larger values the
 * highest set bit selects the octave, and the next GW_HIST_SUB_BITS bits the
 * bucket within the octave. */
static uint32_t
bucket_index(uint64_t value)
{
    if (value < GW_HIST_SUB) {
        return (uint32_t)value;
    }
    uint32_t top = 63 - (uint32_t)__builtin_clzll(value);
    uint32_t shift = top - GW_HIST_SUB_BITS;
    uint32_t octave = shift + 1;
    uint32_t sub = (uint32_t)(value >> shift) - GW_HIST_SUB;
    return octave * GW_HIST_SUB + sub;
}

/* The largest value in the bucket. */
static uint64_t
bucket_top(uint32_t bucket)
{
    if (bucket < GW_HIST_SUB) {
        return bucket;
    }
    uint32_t shift = bucket / GW_HIST_SUB - 1;
    uint64_t base = (uint64_t)(bucket % GW_HIST_SUB + GW_HIST_SUB) << shift;
    return base + ((1ULL << shift) - 1);
}

void
GwHistogram_Add(GwHistogram *h, uint64_t value)
{
    atomic_fetch_add_explicit(&h->buckets[bucket_index(value)], 1,
                              memory_order_relaxed);
    atomic_fetch_add_explicit(&h->sum, value, memory_order_relaxed);
    atomic_fetch_add_explicit(&h->count, 1, memory_order_relaxed);
}

static uint64_t
load_relaxed(const atomic_uint_fast64_t *value)
{
    return atomic_load_explicit(value, memory_order_relaxed);
}

void
GwHistogram_Merge(GwHistogram *into, const GwHistogram *from)
{
    for (uint32_t i = 0; i < GW_HIST_BUCKETS; i++) {
        uint64_t n = load_relaxed(&from->buckets[i]);
        if (n != 0) {
            atomic_fetch_add_explicit(&into->buckets[i], n,
                                      memory_order_relaxed);
            atomic_fetch_add_explicit(&into->count, n, memory_order_relaxed);
        }
    }
    atomic_fetch_add_explicit(&into->sum, load_relaxed(&from->sum),
                              memory_order_relaxed);
}

/* The nearest rank is ceil(q * count), at least 1. */
uint64_t
GwHistogram_Quantile(const GwHistogram *h, double q)
{
    uint64_t count = load_relaxed(&h->count);
    if (count == 0) {
        return 0;
    }
    double exact = q * (double)count;
    uint64_t rank = (uint64_t)exact;
    if ((double)rank < exact || rank == 0) {
        rank++;
    }
    uint64_t cumulative = 0;
    uint32_t last = 0;
    for (uint32_t i = 0; i < GW_HIST_BUCKETS; i++) {
        uint64_t n = load_relaxed(&h->buckets[i]);
        cumulative += n;
        last = n != 0 ? i : last;
        if (cumulative >= rank) {
            return bucket_top(i);
        }
    }
    return bucket_top(last);
}

static void
append_header(GString *out, const char *name, const char *help,
              const char *type)
{
    g_string_append_printf(out, "# HELP %s %s\n# TYPE %s %s\n", name, help,
                           name, type);
}

void
GwMetrics_Counter(GString *out, const char *name, const char *help,
                  uint64_t value)
{
    append_header(out, name, help, "counter");
    g_string_append_printf(out, "%s %" G_GUINT64_FORMAT "\n", name, value);
}

void
GwMetrics_Gauge(GString *out, const char *name, const char *help,
                uint64_t value)
{
    append_header(out, name, help, "gauge");
    g_string_append_printf(out, "%s %" G_GUINT64_FORMAT "\n", name, value);
}

void
GwMetrics_Summary(GString *out, const char *name, const char *help,
                  const GwHistogram *h)
{
    static const char *const quantiles[] = {"0.5", "0.9", "0.99", "0.999"};

    append_header(out, name, help, "summary");
    for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++) {
        double q = g_ascii_strtod(quantiles[i], NULL);
        g_string_append_printf(out,
                               "%s{quantile=\"%s\"} %" G_GUINT64_FORMAT "\n",
                               name, quantiles[i], GwHistogram_Quantile(h, q));
    }
    g_string_append_printf(out, "%s_sum %" G_GUINT64_FORMAT "\n", name,
                           load_relaxed(&h->sum));
    g_string_append_printf(out, "%s_count %" G_GUINT64_FORMAT "\n", name,
                           load_relaxed(&h->count));
}
