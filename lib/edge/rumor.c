#include "edge/rumor.h"

#include <glib.h>

/* News is passed on for so long; who has missed it is told everything. */
#define NEWS_LIFE_US 500000
/* Sums differ while news is on its way. */
#define SETTLED_US 1000000
/* Between two parts of everything to one peer, doubled while its sum stays as
 * it is: it may be of a build that knows no sums. */
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
