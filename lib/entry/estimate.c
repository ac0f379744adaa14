#include "entry/estimate.h"

/* 20 tokens, in hundredths: enough for a short burst of failures. More
 * failures than that are an outage, in which retries only add load. */
#define BUDGET_MAX_X100 2000
#define TOKEN_X100      100

/* The quantile estimate moves in steps proportional to the deviation: up by
 * p steps for a sample above it, down by 1 - p for one below. It is stable
 * where a share p of the samples is below. */
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

/* Mean plus four deviations. */
int64_t
GwLatency_UpperBound(const GwLatency *l)
{
    return l->samples == 0 ? 0 : l->mean_us + 4 * l->deviation_us;
}

void
GwRetryBudget_Init(GwRetryBudget *b, uint32_t percent)
{
    *b = (GwRetryBudget){.percent = percent, .tokens_x100 = BUDGET_MAX_X100};
}

void
GwRetryBudget_Credit(GwRetryBudget *b)
{
    b->tokens_x100 += b->percent;
    if (b->tokens_x100 > BUDGET_MAX_X100) {
        b->tokens_x100 = BUDGET_MAX_X100;
    }
}

bool
GwRetryBudget_TryDraw(GwRetryBudget *b)
{
    if (b->tokens_x100 < TOKEN_X100) {
        return false;
    }
    b->tokens_x100 -= TOKEN_X100;
    return true;
}
