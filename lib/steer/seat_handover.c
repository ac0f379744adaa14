/* Handover of a seat from one holder to the next.
 *
 * The holder offers the seat to a peer, which writes itself into the row.
 * This needs no access to the table on the holder's side, and the seat goes
 * to an entry that is below its share. If no peer accepts, the holder frees
 * the row, and any entry may claim it.
 *
 * The peer uses the seat only once the row names it. If it used the seat on
 * the offer alone, a third process could rightly reclaim the row, which
 * still names the previous holder, once that holder has stopped: one entry
 * cut off from the table would be enough for two users of a seat. All
 * writes of a handover are conditional on the row's version at the release,
 * so that exactly one of several takers, a withdrawal by the holder and a
 * reclaim succeeds. */
#include "steer/seats_internal.h"

/* The number of seats whose last known row names the node. */
uint32_t
GwSeats_CountByNode(const GwSeats *s, uint64_t node)
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

/* The live peer of the region with the fewest seats, without the peers that
 * `t` was already offered to; NULL if none. `offset` varies the start of
 * the scan, so that the seats of a stopping entry go to different peers. */
static const GwMember *
find_smallest_holder(const GwSeats *s, const GwSeat *t,
                     const GwMembers *members, uint32_t offset,
                     uint32_t *count_out)
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
        uint32_t count = GwSeats_CountByNode(s, member->info.id.node);
        if (count < best_count) {
            best = member;
            best_count = count;
        }
    }
    *count_out = best_count;
    return best;
}

/* Starts the handover of one seat when a live peer has at least two fewer,
 * as after a new entry has joined. Seats move one at a time, and only until
 * the difference is one, so that they never move back and forth. */
void
GwSeats_Rebalance(GwSeats *s, int64_t now_us, const GwMembers *members,
                  GwActions *out)
{
    uint32_t held = 0;
    uint32_t last = GW_NONE;
    uint32_t fewest = 0;

    for (uint32_t i = 0; i < s->total; i++) {
        GwSeatState state = s->seats[i].state;
        if (state == GW_SEAT_HANDING_OVER || state == GW_SEAT_RELEASED) {
            return;
        }
        if (state == GW_SEAT_HELD) {
            held++;
            last = i;
        }
    }
    if (last != GW_NONE && held > GwSeats_FairShare(s, members) &&
        find_smallest_holder(s, NULL, members, 0, &fewest) != NULL &&
        fewest + 2 <= held) {
        GwSeats_SetState(s, last, GW_SEAT_HANDING_OVER, out);
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

/* Ends an offer that no peer accepted: a write conditional on the version
 * of the release resumes the seat, or frees the row when this entry is
 * stopping or the seat is above the total. The seat is usable again only
 * after that write is confirmed, since a peer that received the offer may
 * still be writing. */
static void
give_up_offer(GwSeats *s, int64_t now_us, uint32_t seat, GwActions *out)
{
    GwSeat *t = &s->seats[seat];

#if GW_MUTANT == 55 /* breaks: an offer is withdrawn by a write only */
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

/* Offers a released seat: GW_SEAT_SENDS_PER_PEER sends to each of up to
 * GW_SEAT_PEERS_MAX peers. */
static void
send_offer(GwSeats *s, int64_t now_us, uint32_t seat, const GwMembers *members,
           GwActions *out)
{
    GwSeat *t = &s->seats[seat];
    const GwMember *to = NULL;
    uint32_t fewest = 0;

    if (t->offer.sent_us != 0 &&
        now_us - t->offer.sent_us < GW_SEAT_RESEND_US) {
        return;
    }
    if (t->offer.peers > 0 && t->offer.tries < GW_SEAT_SENDS_PER_PEER) {
        to = GwMembers_Find(members, t->offer.to[t->offer.peers - 1]);
    }
    if (to == NULL && t->offer.peers < GW_SEAT_PEERS_MAX) {
        to = find_smallest_holder(s, t, members, seat, &fewest);
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

/* Resends unanswered offers, withdraws accepted offers that were not
 * written in time, and repeats the lost writes of seats being taken. */
void
GwSeats_AdvanceHandovers(GwSeats *s, int64_t now_us, const GwMembers *members,
                         GwActions *out)
{
    for (uint32_t seat = 0; seat < s->max_total; seat++) {
        GwSeat *t = &s->seats[seat];
        if (t->state == GW_SEAT_RELEASED) {
            send_offer(s, now_us, seat, members, out);
        }
        else if (t->state == GW_SEAT_GIVEN &&
                 now_us - t->given_us > GW_SEAT_TAKE_TIMEOUT_US) {
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

/* Offers the seat to a peer once none of its units is in use or on loan.
 * From here on this process never uses this claim of the seat again. */
void
GwSeats_Release(GwSeats *s, int64_t now_us, uint32_t seat,
                const GwMembers *members, GwActions *out)
{
    GwSeats_CheckPause(s, now_us, out);
    if (seat >= GW_SEATS_MAX || s->seats[seat].state != GW_SEAT_HANDING_OVER ||
        s->fenced) {
        return;
    }
    GwSeat *t = &s->seats[seat];
    t->released_claim = t->row.claim;
    t->offer.peers = 0;
    t->offer.tries = 0;
    t->offer.sent_us = 0;
    GwSeats_SetState(s, seat, GW_SEAT_RELEASED, out);
    send_offer(s, now_us, seat, members, out);
}

/* Whether to accept an offer. An offer of a stopping entry is always
 * accepted; other offers only while this entry is below its share, or
 * several holders would hand seats to the same new entry. */
static bool
should_accept(const GwSeats *s, const GwSeatHandover *h, const GwMember *from,
              const GwMembers *members)
{
    uint32_t have = GwSeats_CountByNode(s, s->params.id.node);

    for (uint32_t i = 0; i < s->total; i++) {
        have += s->seats[i].state == GW_SEAT_TAKING ? 1 : 0;
    }
    return s->seats[h->seat].state == GW_SEAT_NONE &&
           s->seats[h->seat].write.op == GW_SEAT_OP_NONE &&
           h->row_version >= s->seats[h->seat].row.version &&
           (from->info.state == GW_MEMBER_LEAVING ||
            have < GwSeats_FairShare(s, members));
}

/* Handles an offer. The reply is sent once the offer is accepted; this process
 * then repeats the write until the row names it or has changed, so that the
 * holder may exit before the write succeeds. */
static void
receive_offer(GwSeats *s, int64_t now_us, const GwSeatHandover *h,
              const GwMember *from, const GwMembers *members, GwActions *out)
{
    GwSeat *t = &s->seats[h->seat];
    bool taking = t->state == GW_SEAT_TAKING && t->take.claim == h->claim;
    bool taken = GwSeats_IsOwn(s, &t->row) && t->row.claim == h->claim + 1;

    if (!taking && !taken) {
        if (s->leaving || s->fenced || !should_accept(s, h, from, members)) {
            return;
        }
        t->take.version = h->row_version;
        t->take.claim = h->claim;
        t->take.retry_us = now_us;
        GwSeats_SetState(s, h->seat, GW_SEAT_TAKING, out);
#if GW_MUTANT == 56 /* breaks: a seat is not used on the offer alone */
        GwSeats_SetState(s, h->seat, GW_SEAT_HELD, out);
#endif
    }
    send_seat(s, GW_MSG_SEAT_TAKEN, from, h, out);
    GwSeats_AdvanceHandovers(s, now_us, members, out);
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

/* Handles SEAT_HANDOVER and SEAT_TAKEN; accepted only from known members of
 * the region under their current start number. */
void
GwSeats_Receive(GwSeats *s, int64_t now_us, const GwMessage *msg,
                const GwMembers *members, GwActions *out)
{
    const GwSeatHandover *h = &msg->u.seat;
    const GwMember *from = GwMembers_Find(members, msg->from.node);

    GwSeats_CheckPause(s, now_us, out);
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
