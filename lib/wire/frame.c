#include "wire/frame.h"

#include <glib.h>
#include <string.h>

/* Discards consumed bytes, so that the buffer doesn't grow beyond the unread
 * bytes. */
static void
discard_consumed(GwFrameDecoder *d)
{
    if (d->start == 0) {
        return;
    }
    d->len -= d->start;
    memmove(d->bytes, d->bytes + d->start, d->len);
    d->start = 0;
}

void
GwFrame_Feed(GwFrameDecoder *d, const uint8_t *bytes, size_t len)
{
    if (len == 0) {
        return;
    }
    discard_consumed(d);
    if (d->len + len > d->capacity) {
        d->capacity = MAX(d->len + len, d->capacity * 2);
        d->bytes = g_realloc(d->bytes, d->capacity);
    }
    memcpy(d->bytes + d->len, bytes, len);
    d->len += len;
}

/* Checks the announced length before waiting for the payload: otherwise a peer
 * that announces a huge frame could make this process buffer data until it
 * runs out of memory. */
GwResult
GwFrame_Next(GwFrameDecoder *d, const uint8_t **payload, uint32_t *len)
{
    size_t available = d->len - d->start;
    if (available < GW_FRAME_HEADER_LEN) {
        return 0;
    }
    const uint8_t *header = d->bytes + d->start;
    uint32_t payload_len = (uint32_t)header[0] << 24 |
                           (uint32_t)header[1] << 16 |
                           (uint32_t)header[2] << 8 | header[3];
    if (payload_len > GW_FRAME_MAX) {
        return GW_ERR(TOO_LARGE);
    }
    if (available - GW_FRAME_HEADER_LEN < payload_len) {
        return 0;
    }
    *payload = header + GW_FRAME_HEADER_LEN;
    *len = payload_len;
    d->start += GW_FRAME_HEADER_LEN + payload_len;
    return 1;
}

/* Frees the buffer. The decoder may be used again. */
void
GwFrame_Free(GwFrameDecoder *d)
{
    g_free(d->bytes);
    *d = (GwFrameDecoder){0};
}

void
GwFrame_WriteHeader(uint8_t out[GW_FRAME_HEADER_LEN], uint32_t len)
{
    out[0] = (uint8_t)(len >> 24);
    out[1] = (uint8_t)(len >> 16);
    out[2] = (uint8_t)(len >> 8);
    out[3] = (uint8_t)len;
}
