/* State shared by the two sources of rows: the store and peers. */
#ifndef GW_EDGE_FEED_INTERNAL_H
#define GW_EDGE_FEED_INTERNAL_H

#include "edge/edge_internal.h"
#include "store/follower.h"

/* A connection to the store, with at most one call in progress. */
typedef struct {
    GwFeed *feed;
    GwConn *conn;        /* NULL: none */
    GwStoreCall call;    /* id 0: none in progress */
    int64_t received_us; /* GwConn_LastReceivedUs as last looked at */
} GwStoreLink;

struct GwFeed_s {
    GwEdge *edge;
    char *table;
    GwFollower *follower;
    GwStoreLink links[GW_FOLLOWER_CALLS_MAX];
    uint32_t era;                  /* as last logged */
    uint32_t pending_rows;         /* as last logged */
    bool is_away;                  /* as last logged */
    int64_t outage_grace_until_us; /* grace period after an outage */
    /* Fetch of missing rows from a peer, or once from the store; at most one
     * at a time. */
    bool peer_full;     /* fetches the whole table */
    bool peer_is_store; /* fetches from the store */
    GwConn *peer;
    int64_t peer_sent_us;
    GwPeerProof peer_proof;  /* how new its rows are at least */
    int64_t store_failed_us; /* last failed fetch from the store; 0: never */
    char peer_address[64];
};

/* feed.c */
GwRowCache *GwFeed_Cache(const GwFeed *feed);

/* store_era.c */
/* To be called after each change of the copy: logs that a new era began, and
 * that the rows that it lacked are back or gone. */
void GwFeed_LogEra(GwFeed *feed);

/* feed_peers.c */
/* Aborts a read from a peer that takes too long. */
void GwFeed_SweepPeer(GwFeed *feed);

#endif
