/* Whether the store was away, or only this entry was cut off from it. */
#ifndef GW_STORE_AWAY_H
#define GW_STORE_AWAY_H

#include <stdbool.h>
#include <stdint.h>

/* What an entry knows when its own polls, or a peer's, have failed and are
 * answered again. */
typedef struct {
    bool failed;     /* here, or as the peer says of itself */
    bool reads_well; /* this entry polls, and its polls never failed */
    uint32_t peers_reading_well;
} GwStoreSight;

/* Rows of live servers lapse while the store is away, so removals that come
 * right after may be taken back. When another entry read it all the while,
 * nothing lapsed: removals are meant, and holding them back for 2 s sends
 * requests to servers that have left. */
bool GwStoreSight_WasAway(const GwStoreSight *sight);

#endif
