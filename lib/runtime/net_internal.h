/* Shared by net.c (thread, queues) and link.c (one peer connection). */
#ifndef GW_RUNTIME_NET_INTERNAL_H
#define GW_RUNTIME_NET_INTERNAL_H

#include "runtime/net.h"
#include "wire/frame.h"

#include <glib.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdatomic.h>

#define QUEUE_FRAMES_MAX      4096
#define QUEUE_BYTES_MAX       (8u << 20)
#define LINKS_MAX             4096
#define CONNECT_TIMEOUT_US    1000000
#define HANDSHAKE_TIMEOUT_US  2000000
#define PING_INTERVAL_US      500000
#define PONG_TIMEOUT_US       3000000
#define RECEIVE_CHUNK_BYTES   65536
#define EARLY_FRAME_MAX_BYTES 256 /* before the handshake is complete */

typedef struct {
    uint8_t *bytes;
    size_t len;
    size_t written;
    uint64_t call; /* id of a relayed call, or 0 */
    GwNodeId to;   /* addressee of a relayed call */
    bool control;  /* may be dropped when the queue is full */
    int64_t queued_us;
} Frame;

typedef enum {
    LINK_IDLE, /* outgoing only: no socket */
    LINK_CONNECTING,
    LINK_HELLO, /* waiting for the peer's Hello */
    LINK_PROOF, /* waiting for the peer's Proof */
    LINK_READY
} LinkState;

/* One peer connection. peer_lock guards `queue` and the fields marked so; the
 * network thread owns the rest, except fields that are fixed at creation. */
typedef struct {
    uint64_t serial;
    bool accepted;
    char address[GW_ADDR_MAX]; /* outgoing only */
    GQueue queue;              /* of Frame *; under peer_lock */
    size_t queue_bytes;        /* under peer_lock */
    bool is_pending;           /* in net->pending; under peer_lock */
    bool has_overflow;         /* a reply did not fit; under peer_lock */

    int fd;
    LinkState state;
    bool wants_write;
    GwFrameDecoder in;
    GwHello local_hello;
    GwHello remote_hello;
    int64_t delay_us;
    int64_t deadline_us;  /* of connect and handshake */
    int64_t ping_sent_us; /* when the unanswered ping was queued, or 0 */
    int64_t last_ping_us;
    bool ping_due;     /* a frame was sent since the last ping */
    Frame *writing;    /* partly written */
    GQueue urgent;     /* Frame *: handshake, ping, pong */
    GHashTable *calls; /* ids of sent calls without a reply */
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
    uint8_t receive_buffer[RECEIVE_CHUNK_BYTES]; /* network thread only */
    pthread_mutex_t peer_lock;
    GHashTable *by_address; /* outgoing Link; under peer_lock */
    GHashTable *by_serial;  /* every Link; under peer_lock */
    GQueue pending;         /* serials with new frames; under peer_lock */
    atomic_uint_fast64_t frames_in;
    atomic_uint_fast64_t frames_out;
    atomic_uint_fast64_t bytes_in;
    atomic_uint_fast64_t bytes_out;
    atomic_uint_fast64_t dropped;
    atomic_uint_fast64_t closed_silent;
    atomic_uint_fast64_t refused;
};

/* Monotonic time in microseconds that includes suspend. */
int64_t GwNet_NowUs(void);
/* Parses a numeric ip:port or [ip]:port; false if it is invalid. */
bool GwNet_ParseAddress(const char *text, struct sockaddr_storage *to,
                        socklen_t *len);
void Frame_Free(Frame *frame);

/* NULL address: an accepted connection. Requires peer_lock. */
Link *Link_Create(GwNet *net, const char *address);
/* Closes the socket, drops queued frames and reports the calls that will get
 * no reply. The Link itself stays. */
void Link_Close(GwNet *net, Link *link);
void Link_Free(Link *link);
void Link_Connect(GwNet *net, Link *link, int64_t now_us);
void Link_Accept(GwNet *net, Link *link, int fd, int64_t now_us);
/* These return false when the link must be closed. */
bool Link_OnWritable(GwNet *net, Link *link, int64_t now_us);
bool Link_OnReadable(GwNet *net, Link *link, int64_t now_us);
bool Link_Flush(GwNet *net, Link *link, int64_t now_us);
bool Link_IsOverdue(const Link *link, int64_t now_us);
/* True when a ping has had no answer for too long, as after a middlebox
 * dropped the connection's state. */
bool Link_IsSilent(const Link *link, int64_t now_us);

#endif
