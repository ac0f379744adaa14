/* Updates: what is carried with heartbeats, and how it is taken in. */
#include "member/member_internal.h"

#include <string.h>

/* Known members sent without being news: so that a table which missed an
 * update for good, since all its sends were lost, still converges. */
#define GW_REMINDERS_MAX 2
/* Whoever we met this lately is new, or we are: it gets full messages. */
#define GW_NEWCOMER_US 20000000LL

/* How often an update is sent: 3 * log2(n), enough to reach all with high
 * probability whatever the single losses. */
static uint32_t
sends_limit(const GwMembers *m)
{
    uint32_t bits = 1;

    for (uint32_t n = m->live + 1; n > 1; n >>= 1) {
        bits++;
    }
    return MIN(3 * bits, GW_RUMOR_SENDS_MAX - 1);
}

static void
enqueue(GwMembers *m, GwRecord *r, bool at_head)
{
    GQueue *queues =
        r->said == GW_MEMBER_LEAVING ? m->leaving_rumors : m->rumors;
    GQueue *queue = &queues[r->rumor_sends];

    r->rumor_queue = queue;
    if (at_head) {
        g_queue_push_head_link(queue, &r->rumor_link);
    }
    else {
        g_queue_push_tail_link(queue, &r->rumor_link);
    }
}

/* Stops carrying the update of a member. */
void
GwMembers_StopSpread(GwRecord *r)
{
    if (r->rumor_queue != NULL) {
        g_queue_unlink(r->rumor_queue, &r->rumor_link);
        r->rumor_queue = NULL;
    }
}

/* Carries the update of a member from now on, before older ones. */
void
GwMembers_Spread(GwMembers *m, GwRecord *r)
{
    GwMembers_StopSpread(r);
    r->rumor_sends = 0;
    enqueue(m, r, true);
}

/* What the protocol says of a member, as it goes on the wire. */
static GwMemberInfo
wire_info(const GwRecord *r)
{
    GwMemberInfo info = r->pub.info;
    info.state = r->said;
    return info;
}

static bool
is_in(const GwHeartbeat *hb, uint64_t node)
{
    for (uint32_t i = 0; i < hb->update_count; i++) {
        if (hb->updates[i].id.node == node) {
            return true;
        }
    }
    return false;
}

static void
add_update(GwHeartbeat *hb, const GwRecord *r)
{
    if (hb->update_count < GW_UPDATES_MAX && !is_in(hb, r->pub.info.id.node)) {
        hb->updates[hb->update_count++] = wire_info(r);
    }
}

static void
take_rumors(GwMembers *m, GQueue *queues, GwHeartbeat *hb)
{
    uint32_t limit = sends_limit(m);
    GwRecord *taken[GW_UPDATES_MAX];
    uint32_t count = 0;

    for (uint32_t sends = 0; sends < GW_RUMOR_SENDS_MAX; sends++) {
        GQueue *queue = &queues[sends];
        while (queue->head != NULL && count < GW_UPDATES_MAX &&
               hb->update_count < GW_UPDATES_MAX) {
            GwRecord *r = queue->head->data;
            add_update(hb, r);
            GwMembers_StopSpread(r);
            taken[count++] = r;
        }
    }
    for (uint32_t i = 0; i < count; i++) {
        taken[i]->rumor_sends++;
        if (taken[i]->rumor_sends < limit) {
            enqueue(m, taken[i], false);
        }
    }
}

static void
add_reminders(GwMembers *m, GwHeartbeat *hb)
{
    for (uint32_t i = 0; i < GW_REMINDERS_MAX && m->records->len > 0; i++) {
        GwRecord *r = g_ptr_array_index(m->records,
                                        GwRng_Below(&m->rng, m->records->len));
        if (!r->forgotten) {
            add_update(hb, r);
        }
    }
}

/* Fills the message to a newcomer with live members, those of its region
 * first: it would else learn of hundreds by the few reminders only. */
static void
add_introductions(GwMembers *m, const GwRecord *to, GwHeartbeat *hb)
{
    if (to == NULL || m->tick_us - to->met_us > GW_NEWCOMER_US) {
        return;
    }
    for (uint32_t i = 0; i < 4 * GW_UPDATES_MAX && m->visible > 0; i++) {
        const GwRecord *r =
            g_ptr_array_index(m->records, GwRng_Below(&m->rng, m->visible));
        bool near = r->pub.info.region == to->pub.info.region;
        if (r->said == GW_MEMBER_ALIVE && (near || i >= 3 * GW_UPDATES_MAX)) {
            add_update(hb, r);
        }
    }
}

/* Own info first: it answers who is speaking. Then what we hold of the
 * receiver when that is not "alive": only it can refute. Then members that
 * leave, then news by the number of sends, then reminders. */
void
GwMembers_FillUpdates(GwMembers *m, const GwRecord *to, GwHeartbeat *hb)
{
    hb->updates[hb->update_count++] = m->self;
    if (to != NULL && to->said != GW_MEMBER_ALIVE) {
        add_update(hb, to);
    }
    take_rumors(m, m->leaving_rumors, hb);
    take_rumors(m, m->rumors, hb);
    add_reminders(m, hb);
    add_introductions(m, to, hb);
}

/* Larger start, then larger incarnation, then larger state. */
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

/* Somebody says that this process is suspect or dead: a larger incarnation
 * than the claim's refutes it, since no one else may raise ours. */
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
adopt(GwMembers *m, int64_t now_us, GwRecord *r, const GwMemberInfo *u,
      GwActions *out)
{
    GwMemberState shown = r->pub.info.state;
    bool restarted = u->id.start != r->pub.info.id.start;

    r->pub.info = *u;
    r->pub.info.state = shown;
    if (restarted) {
        GwMembers_Hide(m, r);
        r->listed_leaving = false;
        r->digest_count = 0;
        r->pub.heard_us = 0;
        r->pub.config_version = 0;
    }
    if (u->state != GW_MEMBER_SUSPECT) {
        GwMembers_ClearDoubt(m, r);
    }
    bool was_dead = r->said == GW_MEMBER_DEAD;
    GwMembers_SetState(m, now_us, r, u->state, out);
    if (was_dead && u->state != GW_MEMBER_DEAD) {
        GwMembers_JoinRound(m, r);
    }
    GwMembers_Spread(m, r);
}

/* Hearsay that a member is suspect or dead does not outrank our own ears. A
 * member heard directly within the suspicion time is told of the claim, and
 * keeps its state here. One heard longer ago is suspected, whatever the claim:
 * the time-out that follows is its chance to refute. Without this, two regions
 * that meet again would pass on the verdicts of the time apart, and a region
 * would hold its own live members dead for a moment. A member that is gone in
 * truth is out one suspicion later. Returns false when the update is not to be
 * taken in. */
static bool
temper(GwMembers *m, int64_t now_us, GwRecord *r, GwMemberInfo *u,
       const GwCargo *cargo, GwActions *out)
{
#if GW_MUTANT == 42 /* breaks: hearsay outranks our own ears */
    return true;
#endif
    if ((u->state != GW_MEMBER_SUSPECT && u->state != GW_MEMBER_DEAD) ||
        u->id.start != r->pub.info.id.start || r->pub.heard_us == 0) {
        return true;
    }
    if (now_us - r->pub.heard_us < m->params.suspect_timeout_ms * 1000LL) {
        GwMembers_Accuse(m, now_us, r, u, cargo, out);
        return false;
    }
    if (r->said == GW_MEMBER_ALIVE || r->said == GW_MEMBER_SUSPECT) {
        u->state = GW_MEMBER_SUSPECT;
    }
    return supersedes(u, r->pub.info.id, r->pub.info.incarnation, r->said);
}

static bool
learn_new(GwMembers *m, int64_t now_us, const GwMemberInfo *u)
{
    if (u->state == GW_MEMBER_DEAD) {
        return false;
    }
    GwRecord *r = GwMembers_Insert(m, now_us, u);
    if (r == NULL) {
        return false;
    }
    GwMembers_JoinRound(m, r);
    GwMembers_Spread(m, r);
    if (r->pub.info.region == m->self.region) {
        g_array_append_val(m->strangers, r->pub.info.id.node);
    }
    return true;
}

/* Takes in one update; `direct` when the member itself said it. Returns true
 * when the table changed. */
bool
GwMembers_Apply(GwMembers *m, int64_t now_us, const GwMemberInfo *update,
                bool direct, const GwCargo *cargo, GwActions *out)
{
    GwMemberInfo u = *update;
    GwRecord *r = GwMembers_Record(m, u.id.node);

    if (u.id.node == m->self.id.node) {
        return refute(m, &u);
    }
    if (r == NULL) {
        if (!learn_new(m, now_us, &u)) {
            return false;
        }
        r = GwMembers_Record(m, u.id.node);
    }
    else {
#if GW_MUTANT == 41 /* breaks: an old ALIVE revives the dead */
        if (u.id.start < r->pub.info.id.start) {
#else
        if (!supersedes(&u, r->pub.info.id, r->pub.info.incarnation,
                        r->said)) {
#endif
            return false;
        }
        if (!direct && !temper(m, now_us, r, &u, cargo, out)) {
            return false;
        }
        adopt(m, now_us, r, &u, out);
    }
    if (u.state == GW_MEMBER_SUSPECT) {
        GwMembers_Doubt(m, now_us, r, cargo, out);
    }
    return true;
}
