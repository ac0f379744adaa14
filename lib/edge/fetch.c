/* Rows that this entry lacks and a peer has: when they are fetched, and from
 * whom (news.h says why not from anybody at once). */
#include "edge/peers_internal.h"

#include <string.h>

/* Where this entry and the one that has news stand among those of our failure
 * domain. All of it know each other, so all see the same order. */
static GwNewsSight
sight_of(const GwPeers *peers, const GwPeerEntry *teller)
{
    const GwRouterParams *own = &peers->edge->settings->router;
    bool near = strcmp(teller->domain, own->domain) == 0;
    GwNewsEntry self = GwPeers_Own(peers);
    GwNewsEntry told = GwPeerEntry_AsNews(teller);
    GwNewsSight sight = {
        .domain_size = 1,
        .teller = near ? GwNews_IsBefore(&self, &told) : GW_NEWS_OUTSIDE,
        .waited_us = GwEdge_Now() - peers->behind_since_us,
        .starts = !GwFeed_IsKnown(peers->edge->server_feed),
    };
    GwPeerScan scan = GwPeers_Scan(peers, NULL, own->domain);
    const GwPeerEntry *peer;

    while ((peer = GwPeerScan_Next(&scan)) != NULL) {
        GwNewsEntry other = GwPeerEntry_AsNews(peer);
        sight.domain_size++;
        sight.own += GwNews_IsBefore(&other, &self);
        sight.teller += near && GwNews_IsBefore(&other, &told);
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

/* Whether the operators' rows that the peer has and this entry lacks are read
 * from the store instead. */
static bool
is_for_store(const GwPeers *peers, const GwPeerEntry *peer)
{
    uint32_t own_kbps = peers->edge->settings->link_kbps;
    GwNewsSize size = {
        .bytes = peer->news_bytes,
        .link_kbps = MIN(own_kbps, peer->link_kbps),
    };

    return GwNews_IsLarge(&size) &&
           GwFeed_MayAskStore(peers->edge->operator_feed);
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
    if (is_for_store(peers, peer)) {
        GwFeed_AskStore(edge->operator_feed, peer->operator_version);
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
