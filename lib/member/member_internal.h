/* Private to lib/member: the record of a member and the table of them. */
#ifndef GW_MEMBER_MEMBER_INTERNAL_H
#define GW_MEMBER_MEMBER_INTERNAL_H

#include "common/log_events.h"
#include "common/rng.h"
#include "member/member.h"

#include <inttypes.h>

#ifndef GW_MUTANT
#define GW_MUTANT 0
#endif

/* Records held in all, the forgotten dead included. */
#define GW_RECORDS_MAX (2 * GW_LIST_MAX)
/* Sends of one update: 3 * log2(n), so at most this for any n we hold. */
#define GW_RUMOR_SENDS_MAX 40
/* Members of one foreign region whose digests are stored. */
#define GW_FOREIGN_DIGESTS_MAX 4
#define GW_RELAYS_MAX          32
#define GW_FORGET_US           (120 * 1000000LL)
#define GW_TOMBSTONE_US        (3600 * 1000000LL)
#define GW_HEAL_PERIOD_US      (3 * 1000000LL)
#define GW_SWEEP_PERIOD_US     (5 * 1000000LL)

typedef struct {
    GwMember pub;         /* what callers see */
    GwMemberState said;   /* as the protocol says; pub.info.state may differ */
    bool confirmed;       /* heard directly in this start */
    bool forgotten;       /* dead for long: kept only to know its start */
    bool listed_leaving;  /* the platform's list says it leaves */
    uint32_t index;       /* in GwMembers.records */
    int64_t doubt_us;     /* a probe failed then; 0 no doubt */
    int64_t met_us;       /* when it was confirmed */
    int64_t accused_us;   /* when it was last told that others doubt it */
    uint32_t rumor_sends; /* times its update was sent */
    GQueue *rumor_queue;  /* where rumor_link is, or NULL */
    GList rumor_link;
    GList doubt_link;
    uint32_t digest_count;
    GwDigest *digests; /* GW_MAX_SERVICES of them, or NULL */
    int64_t digest_us; /* when one was last renewed */
} GwRecord;

/* A probe made for another member. */
typedef struct {
    uint64_t seq;        /* ours */
    uint64_t origin_seq; /* the asker's */
    GwNodeId target;
    char address[GW_ADDR_MAX]; /* the asker's */
    GwNodeId asker;
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
    /* Confirmed and not forgotten first: `visible` of them. */
    GPtrArray *records;
    uint32_t visible;
    uint32_t live; /* records that are not dead */
    GHashTable *by_node;
    /* One queue for each number of sends; leaving members have their own. */
    GQueue leaving_rumors[GW_RUMOR_SENDS_MAX];
    GQueue rumors[GW_RUMOR_SENDS_MAX];
    GQueue doubted;
    GArray *strangers; /* node ids of the own region, not heard yet */
    GArray *round;     /* node ids, shuffled */
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
    GHashTable *listed; /* set of hashes of names */
    GArray *seeds;      /* GwListed */
    int64_t list_read_us;
};

/* records.c */
GwRecord *GwMembers_Record(const GwMembers *m, uint64_t node);
GwRecord *GwMembers_Insert(GwMembers *m, int64_t now_us,
                           const GwMemberInfo *info);
void GwMembers_Confirm(GwMembers *m, int64_t now_us, GwRecord *r,
                       GwActions *out);
void GwMembers_Hide(GwMembers *m, GwRecord *r);
void GwMembers_SetState(GwMembers *m, int64_t now_us, GwRecord *r,
                        GwMemberState state, GwActions *out);
void GwMembers_ShowState(GwMembers *m, int64_t now_us, GwRecord *r,
                         GwActions *out);
void GwMembers_ClearDoubt(GwMembers *m, GwRecord *r);
void GwMembers_Sweep(GwMembers *m, int64_t now_us);

/* gossip.c */
void GwMembers_Spread(GwMembers *m, GwRecord *r);
void GwMembers_StopSpread(GwRecord *r);
void GwMembers_FillUpdates(GwMembers *m, const GwRecord *to, GwHeartbeat *hb);
bool GwMembers_Apply(GwMembers *m, int64_t now_us, const GwMemberInfo *update,
                     bool direct, const GwCargo *cargo, GwActions *out);

/* digests.c */
void GwMembers_StoreDigest(GwMembers *m, int64_t now_us, const GwDigest *d);
void GwMembers_FillDigests(GwMembers *m, const GwRecord *to,
                           const GwCargo *cargo, GwHeartbeat *hb);

/* probe.c */
GwHeartbeat *GwMembers_Send(GwMembers *m, GwMessageKind kind,
                            const GwRecord *to, GwNodeId id,
                            const char *address, const GwCargo *cargo,
                            GwActions *out);
void GwMembers_Accuse(GwMembers *m, int64_t now_us, GwRecord *r,
                      const GwMemberInfo *claim, const GwCargo *cargo,
                      GwActions *out);
void GwMembers_Doubt(GwMembers *m, int64_t now_us, GwRecord *r,
                     const GwCargo *cargo, GwActions *out);
void GwMembers_JoinRound(GwMembers *m, const GwRecord *r);
void GwMembers_ProbeTick(GwMembers *m, int64_t now_us, const GwCargo *cargo,
                         GwActions *out);
void GwMembers_Acked(GwMembers *m, const GwMessage *msg, const GwCargo *cargo,
                     GwActions *out);
void GwMembers_ProbeFor(GwMembers *m, const GwMessage *msg,
                        const GwRecord *asker, const GwCargo *cargo,
                        GwActions *out);
GwRecord *GwMembers_RandomLive(GwMembers *m);

#endif
