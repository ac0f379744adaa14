#include "edge/news.h"

bool
GwNews_AsksNow(const GwNewsSight *sight)
{
    if (sight->own == 0 || sight->domain_size < GW_NEWS_DOMAIN_MIN ||
        sight->waited_us >= GW_NEWS_WAIT_US) {
        return true;
    }
    return sight->teller == (sight->own - 1) / GW_NEWS_FAN;
}
