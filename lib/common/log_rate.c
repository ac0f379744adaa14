#include "common/log_rate.h"

static void
refill(GwLogRate *rate, int64_t now_us)
{
    if (rate->refilled_us == 0) {
        rate->tokens = GW_LOG_RATE_BURST;
    }
    else if (now_us > rate->refilled_us) {
        rate->tokens +=
            GW_LOG_RATE_PER_S * (double)(now_us - rate->refilled_us) / 1e6;
    }
    if (rate->tokens > GW_LOG_RATE_BURST) {
        rate->tokens = GW_LOG_RATE_BURST;
    }
    rate->refilled_us = now_us;
}

bool
GwLogRate_Take(GwLogRate *rate, int64_t now_us, uint64_t *suppressed)
{
    refill(rate, now_us);
    if (rate->tokens < 1) {
        rate->suppressed++;
        return false;
    }
    rate->tokens -= 1;
    *suppressed = rate->suppressed;
    rate->suppressed = 0;
    return true;
}
