/* Derives the shares to be admitted from the demand of all entries and the
 * capacity of the servers. */
#include "shortage/shortage.h"

#include <math.h>

#ifndef GW_MUTANT
#define GW_MUTANT 0 /* tests/mutants.sh disables one safeguard at a time */
#endif

/* Part of the slots that admitted work may fill. Above it, arrivals wait for
 * longer than a run on average. */
#define CAPACITY_SHARE 0.95
/* With a smaller part of the slots in use, nothing is refused: the demand may
 * be overestimated, and a refusal beside idle servers helps no caller. */
#define BUSY_SHARE_MIN 0.85
/* Older totals and capacities count for nothing. */
#define LIFE_US 2000000
/* The first level ends at the value of an urgent request of a few ms. */
#define LEVEL_ZERO_LOG2 6

typedef struct {
    uint32_t service;
    uint32_t region;
    int64_t capacity_at_us; /* INT64_MIN: unknown */
    double slots;
    double busy;
    bool is_in_total;
    double work_ms_per_s[GW_SHORTAGE_LEVELS];
} Place;

struct GwShortage_s {
    GArray *places; /* Place */
    bool has_total;
    int64_t total_at_us;
};

uint32_t
GwShortage_Level(double value, double slot_us)
{
    double per_s = value / (MAX(slot_us, 1.0) / 1e6);

    if (!(per_s > 0)) {
        return GW_SHORTAGE_LEVELS - 1;
    }
    double level = LEVEL_ZERO_LOG2 - floor(log2(per_s));
    return (uint32_t)CLAMP(level, 0, GW_SHORTAGE_LEVELS - 1);
}

GwShortage *
GwShortage_Create(void)
{
    GwShortage *s = g_new0(GwShortage, 1);

    s->places = g_array_new(FALSE, FALSE, sizeof(Place));
    return s;
}

void
GwShortage_Free(GwShortage *s)
{
    if (s != NULL) {
        g_array_free(s->places, TRUE);
        g_free(s);
    }
}

static Place *
find_place(const GwShortage *s, uint32_t service, uint32_t region)
{
    for (guint i = 0; i < s->places->len; i++) {
        Place *place = &g_array_index(s->places, Place, i);
        if (place->service == service && place->region == region) {
            return place;
        }
    }
    return NULL;
}

static Place *
find_or_add_place(GwShortage *s, uint32_t service, uint32_t region)
{
    Place *place = find_place(s, service, region);
    Place empty = {
        .service = service, .region = region, .capacity_at_us = INT64_MIN};

    if (place != NULL) {
        return place;
    }
    g_array_append_val(s->places, empty);
    return &g_array_index(s->places, Place, s->places->len - 1);
}

/* Services and regions that are in neither the total nor among the capacities
 * any more are dropped, so that the table doesn't grow with each service that
 * ever existed. */
static void
drop_unused(GwShortage *s, int64_t now_us)
{
    for (guint i = s->places->len; i > 0; i--) {
        const Place *place = &g_array_index(s->places, Place, i - 1);
        if (!place->is_in_total &&
            (place->capacity_at_us == INT64_MIN ||
             now_us - place->capacity_at_us > LIFE_US)) {
            g_array_remove_index_fast(s->places, i - 1);
        }
    }
}

void
GwShortage_PutTotal(GwShortage *s, int64_t now_us, uint32_t age_ms,
                    const GwDemand *demand, uint32_t count)
{
    for (guint i = 0; i < s->places->len; i++) {
        g_array_index(s->places, Place, i).is_in_total = false;
    }
    for (uint32_t i = 0; i < count; i++) {
        Place *place =
            find_or_add_place(s, demand[i].service, demand[i].region);
        place->is_in_total = true;
        for (uint32_t l = 0; l < GW_SHORTAGE_LEVELS; l++) {
            place->work_ms_per_s[l] = demand[i].work_ms_per_s[l];
        }
    }
    s->has_total = true;
    s->total_at_us = now_us - (int64_t)age_ms * 1000;
    drop_unused(s, now_us);
}

void
GwShortage_PutCapacity(GwShortage *s, int64_t now_us, uint32_t service,
                       uint32_t region, double slots, double busy)
{
    Place *place = find_or_add_place(s, service, region);

    place->capacity_at_us = now_us;
    place->slots = slots;
    place->busy = busy;
}

static bool
is_fresh(int64_t now_us, int64_t at_us)
{
#if GW_MUTANT == 130 /* breaks: an old total counts for ever */
    return true;
#endif
    return now_us - at_us <= LIFE_US;
}

/* Returns the place if its demand and capacity are known and its servers are
 * busy, else NULL. */
static const Place *
find_busy(const GwShortage *s, int64_t now_us, uint32_t service,
          uint32_t region)
{
    const Place *place = find_place(s, service, region);

    if (place == NULL || !place->is_in_total || !s->has_total ||
        !is_fresh(now_us, s->total_at_us) ||
        place->capacity_at_us == INT64_MIN ||
        !is_fresh(now_us, place->capacity_at_us)) {
        return NULL;
    }
#if GW_MUTANT != 131 /* breaks: requests are refused beside idle servers */
    if (place->busy < BUSY_SHARE_MIN * place->slots) {
        return NULL;
    }
#endif
    return place;
}

/* Share of the level's work that fits after the levels before it. */
static double
share_of(const Place *place, uint32_t level)
{
    double left = CAPACITY_SHARE * place->slots * 1000.0;

    for (uint32_t l = 0; l < level; l++) {
        left -= place->work_ms_per_s[l];
    }
    double work = place->work_ms_per_s[level];
    if (left >= work && left > 0) {
        return 1;
    }
    if (work <= 0) {
        return 0;
    }
#if GW_MUTANT == 132 /* breaks: a level is admitted whole or not at all */
    return 0;
#endif
    return MAX(left, 0) / work;
}

double
GwShortage_AdmitShare(const GwShortage *s, int64_t now_us, uint32_t service,
                      uint32_t region, uint32_t level)
{
    const Place *place = find_busy(s, now_us, service, region);

    return place != NULL ? share_of(place, MIN(level, GW_SHORTAGE_LEVELS - 1))
                         : 1;
}

static uint32_t
threshold_of(const Place *place)
{
    uint32_t level = 0;

    while (level < GW_SHORTAGE_LEVELS && share_of(place, level) >= 1) {
        level++;
    }
    return level;
}

uint32_t
GwShortage_Threshold(const GwShortage *s, int64_t now_us, uint32_t service,
                     uint32_t region)
{
    const Place *place = find_busy(s, now_us, service, region);

    return place != NULL ? threshold_of(place) : GW_SHORTAGE_LEVELS;
}

int64_t
GwShortage_AgeMs(const GwShortage *s, int64_t now_us)
{
    return s->has_total ? (now_us - s->total_at_us) / 1000 : -1;
}

void
GwShortage_Each(const GwShortage *s, int64_t now_us,
                void (*visit)(void *ctx, const GwShortageView *view),
                void *ctx)
{
    for (guint i = 0; i < s->places->len; i++) {
        const Place *place = &g_array_index(s->places, Place, i);
        GwShortageView view = {
            .service = place->service,
            .region = place->region,
            .threshold =
                GwShortage_Threshold(s, now_us, place->service, place->region),
            .slots = place->slots,
            .busy = place->busy,
        };
        for (uint32_t l = 0; l < GW_SHORTAGE_LEVELS; l++) {
            view.offered_ms_per_s += place->work_ms_per_s[l];
        }
        if (place->is_in_total) {
            visit(ctx, &view);
        }
    }
}
