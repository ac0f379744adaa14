/* Codec of control messages, which the decision code of entries exchanges. */
#include "wire/codec_internal.h"

#include <glib.h>
#include <string.h>

/* Storage for all nested messages of a heartbeat, so that packing allocates
 * only the frame. */
typedef struct {
    Gw__Inner__MemberInfo updates[GW_UPDATES_MAX];
    Gw__Inner__NodeId update_ids[GW_UPDATES_MAX];
    Gw__Inner__MemberInfo *update_refs[GW_UPDATES_MAX];
    Gw__Inner__Digest digests[GW_DIGESTS_MAX];
    Gw__Inner__NodeId digest_ids[GW_DIGESTS_MAX];
    Gw__Inner__Digest *digest_refs[GW_DIGESTS_MAX];
    Gw__Inner__DrainHint drains[GW_DRAINS_MAX];
    Gw__Inner__DrainHint *drain_refs[GW_DRAINS_MAX];
    Gw__Inner__NodeId target;
} HeartbeatStorage;

typedef struct {
    Gw__Inner__Unit units[GW_UNITS_MAX];
    Gw__Inner__Unit *refs[GW_UNITS_MAX];
} UnitStorage;

static void
put_update(const GwMemberInfo *from, Gw__Inner__MemberInfo *to,
           Gw__Inner__NodeId *id)
{
    *id = GwCodec_PutNodeId(from->id);
    gw__inner__member_info__init(to);
    to->id = id;
    to->incarnation = from->incarnation;
    to->state = from->state;
    to->region = from->region;
    to->domain = (char *)from->domain;
    to->name = (char *)from->name;
    to->peer_address = (char *)from->peer_address;
    to->call_address = (char *)from->call_address;
}

static void
put_digest(const GwDigest *from, Gw__Inner__Digest *to, Gw__Inner__NodeId *id)
{
    *id = GwCodec_PutNodeId(from->id);
    gw__inner__digest__init(to);
    to->id = id;
    to->service = from->service;
    to->free_slots = from->free_slots;
    to->in_flight = from->in_flight;
    to->queued = from->queued;
    to->seq = from->seq;
}

static void
put_heartbeat(const GwHeartbeat *h, Gw__Inner__Heartbeat *pb,
              HeartbeatStorage *storage)
{
    for (uint32_t i = 0; i < h->update_count; i++) {
        put_update(&h->updates[i], &storage->updates[i],
                   &storage->update_ids[i]);
        storage->update_refs[i] = &storage->updates[i];
    }
    for (uint32_t i = 0; i < h->digest_count; i++) {
        put_digest(&h->digests[i], &storage->digests[i],
                   &storage->digest_ids[i]);
        storage->digest_refs[i] = &storage->digests[i];
    }
    for (uint32_t i = 0; i < h->drain_count; i++) {
        gw__inner__drain_hint__init(&storage->drains[i]);
        storage->drains[i].backend = h->drains[i].backend;
        storage->drains[i].ttl_ms = h->drains[i].ttl_ms;
        storage->drain_refs[i] = &storage->drains[i];
    }
    storage->target = GwCodec_PutNodeId(h->target);
    pb->seq = h->seq;
    pb->target = &storage->target;
    pb->config_version = h->config_version;
    pb->n_updates = h->update_count;
    pb->updates = storage->update_refs;
    pb->n_digests = h->digest_count;
    pb->digests = storage->digest_refs;
    pb->n_drains = h->drain_count;
    pb->drains = storage->drain_refs;
}

static uint8_t *
frame_control(Gw__Inner__Control *pb, const GwMessage *msg, size_t *len)
{
    Gw__Inner__NodeId from = GwCodec_PutNodeId(msg->from);
    Gw__Inner__Envelope env = GW__INNER__ENVELOPE__INIT;
    pb->kind = msg->kind;
    pb->from = &from;
    env.body_case = GW__INNER__ENVELOPE__BODY_CONTROL;
    env.control = pb;
    return GwCodec_PackFrame(&env, len);
}

static uint8_t *
frame_heartbeat(const GwMessage *msg, size_t *len)
{
    HeartbeatStorage storage;
    Gw__Inner__Heartbeat pb = GW__INNER__HEARTBEAT__INIT;
    Gw__Inner__Control control = GW__INNER__CONTROL__INIT;
    put_heartbeat(&msg->u.heartbeat, &pb, &storage);
    control.body_case = GW__INNER__CONTROL__BODY_HEARTBEAT;
    control.heartbeat = &pb;
    return frame_control(&control, msg, len);
}

static uint8_t *
frame_config_ask(const GwMessage *msg, size_t *len)
{
    Gw__Inner__ConfigAsk pb = GW__INNER__CONFIG_ASK__INIT;
    Gw__Inner__Control control = GW__INNER__CONTROL__INIT;
    pb.version = msg->u.config_version;
    control.body_case = GW__INNER__CONTROL__BODY_CONFIG_ASK;
    control.config_ask = &pb;
    return frame_control(&control, msg, len);
}

static uint8_t *
frame_doc(const GwMessage *msg, size_t *len)
{
    Gw__Inner__ConfigDoc pb = GW__INNER__CONFIG_DOC__INIT;
    Gw__Inner__Control control = GW__INNER__CONTROL__INIT;
    pb.version = msg->u.doc.version;
    pb.checksum = msg->u.doc.checksum;
    pb.text.len = msg->u.doc.text_len;
    pb.text.data = (uint8_t *)msg->u.doc.text;
    control.body_case = GW__INNER__CONTROL__BODY_DOC;
    control.doc = &pb;
    return frame_control(&control, msg, len);
}

static uint8_t *
frame_ask(const GwMessage *msg, size_t *len)
{
    const GwLoanAsk *ask = &msg->u.ask;
    Gw__Inner__LoanAsk pb = GW__INNER__LOAN_ASK__INIT;
    Gw__Inner__Control control = GW__INNER__CONTROL__INIT;
    pb.seq = ask->seq;
    pb.service = ask->service;
    pb.from_region = ask->from_region;
    pb.count = ask->count;
    pb.kind = ask->kind;
    control.body_case = GW__INNER__CONTROL__BODY_ASK;
    control.ask = &pb;
    return frame_control(&control, msg, len);
}

static void
put_units(const GwUnit *units, uint32_t count, UnitStorage *storage)
{
    for (uint32_t i = 0; i < count; i++) {
        gw__inner__unit__init(&storage->units[i]);
        storage->units[i].kind = units[i].kind;
        storage->units[i].owner = units[i].owner;
        storage->units[i].index = units[i].index;
        storage->refs[i] = &storage->units[i];
    }
}

static uint8_t *
frame_give(const GwMessage *msg, size_t *len)
{
    const GwLoanGive *give = &msg->u.give;
    UnitStorage storage;
    Gw__Inner__LoanGive pb = GW__INNER__LOAN_GIVE__INIT;
    Gw__Inner__Control control = GW__INNER__CONTROL__INIT;
    put_units(give->units, give->unit_count, &storage);
    pb.seq = give->seq;
    pb.loan = give->loan;
    pb.service = give->service;
    pb.term_ms = give->term_ms;
    pb.kind = give->kind;
    pb.n_units = give->unit_count;
    pb.units = storage.refs;
    control.body_case = GW__INNER__CONTROL__BODY_GIVE;
    control.give = &pb;
    return frame_control(&control, msg, len);
}

static uint8_t *
frame_return(const GwMessage *msg, size_t *len)
{
    const GwLoanReturn *giveback = &msg->u.giveback;
    UnitStorage storage;
    Gw__Inner__LoanReturn pb = GW__INNER__LOAN_RETURN__INIT;
    Gw__Inner__Control control = GW__INNER__CONTROL__INIT;
    put_units(giveback->units, giveback->unit_count, &storage);
    pb.loan = giveback->loan;
    pb.n_units = giveback->unit_count;
    pb.units = storage.refs;
    control.body_case = GW__INNER__CONTROL__BODY_GIVEBACK;
    control.giveback = &pb;
    return frame_control(&control, msg, len);
}

static uint8_t *
frame_seat(const GwMessage *msg, size_t *len)
{
    Gw__Inner__Seat pb = GW__INNER__SEAT__INIT;
    Gw__Inner__Control control = GW__INNER__CONTROL__INIT;
    pb.seat = msg->u.seat.seat;
    pb.claim = msg->u.seat.claim;
    pb.row_version = msg->u.seat.row_version;
    control.body_case = GW__INNER__CONTROL__BODY_SEAT;
    control.seat = &pb;
    return frame_control(&control, msg, len);
}

uint8_t *
GwCodec_FrameControl(const GwMessage *msg, size_t *len)
{
    switch (msg->kind) {
    case GW_MSG_PROBE:
    case GW_MSG_ACK:
    case GW_MSG_PING_REQ:
        return frame_heartbeat(msg, len);
    case GW_MSG_CONFIG_ASK:
        return frame_config_ask(msg, len);
    case GW_MSG_CONFIG_DOC:
        return frame_doc(msg, len);
    case GW_MSG_LOAN_ASK:
        return frame_ask(msg, len);
    case GW_MSG_LOAN_GIVE:
        return frame_give(msg, len);
    case GW_MSG_LOAN_RETURN:
        return frame_return(msg, len);
    case GW_MSG_SEAT_HANDOVER:
    case GW_MSG_SEAT_TAKEN:
        return frame_seat(msg, len);
    }
    g_assert_not_reached();
}

static bool
get_update(const Gw__Inner__MemberInfo *from, GwMemberInfo *to)
{
    if (!GwCodec_GetNodeId(from->id, &to->id) ||
        from->state < GW_MEMBER_ALIVE || from->state > GW_MEMBER_DEAD) {
        return false;
    }
    to->incarnation = from->incarnation;
    to->state = (GwMemberState)from->state;
    to->region = from->region;
    return GwCodec_GetText(from->domain, to->domain, GW_NAME_MAX) &&
           GwCodec_GetText(from->name, to->name, GW_NAME_MAX) &&
           GwCodec_GetText(from->peer_address, to->peer_address,
                           GW_ADDR_MAX) &&
           GwCodec_GetText(from->call_address, to->call_address, GW_ADDR_MAX);
}

static bool
get_digest(const Gw__Inner__Digest *from, GwDigest *to)
{
    *to = (GwDigest){
        .service = from->service,
        .free_slots = from->free_slots,
        .in_flight = from->in_flight,
        .queued = from->queued,
        .seq = from->seq,
    };
    return GwCodec_GetNodeId(from->id, &to->id);
}

static bool
get_heartbeat(const Gw__Inner__Heartbeat *pb, GwHeartbeat *h)
{
    if (pb->n_updates > GW_UPDATES_MAX || pb->n_digests > GW_DIGESTS_MAX ||
        pb->n_drains > GW_DRAINS_MAX ||
        !GwCodec_GetNodeId(pb->target, &h->target)) {
        return false;
    }
    h->seq = pb->seq;
    h->config_version = pb->config_version;
    h->update_count = (uint32_t)pb->n_updates;
    h->digest_count = (uint32_t)pb->n_digests;
    h->drain_count = (uint32_t)pb->n_drains;
    for (size_t i = 0; i < pb->n_updates; i++) {
        if (!get_update(pb->updates[i], &h->updates[i])) {
            return false;
        }
    }
    for (size_t i = 0; i < pb->n_digests; i++) {
        if (!get_digest(pb->digests[i], &h->digests[i])) {
            return false;
        }
    }
    for (size_t i = 0; i < pb->n_drains; i++) {
        h->drains[i].backend = pb->drains[i]->backend;
        h->drains[i].ttl_ms = pb->drains[i]->ttl_ms;
    }
    return true;
}

static bool
get_doc(const Gw__Inner__ConfigDoc *pb, GwConfigDoc *doc)
{
    if (pb->text.len > GW_CONFIG_DOC_MAX) {
        return false;
    }
    doc->version = pb->version;
    doc->checksum = pb->checksum;
    doc->text_len = (uint32_t)pb->text.len;
    const char *text = pb->text.data == NULL ? "" : (char *)pb->text.data;
    doc->text = g_strndup(text, pb->text.len);
    return true;
}

static bool
is_unit_kind(uint32_t kind)
{
    return kind >= GW_UNIT_SLOT && kind <= GW_UNIT_LINK;
}

static bool
get_ask(const Gw__Inner__LoanAsk *pb, GwLoanAsk *ask)
{
    *ask = (GwLoanAsk){
        .seq = pb->seq,
        .service = pb->service,
        .from_region = pb->from_region,
        .count = pb->count,
        .kind = (GwUnitKind)pb->kind,
    };
    return is_unit_kind(pb->kind);
}

static bool
get_units(size_t count, Gw__Inner__Unit *const *from, GwUnit *to)
{
    if (count > GW_UNITS_MAX) {
        return false;
    }
    for (size_t i = 0; i < count; i++) {
        if (!is_unit_kind(from[i]->kind)) {
            return false;
        }
        to[i].kind = (GwUnitKind)from[i]->kind;
        to[i].owner = from[i]->owner;
        to[i].index = from[i]->index;
    }
    return true;
}

static bool
get_give(const Gw__Inner__LoanGive *pb, GwLoanGive *give)
{
    give->seq = pb->seq;
    give->loan = pb->loan;
    give->service = pb->service;
    give->term_ms = pb->term_ms;
    give->kind = (GwUnitKind)pb->kind;
    give->unit_count = (uint32_t)pb->n_units;
    return is_unit_kind(pb->kind) &&
           get_units(pb->n_units, pb->units, give->units);
}

static bool
get_return(const Gw__Inner__LoanReturn *pb, GwLoanReturn *giveback)
{
    giveback->loan = pb->loan;
    giveback->unit_count = (uint32_t)pb->n_units;
    return get_units(pb->n_units, pb->units, giveback->units);
}

/* The body that a message kind must have. A mismatch, such as a PROBE with a
 * document, must not reach code that reads another member of the union. */
static Gw__Inner__Control__BodyCase
body_of_kind(uint32_t kind)
{
    switch (kind) {
    case GW_MSG_PROBE:
    case GW_MSG_ACK:
    case GW_MSG_PING_REQ:
        return GW__INNER__CONTROL__BODY_HEARTBEAT;
    case GW_MSG_CONFIG_ASK:
        return GW__INNER__CONTROL__BODY_CONFIG_ASK;
    case GW_MSG_CONFIG_DOC:
        return GW__INNER__CONTROL__BODY_DOC;
    case GW_MSG_LOAN_ASK:
        return GW__INNER__CONTROL__BODY_ASK;
    case GW_MSG_LOAN_GIVE:
        return GW__INNER__CONTROL__BODY_GIVE;
    case GW_MSG_LOAN_RETURN:
        return GW__INNER__CONTROL__BODY_GIVEBACK;
    case GW_MSG_SEAT_HANDOVER:
    case GW_MSG_SEAT_TAKEN:
        return GW__INNER__CONTROL__BODY_SEAT;
    default:
        return GW__INNER__CONTROL__BODY__NOT_SET;
    }
}

static bool
get_body(const Gw__Inner__Control *from, GwMessage *msg)
{
    switch (from->body_case) {
    case GW__INNER__CONTROL__BODY_HEARTBEAT:
        return get_heartbeat(from->heartbeat, &msg->u.heartbeat);
    case GW__INNER__CONTROL__BODY_CONFIG_ASK:
        msg->u.config_version = from->config_ask->version;
        return true;
    case GW__INNER__CONTROL__BODY_DOC:
        return get_doc(from->doc, &msg->u.doc);
    case GW__INNER__CONTROL__BODY_ASK:
        return get_ask(from->ask, &msg->u.ask);
    case GW__INNER__CONTROL__BODY_GIVE:
        return get_give(from->give, &msg->u.give);
    case GW__INNER__CONTROL__BODY_GIVEBACK:
        return get_return(from->giveback, &msg->u.giveback);
    case GW__INNER__CONTROL__BODY_SEAT:
        msg->u.seat.seat = from->seat->seat;
        msg->u.seat.claim = from->seat->claim;
        msg->u.seat.row_version = from->seat->row_version;
        return true;
    default:
        return false;
    }
}

GwMessage *
GwCodec_GetControl(const Gw__Inner__Control *from, GwResult *error)
{
    GwNodeId id;
    if (body_of_kind(from->kind) == GW__INNER__CONTROL__BODY__NOT_SET ||
        body_of_kind(from->kind) != from->body_case ||
        !GwCodec_GetNodeId(from->from, &id)) {
        *error = GW_ERR(PARSE);
        return NULL;
    }
    GwMessage *msg = GwMessage_Create((GwMessageKind)from->kind, id);
    if (!get_body(from, msg)) {
        GwMessage_Free(msg);
        *error = GW_ERR(OUT_OF_BOUNDS);
        return NULL;
    }
    return msg;
}
