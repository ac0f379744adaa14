/* Counters and histograms, and their text exposition format. */
#ifndef GW_COMMON_METRICS_H
#define GW_COMMON_METRICS_H

#include <glib.h>
#include <stdatomic.h>
#include <stdint.h>

typedef struct {
    atomic_uint_fast64_t value;
} GwCounter;

void GwCounter_Add(GwCounter *c, uint64_t n);
uint64_t GwCounter_Get(const GwCounter *c);

/* Log-linear histogram: each power of two is divided into GW_HIST_SUB equal
 * buckets, so the relative error of a quantile is at most 1/GW_HIST_SUB.
 * Add is thread-safe; Merge and Quantile may run concurrently with Add, but
 * don't read a consistent snapshot. */
#define GW_HIST_SUB_BITS 5
#define GW_HIST_SUB      (1u << GW_HIST_SUB_BITS)
#define GW_HIST_BUCKETS  ((64 - GW_HIST_SUB_BITS + 1) * GW_HIST_SUB)

typedef struct {
    atomic_uint_fast64_t count;
    atomic_uint_fast64_t sum;
    atomic_uint_fast64_t buckets[GW_HIST_BUCKETS];
} GwHistogram;

void GwHistogram_Add(GwHistogram *h, uint64_t value);
void GwHistogram_Merge(GwHistogram *into, const GwHistogram *from);
/* The q-quantile (q from 0 to 1) by nearest rank, rounded up to the largest
 * value of its bucket: at least the true sample, and above it by at most the
 * relative error. 0 when empty. */
uint64_t GwHistogram_Quantile(const GwHistogram *h, double q);

/* Append the HELP and TYPE lines of a metric and its value or values. A
 * summary has quantiles, sum and count. */
void GwMetrics_Counter(GString *out, const char *name, const char *help,
                       uint64_t value);
void GwMetrics_Gauge(GString *out, const char *name, const char *help,
                     uint64_t value);
void GwMetrics_Summary(GString *out, const char *name, const char *help,
                       const GwHistogram *h);

#endif
