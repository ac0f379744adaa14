/* Versions of the platform's store.
 *
 * The store numbers its transactions with one counter. When it is restored from
 * a copy, the counter goes back and gives out the same numbers again, for other
 * content. Each restore begins a new era, so a version is a pair of era and
 * number, and numbers of different eras must not be compared. */
#ifndef GW_STORE_VERSION_H
#define GW_STORE_VERSION_H

#include <stdbool.h>
#include <stdint.h>

/* Parses the era that an answer names: a positive decimal number of at most 32
 * bits. Returns 0, which stands for an unknown era, for any other text and for
 * NULL. */
uint32_t GwStoreEra_Parse(const char *text);

#endif
