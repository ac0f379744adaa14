/* Failure detection: direct and indirect probes, suspicion, partition
 * healing. */
#include "member/member_internal.h"

/* Probes of unconfirmed members of this node's region per period. */
#define GW_UNCONFIRMED_PROBES_MAX 4

static int64_t
period_us(const GwMembers *m)
{
    return m->params.probe_period_ms * 1000LL;
}

/* Appends a message of `kind`, whose seq is left to be set. `to` may be NULL
 * if only the address is known. */
GwHeartbeat *
GwMembers_Send(GwMembers *m, GwMessageKind kind, const GwMemberRecord *to,
               GwNodeId id, const char *address, const GwPiggyback *piggyback,
               GwActions *out)
{
    GwAction *action = GwActions_Add(out, GW_ACTION_SEND);
    GwMessage *msg = GwMessage_Create(kind, m->self.id);
    GwHeartbeat *hb = &msg->u.heartbeat;

    g_strlcpy(action->u.send.address, address, GW_ADDR_MAX);
    action->u.send.to = id;
    action->u.send.message = msg;
    hb->config_version = piggyback->config_version;
    GwMembers_FillUpdates(m, to, hb);
    GwMembers_FillDigests(m, to, piggyback, hb);
    hb->drain_count = MIN(piggyback->drain_count, GW_DRAINS_MAX);
    for (uint32_t i = 0; i < hb->drain_count; i++) {
        hb->drains[i] = piggyback->drains[i];
    }
    return hb;
}

static GwHeartbeat *
send_to(GwMembers *m, GwMessageKind kind, const GwMemberRecord *to,
        const GwPiggyback *piggyback, GwActions *out)
{
    return GwMembers_Send(m, kind, to, to->pub.info.id,
                          to->pub.info.peer_address, piggyback, out);
}

/* Inserts a member into the current probe round. A member of this node's
 * region is probed next, since members get traffic only after they have
 * answered, and traffic stays in the region where possible. */
void
GwMembers_JoinRound(GwMembers *m, const GwMemberRecord *r)
{
    uint64_t node = r->pub.info.id.node;
    uint32_t at = m->cursor;

    if (r->pub.info.region != m->self.region) {
        at += GwRng_Below(&m->rng, m->round->len - m->cursor + 1);
    }
    g_array_insert_val(m->round, at, node);
}

static void
start_round(GwMembers *m)
{
    g_array_set_size(m->round, 0);
    m->cursor = 0;
    for (uint32_t i = 0; i < m->records->len; i++) {
        const GwMemberRecord *r = g_ptr_array_index(m->records, i);
        if (r->gossip_state != GW_MEMBER_DEAD) {
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

/* Returns the next member to probe, or NULL if none is left. */
static GwMemberRecord *
next_target(GwMembers *m)
{
    for (uint32_t round = 0; round < 2; round++) {
        while (m->cursor < m->round->len) {
            uint64_t node = g_array_index(m->round, uint64_t, m->cursor++);
            GwMemberRecord *r = GwMembers_FindRecord(m, node);
            if (r != NULL && r->gossip_state != GW_MEMBER_DEAD) {
                return r;
            }
        }
        start_round(m);
    }
    return NULL;
}

/* Draws a random visible member that is not dead; NULL if a few draws found
 * none. */
GwMemberRecord *
GwMembers_DrawLive(GwMembers *m)
{
    for (uint32_t i = 0; i < 8 && m->visible > 0; i++) {
        GwMemberRecord *r =
            g_ptr_array_index(m->records, GwRng_Below(&m->rng, m->visible));
        if (r->gossip_state != GW_MEMBER_DEAD) {
            return r;
        }
    }
    return NULL;
}

/* Sends a member the claim that others make about it, at most once per
 * period, so that one received message cannot make this node send many. */
void
GwMembers_SendClaim(GwMembers *m, int64_t now_us, GwMemberRecord *r,
                    const GwMemberInfo *claim, const GwPiggyback *piggyback,
                    GwActions *out)
{
    if (r->claim_sent_us != 0 && now_us - r->claim_sent_us < period_us(m)) {
        return;
    }
    r->claim_sent_us = now_us;
    GwHeartbeat *hb = send_to(m, GW_MSG_PROBE, r, piggyback, out);
    hb->seq = m->next_seq++;
    if (hb->update_count == GW_UPDATES_MAX) {
        hb->update_count--;
    }
    hb->updates[hb->update_count++] = *claim;
}

/* Starts a suspicion. An ALIVE member becomes SUSPECT. A LEAVING member
 * keeps its state, which already keeps work away, and the suspicion stays
 * local. The member is notified at once, since no other node can refute the
 * claim. */
void
GwMembers_Suspect(GwMembers *m, int64_t now_us, GwMemberRecord *r,
                  const GwPiggyback *piggyback, GwActions *out)
{
    if (r->suspected_us != 0 || r->gossip_state == GW_MEMBER_DEAD) {
        return;
    }
    r->suspected_us = now_us;
    g_queue_push_tail_link(&m->suspicions, &r->suspicion_link);
    if (r->gossip_state == GW_MEMBER_ALIVE) {
        GwMembers_SetState(m, now_us, r, GW_MEMBER_SUSPECT, out);
        GwMembers_QueueUpdate(m, r);
    }
    GwMemberInfo claim = r->pub.info;
    claim.state = r->gossip_state;
    GwMembers_SendClaim(m, now_us, r, &claim, piggyback, out);
}

/* Returns the suspicion time-out. Within that time the claim must reach the
 * suspected member and the refutation must reach this node; by gossip both
 * take a time that grows with log(n). */
static int64_t
suspicion_timeout_us(const GwMembers *m)
{
    uint32_t factor = 1;

    for (uint32_t n = m->live; n >= 64; n >>= 2) {
        factor++;
    }
    return m->params.suspect_timeout_ms * 1000LL * factor;
}

/* Ends suspicions that timed out: the member becomes dead. If a message
 * came from the member since the suspicion began, only the refutation was
 * lost; then the suspicion restarts and the claim is sent again. */
static void
expire_suspicions(GwMembers *m, int64_t now_us, const GwPiggyback *piggyback,
                  GwActions *out)
{
    while (m->suspicions.head != NULL) {
        GwMemberRecord *r = m->suspicions.head->data;
        if (now_us - r->suspected_us < suspicion_timeout_us(m)) {
            return;
        }
        bool is_reachable = r->pub.heard_us > r->suspected_us;
        GwMembers_ClearSuspicion(m, r);
        if (is_reachable) {
            GwMembers_Suspect(m, now_us, r, piggyback, out);
            continue;
        }
        GwMembers_SetState(m, now_us, r, GW_MEMBER_DEAD, out);
        GwMembers_QueueUpdate(m, r);
    }
}

/* Draws a member for an indirect probe; NULL if the draw is unsuitable. With
 * `same_region`, only members of the target's region qualify, so that the
 * probe crosses between regions twice and not four times. */
static const GwMemberRecord *
draw_relay(GwMembers *m, const GwMemberRecord *target, bool same_region)
{
    const GwMemberRecord *r = GwMembers_DrawLive(m);

    if (r == NULL || r == target ||
        (same_region && r->pub.info.region != target->pub.info.region)) {
        return NULL;
    }
    return r;
}

/* Handles a probe without an ack: repeats it directly and through other
 * members. A single lost message must not make a live member suspect, since
 * traffic moves away until the refutation. Members of the target's region are
 * asked first: a path through a third region would take longer than the rest
 * of the period. The last member asked may be of any region, in case this
 * node's region and the target's cannot reach each other. */
static void
send_indirect_probes(GwMembers *m, const GwPiggyback *piggyback,
                     GwActions *out)
{
    const GwMemberRecord *target =
        GwMembers_FindRecord(m, m->probe.target.node);
    uint64_t asked[16];
    uint32_t count = 0;

    m->probe.indirect = true;
    if (target == NULL) {
        return;
    }
    send_to(m, GW_MSG_PROBE, target, piggyback, out)->seq = m->probe.seq;
    uint32_t want = MIN(m->params.indirect_probes, G_N_ELEMENTS(asked));
    for (uint32_t draw = 0; draw < 8 * want && count < want; draw++) {
        bool same_region = draw < 4 * want && count + 1 < want;
        const GwMemberRecord *r = draw_relay(m, target, same_region);
        for (uint32_t i = 0; r != NULL && i < count; i++) {
            r = asked[i] == r->pub.info.id.node ? NULL : r;
        }
        if (r == NULL) {
            continue;
        }
        asked[count++] = r->pub.info.id.node;
        GwHeartbeat *hb = send_to(m, GW_MSG_PING_REQ, r, piggyback, out);
        hb->seq = m->probe.seq;
        hb->target = m->probe.target;
    }
}

static void
start_probe(GwMembers *m, int64_t now_us, const GwPiggyback *piggyback,
            GwActions *out)
{
    GwMemberRecord *r = next_target(m);

    m->probe = (GwProbe){0};
    if (r == NULL) {
        return;
    }
    m->probe = (GwProbe){.active = true,
                         .target = r->pub.info.id,
                         .seq = m->next_seq++,
                         .sent_us = now_us};
    send_to(m, GW_MSG_PROBE, r, piggyback, out)->seq = m->probe.seq;
}

/* Probes unconfirmed members of this node's region, a few per period in
 * addition to the round. In a region of hundreds of members the round takes
 * minutes, and unconfirmed members get no traffic. A member that does not
 * answer is left to the round. */
static void
probe_unconfirmed(GwMembers *m, const GwPiggyback *piggyback, GwActions *out)
{
    uint32_t sent = 0;

    while (m->unconfirmed->len > 0 && sent < GW_UNCONFIRMED_PROBES_MAX) {
        uint32_t last = m->unconfirmed->len - 1;
        uint64_t node = g_array_index(m->unconfirmed, uint64_t, last);
        const GwMemberRecord *r = GwMembers_FindRecord(m, node);
        g_array_set_size(m->unconfirmed, last);
        if (r == NULL || r->is_confirmed ||
            r->gossip_state == GW_MEMBER_DEAD) {
            continue;
        }
        send_to(m, GW_MSG_PROBE, r, piggyback, out)->seq = m->next_seq++;
        sent++;
    }
}

static void
finish_probe(GwMembers *m, int64_t now_us, const GwPiggyback *piggyback,
             GwActions *out)
{
    GwMemberRecord *r = GwMembers_FindRecord(m, m->probe.target.node);

    if (!m->probe.active || m->probe.acked || r == NULL ||
        !GwNodeId_Equal(r->pub.info.id, m->probe.target) ||
        r->pub.heard_us >= m->probe.sent_us) {
        return;
    }
    GwMembers_Suspect(m, now_us, r, piggyback, out);
}

static bool
needs_healing(const GwMembers *m, const char *name)
{
    const GwMemberRecord *r = GwMembers_FindRecord(m, GwName_Hash64(name));

    return r == NULL || r->gossip_state == GW_MEMBER_DEAD;
}

static void
probe_seed(GwMembers *m, const GwInstanceListItem *seed,
           const GwPiggyback *piggyback, GwActions *out)
{
    const GwMemberRecord *r =
        GwMembers_FindRecord(m, GwName_Hash64(seed->name));

    GwMembers_Send(m, GW_MSG_PROBE, r, (GwNodeId){0}, seed->peer_address,
                   piggyback, out)
        ->seq = m->next_seq++;
}

/* Heals partitions: probes one listed instance that is unknown or dead, and
 * one dead member. Two regions separated for minutes consider each other
 * dead and would not probe each other again. One ack is enough to merge
 * them by gossip. */
static void
heal(GwMembers *m, const GwPiggyback *piggyback, GwActions *out)
{
    uint32_t start =
        m->seeds->len > 0 ? GwRng_Below(&m->rng, m->seeds->len) : 0;

    for (uint32_t i = 0; i < m->seeds->len; i++) {
        const GwInstanceListItem *seed = &g_array_index(
            m->seeds, GwInstanceListItem, (start + i) % m->seeds->len);
        if (needs_healing(m, seed->name)) {
            probe_seed(m, seed, piggyback, out);
            break;
        }
    }
    uint32_t count = m->records->len;
    start = count > 0 ? GwRng_Below(&m->rng, count) : 0;
    for (uint32_t i = 0; i < count; i++) {
        GwMemberRecord *r = g_ptr_array_index(m->records, (start + i) % count);
        if (r->gossip_state == GW_MEMBER_DEAD) {
            send_to(m, GW_MSG_PROBE, r, piggyback, out)->seq = m->next_seq++;
            return;
        }
    }
}

/* Discounts a pause of this process, during which acks arrived but were not
 * read: drops the probe in flight and extends suspicions by the length of
 * the pause. A pause below the probe time-out needs no correction. */
static void
discount_pause(GwMembers *m, int64_t gap_us)
{
#if GW_MUTANT == 43 /* breaks: a process suspects others for its own pause */
    return;
#endif
    m->probe = (GwProbe){0};
    for (GList *l = m->suspicions.head; l != NULL; l = l->next) {
        GwMemberRecord *r = l->data;
        r->suspected_us += gap_us;
    }
}

/* Returns whether a tick may send: the probe time-out, the probe period,
 * the end of a suspicion or the next healing is due. */
bool
GwMembers_IsDue(const GwMembers *m, int64_t now_us)
{
    bool awaits_ack = m->probe.active && !m->probe.acked && !m->probe.indirect;
    const GwMemberRecord *oldest =
        m->suspicions.head == NULL ? NULL : m->suspicions.head->data;

    return now_us >= m->next_probe_us || now_us >= m->next_heal_us ||
           (awaits_ack && now_us - m->probe.sent_us >=
                              m->params.probe_timeout_ms * 1000LL) ||
           (oldest != NULL &&
            now_us - oldest->suspected_us >= suspicion_timeout_us(m));
}

/* Runs all timers. */
void
GwMembers_ProbeTick(GwMembers *m, int64_t now_us, const GwPiggyback *piggyback,
                    GwActions *out)
{
    int64_t gap_us = now_us - m->tick_us;

    if (m->tick_us != 0 && gap_us > m->params.probe_timeout_ms * 1000LL) {
        discount_pause(m, gap_us);
    }
    m->tick_us = now_us;
    expire_suspicions(m, now_us, piggyback, out);
    if (m->probe.active && !m->probe.acked && !m->probe.indirect &&
        now_us - m->probe.sent_us >= m->params.probe_timeout_ms * 1000LL) {
        send_indirect_probes(m, piggyback, out);
    }
    if (now_us >= m->next_probe_us) {
        finish_probe(m, now_us, piggyback, out);
        start_probe(m, now_us, piggyback, out);
        probe_unconfirmed(m, piggyback, out);
        m->next_probe_us =
            now_us +
            GwRng_Jitter(&m->rng, period_us(m) * 9 / 10, period_us(m) / 5);
    }
    if (now_us >= m->next_heal_us) {
        heal(m, piggyback, out);
        /* Until a first member answers, healing is the only way to join. */
        int64_t heal_us = m->visible == 0 ? period_us(m) : GW_HEAL_PERIOD_US;
        m->next_heal_us =
            now_us + GwRng_Jitter(&m->rng, heal_us * 3 / 4, heal_us / 2);
    }
    if (now_us >= m->next_sweep_us) {
        GwMembers_Sweep(m, now_us);
        m->next_sweep_us = now_us + GW_SWEEP_PERIOD_US;
    }
}

/* Handles an ACK: of our probe, direct or relayed, or of a probe sent for
 * another member, to which the ack is then relayed. */
void
GwMembers_ReceiveAck(GwMembers *m, const GwMessage *msg,
                     const GwPiggyback *piggyback, GwActions *out)
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
            m, GW_MSG_ACK, GwMembers_FindRecord(m, relay->requester.node),
            relay->requester, relay->address, piggyback, out);
        ack->seq = relay->requester_seq;
        ack->target = relay->target;
        relay->seq = 0;
    }
}

/* Handles a PING_REQ: probes the target and records the requester. */
void
GwMembers_ReceivePingReq(GwMembers *m, const GwMessage *msg,
                         const GwMemberRecord *requester,
                         const GwPiggyback *piggyback, GwActions *out)
{
    const GwHeartbeat *hb = &msg->u.heartbeat;
    const GwMemberRecord *target = GwMembers_FindRecord(m, hb->target.node);

    if (target == NULL || !GwNodeId_Equal(target->pub.info.id, hb->target)) {
        return;
    }
    GwRelayedProbe *relay = &m->relays[m->next_relay++ % GW_RELAYS_MAX];
    *relay = (GwRelayedProbe){.seq = m->next_seq++,
                              .requester_seq = hb->seq,
                              .target = hb->target,
                              .requester = msg->from};
    g_strlcpy(relay->address, requester->pub.info.peer_address, GW_ADDR_MAX);
    send_to(m, GW_MSG_PROBE, target, piggyback, out)->seq = relay->seq;
}
