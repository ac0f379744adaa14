/* State of each seat in this process, derived from the known rows. */
#include "steer/seats_internal.h"

static bool
is_seat_usable(const GwSeat *t)
{
    return t->state == GW_SEAT_HELD && !t->contested;
}

/* Sets the state; the epoch increases when usability changes. */
void
GwSeats_SetState(GwSeats *s, uint32_t seat, GwSeatState state, GwActions *out)
{
    GwSeat *t = &s->seats[seat];
    bool was = is_seat_usable(t);

    if (state == GW_SEAT_HELD && (s->leaving || seat >= s->total)) {
        state = GW_SEAT_HANDING_OVER;
    }
    if (state == GW_SEAT_HELD && t->state == GW_SEAT_NONE) {
        GwActions_Log(out, GW_LOG_SEAT_CLAIMED, "seat=%u claim=%" PRIu64, seat,
                      t->row.claim);
    }
    t->state = state;
    if (was != is_seat_usable(t)) {
        s->epoch++;
    }
}

/* Marks a seat as lost: the row no longer names this process, and none of
 * the seat's units may be used from now on. */
void
GwSeats_MarkLost(GwSeats *s, uint32_t seat, GwActions *out)
{
    GwSeat *t = &s->seats[seat];

    if (t->state == GW_SEAT_HELD || t->state == GW_SEAT_HANDING_OVER) {
        GwActions_Log(out, GW_LOG_SEAT_LOST, "seat=%u holder=%s", seat,
                      t->row.name);
    }
    GwSeats_SetState(s, seat, GW_SEAT_NONE, out);
    t->contested = false;
}

/* Applies a row that names this process. A seat whose claim was released is
 * not resumed by reading the row: the peer that received the offer may be
 * writing itself into it. A seat with a notice is not used until the
 * objection is confirmed; otherwise it could have two users, if the table
 * was out of reach for the whole hold-off. */
static void
apply_own_row(GwSeats *s, uint32_t seat, GwActions *out)
{
    GwSeat *t = &s->seats[seat];
    bool was = is_seat_usable(t);

    t->contested = t->row.notice;
#if GW_MUTANT == 54 /* breaks: a notice suspends the use of the seat */
    t->contested = false;
#endif
    if (was != is_seat_usable(t)) {
        s->epoch++;
    }
#if GW_MUTANT == 57 /* breaks: a read does not resume a released claim */
    if (t->state == GW_SEAT_GIVEN || t->state == GW_SEAT_RELEASED) {
        GwSeats_SetState(s, seat, GW_SEAT_HELD, out);
    }
#endif
    if ((t->state == GW_SEAT_NONE || t->state == GW_SEAT_TAKING) &&
        t->row.claim > t->released_claim) {
        GwSeats_SetState(s, seat, GW_SEAT_HELD, out);
    }
}

/* Applies a row from a read or a confirmed write. A version older than the
 * known version is ignored, since reads and writes may overtake each other. */
void
GwSeats_ApplyRow(GwSeats *s, int64_t now_us, uint32_t seat,
                 const GwSeatRow *row, GwActions *out)
{
    GwSeat *t = &s->seats[seat];

    if (row->version < t->row.version) {
        return;
    }
    if (row->version > t->row.version || t->since_us == 0) {
        t->since_us = now_us;
        t->notice_us = 0;
        t->restarted_us = 0;
        t->stopped_us = 0;
    }
    t->row = *row;
    if (row->notice && row->notice_by == s->params.id.node &&
        t->notice_us == 0) {
        t->notice_us = now_us;
    }
    if (GwSeats_IsOwn(s, row)) {
        apply_own_row(s, seat, out);
        return;
    }
    if (t->state == GW_SEAT_TAKING && row->version <= t->take.version) {
        return;
    }
    if (t->state != GW_SEAT_NONE) {
        GwSeats_MarkLost(s, seat, out);
    }
}
