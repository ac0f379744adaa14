/* Claims of free seats, and reclaims of those whose holder is gone. */
#include "steer/seats_internal.h"

static bool
is_peer(const GwSeats *s, const GwMember *member)
{
    return member->info.region == s->region &&
           (member->info.state == GW_MEMBER_ALIVE ||
            member->info.state == GW_MEMBER_SUSPECT);
}

/* The seats that each live entry of the region should hold, rounded up. */
uint32_t
GwSeats_Share(const GwSeats *s, const GwMembers *members)
{
    uint32_t live = 1;

    for (uint32_t i = 0; i < GwMembers_Count(members); i++) {
        live += is_peer(s, GwMembers_At(members, i)) ? 1 : 0;
    }
    return (s->total + live - 1) / live;
}

static bool
is_free(const GwSeatRow *row)
{
    return row->version == 0 || (!row->bad && row->holder.node == 0);
}

static uint32_t
own_count(const GwSeats *s)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < s->total; i++) {
        const GwSeat *t = &s->seats[i];
        bool coming =
            t->state == GW_SEAT_TAKING || t->write.op == GW_SEAT_OP_CLAIM;
        count += t->state == GW_SEAT_HELD || coming ? 1 : 0;
    }
    return count;
}

/* Claims free seats up to the share; one that stayed free is anyone's, since
 * its units would be of use to nobody. Which one comes first is drawn, so that
 * entries that start together seldom want the same. */
void
GwSeats_Claims(GwSeats *s, int64_t now_us, const GwMembers *members,
               GwActions *out)
{
    uint32_t share = GwSeats_Share(s, members);
    uint32_t have = own_count(s);
    uint32_t first = s->total > 0 ? GwRng_Below(&s->rng, s->total) : 0;
    uint32_t claims = 0;

    for (uint32_t i = 0; i < s->total && claims < GW_SEAT_CLAIMS_MAX; i++) {
        uint32_t seat = (first + i) % s->total;
        GwSeat *t = &s->seats[seat];
        bool leftover = now_us - t->since_us > GW_SEAT_LEFTOVER_US;
        if (t->state != GW_SEAT_NONE || t->write.op != GW_SEAT_OP_NONE ||
            !is_free(&t->row) || (have >= share && !leftover)) {
            continue;
        }
        GwSeats_Write(s, now_us, seat, GW_SEAT_OP_CLAIM, &t->row, out);
        claims += have >= share ? GW_SEAT_CLAIMS_MAX : 1;
        have++;
    }
}

/* A newer start of the holder is there, so the start in the row is gone: it
 * had the same address. */
static bool
is_replaced(const GwSeats *s, const GwSeatRow *row, const GwMembers *members)
{
    if (row->holder.node == s->params.id.node) {
        return row->holder.start < s->params.id.start;
    }
    const GwMember *member = GwMembers_Find(members, row->holder.node);

    return member != NULL && member->heard_us != 0 &&
           member->info.id.start > row->holder.start;
}

/* The list, read lately, lacks the holder, and it is silent. A suspicion is
 * not enough, and neither is a list that lags. */
static bool
is_gone(const GwSeats *s, int64_t now_us, const GwSeatRow *row,
        const GwMembers *members)
{
    int64_t read_us = GwMembers_ListReadUs(members);

    if (row->holder.node == s->params.id.node || read_us == 0 ||
        now_us - read_us > GW_SEAT_LIST_US ||
        GwMembers_IsListed(members, row->name)) {
        return false;
    }
    const GwMember *member = GwMembers_Find(members, row->holder.node);

    return member == NULL || member->info.state == GW_MEMBER_DEAD;
}

/* Whether another process, which is there, already runs this reclaim. */
static bool
noticed_by_other(const GwSeats *s, const GwSeatRow *row,
                 const GwMembers *members)
{
    if (!row->notice || row->notice_by == s->params.id.node) {
        return false;
    }
    const GwMember *member = GwMembers_Find(members, row->notice_by);

    return member != NULL && member->info.state != GW_MEMBER_DEAD;
}

/* First the notice, then, after the hold-off on our own clock since it was
 * surely in the row, the claim on that very version. A live holder has the
 * whole hold-off to read the notice and rewrite the row, which makes the claim
 * fail. The hold-off is longer than the fence and the longest deadline
 * together, so that what the holder started has ended as well. */
static void
reclaim_gone(GwSeats *s, int64_t now_us, uint32_t seat,
             const GwMembers *members, GwActions *out)
{
    GwSeat *t = &s->seats[seat];
    int64_t holdoff_us = s->params.seat_holdoff_ms * 1000LL;

#if GW_MUTANT == 53 /* breaks: no hold-off */
    holdoff_us = 0;
#endif
    if (t->notice_us != 0) {
        if (now_us - t->notice_us >= holdoff_us) {
            GwSeats_Write(s, now_us, seat, GW_SEAT_OP_CLAIM, &t->row, out);
        }
    }
    else if (!noticed_by_other(s, &t->row, members)) {
        GwActions_Log(out, GW_LOG_SEAT_RECLAIM, "seat=%u holder=%s", seat,
                      t->row.name);
        GwSeats_Write(s, now_us, seat, GW_SEAT_OP_NOTICE, &t->row, out);
    }
}

/* The start in the row is gone for sure, but a backend server may still run
 * what it sent: the row waits for the hold-off. The new start goes first. */
static void
reclaim_replaced(GwSeats *s, int64_t now_us, uint32_t seat, GwActions *out)
{
    GwSeat *t = &s->seats[seat];
    int64_t wait_us = s->params.seat_holdoff_ms * 1000LL;

    if (t->newer_us == 0) {
        t->newer_us = now_us;
    }
    if (t->row.holder.node != s->params.id.node) {
        wait_us += GW_SEAT_LEFTOVER_US;
    }
    if (now_us - t->newer_us >= wait_us) {
        GwSeats_Write(s, now_us, seat, GW_SEAT_OP_CLAIM, &t->row, out);
    }
}

/* Entries below their share reclaim first, so that a gone holder's seats don't
 * all go to whoever read the rows first. */
static bool
is_our_turn(const GwSeats *s, int64_t now_us, GwSeat *t, uint32_t *have,
            uint32_t share)
{
    if (t->gone_us == 0) {
        t->gone_us = now_us;
    }
    if (t->row.notice && t->row.notice_by == s->params.id.node) {
        (*have)++;
        return true;
    }
    if (*have >= share && now_us - t->gone_us < GW_SEAT_LEFTOVER_US) {
        return false;
    }
    (*have)++;
    return true;
}

/* Looks for rows whose holder is gone. */
void
GwSeats_Reclaims(GwSeats *s, int64_t now_us, const GwMembers *members,
                 GwActions *out)
{
    uint32_t share = GwSeats_Share(s, members);
    uint32_t have = own_count(s);

    for (uint32_t seat = 0; seat < s->total; seat++) {
        GwSeat *t = &s->seats[seat];
        if (t->state != GW_SEAT_NONE || t->write.op != GW_SEAT_OP_NONE ||
            t->row.bad || is_free(&t->row) || GwSeats_IsOwn(s, &t->row)) {
            continue;
        }
        if (is_replaced(s, &t->row, members)) {
            reclaim_replaced(s, now_us, seat, out);
        }
        else if (!is_gone(s, now_us, &t->row, members)) {
            t->gone_us = 0;
        }
        else if (is_our_turn(s, now_us, t, &have, share)) {
            reclaim_gone(s, now_us, seat, members, out);
        }
    }
}
