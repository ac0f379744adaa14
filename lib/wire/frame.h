/* Frames of the inner protocol: a 4-byte big-endian length and a payload. */
#ifndef GW_WIRE_FRAME_H
#define GW_WIRE_FRAME_H

#include "godwitridge_errors.h"

#include <stddef.h>
#include <stdint.h>

#define GW_FRAME_HEAD 4
#define GW_FRAME_MAX  (2u << 20)

/* Bytes received so far; zero-initialised. The payload of a frame given out
 * stays valid until the next Feed. */
typedef struct {
    uint8_t *bytes;
    size_t len;
    size_t start;
    size_t capacity;
} GwFrameDecoder;

/* Appends received bytes. */
void GwFrame_Feed(GwFrameDecoder *d, const uint8_t *bytes, size_t len);
/* 1 and the payload when a whole frame is there, 0 when more bytes are
 * needed, GW_ERR(TOO_LARGE) when the peer announced too much: close it. */
GwResult GwFrame_Next(GwFrameDecoder *d, const uint8_t **payload,
                      uint32_t *len);
void GwFrame_Free(GwFrameDecoder *d);
void GwFrame_PutHead(uint8_t out[GW_FRAME_HEAD], uint32_t len);

#endif
