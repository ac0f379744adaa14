#include "store/version.h"

#include <string.h>

#ifndef GW_MUTANT
#define GW_MUTANT 0 /* tests/mutants.sh disables one safeguard at a time */
#endif

/* Digits of the greatest era. */
#define ERA_DIGITS_MAX 10

int
GwStoreVersion_Compare(GwStoreVersion a, GwStoreVersion b)
{
#if GW_MUTANT != 121 /* breaks: numbers of different eras are not compared */
    if (a.era != b.era) {
        return a.era > b.era ? 1 : -1;
    }
#endif
    return (a.number > b.number) - (a.number < b.number);
}

bool
GwStoreVersion_IsNewer(GwStoreVersion a, GwStoreVersion than)
{
    return GwStoreVersion_Compare(a, than) > 0;
}

GwStoreVersion
GwStoreVersion_Max(GwStoreVersion a, GwStoreVersion b)
{
    return GwStoreVersion_IsNewer(b, a) ? b : a;
}

bool
GwStoreVersion_IsNone(GwStoreVersion v)
{
    return v.number == 0;
}

uint32_t
GwStoreEra_Parse(const char *text)
{
    uint64_t era = 0;

    if (text == NULL || strlen(text) > ERA_DIGITS_MAX) {
        return 0;
    }
    for (; *text != '\0'; text++) {
        if (*text < '0' || *text > '9') {
            return 0;
        }
        era = era * 10 + (uint64_t)(*text - '0');
    }
    return era <= UINT32_MAX ? (uint32_t)era : 0;
}
