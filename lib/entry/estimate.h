/* Running estimates of one service at one entry: the latency of its attempts,
 * and the budget of retries and hedges that its successes earn. */
#ifndef GW_ENTRY_ESTIMATE_H
#define GW_ENTRY_ESTIMATE_H

#include <stdbool.h>
#include <stdint.h>

/* Smoothed mean and mean deviation, as in TCP's round-trip estimator, and one
 * tracked quantile. No estimate while `samples` is 0. */
typedef struct {
    uint32_t samples;
    int64_t mean_us;
    int64_t deviation_us;
    int64_t quantile_us;
} GwLatency;

/* Adds the duration of an answered attempt. `percentile` (0..99) is the
 * quantile to track. */
void GwLatency_Add(GwLatency *l, int64_t sample_us, uint32_t percentile);
/* Returns a duration that few attempts exceed, or 0 without samples. */
int64_t GwLatency_UpperBound(const GwLatency *l);

/* Token bucket: a retry or hedge costs one token, a success adds `percent`
 * hundredths of a token. */
typedef struct {
    uint32_t percent;
    uint32_t tokens_x100;
} GwRetryBudget;

/* Starts full, so that the first failures after a start may be retried. */
void GwRetryBudget_Init(GwRetryBudget *b, uint32_t percent);
void GwRetryBudget_Credit(GwRetryBudget *b);
/* Takes one token; returns false if there is none. */
bool GwRetryBudget_TryDraw(GwRetryBudget *b);

#endif
