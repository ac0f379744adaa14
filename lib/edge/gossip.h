/* Gossip of state that few entries observe and all entries need: suspects
 * (requests that crash servers) and rate limits that servers set.
 *
 * Changes are sent at once to GW_GOSSIP_FANOUT random peers, which forward
 * them: the changes reach hundreds of entries in a few steps, although each
 * pair of entries exchanges reports only every few seconds. Each report
 * carries a checksum of the sender's whole state (anti-entropy): if the
 * checksums of two entries differ for long, one entry missed a change and is
 * sent the whole state, in pages. With no state to exchange, gossip adds no
 * bytes to reports. */
#ifndef GW_EDGE_GOSSIP_H
#define GW_EDGE_GOSSIP_H

#include <stdbool.h>
#include <stdint.h>

/* Peers to which a change is sent at once. */
#define GW_GOSSIP_FANOUT 4

/* State of the exchange with a peer. All zero: nothing was sent. */
typedef struct {
    uint64_t checksum; /* last checksum received from the peer */
    int64_t sent_us;   /* when changes were last sent to the peer; 0: never */
    bool news;         /* the next report carries changes */
    bool sends_page;   /* the next report carries a page of the whole state */
    int64_t next_page_us;  /* no page before this time */
    uint32_t page_wait_ms; /* interval between pages */
} GwGossipPeer;

typedef enum {
    GW_GOSSIP_NOTHING = 0,
    GW_GOSSIP_CHANGES, /* all changes since `since_us` */
    GW_GOSSIP_PAGE     /* a page of the whole state */
} GwGossipAction;

/* Chooses the content of the next report to the peer, and marks that content
 * as sent. Sets `since_us` for GW_GOSSIP_CHANGES. */
GwGossipAction GwGossipPeer_Next(GwGossipPeer *peer, int64_t now_us,
                                 int64_t *since_us);
/* Handles the `checksum` in a report of the peer. `own_checksum` is the
 * checksum of this entry's state, `changed_us` the time of the last change.
 * Returns whether the peer lacks state and needs a report at once. */
bool GwGossipPeer_OnChecksum(GwGossipPeer *peer, int64_t now_us,
                             uint64_t checksum, uint64_t own_checksum,
                             int64_t changed_us);

#endif
