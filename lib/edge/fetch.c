/* Decides when missing rows are fetched, and from which peer (fetch_tree.h
 * gives the reason for the tree). */
#include "edge/peers_internal.h"

#include <string.h>

/* Ranks this entry and the provider within this entry's failure domain. All
 * entries of the domain know each other, so they agree on the order. */
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

/* Whether to read the missing operator rows from the store instead. */
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
        peers->behind = false; /* fetched from another peer */
        return;
    }
    GwPeers_AskForRows(peers, peer);
}
