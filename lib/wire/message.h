/* Control messages of the inner protocol, as the decision code handles them:
 * plain values with bounded arrays and no pointers except the configuration
 * text. The codec (wire/codec.h) converts them to and from protobuf and checks
 * every bound when decoding. Relayed calls carry bodies and are handled by the
 * runtime; they are not GwMessages. */
#ifndef GW_WIRE_MESSAGE_H
#define GW_WIRE_MESSAGE_H

#include "config/model.h"

#include <stdbool.h>
#include <stdint.h>

/* Bounds of the arrays in a message. Heartbeats are bounded so that the cost
 * per node doesn't grow with the number of nodes. */
#define GW_UPDATES_MAX 12
#define GW_DIGESTS_MAX 16
#define GW_UNITS_MAX   32
#define GW_DRAINS_MAX  8

/* Identifies an entry: the hash of its instance's name and the nonce of this
 * start. Later starts of an instance have larger nonces. */
typedef struct {
    uint64_t node;
    uint64_t start;
} GwNodeId;

typedef enum {
    GW_MEMBER_ALIVE = 1,
    GW_MEMBER_SUSPECT = 2,
    GW_MEMBER_LEAVING = 3,
    GW_MEMBER_DEAD = 4
} GwMemberState;

/* A membership update. Of two updates for a member, the larger start takes
 * precedence, then the larger incarnation, then the larger state. */
typedef struct {
    GwNodeId id;
    uint32_t incarnation;
    GwMemberState state;
    uint32_t region;                /* hash of the region's name */
    char domain[GW_NAME_MAX];       /* the failure domain's name */
    char name[GW_NAME_MAX];         /* the instance's name */
    char peer_address[GW_ADDR_MAX]; /* of the inner protocol, ip:port */
    char call_address[GW_ADDR_MAX]; /* of HTTP for callers, ip:port */
} GwMemberInfo;

/* Load of one entry for one service, as reported by that entry. */
typedef struct {
    GwNodeId id;
    uint64_t service;    /* hash of the service's name */
    uint32_t free_slots; /* idle slots of the entry that can be lent */
    uint32_t in_flight;
    uint32_t queued;
    uint64_t seq; /* a digest with a larger seq replaces an older one */
} GwDigest;

/* A backend server that was observed draining. */
typedef struct {
    uint64_t backend;
    uint32_t ttl_ms;
} GwDrainHint;

/* Carried by PROBE, ACK and PING_REQ. */
typedef struct {
    uint64_t seq;
    GwNodeId target; /* member to probe, of an indirect probe */
    uint64_t config_version;
    uint32_t update_count;
    uint32_t digest_count;
    uint32_t drain_count;
    GwMemberInfo updates[GW_UPDATES_MAX];
    GwDigest digests[GW_DIGESTS_MAX];
    GwDrainHint drains[GW_DRAINS_MAX];
} GwHeartbeat;

/* A unit: the right to have one request in flight. */
typedef enum {
    GW_UNIT_SLOT = 1,  /* owner: backend id; index: slot number */
    GW_UNIT_SHIFT = 2, /* owner: hash of service, from, to; index: of cap */
    GW_UNIT_LINK = 3   /* owner: hash of from, to; index: of cap */
} GwUnitKind;

typedef struct {
    GwUnitKind kind;
    uint64_t owner;
    uint32_t index;
} GwUnit;

/* Requests idle slots from a peer in the same region, or from a peer in
 * another region the right to send calls there. */
typedef struct {
    uint64_t seq;
    uint64_t service;
    uint32_t from_region; /* hash of the region's name; for grants */
    uint32_t count;
    GwUnitKind kind;
} GwLoanAsk;

/* Lends units. The lender reserves them for term_ms plus a margin; the
 * borrower uses them for term_ms minus a margin, counted from its request, so
 * that they never use a unit at the same time. */
typedef struct {
    uint64_t seq; /* seq of the GwLoanAsk */
    uint64_t loan;
    uint64_t service;
    uint32_t term_ms;
    GwUnitKind kind;
    uint32_t unit_count;
    GwUnit units[GW_UNITS_MAX];
} GwLoanGive;

typedef struct {
    uint64_t loan;
    uint32_t unit_count;
    GwUnit units[GW_UNITS_MAX];
} GwLoanReturn;

/* Hands an idle seat to a peer; sent by an entry that is leaving or has more
 * seats than its share. */
typedef struct {
    uint32_t seat;
    uint64_t claim; /* claim of the sender's row */
    uint64_t row_version;
} GwSeatHandover;

typedef struct {
    uint64_t version;
    uint64_t checksum;
    uint32_t text_len;
    char *text; /* owned by the message */
} GwConfigDoc;

typedef enum {
    GW_MSG_PROBE = 1,
    GW_MSG_ACK = 2,
    GW_MSG_PING_REQ = 3,
    GW_MSG_CONFIG_ASK = 4,
    GW_MSG_CONFIG_DOC = 5,
    GW_MSG_LOAN_ASK = 6,
    GW_MSG_LOAN_GIVE = 7,
    GW_MSG_LOAN_RETURN = 8,
    GW_MSG_SEAT_HANDOVER = 9,
    GW_MSG_SEAT_TAKEN = 10
} GwMessageKind;

typedef struct {
    GwMessageKind kind;
    GwNodeId from;
    union {
        GwHeartbeat heartbeat;   /* PROBE, ACK, PING_REQ */
        uint64_t config_version; /* CONFIG_ASK: the requester's version */
        GwConfigDoc doc;
        GwLoanAsk ask;
        GwLoanGive give;
        GwLoanReturn giveback;
        GwSeatHandover seat; /* HANDOVER, TAKEN */
    } u;
} GwMessage;

bool GwNodeId_Equal(GwNodeId a, GwNodeId b);
GwMessage *GwMessage_Create(GwMessageKind kind, GwNodeId from);
GwMessage *GwMessage_Copy(const GwMessage *msg);
void GwMessage_Free(GwMessage *msg);

#endif
