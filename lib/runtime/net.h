/* The network thread: peer connections and the periodic tick.
 *
 * One outgoing connection per peer address carries control messages and
 * relayed calls of this process, and receives the replies to those calls.
 * Accepted connections carry the same in the other direction. */
#ifndef GW_RUNTIME_NET_H
#define GW_RUNTIME_NET_H

#include "wire/codec.h"
#include "wire/handshake.h"

typedef struct GwNet_s GwNet;

/* Callbacks, run on the network thread with no lock held. */
typedef struct {
    void *ctx;
    void (*tick)(void *ctx); /* every GW_TICK_US */
    void (*control)(void *ctx, const GwMessage *message);
    /* A call from a peer on connection `link`. The callback may take
     * ownership of call->body by setting it to NULL. */
    void (*call)(void *ctx, uint64_t link, GwNodeId from, GwCallRequest *call);
    void (*reply)(void *ctx, GwCallReply *reply);
    void (*cancel)(void *ctx, uint64_t link, uint64_t id);
    /* A call queued by GwNet_SendCall will get no reply. sent: the whole frame
     * was written, so the peer may have run the call. */
    void (*call_lost)(void *ctx, uint64_t id, bool sent);
} GwNetHost;

/* Test hook: delays frames to peers of a region. */
typedef struct {
    uint32_t region; /* name hash; 0: other failure domains of this region */
    uint32_t one_way_us;
} GwNetDelay;

typedef struct {
    GwNodeId id;
    uint32_t region;
    uint32_t domain;
    char listen_address[GW_ADDR_MAX];
    const uint8_t *key;
    size_t key_len;
    uint32_t delay_count;
    GwNetDelay delays[GW_MAX_REGIONS];
} GwNetParams;

/* Binds and listens; starts no thread. NULL with *error set if the address
 * is invalid (GW_RESULT_INVALID) or can't be bound (GW_RESULT_IO). */
GwNet *GwNet_Create(const GwNetParams *params, const GwNetHost *host,
                    GError **error);
void GwNet_Start(GwNet *net);
/* Joins the thread; no callback runs afterwards. Frames may still be queued
 * but are never sent. */
void GwNet_Stop(GwNet *net);
void GwNet_Free(GwNet *net);

/* Queues a control frame for the peer at the address and takes ownership of
 * the frame. Best effort: dropped when the peer is unreachable or its queue
 * is full. */
void GwNet_SendControl(GwNet *net, const char *address, uint8_t *frame,
                       size_t len);
/* Queues a relayed call for the process `to`; no other process at the address
 * receives it. id must not be 0. Returns false, without calling call_lost,
 * when the queue or the connection table is full. */
bool GwNet_SendCall(GwNet *net, const char *address, GwNodeId to, uint64_t id,
                    uint8_t *frame, size_t len);
/* Queues a reply on the connection of the call; dropped if that is closed. */
void GwNet_SendReply(GwNet *net, uint64_t link, uint8_t *frame, size_t len);

typedef struct {
    uint32_t links;
    uint64_t frames_in;
    uint64_t frames_out;
    uint64_t bytes_in;
    uint64_t bytes_out;
    uint64_t dropped;
    uint64_t closed_silent;
    uint64_t refused; /* connections that failed the handshake */
} GwNetStats;

void GwNet_Stats(GwNet *net, GwNetStats *stats);

#endif
