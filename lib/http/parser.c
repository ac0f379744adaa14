/* Parses messages with http-parser, and rejects ambiguous input that
 * http-parser accepts. */
#include "http/message.h"

#include <http_parser.h>
#include <string.h>
#include <strings.h>

struct GwHttpParser_s {
    GwHttpParserParams params;
    http_parser parser;
    GwHttpMessage *msg; /* incomplete, or NULL */
    GString *name;      /* the field being read */
    GString *value;
    bool in_value;
    bool head_done; /* further fields are trailers, which are dropped */
    uint64_t head_len;
    GwHttpError error;
};

static GwHttpParser *
parser_of(http_parser *parser)
{
    return parser->data;
}

static int
fail(GwHttpParser *p, GwHttpError error)
{
    if (p->error == GW_HTTP_OK) {
        p->error = error;
    }
    return -1;
}

static bool
is_valid_text(const GString *text)
{
    for (gsize i = 0; i < text->len; i++) {
        unsigned char c = (unsigned char)text->str[i];
        if ((c < 0x20 && c != '\t') || c == 0x7f) {
            return false;
        }
    }
    return true;
}

/* http-parser accepts blanks in names. Such a name would match none of the
 * names that are dropped or set here, but may match them at a server. */
static bool
is_valid_name(const GString *name)
{
    return is_valid_text(name) && strpbrk(name->str, " \t") == NULL;
}

/* Adds the current field, if any, to the message. */
static int
finish_field(GwHttpParser *p)
{
    if (!p->in_value) {
        return 0;
    }
    p->in_value = false;
    if (p->head_done) {
        return 0;
    }
    while (p->value->len > 0 &&
           strchr(" \t", p->value->str[p->value->len - 1]) != NULL) {
        g_string_truncate(p->value, p->value->len - 1);
    }
    if (!is_valid_name(p->name) || !is_valid_text(p->value)) {
        return fail(p, GW_HTTP_MALFORMED);
    }
    GwHttpMessage_Add(p->msg, p->name->str, p->value->str);
    return 0;
}

/* Another response took the room of the incomplete one. */
static void
on_abort(void *owner)
{
    GwHttpParser *p = owner;

    (void)fail(p, GW_HTTP_OVER_BUDGET);
    g_string_free(GwHttpMessage_TakeBody(p->msg), TRUE);
    if (p->params.aborted != NULL) {
        p->params.aborted(p->params.owner);
    }
}

/* Reserves the budget for the message, with a body of `body_len` bytes in
 * total. Heads of requests are bounded by the number of connections and the
 * limit on a head. */
static int
reserve(GwHttpParser *p, uint64_t body_len)
{
    GwHttpMessage *msg = p->msg;
    uint64_t len = body_len + (p->params.requests ? 0 : p->head_len);

    if (p->params.budget == NULL) {
        return 0;
    }
    msg->hold.budget = p->params.budget;
    if (!p->params.requests) {
        msg->hold.is_response = true;
        GwHttpHold_BeginReceiving(&msg->hold, on_abort, p);
    }
    return GwHttpHold_Grow(&msg->hold, len) ? 0 : fail(p, GW_HTTP_OVER_BUDGET);
}

static int
count_head(GwHttpParser *p, size_t len)
{
    p->head_len += len;
    if (p->head_len > p->params.head_max) {
        return fail(p, GW_HTTP_LONG_HEAD);
    }
    return p->params.requests || p->head_done ? 0 : reserve(p, 0);
}

static int
on_begin(http_parser *parser)
{
    GwHttpParser *p = parser_of(parser);

    GwHttpMessage_Free(p->msg);
    p->msg = GwHttpMessage_Create();
    p->head_done = false;
    p->in_value = false;
    p->head_len = 0;
    return 0;
}

static int
on_url(http_parser *parser, const char *at, size_t len)
{
    GwHttpParser *p = parser_of(parser);

    g_string_append_len(p->msg->target, at, (gssize)len);
    return count_head(p, len);
}

static int
on_name(http_parser *parser, const char *at, size_t len)
{
    GwHttpParser *p = parser_of(parser);

    if (p->in_value) {
        if (finish_field(p) != 0) {
            return -1;
        }
        g_string_truncate(p->name, 0);
    }
    g_string_append_len(p->name, at, (gssize)len);
    return count_head(p, len + 4); /* ": " and CRLF */
}

/* http-parser takes each name that begins like Transfer-Encoding for that
 * field, and then rejects a length beside it. */
static void
correct_coding(GwHttpParser *p)
{
    if (strcasecmp(p->name->str, "transfer-encoding") != 0 &&
        GwHttpMessage_Get(p->msg, "transfer-encoding") == NULL) {
        p->parser.uses_transfer_encoding = 0;
    }
}

static int
on_value(http_parser *parser, const char *at, size_t len)
{
    GwHttpParser *p = parser_of(parser);

    if (!p->in_value) {
        p->in_value = true;
        g_string_truncate(p->value, 0);
        correct_coding(p);
    }
    g_string_append_len(p->value, at, (gssize)len);
    return count_head(p, len);
}

/* A coding other than chunked would have to be decoded here to find the end of
 * the body; an implementation that ignores the coding finds another end. */
static bool
has_unsupported_coding(const GwHttpMessage *msg)
{
    const char *coding = GwHttpMessage_Get(msg, "transfer-encoding");

    return coding != NULL && strcasecmp(coding, "chunked") != 0;
}

/* RFC 9110, section 15: other values are no response. 101 answers a request
 * for an upgrade, which is never sent. */
static bool
is_valid_status(unsigned int status)
{
#if GW_MUTANT == 165 /* breaks: any number is a status */
    return true;
#endif
    return status >= 100 && status <= 599 && status != 101;
}

static int
on_head(http_parser *parser)
{
    GwHttpParser *p = parser_of(parser);
    GwHttpMessage *msg = p->msg;

    if (finish_field(p) != 0) {
        return -1;
    }
    g_string_truncate(p->name, 0);
    p->head_done = true;
    if (has_unsupported_coding(msg) ||
        (!p->params.requests && !is_valid_status(parser->status_code))) {
        return fail(p, GW_HTTP_MALFORMED);
    }
    bool chunked = (parser->flags & F_CHUNKED) != 0;
    bool sized = (parser->flags & F_CONTENTLENGTH) != 0;
    if (sized && parser->content_length > p->params.body_max) {
        return fail(p, GW_HTTP_LONG_BODY);
    }
    /* Reserves the whole length at once: otherwise bodies that arrive at the
     * same time could use up the budget before any of them is complete. */
    if (sized && parser->content_length > 0 &&
        reserve(p, parser->content_length) != 0) {
        return -1;
    }
    if (p->params.requests) {
        const char *method = http_method_str(parser->method);
        (void)g_strlcpy(msg->method, method, sizeof(msg->method));
        if (parser->upgrade && strcasecmp(method, "CONNECT") == 0) {
            return fail(p, GW_HTTP_MALFORMED);
        }
    }
    else {
        msg->status = (uint16_t)parser->status_code;
    }
    msg->has_body = chunked || sized;
    msg->framed = msg->has_body;
    msg->head_len = (uint32_t)p->head_len;
    msg->keep_alive = http_should_keep_alive(parser) != 0;
    if (!p->params.requests && p->params.is_head_response != NULL &&
        p->params.is_head_response(p->params.owner)) {
        msg->framed = true;
        return 1; /* a response to HEAD has no body, even with a length */
    }
    /* An Upgrade is not forwarded, so the connection stays HTTP/1.1. */
    parser->upgrade = 0;
    return 0;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
    GwHttpParser *p = parser_of(parser);

    if (p->msg->body->len + len > p->params.body_max) {
        return fail(p, GW_HTTP_LONG_BODY);
    }
    if (reserve(p, p->msg->body->len + len) != 0) {
        return -1;
    }
    g_string_append_len(p->msg->body, at, (gssize)len);
    return 0;
}

static int
on_complete(http_parser *parser)
{
    GwHttpParser *p = parser_of(parser);
    GwHttpMessage *msg = p->msg;

    p->msg = NULL;
#if GW_MUTANT != 147 /* breaks: a complete response can be aborted */
    GwHttpHold_EndReceiving(&msg->hold);
#endif
    p->params.message(p->params.owner, msg);
    return 0;
}

static const http_parser_settings settings = {
    .on_message_begin = on_begin,
    .on_url = on_url,
    .on_header_field = on_name,
    .on_header_value = on_value,
    .on_headers_complete = on_head,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

GwHttpParser *
GwHttpParser_Create(const GwHttpParserParams *params)
{
    GwHttpParser *p = g_new0(GwHttpParser, 1);

    p->params = *params;
    http_parser_init(&p->parser,
                     params->requests ? HTTP_REQUEST : HTTP_RESPONSE);
    p->parser.data = p;
    p->name = g_string_new(NULL);
    p->value = g_string_new(NULL);
    return p;
}

void
GwHttpParser_Free(GwHttpParser *p)
{
    if (p == NULL) {
        return;
    }
    GwHttpMessage_Free(p->msg);
    g_string_free(p->name, TRUE);
    g_string_free(p->value, TRUE);
    g_free(p);
}

void
GwHttpParser_SetLimits(GwHttpParser *p, uint64_t head_max, uint64_t body_max)
{
    p->params.head_max = head_max;
    p->params.body_max = body_max;
}

GwHttpError
GwHttpParser_Feed(GwHttpParser *p, const char *data, size_t len)
{
    /* http-parser treats a call with zero bytes as the end of the stream. */
    if (p->error != GW_HTTP_OK || len == 0) {
        return p->error;
    }
    size_t used = http_parser_execute(&p->parser, &settings, data, len);
    if (p->error == GW_HTTP_OK &&
        (used != len || HTTP_PARSER_ERRNO(&p->parser) != HPE_OK)) {
        p->error = HTTP_PARSER_ERRNO(&p->parser) == HPE_HEADER_OVERFLOW
                       ? GW_HTTP_LONG_HEAD
                       : GW_HTTP_MALFORMED;
    }
    return p->error;
}

GwHttpError
GwHttpParser_End(GwHttpParser *p)
{
    if (p->error != GW_HTTP_OK) {
        return p->error;
    }
    (void)http_parser_execute(&p->parser, &settings, "", 0);
    if (p->error == GW_HTTP_OK && HTTP_PARSER_ERRNO(&p->parser) != HPE_OK) {
        p->error = GW_HTTP_MALFORMED;
    }
    return p->error;
}

GwHttpError
GwHttpParser_Error(const GwHttpParser *p)
{
    return p->error;
}

const GwHttpMessage *
GwHttpParser_Incomplete(const GwHttpParser *p)
{
    return p->msg;
}

/* Derived from `msg` and not from a flag set per read, because a message may
 * start after another one in the same read: such a connection would be closed
 * as idle with half a request. Empty lines between messages don't count as the
 * start of a message. */
bool
GwHttpParser_IsInMessage(const GwHttpParser *p)
{
    return p->msg != NULL;
}

bool
GwHttpParser_IsInHead(const GwHttpParser *p)
{
    return p->msg != NULL && !p->head_done;
}
