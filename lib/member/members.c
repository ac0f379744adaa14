/* Public functions of membership. */
#include "member/member_internal.h"

#include <string.h>

/* Members of other regions that are notified directly when this node
 * leaves. */
#define GW_LEAVE_FOREIGN_MAX 8

/* Creates an empty table. Probe sequence numbers start from the start
 * nonce, so that acks to an earlier process of the same name match no
 * probe. */
GwMembers *
GwMembers_Create(const GwNodeParams *params)
{
    GwMembers *m = g_new0(GwMembers, 1);

    m->params = *params;
    m->rng = GwRng_Make(params->seed ^ params->id.node);
    m->next_seq = (params->id.start << 20) | 1;
    m->self = (GwMemberInfo){.id = params->id,
                             .state = GW_MEMBER_ALIVE,
                             .region = GwName_Hash32(params->region)};
    g_strlcpy(m->self.domain, params->domain, GW_NAME_MAX);
    g_strlcpy(m->self.name, params->name, GW_NAME_MAX);
    g_strlcpy(m->self.peer_address, params->peer_address, GW_ADDR_MAX);
    g_strlcpy(m->self.call_address, params->call_address, GW_ADDR_MAX);
    m->records = g_ptr_array_new_with_free_func(g_free);
    m->by_node = g_hash_table_new(g_int64_hash, g_int64_equal);
    m->listed =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    m->unconfirmed = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    m->round = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    m->seeds = g_array_new(FALSE, FALSE, sizeof(GwInstanceListItem));
    return m;
}

void
GwMembers_Free(GwMembers *m)
{
    if (m == NULL) {
        return;
    }
    for (uint32_t i = 0; i < m->records->len; i++) {
        GwMemberRecord *r = g_ptr_array_index(m->records, i);
        g_free(r->digests);
    }
    g_hash_table_destroy(m->by_node);
    g_hash_table_destroy(m->listed);
    g_ptr_array_free(m->records, TRUE);
    g_array_free(m->unconfirmed, TRUE);
    g_array_free(m->round, TRUE);
    g_array_free(m->seeds, TRUE);
    g_free(m);
}

/* Runs the probes, suspicion time-outs and partition healing that are due. */
void
GwMembers_Tick(GwMembers *m, int64_t now_us, const GwPiggyback *piggyback,
               GwActions *out)
{
    GwMembers_ProbeTick(m, now_us, piggyback, out);
}

/* Records a message received directly from a member, which proves that the
 * path from that member works. Only a direct message makes a member visible to
 * other modules. A member that is only known as ALIVE through others is a
 * candidate: it is probed and gossiped, but gets no traffic. Otherwise a dead
 * member revived by an old update, or a member that only another region can
 * reach, would get traffic. This delays the first use of a new entry by one
 * probe, about 0.2 s (members.new_entries_are_visible_soon). */
static bool
note_receipt(GwMembers *m, int64_t now_us, const GwMessage *msg,
             GwMemberRecord *r, GwActions *out)
{
    bool was_confirmed = r->is_confirmed;

    r->pub.heard_us = now_us;
    r->pub.config_version = msg->u.heartbeat.config_version;
    if (r->gossip_state != GW_MEMBER_DEAD) {
        GwMembers_Confirm(m, now_us, r, out);
    }
    return r->is_confirmed != was_confirmed;
}

/* Finds the sender's record, after applying the update that the sender
 * carries about itself. Returns NULL if the message is from this node, from
 * an earlier start or from an unknown node. */
static GwMemberRecord *
resolve_sender(GwMembers *m, int64_t now_us, const GwMessage *msg,
               const GwPiggyback *piggyback, bool *changed, GwActions *out)
{
    const GwHeartbeat *hb = &msg->u.heartbeat;
    GwMemberRecord *r = GwMembers_FindRecord(m, msg->from.node);

    if (msg->from.node == m->self.id.node || msg->from.node == 0 ||
        (r != NULL && msg->from.start < r->pub.info.id.start)) {
        return NULL;
    }
    for (uint32_t i = 0; i < hb->update_count; i++) {
        if (GwNodeId_Equal(hb->updates[i].id, msg->from)) {
            *changed |= GwMembers_ApplyUpdate(m, now_us, &hb->updates[i], true,
                                              piggyback, out);
            break;
        }
    }
    r = GwMembers_FindRecord(m, msg->from.node);
    if (r == NULL || !GwNodeId_Equal(r->pub.info.id, msg->from)) {
        return NULL;
    }
    return r;
}

/* Handles PROBE, ACK and PING_REQ. Returns true if the table changed. */
bool
GwMembers_Receive(GwMembers *m, int64_t now_us, const GwMessage *msg,
                  const GwPiggyback *piggyback, GwActions *out)
{
    const GwHeartbeat *hb = &msg->u.heartbeat;
    bool changed = false;
    GwMemberRecord *from =
        resolve_sender(m, now_us, msg, piggyback, &changed, out);

    if (from == NULL) {
        return false;
    }
    changed |= note_receipt(m, now_us, msg, from, out);
    for (uint32_t i = 0; i < hb->update_count; i++) {
        if (hb->updates[i].id.node != msg->from.node) {
            changed |= GwMembers_ApplyUpdate(m, now_us, &hb->updates[i], false,
                                             piggyback, out);
        }
    }
    for (uint32_t i = 0; i < hb->digest_count; i++) {
        GwMembers_StoreDigest(m, now_us, &hb->digests[i]);
    }
    /* Inserting a record may have evicted the sender's. */
    from = GwMembers_FindRecord(m, msg->from.node);
    if (from == NULL) {
        return changed;
    }
    if (msg->kind == GW_MSG_PROBE) {
        GwMembers_Send(m, GW_MSG_ACK, from, msg->from,
                       from->pub.info.peer_address, piggyback, out)
            ->seq = hb->seq;
    }
    else if (msg->kind == GW_MSG_ACK) {
        GwMembers_ReceiveAck(m, msg, piggyback, out);
    }
    else {
        GwMembers_ReceivePingReq(m, msg, from, piggyback, out);
    }
    return changed;
}

/* Applies the list's "leaving" mark at once, for the current start of the
 * member. If the mark is wrong, one entry's share of work moves to other
 * entries; if a correct mark were ignored, requests would be cut off. A later
 * "live" only withdraws the list's own mark. */
static void
apply_listed_state(GwMembers *m, int64_t now_us,
                   const GwInstanceListItem *item, GwActions *out)
{
    GwMemberRecord *r = GwMembers_FindRecord(m, GwName_Hash64(item->name));

    if (r != NULL && r->listed_leaving != item->leaving) {
        r->listed_leaving = item->leaving;
        GwMembers_UpdateVisibleState(m, now_us, r, out);
    }
}

/* Replaces the platform's list of instances; see member.h. */
void
GwMembers_ApplyList(GwMembers *m, int64_t now_us, const GwInstanceList *list,
                    GwActions *out)
{
    bool first = m->list_read_us == 0;

    m->list_read_us = now_us;
    g_hash_table_remove_all(m->listed);
    g_array_set_size(m->seeds, 0);
    for (uint32_t i = 0; i < list->count && i < GW_INSTANCE_LIST_MAX; i++) {
        const GwInstanceListItem *item = &list->items[i];
        uint64_t *hash = g_new(uint64_t, 1);
        *hash = GwName_Hash64(item->name);
        g_hash_table_add(m->listed, hash);
        if (*hash != m->self.id.node) {
            g_array_append_val(m->seeds, *item);
            apply_listed_state(m, now_us, item, out);
        }
    }
    if (first) {
        m->next_heal_us = now_us;
    }
}

/* Announces that this node is leaving: to all members of its region, which
 * take over its work, and to a few of the others, which spread the update
 * by gossip. */
void
GwMembers_AnnounceLeaving(GwMembers *m, int64_t now_us,
                          const GwPiggyback *piggyback, GwActions *out)
{
    uint32_t foreign = 0;

    m->self.state = GW_MEMBER_LEAVING;
    m->self.incarnation++;
    for (uint32_t i = 0; i < m->visible; i++) {
        const GwMemberRecord *r = g_ptr_array_index(m->records, i);
        bool same_region = r->pub.info.region == m->self.region;
        if (r->gossip_state == GW_MEMBER_DEAD ||
            (!same_region && foreign++ >= GW_LEAVE_FOREIGN_MAX)) {
            continue;
        }
        GwMembers_Send(m, GW_MSG_PROBE, r, r->pub.info.id,
                       r->pub.info.peer_address, piggyback, out)
            ->seq = m->next_seq++;
    }
}

/* Sends `count` probes to random members now, to spread a change. */
void
GwMembers_ProbeNow(GwMembers *m, int64_t now_us, uint32_t count,
                   const GwPiggyback *piggyback, GwActions *out)
{
    for (uint32_t i = 0; i < count; i++) {
        const GwMemberRecord *r = GwMembers_DrawLive(m);
        if (r == NULL) {
            return;
        }
        GwMembers_Send(m, GW_MSG_PROBE, r, r->pub.info.id,
                       r->pub.info.peer_address, piggyback, out)
            ->seq = m->next_seq++;
    }
}

/* Returns the number of visible members: those confirmed by a direct message,
 * including those declared dead in the last minutes. */
uint32_t
GwMembers_Count(const GwMembers *m)
{
    return m->visible;
}

uint32_t
GwMembers_LiveCount(const GwMembers *m)
{
    return m->live;
}

const GwMember *
GwMembers_At(const GwMembers *m, uint32_t i)
{
    const GwMemberRecord *r = g_ptr_array_index(m->records, i);

    return &r->pub;
}

/* Returns a member by node id, or NULL if unknown or a tombstone. Includes
 * unconfirmed members, whose heard_us is 0. */
const GwMember *
GwMembers_Find(const GwMembers *m, uint64_t node)
{
    const GwMemberRecord *r = GwMembers_FindRecord(m, node);

    return r == NULL || r->is_tombstone ? NULL : &r->pub;
}

bool
GwMembers_IsListed(const GwMembers *m, const char *name)
{
    uint64_t hash = GwName_Hash64(name);

    return g_hash_table_contains(m->listed, &hash);
}

/* Returns when the list was last read; 0: never. */
int64_t
GwMembers_ListReadUs(const GwMembers *m)
{
    return m->list_read_us;
}
