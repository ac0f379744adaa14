#include "edge/edge_internal.h"

/* Share of the memory for bodies, in bytes per MiB: a third, because requests
 * are copied when they are sent. */
#define BODIES_SHARE ((1u << 20) / 3)
/* Responses use at most two thirds of that, so that requests find room, and at
 * most 20 MiB: with the parts of the last read, copies of small bodies and
 * fragmentation this stays below 32 MB. */
#define RESPONSES_MAX_BYTES (20u << 20)
/* A response is too slow if it has been arriving for SLOW_AFTER_US in at least
 * SLOW_READS_MIN reads at less than SLOW_BYTES_PER_S. That is 128 bytes a read
 * at most: a congested link delivers whole segments, which are larger. Callers
 * wait 4 to 6 s, so a request that may be repeated can still be retried. */
#define SLOW_AFTER_US    INT64_C(2000000)
#define SLOW_READS_MIN   8
#define SLOW_BYTES_PER_S 512.0
#define LOG_PERIOD_US    INT64_C(1000000)
/* Messages that may precede a response, and the size of their heads. */
#define EXTRA_COUNT_MAX 16
#define EXTRA_BYTES_MAX GW_ANSWER_HEAD_BYTES
/* Empty lines between messages, in bytes. */
#define PADDING_MAX_BYTES (4u << 10)

void
GwAnswerBounds_Init(GwHttpBudget *bodies, uint64_t memory_mb)
{
    bodies->max = memory_mb * BODIES_SHARE;
    bodies->responses_max = MIN(bodies->max * 2 / 3, RESPONSES_MAX_BYTES);
}

void
GwAnswerMeter_Start(GwAnswerMeter *m, const GwConn *conn, int64_t now_us)
{
    *m = (GwAnswerMeter){
        .sent_us = now_us,
        .bytes_before = GwConn_BytesIn(conn),
        .reads_before = GwConn_ReadCount(conn),
        .bytes_at_extra = GwConn_BytesIn(conn),
    };
}

bool
GwAnswerMeter_AddExtra(GwAnswerMeter *m, const GwConn *conn,
                       const GwHttpMessage *msg)
{
    m->extra_count++;
    m->extra_bytes += msg->head_len;
    m->bytes_at_extra = GwConn_BytesIn(conn);
#if GW_MUTANT == 163 /* breaks: interim responses come without end */
    return false;
#endif
    return m->extra_count > EXTRA_COUNT_MAX ||
           m->extra_bytes > EXTRA_BYTES_MAX;
}

bool
GwAnswerMeter_IsPadded(const GwAnswerMeter *m, const GwConn *conn)
{
#if GW_MUTANT == 164 /* breaks: empty lines come without end */
    return false;
#endif
    return !GwConn_IsInMessage(conn) &&
           GwConn_BytesIn(conn) - m->bytes_at_extra > PADDING_MAX_BYTES;
}

bool
GwAnswerMeter_IsTooSlow(const GwAnswerMeter *m, const GwConn *conn,
                        int64_t now_us)
{
    int64_t took_us = now_us - m->began_us;

#if GW_MUTANT == 145 /* breaks: a response may arrive byte by byte */
    return false;
#endif
    if (m->began_us == 0 || took_us < SLOW_AFTER_US ||
        GwConn_ReadCount(conn) - m->reads_before < SLOW_READS_MIN) {
        return false;
    }
    double bytes = (double)(GwConn_BytesIn(conn) - m->bytes_before);
    return bytes * 1e6 < SLOW_BYTES_PER_S * (double)took_us;
}

bool
GwAnswerBounds_IsExcess(const GwConn *conn)
{
    switch (GwConn_Error(conn)) {
    case GW_HTTP_LONG_HEAD:
    case GW_HTTP_LONG_BODY:
    case GW_HTTP_OVER_BUDGET:
        return true;
    case GW_HTTP_OK:
    case GW_HTTP_MALFORMED:
        break;
    }
    return false;
}

static const char *
exceeded_bound(const GwAnswerMeter *m, const GwConn *conn)
{
    switch (GwConn_Error(conn)) {
    case GW_HTTP_LONG_HEAD:
        return "head";
    case GW_HTTP_LONG_BODY:
        return "body";
    case GW_HTTP_OVER_BUDGET:
        return "memory";
    case GW_HTTP_OK:
    case GW_HTTP_MALFORMED:
        break;
    }
    if (m->extra_count > EXTRA_COUNT_MAX || m->extra_bytes > EXTRA_BYTES_MAX) {
        return "messages";
    }
    return GwAnswerMeter_IsPadded(m, conn) ? "padding" : "time";
}

void
GwAnswerBounds_NoteExcess(GwEdge *edge, const char *sender,
                          const GwAnswerMeter *m, const GwConn *conn)
{
    GwAnswerExcess *excess = &edge->excess;
    int64_t now_us = GwEdge_Now();

    excess->count++;
    if (excess->logged_us != 0 && now_us - excess->logged_us < LOG_PERIOD_US) {
        excess->unlogged++;
        return;
    }
    GwLog_Event(GW_LOG_ANSWER_EXCESS,
                "server=%s bound=%s bytes=%" PRIu64 " took_ms=%" PRId64
                " held=%" PRIu64 " unlogged=%" PRIu64,
                sender, exceeded_bound(m, conn),
                GwConn_BytesIn(conn) - m->bytes_before,
                (now_us - m->sent_us) / 1000, edge->bodies.responses,
                excess->unlogged);
    excess->logged_us = now_us;
    excess->unlogged = 0;
}
