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
/* This counts only if it lasts: what an entry knows of the slots in use is
 * 0.15 s old, and in a region of a hundred slots they vary by a tenth by
 * themselves. Admitting everything at each dip put 1.17 of the capacity into
 * 2 s at four times the capacity. */
#define IDLE_US 500000
/* After a change from admitting more to admitting less, an entry admits more
 * again at the earliest after this time, so that noise in the demand does not
 * move the threshold to and fro. */
#define TURN_US 1000000
/* Less than this part of the slots in use, or of the demand before, is not
 * noise, and counts at once. */
#define CLEAR_SHARE 0.6
/* Older totals and capacities count for nothing. */
#define LIFE_US 2000000
/* The first level ends at the value of an urgent request of a few ms. */
#define LEVEL_ZERO_LOG2 6

typedef enum {
    CHANGED_NEVER = 0,
    CHANGED_TO_MORE, /* admits more than before */
    CHANGED_TO_LESS
} Change;

typedef struct {
    uint32_t service;
    uint32_t region;
    int64_t capacity_at_us; /* INT64_MIN: unknown */
    double slots;
    double busy;
    bool is_idle;          /* everything is admitted */
    int64_t idle_since_us; /* INT64_MIN: busy */
    Change last_change;
    int64_t turned_at_us; /* last change from more to less; INT64_MIN: none */
    uint64_t in_total;    /* number of the last total that had it; 0: none */
    double work_ms_per_s[GW_SHORTAGE_LEVELS];
} Place;

struct GwShortage_s {
    GArray *places; /* Place */
    bool has_total;
    int64_t total_at_us;
    uint64_t total_number; /* from 1 on */
};

uint32_t
GwShortage_Level(double value, double slot_us)
{
    double per_s = value / (MAX(slot_us, 1.0) / 1e6);

    /* Also if one of them is not a number. */
    if (!(per_s > 0) || !(slot_us >= 0)) {
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
    Place empty = {.service = service,
                   .region = region,
                   .capacity_at_us = INT64_MIN,
                   .idle_since_us = INT64_MIN,
                   .turned_at_us = INT64_MIN};

    if (place != NULL) {
        return place;
    }
    g_array_append_val(s->places, empty);
    return &g_array_index(s->places, Place, s->places->len - 1);
}

static bool
is_in_total(const GwShortage *s, const Place *place)
{
    return s->has_total && place->in_total == s->total_number;
}

/* Services and regions that are in neither the total nor among the capacities
 * any more are dropped, so that the table doesn't grow with each service that
 * ever existed. */
static void
drop_unused(GwShortage *s, int64_t now_us)
{
    for (guint i = s->places->len; i > 0; i--) {
        const Place *place = &g_array_index(s->places, Place, i - 1);
        if (!is_in_total(s, place) &&
            (place->capacity_at_us == INT64_MIN ||
             now_us - place->capacity_at_us > LIFE_US)) {
            g_array_remove_index_fast(s->places, i - 1);
        }
    }
}

static bool
is_fresh(int64_t now_us, int64_t at_us)
{
#if GW_MUTANT == 130 /* breaks: an old total counts for ever */
    return true;
#endif
    return now_us - at_us <= LIFE_US;
}

/* ---- Shares -------------------------------------------------------------- */

static double
offered_work(const Place *place)
{
    double work = 0;

    for (uint32_t l = 0; l < GW_SHORTAGE_LEVELS; l++) {
        work += place->work_ms_per_s[l];
    }
    return work;
}

/* Share of the level's work that fits after the levels before it. A level
 * without measured work is admitted if anything is left for it. */
static double
share_of(const Place *place, uint32_t level)
{
    double left = CAPACITY_SHARE * place->slots * 1000.0;

    if (offered_work(place) <= left) {
        return 1;
    }
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

static uint32_t
threshold_of(const Place *place)
{
    uint32_t level = 0;

    while (level < GW_SHORTAGE_LEVELS && share_of(place, level) >= 1) {
        level++;
    }
    return level;
}

/* ---- Changes of the threshold --------------------------------------------- */

static void
note_change(Place *place, int64_t now_us, Change change)
{
    if (change == CHANGED_TO_LESS && place->last_change == CHANGED_TO_MORE) {
        place->turned_at_us = now_us;
    }
    place->last_change = change;
}

static bool
may_admit_more(const Place *place, int64_t now_us)
{
    return place->last_change != CHANGED_TO_LESS ||
           place->turned_at_us == INT64_MIN ||
           now_us - place->turned_at_us >= TURN_US;
}

/* Sets the demand, unless `may_hold` and it would admit more too soon after a
 * turn. */
static void
put_demand(Place *place, int64_t now_us, const GwDemand *demand, bool may_hold)
{
    Place next = *place;
    uint32_t before = threshold_of(place);

    for (uint32_t l = 0; l < GW_SHORTAGE_LEVELS; l++) {
        next.work_ms_per_s[l] = demand->work_ms_per_s[l];
    }
    uint32_t after = threshold_of(&next);
    double offered = offered_work(&next);
    bool is_over = offered < BUSY_SHARE_MIN * place->slots * 1000.0 ||
                   offered < CLEAR_SHARE * offered_work(place);
    if (may_hold && after > before && !is_over &&
        !may_admit_more(place, now_us)) {
        return;
    }
    *place = next;
    if (may_hold && after != before && !place->is_idle) {
        note_change(place, now_us,
                    after > before ? CHANGED_TO_MORE : CHANGED_TO_LESS);
    }
}

static void
put_idle(Place *place, int64_t now_us, double use)
{
    if (!(use < BUSY_SHARE_MIN)) {
        if (place->is_idle && threshold_of(place) < GW_SHORTAGE_LEVELS) {
            note_change(place, now_us, CHANGED_TO_LESS);
        }
        place->is_idle = false;
        place->idle_since_us = INT64_MIN;
        return;
    }
    if (place->idle_since_us == INT64_MIN) {
        place->idle_since_us = now_us;
    }
    /* Servers that were not known to be busy are idle at once. */
    bool is_new = place->capacity_at_us == INT64_MIN ||
                  now_us - place->capacity_at_us > LIFE_US;
    bool is_lasting = now_us - place->idle_since_us >= IDLE_US &&
                      may_admit_more(place, now_us);
    if (!place->is_idle && (is_new || is_lasting || use < CLEAR_SHARE)) {
        place->is_idle = true;
        note_change(place, now_us, CHANGED_TO_MORE);
    }
}

/* ---- What is known -------------------------------------------------------- */

void
GwShortage_PutTotal(GwShortage *s, int64_t now_us, uint32_t age_ms,
                    const GwDemand *demand, uint32_t count)
{
    int64_t at_us = now_us - (int64_t)age_ms * 1000;

    /* Reports may overtake each other. */
    if (s->has_total && at_us < s->total_at_us) {
        return;
    }
    /* A demand that counts for nothing any more is not held. */
    bool may_hold = s->has_total && is_fresh(now_us, s->total_at_us);
    s->total_number++;
    for (uint32_t i = 0; i < count; i++) {
        Place *place =
            find_or_add_place(s, demand[i].service, demand[i].region);
        put_demand(place, now_us, &demand[i],
                   may_hold && place->in_total == s->total_number - 1);
        place->in_total = s->total_number;
    }
    s->has_total = true;
    s->total_at_us = at_us;
    drop_unused(s, now_us);
}

void
GwShortage_PutCapacity(GwShortage *s, int64_t now_us, uint32_t service,
                       uint32_t region, double slots, double busy)
{
    Place *place = find_place(s, service, region);

    if (place == NULL) {
        drop_unused(s, now_us);
        place = find_or_add_place(s, service, region);
    }
    /* An odd capacity is as good as none: it refuses nothing. */
    bool is_known =
        isfinite(slots) && slots >= 0 && isfinite(busy) && busy >= 0;
    if (is_known) {
        put_idle(place, now_us, slots > 0 ? busy / slots : 1);
        place->slots = slots;
        place->busy = busy;
    }
    place->capacity_at_us = is_known ? now_us : INT64_MIN;
}

/* Returns the place if its demand and capacity are known and its servers are
 * not idle, else NULL. */
static const Place *
find_busy(const GwShortage *s, int64_t now_us, uint32_t service,
          uint32_t region)
{
    const Place *place = find_place(s, service, region);

    if (place == NULL || !is_in_total(s, place) ||
        !is_fresh(now_us, s->total_at_us) ||
        place->capacity_at_us == INT64_MIN ||
        !is_fresh(now_us, place->capacity_at_us)) {
        return NULL;
    }
#if GW_MUTANT != 131 /* breaks: requests are refused beside idle servers */
    if (place->is_idle) {
        return NULL;
    }
#endif
    return place;
}

double
GwShortage_AdmitShare(const GwShortage *s, int64_t now_us, uint32_t service,
                      uint32_t region, uint32_t level)
{
    const Place *place = find_busy(s, now_us, service, region);

    return place != NULL ? share_of(place, MIN(level, GW_SHORTAGE_LEVELS - 1))
                         : 1;
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
    return s->has_total ? MAX(now_us - s->total_at_us, 0) / 1000 : -1;
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
            .offered_ms_per_s = offered_work(place),
            .slots = place->slots,
            .busy = place->busy,
        };
        if (is_in_total(s, place)) {
            visit(ctx, &view);
        }
    }
}
