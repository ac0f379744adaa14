/* HTTP client of the stand-ins, based on libcurl. */
#ifndef GS_CLIENT_H
#define GS_CLIENT_H

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#define GS_ADDRESS_MAX 64
#define GS_TICKET_MAX  96

typedef enum {
    GS_SEND_COMPLETE = 1, /* complete answer received */
    GS_SEND_NOTHING_SENT, /* no connection; no byte sent */
    GS_SEND_INTERRUPTED   /* bytes sent, no complete answer received */
} GsSendResult;

typedef struct {
    const char *method;
    const char *address;
    const char *path;    /* with the query string */
    const char *ticket;  /* NULL: none */
    const char *body;    /* NULL: none */
    const char *key;     /* NULL: none */
    int64_t deadline_ms; /* 0: header not sent */
    int64_t timeout_ms;
} GsRequest;

typedef struct {
    long status;
    uint32_t retry_after_ms;
    bool has_sent; /* bytes of the request were sent */
    bool refused;  /* refused by the backend server itself */
    char outcome[24];
    char reason[24];
    GString *body;
} GsReply;

/* Pool of connections, last in, first out: otherwise each thread would keep
 * an idle connection to every entry. */
typedef struct {
    pthread_mutex_t lock;
    GPtrArray *idle; /* of CURL easy handles */
} GsClient;

void GsClient_Init(GsClient *c);
void GsClient_Clear(GsClient *c);
GsSendResult GsClient_Send(GsClient *c, const GsRequest *request,
                           GsReply *reply);
void GsReply_Clear(GsReply *reply);

#endif
