/* The member table: records, their order, and their states. */
#include "member/member_internal.h"

#include <string.h>

/* Returns the record of a node, dead ones and tombstones included, or NULL. */
GwMemberRecord *
GwMembers_FindRecord(const GwMembers *m, uint64_t node)
{
    return g_hash_table_lookup(m->by_node, &node);
}

static bool
is_live(const GwMemberRecord *r)
{
    return r->gossip_state != GW_MEMBER_DEAD;
}

static void
swap_records(GwMembers *m, uint32_t a, uint32_t b)
{
    GwMemberRecord *ra = g_ptr_array_index(m->records, a);
    GwMemberRecord *rb = g_ptr_array_index(m->records, b);
    m->records->pdata[a] = rb;
    m->records->pdata[b] = ra;
    ra->index = b;
    rb->index = a;
}

static void
remove_record(GwMembers *m, GwMemberRecord *r)
{
    GwMembers_Hide(m, r);
    GwMembers_DequeueUpdate(r);
    GwMembers_ClearSuspicion(m, r);
    if (is_live(r)) {
        m->live--;
    }
    swap_records(m, r->index, m->records->len - 1);
    g_hash_table_remove(m->by_node, &r->pub.info.id.node);
    g_free(r->digests);
    /* Frees the record, which is now the last of the array. */
    g_ptr_array_set_size(m->records, (int)m->records->len - 1);
}

/* Returns the record that has been dead longest, to be evicted; NULL if
 * none. */
static GwMemberRecord *
find_oldest_dead(GwMembers *m)
{
    GwMemberRecord *oldest = NULL;

    for (uint32_t i = 0; i < m->records->len; i++) {
        GwMemberRecord *r = g_ptr_array_index(m->records, i);
        if (!is_live(r) &&
            (oldest == NULL ||
             r->pub.state_since_us < oldest->pub.state_since_us)) {
            oldest = r;
        }
    }
    return oldest;
}

/* Adds an unconfirmed record. Returns NULL if the table is full of live
 * records. */
GwMemberRecord *
GwMembers_InsertRecord(GwMembers *m, int64_t now_us, const GwMemberInfo *info)
{
    if (m->records->len >= GW_RECORDS_MAX) {
        GwMemberRecord *old = find_oldest_dead(m);
        if (old == NULL) {
            return NULL;
        }
        remove_record(m, old);
    }
    GwMemberRecord *r = g_new0(GwMemberRecord, 1);
    r->pub.info = *info;
    r->pub.state_since_us = now_us;
    r->gossip_state = info->state;
    r->update_link.data = r;
    r->suspicion_link.data = r;
    r->index = m->records->len;
    g_ptr_array_add(m->records, r);
    g_hash_table_insert(m->by_node, &r->pub.info.id.node, r);
    m->live++;
    return r;
}

/* Makes the record visible. */
void
GwMembers_Confirm(GwMembers *m, int64_t now_us, GwMemberRecord *r,
                  GwActions *out)
{
    if (r->is_confirmed) {
        return;
    }
    r->is_confirmed = true;
    r->confirmed_us = now_us;
    r->is_tombstone = false;
    swap_records(m, r->index, m->visible);
    m->visible++;
    r->pub.state_since_us = now_us;
    if (r->gossip_state != GW_MEMBER_DEAD) {
        GwActions_Log(out, GW_LOG_MEMBER_UP, "member=%s start=%" PRIx64,
                      r->pub.info.name, r->pub.info.id.start);
    }
}

/* Makes the record invisible. */
void
GwMembers_Hide(GwMembers *m, GwMemberRecord *r)
{
    if (!r->is_confirmed) {
        return;
    }
    r->is_confirmed = false;
    m->visible--;
    swap_records(m, r->index, m->visible);
}

/* Ends a suspicion: the member refuted it, or is now dead. */
void
GwMembers_ClearSuspicion(GwMembers *m, GwMemberRecord *r)
{
    if (r->suspected_us != 0) {
        r->suspected_us = 0;
        g_queue_unlink(&m->suspicions, &r->suspicion_link);
    }
}

static uint32_t
log_event_of(GwMemberState state)
{
    switch (state) {
    case GW_MEMBER_ALIVE:
        return GW_LOG_MEMBER_UP;
    case GW_MEMBER_SUSPECT:
        return GW_LOG_MEMBER_SUSPECT;
    case GW_MEMBER_LEAVING:
        return GW_LOG_MEMBER_LEAVING;
    case GW_MEMBER_DEAD:
        return GW_LOG_MEMBER_DEAD;
    }
    return GW_LOG_MEMBER_DEAD;
}

/* Updates the visible state. The list's "leaving" overrides ALIVE and
 * SUSPECT: an instance that the platform is about to stop must get no new
 * work, although its process has not been notified yet and still reports
 * ALIVE. */
void
GwMembers_UpdateVisibleState(GwMembers *m, int64_t now_us, GwMemberRecord *r,
                             GwActions *out)
{
    GwMemberState state = r->gossip_state;

    if (r->listed_leaving && state < GW_MEMBER_LEAVING) {
        state = GW_MEMBER_LEAVING;
    }
    if (state == r->pub.info.state) {
        return;
    }
    r->pub.info.state = state;
    r->pub.state_since_us = now_us;
    if (r->is_confirmed) {
        GwActions_Log(out, log_event_of(state), "member=%s", r->pub.info.name);
    }
}

/* Sets the gossip state of a member, and updates the live count and the
 * suspicion accordingly. */
void
GwMembers_SetState(GwMembers *m, int64_t now_us, GwMemberRecord *r,
                   GwMemberState state, GwActions *out)
{
    bool was_live = is_live(r);

    r->gossip_state = state;
    if (was_live != is_live(r)) {
        m->live += was_live ? -1 : 1;
    }
    if (state == GW_MEMBER_DEAD) {
        GwMembers_ClearSuspicion(m, r);
        r->digest_count = 0;
    }
    else {
        r->is_tombstone = false;
    }
    GwMembers_UpdateVisibleState(m, now_us, r, out);
}

/* Turns members dead for minutes into tombstones, and removes them after an
 * hour. Until then an old ALIVE update from a node that was partitioned
 * away cannot revive them, since its incarnation is not above the recorded
 * one. */
void
GwMembers_Sweep(GwMembers *m, int64_t now_us)
{
    for (uint32_t i = m->records->len; i-- > 0;) {
        GwMemberRecord *r = g_ptr_array_index(m->records, i);
        if (is_live(r)) {
            continue;
        }
        int64_t dead_us = now_us - r->pub.state_since_us;
        if (dead_us > GW_TOMBSTONE_US) {
            remove_record(m, r);
        }
        else if (dead_us > GW_DEAD_VISIBLE_US) {
            GwMembers_Hide(m, r);
            r->is_tombstone = true;
        }
    }
}
