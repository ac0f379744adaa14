#include "store/outage.h"

bool
GwStoreHealth_HadOutage(const GwStoreHealth *health)
{
    return health->failed && !health->polls_succeed &&
           health->healthy_peers == 0;
}
