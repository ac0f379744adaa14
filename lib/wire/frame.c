#include "wire/frame.h"

#include <glib.h>
#include <string.h>

/* Drops what was consumed, so that the buffer grows with one frame only. */
static void
compact(GwFrameDecoder *d)
{
    if (d->start == 0) {
        return;
    }
    d->len -= d->start;
    memmove(d->bytes, d->bytes + d->start, d->len);
    d->start = 0;
}

/* Invalidates payloads given out before. */
void
GwFrame_Feed(GwFrameDecoder *d, const uint8_t *bytes, size_t len)
{
    if (len == 0) {
        return;
    }
    compact(d);
    if (d->len + len > d->capacity) {
        d->capacity = MAX(d->len + len, d->capacity * 2);
        d->bytes = g_realloc(d->bytes, d->capacity);
    }
    memcpy(d->bytes + d->len, bytes, len);
    d->len += len;
}

/* The announced length is checked before a byte of the payload is awaited: a
 * peer that lies about it would otherwise make this process buffer until it
 * is out of memory. */
GwResult
GwFrame_Next(GwFrameDecoder *d, const uint8_t **payload, uint32_t *len)
{
    size_t have = d->len - d->start;
    if (have < GW_FRAME_HEAD) {
        return 0;
    }
    const uint8_t *h = d->bytes + d->start;
    uint32_t size = (uint32_t)h[0] << 24 | (uint32_t)h[1] << 16 |
                    (uint32_t)h[2] << 8 | h[3];
    if (size > GW_FRAME_MAX) {
        return GW_ERR(TOO_LARGE);
    }
    if (have - GW_FRAME_HEAD < size) {
        return 0;
    }
    *payload = h + GW_FRAME_HEAD;
    *len = size;
    d->start += GW_FRAME_HEAD + size;
    return 1;
}

/* Gives the memory back; the decoder may be used again. */
void
GwFrame_Free(GwFrameDecoder *d)
{
    g_free(d->bytes);
    *d = (GwFrameDecoder){0};
}

/* Writes the length of a payload in front of it. */
void
GwFrame_PutHead(uint8_t out[GW_FRAME_HEAD], uint32_t len)
{
    out[0] = (uint8_t)(len >> 24);
    out[1] = (uint8_t)(len >> 16);
    out[2] = (uint8_t)(len >> 8);
    out[3] = (uint8_t)len;
}
