/* Codec, frames and handshake of the inner protocol: messages survive a round
 * trip, and input that exceeds a bound is rejected whole. */
#include "wire/codec.h"
#include "wire/codec_internal.h"
#include "wire/frame.h"
#include "wire/handshake.h"

#include <criterion/criterion.h>
#include <string.h>

static const GwNodeId self = {.node = 7, .start = 9};

static GwMessage *
round_trip(GwMessage *msg)
{
    GwEnvelope in = {.kind = GW_ENVELOPE_CONTROL, .u.control = msg};
    GwEnvelope out;
    size_t len;
    uint8_t *frame = GwCodec_Frame(&in, &len);
    GwResult r = GwCodec_Parse(frame + GW_FRAME_HEADER_LEN,
                               len - GW_FRAME_HEADER_LEN, &out);
    cr_assert_eq(r, 0, "kind %d: %d", msg->kind, (int)r);
    cr_assert_eq(out.kind, GW_ENVELOPE_CONTROL);
    g_free(frame);
    return out.u.control;
}

static void
fill_heartbeat(GwHeartbeat *h)
{
    h->seq = 5;
    h->target = self;
    h->config_version = 3;
    h->update_count = GW_UPDATES_MAX;
    h->digest_count = GW_DIGESTS_MAX;
    h->drain_count = GW_DRAINS_MAX;
    for (uint32_t i = 0; i < GW_UPDATES_MAX; i++) {
        h->updates[i] = (GwMemberInfo){
            .id = {i, i + 1},
            .incarnation = i,
            .state = GW_MEMBER_LEAVING,
            .region = 0xffffffff,
            .name = "hn-1",
            .peer_address = "127.0.0.1:1",
            .call_address = "127.0.0.1:2",
        };
    }
    for (uint32_t i = 0; i < GW_DIGESTS_MAX; i++) {
        h->digests[i] = (GwDigest){.id = self, .service = i, .seq = i};
    }
    for (uint32_t i = 0; i < GW_DRAINS_MAX; i++) {
        h->drains[i] = (GwDrainHint){.backend = i, .ttl_ms = 10};
    }
}

static void
fill_message(GwMessage *msg)
{
    switch (msg->kind) {
    case GW_MSG_PROBE:
    case GW_MSG_ACK:
    case GW_MSG_PING_REQ:
        fill_heartbeat(&msg->u.heartbeat);
        break;
    case GW_MSG_CONFIG_ASK:
        msg->u.config_version = 12;
        break;
    case GW_MSG_CONFIG_DOC:
        msg->u.doc = (GwConfigDoc){1, 2, 3, g_strdup("{ }")};
        break;
    case GW_MSG_LOAN_ASK:
        msg->u.ask = (GwLoanAsk){1, 2, 3, 4, GW_UNIT_LINK};
        break;
    case GW_MSG_LOAN_GIVE:
        msg->u.give = (GwLoanGive){.seq = 1,
                                   .loan = 2,
                                   .term_ms = 3,
                                   .kind = GW_UNIT_SLOT,
                                   .unit_count = 1,
                                   .units = {{GW_UNIT_SHIFT, 8, 9}}};
        break;
    case GW_MSG_LOAN_RETURN:
        msg->u.giveback = (GwLoanReturn){
            .loan = 2, .unit_count = 1, .units = {{GW_UNIT_SLOT, 8, 9}}};
        break;
    case GW_MSG_SEAT_HANDOVER:
    case GW_MSG_SEAT_TAKEN:
        msg->u.seat = (GwSeatHandover){1, 2, 3};
        break;
    }
}

Test(codec, every_kind_survives_a_round_trip)
{
    for (int kind = GW_MSG_PROBE; kind <= GW_MSG_SEAT_TAKEN; kind++) {
        GwMessage *msg = GwMessage_Create((GwMessageKind)kind, self);
        fill_message(msg);
        GwMessage *back = round_trip(msg);
        if (kind == GW_MSG_CONFIG_DOC) {
            cr_expect_str_eq(back->u.doc.text, "{ }");
            g_free(msg->u.doc.text);
            msg->u.doc.text = back->u.doc.text;
        }
        cr_expect(memcmp(msg, back, sizeof(*msg)) == 0, "kind %d", kind);
        if (kind == GW_MSG_CONFIG_DOC) {
            msg->u.doc.text = NULL;
        }
        GwMessage_Free(msg);
        GwMessage_Free(back);
    }
}

static GwCallRequest
sample_call(void)
{
    return (GwCallRequest){
        .id = 1,
        .service = "lich-hen",
        .method = "POST",
        .target = "/slots?day=1",
        .ticket = {self, 4, 5},
        .deadline_left_ms = 100,
        .content_type = "text/plain",
        .body_len = 2,
        .body = (uint8_t *)"hi",
    };
}

static GwResult
parse_call(const GwCallRequest *call)
{
    GwEnvelope in = {.kind = GW_ENVELOPE_CALL, .u.call = *call};
    GwEnvelope out;
    size_t len;
    uint8_t *frame = GwCodec_Frame(&in, &len);
    GwResult r = GwCodec_Parse(frame + GW_FRAME_HEADER_LEN,
                               len - GW_FRAME_HEADER_LEN, &out);
    g_free(frame);
    GwEnvelope_Clear(&out);
    return r;
}

/* A relayed call becomes an HTTP request to a backend server: a line break or
 * a space in it would let the peer inject a second request. */
Test(codec, calls_that_exceed_a_bound_are_rejected)
{
    static const struct {
        const char *method;
        const char *target;
        const char *content_type;
        uint32_t body_len;
        bool is_valid;
    } cases[] = {
        {"POST", "/slots?day=1", "text/plain", 2, true},
        {"post", "/slots", "", 0, false},
        {"", "/slots", "", 0, false},
        {"POST", "slots", "", 0, false},
        {"POST", "/a b", "", 0, false},
        {"POST", "/a\r\nX: 1", "", 0, false},
        {"POST", "/a", "text\r\nX: 1", 0, false},
        {"POST", "/a", "", GW_BODY_MAX + 1, false},
        {"POST", "/a", "", GW_BODY_MAX, true},
    };
    uint8_t *body = g_malloc0(GW_BODY_MAX + 1);

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GwCallRequest call = sample_call();
        g_strlcpy(call.method, cases[i].method, sizeof(call.method));
        g_strlcpy(call.target, cases[i].target, sizeof(call.target));
        g_strlcpy(call.content_type, cases[i].content_type,
                  sizeof(call.content_type));
        call.body = body;
        call.body_len = cases[i].body_len;
        GwResult r = parse_call(&call);
        cr_expect_eq(r, cases[i].is_valid ? 0 : GW_ERR(OUT_OF_BOUNDS),
                     "case %zu", i);
    }
    g_free(body);
}

/* A message with the body of another kind would be read through the wrong
 * member of the union. */
Test(codec, kind_and_body_must_agree)
{
    Gw__Inner__ConfigAsk ask = GW__INNER__CONFIG_ASK__INIT;
    Gw__Inner__NodeId from = GW__INNER__NODE_ID__INIT;
    Gw__Inner__Control control = GW__INNER__CONTROL__INIT;
    GwResult error = 0;

    control.kind = GW_MSG_CONFIG_DOC;
    control.from = &from;
    control.body_case = GW__INNER__CONTROL__BODY_CONFIG_ASK;
    control.config_ask = &ask;
    cr_expect_null(GwCodec_GetControl(&control, &error));
    cr_expect_eq(error, GW_ERR(PARSE));
}

/* Frames are decoded whole and in order wherever the received bytes are
 * split. */
Test(frame, frames_may_be_split_anywhere)
{
    uint8_t bytes[2 * GW_FRAME_HEADER_LEN + 8];
    GwFrame_WriteHeader(bytes, 3);
    memcpy(bytes + 4, "abc", 3);
    GwFrame_WriteHeader(bytes + 7, 5);
    memcpy(bytes + 11, "defgh", 5);

    for (size_t cut = 0; cut <= sizeof(bytes); cut++) {
        GwFrameDecoder d = {0};
        GString *seen = g_string_new(NULL);
        const uint8_t *payload;
        uint32_t len;
        GwFrame_Feed(&d, bytes, cut);
        while (GwFrame_Next(&d, &payload, &len) == 1) {
            g_string_append_len(seen, (const char *)payload, len);
        }
        GwFrame_Feed(&d, bytes + cut, sizeof(bytes) - cut);
        while (GwFrame_Next(&d, &payload, &len) == 1) {
            g_string_append_len(seen, (const char *)payload, len);
        }
        cr_expect_str_eq(seen->str, "abcdefgh", "cut at %zu", cut);
        g_string_free(seen, TRUE);
        GwFrame_Free(&d);
    }
}

Test(frame, too_large_a_length_is_rejected_at_once)
{
    GwFrameDecoder d = {0};
    uint8_t head[GW_FRAME_HEADER_LEN];
    const uint8_t *payload;
    uint32_t len;

    GwFrame_WriteHeader(head, GW_FRAME_MAX + 1);
    GwFrame_Feed(&d, head, sizeof(head));
    cr_expect_eq(GwFrame_Next(&d, &payload, &len), GW_ERR(TOO_LARGE));
    GwFrame_Free(&d);
}

/* An attacker who recorded a proof must not be able to replay it on another
 * connection, with other nonces, or as the proof of the other side. */
Test(handshake, proof_is_bound_to_key_nonces_and_role)
{
    GwKey key = {(const uint8_t *)"0123456789abcdef", 16};
    GwKey other_key = {(const uint8_t *)"0123456789abcdeX", 16};
    GwHello a = {.nonce = {1}, .from = {1, 1}};
    GwHello b = {.nonce = {2}, .from = {2, 1}};
    GwHello later = {.nonce = {3}, .from = {2, 1}};
    uint8_t mac[GW_MAC_LEN];

    GwHandshake_ComputeProof(key, GW_ROLE_CONNECTOR, &a, &b, mac);
    cr_expect(GwHandshake_VerifyProof(key, GW_ROLE_CONNECTOR, &a, &b, mac));
    cr_expect_not(GwHandshake_VerifyProof(key, GW_ROLE_ACCEPTOR, &a, &b, mac));
    cr_expect_not(
        GwHandshake_VerifyProof(key, GW_ROLE_CONNECTOR, &a, &later, mac));
    cr_expect_not(
        GwHandshake_VerifyProof(key, GW_ROLE_CONNECTOR, &b, &a, mac));
    cr_expect_not(
        GwHandshake_VerifyProof(other_key, GW_ROLE_CONNECTOR, &a, &b, mac));
}
