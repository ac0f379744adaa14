/* Private to lib/member: member records and the member table. */
#ifndef GW_MEMBER_MEMBER_INTERNAL_H
#define GW_MEMBER_MEMBER_INTERNAL_H

#include "common/log_events.h"
#include "common/rng.h"
#include "member/member.h"

#include <inttypes.h>

#ifndef GW_MUTANT
#define GW_MUTANT 0
#endif

/* Records in the table, tombstones included. */
#define GW_RECORDS_MAX (2 * GW_INSTANCE_LIST_MAX)
/* Bound on the sends of one update: 3 * log2(n) is below it for every
 * possible number of members. */
#define GW_UPDATE_SENDS_MAX 40
/* Members of one other region whose digests are stored. */
#define GW_FOREIGN_DIGESTS_MAX 4
#define GW_RELAYS_MAX          32
/* Times from death until a member becomes a tombstone, and until its record is
 * removed. */
#define GW_DEAD_VISIBLE_US (120 * 1000000LL)
#define GW_TOMBSTONE_US    (3600 * 1000000LL)
#define GW_HEAL_PERIOD_US  (3 * 1000000LL)
#define GW_SWEEP_PERIOD_US (5 * 1000000LL)

typedef struct {
    GwMember pub;               /* the part that other modules see */
    GwMemberState gossip_state; /* pub.info.state may differ */
    bool is_confirmed;          /* a message came directly from this start */
    bool is_tombstone;    /* dead for long; keeps only its start number */
    bool listed_leaving;  /* the platform's list marks it as leaving */
    uint32_t index;       /* position in GwMembers.records */
    int64_t suspected_us; /* when the suspicion began; 0: none */
    int64_t confirmed_us;
    int64_t claim_sent_us; /* when SendClaim last sent; 0: never */
    uint32_t update_sends;
    GQueue *update_queue; /* queue that holds update_link, or NULL */
    GList update_link;
    GList suspicion_link;
    uint32_t digest_count;
    GwDigest *digests; /* array of GW_MAX_SERVICES, or NULL */
    int64_t digest_us; /* when a digest was last renewed */
} GwMemberRecord;

/* A probe sent on behalf of another member. */
typedef struct {
    uint64_t seq;           /* of our probe */
    uint64_t requester_seq; /* of the requester's probe */
    GwNodeId target;
    char address[GW_ADDR_MAX]; /* of the requester */
    GwNodeId requester;
} GwRelayedProbe;

typedef struct {
    bool active;
    bool acked;
    bool indirect;
    GwNodeId target;
    uint64_t seq;
    int64_t sent_us;
} GwProbe;

typedef struct {
    uint32_t region;
    uint64_t nodes[GW_FOREIGN_DIGESTS_MAX];
} GwForeignDigests;

struct GwMembers_s {
    GwNodeParams params;
    GwMemberInfo self;
    uint32_t self_sends;
    GwRng rng;
    int64_t tick_us;
    /* The first `visible` records are those confirmed and not tombstones. */
    GPtrArray *records;
    uint32_t visible;
    uint32_t live; /* number of records that are not dead */
    GHashTable *by_node;
    /* Updates to send, one queue per number of sends so far. Updates of
     * leaving members have queues of their own. */
    GQueue leaving_updates[GW_UPDATE_SENDS_MAX];
    GQueue queued_updates[GW_UPDATE_SENDS_MAX];
    GQueue suspicions;
    GArray *unconfirmed; /* node ids of this region to probe */
    GArray *round;       /* node ids, shuffled */
    uint32_t cursor;
    uint64_t next_seq;
    int64_t next_probe_us;
    int64_t next_heal_us;
    int64_t next_sweep_us;
    GwProbe probe;
    GwRelayedProbe relays[GW_RELAYS_MAX];
    uint32_t next_relay;
    GwForeignDigests foreign[GW_MAX_REGIONS];
    uint32_t foreign_count;
    GHashTable *listed; /* set of name hashes */
    GArray *seeds;      /* GwInstanceListItem */
    int64_t list_read_us;
};

/* records.c */
GwMemberRecord *GwMembers_FindRecord(const GwMembers *m, uint64_t node);
GwMemberRecord *GwMembers_InsertRecord(GwMembers *m, int64_t now_us,
                                       const GwMemberInfo *info);
void GwMembers_Confirm(GwMembers *m, int64_t now_us, GwMemberRecord *r,
                       GwActions *out);
void GwMembers_Hide(GwMembers *m, GwMemberRecord *r);
void GwMembers_SetState(GwMembers *m, int64_t now_us, GwMemberRecord *r,
                        GwMemberState state, GwActions *out);
void GwMembers_UpdateVisibleState(GwMembers *m, int64_t now_us,
                                  GwMemberRecord *r, GwActions *out);
void GwMembers_ClearSuspicion(GwMembers *m, GwMemberRecord *r);
void GwMembers_Sweep(GwMembers *m, int64_t now_us);

/* gossip.c */
void GwMembers_QueueUpdate(GwMembers *m, GwMemberRecord *r);
void GwMembers_DequeueUpdate(GwMemberRecord *r);
void GwMembers_FillUpdates(GwMembers *m, const GwMemberRecord *to,
                           GwHeartbeat *hb);
bool GwMembers_ApplyUpdate(GwMembers *m, int64_t now_us,
                           const GwMemberInfo *update, bool direct,
                           const GwPiggyback *piggyback, GwActions *out);

/* digests.c */
void GwMembers_StoreDigest(GwMembers *m, int64_t now_us, const GwDigest *d);
void GwMembers_FillDigests(GwMembers *m, const GwMemberRecord *to,
                           const GwPiggyback *piggyback, GwHeartbeat *hb);

/* probe.c */
GwHeartbeat *GwMembers_Send(GwMembers *m, GwMessageKind kind,
                            const GwMemberRecord *to, GwNodeId id,
                            const char *address, const GwPiggyback *piggyback,
                            GwActions *out);
void GwMembers_SendClaim(GwMembers *m, int64_t now_us, GwMemberRecord *r,
                         const GwMemberInfo *claim,
                         const GwPiggyback *piggyback, GwActions *out);
void GwMembers_Suspect(GwMembers *m, int64_t now_us, GwMemberRecord *r,
                       const GwPiggyback *piggyback, GwActions *out);
void GwMembers_JoinRound(GwMembers *m, const GwMemberRecord *r);
void GwMembers_ProbeTick(GwMembers *m, int64_t now_us,
                         const GwPiggyback *piggyback, GwActions *out);
void GwMembers_ReceiveAck(GwMembers *m, const GwMessage *msg,
                          const GwPiggyback *piggyback, GwActions *out);
void GwMembers_ReceivePingReq(GwMembers *m, const GwMessage *msg,
                              const GwMemberRecord *requester,
                              const GwPiggyback *piggyback, GwActions *out);
GwMemberRecord *GwMembers_DrawLive(GwMembers *m);

#endif
