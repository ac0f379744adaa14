/* HTTP/1.1 messages with their whole body: a parser for a stream of bytes,
 * based on http-parser, and functions that write messages.
 *
 * The parser rejects input whose message boundaries two implementations could
 * read differently (request smuggling): two lengths, a length together with
 * chunks, codings other than `chunked`, control characters. Such input ends
 * the connection, because the bytes after it can't be trusted. */
#ifndef GW_HTTP_MESSAGE_H
#define GW_HTTP_MESSAGE_H

#include "http/budget.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct {
    uint32_t name; /* offsets into GwHttpMessage.text */
    uint32_t value;
} GwHttpField;

typedef struct {
    char method[16];
    uint16_t status;   /* of a response; 0 in a request */
    bool keep_alive;   /* the sender keeps the connection open */
    bool framed;       /* has a length or chunks; else ends with the stream */
    bool has_body;     /* the head announces a body, possibly empty */
    uint32_t head_len; /* size of the head in bytes, as received */
    GString *target;   /* of a request: path and query as received */
    GString *text;     /* names and values, each NUL-terminated */
    GArray *fields;    /* GwHttpField */
    GString *body;
    GwHttpHold hold; /* released with the message */
} GwHttpMessage;

GwHttpMessage *GwHttpMessage_Create(void);
void GwHttpMessage_Free(GwHttpMessage *msg);
/* Appends a field; name and value are copied. */
void GwHttpMessage_Add(GwHttpMessage *msg, const char *name,
                       const char *value);
/* Returns the value of the first field of that name (in any case), or NULL. */
const char *GwHttpMessage_Get(const GwHttpMessage *msg, const char *name);

/* Returns the value of the only field of that name (in any case); NULL if there
 * is none or more than one. */
const char *GwHttpMessage_GetOnly(const GwHttpMessage *msg, const char *name);

/* Takes the body out of the message and releases its hold. Owned by the
 * calling function. */
GString *GwHttpMessage_TakeBody(GwHttpMessage *msg);

/* Returns whether the field applies to one connection and is never
 * forwarded. */
bool GwHttp_IsHopByHop(const GwHttpMessage *msg, const char *name);

/* Options for writing a message: the start line is followed by the end-to-end
 * fields except those in `drop` (NULL-terminated), then by `extra` (whole
 * lines). */
typedef struct {
    const char *const *drop;
    const char *extra;
    bool close;            /* the connection closes after the message */
    bool is_head_response; /* response to a HEAD: length, no body */
    bool omits_body;       /* the body is written separately */
} GwHttpWriteOptions;

void GwHttpMessage_WriteRequest(const GwHttpMessage *msg,
                                const GwHttpWriteOptions *options,
                                GString *out);
void GwHttpMessage_WriteResponse(const GwHttpMessage *msg,
                                 const GwHttpWriteOptions *options,
                                 GString *out);

typedef enum {
    GW_HTTP_OK = 0,
    GW_HTTP_MALFORMED = 1,  /* not HTTP/1.1, or ambiguous */
    GW_HTTP_LONG_HEAD = 2,  /* above head_max */
    GW_HTTP_LONG_BODY = 3,  /* above body_max */
    GW_HTTP_OVER_BUDGET = 4 /* no room in the budget */
} GwHttpError;

typedef struct GwHttpParser_s GwHttpParser;

typedef struct {
    bool requests; /* parses requests; else responses */
    uint64_t head_max;
    uint64_t body_max;
    GwHttpBudget *budget; /* NULL: no shared limit */
    /* Called for each complete message; takes ownership. */
    void (*message)(void *owner, GwHttpMessage *msg);
    /* Returns whether the next response is to a HEAD request; may be NULL. */
    bool (*is_head_response)(void *owner);
    /* The incomplete response was dropped to make room for others; the error
     * is GW_HTTP_OVER_BUDGET. Called from within the parser of another
     * message; may be NULL. */
    void (*aborted)(void *owner);
    void *owner;
} GwHttpParserParams;

GwHttpParser *GwHttpParser_Create(const GwHttpParserParams *params);
void GwHttpParser_Free(GwHttpParser *p);
void GwHttpParser_SetLimits(GwHttpParser *p, uint64_t head_max,
                            uint64_t body_max);
/* Parses `len` bytes. After an error, all later calls return that error. */
GwHttpError GwHttpParser_Feed(GwHttpParser *p, const char *data, size_t len);
/* Handles the end of the stream, which completes a response without a
 * length. */
GwHttpError GwHttpParser_End(GwHttpParser *p);
GwHttpError GwHttpParser_Error(const GwHttpParser *p);
/* Returns the incomplete message, valid until the next call, or NULL. */
const GwHttpMessage *GwHttpParser_Incomplete(const GwHttpParser *p);
/* Whether a message is incomplete. */
bool GwHttpParser_IsInMessage(const GwHttpParser *p);
/* Whether the head of a message is incomplete. */
bool GwHttpParser_IsInHead(const GwHttpParser *p);

#endif
