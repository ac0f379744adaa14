/* Shared by codec.c and codec_control.c. */
#ifndef GW_WIRE_CODEC_INTERNAL_H
#define GW_WIRE_CODEC_INTERNAL_H

#include "wire/codec.h"
#include "wire/inner.pb-c.h"

/* Copies a string. Returns false when it doesn't fit into `size` bytes with
 * its NUL, is not valid UTF-8, or has control characters. */
bool GwCodec_GetText(const char *from, char *to, size_t size);
/* Returns false when the id is absent: every message must name its sender. */
bool GwCodec_GetNodeId(const Gw__Inner__NodeId *from, GwNodeId *to);
Gw__Inner__NodeId GwCodec_PutNodeId(GwNodeId id);

/* Packs the message in an Envelope and returns a whole frame. */
uint8_t *GwCodec_FrameControl(const GwMessage *msg, size_t *len);
/* Returns a new message, or NULL and sets *error to GW_ERR(PARSE) or
 * GW_ERR(OUT_OF_BOUNDS). */
GwMessage *GwCodec_GetControl(const Gw__Inner__Control *from, GwResult *error);
/* Packs the envelope behind a frame header. Free the frame with g_free. */
uint8_t *GwCodec_PackFrame(const Gw__Inner__Envelope *pb, size_t *len);

#endif
