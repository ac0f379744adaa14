/* A minimal HTTP server: each complete request is passed to the owner, which
 * responds immediately or later. Pipelining is not supported: responses are
 * sent in the order in which the owner writes them. */
#ifndef GW_HTTP_LISTENER_H
#define GW_HTTP_LISTENER_H

#include "http/conn.h"

typedef struct GwHttpListener_s GwHttpListener;
typedef struct GwClient_s GwClient; /* one connection of a client */

typedef struct {
    /* Called for each request; takes ownership of the message. */
    void (*asked)(void *owner, GwClient *client, GwHttpMessage *msg);
    /* The connection is closed, and `client` is freed after the call; may be
     * NULL. */
    void (*gone)(void *owner, GwClient *client);
} GwHttpListenerOps;

/* Listens at ip:port. Returns NULL if the address is invalid or can't be
 * bound. */
GwHttpListener *GwHttpListener_Create(uv_loop_t *loop, const char *address,
                                      const GwHttpListenerOps *ops,
                                      void *owner);
/* Bounds the connections in number and idle time; for owners that respond at
 * once. Beyond `clients_max` the one that is idle longest is closed. */
void GwHttpListener_SetLimits(GwHttpListener *listener, uint32_t clients_max,
                              uint32_t idle_ms);
/* Closes connections on which nothing was accepted or answered for the idle
 * time. */
void GwHttpListener_CloseIdle(GwHttpListener *listener);
/* Closes the listener and all connections without calling `gone`. The memory
 * is released when the loop runs next. */
void GwHttpListener_Free(GwHttpListener *listener);

typedef struct {
    uint16_t status;
    const char *type;   /* content type; NULL for JSON */
    const char *fields; /* more header lines with CRLF; NULL for none */
    const char *body;   /* "" for none */
    size_t body_len;    /* 0: length of the NUL-terminated `body` */
    bool close;         /* sends `Connection: close` */
} GwHttpResponse;

void GwClient_Respond(GwClient *client, const GwHttpResponse *response);
/* Closes the connection without a response and calls `gone`. */
void GwClient_Drop(GwClient *client);
/* A pointer for use by the owner, initially NULL. */
void **GwClient_UserData(GwClient *client);

#endif
