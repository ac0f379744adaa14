/* How the entry closes connections of callers, and what it logs of it. */
#include "edge/callers_internal.h"

/* A close waits for the last answers to arrive while their caller makes
 * progress at least this often; at process exit there is little time left. */
#define STALL_MS      10000
#define EXIT_STALL_MS 500

const char *
GwCallerClose_Name(GwCallerClose why)
{
    static const char *const names[GW_CLOSE_COUNT] = {
        [GW_CLOSE_IDLE] = "idle",         [GW_CLOSE_SLOT] = "slot",
        [GW_CLOSE_STALLED] = "stalled",   [GW_CLOSE_LAST] = "last-answer",
        [GW_CLOSE_REJECTED] = "rejected", [GW_CLOSE_STOP] = "stop",
        [GW_CLOSE_EXIT] = "exit",
    };

    return names[why];
}

static void
log_close(const GwCaller *caller, GwCallerClose why)
{
    int64_t now_us = GwEdge_Now();
    uint64_t out = GwConn_BytesOut(caller->conn);
    size_t unacked = GwConn_UnackedBytes(caller->conn);

    caller->edge->counts.callers_closed[why]++;
    GwLog_Event(GW_LOG_CALLER_CLOSED,
                "reason=%s peer=%d age_ms=%" PRId64 " idle_ms=%" PRId64
                " requests=%u queued=%zu unacked=%zu acked=%" PRIu64,
                GwCallerClose_Name(why), caller->is_peer,
                (now_us - caller->accepted_us) / 1000,
                (now_us - caller->idle_since_us) / 1000,
                g_queue_get_length((GQueue *)&caller->exchanges),
                GwConn_QueuedBytes(caller->conn), unacked, out - unacked);
}

void
GwCaller_Close(GwCaller *caller, GwCallerClose why)
{
    GwRequestEnd open_end = GW_END_INTERRUPTED;

    log_close(caller, why);
    switch (why) {
    case GW_CLOSE_IDLE:
    case GW_CLOSE_SLOT:
    case GW_CLOSE_STOP:
        GwConn_CloseUnread(caller->conn, STALL_MS);
        break;
    case GW_CLOSE_EXIT:
        GwConn_CloseUnread(caller->conn, EXIT_STALL_MS);
        break;
    case GW_CLOSE_LAST:
    case GW_CLOSE_REJECTED:
        GwConn_FinishAndClose(caller->conn);
        break;
    case GW_CLOSE_STALLED:
        GwConn_Close(caller->conn);
        open_end = GW_END_DISCONNECTED;
        break;
    case GW_CLOSE_COUNT:
        break;
    }
    GwCaller_Free(caller, open_end);
}

void
GwCallers_OnCut(void *host, const GwConnCut *cut)
{
    GwEdge *edge = host;

    edge->counts.callers_cut++;
    GwLog_Event(GW_LOG_CALLER_CUT,
                "closing_ms=%u queued=%zu unacked=%zu acked=%" PRIu64,
                cut->closing_ms, cut->queued_bytes, cut->unacked_bytes,
                cut->acked_bytes);
}
