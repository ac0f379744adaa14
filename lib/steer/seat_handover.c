/* Seats on their way from one holder to the next.
 *
 * Two ways were weighed: the giver frees the row and anyone claims it, or the
 * giver offers it to a peer, who writes itself into the row. The second needs
 * no reach of the table on the giver's side, and the seat goes where it is
 * wanted, so it is tried first; the first remains for when no peer answers.
 *
 * The peer uses the seat only once its name stands in the row. If it began
 * on the offer alone, a third process could reclaim the row, which still
 * names the giver, gone for good reasons: one entry cut off from the table
 * would be enough for two users of a seat. All writes on the way are
 * conditional on the row's version at the release, so of several takers, the
 * giver's own change of mind and a reclaim, one wins. */
#include "steer/seats_internal.h"

/* Seats that the rows, as last read, give to a node. */
uint32_t
GwSeats_CountOf(const GwSeats *s, uint64_t node)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < s->total; i++) {
        const GwSeatRow *row = &s->seats[i].row;
        count += row->version != 0 && row->holder.node == node ? 1 : 0;
    }
    return count;
}

static bool
was_offered(const GwSeat *t, uint64_t node)
{
    for (uint32_t i = 0; i < t->offer.peers; i++) {
        if (t->offer.to[i] == node) {
            return true;
        }
    }
    return false;
}

/* The live peer of the region with the fewest seats, of those not tried with
 * `t` yet; NULL if none. `offset` tells apart the seats of a leaving entry,
 * which go to different peers. */
static const GwMember *
poorest(const GwSeats *s, const GwSeat *t, const GwMembers *members,
        uint32_t offset, uint32_t *count_out)
{
    uint32_t n = GwMembers_Count(members);
    const GwMember *best = NULL;
    uint32_t best_count = UINT32_MAX;

    for (uint32_t i = 0; i < n; i++) {
        const GwMember *member = GwMembers_At(members, (i + offset) % n);
        if (member->info.region != s->region ||
            member->info.state != GW_MEMBER_ALIVE ||
            (t != NULL && was_offered(t, member->info.id.node))) {
            continue;
        }
        uint32_t count = GwSeats_CountOf(s, member->info.id.node);
        if (count < best_count) {
            best = member;
            best_count = count;
        }
    }
    *count_out = best_count;
    return best;
}

/* Parts with one seat when a live peer has at least two fewer: a new entry
 * joined. One at a time, and only towards a difference of one, so that seats
 * never go back and forth. */
void
GwSeats_Rebalance(GwSeats *s, int64_t now_us, const GwMembers *members,
                  GwActions *out)
{
    uint32_t held = 0;
    uint32_t last = GW_NONE;
    uint32_t poor = 0;

    for (uint32_t i = 0; i < s->total; i++) {
        GwSeatState state = s->seats[i].state;
        if (state == GW_SEAT_PARTING || state == GW_SEAT_RELEASED) {
            return;
        }
        if (state == GW_SEAT_HELD) {
            held++;
            last = i;
        }
    }
    if (last != GW_NONE && held > GwSeats_Share(s, members) &&
        poorest(s, NULL, members, 0, &poor) != NULL && poor + 2 <= held) {
        GwSeats_SetState(s, last, GW_SEAT_PARTING, out);
    }
}

static void
send_seat(const GwSeats *s, GwMessageKind kind, const GwMember *to,
          const GwSeatHandover *seat, GwActions *out)
{
    GwAction *action = GwActions_Add(out, GW_ACTION_SEND);
    GwMessage *msg = GwMessage_Create(kind, s->params.id);

    msg->u.seat = *seat;
    g_strlcpy(action->u.send.address, to->info.peer_address, GW_ADDR_MAX);
    action->u.send.to = to->info.id;
    action->u.send.message = msg;
}

/* Nobody took it: a write on the version of the release takes it back, or
 * frees it when we leave. Only after that write is it ours to use again: a
 * peer we offered it to may still be writing. */
static void
give_up_offer(GwSeats *s, int64_t now_us, uint32_t seat, GwActions *out)
{
    GwSeat *t = &s->seats[seat];

#if GW_MUTANT == 55 /* breaks: an offer is taken back without a write */
    if (!s->leaving) {
        GwSeats_SetState(s, seat, GW_SEAT_HELD, out);
        return;
    }
#endif
    if (t->write.op == GW_SEAT_OP_NONE && !s->fenced) {
        GwSeats_Write(s, now_us, seat,
                      s->leaving || seat >= s->total ? GW_SEAT_OP_FREE
                                                     : GW_SEAT_OP_RESUME,
                      &t->row, out);
    }
}

/* Offers a released seat, some times to each of a few peers. */
static void
offer(GwSeats *s, int64_t now_us, uint32_t seat, const GwMembers *members,
      GwActions *out)
{
    GwSeat *t = &s->seats[seat];
    const GwMember *to = NULL;
    uint32_t poor = 0;

    if (t->offer.sent_us != 0 &&
        now_us - t->offer.sent_us < GW_SEAT_RESEND_US) {
        return;
    }
    if (t->offer.peers > 0 && t->offer.tries < GW_SEAT_TRIES) {
        to = GwMembers_Find(members, t->offer.to[t->offer.peers - 1]);
    }
    if (to == NULL && t->offer.peers < GW_SEAT_PEERS) {
        to = poorest(s, t, members, seat, &poor);
        if (to != NULL) {
            t->offer.to[t->offer.peers++] = to->info.id.node;
            t->offer.tries = 0;
        }
    }
    if (to == NULL) {
        give_up_offer(s, now_us, seat, out);
        return;
    }
    t->offer.tries++;
    t->offer.sent_us = now_us;
    GwSeatHandover handover = {
        .seat = seat, .claim = t->row.claim, .row_version = t->row.version};
    send_seat(s, GW_MSG_SEAT_HANDOVER, to, &handover, out);
}

/* Offers that need an answer, gifts that were never taken, and takings whose
 * write was lost. */
void
GwSeats_Handovers(GwSeats *s, int64_t now_us, const GwMembers *members,
                  GwActions *out)
{
    for (uint32_t seat = 0; seat < s->high; seat++) {
        GwSeat *t = &s->seats[seat];
        if (t->state == GW_SEAT_RELEASED) {
            offer(s, now_us, seat, members, out);
        }
        else if (t->state == GW_SEAT_GIVEN &&
                 now_us - t->given_us > GW_SEAT_GIVEN_US) {
            give_up_offer(s, now_us, seat, out);
        }
        else if (t->state == GW_SEAT_TAKING &&
                 t->write.op == GW_SEAT_OP_NONE && !s->fenced &&
                 now_us >= t->take.retry_us) {
            GwSeatRow base = {.version = t->take.version,
                              .claim = t->take.claim};
            t->take.retry_us = now_us + GwRng_Jitter(&s->rng, 1000000, 500000);
            GwSeats_Write(s, now_us, seat, GW_SEAT_OP_TAKE, &base, out);
        }
    }
}

/* Nothing of the seat is in flight any more: it goes to a peer. From here on
 * this claim of it is never used again by this process. */
void
GwSeats_Release(GwSeats *s, int64_t now_us, uint32_t seat,
                const GwMembers *members, GwActions *out)
{
    GwSeats_Beat(s, now_us, out);
    if (seat >= GW_SEATS_MAX || s->seats[seat].state != GW_SEAT_PARTING ||
        s->fenced) {
        return;
    }
    GwSeat *t = &s->seats[seat];
    t->given = t->row.claim;
    t->offer.peers = 0;
    t->offer.tries = 0;
    t->offer.sent_us = 0;
    GwSeats_SetState(s, seat, GW_SEAT_RELEASED, out);
    offer(s, now_us, seat, members, out);
}

/* Whether an offer is wanted: from one who leaves always; from others while
 * we have fewer than our share, or several would give to the same newcomer. */
static bool
is_welcome(const GwSeats *s, const GwSeatHandover *h, const GwMember *from,
           const GwMembers *members)
{
    uint32_t have = GwSeats_CountOf(s, s->params.id.node);

    for (uint32_t i = 0; i < s->total; i++) {
        have += s->seats[i].state == GW_SEAT_TAKING ? 1 : 0;
    }
    return s->seats[h->seat].state == GW_SEAT_NONE &&
           s->seats[h->seat].write.op == GW_SEAT_OP_NONE &&
           h->row_version >= s->seats[h->seat].row.version &&
           (from->info.state == GW_MEMBER_LEAVING ||
            have < GwSeats_Share(s, members));
}

/* An offer. The answer is sent when we decided to take it; we go on until the
 * row is ours or has changed, so the giver need not stay for that. */
static void
receive_offer(GwSeats *s, int64_t now_us, const GwSeatHandover *h,
              const GwMember *from, const GwMembers *members, GwActions *out)
{
    GwSeat *t = &s->seats[h->seat];
    bool taking = t->state == GW_SEAT_TAKING && t->take.claim == h->claim;
    bool taken = GwSeats_IsOwn(s, &t->row) && t->row.claim == h->claim + 1;

    if (!taking && !taken) {
        if (s->leaving || s->fenced || !is_welcome(s, h, from, members)) {
            return;
        }
        t->take.version = h->row_version;
        t->take.claim = h->claim;
        t->take.retry_us = now_us;
        GwSeats_SetState(s, h->seat, GW_SEAT_TAKING, out);
#if GW_MUTANT == 56 /* breaks: a seat is used on the offer alone */
        GwSeats_SetState(s, h->seat, GW_SEAT_HELD, out);
#endif
    }
    send_seat(s, GW_MSG_SEAT_TAKEN, from, h, out);
    GwSeats_Handovers(s, now_us, members, out);
}

static void
receive_taken(GwSeats *s, int64_t now_us, const GwSeatHandover *h,
              const GwMember *from, GwActions *out)
{
    GwSeat *t = &s->seats[h->seat];

    if (t->state == GW_SEAT_RELEASED && t->row.claim == h->claim) {
        GwActions_Log(out, GW_LOG_SEAT_GIVEN, "seat=%u to=%s", h->seat,
                      from->info.name);
        t->given_us = now_us;
        GwSeats_SetState(s, h->seat, GW_SEAT_GIVEN, out);
    }
}

/* SEAT_HANDOVER and SEAT_TAKEN; heard only from known members of the region,
 * at their present start. */
void
GwSeats_Receive(GwSeats *s, int64_t now_us, const GwMessage *msg,
                const GwMembers *members, GwActions *out)
{
    const GwSeatHandover *h = &msg->u.seat;
    const GwMember *from = GwMembers_Find(members, msg->from.node);

    GwSeats_Beat(s, now_us, out);
    if (from == NULL || !GwNodeId_Equal(from->info.id, msg->from) ||
        from->info.region != s->region || h->seat >= s->total) {
        return;
    }
    if (msg->kind == GW_MSG_SEAT_HANDOVER) {
        receive_offer(s, now_us, h, from, members, out);
    }
    else if (msg->kind == GW_MSG_SEAT_TAKEN) {
        receive_taken(s, now_us, h, from, out);
    }
}
