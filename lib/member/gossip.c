/* Gossip of member updates: selection for sending, and merging. */
#include "member/member_internal.h"

#include <string.h>

/* Random known members added to each message. A table that missed an update
 * for good, because all its sends were lost, still converges. */
#define GW_RANDOM_UPDATES_MAX 2
/* A member confirmed less than this ago gets full messages: either that
 * member or this node has just joined. */
#define GW_BOOTSTRAP_US 20000000LL

/* How often an update is sent: 3 * log2(n), enough to reach all members
 * with high probability despite single losses. */
static uint32_t
sends_limit(const GwMembers *m)
{
    uint32_t bits = 1;

    for (uint32_t n = m->live + 1; n > 1; n >>= 1) {
        bits++;
    }
    return MIN(3 * bits, GW_UPDATE_SENDS_MAX - 1);
}

static void
enqueue(GwMembers *m, GwMemberRecord *r, bool at_head)
{
    GQueue *queues = r->gossip_state == GW_MEMBER_LEAVING ? m->leaving_updates
                                                          : m->queued_updates;
    GQueue *queue = &queues[r->update_sends];

    r->update_queue = queue;
    if (at_head) {
        g_queue_push_head_link(queue, &r->update_link);
    }
    else {
        g_queue_push_tail_link(queue, &r->update_link);
    }
}

/* Takes the update of a member off its queue. */
void
GwMembers_DequeueUpdate(GwMemberRecord *r)
{
    if (r->update_queue != NULL) {
        g_queue_unlink(r->update_queue, &r->update_link);
        r->update_queue = NULL;
    }
}

/* Queues the update of a member for sending, before older ones. */
void
GwMembers_QueueUpdate(GwMembers *m, GwMemberRecord *r)
{
    GwMembers_DequeueUpdate(r);
    r->update_sends = 0;
    enqueue(m, r, true);
}

/* Returns the info of a member with its gossip state, as sent to peers. */
static GwMemberInfo
make_wire_info(const GwMemberRecord *r)
{
    GwMemberInfo info = r->pub.info;
    info.state = r->gossip_state;
    return info;
}

static bool
has_update(const GwHeartbeat *hb, uint64_t node)
{
    for (uint32_t i = 0; i < hb->update_count; i++) {
        if (hb->updates[i].id.node == node) {
            return true;
        }
    }
    return false;
}

static void
add_update(GwHeartbeat *hb, const GwMemberRecord *r)
{
    if (hb->update_count < GW_UPDATES_MAX &&
        !has_update(hb, r->pub.info.id.node)) {
        hb->updates[hb->update_count++] = make_wire_info(r);
    }
}

static void
add_queued_updates(GwMembers *m, GQueue *queues, GwHeartbeat *hb)
{
    uint32_t limit = sends_limit(m);
    GwMemberRecord *taken[GW_UPDATES_MAX];
    uint32_t count = 0;

    for (uint32_t sends = 0; sends < GW_UPDATE_SENDS_MAX; sends++) {
        GQueue *queue = &queues[sends];
        while (queue->head != NULL && count < GW_UPDATES_MAX &&
               hb->update_count < GW_UPDATES_MAX) {
            GwMemberRecord *r = queue->head->data;
            add_update(hb, r);
            GwMembers_DequeueUpdate(r);
            taken[count++] = r;
        }
    }
    for (uint32_t i = 0; i < count; i++) {
        taken[i]->update_sends++;
        if (taken[i]->update_sends < limit) {
            enqueue(m, taken[i], false);
        }
    }
}

static void
add_random_updates(GwMembers *m, GwHeartbeat *hb)
{
    for (uint32_t i = 0; i < GW_RANDOM_UPDATES_MAX && m->records->len > 0;
         i++) {
        GwMemberRecord *r = g_ptr_array_index(
            m->records, GwRng_Below(&m->rng, m->records->len));
        if (!r->is_tombstone) {
            add_update(hb, r);
        }
    }
}

/* Fills a message to a recently confirmed member with live members, mainly
 * of the receiver's region. Otherwise a new entry would learn of hundreds
 * of members only through the few random updates. */
static void
add_bootstrap_members(GwMembers *m, const GwMemberRecord *to, GwHeartbeat *hb)
{
    if (to == NULL || m->tick_us - to->confirmed_us > GW_BOOTSTRAP_US) {
        return;
    }
    for (uint32_t i = 0; i < 4 * GW_UPDATES_MAX && m->visible > 0; i++) {
        const GwMemberRecord *r =
            g_ptr_array_index(m->records, GwRng_Below(&m->rng, m->visible));
        bool same_region = r->pub.info.region == to->pub.info.region;
        if (r->gossip_state == GW_MEMBER_ALIVE &&
            (same_region || i >= 3 * GW_UPDATES_MAX)) {
            add_update(hb, r);
        }
    }
}

/* Fills a message with updates in this order: the sender's own info, which
 * identifies the sender; the receiver's state if it is not ALIVE, since
 * only the receiver can refute it; leaving members; other queued updates,
 * those with the fewest sends first; random members. */
void
GwMembers_FillUpdates(GwMembers *m, const GwMemberRecord *to, GwHeartbeat *hb)
{
    hb->updates[hb->update_count++] = m->self;
    if (to != NULL && to->gossip_state != GW_MEMBER_ALIVE) {
        add_update(hb, to);
    }
    add_queued_updates(m, m->leaving_updates, hb);
    add_queued_updates(m, m->queued_updates, hb);
    add_random_updates(m, hb);
    add_bootstrap_members(m, to, hb);
}

/* Orders updates by start, then incarnation, then state. */
static bool
supersedes(const GwMemberInfo *u, GwNodeId id, uint32_t incarnation,
           GwMemberState state)
{
    if (u->id.start != id.start) {
        return u->id.start > id.start;
    }
    if (u->incarnation != incarnation) {
        return u->incarnation > incarnation;
    }
    return u->state > state;
}

/* Refutes a claim that this process is suspect or dead, by an incarnation
 * above the claim's. No other node may raise our incarnation. */
static bool
refute(GwMembers *m, const GwMemberInfo *u)
{
    if (u->id.start != m->self.id.start || u->incarnation == UINT32_MAX ||
        !supersedes(u, m->self.id, m->self.incarnation, m->self.state)) {
        return false;
    }
#if GW_MUTANT != 40 /* breaks: a claim of death is not refuted */
    m->self.incarnation = u->incarnation + 1;
#endif
    return true;
}

static void
overwrite_record(GwMembers *m, int64_t now_us, GwMemberRecord *r,
                 const GwMemberInfo *u, GwActions *out)
{
    GwMemberState visible_state = r->pub.info.state;
    bool restarted = u->id.start != r->pub.info.id.start;

    r->pub.info = *u;
    r->pub.info.state = visible_state;
    if (restarted) {
        GwMembers_Hide(m, r);
        r->listed_leaving = false;
        r->digest_count = 0;
        r->pub.heard_us = 0;
        r->pub.config_version = 0;
    }
    if (u->state != GW_MEMBER_SUSPECT) {
        GwMembers_ClearSuspicion(m, r);
    }
    bool was_dead = r->gossip_state == GW_MEMBER_DEAD;
    GwMembers_SetState(m, now_us, r, u->state, out);
    if (was_dead && u->state != GW_MEMBER_DEAD) {
        GwMembers_JoinRound(m, r);
    }
    GwMembers_QueueUpdate(m, r);
}

/* Decides whether to apply a claim from a third party that a member is suspect
 * or dead. A member that sent us a message within the suspicion time-out keeps
 * its state and is sent the claim, to refute it. A member whose last message
 * is older becomes suspect, even if the claim is DEAD, so that it can still
 * refute. Otherwise two regions that reconnect after a partition would spread
 * the states from the partition, and a region would consider its own live
 * members dead for a moment. In return, a member that is really dead is
 * removed later, by one suspicion time-out. Returns false if the update must
 * not be applied. */
static bool
accept_indirect_claim(GwMembers *m, int64_t now_us, GwMemberRecord *r,
                      GwMemberInfo *u, const GwPiggyback *piggyback,
                      GwActions *out)
{
#if GW_MUTANT == 42 /* breaks: an indirect claim overrides direct messages */
    return true;
#endif
    if ((u->state != GW_MEMBER_SUSPECT && u->state != GW_MEMBER_DEAD) ||
        u->id.start != r->pub.info.id.start || r->pub.heard_us == 0) {
        return true;
    }
    if (now_us - r->pub.heard_us < m->params.suspect_timeout_ms * 1000LL) {
        GwMembers_SendClaim(m, now_us, r, u, piggyback, out);
        return false;
    }
    if (r->gossip_state == GW_MEMBER_ALIVE ||
        r->gossip_state == GW_MEMBER_SUSPECT) {
        u->state = GW_MEMBER_SUSPECT;
    }
    return supersedes(u, r->pub.info.id, r->pub.info.incarnation,
                      r->gossip_state);
}

static bool
insert_member(GwMembers *m, int64_t now_us, const GwMemberInfo *u)
{
    if (u->state == GW_MEMBER_DEAD) {
        return false;
    }
    GwMemberRecord *r = GwMembers_InsertRecord(m, now_us, u);
    if (r == NULL) {
        return false;
    }
    GwMembers_JoinRound(m, r);
    GwMembers_QueueUpdate(m, r);
    if (r->pub.info.region == m->self.region) {
        g_array_append_val(m->unconfirmed, r->pub.info.id.node);
    }
    return true;
}

/* Applies one update; `direct` if it came from its subject. Returns true if
 * the table changed. */
bool
GwMembers_ApplyUpdate(GwMembers *m, int64_t now_us, const GwMemberInfo *update,
                      bool direct, const GwPiggyback *piggyback,
                      GwActions *out)
{
    GwMemberInfo u = *update;
    GwMemberRecord *r = GwMembers_FindRecord(m, u.id.node);

    if (u.id.node == m->self.id.node) {
        return refute(m, &u);
    }
    if (r == NULL) {
        if (!insert_member(m, now_us, &u)) {
            return false;
        }
        r = GwMembers_FindRecord(m, u.id.node);
    }
    else {
#if GW_MUTANT == 41 /* breaks: an old ALIVE revives a dead member */
        if (u.id.start < r->pub.info.id.start) {
#else
        if (!supersedes(&u, r->pub.info.id, r->pub.info.incarnation,
                        r->gossip_state)) {
#endif
            return false;
        }
        if (!direct &&
            !accept_indirect_claim(m, now_us, r, &u, piggyback, out)) {
            return false;
        }
        overwrite_record(m, now_us, r, &u, out);
    }
    if (u.state == GW_MEMBER_SUSPECT) {
        GwMembers_Suspect(m, now_us, r, piggyback, out);
    }
    return true;
}
