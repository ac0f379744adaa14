#include "store/outage.h"

#define WAIT_MS        3500
#define WAIT_OUTAGE_MS 800

bool
GwStoreSight_WasAway(const GwStoreSight *health)
{
    return health->failed && !health->reads_well &&
           health->peers_reading_well == 0;
}

uint32_t
GwStorePoll_WaitMs(bool is_unavailable)
{
    return is_unavailable ? WAIT_OUTAGE_MS : WAIT_MS;
}
