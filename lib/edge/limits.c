/* Exchanges the rate limits set by servers in reports (gossip.h). */
#include "edge/peers_internal.h"

static uint32_t
select_limits(GwPeers *peers, GwPeerEntry *peer, GwLimit *out)
{
    const GwRouter *router = peers->edge->router;
    int64_t now_us = GwEdge_Now();
    int64_t since_us = 0;
    uint32_t count = 0;

    switch (GwGossipPeer_Next(&peer->gossip[GW_GOSSIP_LIMITS], now_us,
                              &since_us)) {
    case GW_GOSSIP_NOTHING:
        break;
    case GW_GOSSIP_CHANGES:
        count = GwRouter_Limits(router, now_us, since_us, out, GW_LIMITS_MAX);
        break;
    case GW_GOSSIP_PAGE:
        count = GwRouter_Limits(router, now_us, 0, out, GW_LIMITS_MAX);
        break;
    }
    return count;
}

void
GwPeers_FillLimits(GwPeers *peers, GwPeerEntry *peer, Gw__Peer__Report *report,
                   GwLimitArrays *arrays)
{
    report->limits_sum = GwRouter_LimitsChecksum(peers->edge->router);
    report->n_limits = select_limits(peers, peer, arrays->known);
    for (size_t i = 0; i < report->n_limits; i++) {
        Gw__Peer__Limit *message = &arrays->messages[i];
        gw__peer__limit__init(message);
        message->server = arrays->known[i].server;
        message->per_s = arrays->known[i].per_s;
        message->age_ms = arrays->known[i].age_ms;
        arrays->list[i] = message;
    }
    report->limits = arrays->list;
}

void
GwPeers_ApplyLimits(GwPeers *peers, GwPeerEntry *peer,
                    const Gw__Peer__Report *report)
{
    GwRouter *router = peers->edge->router;
    int64_t now_us = GwEdge_Now();

    for (size_t i = 0; i < report->n_limits; i++) {
        GwLimit limit = {.server = report->limits[i]->server,
                         .per_s = report->limits[i]->per_s,
                         .age_ms = report->limits[i]->age_ms};
        GwRouter_PutLimit(router, now_us, &limit);
    }
    if (GwGossipPeer_OnChecksum(&peer->gossip[GW_GOSSIP_LIMITS], now_us,
                                report->limits_sum,
                                GwRouter_LimitsChecksum(router),
                                GwRouter_LimitsChangedUs(router))) {
        peer->is_urgent = true;
    }
}

void
GwPeers_GossipLimits(GwPeers *peers, int64_t now_us)
{
    GwPeers_GossipChanges(peers, GW_GOSSIP_LIMITS, now_us,
                          GwRouter_LimitsChangedUs(peers->edge->router));
}
