/* Frames from an unauthenticated peer, fed in pieces of sizes that the input
 * determines. */
#include "wire/frame.h"

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    GwFrameDecoder d = {0};
    const uint8_t *payload;
    uint32_t len;
    size_t at = 0;

    while (at < size) {
        size_t piece = data[at] % 16 + 1u;
        if (piece > size - at) {
            piece = size - at;
        }
        GwFrame_Feed(&d, data + at, piece);
        at += piece;
        while (GwFrame_Next(&d, &payload, &len) == 1) {
            volatile uint8_t touched = 0;
            for (uint32_t i = 0; i < len; i++) {
                touched ^= payload[i];
            }
        }
    }
    GwFrame_Free(&d);
    return 0;
}
