/* Failure detection: probes, indirect probes, doubts, healing. */
#include "member/member_internal.h"

/* Probes of unheard members of the own region, a period. */
#define GW_GREETINGS_MAX 4

static int64_t
period_us(const GwMembers *m)
{
    return m->params.probe_period_ms * 1000LL;
}

/* Appends a heartbeat of the kind; its seq is left to the caller. `to` may be
 * NULL while only the address is known. */
GwHeartbeat *
GwMembers_Send(GwMembers *m, GwMessageKind kind, const GwRecord *to,
               GwNodeId id, const char *address, const GwCargo *cargo,
               GwActions *out)
{
    GwAction *action = GwActions_Add(out, GW_ACTION_SEND);
    GwMessage *msg = GwMessage_Create(kind, m->self.id);
    GwHeartbeat *hb = &msg->u.heartbeat;

    g_strlcpy(action->u.send.address, address, GW_ADDR_MAX);
    action->u.send.to = id;
    action->u.send.message = msg;
    hb->config_version = cargo->config_version;
    GwMembers_FillUpdates(m, to, hb);
    GwMembers_FillDigests(m, to, cargo, hb);
    hb->drain_count = MIN(cargo->drain_count, GW_DRAINS_MAX);
    for (uint32_t i = 0; i < hb->drain_count; i++) {
        hb->drains[i] = cargo->drains[i];
    }
    return hb;
}

static GwHeartbeat *
send_to(GwMembers *m, GwMessageKind kind, const GwRecord *to,
        const GwCargo *cargo, GwActions *out)
{
    return GwMembers_Send(m, kind, to, to->pub.info.id,
                          to->pub.info.peer_address, cargo, out);
}

/* Puts a member into the round of probes. One of the own region comes next:
 * callers see it only once it answered, and they need it most. */
void
GwMembers_JoinRound(GwMembers *m, const GwRecord *r)
{
    uint64_t node = r->pub.info.id.node;
    uint32_t at = m->cursor;

    if (r->pub.info.region != m->self.region) {
        at += GwRng_Below(&m->rng, m->round->len - m->cursor + 1);
    }
    g_array_insert_val(m->round, at, node);
}

static void
new_round(GwMembers *m)
{
    g_array_set_size(m->round, 0);
    m->cursor = 0;
    for (uint32_t i = 0; i < m->records->len; i++) {
        const GwRecord *r = g_ptr_array_index(m->records, i);
        if (r->said != GW_MEMBER_DEAD) {
            g_array_append_val(m->round, r->pub.info.id.node);
        }
    }
    for (uint32_t i = m->round->len; i > 1; i--) {
        uint32_t j = GwRng_Below(&m->rng, i);
        uint64_t *a = &g_array_index(m->round, uint64_t, i - 1);
        uint64_t *b = &g_array_index(m->round, uint64_t, j);
        uint64_t node = *a;
        *a = *b;
        *b = node;
    }
}

/* The next member of the round; NULL when nobody is left to probe. */
static GwRecord *
next_target(GwMembers *m)
{
    for (uint32_t round = 0; round < 2; round++) {
        while (m->cursor < m->round->len) {
            uint64_t node = g_array_index(m->round, uint64_t, m->cursor++);
            GwRecord *r = GwMembers_Record(m, node);
            if (r != NULL && r->said != GW_MEMBER_DEAD) {
                return r;
            }
        }
        new_round(m);
    }
    return NULL;
}

/* A live confirmed member drawn at random; NULL when none was met in a few
 * draws. */
GwRecord *
GwMembers_RandomLive(GwMembers *m)
{
    for (uint32_t i = 0; i < 8 && m->visible > 0; i++) {
        GwRecord *r =
            g_ptr_array_index(m->records, GwRng_Below(&m->rng, m->visible));
        if (r->said != GW_MEMBER_DEAD) {
            return r;
        }
    }
    return NULL;
}

/* Tells a member what is claimed of it, at most once a period, so that one
 * received message can't make this node send many. */
void
GwMembers_Accuse(GwMembers *m, int64_t now_us, GwRecord *r,
                 const GwMemberInfo *claim, const GwCargo *cargo,
                 GwActions *out)
{
    if (r->accused_us != 0 && now_us - r->accused_us < period_us(m)) {
        return;
    }
    r->accused_us = now_us;
    GwHeartbeat *hb = send_to(m, GW_MSG_PROBE, r, cargo, out);
    hb->seq = m->next_seq++;
    if (hb->update_count == GW_UPDATES_MAX) {
        hb->update_count--;
    }
    hb->updates[hb->update_count++] = *claim;
}

/* Begins to doubt a member. A live one becomes suspect. One that leaves stays
 * "leaving", which already keeps work away, and the doubt is ours alone. The
 * member itself is told at once: it alone can refute. */
void
GwMembers_Doubt(GwMembers *m, int64_t now_us, GwRecord *r,
                const GwCargo *cargo, GwActions *out)
{
    if (r->doubt_us != 0 || r->said == GW_MEMBER_DEAD) {
        return;
    }
    r->doubt_us = now_us;
    g_queue_push_tail_link(&m->doubted, &r->doubt_link);
    if (r->said == GW_MEMBER_ALIVE) {
        GwMembers_SetState(m, now_us, r, GW_MEMBER_SUSPECT, out);
        GwMembers_Spread(m, r);
    }
    GwMemberInfo claim = r->pub.info;
    claim.state = r->said;
    GwMembers_Accuse(m, now_us, r, &claim, cargo, out);
}

/* A suspicion has to reach its subject and the answer has to come back; by
 * gossip that takes a time that grows with log(n). */
static int64_t
suspicion_us(const GwMembers *m)
{
    uint32_t factor = 1;

    for (uint32_t n = m->live; n >= 64; n >>= 2) {
        factor++;
    }
    return m->params.suspect_timeout_ms * 1000LL * factor;
}

/* Ends doubts that lasted: the member is held dead. Not so when it spoke to us
 * since the doubt began: then only its refutation was lost, and it is told
 * again. */
static void
settle_doubts(GwMembers *m, int64_t now_us, const GwCargo *cargo,
              GwActions *out)
{
    while (m->doubted.head != NULL) {
        GwRecord *r = m->doubted.head->data;
        if (now_us - r->doubt_us < suspicion_us(m)) {
            return;
        }
        bool spoke = r->pub.heard_us > r->doubt_us;
        GwMembers_ClearDoubt(m, r);
        if (spoke) {
            GwMembers_Doubt(m, now_us, r, cargo, out);
            continue;
        }
        GwMembers_SetState(m, now_us, r, GW_MEMBER_DEAD, out);
        GwMembers_Spread(m, r);
    }
}

/* Who is asked for an indirect probe: one near the target while `near`, so
 * that the way crosses regions twice and not four times; NULL when none was
 * drawn. */
static const GwRecord *
draw_prober(GwMembers *m, const GwRecord *target, bool near)
{
    const GwRecord *r = GwMembers_RandomLive(m);

    if (r == NULL || r == target ||
        (near && r->pub.info.region != target->pub.info.region)) {
        return NULL;
    }
    return r;
}

/* The probe had no ack in time. It is sent again, and through others: a lost
 * message alone must not make a live member suspect, since callers are sent
 * elsewhere until it refuted. Probers of the target's region come first: a
 * way through a third region would take longer than what is left of the
 * period. The last prober is anybody, for when our region and the
 * target's lost each other. */
static void
ask_others(GwMembers *m, const GwCargo *cargo, GwActions *out)
{
    const GwRecord *target = GwMembers_Record(m, m->probe.target.node);
    uint64_t asked[16];
    uint32_t count = 0;

    m->probe.indirect = true;
    if (target == NULL) {
        return;
    }
    send_to(m, GW_MSG_PROBE, target, cargo, out)->seq = m->probe.seq;
    uint32_t want = MIN(m->params.indirect_probes, G_N_ELEMENTS(asked));
    for (uint32_t draw = 0; draw < 8 * want && count < want; draw++) {
        bool near = draw < 4 * want && count + 1 < want;
        const GwRecord *r = draw_prober(m, target, near);
        for (uint32_t i = 0; r != NULL && i < count; i++) {
            r = asked[i] == r->pub.info.id.node ? NULL : r;
        }
        if (r == NULL) {
            continue;
        }
        asked[count++] = r->pub.info.id.node;
        GwHeartbeat *hb = send_to(m, GW_MSG_PING_REQ, r, cargo, out);
        hb->seq = m->probe.seq;
        hb->target = m->probe.target;
    }
}

static void
start_probe(GwMembers *m, int64_t now_us, const GwCargo *cargo, GwActions *out)
{
    GwRecord *r = next_target(m);

    m->probe = (GwProbe){0};
    if (r == NULL) {
        return;
    }
    m->probe = (GwProbe){.active = true,
                         .target = r->pub.info.id,
                         .seq = m->next_seq++,
                         .sent_us = now_us};
    send_to(m, GW_MSG_PROBE, r, cargo, out)->seq = m->probe.seq;
}

/* Calls on members of the own region known by hearsay alone, a few a period,
 * beside the round: in a region of hundreds the round takes minutes, and until
 * then callers don't see them. One that does not answer is left to the
 * round. */
static void
greet_strangers(GwMembers *m, const GwCargo *cargo, GwActions *out)
{
    uint32_t sent = 0;

    while (m->strangers->len > 0 && sent < GW_GREETINGS_MAX) {
        uint32_t last = m->strangers->len - 1;
        uint64_t node = g_array_index(m->strangers, uint64_t, last);
        const GwRecord *r = GwMembers_Record(m, node);
        g_array_set_size(m->strangers, last);
        if (r == NULL || r->confirmed || r->said == GW_MEMBER_DEAD) {
            continue;
        }
        send_to(m, GW_MSG_PROBE, r, cargo, out)->seq = m->next_seq++;
        sent++;
    }
}

static void
finish_probe(GwMembers *m, int64_t now_us, const GwCargo *cargo,
             GwActions *out)
{
    GwRecord *r = GwMembers_Record(m, m->probe.target.node);

    if (!m->probe.active || m->probe.acked || r == NULL ||
        !GwNodeId_Equal(r->pub.info.id, m->probe.target) ||
        r->pub.heard_us >= m->probe.sent_us) {
        return;
    }
    GwMembers_Doubt(m, now_us, r, cargo, out);
}

static bool
needs_healing(const GwMembers *m, const char *name)
{
    const GwRecord *r = GwMembers_Record(m, GwName_Hash64(name));

    return r == NULL || r->said == GW_MEMBER_DEAD;
}

static void
probe_seed(GwMembers *m, const GwListed *seed, const GwCargo *cargo,
           GwActions *out)
{
    const GwRecord *r = GwMembers_Record(m, GwName_Hash64(seed->name));

    GwMembers_Send(m, GW_MSG_PROBE, r, (GwNodeId){0}, seed->peer_address,
                   cargo, out)
        ->seq = m->next_seq++;
}

/* Now and then a probe to somebody held dead, or listed and never heard: two
 * regions that lost each other for minutes hold each other dead, and would
 * never speak again. One answer is enough to merge, by gossip. */
static void
heal(GwMembers *m, const GwCargo *cargo, GwActions *out)
{
    uint32_t start =
        m->seeds->len > 0 ? GwRng_Below(&m->rng, m->seeds->len) : 0;

    for (uint32_t i = 0; i < m->seeds->len; i++) {
        const GwListed *seed =
            &g_array_index(m->seeds, GwListed, (start + i) % m->seeds->len);
        if (needs_healing(m, seed->name)) {
            probe_seed(m, seed, cargo, out);
            break;
        }
    }
    uint32_t count = m->records->len;
    start = count > 0 ? GwRng_Below(&m->rng, count) : 0;
    for (uint32_t i = 0; i < count; i++) {
        GwRecord *r = g_ptr_array_index(m->records, (start + i) % count);
        if (r->said == GW_MEMBER_DEAD) {
            send_to(m, GW_MSG_PROBE, r, cargo, out)->seq = m->next_seq++;
            return;
        }
    }
}

/* A paused process blames nobody: the acks that came in meanwhile are still
 * unread. Probes in flight are dropped, and doubts are put off by the length
 * of the pause. A pause shorter than the time-out of a probe does no harm. */
static void
forgive(GwMembers *m, int64_t gap_us)
{
#if GW_MUTANT == 43 /* breaks: a woken process blames others */
    return;
#endif
    m->probe = (GwProbe){0};
    for (GList *l = m->doubted.head; l != NULL; l = l->next) {
        GwRecord *r = l->data;
        r->doubt_us += gap_us;
    }
}

/* Whether a tick may send: the probe's time-out, the period, a doubt's end or
 * the healing has come. */
bool
GwMembers_IsDue(const GwMembers *m, int64_t now_us)
{
    bool waits = m->probe.active && !m->probe.acked && !m->probe.indirect;
    const GwRecord *doubted =
        m->doubted.head == NULL ? NULL : m->doubted.head->data;

    return now_us >= m->next_probe_us || now_us >= m->next_heal_us ||
           (waits && now_us - m->probe.sent_us >=
                         m->params.probe_timeout_ms * 1000LL) ||
           (doubted != NULL && now_us - doubted->doubt_us >= suspicion_us(m));
}

/* Everything that happens by time alone. */
void
GwMembers_ProbeTick(GwMembers *m, int64_t now_us, const GwCargo *cargo,
                    GwActions *out)
{
    int64_t gap_us = now_us - m->tick_us;

    if (m->tick_us != 0 && gap_us > m->params.probe_timeout_ms * 1000LL) {
        forgive(m, gap_us);
    }
    m->tick_us = now_us;
    settle_doubts(m, now_us, cargo, out);
    if (m->probe.active && !m->probe.acked && !m->probe.indirect &&
        now_us - m->probe.sent_us >= m->params.probe_timeout_ms * 1000LL) {
        ask_others(m, cargo, out);
    }
    if (now_us >= m->next_probe_us) {
        finish_probe(m, now_us, cargo, out);
        start_probe(m, now_us, cargo, out);
        greet_strangers(m, cargo, out);
        m->next_probe_us =
            now_us +
            GwRng_Jitter(&m->rng, period_us(m) * 9 / 10, period_us(m) / 5);
    }
    if (now_us >= m->next_heal_us) {
        heal(m, cargo, out);
        /* Until somebody answers there is nobody to learn from. */
        int64_t heal_us = m->visible == 0 ? period_us(m) : GW_HEAL_PERIOD_US;
        m->next_heal_us =
            now_us + GwRng_Jitter(&m->rng, heal_us * 3 / 4, heal_us / 2);
    }
    if (now_us >= m->next_sweep_us) {
        GwMembers_Sweep(m, now_us);
        m->next_sweep_us = now_us + GW_SWEEP_PERIOD_US;
    }
}

/* An ack: of our probe, straight or through another, or of one that we made
 * for another member, to whom it is passed on. */
void
GwMembers_Acked(GwMembers *m, const GwMessage *msg, const GwCargo *cargo,
                GwActions *out)
{
    const GwHeartbeat *hb = &msg->u.heartbeat;

    if (m->probe.active && hb->seq == m->probe.seq &&
        (GwNodeId_Equal(msg->from, m->probe.target) ||
         GwNodeId_Equal(hb->target, m->probe.target))) {
        m->probe.acked = true;
    }
    for (uint32_t i = 0; i < GW_RELAYS_MAX; i++) {
        GwRelayedProbe *relay = &m->relays[i];
        if (relay->seq == 0 || relay->seq != hb->seq ||
            !GwNodeId_Equal(relay->target, msg->from)) {
            continue;
        }
        GwHeartbeat *ack = GwMembers_Send(
            m, GW_MSG_ACK, GwMembers_Record(m, relay->asker.node),
            relay->asker, relay->address, cargo, out);
        ack->seq = relay->origin_seq;
        ack->target = relay->target;
        relay->seq = 0;
    }
}

/* A PING_REQ: probe its target and remember who asked. */
void
GwMembers_ProbeFor(GwMembers *m, const GwMessage *msg, const GwRecord *asker,
                   const GwCargo *cargo, GwActions *out)
{
    const GwHeartbeat *hb = &msg->u.heartbeat;
    const GwRecord *target = GwMembers_Record(m, hb->target.node);

    if (target == NULL || !GwNodeId_Equal(target->pub.info.id, hb->target)) {
        return;
    }
    GwRelayedProbe *relay = &m->relays[m->next_relay++ % GW_RELAYS_MAX];
    *relay = (GwRelayedProbe){.seq = m->next_seq++,
                              .origin_seq = hb->seq,
                              .target = hb->target,
                              .asker = msg->from};
    g_strlcpy(relay->address, asker->pub.info.peer_address, GW_ADDR_MAX);
    send_to(m, GW_MSG_PROBE, target, cargo, out)->seq = relay->seq;
}
