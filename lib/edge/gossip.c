#include "edge/gossip.h"

#include <glib.h>

/* A change is forwarded for this long; later, peers that lack the change
 * receive it with a page. */
#define CHANGE_LIFE_US 500000
/* Checksums may differ while a change is still propagating. */
#define CHECKSUM_SETTLE_US 1000000
/* Interval between two pages to a peer, doubled while the peer's checksum
 * does not change: the peer may run a version without checksums. */
#define PAGE_MIN_MS 500
#define PAGE_MAX_MS 64000

GwGossipAction
GwGossipPeer_Next(GwGossipPeer *peer, int64_t now_us, int64_t *since_us)
{
    if (peer->sends_page) {
        peer->sends_page = false;
        return GW_GOSSIP_PAGE;
    }
    if (!peer->news) {
        return GW_GOSSIP_NOTHING;
    }
    *since_us = MAX(peer->sent_us, now_us - CHANGE_LIFE_US);
    peer->news = false;
    peer->sent_us = now_us;
    return GW_GOSSIP_CHANGES;
}

bool
GwGossipPeer_OnChecksum(GwGossipPeer *peer, int64_t now_us, uint64_t checksum,
                        uint64_t own_checksum, int64_t changed_us)
{
    if (checksum != peer->checksum) {
        peer->checksum = checksum;
        peer->page_wait_ms = 0;
        peer->next_page_us = 0;
    }
    if (checksum == own_checksum || own_checksum == 0 ||
        now_us - changed_us < CHECKSUM_SETTLE_US ||
        now_us < peer->next_page_us) {
        return false;
    }
    peer->page_wait_ms =
        CLAMP(peer->page_wait_ms * 2, PAGE_MIN_MS, PAGE_MAX_MS);
    peer->next_page_us = now_us + (int64_t)peer->page_wait_ms * 1000;
    peer->sends_page = true;
    return true;
}
