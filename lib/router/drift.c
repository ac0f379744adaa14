/* How fast traffic moves between regions.
 *
 * When a burst fills a region's servers, all that does not fit would go to
 * other regions at once and come back at once when it ends: each way a wave
 * that meets cold servers there. Traffic may move between regions by a few
 * percent a second only; what neither fits nor may leave waits or is refused.
 * The limit is off while the region has lately lost servers, since then the
 * traffic has nowhere else to go. */
#include "router/router_internal.h"

#include <math.h>

/* Over which shares are measured. */
#define TAU_US 1000000.0
/* The allowed share follows the wanted one by at most this a second, and the
 * actual share stays within BAND of it: 0.09 + 0.06 in the 2 s over which
 * operators measure, where 0.15 is allowed. */
#define SLOPE_PER_S 0.045
#define BAND        0.03
/* Below so many requests in TAU a share says nothing. */
#define SENT_MIN 5.0
/* No limit for so long after the first request and after a loss of servers:
 * objects find their places, and the servers that are left take over. */
#define START_FREE_US 6000000
#define LOSS_FREE_US  6000000

static void
decay(GwDrift *d, int64_t now_us)
{
    double keep = exp(-(double)(now_us - d->at_us) / TAU_US);
    double step = SLOPE_PER_S * (double)(now_us - d->at_us) / 1e6;

    d->sent *= keep;
    d->far *= keep;
    d->asked *= keep;
    d->wanted *= keep;
    d->at_us = now_us;
    if (now_us < d->free_until_us) {
        d->level = d->sent > 0 ? d->far / d->sent : 0;
        return;
    }
    double wanted = d->asked > 0 ? d->wanted / d->asked : d->level;
    d->level += CLAMP(wanted - d->level, -step, step);
}

GwDriftSide
GwRouter_DriftSide(GwRouter *r, int64_t now_us)
{
    GwDrift *d = &r->drift;

    decay(d, now_us);
    if (now_us < d->free_until_us || d->sent < SENT_MIN) {
        return GW_DRIFT_ANY;
    }
    double share = d->far / d->sent;
    return share >= d->level + BAND   ? GW_DRIFT_NEAR
           : share <= d->level - BAND ? GW_DRIFT_FAR
                                      : GW_DRIFT_ANY;
}

void
GwRouter_DriftSent(GwRouter *r, int64_t now_us, bool wanted_far, bool far)
{
    GwDrift *d = &r->drift;

    if (d->free_until_us == 0) {
        d->free_until_us = now_us + START_FREE_US;
    }
    decay(d, now_us);
    d->sent += 1;
    d->far += far;
    d->asked += 1;
    d->wanted += wanted_far;
}

void
GwRouter_DriftRefused(GwRouter *r, int64_t now_us, bool wanted_far)
{
    decay(&r->drift, now_us);
    r->drift.asked += 1;
    r->drift.wanted += wanted_far;
}

void
GwRouter_DriftServers(GwRouter *r, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;
    uint32_t slots = 0;

    g_hash_table_iter_init(&iter, r->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwServer *s = value;
        if (s->same_region && !s->draining &&
            !g_hash_table_contains(r->evacuated, s->domain)) {
            slots += s->slots;
        }
    }
    if (slots < r->near_slots && r->drift.free_until_us != 0) {
        r->drift.free_until_us =
            MAX(r->drift.free_until_us, now_us + LOSS_FREE_US);
    }
    r->near_slots = slots;
}
