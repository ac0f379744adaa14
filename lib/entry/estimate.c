#include "entry/estimate.h"

/* A full budget covers a short burst of failures; more than that is an
 * outage, in which retries only add load. */
#define BUDGET_FULL_X100 2000
#define TOKEN_X100       100

/* Adds one answered attempt. The quantile moves by a step of the deviation:
 * up by p where a sample lies above it, down by 1 - p where below, so it
 * settles where p of the samples are below. */
void
GwLatency_Add(GwLatency *l, int64_t sample_us, uint32_t percentile)
{
    if (l->samples == 0) {
        *l = (GwLatency){.samples = 1,
                         .mean_us = sample_us,
                         .deviation_us = sample_us / 2,
                         .quantile_us = 2 * sample_us};
        return;
    }
    l->samples++;
    int64_t error = sample_us - l->mean_us;
    int64_t distance = error < 0 ? -error : error;
    l->mean_us += error / 8;
    l->deviation_us += (distance - l->deviation_us) / 4;

    int64_t step = l->deviation_us / 8 + 1;
    if (sample_us > l->quantile_us) {
        l->quantile_us += step * percentile / 100 + 1;
    }
    else {
        l->quantile_us -= step * (100 - percentile) / 100;
    }
}

/* A time that few calls exceed: mean plus four deviations. */
int64_t
GwLatency_High(const GwLatency *l)
{
    return l->samples == 0 ? 0 : l->mean_us + 4 * l->deviation_us;
}

/* Starts full, so that the first failure after a start may be retried. */
void
GwRetryBudget_Init(GwRetryBudget *b, uint32_t percent)
{
    *b = (GwRetryBudget){.percent = percent, .tokens_x100 = BUDGET_FULL_X100};
}

void
GwRetryBudget_Pay(GwRetryBudget *b)
{
    b->tokens_x100 += b->percent;
    if (b->tokens_x100 > BUDGET_FULL_X100) {
        b->tokens_x100 = BUDGET_FULL_X100;
    }
}

/* False when the successes of late have not paid for another attempt. */
bool
GwRetryBudget_Draw(GwRetryBudget *b)
{
    if (b->tokens_x100 < TOKEN_X100) {
        return false;
    }
    b->tokens_x100 -= TOKEN_X100;
    return true;
}
