#include "edge/news.h"

#include "router/router_internal.h"

bool
GwNews_IsBefore(const GwNewsEntry *a, const GwNewsEntry *b)
{
    if (a->link_kbps != b->link_kbps) {
        return a->link_kbps > b->link_kbps;
    }
    if (a->cpu_milli != b->cpu_milli) {
        return a->cpu_milli > b->cpu_milli;
    }
    return GwHash_Text(a->name, 1) > GwHash_Text(b->name, 1);
}

bool
GwNews_IsLarge(const GwNewsSize *size)
{
    uint64_t copy_us =
        size->link_kbps > 0 ? size->bytes * 8000 / size->link_kbps : 0;

    return copy_us > GW_NEWS_COPY_US;
}

bool
GwNews_AsksNow(const GwNewsSight *sight)
{
    int64_t wait_us = sight->starts ? GW_NEWS_START_WAIT_US : GW_NEWS_WAIT_US;

    if (sight->own == 0 || sight->domain_size < GW_NEWS_DOMAIN_MIN ||
        sight->waited_us >= wait_us) {
        return true;
    }
    return sight->teller == (sight->own - 1) / GW_NEWS_FAN;
}
