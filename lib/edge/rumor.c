#include "edge/rumor.h"

#include <glib.h>

/* A change is passed on for this long; later, peers that lack it get it
 * with a page. */
#define NEWS_LIFE_US 500000
/* Checksums may differ while a change is still propagating. */
#define SETTLED_US 1000000
/* Interval between two pages to a peer, doubled while the peer's checksum
 * does not change: the peer may run a version without checksums. */
#define PAGE_MIN_MS 500
#define PAGE_MAX_MS 64000

GwRumorTells
GwRumorPeer_Next(GwRumorPeer *peer, int64_t now_us, int64_t *since_us)
{
    if (peer->page) {
        peer->page = false;
        return GW_RUMOR_PAGE;
    }
    if (!peer->news) {
        return GW_RUMOR_NOTHING;
    }
    *since_us = MAX(peer->told_us, now_us - NEWS_LIFE_US);
    peer->news = false;
    peer->told_us = now_us;
    return GW_RUMOR_NEWS;
}

bool
GwRumorPeer_Heard(GwRumorPeer *peer, int64_t now_us, uint64_t sum,
                  uint64_t own_sum, int64_t changed_us)
{
    if (sum != peer->sum) {
        peer->sum = sum;
        peer->wait_ms = 0;
        peer->page_us = 0;
    }
    if (sum == own_sum || own_sum == 0 || now_us - changed_us < SETTLED_US ||
        now_us < peer->page_us) {
        return false;
    }
    peer->wait_ms = CLAMP(peer->wait_ms * 2, PAGE_MIN_MS, PAGE_MAX_MS);
    peer->page_us = now_us + (int64_t)peer->wait_ms * 1000;
    peer->page = true;
    return true;
}
