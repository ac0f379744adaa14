/* Decides when missing rows are fetched, and from which peer (fetch_tree.h
 * gives the reason for the tree). */
#include "edge/peers_internal.h"

#include <string.h>

/* Reads of a whole table for a newer configuration: minimum interval, and
 * maximum for the same version, which this entry may refuse. */
#define CONFIG_FETCH_US  1000000
#define CONFIG_FETCH_MAX 3

/* Ranks this entry and the provider within this entry's failure domain. All
 * entries of the domain know each other, so they agree on the order. */
static GwFetchView
create_view(const GwPeers *peers, const GwPeerEntry *provider)
{
    const GwRouterParams *own = &peers->edge->settings->router;
    bool same_domain = strcmp(provider->domain, own->domain) == 0;
    GwEntryRank own_rank = GwPeers_OwnRank(peers);
    GwEntryRank provider_rank = GwPeerEntry_Rank(provider);
    GwFetchView view = {
        .domain_size = 1,
        .provider_rank = same_domain
                             ? GwEntryRank_IsBefore(&own_rank, &provider_rank)
                             : GW_FETCH_OUTSIDE,
        .waited_us = GwEdge_Now() - peers->awaits_rows_since_us,
        .is_bootstrapping = !GwFeed_IsLoaded(peers->edge->server_feed),
    };
    GwPeerScan scan = GwPeers_Scan(peers, NULL, own->domain);
    const GwPeerEntry *peer;

    while ((peer = GwPeerScan_Next(&scan)) != NULL) {
        GwEntryRank peer_rank = GwPeerEntry_Rank(peer);
        view.domain_size++;
        view.own_rank += GwEntryRank_IsBefore(&peer_rank, &own_rank);
        view.provider_rank +=
            same_domain && GwEntryRank_IsBefore(&peer_rank, &provider_rank);
    }
    return view;
}

static bool
has_newer_rows(const GwPeers *peers, const GwPeerEntry *peer)
{
    const GwEdge *edge = peers->edge;

    return GwStoreVersion_IsNewer(peer->operator_version,
                                  GwFeed_Version(edge->operator_feed)) ||
           GwStoreVersion_IsNewer(peer->server_version,
                                  GwFeed_Version(edge->server_feed));
}

/* A store that was restored may show an older configuration than a peer has,
 * at the same version of the table. */
static void
fetch_newer_config(GwPeers *peers, const GwPeerEntry *peer)
{
    GwEdge *edge = peers->edge;
    const GwRouting *routing = GwRouter_Routing(edge->router);
    int64_t now_us = GwEdge_Now();

    if (routing == NULL || peer->config_version <= routing->version ||
        GwStoreVersion_Compare(peer->operator_version,
                               GwFeed_Version(edge->operator_feed)) != 0) {
        return;
    }
    if (peer->config_version != peers->config_wanted) {
        peers->config_wanted = peer->config_version;
        peers->config_fetches = 0;
    }
    if (peers->config_fetches < CONFIG_FETCH_MAX &&
        now_us - peers->config_fetch_us > CONFIG_FETCH_US) {
        peers->config_fetches++;
        peers->config_fetch_us = now_us;
        GwFeed_ReadWholeFromPeer(edge->operator_feed, peer->peer_address,
                                 &peer->operator_proof);
    }
}

/* Whether to read the missing operator rows from the store instead. */
static bool
reads_from_store(const GwPeers *peers, const GwPeerEntry *peer)
{
    uint32_t own_kbps = peers->edge->settings->link_kbps;
    GwFetchCopy copy = {
        .bytes = peer->missing_bytes,
        .link_kbps = MIN(own_kbps, peer->link_kbps),
    };

    return GwFetchCopy_IsLarge(&copy) &&
           GwFeed_MayReadFromStore(peers->edge->operator_feed);
}

void
GwPeers_FetchRowsFrom(GwPeers *peers, const GwPeerEntry *peer)
{
    GwEdge *edge = peers->edge;

    if (!has_newer_rows(peers, peer)) {
        fetch_newer_config(peers, peer);
        return;
    }
    if (reads_from_store(peers, peer)) {
        GwFeed_ReadFromStore(edge->operator_feed, peer->operator_version);
    }
    if (!peers->awaits_rows) {
        peers->awaits_rows = true;
        peers->awaits_rows_since_us = GwEdge_Now();
    }
    GwFetchView view = create_view(peers, peer);
    if (!GwFetchView_MayFetch(&view)) {
        g_strlcpy(peers->provider, peer->peer_address,
                  sizeof(peers->provider));
        return;
    }
    peers->awaits_rows = false;
    GwFeed_ReadFromPeer(edge->operator_feed, peer->peer_address,
                        peer->operator_version, &peer->operator_proof);
    GwFeed_ReadFromPeer(edge->server_feed, peer->peer_address,
                        peer->server_version, &peer->server_proof);
}

void
GwPeers_FetchDueRows(GwPeers *peers)
{
    GwPeerEntry *peer =
        g_hash_table_lookup(peers->by_address, peers->provider);

    if (!peers->awaits_rows) {
        return;
    }
    if (peer == NULL || !has_newer_rows(peers, peer)) {
        peers->awaits_rows = false; /* fetched from another peer */
        return;
    }
    GwPeers_FetchRowsFrom(peers, peer);
}
