#include "edge/introduce.h"

#include "router/router_internal.h"

bool
GwIntroduce_TellsAddresses(uint32_t own, uint32_t newcomers)
{
    return own > 2 * newcomers;
}

bool
GwIntroduce_TellsPlaces(const char *own, const char *newcomer,
                        const GPtrArray *others)
{
    uint64_t seed = GwHash_Text(newcomer, 2);
    uint64_t rank = GwHash_Text(own, seed);
    uint32_t before = 0;

    for (guint i = 0; i < others->len; i++) {
        before += GwHash_Text(others->pdata[i], seed) > rank;
    }
    return before < GW_INTRODUCERS;
}
