/* Rows that this entry lacks and a peer has: when they are fetched, and from
 * whom (news.h says why not from anybody at once). */
#include "edge/news.h"
#include "edge/peers_internal.h"

#include <string.h>

/* Where this entry and the one that has news stand among those of our failure
 * domain. All of it know each other, so all see the same order. */
static GwNewsSight
sight_of(const GwPeers *peers, const GwPeerEntry *teller)
{
    const GwRouterParams *own = &peers->edge->settings->router;
    bool near = strcmp(teller->domain, own->domain) == 0;
    uint64_t own_rank = GwPeers_Rank(own->name);
    uint64_t teller_rank = GwPeers_Rank(teller->name);
    GwNewsSight sight = {
        .domain_size = 1,
        .teller = near ? own_rank > teller_rank : GW_NEWS_OUTSIDE,
        .waited_us = GwEdge_Now() - peers->behind_since_us,
    };
    GwPeerScan scan = GwPeers_Scan(peers, NULL, own->domain);
    const GwPeerEntry *peer;

    while ((peer = GwPeerScan_Next(&scan)) != NULL) {
        uint64_t rank = GwPeers_Rank(peer->name);
        sight.domain_size++;
        sight.own += rank > own_rank;
        sight.teller += near && rank > teller_rank;
    }
    return sight;
}

static bool
has_news(const GwPeers *peers, const GwPeerEntry *peer)
{
    const GwEdge *edge = peers->edge;

    return peer->operator_version > GwFeed_Version(edge->operator_feed) ||
           peer->server_version > GwFeed_Version(edge->server_feed);
}

/* The peer knows of rows that this entry lacks: fetches them from it, or
 * leaves that to another of the failure domain for a moment. */
void
GwPeers_AskForRows(GwPeers *peers, const GwPeerEntry *peer)
{
    GwEdge *edge = peers->edge;

    if (!has_news(peers, peer)) {
        return;
    }
    if (!peers->behind) {
        peers->behind = true;
        peers->behind_since_us = GwEdge_Now();
    }
    GwNewsSight sight = sight_of(peers, peer);
    if (!GwNews_AsksNow(&sight)) {
        g_strlcpy(peers->teller, peer->peer_address, sizeof(peers->teller));
        return;
    }
    peers->behind = false;
    GwFeed_AskPeer(edge->operator_feed, peer->peer_address,
                   peer->operator_version);
    GwFeed_AskPeer(edge->server_feed, peer->peer_address,
                   peer->server_version);
}

void
GwPeers_AskDue(GwPeers *peers)
{
    GwPeerEntry *peer = g_hash_table_lookup(peers->by_address, peers->teller);

    if (!peers->behind) {
        return;
    }
    if (peer == NULL || !has_news(peers, peer)) {
        peers->behind = false; /* somebody else has brought it */
        return;
    }
    GwPeers_AskForRows(peers, peer);
}
