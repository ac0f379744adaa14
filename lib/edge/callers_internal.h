/* A caller's connection, to those who serve it (callers.c) and those who bound
 * its life (callers_idle.c). */
#ifndef GW_EDGE_CALLERS_INTERNAL_H
#define GW_EDGE_CALLERS_INTERNAL_H

#include "edge/edge_internal.h"

struct GwCaller_s {
    GwEdge *edge;
    GwConn *conn;
    GList link;       /* in edge->callers */
    GQueue exchanges; /* GwExchange, oldest first */
    int64_t idle_since_us;
    uint32_t idle_limit_ms;  /* in force when it became idle */
    bool arriving;           /* its last answer may not have arrived */
    int64_t inside_since_us; /* a message has begun to come; 0: none */
    bool dirty;              /* in edge->dirty: answers wait to be sent */
    bool gone;               /* in edge->gone: it has left */
    uint16_t bad_status; /* to be said when the rest is answered; 0: none */
};

/* The connection is gone or about to be: what is under way is abandoned, and
 * ends in that way. */
void GwCaller_Free(GwCaller *caller, GwRequestEnd open_end);
/* Its answers are sent once all that the router said is carried out. */
void GwCaller_Mark(GwCaller *caller);
/* Those in force. */
GwCallerLimits GwCallers_Limits(const GwEdge *edge);
/* From here on the connection is idle, unless something is under way. */
void GwCaller_BeginIdle(GwCaller *caller);
/* One more may be connected, if need be in place of one that is idle. */
bool GwCallers_MakeRoom(GwEdge *edge);
/* The same, and none is idle. */
bool GwCallers_HaveRoom(const GwEdge *edge);

#endif
