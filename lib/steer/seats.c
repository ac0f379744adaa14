/* Interface of the seats: pause detection and the fence, table reads,
 * replies to writes. */
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

/* A held seat at or above the total is handed over and not used. */
void
GwSeats_Configure(GwSeats *s, uint32_t total)
{
    s->total = MIN(total, GW_SEATS_MAX);
    s->max_total = MAX(s->max_total, s->total);
    for (uint32_t i = s->total; i < s->max_total; i++) {
        if (s->seats[i].state == GW_SEAT_HELD) {
            s->seats[i].state = GW_SEAT_HANDING_OVER;
            s->epoch++;
        }
    }
}

/* Detects a pause of the process; called first for every event. A gap
 * between two events longer than the fence means that another process may
 * have reclaimed the seats meanwhile. This process then uses no seat, and
 * ignores the replies to its earlier requests, until it has read the rows
 * again. Without the fence, a holder that resumes would use units that
 * another process now uses. */
void
GwSeats_CheckPause(GwSeats *s, int64_t now_us, GwActions *out)
{
    int64_t gap_us = now_us - s->last_event_us;
    bool paused =
        s->last_event_us != 0 && gap_us > (int64_t)s->params.fence_ms * 1000;

    s->last_event_us = now_us;
#if GW_MUTANT == 50 /* breaks: a pause fences the process */
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
#if GW_MUTANT != 51 /* breaks: an older read does not end the fence */
    s->list.token = 0;
#endif
    for (uint32_t i = 0; i < s->max_total; i++) {
        s->seats[i].write.op = GW_SEAT_OP_NONE;
        s->seats[i].write.token = 0;
    }
}

/* Gives up requests without a reply in time. Whether a write took effect is
 * determined by reading. A later reply is ignored, since its content may be
 * outdated. */
static void
expire_requests(GwSeats *s, int64_t now_us)
{
#if GW_MUTANT != 51 /* breaks: an older read does not end the fence */
    if (s->list.token != 0 &&
        now_us - s->list.sent_us > GW_SEAT_REQUEST_TIMEOUT_US) {
        s->list.token = 0;
        s->failed_reads++;
    }
#endif
    if (now_us - s->expired_us < GW_SEAT_EXPIRE_PERIOD_US) {
        return;
    }
    s->expired_us = now_us;
    for (uint32_t i = 0; i < s->max_total; i++) {
        GwSeat *t = &s->seats[i];
        if (t->write.op != GW_SEAT_OP_NONE &&
            now_us - t->write.sent_us > GW_SEAT_REQUEST_TIMEOUT_US) {
            t->write.op = GW_SEAT_OP_NONE;
            t->write.token = 0;
            GwSeats_ReadRowsSoon(s, now_us);
        }
    }
}

/* Runs the timeouts, handovers and reads that are due. */
void
GwSeats_Tick(GwSeats *s, int64_t now_us, const GwMembers *members,
             GwActions *out)
{
    GwSeats_CheckPause(s, now_us, out);
    expire_requests(s, now_us);
    if (s->next_list_us == 0) {
        s->next_list_us = now_us + GwRng_Jitter(&s->rng, GW_SEAT_FIRST_READ_US,
                                                GW_SEAT_FIRST_READ_US / 2);
    }
    GwSeats_AdvanceHandovers(s, now_us, members, out);
    if (s->total > 0 && s->list.token == 0 && now_us >= s->next_list_us) {
        GwSeats_ReadRows(s, now_us, out);
    }
}

/* The seat number in a row's key; GW_NONE for other keys. */
static uint32_t
parse_seat_key(const GwSeats *s, const char *key)
{
    guint64 seat = 0;
    const char *number = strrchr(key, '/');

    if (number == NULL ||
        !g_ascii_string_to_unsigned(number + 1, 10, 0, GW_SEATS_MAX - 1, &seat,
                                    NULL)) {
        return GW_NONE;
    }
    char expected[GW_ROW_KEY_MAX];
    GwSeats_FormatKey(s, (uint32_t)seat, expected);
    return strcmp(expected, key) == 0 ? (uint32_t)seat : GW_NONE;
}

/* Drops the seats whose row is missing from the list: the table has lost
 * the row. */
static void
drop_absent_rows(GwSeats *s, int64_t now_us, int64_t sent_us, GwActions *out)
{
    for (uint32_t i = 0; i < s->max_total; i++) {
        GwSeat *t = &s->seats[i];
        if (t->list_round != s->list_round && t->row.version != 0 &&
            t->since_us < sent_us && t->write.op == GW_SEAT_OP_NONE) {
            t->row = (GwSeatRow){0};
            t->since_us = now_us;
            GwSeats_MarkLost(s, i, out);
        }
        if (t->since_us == 0) {
            t->since_us = now_us;
        }
    }
}

static void
send_objections(GwSeats *s, int64_t now_us, GwActions *out)
{
    for (uint32_t i = 0; i < s->max_total; i++) {
        GwSeat *t = &s->seats[i];
        bool is_held =
            t->state == GW_SEAT_HELD || t->state == GW_SEAT_HANDING_OVER;
        if (is_held && t->contested && t->write.op == GW_SEAT_OP_NONE) {
            GwSeats_Write(s, now_us, i, GW_SEAT_OP_OBJECT, &t->row, out);
        }
    }
}

/* Applies a list of all rows. A fence cancels the reads sent before it, so
 * the list that ends a fence shows the rows as they were after the pause. */
static void
apply_list(GwSeats *s, int64_t now_us, const GwTableReply *reply,
           const GwMembers *members, GwActions *out)
{
    s->list_round++;
    for (uint32_t i = 0; i < reply->row_count; i++) {
        uint32_t seat = parse_seat_key(s, reply->rows[i].key);
        if (seat == GW_NONE) {
            continue;
        }
        GwSeatRow row;
        GwSeatRow_Parse(&reply->rows[i], &row);
        s->seats[seat].list_round = s->list_round;
        if (s->seats[seat].write.op == GW_SEAT_OP_NONE) {
            GwSeats_ApplyRow(s, now_us, seat, &row, out);
        }
    }
    drop_absent_rows(s, now_us, s->list.sent_us, out);
    if (s->fenced) {
        s->fenced = false;
        s->epoch++;
    }
    send_objections(s, now_us, out);
    if (!s->leaving) {
        GwSeats_ReclaimStale(s, now_us, members, out);
        GwSeats_Rebalance(s, now_us, members, out);
        GwSeats_ClaimFree(s, now_us, members, out);
    }
}

/* Applies a confirmed write. */
static void
apply_write(GwSeats *s, int64_t now_us, uint32_t seat, uint64_t version,
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
    GwSeats_ApplyRow(s, now_us, seat, &row, out);
}

static void
receive_write_reply(GwSeats *s, int64_t now_us, uint32_t seat,
                    const GwTableReply *reply, GwActions *out)
{
    GwSeat *t = &s->seats[seat];

#if GW_MUTANT == 52 /* breaks: a lost reply does not confirm a write */
    if (reply->status == GW_TABLE_LOST) {
        apply_write(s, now_us, seat, t->row.version + 1, out);
        return;
    }
#endif
    if (reply->status == GW_TABLE_DONE && reply->row_count == 1) {
        apply_write(s, now_us, seat, reply->rows[0].version, out);
        return;
    }
    /* Refused, or result unknown: the state stays until the row is read. A
     * refusal may also be caused by an earlier write of this process whose
     * reply was lost. */
    t->write.op = GW_SEAT_OP_NONE;
    t->write.token = 0;
    GwSeats_ReadRowsSoon(s, now_us);
}

/* Handles replies to reads and writes. A reply with an unknown token
 * belongs to a request that timed out or that a fence cancelled. */
void
GwSeats_TableReply(GwSeats *s, int64_t now_us, const GwTableReply *reply,
                   const GwMembers *members, GwActions *out)
{
    GwSeats_CheckPause(s, now_us, out);
    uint32_t seat = (uint32_t)(reply->token >> 40) & 0xffff;

    if (seat > 0 && seat <= GW_SEATS_MAX) {
        if (s->seats[seat - 1].write.op != GW_SEAT_OP_NONE &&
            s->seats[seat - 1].write.token == reply->token) {
            receive_write_reply(s, now_us, seat - 1, reply, out);
        }
        return;
    }
    if (s->list.token == 0 || reply->token != s->list.token) {
        return;
    }
    s->list.token = 0;
    if (reply->status != GW_TABLE_DONE) {
        s->failed_reads++;
        return;
    }
    s->failed_reads = 0;
    apply_list(s, now_us, reply, members, out);
}

bool
GwSeats_IsUsable(const GwSeats *s, uint32_t seat)
{
    return seat < s->total && !s->fenced &&
           s->seats[seat].state == GW_SEAT_HELD && !s->seats[seat].contested;
}

bool
GwSeats_IsHandingOver(const GwSeats *s, uint32_t seat)
{
    return seat < GW_SEATS_MAX && s->seats[seat].state == GW_SEAT_HANDING_OVER;
}

/* Starts the handover of every seat; no new seats are claimed. */
void
GwSeats_HandOverAll(GwSeats *s, int64_t now_us)
{
    s->leaving = true;
    for (uint32_t i = 0; i < s->max_total; i++) {
        if (s->seats[i].state == GW_SEAT_HELD) {
            s->seats[i].state = GW_SEAT_HANDING_OVER;
        }
    }
    s->epoch++;
}

/* The number of seats that this process is still responsible for: held,
 * being handed over, or offered without a reply. */
uint32_t
GwSeats_HeldCount(const GwSeats *s)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < s->max_total; i++) {
        GwSeatState state = s->seats[i].state;
        count += state == GW_SEAT_HELD || state == GW_SEAT_HANDING_OVER ||
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
greatest_common_divisor(uint32_t a, uint32_t b)
{
    while (b != 0) {
        uint32_t rest = a % b;
        a = b;
        b = rest;
    }
    return a;
}

/* Maps a unit to its seat. Consecutive units advance by a step coprime to
 * `seats`, so that any run of units is spread evenly: no seat gets two more
 * than another. `count` is not used: while a cap or a slot count changes,
 * entries use different configuration versions for a moment, and a unit
 * that both versions contain must belong to the same seat in both. */
uint32_t
GwSeat_OfUnit(uint64_t owner, uint32_t index, uint32_t count, uint32_t seats)
{
    if (seats <= 1) {
        return 0;
    }
    uint64_t first = owner ^ (owner >> 29);
    uint32_t step = (uint32_t)(seats * 618ULL / 1000);

    step = MAX(step, 1);
    while (greatest_common_divisor(step, seats) != 1) {
        step++;
    }
    return (uint32_t)((first % seats + (uint64_t)index * step) % seats);
}
