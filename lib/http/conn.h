/* A TCP connection on the event loop that carries HTTP messages, for the
 * client or the server side. Not thread-safe: for the loop's thread only. */
#ifndef GW_HTTP_CONN_H
#define GW_HTTP_CONN_H

#include "http/message.h"

#include <uv.h>

typedef struct GwConn_s GwConn;

typedef enum {
    GW_CONN_ENDED = 1,     /* orderly close by the peer */
    GW_CONN_FAILED = 2,    /* reset, or failed to connect */
    GW_CONN_MALFORMED = 3, /* malformed message; see GwConn_Error */
    GW_CONN_REFUSED = 4,   /* connection refused: no listener at the address */
    GW_CONN_TIMED_OUT = 5  /* the peer's kernel acknowledged nothing in time */
} GwConnEnd;

/* A request, possibly incomplete, that arrived while its connection was
 * closing and gets no response. */
typedef struct {
    const GwHttpMessage *msg; /* the head may be incomplete; NULL: no head */
    uint32_t closing_ms;      /* time since the start of the close */
    uint32_t idle_ms;         /* time without traffic before the close */
} GwConnDropped;

/* A connection that was closing and is given up before its peer acknowledged
 * all bytes. */
typedef struct {
    uint32_t closing_ms; /* time since the start of the close */
    size_t queued_bytes;
    size_t unacked_bytes; /* includes the queued bytes */
    uint64_t acked_bytes; /* of the whole connection */
} GwConnCut;

/* Callbacks are never made from within a call of this module. `ended`
 * is called at most once, and never after the owner closed the
 * connection. After GW_CONN_MALFORMED the owner can still write and must
 * close the connection; after all other ends the connection is released. */
typedef struct {
    void (*connected)(void *owner);
    void (*message)(void *owner, GwHttpMessage *msg); /* takes ownership */
    /* Called after all messages of one read were passed to `message`; may be
     * NULL. */
    void (*read)(void *owner);
    /* Called when queued bytes were passed to the kernel; may be NULL. */
    void (*drained)(void *owner);
    /* Returns whether the next response is to a HEAD request; may be NULL. */
    bool (*is_head_response)(void *owner);
    void (*ended)(void *owner, GwConnEnd end);
    /* Called for requests that arrive after GwConn_FinishAndClose; may be
     * NULL. */
    void (*dropped)(void *host, const GwConnDropped *dropped);
    /* Called for a connection closed by GwConn_FinishAndClose or
     * GwConn_CloseUnread whose peer did not get all bytes; may be NULL. */
    void (*cut)(void *host, const GwConnCut *cut);
} GwConnOps;

typedef struct {
    uv_loop_t *loop;
    const GwConnOps *ops;
    void *owner;
    void *host; /* argument of `dropped` and `cut`; outlives the connection */
    bool requests; /* reads requests; else responses */
    uint64_t head_max;
    uint64_t body_max;
    /* Counts received messages and queued bytes; NULL: no shared limit. A
     * response that is aborted to make room ends the connection with
     * GW_CONN_MALFORMED and GW_HTTP_OVER_BUDGET. */
    GwHttpBudget *budget;
    /* The connection fails when sent bytes stay unacknowledged for this time
     * (TCP_USER_TIMEOUT): a machine without power, or a network device that
     * lost its connection state, sends no reset. 0: the system's default,
     * minutes. */
    uint32_t user_timeout_ms;
    /* Unsent bytes that the kernel takes at most (TCP_NOTSENT_LOWAT); the rest
     * stays queued here. 0: the system's default, up to megabytes. */
    uint32_t unsent_max_bytes;
    /* Time, which may change, at which connections that are closing are given
     * up; NULL: none. */
    const int64_t *close_by_us;
    /* Sends TCP keep-alive probes every second, for long waits. */
    bool keepalive;
    /* IP address that an outgoing connection comes from; NULL: the system
     * chooses. */
    const char *source;
} GwConnParams;

/* Accepts the next connection of a listener; NULL on failure. */
GwConn *GwConn_Accept(const GwConnParams *params, uv_stream_t *listener);
/* Starts connecting to ip:port. Returns NULL if the address is invalid or the
 * attempt fails at once. When such a connection is closed, or the process
 * ends, bytes that the peer has not acknowledged are discarded and the
 * connection is reset: the kernel would deliver an abandoned request once the
 * peer is reachable again. With all bytes acknowledged a close is orderly. */
GwConn *GwConn_Connect(const GwConnParams *params, const char *address);
/* Sends bytes. Bytes that the kernel does not take at once are copied and
 * queued. */
void GwConn_Write(GwConn *c, const GString *text);
/* As GwConn_Write, but frees `text` once it is sent, so that nothing is
 * copied. */
void GwConn_WriteOwned(GwConn *c, GString *text);
/* Bytes that wait for the peer to read. */
size_t GwConn_QueuedBytes(const GwConn *c);
/* Sends a GET request. */
void GwConn_WriteGet(GwConn *c, const char *target, const char *host);
/* Sends a POST request with a JSON body. */
void GwConn_WritePost(GwConn *c, const char *target, const char *host,
                      const char *body);
/* Graceful close after a last message with `Connection: close`: sends all
 * queued bytes, then waits until the peer closes or sends nothing for 0.4 s,
 * for at most 10 s. Given up if the peer makes no progress for 10 s. Received
 * bytes are read and dropped. The owner must not use `c` afterwards. */
void GwConn_FinishAndClose(GwConn *c);
/* Closes as soon as all sent bytes are acknowledged, or the peer makes no
 * progress for `stall_ms`, without reading further: a peer that has sent, or sends, an unread request
 * receives a reset. The owner must not use `c` afterwards. */
void GwConn_CloseUnread(GwConn *c, uint32_t stall_ms);
/* Closes at once and drops queued bytes. The owner must not use `c`
 * afterwards. */
void GwConn_Close(GwConn *c);
/* Closes the connection `*at`, if not NULL, and sets `*at` to NULL. */
void GwConn_CloseAndClear(GwConn **at);

GwHttpError GwConn_Error(const GwConn *c);
/* Whether a received message is incomplete. */
bool GwConn_IsInMessage(const GwConn *c);
/* Whether the head of a received message is incomplete. */
bool GwConn_IsInHead(const GwConn *c);
uint64_t GwConn_BytesOut(const GwConn *c);
uint64_t GwConn_BytesIn(const GwConn *c);
/* Number of reads that returned bytes. */
uint64_t GwConn_ReadCount(const GwConn *c);
/* Time of the last received byte, or of the start of the connection, in us of
 * uv_hrtime. */
int64_t GwConn_LastReceivedUs(const GwConn *c);
void GwConn_SetLimits(GwConn *c, uint64_t head_max, uint64_t body_max);
/* Changes user_timeout_ms. It also counts time in which the peer acknowledges
 * but does not read. */
void GwConn_SetUserTimeout(GwConn *c, uint32_t ms);
/* Stops or resumes reading. A connection that reads requests also stops by
 * itself while its write queue is long. */
void GwConn_Pause(GwConn *c, bool paused);
bool GwConn_IsPaused(const GwConn *c);
/* Whether the peer's kernel has acknowledged all sent bytes. Makes one system
 * call. */
bool GwConn_IsAllAcked(const GwConn *c);
/* Bytes that were sent and are not acknowledged by the peer's kernel. Makes
 * one system call. */
size_t GwConn_UnackedBytes(const GwConn *c);
/* Whether unread bytes or an end of the stream are waiting: a request sent now
 * would receive a stray response or a reset. Makes one system call. */
bool GwConn_HasUnread(const GwConn *c);

/* Whether the peer has closed or reset the connection, even if the end of the
 * stream is unread behind other bytes. Makes one system call, or two if unread
 * bytes are waiting. */
bool GwConn_HasEnded(const GwConn *c);

/* Parses "ip:port" (IPv4). Returns false if the text is invalid. */
bool GwConn_ParseAddress(const char *text, struct sockaddr_in *out);
/* Creates a listening socket. Returns NULL on failure, which the calling
 * function must log. */
uv_tcp_t *GwConn_Listen(uv_loop_t *loop, const char *address,
                        uv_connection_cb on_connection, void *data);

#endif
