/* When one entry tells another of what few entries see and all have to know:
 * requests that crash servers, limits that servers name.
 *
 * News goes at once to GW_RUMOR_FAN peers at random, who pass it on: it reaches
 * hundreds of entries in a few steps, though each of them reports to each other
 * one only every few seconds. Each report has a sum of all that its sender
 * knows; where two differ for long, one has missed something and is told
 * everything, in parts. While there is nothing to know none of this takes a
 * byte. */
#ifndef GW_EDGE_RUMOR_H
#define GW_EDGE_RUMOR_H

#include <stdbool.h>
#include <stdint.h>

/* Peers that are told news at once. */
#define GW_RUMOR_FAN 4

/* A peer. All zero: it was told nothing. */
typedef struct {
    uint64_t sum;     /* as it told */
    int64_t told_us;  /* news was told to it then; 0: never */
    bool news;        /* the next report tells news */
    bool page;        /* the next report tells a part of everything */
    int64_t page_us;  /* not again before then, */
    uint32_t wait_ms; /* and the next time so much later */
} GwRumorPeer;

typedef enum {
    GW_RUMOR_NOTHING = 0,
    GW_RUMOR_NEWS, /* what has changed since `since_us` */
    GW_RUMOR_PAGE  /* a part of everything */
} GwRumorTells;

/* What the next report tells the peer; it is taken to be sent. */
GwRumorTells GwRumorPeer_Next(GwRumorPeer *peer, int64_t now_us,
                              int64_t *since_us);
/* Its report has this sum; ours has changed last at `changed_us`. Returns
 * whether it misses something, and is to be told at once. */
bool GwRumorPeer_Heard(GwRumorPeer *peer, int64_t now_us, uint64_t sum,
                       uint64_t own_sum, int64_t changed_us);

#endif
