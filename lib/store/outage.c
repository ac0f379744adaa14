#include "store/outage.h"

#define WAIT_MS        3500
#define WAIT_OUTAGE_MS 800

bool
GwStoreHealth_HadOutage(const GwStoreHealth *health)
{
    return health->failed && !health->polls_succeed &&
           health->healthy_peers == 0;
}

uint32_t
GwStorePoll_WaitMs(bool is_unavailable)
{
    return is_unavailable ? WAIT_OUTAGE_MS : WAIT_MS;
}
