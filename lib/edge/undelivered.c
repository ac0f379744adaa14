#include "edge/edge_internal.h"

void
GwExchange_NoteUndelivered(const GwExchange *x, const GwConn *conn,
                           const char *receiver, int64_t sent_us)
{
    GwEdge *edge = x->edge;
    size_t unacked = GwConn_UnackedBytes(conn);

    if (unacked == 0) {
        return;
    }
    const char *id = GwHttpMessage_Get(x->msg, edge->adapter->request_id);
    edge->counts.undelivered++;
    GwLog_Event(GW_LOG_ATTEMPT_UNDELIVERED,
                "request=%.40s receiver=%s unacked=%zu after_ms=%" PRId64,
                id != NULL ? id : "", receiver, unacked,
                (GwEdge_Now() - sent_us) / 1000);
}
