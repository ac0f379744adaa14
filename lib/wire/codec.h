/* GwMessage and relayed calls to protobuf bytes and back. Everything that
 * comes in is checked against the bounds of wire/message.h; a message that
 * breaks one is refused whole. */
#ifndef GW_WIRE_CODEC_H
#define GW_WIRE_CODEC_H

#include "godwitridge.h"

#define GW_BODY_MAX     65536
#define GW_TYPE_MAX     96
#define GW_TARGET_MAX   1024
#define GW_NONCE_LEN    32
#define GW_MAC_LEN      32
#define GW_DEADLINE_CAP 3600000 /* ms: no call may ask for more */

typedef struct {
    uint64_t id; /* of the sender */
    char service[GW_NAME_MAX];
    char method[8];
    char target[GW_TARGET_MAX]; /* path and query */
    GwTicket ticket;
    uint32_t deadline_left_ms;
    bool to_owner;
    uint64_t grant;
    char content_type[GW_TYPE_MAX];
    uint32_t body_len;
    uint8_t *body;
} GwCallRequest;

typedef struct {
    uint64_t id; /* of the request */
    GwOutcome outcome;
    GwReason reason;
    uint32_t retry_after_ms;
    uint32_t status;
    char content_type[GW_TYPE_MAX];
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

/* A whole frame, head included; free with g_free. */
uint8_t *GwCodec_Frame(const GwEnvelope *envelope, size_t *len);
/* The payload of one frame. GW_ERR(PARSE) when it is no envelope,
 * GW_ERR(OUT_OF_BOUNDS) when a bound is broken; then `out` owns nothing. */
GwResult GwCodec_Parse(const uint8_t *payload, size_t len, GwEnvelope *out);
/* Whether the text may stand in an HTTP request line or header: a caller or
 * peer must not be able to put a second header or request into ours. */
bool GwText_IsMethod(const char *s);
bool GwText_IsTarget(const char *s);
bool GwText_IsHeaderValue(const char *s);
void GwEnvelope_Clear(GwEnvelope *envelope);

#endif
