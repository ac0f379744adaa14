/* Distinguishes an outage of the store from a lost connection of one entry. */
#ifndef GW_STORE_OUTAGE_H
#define GW_STORE_OUTAGE_H

#include <stdbool.h>
#include <stdint.h>

/* Results of polls, taken when polls of this entry or of a peer succeed again
 * after failures. */
typedef struct {
    bool failed;        /* polls of this entry, or of a peer by its report */
    bool polls_succeed; /* this entry polls, without any failure */
    uint32_t healthy_peers; /* peers that report the same as polls_succeed */
} GwStoreHealth;

/* Returns whether the store was unavailable to all entries. Rows of live
 * servers expire during an outage, so removals right after it may be
 * temporary and are delayed. If any entry polled without failure, no row
 * expired: removals are final, and delaying them for 2 s would send requests
 * to servers that have stopped. */
bool GwStoreHealth_HadOutage(const GwStoreHealth *health);

#endif
