/* Rows of seats: their text format, and the requests that read and write
 * them. */
#include "steer/seats_internal.h"

#include <stdio.h>
#include <string.h>

/* Write tokens hold the seat number plus one above this bit, so that a
 * reply can be matched to its seat. */
#define SEAT_SHIFT 40

void
GwSeats_FormatKey(const GwSeats *s, uint32_t seat, char out[GW_ROW_KEY_MAX])
{
    g_snprintf(out, GW_ROW_KEY_MAX, GW_KEY_SEAT_PREFIX "%s/%04u",
               s->params.region, seat);
}

/* Whether the row names this process, by node and start number. */
bool
GwSeats_IsOwn(const GwSeats *s, const GwSeatRow *row)
{
    return row->version != 0 && !row->is_malformed &&
           GwNodeId_Equal(row->holder, s->params.id);
}

/* Parses "<node> <start> <claim> <held|notice> <notice by> <name>". Any
 * other value is marked malformed: neither free nor held by a known node. */
void
GwSeatRow_Parse(const GwRow *row, GwSeatRow *out)
{
    g_autofree char *text = g_strndup(row->value, row->len);
    g_auto(GStrv) words = g_strsplit(text, " ", -1);

    *out = (GwSeatRow){.version = row->version, .is_malformed = true};
    if (g_strv_length(words) != 6 ||
        !g_ascii_string_to_unsigned(words[0], 16, 0, UINT64_MAX,
                                    &out->holder.node, NULL) ||
        !g_ascii_string_to_unsigned(words[1], 16, 0, UINT64_MAX,
                                    &out->holder.start, NULL) ||
        !g_ascii_string_to_unsigned(words[2], 10, 0, UINT64_MAX, &out->claim,
                                    NULL) ||
        !g_ascii_string_to_unsigned(words[4], 16, 0, UINT64_MAX,
                                    &out->notice_by, NULL)) {
        return;
    }
    out->notice = strcmp(words[3], "notice") == 0;
    out->is_malformed = !out->notice && strcmp(words[3], "held") != 0;
    g_strlcpy(out->name, words[5], GW_NAME_MAX);
}

static char *
format_row(const GwSeatRow *row)
{
    return g_strdup_printf(
        "%016" PRIx64 " %016" PRIx64 " %" PRIu64 " %s %016" PRIx64 " %s",
        row->holder.node, row->holder.start, row->claim,
        row->notice ? "notice" : "held", row->notice_by, row->name);
}

/* The row to be written: `base` changed by `op`. */
static GwSeatRow
row_after(const GwSeats *s, GwSeatOp op, const GwSeatRow *base)
{
    GwSeatRow row = *base;

    row.is_malformed = false;
    row.notice = false;
    row.notice_by = 0;
    switch (op) {
    case GW_SEAT_OP_NOTICE:
        row.notice = true;
        row.notice_by = s->params.id.node;
        break;
    case GW_SEAT_OP_FREE:
        row.holder = (GwNodeId){0};
        g_strlcpy(row.name, "-", GW_NAME_MAX);
        break;
    case GW_SEAT_OP_CLAIM:
    case GW_SEAT_OP_RESUME:
    case GW_SEAT_OP_TAKE:
        row.holder = s->params.id;
        row.claim++;
        g_strlcpy(row.name, s->params.name, GW_NAME_MAX);
        break;
    case GW_SEAT_OP_OBJECT:
    case GW_SEAT_OP_NONE:
        break;
    }
    return row;
}

/* Sends a write of the seat's row, conditional on the version of `base`.
 * Each seat has at most one write in flight. */
void
GwSeats_Write(GwSeats *s, int64_t now_us, uint32_t seat, GwSeatOp op,
              const GwSeatRow *base, GwActions *out)
{
    GwSeat *t = &s->seats[seat];
    GwTableRequest *request = g_new0(GwTableRequest, 1);

    t->write.op = op;
    t->write.row = row_after(s, op, base);
    t->write.sent_us = now_us;
    t->write.token =
        GW_TOKEN_SEATS | ((uint64_t)(seat + 1) << SEAT_SHIFT) | ++s->counter;
    request->token = t->write.token;
    request->op = GW_TABLE_TXN;
    request->row_count = 1;
    request->rows[0].version = base->version;
    GwSeats_FormatKey(s, seat, request->rows[0].key);
    request->rows[0].value = format_row(&t->write.row);
    request->rows[0].len = (uint32_t)strlen(request->rows[0].value);
    GwActions_Add(out, GW_ACTION_TABLE)->u.table = request;
}

/* Requests all seat rows of the region. The period is longer while the
 * table fails and where the rows are many, since a read costs in proportion
 * to their number and every entry reads them. The two do not add up, since
 * a holder has to read its rows twice within the hold-off. */
void
GwSeats_ReadRows(GwSeats *s, int64_t now_us, GwActions *out)
{
    GwTableRequest *request = g_new0(GwTableRequest, 1);
    bool slow = s->failed_reads > 0 || s->total > GW_SEAT_SLOW_POLL_ROWS;
    int64_t poll_us = ((int64_t)s->params.seat_poll_ms * 1000)
                      << (slow ? GW_SEAT_BACKOFF_MAX : 0);

    s->list.token = GW_TOKEN_SEATS | ++s->counter;
    s->list.sent_us = now_us;
    s->next_list_us =
        now_us + GwRng_Jitter(&s->rng, poll_us * 3 / 4, poll_us / 2);
    request->token = s->list.token;
    request->op = GW_TABLE_LIST;
    request->row_count = 1;
    g_snprintf(request->rows[0].key, GW_ROW_KEY_MAX, GW_KEY_SEAT_PREFIX "%s/",
               s->params.region);
    GwActions_Add(out, GW_ACTION_TABLE)->u.table = request;
}

/* Schedules an early read, because a decision waits for it. While the table
 * fails, the longer period stays. */
void
GwSeats_ReadRowsSoon(GwSeats *s, int64_t now_us)
{
    if (s->failed_reads == 0) {
        int64_t soon_us = now_us + GwRng_Jitter(&s->rng, GW_SEAT_READ_SOON_US,
                                                2 * GW_SEAT_READ_SOON_US);
        s->next_list_us = MIN(s->next_list_us, soon_us);
    }
}
