/* Bytes of callers and of backend servers, cut at a place that the input
 * chooses. What is accepted is written out and must be accepted again with
 * the same target and body: no second message may hide inside the first. */
#include "http/message.h"

#include <stdlib.h>
#include <string.h>

static void
keep(void *owner, GwHttpMessage *msg)
{
    g_ptr_array_add(owner, msg);
}

static GwHttpParser *
parser(bool requests, GPtrArray *out)
{
    GwHttpParserParams params = {
        .requests = requests,
        .head_max = 2000,
        .body_max = 2000,
        .message = keep,
        .owner = out,
    };

    return GwHttpParser_Create(&params);
}

static void
check_again(bool requests, const GwHttpMessage *msg)
{
    GPtrArray *again =
        g_ptr_array_new_with_free_func((GDestroyNotify)GwHttpMessage_Free);
    GwHttpParser *p = parser(requests, again);
    GString *out = g_string_new(NULL);
    GwHttpWriteOptions how = {0};

    if (requests) {
        GwHttpMessage_WriteRequest(msg, &how, out);
    }
    else {
        GwHttpMessage_WriteResponse(msg, &how, out);
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
    size_t cut = data[1] % size;
    GPtrArray *out =
        g_ptr_array_new_with_free_func((GDestroyNotify)GwHttpMessage_Free);
    GwHttpParser *p = parser(requests, out);
    const char *bytes = (const char *)data + 2;
    size_t len = size - 2;

    cut = MIN(cut, len);
    (void)GwHttpParser_Feed(p, bytes, cut);
    (void)GwHttpParser_Feed(p, bytes + cut, len - cut);
    (void)GwHttpParser_End(p);
    for (guint i = 0; i < out->len; i++) {
        check_again(requests, out->pdata[i]);
    }
    GwHttpParser_Free(p);
    g_ptr_array_free(out, TRUE);
    return 0;
}
