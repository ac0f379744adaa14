/* Encodes control messages (GwMessage) and relayed calls as protobuf frames
 * and decodes them. Decoding checks every bound of wire/message.h and rejects
 * the whole message when a bound is exceeded. */
#ifndef GW_WIRE_CODEC_H
#define GW_WIRE_CODEC_H

#include "godwitridge.h"

#define GW_BODY_MAX         65536
#define GW_CONTENT_TYPE_MAX 96
#define GW_TARGET_MAX       1024
#define GW_NONCE_LEN        32
#define GW_MAC_LEN          32
#define GW_DEADLINE_MAX_MS  3600000 /* ms; longest deadline of a call */

typedef struct {
    uint64_t id; /* assigned by the sender */
    char service[GW_NAME_MAX];
    char method[8];
    char target[GW_TARGET_MAX]; /* path and query */
    GwTicket ticket;
    uint32_t deadline_left_ms;
    bool to_owner;
    uint64_t grant;
    char content_type[GW_CONTENT_TYPE_MAX];
    uint32_t body_len;
    uint8_t *body;
} GwCallRequest;

typedef struct {
    uint64_t id; /* id of the request */
    GwOutcome outcome;
    GwReason reason;
    uint32_t retry_after_ms;
    uint32_t status;
    char content_type[GW_CONTENT_TYPE_MAX];
    uint32_t body_len;
    uint8_t *body;
    GwTicket ticket;
} GwCallReply;

typedef enum {
    GW_ENVELOPE_HELLO = 1,
    GW_ENVELOPE_PROOF = 2,
    GW_ENVELOPE_CONTROL = 3,
    GW_ENVELOPE_CALL = 4,
    GW_ENVELOPE_REPLY = 5,
    GW_ENVELOPE_CANCEL = 6,
    GW_ENVELOPE_PING = 7,
    GW_ENVELOPE_PONG = 8
} GwEnvelopeKind;

typedef struct {
    uint8_t nonce[GW_NONCE_LEN];
    GwNodeId from;
    uint32_t region; /* hashes of names, as in GwMemberInfo */
    uint32_t domain;
} GwHello;

typedef struct {
    GwEnvelopeKind kind;
    union {
        GwHello hello;
        uint8_t proof[GW_MAC_LEN];
        GwMessage *control; /* owned */
        GwCallRequest call; /* body owned */
        GwCallReply reply;  /* body owned */
        uint64_t cancel;    /* id of the request */
    } u;
} GwEnvelope;

/* Encodes a whole frame, header included. Free it with g_free. The envelope
 * keeps ownership of its members. */
uint8_t *GwCodec_Frame(const GwEnvelope *envelope, size_t *len);
/* Decodes the payload of one frame. GW_ERR(PARSE) when it is not a valid
 * envelope, GW_ERR(OUT_OF_BOUNDS) when a bound is exceeded; `out` is then
 * zeroed and owns nothing. */
GwResult GwCodec_Parse(const uint8_t *payload, size_t len, GwEnvelope *out);
/* Whether the text is valid in an HTTP request line or header. Prevents a
 * caller or peer from injecting a header or a second request into a request
 * that this entry sends. */
bool GwText_IsMethod(const char *s);
bool GwText_IsTarget(const char *s);
bool GwText_IsHeaderValue(const char *s);
/* Frees the members that the envelope owns and zeroes it. Code that takes
 * ownership of a pointer sets it to NULL first. */
void GwEnvelope_Clear(GwEnvelope *envelope);

#endif
