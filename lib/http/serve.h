/* A listener for small HTTP answers: each whole request is handed over, and
 * answered at once or later. One request at a time on a connection is what it
 * is made for; a client that sends several gets answers in the order in which
 * the owner gives them. */
#ifndef GW_HTTP_SERVE_H
#define GW_HTTP_SERVE_H

#include "http/conn.h"

typedef struct GwServe_s GwServe;
typedef struct GwClient_s GwClient; /* one connection */

typedef struct {
    /* Takes the message over. */
    void (*asked)(void *owner, GwClient *client, GwHttpMessage *msg);
    /* The connection is gone; may be NULL. */
    void (*gone)(void *owner, GwClient *client);
} GwServeOps;

/* Listens at ip:port; NULL when it can't. */
GwServe *GwServe_Create(uv_loop_t *loop, const char *address,
                        const GwServeOps *ops, void *owner);
/* Closes the listener and all connections, without calls to `gone`. The loop
 * has to run once more. */
void GwServe_Free(GwServe *serve);

typedef struct {
    uint16_t status;
    const char *type;   /* of the body; NULL for JSON */
    const char *fields; /* further header lines; NULL for none */
    const char *body;   /* "" for none */
    size_t body_len;    /* 0: it is text, up to its NUL */
    bool close;         /* says that the connection will end */
} GwServeAnswer;

void GwClient_Answer(GwClient *client, const GwServeAnswer *answer);
/* Ends the connection without an answer. `gone` is called. */
void GwClient_Drop(GwClient *client);
/* A place for the owner; NULL at first. */
void **GwClient_User(GwClient *client);

#endif
