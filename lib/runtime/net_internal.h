/* Shared by net.c (thread, queues) and link.c (one connection). */
#ifndef GW_RUNTIME_NET_INTERNAL_H
#define GW_RUNTIME_NET_INTERNAL_H

#include "runtime/net.h"
#include "wire/frame.h"

#include <glib.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdatomic.h>

#define QUEUE_FRAMES_MAX     4096
#define QUEUE_BYTES_MAX      (8u << 20)
#define LINKS_MAX            4096
#define CONNECT_TIMEOUT_US   1000000
#define HANDSHAKE_TIMEOUT_US 2000000
#define PING_EVERY_US        500000
#define SILENT_US            3000000
#define READ_CHUNK           65536
#define EARLY_FRAME_MAX      256 /* before the handshake is over */

typedef struct {
    uint8_t *bytes;
    size_t len;
    size_t written;
    uint64_t call; /* id of a relayed call, or 0 */
    GwNodeId to;   /* of a relayed call */
    bool control;  /* may be dropped when the queue is full */
    int64_t queued_us;
} Frame;

typedef enum {
    LINK_IDLE, /* outgoing only: no socket */
    LINK_CONNECTING,
    LINK_HELLO, /* waiting for the other's Hello */
    LINK_PROOF, /* waiting for the other's Proof */
    LINK_READY
} LinkState;

/* One connection. `queue` and `queue_bytes` are under the peer lock; the
 * rest belongs to the network thread, except what is fixed at creation. */
typedef struct {
    uint64_t serial;
    bool accepted;
    char address[GW_ADDR_MAX]; /* outgoing only */
    GQueue queue;              /* of Frame * */
    size_t queue_bytes;
    bool flagged;  /* in net->flagged; under the peer lock */
    bool overflow; /* a reply found no room; under the peer lock */

    int fd;
    LinkState state;
    bool want_write;
    GwFrameDecoder in;
    GwHello own;
    GwHello remote;
    int64_t delay_us;
    int64_t deadline_us; /* of connect and handshake */
    int64_t ping_us;     /* of the ping that waits for an answer; or 0 */
    int64_t last_ping_us;
    bool ping_due;
    Frame *current;    /* being written */
    GQueue urgent;     /* Frame *: handshake, ping, pong */
    GHashTable *calls; /* ids written and not answered */
} Link;

struct GwNet_s {
    GwNetParams params;
    GwNetHost host;
    uint8_t *key;
    pthread_t thread;
    bool running;
    atomic_bool stop;
    int epoll_fd;
    int event_fd;
    int listen_fd;
    uint64_t next_serial;
    uint8_t chunk[READ_CHUNK]; /* of the network thread */
    pthread_mutex_t peer_lock;
    GHashTable *by_address; /* outgoing Link; under the peer lock */
    GHashTable *by_serial;  /* every Link; under the peer lock */
    GQueue flagged;         /* serials with new frames; under it too */
    atomic_uint_fast64_t frames_in;
    atomic_uint_fast64_t frames_out;
    atomic_uint_fast64_t bytes_in;
    atomic_uint_fast64_t bytes_out;
    atomic_uint_fast64_t dropped;
    atomic_uint_fast64_t closed_silent;
    atomic_uint_fast64_t refused;
};

int64_t GwNet_NowUs(void);
/* Parses ip:port with numeric ip. */
bool GwNet_ParseAddress(const char *text, struct sockaddr_storage *to,
                        socklen_t *len);
void Frame_Free(Frame *frame);

Link *Link_Create(GwNet *net, const char *address);
/* Closes the socket and reports calls that will get no answer. The link
 * itself stays. */
void Link_Close(GwNet *net, Link *link);
void Link_Free(Link *link);
void Link_Connect(GwNet *net, Link *link, int64_t now_us);
void Link_Accept(GwNet *net, Link *link, int fd, int64_t now_us);
/* These return false when the link has to be closed. */
bool Link_OnWritable(GwNet *net, Link *link, int64_t now_us);
bool Link_OnReadable(GwNet *net, Link *link, int64_t now_us);
bool Link_Flush(GwNet *net, Link *link, int64_t now_us);
bool Link_IsOverdue(const Link *link, int64_t now_us);
/* Its ping has no answer: what lies between lost track of it. */
bool Link_IsSilent(const Link *link, int64_t now_us);

#endif
