/* Where a call runs: choice of backend server in this region, or of a peer
 * entry in another one, within slots, shift caps and link limits.
 *
 * The request machine (entry/calls.h) asks GwSteer_Pick for a call that is
 * due, starts the attempt it names, and reports the end with GwSteer_Done.
 * A unit is in use from Pick to Done, and after an UNKNOWN end until the
 * call's deadline: the backend server may still be running it. */
#ifndef GW_STEER_STEER_H
#define GW_STEER_STEER_H

#include "member/member.h"
#include "steer/seats.h"

typedef struct GwSteer_s GwSteer;

typedef enum {
    GW_POLICY_SLOTS = 0, /* hard slot shares by seat, lent when idle */
    GW_POLICY_TWO = 1,   /* power of two choices on in-flight plus reports */
    GW_POLICY_SUBSET = 2 /* a subset of the servers per entry, least busy */
} GwPolicyKind;

typedef enum {
    GW_PICK_WAIT = 0, /* nothing free now; ask again after the next change */
    GW_PICK_BACKEND = 1,
    GW_PICK_PEER = 2,  /* an entry of another region, on a grant */
    GW_PICK_REFUSE = 3 /* nothing can carry it: no place, all down */
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

/* One call as the choice sees it. */
typedef struct {
    uint32_t service; /* index in the configuration */
    bool idempotent;
    bool relayed;   /* must run here or be refused */
    uint64_t grant; /* when it came on a grant */
    GwNodeId relay_from;
    int64_t deadline_us;
    uint64_t avoid_backend; /* a server an earlier attempt used; 0 none */
} GwPickAsk;

GwSteer *GwSteer_Create(const GwNodeParams *params);
void GwSteer_Free(GwSteer *s);
/* A new configuration: units whose cap or server went are dropped as they
 * come free. `config` stays valid until the next call. */
void GwSteer_Configure(GwSteer *s, int64_t now_us, const GwConfig *config);

/* Ageing, loans, grants, slow start. `queued[service]` is how many calls of
 * each service wait: what is to be borrowed. Returns true when something
 * came free that a waiting call could use. */
bool GwSteer_Tick(GwSteer *s, int64_t now_us, const GwMembers *members,
                  GwSeats *seats, const uint32_t *queued, GwActions *out);
/* Between ticks: asks for slots where calls wait. */
void GwSteer_Borrow(GwSteer *s, int64_t now_us, const GwMembers *members,
                    GwSeats *seats, const uint32_t *queued, GwActions *out);
/* LOAN_ASK, LOAN_GIVE, LOAN_RETURN. Returns true when units came in. */
bool GwSteer_Receive(GwSteer *s, int64_t now_us, const GwMessage *msg,
                     const GwMembers *members, GwSeats *seats,
                     const uint32_t *queued, GwActions *out);

void GwSteer_Pick(GwSteer *s, int64_t now_us, const GwPickAsk *ask,
                  const GwMembers *members, GwSeats *seats, GwPick *out);
/* The end of what Pick gave. `hold_until_us` is when the backend server has
 * surely stopped (the deadline) after an UNKNOWN end; else now_us. */
void GwSteer_Done(GwSteer *s, int64_t now_us, uint32_t use,
                  const GwAttemptEvent *end, int64_t hold_until_us);
void GwSteer_Health(GwSteer *s, int64_t now_us, const GwHealthEvent *health);
void GwSteer_DrainHint(GwSteer *s, int64_t now_us, uint64_t backend,
                       uint32_t ttl_ms);

/* Fills digests and drain hints of the heartbeat. */
void GwSteer_Cargo(const GwSteer *s, int64_t now_us, GwNodeId self,
                   GwSeats *seats, const uint32_t *queued, GwCargo *cargo);
/* Gives loans back; true once nothing is in flight, lent or borrowed. */
bool GwSteer_Leave(GwSteer *s, int64_t now_us, const GwMembers *members,
                   GwActions *out);
/* A service whose local place carries no calls now: no place, drained. */
bool GwSteer_CanServe(const GwSteer *s, int64_t now_us, uint32_t service);
uint32_t GwSteer_InFlight(const GwSteer *s, uint32_t service);

#endif
