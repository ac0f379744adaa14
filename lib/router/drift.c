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
#include <string.h>

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
/* Where a cold run takes longer than this, a start without a limit moves more
 * than operators allow: slots are still full of first runs when they begin to
 * measure the change (41 in 100 of a region's requests within 2 s). Shorter
 * work settles before that, and a forecast costs it 0.02 of a day. */
#define SETTLES_US 1000000
/* For so long after the first request the share that has to leave may make
 * cold runs elsewhere: no server is warm yet. */
#define START_US 3000000
/* Arrivals of this time tell how much work the region will have. */
#define FIRST_LOOK_US 250000
/* The part of a region's slots that its first, cold work is taken to leave.
 * Tried from 0.6 to 2.5 (docs/MEASURES.md). */
#define FIRST_ROOM 0.8

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

/* Slots that may take work: of all regions, and of this one. Counted anew only
 * when it is asked for after a change, since changes come by the hundred. */
static void
count_room(GwRouter *r)
{
    GHashTable *regions;
    GHashTableIter iter;
    gpointer value;
    uint32_t near = 0;

    if (r->room_known) {
        return;
    }
    r->room_known = true;
    r->all_slots = 0;
    regions = g_hash_table_new(g_str_hash, g_str_equal);
    g_hash_table_iter_init(&iter, r->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwServer *s = value;
        if (s->draining || g_hash_table_contains(r->evacuated, s->domain)) {
            continue;
        }
        g_hash_table_add(regions, s->path->region);
        r->all_slots += s->slots;
        near += s->same_region ? s->slots : 0;
    }
    r->regions = g_hash_table_size(regions);
    g_hash_table_destroy(regions);
    r->room_lost = r->room_lost || near < r->near_slots;
    r->near_slots = near;
}

static uint32_t
entries_of_region(const GwRouter *r)
{
    GHashTableIter iter;
    gpointer value;
    uint32_t count = 1;

    g_hash_table_iter_init(&iter, r->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwPeer *peer = value;
        count += peer->serves && strcmp(peer->region, r->params.region) == 0;
    }
    return count;
}

/* The share of the region's traffic that its slots can't carry while all work
 * is cold: where the day begins. Without it a region with few servers keeps
 * all until they are full, and then sends two thirds away at once. Never more
 * than would leave if callers were spread evenly over regions, since the first
 * quarter of a second says little of their number. */
static double
first_level(GwRouter *r, const GwDrift *d)
{
    if (r->all_slots == 0 || r->near_slots == 0) {
        return 0;
    }
    double evenly = (double)r->all_slots / r->regions / r->near_slots;
    double per_s = d->first_work_us / (double)FIRST_LOOK_US;
    double needed = per_s * entries_of_region(r) / r->near_slots;
    return MAX(1 - FIRST_ROOM / MIN(evenly, needed), 0);
}

bool
GwRouter_DriftStarts(const GwRouter *r, int64_t now_us)
{
    return now_us < r->drift.start_until_us;
}

/* After the first look: a forecast, or freedom. */
static void
begin(GwRouter *r, int64_t now_us)
{
    GwDrift *d = &r->drift;

    d->has_level = true;
    if (d->first_work_us < d->first_count * (double)SETTLES_US) {
        d->free_until_us =
            MAX(d->free_until_us, now_us + START_FREE_US - FIRST_LOOK_US);
        d->start_until_us = now_us;
        return;
    }
    d->level = first_level(r, d);
}

GwDriftSide
GwRouter_DriftSide(GwRouter *r, int64_t now_us)
{
    GwDrift *d = &r->drift;

    count_room(r);
    if (r->room_lost && d->start_until_us != 0) {
        d->free_until_us = MAX(d->free_until_us, now_us + LOSS_FREE_US);
    }
    r->room_lost = false;
    decay(d, now_us);
    if (d->start_until_us != 0 && !d->has_level &&
        now_us >= d->start_until_us - START_US + FIRST_LOOK_US) {
        begin(r, now_us);
    }
    if (!d->has_level || now_us < d->free_until_us || d->sent < SENT_MIN) {
        return GW_DRIFT_ANY;
    }
    double share = d->far / d->sent;
    return share >= d->level + BAND   ? GW_DRIFT_NEAR
           : share <= d->level - BAND ? GW_DRIFT_FAR
                                      : GW_DRIFT_ANY;
}

void
GwRouter_DriftSent(GwRouter *r, int64_t now_us, const GwRequest *req,
                   bool wanted_far, bool far)
{
    GwDrift *d = &r->drift;

    if (d->start_until_us == 0) {
        d->start_until_us = now_us + START_US;
    }
    if (!d->has_level) {
        d->first_work_us += req->state->cold_us;
        d->first_count++;
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
GwRouter_DriftServers(GwRouter *r)
{
    r->room_known = false;
}
