/* What the parts of a connection share. */
#ifndef GW_HTTP_CONN_INTERNAL_H
#define GW_HTTP_CONN_INTERNAL_H

#include "http/conn.h"

struct GwConn_s {
    uv_tcp_t tcp;
    uv_connect_t connect;
    GwConnParams params;
    GwHttpParser *parser;
    uint64_t bytes_out;
    int64_t heard_us;
    int64_t wrote_us;
    int64_t finish_us;       /* when the owner ended it */
    uint32_t idle_ms;        /* before that */
    int64_t settle_until_us; /* what was written may arrive until then */
    uint32_t writes;         /* under way */
    uint32_t user_timeout_ms;
    bool connecting;
    bool reading;
    bool paused;    /* by its owner */
    bool finishing; /* close when nothing is left to write */
    bool watching;  /* finishing, and requests that still come are told */
    bool closing;
    bool feeding; /* inside the parser: it must outlive the call */
    bool doomed;  /* free when the parser returns and the handle is closed */
    bool handle_closed;
    uv_timer_t linger; /* bounds the wait for the other side's close */
    bool has_linger;
};

int64_t GwConn_NowUs(void);

/* conn_close.c */
void GwConn_CloseHandle(GwConn *c);
/* Frees it if nothing can come for it any more. */
void GwConn_FreeIfOver(GwConn *c);
/* A request came behind a close. */
void GwConn_NoteDropped(GwConn *c, const GwHttpMessage *msg);
/* Tells of a request of which only a part was read, and of no more. */
void GwConn_StopWatching(GwConn *c);

#endif
