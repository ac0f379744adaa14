/* Payloads from a peer. An accepted payload, encoded again, is accepted and
 * encodes to the same bytes. */
#include "wire/codec.h"
#include "wire/frame.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    GwEnvelope first;
    GwEnvelope second;
    size_t len;
    size_t again_len;

    if (GwResult_IsError(GwCodec_Parse(data, size, &first))) {
        return 0;
    }
    uint8_t *frame = GwCodec_Frame(&first, &len);
    if (GwResult_IsError(GwCodec_Parse(frame + GW_FRAME_HEADER_LEN,
                                       len - GW_FRAME_HEADER_LEN, &second))) {
        abort();
    }
    uint8_t *again = GwCodec_Frame(&second, &again_len);
    if (again_len != len || memcmp(frame, again, len) != 0) {
        abort();
    }
    g_free(frame);
    g_free(again);
    GwEnvelope_Clear(&first);
    GwEnvelope_Clear(&second);
    return 0;
}
