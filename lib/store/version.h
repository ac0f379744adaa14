/* Versions of the platform's store.
 *
 * The store numbers its transactions with one counter. When it is restored from
 * a copy, the counter goes back and gives out the same numbers again, for other
 * content. Each restore begins a new era, so a version is a pair of era and
 * number: numbers are only compared within an era. A store that names no era
 * has era 0. */
#ifndef GW_STORE_VERSION_H
#define GW_STORE_VERSION_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    uint32_t era;
    uint64_t number; /* 0: before the first transaction */
} GwStoreVersion;

/* Returns less than, equal to or greater than 0 if `a` is older than, the same
 * as or newer than `b`. */
int GwStoreVersion_Compare(GwStoreVersion a, GwStoreVersion b);
bool GwStoreVersion_IsNewer(GwStoreVersion a, GwStoreVersion than);
GwStoreVersion GwStoreVersion_Max(GwStoreVersion a, GwStoreVersion b);
/* Whether it is the version of a copy that has nothing yet. */
bool GwStoreVersion_IsNone(GwStoreVersion v);

/* Parses the era that an answer names: a positive decimal number of at most 32
 * bits. Returns 0, which stands for an unknown era, for any other text and for
 * NULL. */
uint32_t GwStoreEra_Parse(const char *text);

#endif
