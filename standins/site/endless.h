/* Bytes that a server sends without end, until the entry closes the
 * connection. */
#ifndef STANDINS_SITE_ENDLESS_H
#define STANDINS_SITE_ENDLESS_H

#include "http/conn.h"

#include <stdbool.h>
#include <stdint.h>

typedef enum {
    SITE_ENDLESS_NONE = 0,
    SITE_ENDLESS_CHUNKED, /* a chunked body */
    SITE_ENDLESS_CLOSE,   /* a body delimited by the end of the connection */
    SITE_ENDLESS_HEAD,    /* header fields */
    SITE_ENDLESS_BEHIND,  /* bytes that are not HTTP, behind an answer */
    SITE_ENDLESS_SECOND,  /* a second answer, behind the first */
    SITE_ENDLESS_ANY      /* one of the above, drawn by request */
} SiteEndlessKind;

typedef struct {
    SiteEndlessKind kind;
    bool is_slow;      /* one byte each 0.2 s */
    uint32_t permille; /* of the requests of a server */
    uint32_t servers;  /* number of servers with the fault, from the first */
} SiteEndlessFault;

/* Reads "KIND,SPEED,PERMILLE,SERVERS", for example "chunked,fast,600,3", or
 * "none". The kinds are chunked, close, head, behind, second and any; the
 * speeds fast and slow. Returns false and leaves `out` unchanged if the text is
 * invalid. */
bool SiteEndlessFault_Parse(const char *text, SiteEndlessFault *out);

/* Returns whether the bytes come behind a complete answer. */
bool SiteEndlessKind_IsBehind(SiteEndlessKind kind);

typedef struct SiteEndless_s SiteEndless;

/* Starts to send. `fields` are the header lines of the answer. The kind is not
 * ANY; if it is one behind an answer, that answer has been sent. Free before,
 * or when, the connection is released. */
SiteEndless *SiteEndless_Start(uv_loop_t *loop, GwConn *conn,
                               const SiteEndlessFault *fault,
                               const char *fields);
/* Stops. Does nothing for NULL. */
void SiteEndless_Free(SiteEndless *e);

#endif
