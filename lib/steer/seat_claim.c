/* Claims of free seats, and reclaims of seats whose holder has stopped. */
#include "steer/seats_internal.h"

static bool
is_peer(const GwSeats *s, const GwMember *member)
{
    return member->info.region == s->region &&
           (member->info.state == GW_MEMBER_ALIVE ||
            member->info.state == GW_MEMBER_SUSPECT);
}

/* The number of seats each live entry of the region should hold, rounded
 * up. */
uint32_t
GwSeats_FairShare(const GwSeats *s, const GwMembers *members)
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
    return row->version == 0 || (!row->is_malformed && row->holder.node == 0);
}

static uint32_t
count_own_seats(const GwSeats *s)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < s->total; i++) {
        const GwSeat *t = &s->seats[i];
        bool is_pending =
            t->state == GW_SEAT_TAKING || t->write.op == GW_SEAT_OP_CLAIM;
        count += t->state == GW_SEAT_HELD || is_pending ? 1 : 0;
    }
    return count;
}

/* Claims free seats up to the fair share. A seat that has stayed free for
 * GW_SEAT_UNCLAIMED_US is claimed beyond the share, one per list, because no
 * entry can use its units. The scan starts at a random seat, so that entries
 * that start together rarely claim the same seat. */
void
GwSeats_ClaimFree(GwSeats *s, int64_t now_us, const GwMembers *members,
                  GwActions *out)
{
    uint32_t share = GwSeats_FairShare(s, members);
    uint32_t have = count_own_seats(s);
    uint32_t first = s->total > 0 ? GwRng_Below(&s->rng, s->total) : 0;
    uint32_t claims = 0;

    for (uint32_t i = 0; i < s->total && claims < GW_SEAT_CLAIMS_MAX; i++) {
        uint32_t seat = (first + i) % s->total;
        GwSeat *t = &s->seats[seat];
        bool is_unclaimed = now_us - t->since_us > GW_SEAT_UNCLAIMED_US;
        if (t->state != GW_SEAT_NONE || t->write.op != GW_SEAT_OP_NONE ||
            !is_free(&t->row) || (have >= share && !is_unclaimed)) {
            continue;
        }
        GwSeats_Write(s, now_us, seat, GW_SEAT_OP_CLAIM, &t->row, out);
        claims += have >= share ? GW_SEAT_CLAIMS_MAX : 1;
        have++;
    }
}

/* True when the holder's node runs again under a newer start number. The
 * process named in the row has then exited, since both use one address. */
static bool
has_holder_restarted(const GwSeats *s, const GwSeatRow *row,
                     const GwMembers *members)
{
    if (row->holder.node == s->params.id.node) {
        return row->holder.start < s->params.id.start;
    }
    const GwMember *member = GwMembers_Find(members, row->holder.node);

    return member != NULL && member->heard_us != 0 &&
           member->info.id.start > row->holder.start;
}

/* True when the instance list, read recently, does not contain the holder,
 * and membership considers the holder dead or does not know it. Neither a
 * mere suspicion nor an outdated list is sufficient. */
static bool
has_holder_stopped(const GwSeats *s, int64_t now_us, const GwSeatRow *row,
                   const GwMembers *members)
{
    int64_t read_us = GwMembers_ListReadUs(members);

    if (row->holder.node == s->params.id.node || read_us == 0 ||
        now_us - read_us > GW_SEAT_LIST_FRESH_US ||
        GwMembers_IsListed(members, row->name)) {
        return false;
    }
    const GwMember *member = GwMembers_Find(members, row->holder.node);

    return member == NULL || member->info.state == GW_MEMBER_DEAD;
}

/* Whether another live process has already written its notice. */
static bool
has_other_notice(const GwSeats *s, const GwSeatRow *row,
                 const GwMembers *members)
{
    if (!row->notice || row->notice_by == s->params.id.node) {
        return false;
    }
    const GwMember *member = GwMembers_Find(members, row->notice_by);

    return member != NULL && member->info.state != GW_MEMBER_DEAD;
}

/* Reclaims in two steps: writes a notice, then, once the hold-off has
 * passed on the local clock since the notice was confirmed, claims that
 * exact row version. A live holder has the whole hold-off to read the
 * notice and rewrite the row, which makes the claim fail. The hold-off is
 * longer than the fence and the longest deadline together, so that the
 * calls that the holder started have ended as well. */
static void
reclaim_stopped(GwSeats *s, int64_t now_us, uint32_t seat,
                const GwMembers *members, GwActions *out)
{
    GwSeat *t = &s->seats[seat];
    int64_t holdoff_us = s->params.seat_holdoff_ms * 1000LL;

#if GW_MUTANT == 53 /* breaks: a reclaim waits for the hold-off */
    holdoff_us = 0;
#endif
    if (t->notice_us != 0) {
        if (now_us - t->notice_us >= holdoff_us) {
            GwSeats_Write(s, now_us, seat, GW_SEAT_OP_CLAIM, &t->row, out);
        }
    }
    else if (!has_other_notice(s, &t->row, members)) {
        GwActions_Log(out, GW_LOG_SEAT_RECLAIM, "seat=%u holder=%s", seat,
                      t->row.name);
        GwSeats_Write(s, now_us, seat, GW_SEAT_OP_NOTICE, &t->row, out);
    }
}

/* Reclaims the seat of a process that has certainly exited, because its node
 * has been restarted. A backend server may still run calls of that process, so
 * the claim waits for the hold-off. The restarted node claims first; other
 * entries wait longer. */
static void
reclaim_restarted(GwSeats *s, int64_t now_us, uint32_t seat, GwActions *out)
{
    GwSeat *t = &s->seats[seat];
    int64_t wait_us = s->params.seat_holdoff_ms * 1000LL;

    if (t->restarted_us == 0) {
        t->restarted_us = now_us;
    }
    if (t->row.holder.node != s->params.id.node) {
        wait_us += GW_SEAT_UNCLAIMED_US;
    }
    if (now_us - t->restarted_us >= wait_us) {
        GwSeats_Write(s, now_us, seat, GW_SEAT_OP_CLAIM, &t->row, out);
    }
}

/* Whether this entry may reclaim the seat now. Entries below their share go
 * first, so that the seats of a stopped holder do not all go to the entry
 * that read the rows first. */
static bool
may_reclaim(const GwSeats *s, int64_t now_us, GwSeat *t, uint32_t *have,
            uint32_t share)
{
    if (t->stopped_us == 0) {
        t->stopped_us = now_us;
    }
    if (t->row.notice && t->row.notice_by == s->params.id.node) {
        (*have)++;
        return true;
    }
    if (*have >= share && now_us - t->stopped_us < GW_SEAT_UNCLAIMED_US) {
        return false;
    }
    (*have)++;
    return true;
}

/* Reclaims the seats of holders that have restarted or stopped. */
void
GwSeats_ReclaimStale(GwSeats *s, int64_t now_us, const GwMembers *members,
                     GwActions *out)
{
    uint32_t share = GwSeats_FairShare(s, members);
    uint32_t have = count_own_seats(s);

    for (uint32_t seat = 0; seat < s->total; seat++) {
        GwSeat *t = &s->seats[seat];
        if (t->state != GW_SEAT_NONE || t->write.op != GW_SEAT_OP_NONE ||
            t->row.is_malformed || is_free(&t->row) ||
            GwSeats_IsOwn(s, &t->row)) {
            continue;
        }
        if (has_holder_restarted(s, &t->row, members)) {
            reclaim_restarted(s, now_us, seat, out);
        }
        else if (!has_holder_stopped(s, now_us, &t->row, members)) {
            t->stopped_us = 0;
        }
        else if (may_reclaim(s, now_us, t, &have, share)) {
            reclaim_stopped(s, now_us, seat, members, out);
        }
    }
}
