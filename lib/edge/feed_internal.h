/* What the two ways by which rows come share: the store, and peers. */
#ifndef GW_EDGE_FEED_INTERNAL_H
#define GW_EDGE_FEED_INTERNAL_H

#include "edge/edge_internal.h"

typedef enum {
    PHASE_READ = 1, /* a full reading, page by page */
    PHASE_FEED = 2  /* changes after `version` */
} Phase;

struct GwFeed_s {
    GwEdge *edge;
    char *table;
    GwRowCache *cache;
    GwConn *conn;
    GwRowSet *pages;   /* of the full reading under way */
    uint64_t version;  /* the feed goes on from here */
    int64_t ask_at_us; /* the next poll; 0: none is due */
    int64_t fresh_us;  /* last news, from the store or a peer */
    int64_t asked_us;
    int64_t retry_at_us;
    int64_t answered_us;   /* last good answer */
    int64_t away_until_us; /* the store was away; lapsed rows may come back */
    uint32_t wait_ms;
    uint32_t retry_ms;
    Phase phase;
    bool reads; /* this entry is one of those that read the store */
    bool known; /* the table has been read, here or by a peer */
    /* One read at a time from a peer, or once from the store. */
    bool peer_full;     /* it is of the whole table */
    bool peer_is_store; /* and it is the store that is asked */
    GwConn *peer;
    int64_t peer_asked_us;
    int64_t store_failed_us; /* it did not answer such a read; 0: never */
    char peer_address[64];
};

/* feed_peers.c */
/* Gives a read from a peer up that takes too long. */
void GwFeed_SweepPeer(GwFeed *feed, int64_t now_us);

#endif
