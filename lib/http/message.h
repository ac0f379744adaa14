/* HTTP/1.1 messages: a head and a whole body, read from a stream of bytes by
 * http-parser and written out again.
 *
 * The parser is strict where two readers of one stream could disagree about
 * where a message ends: two lengths, a length beside chunks, codings other
 * than `chunked`, control characters. Such input ends the connection, since
 * nothing after it can be trusted. */
#ifndef GW_HTTP_MESSAGE_H
#define GW_HTTP_MESSAGE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct {
    uint32_t name; /* offsets into the head's text */
    uint32_t value;
} GwHttpField;

/* Bytes of bodies that may be held at once by all messages that share it. A
 * message that finds no room is refused, so that a few large ones can't take
 * the memory of the process. */
typedef struct {
    uint64_t held;
    uint64_t max;
} GwHttpBudget;

typedef struct {
    char method[16];
    uint16_t status;   /* of an answer; 0 in a request */
    bool keep_alive;   /* the sender will go on with this connection */
    bool framed;       /* has a length or chunks; else ends with the stream */
    bool has_body;     /* the head promised a body, also an empty one */
    uint32_t head_len; /* bytes of the head as read */
    GString *target;   /* of a request: path and query as sent */
    GString *text;     /* names and values, each NUL-terminated */
    GArray *fields;    /* GwHttpField */
    GString *body;
    GwHttpBudget *budget; /* or NULL */
    uint64_t held;        /* of it; given back when the message is freed */
} GwHttpMessage;

GwHttpMessage *GwHttpMessage_Create(void);
void GwHttpMessage_Free(GwHttpMessage *msg);
/* Appends a field; name and value are copied. */
void GwHttpMessage_Add(GwHttpMessage *msg, const char *name,
                       const char *value);
/* The first field of that name in any case, or NULL. */
const char *GwHttpMessage_Get(const GwHttpMessage *msg, const char *name);

/* Fields that concern one connection only and are never passed on. */
bool GwHttp_IsHopByHop(const GwHttpMessage *msg, const char *name);

/* Bytes of a head: start line, the fields that may be passed on, except those
 * named in `drop` (NULL-terminated), then `extra` (whole lines). */
typedef struct {
    const char *const *drop;
    const char *extra;
    bool close;   /* this connection ends after the message */
    bool to_head; /* the answer to a HEAD: length without a body */
} GwHttpWrite;

void GwHttpMessage_WriteRequest(const GwHttpMessage *msg,
                                const GwHttpWrite *how, GString *out);
void GwHttpMessage_WriteAnswer(const GwHttpMessage *msg,
                               const GwHttpWrite *how, GString *out);

typedef enum {
    GW_HTTP_OK = 0,
    GW_HTTP_BAD = 1,       /* not this protocol, or ambiguous */
    GW_HTTP_LONG_HEAD = 2, /* above head_max */
    GW_HTTP_LONG_BODY = 3, /* above body_max */
    GW_HTTP_NO_ROOM = 4    /* the budget has no room for its body */
} GwHttpError;

typedef struct GwHttpParser_s GwHttpParser;

typedef struct {
    bool requests; /* else answers */
    uint64_t head_max;
    uint64_t body_max;
    GwHttpBudget *budget; /* NULL: not bounded together */
    /* Takes over the message. */
    void (*message)(void *owner, GwHttpMessage *msg);
    /* Whether the next answer belongs to a HEAD; may be NULL. */
    bool (*to_head)(void *owner);
    void *owner;
} GwHttpParserParams;

GwHttpParser *GwHttpParser_Create(const GwHttpParserParams *params);
void GwHttpParser_Free(GwHttpParser *p);
void GwHttpParser_SetLimits(GwHttpParser *p, uint64_t head_max,
                            uint64_t body_max);
/* Reads `len` bytes; calls `message` for each that is complete. After an
 * error every later call gives the same error. */
GwHttpError GwHttpParser_Feed(GwHttpParser *p, const char *data, size_t len);
/* The stream ended in order: completes an answer without a length. */
GwHttpError GwHttpParser_End(GwHttpParser *p);
GwHttpError GwHttpParser_Error(const GwHttpParser *p);
/* The message of which a part has been read, until the next call; or NULL. */
const GwHttpMessage *GwHttpParser_Begun(const GwHttpParser *p);
/* Part of a message has been read. */
bool GwHttpParser_IsInside(const GwHttpParser *p);
bool GwHttpParser_IsInHead(const GwHttpParser *p);

#endif
