/* Encodes the answers to callers: those of servers, and the entry's own. */
#include "edge/callers_internal.h"
#include "edge/relay.h"

#include <string.h>

/* Bodies up to this size are sent with their head by one call, which costs a
 * copy; larger ones are not copied. */
#define JOINED_BODY_MAX (16u << 10)

static const char *
status_text(uint16_t status)
{
    switch (status) {
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    default:
        return "Gateway Timeout";
    }
}

void
GwReply_Write(GString *out, uint16_t status, uint32_t retry_after_ms,
              const char *fields, bool close)
{
    g_string_append_printf(out, "HTTP/1.1 %u %s\r\nContent-Length: 0\r\n",
                           status, status_text(status));
    if (retry_after_ms > 0) {
        g_string_append_printf(out, "Retry-After: %u.%03u\r\n",
                               retry_after_ms / 1000, retry_after_ms % 1000);
    }
    g_string_append(out, fields);
    g_string_append(out, close ? "Connection: close\r\n\r\n" : "\r\n");
}

void
GwExchange_Reply(GwExchange *x, const GwRouterAction *act)
{
    char *fields = x->is_passed_on ? GwRelay_WriteEnd(act) : NULL;

    x->request = NULL;
    GwExchange_ReleaseRoom(x);
    x->out = g_string_new(NULL);
    GwReply_Write(x->out, act->status, act->retry_after_ms,
                  fields != NULL ? fields : "", false);
    g_free(fields);
    GwCaller_ScheduleFlush(x->caller);
}

void
GwExchange_ForwardAnswer(GwExchange *x, const GwRouterAction *act)
{
    static const char *const drop[] = {GW_RELAY_OUTCOME, GW_RELAY_SERVER,
                                       NULL};
    char *fields = x->is_passed_on ? GwRelay_WriteEnd(act) : NULL;
    GwHttpWriteOptions how = {
        .drop = drop,
        .extra = fields,
        .is_head_response = strcmp(x->msg->method, "HEAD") == 0,
        .omits_body = x->answer->body->len > JOINED_BODY_MAX,
    };

    x->request = NULL;
    GwExchange_ReleaseRoom(x);
    if (act->status < 300 && !how.is_head_response) {
        GwAnswerRoom_Learn(&x->edge->room, act->request_summary.route,
                           x->answer->head_len + x->answer->body->len);
    }
    x->sends_body_apart = how.omits_body;
    x->out =
        g_string_sized_new(512 + (how.omits_body ? 0 : x->answer->body->len));
    GwHttpMessage_WriteResponse(x->answer, &how, x->out);
    g_free(fields);
    GwCaller_ScheduleFlush(x->caller);
}
