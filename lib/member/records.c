/* The table of members: records, their order, and their states. */
#include "member/member_internal.h"

#include <string.h>

/* The record of a node, dead and forgotten ones included, or NULL. */
GwRecord *
GwMembers_Record(const GwMembers *m, uint64_t node)
{
    return g_hash_table_lookup(m->by_node, &node);
}

static bool
is_live(const GwRecord *r)
{
    return r->said != GW_MEMBER_DEAD;
}

static void
swap_records(GwMembers *m, uint32_t a, uint32_t b)
{
    GwRecord *ra = g_ptr_array_index(m->records, a);
    GwRecord *rb = g_ptr_array_index(m->records, b);
    m->records->pdata[a] = rb;
    m->records->pdata[b] = ra;
    ra->index = b;
    rb->index = a;
}

static void
remove_record(GwMembers *m, GwRecord *r)
{
    GwMembers_Hide(m, r);
    GwMembers_StopSpread(r);
    GwMembers_ClearDoubt(m, r);
    if (is_live(r)) {
        m->live--;
    }
    swap_records(m, r->index, m->records->len - 1);
    g_hash_table_remove(m->by_node, &r->pub.info.id.node);
    g_free(r->digests);
    /* Frees the record: it is the last one of the array. */
    g_ptr_array_set_size(m->records, (int)m->records->len - 1);
}

/* The dead record that has been dead longest makes room; NULL if none. */
static GwRecord *
oldest_dead(GwMembers *m)
{
    GwRecord *oldest = NULL;

    for (uint32_t i = 0; i < m->records->len; i++) {
        GwRecord *r = g_ptr_array_index(m->records, i);
        if (!is_live(r) &&
            (oldest == NULL ||
             r->pub.state_since_us < oldest->pub.state_since_us)) {
            oldest = r;
        }
    }
    return oldest;
}

/* Adds an unconfirmed record; NULL when the table is full of live ones. */
GwRecord *
GwMembers_Insert(GwMembers *m, int64_t now_us, const GwMemberInfo *info)
{
    if (m->records->len >= GW_RECORDS_MAX) {
        GwRecord *old = oldest_dead(m);
        if (old == NULL) {
            return NULL;
        }
        remove_record(m, old);
    }
    GwRecord *r = g_new0(GwRecord, 1);
    r->pub.info = *info;
    r->pub.state_since_us = now_us;
    r->said = info->state;
    r->rumor_link.data = r;
    r->doubt_link.data = r;
    r->index = m->records->len;
    g_ptr_array_add(m->records, r);
    g_hash_table_insert(m->by_node, &r->pub.info.id.node, r);
    m->live++;
    return r;
}

/* Puts the record among those that callers see. */
void
GwMembers_Confirm(GwMembers *m, int64_t now_us, GwRecord *r, GwActions *out)
{
    if (r->confirmed) {
        return;
    }
    r->confirmed = true;
    r->met_us = now_us;
    r->forgotten = false;
    swap_records(m, r->index, m->visible);
    m->visible++;
    r->pub.state_since_us = now_us;
    if (r->said != GW_MEMBER_DEAD) {
        GwActions_Log(out, GW_LOG_MEMBER_UP, "member=%s start=%" PRIx64,
                      r->pub.info.name, r->pub.info.id.start);
    }
}

/* Takes the record out of what callers see. */
void
GwMembers_Hide(GwMembers *m, GwRecord *r)
{
    if (!r->confirmed) {
        return;
    }
    r->confirmed = false;
    m->visible--;
    swap_records(m, r->index, m->visible);
}

/* Ends a doubt: the member refuted it, or it is held dead now. */
void
GwMembers_ClearDoubt(GwMembers *m, GwRecord *r)
{
    if (r->doubt_us != 0) {
        r->doubt_us = 0;
        g_queue_unlink(&m->doubted, &r->doubt_link);
    }
}

static uint32_t
event_of(GwMemberState state)
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

/* Computes the state callers see. The list's "leaving" outranks "alive": an
 * instance that the platform is about to stop must get no new work, though
 * its process has not been told yet and says that it is alive. */
void
GwMembers_ShowState(GwMembers *m, int64_t now_us, GwRecord *r, GwActions *out)
{
    GwMemberState state = r->said;

    if (r->listed_leaving && state < GW_MEMBER_LEAVING) {
        state = GW_MEMBER_LEAVING;
    }
    if (state == r->pub.info.state) {
        return;
    }
    r->pub.info.state = state;
    r->pub.state_since_us = now_us;
    if (r->confirmed) {
        GwActions_Log(out, event_of(state), "member=%s", r->pub.info.name);
    }
}

/* Sets what the protocol says of a member; keeps counts and doubts right. */
void
GwMembers_SetState(GwMembers *m, int64_t now_us, GwRecord *r,
                   GwMemberState state, GwActions *out)
{
    bool was = is_live(r);

    r->said = state;
    if (was != is_live(r)) {
        m->live += was ? -1 : 1;
    }
    if (state == GW_MEMBER_DEAD) {
        GwMembers_ClearDoubt(m, r);
        r->digest_count = 0;
    }
    else {
        r->forgotten = false;
    }
    GwMembers_ShowState(m, now_us, r, out);
}

/* Forgets members dead for minutes, and after an hour their start too. Until
 * then an old ALIVE update of them, still carried by somebody who was cut off,
 * can't bring them back: its incarnation is not above the one that died. */
void
GwMembers_Sweep(GwMembers *m, int64_t now_us)
{
    for (uint32_t i = m->records->len; i-- > 0;) {
        GwRecord *r = g_ptr_array_index(m->records, i);
        if (is_live(r)) {
            continue;
        }
        int64_t dead_us = now_us - r->pub.state_since_us;
        if (dead_us > GW_TOMBSTONE_US) {
            remove_record(m, r);
        }
        else if (dead_us > GW_FORGET_US) {
            GwMembers_Hide(m, r);
            r->forgotten = true;
        }
    }
}
