/* The network thread: connections of the inner protocol, and the tick.
 *
 * One outgoing connection a peer address carries this node's messages and
 * relayed calls; their replies come back on it. Connections that peers open
 * to us are the mirror image. */
#ifndef GW_RUNTIME_NET_H
#define GW_RUNTIME_NET_H

#include "wire/codec.h"
#include "wire/handshake.h"

typedef struct GwNet_s GwNet;

/* Called on the network thread, without a lock. */
typedef struct {
    void *ctx;
    void (*tick)(void *ctx); /* every GW_TICK_US */
    void (*control)(void *ctx, const GwMessage *message);
    /* A peer's call; `link` names its connection. May take call->body. */
    void (*call)(void *ctx, uint64_t link, GwNodeId from, GwCallRequest *call);
    void (*reply)(void *ctx, GwCallReply *reply);
    void (*cancel)(void *ctx, uint64_t link, uint64_t id);
    /* A call handed to GwNet_Call gets no reply any more. sent: the whole
     * frame was written, so the peer may have run it. */
    void (*call_lost)(void *ctx, uint64_t id, bool sent);
} GwNetHost;

/* Test hook: frames to nodes of that region wait so long. */
typedef struct {
    uint32_t region; /* hash; 0: other failure domains of our own region */
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

/* Binds and listens; no thread yet. */
GwNet *GwNet_Create(const GwNetParams *params, const GwNetHost *host,
                    GError **error);
void GwNet_Start(GwNet *net);
/* Ends the thread; no callback runs afterwards. Sending is still allowed
 * and does nothing. */
void GwNet_Stop(GwNet *net);
void GwNet_Free(GwNet *net);

/* Queues a frame for the peer at the address; takes it over. Best effort:
 * dropped when the peer can't be reached or its queue is full. */
void GwNet_Send(GwNet *net, const char *address, uint8_t *frame, size_t len);
/* Queues a relayed call, id not 0, for the process `to` alone. False when the
 * queue is full, and then call_lost is not called. */
bool GwNet_Call(GwNet *net, const char *address, GwNodeId to, uint64_t id,
                uint8_t *frame, size_t len);
/* Answers on the connection the call came on, if it still stands. */
void GwNet_Reply(GwNet *net, uint64_t link, uint8_t *frame, size_t len);

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
