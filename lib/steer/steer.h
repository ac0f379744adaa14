/* Steering: chooses where each call runs, on a backend server of this
 * region or through a peer entry of another region, within slots, shift
 * caps and link limits.
 *
 * The request machine (entry/calls.h) calls GwSteer_Pick() for each call
 * that is due, starts the returned attempt, and reports its end with
 * GwSteer_Done(). A unit is in use from Pick to Done, and after an UNKNOWN
 * end until the call's deadline, since the backend server may still run the
 * call. */
#ifndef GW_STEER_STEER_H
#define GW_STEER_STEER_H

#include "member/member.h"
#include "steer/seats.h"

typedef struct GwSteer_s GwSteer;

typedef enum {
    GW_POLICY_SLOTS = 0,       /* hard slot shares by seat, lent when idle */
    GW_POLICY_TWO_CHOICES = 1, /* by in-flight calls and reports */
    GW_POLICY_SUBSET = 2       /* subset of the servers, fewest calls first */
} GwPolicyKind;

typedef enum {
    GW_PICK_WAIT = 0, /* no unit is free; retry after the next change */
    GW_PICK_BACKEND = 1,
    GW_PICK_PEER = 2,  /* a peer entry of another region, on a grant */
    GW_PICK_REFUSE = 3 /* no unit can become free for the call; see reason */
} GwPickKind;

typedef struct {
    GwPickKind kind;
    GwReason reason;         /* REFUSE */
    uint32_t retry_after_ms; /* REFUSE */
    uint32_t use;            /* BACKEND, PEER: handle for GwSteer_Done */
    uint64_t backend;
    char address[GW_ADDR_MAX];
    GwNodeId peer;
    uint64_t grant;
} GwPick;

/* The properties of a call that the choice depends on. */
typedef struct {
    uint32_t service; /* index in the configuration */
    bool idempotent;
    bool relayed;   /* relayed by a peer: runs here or is refused */
    uint64_t grant; /* grant that the call was relayed on; 0 none */
    GwNodeId relay_from;
    int64_t deadline_us;
    uint64_t avoid_backend; /* server of an earlier attempt; 0 none */
} GwPickRequest;

GwSteer *GwSteer_Create(const GwNodeParams *params);
void GwSteer_Free(GwSteer *s);
/* Applies a new configuration. Units whose cap shrank or whose server was
 * removed are dropped when they become idle. `config` must stay valid until
 * the next call. */
void GwSteer_Configure(GwSteer *s, int64_t now_us, const GwConfig *config);

/* Periodic work: expiry, loans, grants, slow start. `queued[service]` is
 * the number of waiting calls of each service, which determines how much is
 * borrowed. Returns true when units became free that a waiting call may
 * use. */
bool GwSteer_Tick(GwSteer *s, int64_t now_us, const GwMembers *members,
                  GwSeats *seats, const uint32_t *queued, GwActions *out);
/* Requests slots from peers for the waiting calls, between ticks. */
void GwSteer_RequestSlots(GwSteer *s, int64_t now_us, const GwMembers *members,
                          GwSeats *seats, const uint32_t *queued,
                          GwActions *out);
/* Handles LOAN_ASK, LOAN_GIVE and LOAN_RETURN. Returns true when units
 * became free here. */
bool GwSteer_Receive(GwSteer *s, int64_t now_us, const GwMessage *msg,
                     const GwMembers *members, GwSeats *seats,
                     const uint32_t *queued, GwActions *out);

void GwSteer_Pick(GwSteer *s, int64_t now_us, const GwPickRequest *request,
                  const GwMembers *members, GwSeats *seats, GwPick *out);
/* Reports the end of an attempt that GwSteer_Pick() returned.
 * `hold_until_us` is when the backend server has certainly stopped running
 * the call: the call's deadline after an UNKNOWN end, else now_us. */
void GwSteer_Done(GwSteer *s, int64_t now_us, uint32_t use,
                  const GwAttemptEvent *end, int64_t hold_until_us);
void GwSteer_ApplyHealth(GwSteer *s, int64_t now_us,
                         const GwHealthEvent *health);
void GwSteer_ApplyDrainHint(GwSteer *s, int64_t now_us, uint64_t backend,
                            uint32_t ttl_ms);

/* Fills in the digests and drain hints of a heartbeat. */
void GwSteer_FillHeartbeat(const GwSteer *s, int64_t now_us, GwNodeId self,
                           GwSeats *seats, const uint32_t *queued,
                           GwPiggyback *piggyback);
/* Returns all loans; true once nothing is in flight, lent or borrowed. */
bool GwSteer_ReturnAll(GwSteer *s, int64_t now_us, const GwMembers *members,
                       GwActions *out);
/* False when the service has no place in this region, or the place or all
 * of its servers are draining. */
bool GwSteer_CanServe(const GwSteer *s, int64_t now_us, uint32_t service);
uint32_t GwSteer_InFlight(const GwSteer *s, uint32_t service);

#endif
