/* The interface of membership. */
#include "member/member_internal.h"

#include <string.h>

/* Members of other regions told at once that this node leaves. */
#define GW_LEAVE_FOREIGN 8

/* Creates a table that knows nobody yet. The seq of probes begins at the start
 * nonce, so that acks to an earlier process of this name match nothing. */
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
    m->strangers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    m->round = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    m->seeds = g_array_new(FALSE, FALSE, sizeof(GwListed));
    return m;
}

void
GwMembers_Free(GwMembers *m)
{
    if (m == NULL) {
        return;
    }
    for (uint32_t i = 0; i < m->records->len; i++) {
        GwRecord *r = g_ptr_array_index(m->records, i);
        g_free(r->digests);
    }
    g_hash_table_destroy(m->by_node);
    g_hash_table_destroy(m->listed);
    g_ptr_array_free(m->records, TRUE);
    g_array_free(m->strangers, TRUE);
    g_array_free(m->round, TRUE);
    g_array_free(m->seeds, TRUE);
    g_free(m);
}

/* Probes, doubts and healing that are due. */
void
GwMembers_Tick(GwMembers *m, int64_t now_us, const GwCargo *cargo,
               GwActions *out)
{
    GwMembers_ProbeTick(m, now_us, cargo, out);
}

/* A message came straight from a member: its way to us works now. Only this
 * makes a member visible to callers. An ALIVE at second hand is a candidate:
 * it is probed and gossiped, but a dead member that comes back by an old
 * update, or one that only a far region can reach, is never steered to. The
 * price, in members.hearsay_costs_little, is 0.2 s: a twelfth entry is known to
 * all after 1.0 s and shown by all after 1.2 s. */
static bool
heard(GwMembers *m, int64_t now_us, const GwMessage *msg, GwRecord *r,
      GwActions *out)
{
    bool was = r->confirmed;

    r->pub.heard_us = now_us;
    r->pub.config_version = msg->u.heartbeat.config_version;
    if (r->said != GW_MEMBER_DEAD) {
        GwMembers_Confirm(m, now_us, r, out);
    }
    return r->confirmed != was;
}

/* Finds the sender, taking in what it says of itself. NULL when the message
 * is of this node itself, of an earlier start, or of nobody known. */
static GwRecord *
sender(GwMembers *m, int64_t now_us, const GwMessage *msg,
       const GwCargo *cargo, bool *changed, GwActions *out)
{
    const GwHeartbeat *hb = &msg->u.heartbeat;
    GwRecord *r = GwMembers_Record(m, msg->from.node);

    if (msg->from.node == m->self.id.node || msg->from.node == 0 ||
        (r != NULL && msg->from.start < r->pub.info.id.start)) {
        return NULL;
    }
    for (uint32_t i = 0; i < hb->update_count; i++) {
        if (GwNodeId_Equal(hb->updates[i].id, msg->from)) {
            *changed |=
                GwMembers_Apply(m, now_us, &hb->updates[i], true, cargo, out);
            break;
        }
    }
    r = GwMembers_Record(m, msg->from.node);
    if (r == NULL || !GwNodeId_Equal(r->pub.info.id, msg->from)) {
        return NULL;
    }
    return r;
}

/* PROBE, ACK and PING_REQ. Returns true when the table changed. */
bool
GwMembers_Receive(GwMembers *m, int64_t now_us, const GwMessage *msg,
                  const GwCargo *cargo, GwActions *out)
{
    const GwHeartbeat *hb = &msg->u.heartbeat;
    bool changed = false;
    GwRecord *from = sender(m, now_us, msg, cargo, &changed, out);

    if (from == NULL) {
        return false;
    }
    changed |= heard(m, now_us, msg, from, out);
    for (uint32_t i = 0; i < hb->update_count; i++) {
        if (hb->updates[i].id.node != msg->from.node) {
            changed |=
                GwMembers_Apply(m, now_us, &hb->updates[i], false, cargo, out);
        }
    }
    for (uint32_t i = 0; i < hb->digest_count; i++) {
        GwMembers_StoreDigest(m, now_us, &hb->digests[i]);
    }
    /* An update may have made room in the table: look again. */
    from = GwMembers_Record(m, msg->from.node);
    if (from == NULL) {
        return changed;
    }
    if (msg->kind == GW_MSG_PROBE) {
        GwMembers_Send(m, GW_MSG_ACK, from, msg->from,
                       from->pub.info.peer_address, cargo, out)
            ->seq = hb->seq;
    }
    else if (msg->kind == GW_MSG_ACK) {
        GwMembers_Acked(m, msg, cargo, out);
    }
    else {
        GwMembers_ProbeFor(m, msg, from, cargo, out);
    }
    return changed;
}

/* Believes "leaving" at once, for this start of the member: acting on it when
 * it is wrong costs one entry's share of work; not acting when it is right
 * cuts requests off. "Live" takes the list's own claim back, no other's. */
static void
note_leaving(GwMembers *m, int64_t now_us, const GwListed *item,
             GwActions *out)
{
    GwRecord *r = GwMembers_Record(m, GwName_Hash64(item->name));

    if (r != NULL && r->listed_leaving != item->leaving) {
        r->listed_leaving = item->leaving;
        GwMembers_ShowState(m, now_us, r, out);
    }
}

/* The platform's list: names to seed from, leaving believed at once. */
void
GwMembers_Listed(GwMembers *m, int64_t now_us, const GwListEvent *list,
                 GwActions *out)
{
    bool first = m->list_read_us == 0;

    m->list_read_us = now_us;
    g_hash_table_remove_all(m->listed);
    g_array_set_size(m->seeds, 0);
    for (uint32_t i = 0; i < list->count && i < GW_LIST_MAX; i++) {
        const GwListed *item = &list->items[i];
        uint64_t *hash = g_new(uint64_t, 1);
        *hash = GwName_Hash64(item->name);
        g_hash_table_add(m->listed, hash);
        if (*hash != m->self.id.node) {
            g_array_append_val(m->seeds, *item);
            note_leaving(m, now_us, item, out);
        }
    }
    if (first) {
        m->next_heal_us = now_us;
    }
}

/* Announce that this node leaves, to everyone at once: all of its region, who
 * have to take over, and a few of the others, who pass it on. */
void
GwMembers_Leave(GwMembers *m, int64_t now_us, const GwCargo *cargo,
                GwActions *out)
{
    uint32_t foreign = 0;

    m->self.state = GW_MEMBER_LEAVING;
    m->self.incarnation++;
    for (uint32_t i = 0; i < m->visible; i++) {
        const GwRecord *r = g_ptr_array_index(m->records, i);
        bool near = r->pub.info.region == m->self.region;
        if (r->said == GW_MEMBER_DEAD ||
            (!near && foreign++ >= GW_LEAVE_FOREIGN)) {
            continue;
        }
        GwMembers_Send(m, GW_MSG_PROBE, r, r->pub.info.id,
                       r->pub.info.peer_address, cargo, out)
            ->seq = m->next_seq++;
    }
}

/* Send `hurry` probes now: a change has to spread. */
void
GwMembers_Hurry(GwMembers *m, int64_t now_us, uint32_t hurry,
                const GwCargo *cargo, GwActions *out)
{
    for (uint32_t i = 0; i < hurry; i++) {
        const GwRecord *r = GwMembers_RandomLive(m);
        if (r == NULL) {
            return;
        }
        GwMembers_Send(m, GW_MSG_PROBE, r, r->pub.info.id,
                       r->pub.info.peer_address, cargo, out)
            ->seq = m->next_seq++;
    }
}

/* Members heard directly and not forgotten; the dead of the last minutes are
 * among them, with their state. */
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
    const GwRecord *r = g_ptr_array_index(m->records, i);

    return &r->pub;
}

/* A member by node, candidates included (their heard_us is 0); NULL when it is
 * unknown or forgotten. */
const GwMember *
GwMembers_Find(const GwMembers *m, uint64_t node)
{
    const GwRecord *r = GwMembers_Record(m, node);

    return r == NULL || r->forgotten ? NULL : &r->pub;
}

bool
GwMembers_IsListed(const GwMembers *m, const char *name)
{
    uint64_t hash = GwName_Hash64(name);

    return g_hash_table_contains(m->listed, &hash);
}

/* When the list was last read; 0 never. */
int64_t
GwMembers_ListReadUs(const GwMembers *m)
{
    return m->list_read_us;
}
