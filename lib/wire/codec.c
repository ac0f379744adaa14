#include "wire/codec.h"

#include "wire/codec_internal.h"
#include "wire/frame.h"

#include <glib.h>
#include <string.h>

/* 1 to 7 uppercase letters: registered HTTP methods use no others. */
bool
GwText_IsMethod(const char *s)
{
    size_t len = strspn(s, "ABCDEFGHIJKLMNOPQRSTUVWXYZ");
    return len > 0 && len < 8 && s[len] == '\0';
}

/* An absolute path of printable ASCII characters without spaces. */
bool
GwText_IsTarget(const char *s)
{
    if (s[0] != '/') {
        return false;
    }
    for (; *s != '\0'; s++) {
        if (!g_ascii_isgraph(*s)) {
            return false;
        }
    }
    return true;
}

/* Printable ASCII characters and spaces. */
bool
GwText_IsHeaderValue(const char *s)
{
    for (; *s != '\0'; s++) {
        if (!g_ascii_isprint(*s)) {
            return false;
        }
    }
    return true;
}

bool
GwCodec_GetText(const char *from, char *to, size_t size)
{
    size_t len = strlen(from);
    if (len >= size || !g_utf8_validate(from, (gssize)len, NULL)) {
        return false;
    }
    for (size_t i = 0; i < len; i++) {
        if (g_ascii_iscntrl(from[i])) {
            return false;
        }
    }
    memcpy(to, from, len + 1);
    return true;
}

bool
GwCodec_GetNodeId(const Gw__Inner__NodeId *from, GwNodeId *to)
{
    if (from == NULL) {
        return false;
    }
    *to = (GwNodeId){.node = from->node, .start = from->start};
    return true;
}

Gw__Inner__NodeId
GwCodec_PutNodeId(GwNodeId id)
{
    Gw__Inner__NodeId pb = GW__INNER__NODE_ID__INIT;
    pb.node = id.node;
    pb.start = id.start;
    return pb;
}

uint8_t *
GwCodec_PackFrame(const Gw__Inner__Envelope *pb, size_t *len)
{
    size_t size = gw__inner__envelope__get_packed_size(pb);
    uint8_t *frame = g_malloc(GW_FRAME_HEADER_LEN + size);
    GwFrame_WriteHeader(frame, (uint32_t)size);
    gw__inner__envelope__pack(pb, frame + GW_FRAME_HEADER_LEN);
    *len = GW_FRAME_HEADER_LEN + size;
    return frame;
}

static uint8_t *
frame_hello(const GwHello *hello, size_t *len)
{
    GwHello copy = *hello;
    Gw__Inner__NodeId from = GwCodec_PutNodeId(hello->from);
    Gw__Inner__Hello pb = GW__INNER__HELLO__INIT;
    pb.nonce = (ProtobufCBinaryData){GW_NONCE_LEN, copy.nonce};
    pb.from = &from;
    pb.region = hello->region;
    pb.domain = hello->domain;
    Gw__Inner__Envelope env = GW__INNER__ENVELOPE__INIT;
    env.body_case = GW__INNER__ENVELOPE__BODY_HELLO;
    env.hello = &pb;
    return GwCodec_PackFrame(&env, len);
}

static uint8_t *
frame_proof(const uint8_t *mac, size_t *len)
{
    uint8_t copy[GW_MAC_LEN];
    memcpy(copy, mac, sizeof(copy));
    Gw__Inner__Proof pb = GW__INNER__PROOF__INIT;
    pb.mac = (ProtobufCBinaryData){GW_MAC_LEN, copy};
    Gw__Inner__Envelope env = GW__INNER__ENVELOPE__INIT;
    env.body_case = GW__INNER__ENVELOPE__BODY_PROOF;
    env.proof = &pb;
    return GwCodec_PackFrame(&env, len);
}

static Gw__Inner__Ticket
put_ticket(const GwTicket *t, Gw__Inner__NodeId *owner)
{
    Gw__Inner__Ticket pb = GW__INNER__TICKET__INIT;
    *owner = GwCodec_PutNodeId(t->owner);
    pb.owner = owner;
    pb.minted_ms = t->minted_ms;
    pb.seq = t->seq;
    return pb;
}

static uint8_t *
frame_call(const GwCallRequest *call, size_t *len)
{
    Gw__Inner__NodeId owner;
    Gw__Inner__Ticket ticket = put_ticket(&call->ticket, &owner);
    Gw__Inner__CallRequest pb = GW__INNER__CALL_REQUEST__INIT;
    pb.id = call->id;
    pb.service = (char *)call->service;
    pb.method = (char *)call->method;
    pb.path = (char *)call->target;
    pb.ticket = &ticket;
    pb.deadline_left_ms = call->deadline_left_ms;
    pb.to_owner = call->to_owner;
    pb.grant = call->grant;
    pb.content_type = (char *)call->content_type;
    pb.body = (ProtobufCBinaryData){call->body_len, call->body};
    Gw__Inner__Envelope env = GW__INNER__ENVELOPE__INIT;
    env.body_case = GW__INNER__ENVELOPE__BODY_CALL;
    env.call = &pb;
    return GwCodec_PackFrame(&env, len);
}

static uint8_t *
frame_reply(const GwCallReply *reply, size_t *len)
{
    Gw__Inner__NodeId owner;
    Gw__Inner__Ticket ticket = put_ticket(&reply->ticket, &owner);
    Gw__Inner__CallReply pb = GW__INNER__CALL_REPLY__INIT;
    pb.id = reply->id;
    pb.outcome = reply->outcome;
    pb.reason = reply->reason;
    pb.retry_after_ms = reply->retry_after_ms;
    pb.status = reply->status;
    pb.content_type = (char *)reply->content_type;
    pb.body = (ProtobufCBinaryData){reply->body_len, reply->body};
    pb.ticket = &ticket;
    Gw__Inner__Envelope env = GW__INNER__ENVELOPE__INIT;
    env.body_case = GW__INNER__ENVELOPE__BODY_REPLY;
    env.reply = &pb;
    return GwCodec_PackFrame(&env, len);
}

static uint8_t *
frame_cancel(uint64_t id, size_t *len)
{
    Gw__Inner__CallCancel pb = GW__INNER__CALL_CANCEL__INIT;
    pb.id = id;
    Gw__Inner__Envelope env = GW__INNER__ENVELOPE__INIT;
    env.body_case = GW__INNER__ENVELOPE__BODY_CANCEL;
    env.cancel = &pb;
    return GwCodec_PackFrame(&env, len);
}

static uint8_t *
frame_ping(size_t *len)
{
    Gw__Inner__Ping pb = GW__INNER__PING__INIT;
    Gw__Inner__Envelope env = GW__INNER__ENVELOPE__INIT;
    env.body_case = GW__INNER__ENVELOPE__BODY_PING;
    env.ping = &pb;
    return GwCodec_PackFrame(&env, len);
}

static uint8_t *
frame_pong(size_t *len)
{
    Gw__Inner__Pong pb = GW__INNER__PONG__INIT;
    Gw__Inner__Envelope env = GW__INNER__ENVELOPE__INIT;
    env.body_case = GW__INNER__ENVELOPE__BODY_PONG;
    env.pong = &pb;
    return GwCodec_PackFrame(&env, len);
}

uint8_t *
GwCodec_Frame(const GwEnvelope *envelope, size_t *len)
{
    switch (envelope->kind) {
    case GW_ENVELOPE_HELLO:
        return frame_hello(&envelope->u.hello, len);
    case GW_ENVELOPE_PROOF:
        return frame_proof(envelope->u.proof, len);
    case GW_ENVELOPE_CONTROL:
        return GwCodec_FrameControl(envelope->u.control, len);
    case GW_ENVELOPE_CALL:
        return frame_call(&envelope->u.call, len);
    case GW_ENVELOPE_REPLY:
        return frame_reply(&envelope->u.reply, len);
    case GW_ENVELOPE_CANCEL:
        return frame_cancel(envelope->u.cancel, len);
    case GW_ENVELOPE_PING:
        return frame_ping(len);
    case GW_ENVELOPE_PONG:
        return frame_pong(len);
    }
    g_assert_not_reached();
}

static bool
get_ticket(const Gw__Inner__Ticket *from, GwTicket *to)
{
    if (from == NULL || !GwCodec_GetNodeId(from->owner, &to->owner)) {
        return false;
    }
    to->minted_ms = from->minted_ms;
    to->seq = from->seq;
    return true;
}

static bool
get_body(const ProtobufCBinaryData *from, uint8_t **body, uint32_t *len)
{
    if (from->len > GW_BODY_MAX) {
        return false;
    }
    *len = (uint32_t)from->len;
    *body = g_memdup2(from->data, from->len);
    return true;
}

static bool
get_call(const Gw__Inner__CallRequest *pb, GwCallRequest *call)
{
    if (!GwCodec_GetText(pb->service, call->service, GW_NAME_MAX) ||
        !GwCodec_GetText(pb->method, call->method, sizeof(call->method)) ||
        !GwCodec_GetText(pb->path, call->target, GW_TARGET_MAX) ||
        !GwCodec_GetText(pb->content_type, call->content_type,
                         GW_CONTENT_TYPE_MAX) ||
        !get_ticket(pb->ticket, &call->ticket)) {
        return false;
    }
    if (!GwText_IsMethod(call->method) || !GwText_IsTarget(call->target) ||
        !GwText_IsHeaderValue(call->content_type) ||
        pb->deadline_left_ms > GW_DEADLINE_MAX_MS) {
        return false;
    }
    call->id = pb->id;
    call->deadline_left_ms = pb->deadline_left_ms;
    call->to_owner = pb->to_owner;
    call->grant = pb->grant;
    return get_body(&pb->body, &call->body, &call->body_len);
}

static bool
is_reason(uint32_t reason)
{
    return reason == GW_REASON_NONE ||
           strcmp(GwReason_Name((GwReason)reason), "unnumbered") != 0;
}

static bool
get_reply(const Gw__Inner__CallReply *pb, GwCallReply *reply)
{
    if (pb->outcome < GW_OUTCOME_ANSWERED ||
        pb->outcome > GW_OUTCOME_UNKNOWN || !is_reason(pb->reason) ||
        pb->status > 599 || !get_ticket(pb->ticket, &reply->ticket) ||
        !GwCodec_GetText(pb->content_type, reply->content_type,
                         GW_CONTENT_TYPE_MAX) ||
        !GwText_IsHeaderValue(reply->content_type)) {
        return false;
    }
    reply->id = pb->id;
    reply->outcome = (GwOutcome)pb->outcome;
    reply->reason = (GwReason)pb->reason;
    reply->retry_after_ms = pb->retry_after_ms;
    reply->status = pb->status;
    return get_body(&pb->body, &reply->body, &reply->body_len);
}

static bool
get_hello(const Gw__Inner__Hello *pb, GwHello *hello)
{
    if (pb->nonce.len != GW_NONCE_LEN) {
        return false;
    }
    memcpy(hello->nonce, pb->nonce.data, GW_NONCE_LEN);
    hello->region = pb->region;
    hello->domain = pb->domain;
    return GwCodec_GetNodeId(pb->from, &hello->from);
}

static bool
get_proof(const Gw__Inner__Proof *pb, uint8_t *mac)
{
    if (pb->mac.len != GW_MAC_LEN) {
        return false;
    }
    memcpy(mac, pb->mac.data, GW_MAC_LEN);
    return true;
}

static GwResult
get_envelope(const Gw__Inner__Envelope *pb, GwEnvelope *out)
{
    GwResult error = GW_ERR(OUT_OF_BOUNDS);
    bool ok = false;

    out->kind = (GwEnvelopeKind)pb->body_case;
    switch (pb->body_case) {
    case GW__INNER__ENVELOPE__BODY_HELLO:
        ok = get_hello(pb->hello, &out->u.hello);
        break;
    case GW__INNER__ENVELOPE__BODY_PROOF:
        ok = get_proof(pb->proof, out->u.proof);
        break;
    case GW__INNER__ENVELOPE__BODY_CONTROL:
        out->u.control = GwCodec_GetControl(pb->control, &error);
        ok = out->u.control != NULL;
        break;
    case GW__INNER__ENVELOPE__BODY_CALL:
        ok = get_call(pb->call, &out->u.call);
        break;
    case GW__INNER__ENVELOPE__BODY_REPLY:
        ok = get_reply(pb->reply, &out->u.reply);
        break;
    case GW__INNER__ENVELOPE__BODY_CANCEL:
        out->u.cancel = pb->cancel->id;
        ok = true;
        break;
    case GW__INNER__ENVELOPE__BODY_PING:
    case GW__INNER__ENVELOPE__BODY_PONG:
        ok = true;
        break;
    default:
        error = GW_ERR(PARSE);
        break;
    }
    return ok ? 0 : error;
}

GwResult
GwCodec_Parse(const uint8_t *payload, size_t len, GwEnvelope *out)
{
    *out = (GwEnvelope){0};
    Gw__Inner__Envelope *pb = gw__inner__envelope__unpack(NULL, len, payload);
    if (pb == NULL) {
        return GW_ERR(PARSE);
    }
    GwResult r = get_envelope(pb, out);
    gw__inner__envelope__free_unpacked(pb, NULL);
    if (GwResult_IsError(r)) {
        *out = (GwEnvelope){0};
    }
    return r;
}

void
GwEnvelope_Clear(GwEnvelope *envelope)
{
    switch (envelope->kind) {
    case GW_ENVELOPE_CONTROL:
        GwMessage_Free(envelope->u.control);
        break;
    case GW_ENVELOPE_CALL:
        g_free(envelope->u.call.body);
        break;
    case GW_ENVELOPE_REPLY:
        g_free(envelope->u.reply.body);
        break;
    case GW_ENVELOPE_HELLO:
    case GW_ENVELOPE_PROOF:
    case GW_ENVELOPE_CANCEL:
    case GW_ENVELOPE_PING:
    case GW_ENVELOPE_PONG:
        break;
    }
    *envelope = (GwEnvelope){0};
}
