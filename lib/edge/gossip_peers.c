/* Chooses the peers to which a change is sent at once (gossip.h). */
#include "edge/peers_internal.h"

/* Chooses live peers uniformly at random (reservoir sampling); the list
 * ends with NULL. */
static void
choose_random(GwPeers *peers, GwPeerEntry *chosen[GW_GOSSIP_FANOUT + 1])
{
    GwPeerScan scan = GwPeers_Scan(peers, NULL, NULL);
    GwPeerEntry *peer;
    gint seen = 0;

    for (int i = 0; i <= GW_GOSSIP_FANOUT; i++) {
        chosen[i] = NULL;
    }
    while ((peer = GwPeerScan_Next(&scan)) != NULL) {
        gint at =
            seen < GW_GOSSIP_FANOUT ? seen : g_random_int_range(0, seen + 1);
        seen++;
        if (at < GW_GOSSIP_FANOUT) {
            chosen[at] = peer;
        }
    }
}

void
GwPeers_GossipChanges(GwPeers *peers, GwGossipKind kind, int64_t now_us,
                      int64_t changed_us)
{
    GwPeerEntry *chosen[GW_GOSSIP_FANOUT + 1];

    if (changed_us <= peers->gossiped_us[kind]) {
        return;
    }
    peers->gossiped_us[kind] = now_us;
    choose_random(peers, chosen);
    for (int i = 0; chosen[i] != NULL; i++) {
        chosen[i]->gossip[kind].news = true;
        chosen[i]->is_urgent = true;
    }
}
