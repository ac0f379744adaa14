/* The slot time that one entry is offered. */
#include "shortage/shortage.h"

#include <math.h>

/* Time constant of the rates: long enough for a stable rate at an entry with
 * ten requests per second, short enough for bursts of a few seconds. */
#define RATE_TAU_US 1000000.0

typedef struct {
    uint32_t service;
    uint32_t region;
    int64_t at_us; /* last decay */
    double ms_per_s[GW_SHORTAGE_LEVELS];
} Rate;

struct GwDemandMeter_s {
    GArray *rates; /* Rate */
};

GwDemandMeter *
GwDemandMeter_Create(void)
{
    GwDemandMeter *m = g_new0(GwDemandMeter, 1);

    m->rates = g_array_new(FALSE, FALSE, sizeof(Rate));
    return m;
}

void
GwDemandMeter_Free(GwDemandMeter *m)
{
    if (m != NULL) {
        g_array_free(m->rates, TRUE);
        g_free(m);
    }
}

static Rate *
find_or_add(GwDemandMeter *m, int64_t now_us, uint32_t service,
            uint32_t region)
{
    Rate empty = {.service = service, .region = region, .at_us = now_us};

    for (guint i = 0; i < m->rates->len; i++) {
        Rate *rate = &g_array_index(m->rates, Rate, i);
        if (rate->service == service && rate->region == region) {
            return rate;
        }
    }
    g_array_append_val(m->rates, empty);
    return &g_array_index(m->rates, Rate, m->rates->len - 1);
}

static double
decay_since(const Rate *rate, int64_t now_us)
{
    return now_us > rate->at_us
               ? exp(-(double)(now_us - rate->at_us) / RATE_TAU_US)
               : 1;
}

void
GwDemandMeter_Add(GwDemandMeter *m, int64_t now_us, uint32_t service,
                  uint32_t region, uint32_t level, double slot_us)
{
    Rate *rate = find_or_add(m, now_us, service, region);
    double keep = decay_since(rate, now_us);

    for (uint32_t i = 0; i < GW_SHORTAGE_LEVELS; i++) {
        rate->ms_per_s[i] *= keep;
    }
    rate->at_us = MAX(rate->at_us, now_us);
    rate->ms_per_s[MIN(level, GW_SHORTAGE_LEVELS - 1)] +=
        slot_us / 1000.0 * 1e6 / RATE_TAU_US;
}

void
GwDemandMeter_Read(const GwDemandMeter *m, int64_t now_us, GArray *out)
{
    for (guint i = 0; i < m->rates->len; i++) {
        const Rate *rate = &g_array_index(m->rates, Rate, i);
        double keep = decay_since(rate, now_us);
        GwDemand demand = {.service = rate->service, .region = rate->region};
        uint32_t any = 0;
        for (uint32_t l = 0; l < GW_SHORTAGE_LEVELS; l++) {
            demand.work_ms_per_s[l] =
                (uint32_t)MIN(rate->ms_per_s[l] * keep + 0.5, UINT32_MAX);
            any |= demand.work_ms_per_s[l];
        }
        if (any != 0) {
            g_array_append_val(out, demand);
        }
    }
}

static void
add_saturated(uint32_t *to, uint32_t more)
{
    *to = *to > UINT32_MAX - more ? UINT32_MAX : *to + more;
}

void
GwDemand_AddTo(GArray *sum, const GwDemand *demand, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        const GwDemand *from = &demand[i];
        GwDemand *to = NULL;
        for (guint j = 0; j < sum->len && to == NULL; j++) {
            GwDemand *at = &g_array_index(sum, GwDemand, j);
            if (at->service == from->service && at->region == from->region) {
                to = at;
            }
        }
        if (to == NULL) {
            g_array_append_val(sum, *from);
            continue;
        }
        for (uint32_t l = 0; l < GW_SHORTAGE_LEVELS; l++) {
            add_saturated(&to->work_ms_per_s[l], from->work_ms_per_s[l]);
        }
    }
}
