/* Chooses the placements sent to a peer: own ones, those that an aggregator
 * relays for its failure domain or region, and the bootstrap state of a new
 * entry. */
#include "edge/introduce.h"
#include "edge/peers_internal.h"

#include <string.h>

/* A placement is sent in two reports, as one may be lost, and never after
 * this age. */
#define PLACEMENT_LIFE_US 30000000
/* A relayed placement is sent at once or dropped. */
#define RELAYED_LIFE_US 3000000
/* Placements sent to a new entry of the region: in all, and per report. */
#define BACKLOG_MAX  2000
#define BACKLOG_PART 100

bool
GwPeers_IsNear(const GwPeers *peers, const GwPeerEntry *peer)
{
    return peer->heard &&
           strcmp(peer->region, peers->edge->settings->router.region) == 0;
}

/* Moves a part of the peer's backlog into `out`; returns the number moved. */
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
