/* Distinguishes an outage of the store from a lost connection of one entry,
 * and sets the timing of polls. */
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

/* Returns for how long the store may hold a poll without changes. A long wait
 * saves calls, which are billed. But a store process that accepts a poll and
 * never answers, on a running machine, is detected only after this wait plus
 * GW_POLL_MARGIN_MS. `is_unavailable`: the store has not answered since the
 * last failure and may keep accepting polls without answering, so the wait is
 * shorter. */
uint32_t GwStorePoll_WaitMs(bool is_unavailable);
/* A poll fails if the answer is later than the wait by this margin. */
#define GW_POLL_MARGIN_MS 1500
/* Back-off before a failed call is repeated; doubles with each failure. */
#define GW_POLL_RETRY_MIN_MS 150
#define GW_POLL_RETRY_MAX_MS 1000

#endif
