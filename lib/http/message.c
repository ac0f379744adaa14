#include "http/message.h"

#include <string.h>
#include <strings.h>

GwHttpMessage *
GwHttpMessage_Create(void)
{
    GwHttpMessage *msg = g_new0(GwHttpMessage, 1);

    msg->target = g_string_new(NULL);
    msg->text = g_string_sized_new(512);
    msg->fields = g_array_sized_new(FALSE, FALSE, sizeof(GwHttpField), 16);
    msg->body = g_string_new(NULL);
    return msg;
}

void
GwHttpMessage_Free(GwHttpMessage *msg)
{
    if (msg == NULL) {
        return;
    }
    GwHttpHold_Release(&msg->hold);
    g_string_free(msg->target, TRUE);
    g_string_free(msg->text, TRUE);
    g_array_free(msg->fields, TRUE);
    g_string_free(msg->body, TRUE);
    g_free(msg);
}

GString *
GwHttpMessage_TakeBody(GwHttpMessage *msg)
{
    GString *body = msg->body;

    msg->body = g_string_new(NULL);
    GwHttpHold_Release(&msg->hold);
    return body;
}

void
GwHttpMessage_Add(GwHttpMessage *msg, const char *name, const char *value)
{
    GwHttpField field = {.name = (uint32_t)msg->text->len};

    g_string_append_len(msg->text, name, (gssize)strlen(name) + 1);
    field.value = (uint32_t)msg->text->len;
    g_string_append_len(msg->text, value, (gssize)strlen(value) + 1);
    g_array_append_val(msg->fields, field);
}

static const char *
name_of(const GwHttpMessage *msg, guint i)
{
    return msg->text->str + g_array_index(msg->fields, GwHttpField, i).name;
}

static const char *
value_of(const GwHttpMessage *msg, guint i)
{
    return msg->text->str + g_array_index(msg->fields, GwHttpField, i).value;
}

const char *
GwHttpMessage_Get(const GwHttpMessage *msg, const char *name)
{
    for (guint i = 0; i < msg->fields->len; i++) {
        if (strcasecmp(name_of(msg, i), name) == 0) {
            return value_of(msg, i);
        }
    }
    return NULL;
}

const char *
GwHttpMessage_GetOnly(const GwHttpMessage *msg, const char *name)
{
    const char *only = NULL;

    for (guint i = 0; i < msg->fields->len; i++) {
        if (strcasecmp(name_of(msg, i), name) == 0) {
            if (only != NULL) {
                return NULL;
            }
            only = value_of(msg, i);
        }
    }
    return only;
}

/* Returns whether a comma-separated list contains the name, ignoring case. */
static bool
list_contains(const char *list, const char *name)
{
    size_t len = strlen(name);

    for (const char *at = list; *at != '\0';) {
        at += strspn(at, " \t,");
        size_t item = strcspn(at, " \t,");
        if (item == len && strncasecmp(at, name, len) == 0) {
            return true;
        }
        at += item;
    }
    return false;
}

bool
GwHttp_IsHopByHop(const GwHttpMessage *msg, const char *name)
{
    static const char *const never_forwarded[] = {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "proxy-authenticate",
        "proxy-authorization",
        "content-length",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(never_forwarded); i++) {
        if (strcasecmp(name, never_forwarded[i]) == 0) {
            return true;
        }
    }
    for (guint i = 0; i < msg->fields->len; i++) {
        if (strcasecmp(name_of(msg, i), "connection") == 0 &&
            list_contains(value_of(msg, i), name)) {
            return true;
        }
    }
    return false;
}

static bool
is_omitted(const char *const *drop, const char *name)
{
    for (; drop != NULL && *drop != NULL; drop++) {
        if (strcasecmp(*drop, name) == 0) {
            return true;
        }
    }
    return false;
}

static void
write_fields(const GwHttpMessage *msg, const GwHttpWriteOptions *options,
             GString *out)
{
    for (guint i = 0; i < msg->fields->len; i++) {
        const char *name = name_of(msg, i);
        if (is_omitted(options->drop, name) || GwHttp_IsHopByHop(msg, name)) {
            continue;
        }
        g_string_append(out, name);
        g_string_append_len(out, ": ", 2);
        g_string_append(out, value_of(msg, i));
        g_string_append_len(out, "\r\n", 2);
    }
    if (options->extra != NULL) {
        g_string_append(out, options->extra);
    }
    if (options->close) {
        g_string_append(out, "Connection: close\r\n");
    }
}

void
GwHttpMessage_WriteRequest(const GwHttpMessage *msg,
                           const GwHttpWriteOptions *options, GString *out)
{
    g_string_append_printf(out, "%s %s HTTP/1.1\r\n", msg->method,
                           msg->target->str);
    write_fields(msg, options, out);
    if (msg->has_body) {
        g_string_append_printf(out, "Content-Length: %zu\r\n", msg->body->len);
    }
    g_string_append_len(out, "\r\n", 2);
    g_string_append_len(out, msg->body->str, (gssize)msg->body->len);
}

/* The response to a HEAD request gives the length of a body that is not sent,
 * so that length is forwarded instead of computed. */
static void
write_response_length(const GwHttpMessage *msg,
                      const GwHttpWriteOptions *options, GString *out)
{
    if (msg->status == 204 || msg->status == 304 || msg->status < 200) {
        return;
    }
    if (options->is_head_response) {
        const char *length = GwHttpMessage_Get(msg, "content-length");
        if (length != NULL) {
            g_string_append_printf(out, "Content-Length: %s\r\n", length);
        }
        return;
    }
    g_string_append_printf(out, "Content-Length: %zu\r\n", msg->body->len);
}

static const char *
reason_phrase(uint16_t status)
{
    switch (status) {
    case 200:
        return "OK";
    case 404:
        return "Not Found";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

void
GwHttpMessage_WriteResponse(const GwHttpMessage *msg,
                            const GwHttpWriteOptions *options, GString *out)
{
    g_string_append_printf(out, "HTTP/1.1 %u %s\r\n", msg->status,
                           reason_phrase(msg->status));
    write_fields(msg, options, out);
    write_response_length(msg, options, out);
    g_string_append_len(out, "\r\n", 2);
    if (!options->is_head_response && !options->omits_body) {
        g_string_append_len(out, msg->body->str, (gssize)msg->body->len);
    }
}
