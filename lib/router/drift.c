/* Limits how fast traffic moves between regions.
 *
 * Without a limit, a burst that fills a region's servers sends all excess to
 * other regions at once and back at once when it ends: each time a wave of
 * requests meets cold servers there. The share of requests sent to other
 * regions may change by a few percent per second only; requests that find no
 * local slot and may not leave wait or are refused. The limit is off for some
 * time after the region loses servers, since the traffic then has no local
 * alternative. */
#include "router/router_internal.h"

#include <math.h>
#include <string.h>

/* Time constant of the measured shares. */
#define TAU_US 1000000.0
/* The allowed share follows the wanted one by at most this per second, and the
 * actual share stays within BAND of it: a change of 0.09 + 0.06 in 2 s, where
 * operators allow 0.15. */
#define SLOPE_PER_S 0.045
#define BAND        0.03
/* With fewer requests in TAU_US a share is not significant. */
#define SENT_MIN 5.0
/* No limit for this long after the first request, while objects get their
 * placements, and after a loss of servers, while the others take over. */
#define START_FREE_US 6000000
#define LOSS_FREE_US  6000000
/* With cold runs longer than this, a start without a limit moves more traffic
 * than operators allow (41 in 100 of a region's requests within 2 s), since
 * slots still hold first runs when the change is first measured. Shorter runs
 * end before that, and a forecast would only cost latency. */
#define SETTLES_US 1000000
/* For this long after the first request the remote share may cause cold runs
 * in other regions: no server is warm yet. */
#define START_US 3000000
/* Arrivals in this time give the forecast of the region's work. */
#define FIRST_LOOK_US 250000
/* Part of a region's slots that its first, cold work is assumed to use. */
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

/* Updates the slots of servers that accept requests, in all regions and in
 * this one. Recomputed on use only, since server changes come by the
 * hundred. */
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

/* The initial allowed share: the part of the region's traffic that its
 * slots can't carry while all work is cold. Without it, a region with few
 * servers keeps all traffic until they are full, and then sends two thirds
 * away at once. Bounded by the share that would leave if callers were
 * spread evenly over regions, since arrivals of a quarter of a second are a
 * poor estimate. */
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

/* Ends the forecast window: sets the initial share, or lifts the limit for
 * work that is short. */
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
