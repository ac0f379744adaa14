/* Chooses the placements sent to a peer: own ones, those that an aggregator
 * relays for its failure domain or region, and the bootstrap state of a new
 * entry. */
#include "edge/bootstrap.h"
#include "edge/peers_internal.h"

#include <string.h>

/* A placement is sent in two reports, as one may be lost, and never after
 * this age. */
#define PLACEMENT_EXPIRE_US 30000000
/* A relayed placement is sent at once or dropped. */
#define RELAYED_EXPIRE_US 3000000
/* Placements sent to a new entry of the region: in all, and per report. */
#define BACKLOG_MAX  2000
#define BACKLOG_PART 100

bool
GwPeers_IsInRegion(const GwPeers *peers, const GwPeerEntry *peer)
{
    return peer->has_reported &&
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
append_since(const GArray *from, int64_t since_us, GArray *out)
{
    for (guint i = 0; i < from->len; i++) {
        const GwPlacement *p = &g_array_index(from, GwPlacement, i);
        if (p->at_us >= since_us) {
            g_array_append_val(out, *p);
        }
    }
}

uint32_t
GwPeers_PlacementsFor(GwPeers *peers, GwPeerEntry *peer, GwLoadScope scope,
                      uint32_t period_ms, GArray *out)
{
    int64_t now_us = GwEdge_Now();
    int64_t age_us = now_us - peer->sent_us + (int64_t)period_ms * 1000;
    int64_t since_us = now_us - age_us;

    g_array_set_size(out, 0);
    if (!GwPeers_IsInRegion(peers, peer)) {
        return 0;
    }
    uint32_t warm = take_backlog(peer, out);
    if (scope == GW_LOADS_NONE) {
        return warm;
    }
    GwRouter_OwnPlacements(peers->edge->router, now_us,
                           MIN(age_us, PLACEMENT_EXPIRE_US),
                           PLACEMENT_EXPIRE_US, out);
    if (scope == GW_LOADS_DOMAIN || scope == GW_LOADS_ALL) {
        append_since(peers->domain_relays, since_us, out);
    }
    if (scope == GW_LOADS_ALL) {
        append_since(peers->region_relays, since_us, out);
    }
    return warm;
}

static void
drop_expired(GArray *relays, int64_t now_us)
{
    guint expired = 0;

    while (expired < relays->len &&
           now_us - g_array_index(relays, GwPlacement, expired).at_us >
               RELAYED_EXPIRE_US) {
        expired++;
    }
    g_array_remove_range(relays, 0, expired);
}

void
GwPeers_RelayPlacement(GwPeers *peers, const GwPeerEntry *from,
                       const GwPlacement *placement)
{
    bool same_domain =
        strcmp(from->domain, peers->edge->settings->router.domain) == 0;
    GArray *relays = same_domain ? peers->domain_relays : peers->region_relays;
    GwPlacement copy = *placement;

    if (peers->is_aggregator) {
        copy.at_us = GwEdge_Now();
        drop_expired(relays, copy.at_us);
        g_array_append_val(relays, copy);
    }
}

static bool
sends_bootstrap(const GwPeers *peers, const GwPeerEntry *new_entry)
{
    const GwRouterParams *own = &peers->edge->settings->router;
    GPtrArray *others = g_ptr_array_new();
    GwPeerScan scan = GwPeers_Scan(peers, own->region, NULL);
    const GwPeerEntry *peer;

    while ((peer = GwPeerScan_Next(&scan)) != NULL) {
        if (peer != new_entry) {
            g_ptr_array_add(others, peer->name);
        }
    }
    bool is_sender =
        GwBootstrap_SendsPlacements(own->name, new_entry->name, others);
    g_ptr_array_free(others, TRUE);
    return is_sender;
}

void
GwPeers_MakeBacklog(GwPeers *peers, GwPeerEntry *peer)
{
    if (!GwPeers_IsInRegion(peers, peer) ||
        peer->backlog_process_id == peer->process_id ||
        !sends_bootstrap(peers, peer)) {
        return;
    }
    GwPeerEntry_DropBacklog(peer);
    peer->backlog_process_id = peer->process_id;
    peer->backlog = g_array_new(FALSE, FALSE, sizeof(GwPlacement));
    GwRouter_WarmPlacements(peers->edge->router, BACKLOG_MAX, peer->backlog);
}
