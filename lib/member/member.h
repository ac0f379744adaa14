/* Membership: who is in the cluster, who is alive, who is leaving.
 *
 * Each period a node probes one member in a shuffled round; a probe without
 * ack is tried through others; then the member is suspected, and after a
 * time-out held dead. Updates travel on probes and acks in bounded number.
 * Suspicion steers traffic away; it never frees a seat (steer/seats.h). */
#ifndef GW_MEMBER_MEMBER_H
#define GW_MEMBER_MEMBER_H

#include "common/names.h"
#include "godwitridge.h"

typedef struct GwMembers_s GwMembers;

/* What the owner of the member table wants carried with heartbeats. */
typedef struct {
    uint64_t config_version;
    uint32_t digest_count; /* own digests, one a service */
    GwDigest digests[GW_DIGESTS_MAX];
    uint32_t drain_count;
    GwDrainHint drains[GW_DRAINS_MAX];
} GwCargo;

typedef struct {
    GwMemberInfo info;
    int64_t heard_us; /* last message from it; 0 never */
    int64_t state_since_us;
    uint64_t config_version; /* as its last heartbeat said */
} GwMember;

GwMembers *GwMembers_Create(const GwNodeParams *params);
void GwMembers_Free(GwMembers *m);
/* False while a tick at this time sends nothing, whatever its cargo. */
bool GwMembers_IsDue(const GwMembers *m, int64_t now_us);
void GwMembers_Tick(GwMembers *m, int64_t now_us, const GwCargo *cargo,
                    GwActions *out);
/* PROBE, ACK and PING_REQ. Returns true when the table changed. */
bool GwMembers_Receive(GwMembers *m, int64_t now_us, const GwMessage *msg,
                       const GwCargo *cargo, GwActions *out);
/* The platform's list: names to seed from, leaving believed at once. */
void GwMembers_Listed(GwMembers *m, int64_t now_us, const GwListEvent *list,
                      GwActions *out);
/* Announce that this node leaves, to everyone at once. */
void GwMembers_Leave(GwMembers *m, int64_t now_us, const GwCargo *cargo,
                     GwActions *out);
/* Send `hurry` probes now: a change has to spread (a new config version). */
void GwMembers_Hurry(GwMembers *m, int64_t now_us, uint32_t hurry,
                     const GwCargo *cargo, GwActions *out);

/* Members not held dead, candidates included. */
uint32_t GwMembers_LiveCount(const GwMembers *m);
uint32_t GwMembers_Count(const GwMembers *m);
const GwMember *GwMembers_At(const GwMembers *m, uint32_t i);
const GwMember *GwMembers_Find(const GwMembers *m, uint64_t node);
bool GwMembers_IsListed(const GwMembers *m, const char *name);
/* When the list was last read; 0 never. */
int64_t GwMembers_ListReadUs(const GwMembers *m);
/* Newest digest of a member for a service, or NULL. */
const GwDigest *GwMembers_Digest(const GwMembers *m, uint64_t node,
                                 uint64_t service);

#endif
