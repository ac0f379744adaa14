/* Requests of callers that have no answer yet, wherever they wait. */
#ifndef GW_EDGE_OPEN_REQUESTS_H
#define GW_EDGE_OPEN_REQUESTS_H

#include "edge/edge_internal.h"

/* What a request waits for. */
typedef enum {
    GW_WAIT_PIPELINE = 0, /* the requests before it on its connection */
    GW_WAIT_ROOM,         /* memory for its answer */
    GW_WAIT_TOKEN,        /* of its organisation's quota */
    GW_WAIT_PROBE,        /* whether a server is alive */
    GW_WAIT_SLOT,
    GW_WAIT_CONNECTION, /* to its server or to another entry */
    GW_WAIT_SERVER,     /* the answer of its server */
    GW_WAIT_PEER,       /* the answer of another entry */
    GW_WAIT_COUNT
} GwOpenWait;

const char *GwOpenWait_Name(GwOpenWait wait);
/* Counts the open requests by what they wait for. Returns their number. */
uint32_t GwOpenRequests_Count(const GwEdge *edge,
                              uint32_t counts[GW_WAIT_COUNT]);
/* Refuses a request that was not passed to the router. `route`: its name, or
 * "". */
void GwExchange_Refuse(GwExchange *x, const char *route, GwReplyReason why,
                       uint32_t retry_after_ms);
/* Answers every open request, wherever it waits, at the end of a stop. */
void GwOpenRequests_EndAll(GwEdge *edge);
/* Writes a log line for each open request. */
void GwOpenRequests_Log(const GwEdge *edge);
void GwOpenRequests_WriteMetrics(const GwEdge *edge, GString *out);

#endif
