/* HTTP messages of callers and backend servers, split in two at an offset that
 * the input determines. An accepted message, written out, is parsed as exactly
 * one message with the same target and body (no request smuggling). */
#include "http/message.h"

#include <stdlib.h>
#include <string.h>

static void
add_message(void *owner, GwHttpMessage *msg)
{
    g_ptr_array_add(owner, msg);
}

static GwHttpParser *
create_parser(bool requests, GPtrArray *out)
{
    GwHttpParserParams params = {
        .requests = requests,
        .head_max = 2000,
        .body_max = 2000,
        .message = add_message,
        .owner = out,
    };

    return GwHttpParser_Create(&params);
}

static void
check_again(bool requests, const GwHttpMessage *msg)
{
    GPtrArray *again =
        g_ptr_array_new_with_free_func((GDestroyNotify)GwHttpMessage_Free);
    GwHttpParser *p = create_parser(requests, again);
    GString *out = g_string_new(NULL);
    GwHttpWriteOptions options = {0};

    if (requests) {
        GwHttpMessage_WriteRequest(msg, &options, out);
    }
    else {
        GwHttpMessage_WriteResponse(msg, &options, out);
    }
    GwHttpParser_SetLimits(p, 100000, 100000);
    (void)GwHttpParser_Feed(p, out->str, out->len);
    bool bodiless = !requests && (msg->status < 200 || msg->status == 204 ||
                                  msg->status == 304);
    if (again->len != 1 && !bodiless) {
        abort();
    }
    if (again->len == 1) {
        const GwHttpMessage *second = again->pdata[0];
        if (!g_string_equal(second->target, msg->target) ||
            (!bodiless && !g_string_equal(second->body, msg->body))) {
            abort();
        }
    }
    g_string_free(out, TRUE);
    GwHttpParser_Free(p);
    g_ptr_array_free(again, TRUE);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    if (size < 2) {
        return 0;
    }
    bool requests = data[0] % 2 == 0;
    size_t split_at = data[1] % size;
    GPtrArray *out =
        g_ptr_array_new_with_free_func((GDestroyNotify)GwHttpMessage_Free);
    GwHttpParser *p = create_parser(requests, out);
    const char *bytes = (const char *)data + 2;
    size_t len = size - 2;

    split_at = MIN(split_at, len);
    (void)GwHttpParser_Feed(p, bytes, split_at);
    (void)GwHttpParser_Feed(p, bytes + split_at, len - split_at);
    (void)GwHttpParser_End(p);
    for (guint i = 0; i < out->len; i++) {
        check_again(requests, out->pdata[i]);
    }
    GwHttpParser_Free(p);
    g_ptr_array_free(out, TRUE);
    return 0;
}
