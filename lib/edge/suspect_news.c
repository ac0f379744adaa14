#include "edge/suspect_news.h"

/* Sums differ while news is on its way. */
#define SETTLED_US 1000000
/* News is passed on for so long; who has missed it is told everything. */
#define NEWS_LIFE_US 500000
/* News is passed on for so long; who has missed it is told everything. */
#define NEWS_LIFE_US 500000
/* Between two parts of everything to one peer, doubled while its sum stays as
 * it is: it may be of a build that knows no sums. */
#define PAGE_MIN_MS 500
#define PAGE_MAX_MS 64000

uint32_t
GwSuspectPeer_Tell(GwSuspectPeer *peer, GwQuarantine *q, int64_t now_us,
                   uint32_t *from, GwSuspect out[GW_SUSPECTS_MAX])
{
    int64_t since_us = MAX(peer->told_us, now_us - NEWS_LIFE_US);
    uint32_t count = 0;

    if (peer->page) {
        count = GwQuarantine_Page(q, now_us, from, out, GW_SUSPECTS_MAX);
        peer->page = false;
    }
    else if (peer->news) {
        count = GwQuarantine_News(q, now_us, since_us, out, GW_SUSPECTS_MAX);
        peer->page = count == GW_SUSPECTS_MAX;
        peer->news = false;
        peer->told_us = now_us;
    }
    return count;
}

/* Its sum differs, and not because of news on its way. */
static bool
misses_some(const GwSuspectPeer *peer, GwQuarantine *q, int64_t now_us)
{
    uint64_t sum = GwQuarantine_Sum(q);

    return sum != 0 && sum != peer->sum &&
           now_us - GwQuarantine_ChangedUs(q) > SETTLED_US;
}

bool
GwSuspectPeer_Take(GwSuspectPeer *peer, GwQuarantine *q, int64_t now_us,
                   uint64_t sum, const GwSuspect *suspects, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        GwQuarantine_Merge(q, now_us, &suspects[i]);
    }
    if (sum != peer->sum) {
        peer->sum = sum;
        peer->wait_ms = 0;
        peer->page_us = 0;
    }
    if (!misses_some(peer, q, now_us) || now_us < peer->page_us) {
        return false;
    }
    peer->wait_ms = CLAMP(peer->wait_ms * 2, PAGE_MIN_MS, PAGE_MAX_MS);
    peer->page_us = now_us + (int64_t)peer->wait_ms * 1000;
    peer->page = true;
    return true;
}
