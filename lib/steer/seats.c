/* The interface of seats: beats and the fence, readings, answers to writes. */
#include "steer/seats_internal.h"

#include <string.h>

GwSeats *
GwSeats_Create(const GwNodeParams *params)
{
    GwSeats *s = g_new0(GwSeats, 1);

    s->params = *params;
    s->region = GwName_Hash32(params->region);
    s->rng = GwRng_Make(params->seed ^ GW_TOKEN_SEATS);
    return s;
}

void
GwSeats_Free(GwSeats *s)
{
    g_free(s);
}

/* A seat beyond the number is given away, never used. */
void
GwSeats_Configure(GwSeats *s, uint32_t total)
{
    s->total = MIN(total, GW_SEATS_MAX);
    s->high = MAX(s->high, s->total);
    for (uint32_t i = s->total; i < s->high; i++) {
        if (s->seats[i].state == GW_SEAT_HELD) {
            s->seats[i].state = GW_SEAT_PARTING;
            s->epoch++;
        }
    }
}

/* Every event passes here first. A gap between two of them longer than the
 * fence means that this process was paused, perhaps long enough for another
 * to have reclaimed its seats: it uses none, and believes no answer to what
 * it asked before, until it has read the rows anew. Without this, a holder
 * that wakes would go on with the units that somebody else now uses. */
void
GwSeats_Beat(GwSeats *s, int64_t now_us, GwActions *out)
{
    int64_t gap_us = now_us - s->beat_us;
    bool paused =
        s->beat_us != 0 && gap_us > (int64_t)s->params.fence_ms * 1000;

    s->beat_us = now_us;
#if GW_MUTANT == 50 /* breaks: no fence */
    paused = false;
#endif
    if (!paused) {
        return;
    }
    GwActions_Log(out, GW_LOG_SEAT_FENCED, "gap_ms=%" PRId64, gap_us / 1000);
    s->fenced = true;
    s->fence_us = now_us;
    s->epoch++;
    s->next_list_us = now_us;
#if GW_MUTANT != 51 /* breaks: a reading from before the pause lifts it */
    s->list.token = 0;
#endif
    for (uint32_t i = 0; i < s->high; i++) {
        s->seats[i].write.op = GW_SEAT_OP_NONE;
        s->seats[i].write.token = 0;
    }
}

/* A write without an answer in time: whether it took effect is found out by
 * reading. An answer that comes later is not heard, since what it tells may
 * have been overtaken. */
static void
expire(GwSeats *s, int64_t now_us)
{
#if GW_MUTANT != 51 /* breaks: a reading from before the pause lifts it */
    if (s->list.token != 0 && now_us - s->list.sent_us > GW_SEAT_REQUEST_US) {
        s->list.token = 0;
        s->fails++;
    }
#endif
    if (now_us - s->expired_us < GW_SEAT_EXPIRE_US) {
        return;
    }
    s->expired_us = now_us;
    for (uint32_t i = 0; i < s->high; i++) {
        GwSeat *t = &s->seats[i];
        if (t->write.op != GW_SEAT_OP_NONE &&
            now_us - t->write.sent_us > GW_SEAT_REQUEST_US) {
            t->write.op = GW_SEAT_OP_NONE;
            t->write.token = 0;
            GwSeats_ListSoon(s, now_us);
        }
    }
}

/* Time-outs, readings and handovers that are due. */
void
GwSeats_Tick(GwSeats *s, int64_t now_us, const GwMembers *members,
             GwActions *out)
{
    GwSeats_Beat(s, now_us, out);
    expire(s, now_us);
    if (s->next_list_us == 0) {
        s->next_list_us = now_us + GwRng_Jitter(&s->rng, GW_SEAT_START_US,
                                                GW_SEAT_START_US / 2);
    }
    GwSeats_Handovers(s, now_us, members, out);
    if (s->total > 0 && s->list.token == 0 && now_us >= s->next_list_us) {
        GwSeats_List(s, now_us, out);
    }
}

/* The number of the seat in a row's key; GW_NONE when it is no seat. */
static uint32_t
seat_of(const GwSeats *s, const char *key)
{
    guint64 seat = 0;
    const char *number = strrchr(key, '/');

    if (number == NULL ||
        !g_ascii_string_to_unsigned(number + 1, 10, 0, GW_SEATS_MAX - 1, &seat,
                                    NULL)) {
        return GW_NONE;
    }
    char expected[GW_ROW_KEY_MAX];
    GwSeats_Key(s, (uint32_t)seat, expected);
    return strcmp(expected, key) == 0 ? (uint32_t)seat : GW_NONE;
}

/* A seat of ours whose row is not there: the table has lost it. */
static void
lose_absent(GwSeats *s, int64_t now_us, int64_t sent_us, GwActions *out)
{
    for (uint32_t i = 0; i < s->high; i++) {
        GwSeat *t = &s->seats[i];
        if (t->reading != s->reading && t->row.version != 0 &&
            t->since_us < sent_us && t->write.op == GW_SEAT_OP_NONE) {
            t->row = (GwSeatRow){0};
            t->since_us = now_us;
            GwSeats_Lose(s, i, out);
        }
        if (t->since_us == 0) {
            t->since_us = now_us;
        }
    }
}

static void
object(GwSeats *s, int64_t now_us, GwActions *out)
{
    for (uint32_t i = 0; i < s->high; i++) {
        GwSeat *t = &s->seats[i];
        bool ours = t->state == GW_SEAT_HELD || t->state == GW_SEAT_PARTING;
        if (ours && t->contested && t->write.op == GW_SEAT_OP_NONE) {
            GwSeats_Write(s, now_us, i, GW_SEAT_OP_OBJECT, &t->row, out);
        }
    }
}

/* Takes in a reading of all rows. One sent before a fence was dropped by the
 * fence; so this one shows the rows as they were after the wake. */
static void
take_list(GwSeats *s, int64_t now_us, const GwTableReply *reply,
          const GwMembers *members, GwActions *out)
{
    s->reading++;
    for (uint32_t i = 0; i < reply->row_count; i++) {
        uint32_t seat = seat_of(s, reply->rows[i].key);
        if (seat == GW_NONE) {
            continue;
        }
        GwSeatRow row;
        GwSeatRow_Parse(&reply->rows[i], &row);
        s->seats[seat].reading = s->reading;
        if (s->seats[seat].write.op == GW_SEAT_OP_NONE) {
            GwSeats_Learn(s, now_us, seat, &row, out);
        }
    }
    lose_absent(s, now_us, s->list.sent_us, out);
    if (s->fenced) {
        s->fenced = false;
        s->epoch++;
    }
    object(s, now_us, out);
    if (!s->leaving) {
        GwSeats_Reclaims(s, now_us, members, out);
        GwSeats_Rebalance(s, now_us, members, out);
        GwSeats_Claims(s, now_us, members, out);
    }
}

/* A confirmed write: the row is as we wrote it. */
static void
take_write(GwSeats *s, int64_t now_us, uint32_t seat, uint64_t version,
           GwActions *out)
{
    GwSeat *t = &s->seats[seat];
    GwSeatOp op = t->write.op;
    GwSeatRow row = t->write.row;

    t->write.op = GW_SEAT_OP_NONE;
    t->write.token = 0;
    row.version = version;
    if (op == GW_SEAT_OP_RESUME) {
        GwSeats_SetState(s, seat, GW_SEAT_NONE, out);
    }
    GwSeats_Learn(s, now_us, seat, &row, out);
}

static void
take_write_reply(GwSeats *s, int64_t now_us, uint32_t seat,
                 const GwTableReply *reply, GwActions *out)
{
    GwSeat *t = &s->seats[seat];

#if GW_MUTANT == 52 /* breaks: a lost answer is taken for a yes */
    if (reply->status == GW_TABLE_LOST) {
        take_write(s, now_us, seat, t->row.version + 1, out);
        return;
    }
#endif
    if (reply->status == GW_TABLE_DONE && reply->row_count == 1) {
        take_write(s, now_us, seat, reply->rows[0].version, out);
        return;
    }
    /* Refused, or unknown: the row tells, and until then nothing changes. A
     * refusal too may be the work of our own earlier write, whose answer was
     * lost. */
    t->write.op = GW_SEAT_OP_NONE;
    t->write.token = 0;
    GwSeats_ListSoon(s, now_us);
}

/* Answers to readings and writes. An unknown token is of a request that was
 * given up, or that a fence made worthless. */
void
GwSeats_TableReply(GwSeats *s, int64_t now_us, const GwTableReply *reply,
                   const GwMembers *members, GwActions *out)
{
    GwSeats_Beat(s, now_us, out);
    uint32_t seat = (uint32_t)(reply->token >> 40) & 0xffff;

    if (seat > 0 && seat <= GW_SEATS_MAX) {
        if (s->seats[seat - 1].write.op != GW_SEAT_OP_NONE &&
            s->seats[seat - 1].write.token == reply->token) {
            take_write_reply(s, now_us, seat - 1, reply, out);
        }
        return;
    }
    if (s->list.token == 0 || reply->token != s->list.token) {
        return;
    }
    s->list.token = 0;
    if (reply->status != GW_TABLE_DONE) {
        s->fails++;
        return;
    }
    s->fails = 0;
    take_list(s, now_us, reply, members, out);
}

bool
GwSeats_Usable(const GwSeats *s, uint32_t seat)
{
    return seat < s->total && !s->fenced &&
           s->seats[seat].state == GW_SEAT_HELD && !s->seats[seat].contested;
}

bool
GwSeats_IsParting(const GwSeats *s, uint32_t seat)
{
    return seat < GW_SEATS_MAX && s->seats[seat].state == GW_SEAT_PARTING;
}

/* Every seat parts; new ones are not taken. */
void
GwSeats_Leave(GwSeats *s, int64_t now_us)
{
    s->leaving = true;
    for (uint32_t i = 0; i < s->high; i++) {
        if (s->seats[i].state == GW_SEAT_HELD) {
            s->seats[i].state = GW_SEAT_PARTING;
        }
    }
    s->epoch++;
}

/* Seats that this node still answers for: held, parting, or offered without
 * an answer yet. */
uint32_t
GwSeats_HeldCount(const GwSeats *s)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < s->high; i++) {
        GwSeatState state = s->seats[i].state;
        count += state == GW_SEAT_HELD || state == GW_SEAT_PARTING ||
                         state == GW_SEAT_RELEASED
                     ? 1
                     : 0;
    }
    return count;
}

uint64_t
GwSeats_Epoch(const GwSeats *s)
{
    return s->epoch;
}

bool
GwSeats_IsFenced(const GwSeats *s)
{
    return s->fenced;
}

static uint32_t
common_divisor(uint32_t a, uint32_t b)
{
    while (b != 0) {
        uint32_t rest = a % b;
        a = b;
        b = rest;
    }
    return a;
}

/* The seat of a unit. Units go round all seats by a step without a common
 * divisor, so that any run of them is spread evenly: no seat has two more than
 * another. `count` has no part in it: during a change of a cap or of slots the
 * entries obey different versions for a moment, and a unit that both versions
 * know must belong to the same seat in both. */
uint32_t
GwSeat_OfUnit(uint64_t owner, uint32_t index, uint32_t count, uint32_t seats)
{
    if (seats <= 1) {
        return 0;
    }
    uint64_t first = owner ^ (owner >> 29);
    uint32_t step = (uint32_t)(seats * 618ULL / 1000);

    step = MAX(step, 1);
    while (common_divisor(step, seats) != 1) {
        step++;
    }
    return (uint32_t)((first % seats + (uint64_t)index * step) % seats);
}
