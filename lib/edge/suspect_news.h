/* What one entry tells another of requests that crash servers.
 *
 * News goes at once to GW_SUSPECT_FAN peers at random, who pass it on: it
 * reaches hundreds of entries in a few steps, though each of them reports to
 * each other one only every few seconds. Each
 * report has a sum of all that its sender knows; where two differ for long, one
 * has missed something and is told everything, in parts. On a day without
 * crashes none of this takes a byte. */
#ifndef GW_EDGE_SUSPECT_NEWS_H
#define GW_EDGE_SUSPECT_NEWS_H

#include "router/quarantine.h"

/* Peers that are told news at once. */
#define GW_SUSPECT_FAN 4
/* Records of one report. */
#define GW_SUSPECTS_MAX 64

/* A peer. All zero: it was told nothing. */
typedef struct {
    uint64_t sum;     /* as it told */
    int64_t told_us;  /* news was told to it then; 0: never */
    bool news;        /* the next report tells news */
    bool page;        /* the next report tells a part of everything */
    int64_t page_us;  /* not again before then, */
    uint32_t wait_ms; /* and the next time so much later */
} GwSuspectPeer;

/* Puts what the next report tells the peer into `out`. `from` is where the next
 * part of everything begins, for all peers. Returns how many. */
uint32_t GwSuspectPeer_Tell(GwSuspectPeer *peer, GwQuarantine *q,
                            int64_t now_us, uint32_t *from,
                            GwSuspect out[GW_SUSPECTS_MAX]);
/* Takes a report of the peer, which has this sum. Returns whether it misses
 * something, and is to be told at once. */
bool GwSuspectPeer_Take(GwSuspectPeer *peer, GwQuarantine *q, int64_t now_us,
                        uint64_t sum, const GwSuspect *suspects,
                        uint32_t count);

#endif
