/* Which placements of objects an entry tells another: its own, those that it
 * passes on for others of its failure domain or region, and, to one that has
 * just started, where objects are warm. */
#include "edge/introduce.h"
#include "edge/peers_internal.h"

#include <string.h>

/* A placement is told in two reports, since one may be lost; and no longer
 * than this. */
#define PLACEMENT_LIFE_US 30000000
/* One that is passed on is told at once or not at all. */
#define RELAYED_LIFE_US 3000000
/* Of the places that a new entry of the region is told, a part a report. */
#define BACKLOG_MAX  2000
#define BACKLOG_PART 100

bool
GwPeers_IsNear(const GwPeers *peers, const GwPeerEntry *peer)
{
    return peer->heard &&
           strcmp(peer->region, peers->edge->settings->router.region) == 0;
}

/* Moves a part of what a new peer is still to be told into `out`. */
static uint32_t
take_backlog(GwPeerEntry *peer, GArray *out)
{
    if (peer->backlog == NULL) {
        return 0;
    }
    guint count = MIN(peer->backlog->len, BACKLOG_PART);
    g_array_append_vals(out, peer->backlog->data, count);
    g_array_remove_range(peer->backlog, 0, count);
    if (peer->backlog->len == 0) {
        GwPeerEntry_DropBacklog(peer);
    }
    return count;
}

static void
append_younger(const GArray *from, int64_t since_us, GArray *out)
{
    for (guint i = 0; i < from->len; i++) {
        const GwPlacement *p = &g_array_index(from, GwPlacement, i);
        if (p->at_us >= since_us) {
            g_array_append_val(out, *p);
        }
    }
}

uint32_t
GwPeers_PlacementsFor(GwPeers *peers, GwPeerEntry *peer, GwLoadsTold told,
                      uint32_t period_ms, GArray *out)
{
    int64_t now_us = GwEdge_Now();
    int64_t age_us = now_us - peer->told_us + (int64_t)period_ms * 1000;
    int64_t since_us = now_us - age_us;

    g_array_set_size(out, 0);
    if (!GwPeers_IsNear(peers, peer)) {
        return 0;
    }
    uint32_t warm = take_backlog(peer, out);
    if (told == GW_LOADS_NONE) {
        return warm;
    }
    GwRouter_OwnPlacements(peers->edge->router, now_us,
                           MIN(age_us, PLACEMENT_LIFE_US), PLACEMENT_LIFE_US,
                           out);
    if (told == GW_LOADS_DOMAIN || told == GW_LOADS_ALL) {
        append_younger(peers->relayed_domain, since_us, out);
    }
    if (told == GW_LOADS_ALL) {
        append_younger(peers->relayed_region, since_us, out);
    }
    return warm;
}

static void
drop_old(GArray *relayed, int64_t now_us)
{
    guint old = 0;

    while (old < relayed->len &&
           now_us - g_array_index(relayed, GwPlacement, old).at_us >
               RELAYED_LIFE_US) {
        old++;
    }
    g_array_remove_range(relayed, 0, old);
}

void
GwPeers_RelayPlacement(GwPeers *peers, const GwPeerEntry *from,
                       const GwPlacement *placement)
{
    bool same =
        strcmp(from->domain, peers->edge->settings->router.domain) == 0;
    GArray *relayed = same ? peers->relayed_domain : peers->relayed_region;
    GwPlacement copy = *placement;

    if (peers->aggregates) {
        copy.at_us = GwEdge_Now();
        drop_old(relayed, copy.at_us);
        g_array_append_val(relayed, copy);
    }
}

static bool
is_introducer(const GwPeers *peers, const GwPeerEntry *newcomer)
{
    const GwRouterParams *own = &peers->edge->settings->router;
    GPtrArray *others = g_ptr_array_new();
    GwPeerScan scan = GwPeers_Scan(peers, own->region, NULL);
    const GwPeerEntry *peer;

    while ((peer = GwPeerScan_Next(&scan)) != NULL) {
        if (peer != newcomer) {
            g_ptr_array_add(others, peer->name);
        }
    }
    bool is_one = GwIntroduce_TellsPlaces(own->name, newcomer->name, others);
    g_ptr_array_free(others, TRUE);
    return is_one;
}

void
GwPeers_MakeBacklog(GwPeers *peers, GwPeerEntry *peer)
{
    if (!GwPeers_IsNear(peers, peer) || peer->backlog_start == peer->start ||
        !is_introducer(peers, peer)) {
        return;
    }
    GwPeerEntry_DropBacklog(peer);
    peer->backlog_start = peer->start;
    peer->backlog = g_array_new(FALSE, FALSE, sizeof(GwPlacement));
    GwRouter_WarmPlacements(peers->edge->router, BACKLOG_MAX, peer->backlog);
}
