/* Counters and histograms of the process, and their text exposition. */
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

/* Log-linear histogram: each power of two is cut into GW_HIST_SUB equal
 * buckets, so a quantile is off by at most 1/GW_HIST_SUB of its value.
 * Add is thread-safe; Merge and Quantile read a moving target. */
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
/* The value below which the share q (0..1) of the samples lies; 0 when
 * empty. Never below the true sample by more than the relative error. */
uint64_t GwHistogram_Quantile(const GwHistogram *h, double q);

/* Appends `# TYPE name counter` and the value, or a summary. */
void GwMetrics_Counter(GString *out, const char *name, const char *help,
                       uint64_t value);
void GwMetrics_Gauge(GString *out, const char *name, const char *help,
                     uint64_t value);
void GwMetrics_Summary(GString *out, const char *name, const char *help,
                       const GwHistogram *h);

#endif
