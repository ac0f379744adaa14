/* Frames of the inner protocol: a 4-byte big-endian length and a payload. */
#ifndef GW_WIRE_FRAME_H
#define GW_WIRE_FRAME_H

#include "godwitridge_errors.h"

#include <stddef.h>
#include <stdint.h>

#define GW_FRAME_HEADER_LEN 4          /* bytes of the header */
#define GW_FRAME_MAX        (2u << 20) /* bytes of the payload */

/* Buffers received bytes until a frame is complete. Starts
 * zero-initialised. */
typedef struct {
    uint8_t *bytes;
    size_t len;
    size_t start; /* offset of the first unread byte */
    size_t capacity;
} GwFrameDecoder;

/* Appends received bytes. Invalidates payloads returned before. */
void GwFrame_Feed(GwFrameDecoder *d, const uint8_t *bytes, size_t len);
/* Returns 1 and the payload of the next frame, which stays valid until the
 * next GwFrame_Feed; 0 when more bytes are needed; or GW_ERR(TOO_LARGE) when
 * the announced length exceeds GW_FRAME_MAX and the connection must be
 * closed. */
GwResult GwFrame_Next(GwFrameDecoder *d, const uint8_t **payload,
                      uint32_t *len);
void GwFrame_Free(GwFrameDecoder *d);
/* Writes the header of a frame with `len` bytes of payload. */
void GwFrame_WriteHeader(uint8_t out[GW_FRAME_HEADER_LEN], uint32_t len);

#endif
