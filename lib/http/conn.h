/* One TCP connection on the event loop that carries HTTP messages, of either
 * side. All calls are made on the loop's thread. */
#ifndef GW_HTTP_CONN_H
#define GW_HTTP_CONN_H

#include "http/message.h"

#include <uv.h>

typedef struct GwConn_s GwConn;

typedef enum {
    GW_CONN_ENDED = 1,  /* the other side closed in order */
    GW_CONN_FAILED = 2, /* reset, time-out, or never made */
    GW_CONN_BAD = 3,    /* bytes that are no message; see GwConn_Error */
    GW_CONN_REFUSED = 4 /* never made: nothing listens at that address */
} GwConnEnd;

/* A request, or what came of it, that was read while its connection was being
 * closed: nobody answers it. */
typedef struct {
    const GwHttpMessage *msg; /* its head may be cut short; NULL: no head */
    uint32_t closing_ms;      /* since the close began */
    uint32_t idle_ms;         /* without a byte either way before the close */
} GwConnDropped;

/* Callbacks never come from inside a call of this module. `ended` comes at
 * most once, and never after a close by the owner. After BAD it can still be
 * written to, and the owner closes it; else the connection is gone. */
typedef struct {
    void (*connected)(void *owner);
    void (*message)(void *owner, GwHttpMessage *msg); /* takes over */
    /* All messages of one read were given to `message`; may be NULL. */
    void (*read)(void *owner);
    bool (*to_head)(void *owner);
    void (*ended)(void *owner, GwConnEnd end);
    /* After GwConn_FinishAndClose; may be NULL. */
    void (*dropped)(void *host, const GwConnDropped *dropped);
} GwConnOps;

typedef struct {
    uv_loop_t *loop;
    const GwConnOps *ops;
    void *owner;
    void *host;    /* outlives owner and connection; for `dropped` */
    bool requests; /* reads requests; else answers */
    uint64_t head_max;
    uint64_t body_max;
    GwHttpBudget *budget; /* NULL: bodies are not bounded together */
    /* Unacknowledged bytes end the connection after this time: a machine
     * without power, or a path that lost track of the connection, answers
     * nothing at all. 0: the system's default, minutes. */
    uint32_t user_timeout_ms;
    /* Probes on a silent connection, every second; for long waits. */
    bool keepalive;
} GwConnParams;

/* Takes the next connection of a listener, or returns NULL. */
GwConn *GwConn_Accept(const GwConnParams *params, uv_stream_t *listener);
/* Begins to connect to ip:port; NULL when the address makes no sense. */
GwConn *GwConn_Connect(const GwConnParams *params, const char *address);
/* Queues bytes; `text` is copied where it does not leave at once. */
void GwConn_Write(GwConn *c, const GString *text);
/* A request without a body. */
void GwConn_WriteGet(GwConn *c, const char *target, const char *host);
/* One with a body of JSON. */
void GwConn_WritePost(GwConn *c, const char *target, const char *host,
                      const char *body);
/* Behind a last message that says so: closes once what was written has left
 * and then the other side has closed too or sent nothing for 0.4 s, 10 s in all
 * at most. What still comes is read and dropped. No longer the owner's. */
void GwConn_FinishAndClose(GwConn *c);
/* Closes when what was written has arrived, at once or within that time, and
 * reads no more: the other side is reset if it sends, or has sent, what nobody
 * will answer. No longer the owner's. */
void GwConn_CloseUnread(GwConn *c, uint32_t wait_ms);
/* Closes now; what is queued is dropped. */
void GwConn_Close(GwConn *c);
/* The same for the connection that `*at` names, if any; `*at` is NULL then. */
void GwConn_CloseAt(GwConn **at);

GwHttpError GwConn_Error(const GwConn *c);
bool GwConn_IsInside(const GwConn *c); /* part of a message has come */
bool GwConn_IsInHead(const GwConn *c); /* and its head is not complete */
uint64_t GwConn_BytesOut(const GwConn *c);
int64_t GwConn_LastHeard(const GwConn *c); /* us, uv_hrtime */
void GwConn_SetLimits(GwConn *c, uint64_t head_max, uint64_t body_max);
/* Stops reading. A connection that reads requests does so by itself while the
 * other side leaves much of what was written untaken. */
void GwConn_Pause(GwConn *c, bool paused);
bool GwConn_IsPaused(const GwConn *c);
/* What was written has arrived at the other side's machine. Costs one system
 * call. */
bool GwConn_HasArrived(const GwConn *c);
/* Bytes or an end wait unread: what is sent now would meet a stray answer or
 * a closed connection. Costs one system call. */
bool GwConn_HasUnread(const GwConn *c);

/* The other side has closed or reset the connection, also where that lies
 * unread, behind bytes that do. One system call, two where bytes wait. */
bool GwConn_HasEnded(const GwConn *c);

/* "ip:port" to an address; false when it is not one. */
bool GwConn_ParseAddress(const char *text, struct sockaddr_in *out);
/* A listening socket; NULL with a log line by the caller on failure. */
uv_tcp_t *GwConn_Listen(uv_loop_t *loop, const char *address,
                        uv_connection_cb on_connection, void *data);

#endif
