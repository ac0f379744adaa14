/* Load digests of members: bounded storage, and selection for sending. */
#include "member/member_internal.h"

/* A stored digest of another region that is older than this is replaced. */
#define GW_DIGEST_STALE_US 10000000LL

static GwForeignDigests *
find_foreign_region(GwMembers *m, uint32_t region)
{
    for (uint32_t i = 0; i < m->foreign_count; i++) {
        if (m->foreign[i].region == region) {
            return &m->foreign[i];
        }
    }
    if (m->foreign_count == GW_MAX_REGIONS) {
        return NULL;
    }
    GwForeignDigests *f = &m->foreign[m->foreign_count++];
    *f = (GwForeignDigests){.region = region};
    return f;
}

/* Returns whether digests of this member are stored. All are stored in this
 * node's region. Of each other region only a few are, which suffices to choose
 * an entry there and bounds the memory at hundreds of members. */
static bool
reserve_digest_slot(GwMembers *m, int64_t now_us, const GwMemberRecord *r)
{
    if (r->pub.info.region == m->self.region) {
        return true;
    }
    GwForeignDigests *f = find_foreign_region(m, r->pub.info.region);
    uint32_t slot = GW_FOREIGN_DIGESTS_MAX;

    for (uint32_t i = 0; f != NULL && i < GW_FOREIGN_DIGESTS_MAX; i++) {
        if (f->nodes[i] == r->pub.info.id.node) {
            return true;
        }
        GwMemberRecord *holder = GwMembers_FindRecord(m, f->nodes[i]);
        if (holder == NULL || holder->gossip_state != GW_MEMBER_ALIVE ||
            now_us - holder->digest_us > GW_DIGEST_STALE_US) {
            slot = i;
        }
    }
    if (f == NULL || slot == GW_FOREIGN_DIGESTS_MAX) {
        return false;
    }
    GwMemberRecord *old = GwMembers_FindRecord(m, f->nodes[slot]);
    if (old != NULL) {
        old->digest_count = 0;
    }
    f->nodes[slot] = r->pub.info.id.node;
    return true;
}

static GwDigest *
find_digest(const GwMemberRecord *r, uint64_t service)
{
    for (uint32_t i = 0; i < r->digest_count; i++) {
        if (r->digests[i].service == service) {
            return &r->digests[i];
        }
    }
    return NULL;
}

/* Stores the newest digest per node and service, for the current start
 * only. */
void
GwMembers_StoreDigest(GwMembers *m, int64_t now_us, const GwDigest *d)
{
    GwMemberRecord *r = GwMembers_FindRecord(m, d->id.node);

    if (r == NULL || r->gossip_state == GW_MEMBER_DEAD ||
        r->pub.info.id.start != d->id.start ||
        !reserve_digest_slot(m, now_us, r)) {
        return;
    }
    GwDigest *known = find_digest(r, d->service);
    if (known != NULL && known->seq >= d->seq) {
        return;
    }
    if (known == NULL) {
        if (r->digest_count == GW_MAX_SERVICES) {
            return;
        }
        if (r->digests == NULL) {
            r->digests = g_new0(GwDigest, GW_MAX_SERVICES);
        }
        known = &r->digests[r->digest_count++];
    }
    *known = *d;
    r->digest_us = now_us;
}

/* Adds this node's digests, then some stored ones drawn at random. Members of
 * other regions get fewer, since a region sends requests to only one or two
 * members of another. */
void
GwMembers_FillDigests(GwMembers *m, const GwMemberRecord *to,
                      const GwPiggyback *piggyback, GwHeartbeat *hb)
{
    bool same_region = to != NULL && to->pub.info.region == m->self.region;
    uint32_t want = same_region ? 8 : 2;

    for (uint32_t i = 0; i < piggyback->digest_count && i < GW_DIGESTS_MAX;
         i++) {
        hb->digests[hb->digest_count++] = piggyback->digests[i];
    }
    for (uint32_t i = 0; i < want && m->visible > 0; i++) {
        const GwMemberRecord *r =
            g_ptr_array_index(m->records, GwRng_Below(&m->rng, m->visible));
        if (r == to || r->gossip_state == GW_MEMBER_DEAD ||
            r->digest_count == 0 || hb->digest_count >= GW_DIGESTS_MAX) {
            continue;
        }
        hb->digests[hb->digest_count++] =
            r->digests[GwRng_Below(&m->rng, r->digest_count)];
    }
}

/* Returns the newest digest of a member for a service, or NULL. */
const GwDigest *
GwMembers_Digest(const GwMembers *m, uint64_t node, uint64_t service)
{
    const GwMemberRecord *r = GwMembers_FindRecord(m, node);

    return r == NULL ? NULL : find_digest(r, service);
}
