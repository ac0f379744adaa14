/* State of a connection from a caller, shared by callers.c (requests and
 * answers), callers_idle.c (limits) and callers_close.c. */
#ifndef GW_EDGE_CALLERS_INTERNAL_H
#define GW_EDGE_CALLERS_INTERNAL_H

#include "edge/edge_internal.h"
#include "http/progress.h"

struct GwCaller_s {
    GwEdge *edge;
    GwConn *conn;
    GList link;      /* in edge->callers */
    GList idle_link; /* in edge->idle_callers if is_listed_idle */
    bool is_listed_idle;
    GList room_link; /* in edge->room_waiters if awaits_room */
    bool awaits_room;
    GQueue exchanges; /* GwExchange, oldest first */
    int64_t accepted_us;
    int64_t idle_since_us;
    uint32_t idle_limit_ms;   /* limit when it became idle */
    bool has_unacked_answer;  /* answers may be unacknowledged */
    int64_t partial_since_us; /* start of a partly received message; 0: none */
    GwSendProgress reading;   /* of the answers sent to it */
    bool is_flush_pending;    /* in edge->flush_queue: has answers to send */
    bool is_disconnected;     /* in edge->disconnected, to be freed */
    bool is_peer;             /* another entry, which passes requests on */
    uint16_t error_status; /* error to send after the other answers; 0: none */
};

/* Logs and counts that the entry closes the connection, and closes it as the
 * reason demands. Requests in progress are cancelled. */
void GwCaller_Close(GwCaller *caller, GwCallerClose why);
/* GwConnOps.cut of connections from callers. */
void GwCallers_OnCut(void *host, const GwConnCut *cut);
/* Removes a connection that is closed or about to be closed. Its requests in
 * progress are cancelled and logged with `open_end`. */
void GwCaller_Free(GwCaller *caller, GwRequestEnd open_end);
/* Schedules the connection's answers to be sent after all pending router
 * actions have run. */
void GwCaller_ScheduleFlush(GwCaller *caller);
/* The limits in force; defaults until a configuration is known. */
GwCallerLimits GwCallers_Limits(const GwEdge *edge);
/* Starts the connection's idle time, unless a request is in progress. */
void GwCaller_BeginIdle(GwCaller *caller);
/* A request has arrived, or the connection is about to be closed. */
void GwCaller_EndIdle(GwCaller *caller);
/* Starts the requests that may run now. */
void GwCaller_StartReady(GwCaller *caller);

/* replies.c */
/* Writes an answer of the entry's own, with further header lines. */
void GwReply_Write(GString *out, uint16_t status, uint32_t retry_after_ms,
                   const char *fields, bool close);

/* caller_room.c */
typedef enum {
    GW_START_NOW = 1,
    GW_START_WAITS,  /* for room */
    GW_START_REFUSED /* its reply is scheduled */
} GwStartVerdict;

/* Reserves room for the answer of a request that is about to start. */
GwStartVerdict GwExchange_TakeRoom(GwExchange *x);
/* The answer has arrived, or none will. */
void GwExchange_ReleaseRoom(GwExchange *x);
/* The connection is about to be closed. */
void GwCaller_EndRoomWait(GwCaller *caller);
void GwCallers_SweepRoom(GwEdge *edge, int64_t now_us);

/* Whether another caller may connect; closes an idle connection if that is
 * needed to free a slot. */
bool GwCallers_FreeSlot(GwEdge *edge);
/* Whether another caller may connect without closing a connection. */
bool GwCallers_HasFreeSlot(const GwEdge *edge);

#endif
