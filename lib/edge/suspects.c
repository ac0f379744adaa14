/* Exchanges suspects (requests that crash servers) in reports (gossip.h). */
#include "edge/peers_internal.h"
#include "edge/quarantine_rows.h"

#include "router/router_internal.h"

static void
pack_suspect(const GwSuspect *s, Gw__Peer__Suspect *out)
{
    gw__peer__suspect__init(out);
    out->fingerprint_hi = s->fingerprint.hi;
    out->fingerprint_lo = s->fingerprint.lo;
    out->generation = s->generation;
    out->age_ms = s->age_ms;
    out->span_ms = s->span_ms;
    out->n_servers = s->server_count;
    out->servers = (uint64_t *)s->servers;
}

static bool
unpack_suspect(const Gw__Peer__Suspect *from, GwSuspect *out)
{
    if (from->n_servers > GW_SUSPECT_SERVERS_MAX) {
        return false;
    }
    *out = (GwSuspect){
        .fingerprint = {from->fingerprint_hi, from->fingerprint_lo},
        .generation = from->generation,
        .age_ms = from->age_ms,
        .span_ms = from->span_ms,
        .server_count = (uint32_t)from->n_servers,
    };
    for (size_t i = 0; i < from->n_servers; i++) {
        out->servers[i] = from->servers[i];
    }
    return true;
}

static uint32_t
select_suspects(GwPeers *peers, GwPeerEntry *peer, GwSuspect *out)
{
    GwQuarantine *q = GwRouter_Quarantine(peers->edge->router);
    GwGossipPeer *gossip = &peer->gossip[GW_GOSSIP_SUSPECTS];
    int64_t now_us = GwEdge_Now();
    int64_t since_us;
    uint32_t count = 0;

    switch (GwGossipPeer_Next(gossip, now_us, &since_us)) {
    case GW_GOSSIP_NOTHING:
        break;
    case GW_GOSSIP_CHANGES:
        count =
            GwQuarantine_Changes(q, now_us, since_us, out, GW_SUSPECTS_MAX);
        gossip->sends_page = count == GW_SUSPECTS_MAX;
        break;
    case GW_GOSSIP_PAGE:
        count = GwQuarantine_Page(q, now_us, &peers->suspects_cursor, out,
                                  GW_SUSPECTS_MAX);
        break;
    }
    return count;
}

void
GwPeers_FillSuspects(GwPeers *peers, GwPeerEntry *peer,
                     Gw__Peer__Report *report, GwSuspectArrays *arrays)
{
    report->suspects_sum =
        GwQuarantine_Checksum(GwRouter_Quarantine(peers->edge->router));
    report->n_suspects = select_suspects(peers, peer, arrays->known);
    for (size_t i = 0; i < report->n_suspects; i++) {
        pack_suspect(&arrays->known[i], &arrays->messages[i]);
        arrays->list[i] = &arrays->messages[i];
    }
    report->suspects = arrays->list;
}

void
GwPeers_ApplySuspects(GwPeers *peers, GwPeerEntry *peer,
                      const Gw__Peer__Report *report)
{
    GwQuarantine *q = GwRouter_Quarantine(peers->edge->router);
    int64_t now_us = GwEdge_Now();
    uint64_t sum;

    for (size_t i = 0; i < report->n_suspects; i++) {
        GwSuspect s;
        if (unpack_suspect(report->suspects[i], &s)) {
            GwQuarantine_Merge(q, now_us, &s);
        }
    }
    sum = GwQuarantine_Checksum(q);
    if (report->serves && report->suspects_sum == sum) {
        GwQuarantineRows_MarkLoaded(peers->edge->quarantine_rows);
    }
    if (GwGossipPeer_OnChecksum(&peer->gossip[GW_GOSSIP_SUSPECTS], now_us,
                                report->suspects_sum, sum,
                                GwQuarantine_ChangedUs(q))) {
        peer->is_urgent = true;
    }
}

void
GwPeers_GossipSuspects(GwPeers *peers, int64_t now_us)
{
    GwQuarantine *q = GwRouter_Quarantine(peers->edge->router);

    if (!GwQuarantine_IsEmpty(q)) {
        GwQuarantine_Tick(q, now_us);
        GwPeers_GossipChanges(peers, GW_GOSSIP_SUSPECTS, now_us,
                              GwQuarantine_ChangedUs(q));
    }
}

/* Entries that write the same row: more than one, since a single writer may
 * fail. */
#define WRITERS 2

bool
GwPeers_IsWriterOf(const GwPeers *peers, uint64_t name)
{
    uint64_t own = GwHash_Text(peers->edge->settings->router.name, name);
    GwPeerScan scan = GwPeers_Scan(peers, NULL, NULL);
    const GwPeerEntry *peer;
    uint32_t before = 0;

    while ((peer = GwPeerScan_Next(&scan)) != NULL) {
        before += GwHash_Text(peer->name, name) > own;
    }
    return before < WRITERS;
}
