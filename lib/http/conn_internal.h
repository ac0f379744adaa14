/* Definitions shared by conn.c, conn_write.c and conn_close.c. */
#ifndef GW_HTTP_CONN_INTERNAL_H
#define GW_HTTP_CONN_INTERNAL_H

#include "http/conn.h"
#include "http/progress.h"

struct GwConn_s {
    uv_tcp_t tcp;
    uv_connect_t connect;
    GwConnParams params;
    GwHttpParser *parser;
    uint64_t bytes_out;
    uint64_t bytes_in;
    uint64_t reads;         /* that returned bytes */
    int64_t received_us;    /* time of the last read */
    int64_t sent_us;        /* time of the last write */
    int64_t finish_us;      /* start of the graceful close */
    uint32_t idle_ms;       /* time without traffic before finish_us */
    int64_t delivered_us;   /* when a graceful close had sent all bytes */
    uint32_t stall_ms;      /* see GwConn_CloseUnread */
    GwSendProgress closing; /* of the peer, since the start of the close */
    uint32_t writes;        /* pending write and shutdown requests */
    uint32_t user_timeout_ms;
    bool is_outgoing; /* carries requests of this process */
    bool is_connecting;
    bool is_reading;
    bool is_paused;       /* by the owner */
    bool is_finishing;    /* closed by the owner, still waits for the peer */
    bool reports_dropped; /* finishing, and reports requests that arrive */
    bool is_closing;      /* the handle is being closed */
    bool is_parsing;      /* the parser is on the stack and can't be freed */
    bool doomed;          /* unused */
    bool is_handle_closed;
    /* Limits the duration of a close, or reports an aborted response. */
    uv_timer_t linger;
    bool has_linger;
};

int64_t GwConn_NowUs(void);

/* conn.c */
/* How a connection ended that libuv reports with an error. */
GwConnEnd GwConn_EndOfError(int error);
/* Closes the connection and reports its end to the owner. */
void GwConn_End(GwConn *c, GwConnEnd how);
/* Reads, or not, by the owner's wish and the length of the write queue. */
void GwConn_UpdateReading(GwConn *c);

/* Limits the unsent bytes that the kernel takes; 0: the system's default. */
void GwConn_SetUnsentMax(const GwConn *c, uint32_t bytes);

/* conn_close.c */
/* See GwSocket_SetDiscard. */
void GwConn_SetDiscard(const GwConn *c, bool discards);
void GwConn_CloseHandle(GwConn *c);
/* Frees the connection if no callback can refer to it any more. */
void GwConn_FreeIfUnused(GwConn *c);
/* Reports a request, or NULL for one without a head, to `dropped`. */
void GwConn_ReportDropped(GwConn *c, const GwHttpMessage *msg);
/* Reports an incomplete request, if any, and disables further reports. */
void GwConn_StopReporting(GwConn *c);

#endif
