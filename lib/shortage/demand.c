/* The slot time that one entry is offered. */
#include "shortage/shortage.h"

#include <math.h>
#include <string.h>

#define SLICE_US 100000
/* The oldest slice counts with the part that is within the window. */
#define SLICES (GW_DEMAND_WINDOW_US / SLICE_US + 1)

typedef struct {
    uint32_t service;
    uint32_t region;
    int64_t newest;                        /* number of the newest slice */
    double ms[SLICES][GW_SHORTAGE_LEVELS]; /* slice n is at n % SLICES */
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

/* Drops the rates without work in the window, so that the meter doesn't grow
 * with each service that ever existed. */
static void
drop_unused(GwDemandMeter *m, int64_t slice)
{
    for (guint i = m->rates->len; i > 0; i--) {
        if (slice - g_array_index(m->rates, Rate, i - 1).newest >= SLICES) {
            g_array_remove_index_fast(m->rates, i - 1);
        }
    }
}

static Rate *
find_or_add(GwDemandMeter *m, int64_t slice, uint32_t service, uint32_t region)
{
    Rate empty = {.service = service, .region = region, .newest = slice};

    for (guint i = 0; i < m->rates->len; i++) {
        Rate *rate = &g_array_index(m->rates, Rate, i);
        if (rate->service == service && rate->region == region) {
            return rate;
        }
    }
    drop_unused(m, slice);
    g_array_append_val(m->rates, empty);
    return &g_array_index(m->rates, Rate, m->rates->len - 1);
}

/* Makes `slice` the newest, and empties those that it replaces. */
static void
advance(Rate *rate, int64_t slice)
{
    if (slice - rate->newest >= SLICES) {
        memset(rate->ms, 0, sizeof rate->ms);
        rate->newest = slice;
    }
    while (rate->newest < slice) {
        rate->newest++;
        memset(rate->ms[rate->newest % SLICES], 0, sizeof rate->ms[0]);
    }
}

void
GwDemandMeter_Add(GwDemandMeter *m, int64_t now_us, uint32_t service,
                  uint32_t region, uint32_t level, double slot_us)
{
    int64_t slice = MAX(now_us, 0) / SLICE_US;

    /* One odd value would otherwise be the demand of all entries for a
     * second. */
    if (!isfinite(slot_us) || slot_us <= 0) {
        return;
    }
    Rate *rate = find_or_add(m, slice, service, region);
    advance(rate, slice);
    rate->ms[rate->newest % SLICES][MIN(level, GW_SHORTAGE_LEVELS - 1)] +=
        slot_us / 1000;
}

static double
work_in_window(const Rate *rate, int64_t now_us, uint32_t level)
{
    int64_t now_slice = MAX(MAX(now_us, 0) / SLICE_US, rate->newest);
    double past = (double)(now_us % SLICE_US) / SLICE_US;
    double ms = 0;

    for (int64_t i = 0; i < MIN(SLICES, rate->newest + 1); i++) {
        int64_t age = now_slice - rate->newest + i;
        double part = age < SLICES - 1 ? 1 : age == SLICES - 1 ? 1 - past : 0;
        ms += rate->ms[(rate->newest - i) % SLICES][level] * part;
    }
    return ms * 1e6 / GW_DEMAND_WINDOW_US;
}

void
GwDemandMeter_Read(const GwDemandMeter *m, int64_t now_us, GArray *out)
{
    for (guint i = 0; i < m->rates->len; i++) {
        const Rate *rate = &g_array_index(m->rates, Rate, i);
        GwDemand demand = {.service = rate->service, .region = rate->region};
        uint32_t any = 0;
        for (uint32_t l = 0; l < GW_SHORTAGE_LEVELS; l++) {
            double work = work_in_window(rate, now_us, l);
            demand.work_ms_per_s[l] = (uint32_t)MIN(work + 0.5, UINT32_MAX);
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
