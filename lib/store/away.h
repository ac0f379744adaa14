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

/* How long the store may hold a poll that has nothing to say. Each call is
 * priced; but a store that takes a poll and never answers, while its machine
 * lives, is noticed only when this and GW_POLL_ANSWER_MS are over.
 * `was_away`: it has not answered since it failed. It may go on taking polls
 * that it never answers, so it is asked for less then. */
uint32_t GwStorePoll_WaitMs(bool was_away);
/* An answer that is later than the wait by this much won't come. */
#define GW_POLL_ANSWER_MS 1500
/* Before a failed call is made again; doubled with each that fails. */
#define GW_POLL_RETRY_MIN_MS 150
#define GW_POLL_RETRY_MAX_MS 1000

#endif
