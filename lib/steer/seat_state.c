/* What a seat is to this process, by what is known of its row. */
#include "steer/seats_internal.h"

static bool
usable(const GwSeat *t)
{
    return t->state == GW_SEAT_HELD && !t->contested;
}

/* Sets the state; a change of what may be used raises the epoch. */
void
GwSeats_SetState(GwSeats *s, uint32_t seat, GwSeatState state, GwActions *out)
{
    GwSeat *t = &s->seats[seat];
    bool was = usable(t);

    if (state == GW_SEAT_HELD && (s->leaving || seat >= s->total)) {
        state = GW_SEAT_PARTING;
    }
    if (state == GW_SEAT_HELD && t->state == GW_SEAT_NONE) {
        GwActions_Log(out, GW_LOG_SEAT_CLAIMED, "seat=%u claim=%" PRIu64, seat,
                      t->row.claim);
    }
    t->state = state;
    if (was != usable(t)) {
        s->epoch++;
    }
}

/* The row is no longer ours: nothing of it may be used from now on. */
void
GwSeats_Lose(GwSeats *s, uint32_t seat, GwActions *out)
{
    GwSeat *t = &s->seats[seat];

    if (t->state == GW_SEAT_HELD || t->state == GW_SEAT_PARTING) {
        GwActions_Log(out, GW_LOG_SEAT_LOST, "seat=%u holder=%s", seat,
                      t->row.name);
    }
    GwSeats_SetState(s, seat, GW_SEAT_NONE, out);
    t->contested = false;
}

/* A row that is ours. One whose claim we once gave up is not taken back by
 * reading it: the peer we offered it to may be writing itself in right now.
 * One that carries a notice is not used until our objection is confirmed: the
 * symptom would be two users of a seat, if the table was out of our reach for
 * the whole hold-off. */
static void
own_row(GwSeats *s, uint32_t seat, GwActions *out)
{
    GwSeat *t = &s->seats[seat];
    bool was = usable(t);

    t->contested = t->row.notice;
#if GW_MUTANT == 54 /* breaks: a notice does not stop the use */
    t->contested = false;
#endif
    if (was != usable(t)) {
        s->epoch++;
    }
#if GW_MUTANT == 57 /* breaks: a given-up claim is taken back by reading */
    if (t->state == GW_SEAT_GIVEN || t->state == GW_SEAT_RELEASED) {
        GwSeats_SetState(s, seat, GW_SEAT_HELD, out);
    }
#endif
    if ((t->state == GW_SEAT_NONE || t->state == GW_SEAT_TAKING) &&
        t->row.claim > t->given) {
        GwSeats_SetState(s, seat, GW_SEAT_HELD, out);
    }
}

/* Takes in what is known of a row, by a reading or a confirmed write. Older
 * knowledge than what we have is ignored: readings and writes may overtake
 * each other. */
void
GwSeats_Learn(GwSeats *s, int64_t now_us, uint32_t seat, const GwSeatRow *row,
              GwActions *out)
{
    GwSeat *t = &s->seats[seat];

    if (row->version < t->row.version) {
        return;
    }
    if (row->version > t->row.version || t->since_us == 0) {
        t->since_us = now_us;
        t->notice_us = 0;
        t->newer_us = 0;
        t->gone_us = 0;
    }
    t->row = *row;
    if (row->notice && row->notice_by == s->params.id.node &&
        t->notice_us == 0) {
        t->notice_us = now_us;
    }
    if (GwSeats_IsOwn(s, row)) {
        own_row(s, seat, out);
        return;
    }
    if (t->state == GW_SEAT_TAKING && row->version <= t->take.version) {
        return;
    }
    if (t->state != GW_SEAT_NONE) {
        GwSeats_Lose(s, seat, out);
    }
}
