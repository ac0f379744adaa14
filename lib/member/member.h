/* SWIM-style membership and failure detection.
 *
 * Each period a node probes the next member of a shuffled round. A probe
 * without an ack is repeated through other members; if those fail too, the
 * member becomes suspect, and dead when the suspicion times out. A bounded
 * number of member updates is carried on each probe and ack. A suspicion
 * moves traffic away from a member; it never frees its seat
 * (steer/seats.h). */
#ifndef GW_MEMBER_MEMBER_H
#define GW_MEMBER_MEMBER_H

#include "common/names.h"
#include "godwitridge.h"

typedef struct GwMembers_s GwMembers;

/* Data of other parts of the node that is carried on heartbeats. */
typedef struct {
    uint64_t config_version;
    uint32_t digest_count; /* own digests, one per service */
    GwDigest digests[GW_DIGESTS_MAX];
    uint32_t drain_count;
    GwDrainHint drains[GW_DRAINS_MAX];
} GwPiggyback;

typedef struct {
    GwMemberInfo info;
    int64_t heard_us; /* time of the last message from the member; 0: never */
    int64_t state_since_us;
    uint64_t config_version; /* as in the last heartbeat */
} GwMember;

GwMembers *GwMembers_Create(const GwNodeParams *params);
void GwMembers_Free(GwMembers *m);
/* Returns false if a tick at `now_us` would send nothing, whatever data it
 * would carry. */
bool GwMembers_IsDue(const GwMembers *m, int64_t now_us);
void GwMembers_Tick(GwMembers *m, int64_t now_us, const GwPiggyback *piggyback,
                    GwActions *out);
/* Handles PROBE, ACK and PING_REQ. Returns true if the table changed. */
bool GwMembers_Receive(GwMembers *m, int64_t now_us, const GwMessage *msg,
                       const GwPiggyback *piggyback, GwActions *out);
/* Replaces the platform's list of instances: names and addresses to join
 * through. A "leaving" mark takes effect at once. */
void GwMembers_ApplyList(GwMembers *m, int64_t now_us,
                         const GwInstanceList *list, GwActions *out);
/* Announces that this node is leaving to its whole region and to some
 * members of other regions. */
void GwMembers_AnnounceLeaving(GwMembers *m, int64_t now_us,
                               const GwPiggyback *piggyback, GwActions *out);
/* Sends `count` probes to random members now, to spread a change such as a
 * new configuration version. */
void GwMembers_ProbeNow(GwMembers *m, int64_t now_us, uint32_t count,
                        const GwPiggyback *piggyback, GwActions *out);

/* Returns the number of members that are not dead, unconfirmed ones
 * included. */
uint32_t GwMembers_LiveCount(const GwMembers *m);
uint32_t GwMembers_Count(const GwMembers *m);
const GwMember *GwMembers_At(const GwMembers *m, uint32_t i);
const GwMember *GwMembers_Find(const GwMembers *m, uint64_t node);
bool GwMembers_IsListed(const GwMembers *m, const char *name);
/* Returns when the list was last read; 0: never. */
int64_t GwMembers_ListReadUs(const GwMembers *m);
/* Returns the newest digest of a member for a service, or NULL. */
const GwDigest *GwMembers_Digest(const GwMembers *m, uint64_t node,
                                 uint64_t service);

#endif
