/* Limits how fast traffic moves between regions.
 *
 * Without a limit, a burst that fills a region's servers moves all excess to
 * other regions at once, and back at once when the burst ends: each time, many
 * requests reach servers that don't have their objects cached. The share of
 * requests sent to other regions may change by a few percent per second only;
 * requests that find no local slot and may not be sent to another region wait
 * or are refused. The limit is off for some time after the region loses
 * servers, since the traffic then has no local alternative. */
#include "router/router_internal.h"

#include <math.h>
#include <string.h>

/* Time constant of the measured shares. */
#define SHARE_TAU_US 1000000.0
/* The allowed share follows the wanted share by at most this per second, and
 * the actual share stays within SHARE_BAND of the allowed share: a change of
 * 0.09 + 0.06 in 2 s, where operators allow 0.15. */
#define SHARE_SLOPE_PER_S 0.045
#define SHARE_BAND        0.03
/* With fewer requests in SHARE_TAU_US a share is not significant. */
#define SENT_MIN 5.0
/* No limit for this long after the first request, while objects get their
 * placements, and after a loss of servers, while the others take over. */
#define START_FREE_US 6000000
#define LOSS_FREE_US  6000000
/* A server below this utilization has run nothing for some 7 s. */
#define USED_UTILIZATION_MIN 0.01
/* With cold runs longer than this, a start without a limit moves more traffic
 * than operators allow: slots still hold first runs when the change is first
 * measured. For shorter runs a forecast would only cost latency. */
#define LONG_RUN_US 1000000
/* For this long after the first request the remote share may cause cold runs
 * in other regions: no server is warm yet. */
#define START_PHASE_US 3000000
/* Arrivals in this time give the forecast of the region's work. */
#define FORECAST_US 250000
/* Part of a region's slots that its first, cold work is assumed to use. */
#define FORECAST_UTILIZATION 0.8

static void
decay(GwCrossRegion *cr, int64_t now_us)
{
    double keep = exp(-(double)(now_us - cr->at_us) / SHARE_TAU_US);
    double step = SHARE_SLOPE_PER_S * (double)(now_us - cr->at_us) / 1e6;

    cr->sent *= keep;
    cr->remote *= keep;
    cr->demand *= keep;
    cr->remote_demand *= keep;
    cr->at_us = now_us;
    if (now_us < cr->unlimited_until_us) {
        cr->allowed_share = cr->sent > 0 ? cr->remote / cr->sent : 0;
        return;
    }
    double wanted_share =
        cr->demand > 0 ? cr->remote_demand / cr->demand : cr->allowed_share;
    cr->allowed_share += CLAMP(wanted_share - cr->allowed_share, -step, step);
}

static bool
has_usable_slots(const GwRouter *r, const GwServer *s)
{
    return !s->start->is_leaving &&
           !g_hash_table_contains(r->evacuated, s->domain);
}

/* Rows of servers that crashed during an outage of the store are removed after
 * it. No traffic moves then, so that is no loss. */
void
GwRouter_NoteSlotsGone(GwRouter *r, int64_t now_us, const GwServer *s)
{
    if (s->same_region && has_usable_slots(r, s) &&
        GwServer_Utilization(r, s, now_us) < USED_UTILIZATION_MIN) {
        r->local_slots -= MIN(r->local_slots, s->slots);
    }
}

/* Updates the slots of servers that accept requests, in all regions and in
 * this region. Recomputed on use only, since hundreds of servers may change at
 * once. */
static void
update_capacity(GwRouter *r)
{
    GHashTable *regions;
    GHashTableIter iter;
    gpointer value;
    uint32_t local = 0;

    if (r->is_capacity_known) {
        return;
    }
    r->is_capacity_known = true;
    r->all_slots = 0;
    regions = g_hash_table_new(g_str_hash, g_str_equal);
    g_hash_table_iter_init(&iter, r->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwServer *s = value;
        if (!has_usable_slots(r, s)) {
            continue;
        }
        g_hash_table_add(regions, s->path->region);
        r->all_slots += s->slots;
        local += s->same_region ? s->slots : 0;
    }
    r->regions = g_hash_table_size(regions);
    g_hash_table_destroy(regions);
    r->has_lost_capacity = r->has_lost_capacity || local < r->local_slots;
    r->local_slots = local;
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
 * servers keeps all traffic until they are full, and then sends two thirds to
 * other regions at once. Bounded by the share that other regions would receive
 * if callers were spread evenly over regions, since arrivals of a quarter of a
 * second are a poor estimate. */
static double
forecast_share(GwRouter *r, const GwCrossRegion *cr)
{
    if (r->all_slots == 0 || r->local_slots == 0) {
        return 0;
    }
    double even_load = (double)r->all_slots / r->regions / r->local_slots;
    double per_s = cr->first_work_us / (double)FORECAST_US;
    double needed_load = per_s * entries_of_region(r) / r->local_slots;
    return MAX(1 - FORECAST_UTILIZATION / MIN(even_load, needed_load), 0);
}

bool
GwRouter_IsStartPhase(const GwRouter *r, int64_t now_us)
{
    return now_us < r->cross_region.start_until_us;
}

/* Ends the forecast window: sets the initial share, or lifts the limit for
 * work that is short. */
static void
end_forecast(GwRouter *r, int64_t now_us)
{
    GwCrossRegion *cr = &r->cross_region;

    cr->has_forecast = true;
    if (cr->first_work_us < cr->first_count * (double)LONG_RUN_US) {
        cr->unlimited_until_us =
            MAX(cr->unlimited_until_us, now_us + START_FREE_US - FORECAST_US);
        cr->start_until_us = now_us;
        return;
    }
    cr->allowed_share = forecast_share(r, cr);
}

GwRegionRule
GwRouter_RegionRule(GwRouter *r, int64_t now_us)
{
    GwCrossRegion *cr = &r->cross_region;

    update_capacity(r);
    if (r->has_lost_capacity && cr->start_until_us != 0) {
        cr->unlimited_until_us =
            MAX(cr->unlimited_until_us, now_us + LOSS_FREE_US);
    }
    r->has_lost_capacity = false;
    decay(cr, now_us);
    if (cr->start_until_us != 0 && !cr->has_forecast &&
        now_us >= cr->start_until_us - START_PHASE_US + FORECAST_US) {
        end_forecast(r, now_us);
    }
    if (!cr->has_forecast || now_us < cr->unlimited_until_us ||
        cr->sent < SENT_MIN) {
        return GW_REGIONS_ALL;
    }
    double share = cr->remote / cr->sent;
    return share >= cr->allowed_share + SHARE_BAND   ? GW_REGIONS_LOCAL
           : share <= cr->allowed_share - SHARE_BAND ? GW_REGIONS_REMOTE
                                                     : GW_REGIONS_ALL;
}

void
GwRouter_NoteRegionSent(GwRouter *r, int64_t now_us, const GwRequest *req,
                        bool preferred_remote, bool remote)
{
    GwCrossRegion *cr = &r->cross_region;

    if (cr->start_until_us == 0) {
        cr->start_until_us = now_us + START_PHASE_US;
    }
    if (!cr->has_forecast) {
        cr->first_work_us += req->state->cold_us;
        cr->first_count++;
    }
    decay(cr, now_us);
    cr->sent += 1;
    cr->remote += remote;
    cr->demand += 1;
    cr->remote_demand += preferred_remote;
}

void
GwRouter_NoteRegionRefused(GwRouter *r, int64_t now_us, bool preferred_remote)
{
    decay(&r->cross_region, now_us);
    r->cross_region.demand += 1;
    r->cross_region.remote_demand += preferred_remote;
}

void
GwRouter_NoteServersChanged(GwRouter *r)
{
    r->is_capacity_known = false;
}
