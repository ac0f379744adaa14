#include "store/away.h"

bool
GwStoreSight_WasAway(const GwStoreSight *sight)
{
    return sight->failed && !sight->reads_well &&
           sight->peers_reading_well == 0;
}
