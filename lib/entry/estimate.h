/* Running estimates of one service at one entry: how long its calls take,
 * and how many retries and hedges its successes have paid for. */
#ifndef GW_ENTRY_ESTIMATE_H
#define GW_ENTRY_ESTIMATE_H

#include <stdbool.h>
#include <stdint.h>

/* Mean and mean deviation as TCP keeps them for its round-trip time, and
 * one tracked quantile. Zero samples: no estimate. */
typedef struct {
    uint32_t samples;
    int64_t mean_us;
    int64_t deviation_us;
    int64_t quantile_us;
} GwLatency;

void GwLatency_Add(GwLatency *l, int64_t sample_us, uint32_t percentile);
int64_t GwLatency_High(const GwLatency *l);

/* Retries and hedges draw one whole token; each success pays a share. */
typedef struct {
    uint32_t percent;
    uint32_t tokens_x100;
} GwRetryBudget;

void GwRetryBudget_Init(GwRetryBudget *b, uint32_t percent);
void GwRetryBudget_Pay(GwRetryBudget *b);
bool GwRetryBudget_Draw(GwRetryBudget *b);

#endif
