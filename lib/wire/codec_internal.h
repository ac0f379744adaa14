/* Shared by the two halves of the codec. */
#ifndef GW_WIRE_CODEC_INTERNAL_H
#define GW_WIRE_CODEC_INTERNAL_H

#include "wire/codec.h"
#include "wire/inner.pb-c.h"

/* Copies a string when it fits with its NUL and is UTF-8 free of control
 * characters. */
bool GwCodec_GetText(const char *from, char *to, size_t room);
/* An absent id is refused: every message names its sender. */
bool GwCodec_GetNodeId(const Gw__Inner__NodeId *from, GwNodeId *to);
Gw__Inner__NodeId GwCodec_PutNodeId(GwNodeId id);

/* Packs the message inside an Envelope, as a frame. */
uint8_t *GwCodec_FrameControl(const GwMessage *msg, size_t *len);
/* A new message, or NULL and the error. */
GwMessage *GwCodec_GetControl(const Gw__Inner__Control *from, GwResult *error);
uint8_t *GwCodec_PackFrame(const Gw__Inner__Envelope *pb, size_t *len);

#endif
