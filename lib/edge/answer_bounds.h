/* Bounds on what backend servers send: bytes and time of one response, and the
 * memory of all responses together (http/budget.h). */
#ifndef GW_EDGE_ANSWER_BOUNDS_H
#define GW_EDGE_ANSWER_BOUNDS_H

#include "http/conn.h"

typedef struct GwEdge_s GwEdge;

/* Maximum size of a response, which is buffered whole. */
#define GW_ANSWER_MAX_BYTES (8u << 20)
/* Maximum size of its head. */
#define GW_ANSWER_HEAD_BYTES (256u << 10)

/* Progress of the response to one request. */
typedef struct {
    int64_t sent_us;  /* when the request was sent */
    int64_t began_us; /* first byte of the response; 0: none yet */
    uint64_t bytes_before;
    uint64_t reads_before;
    uint32_t extra_count;    /* messages before the response */
    uint64_t extra_bytes;    /* of their heads */
    uint64_t bytes_at_extra; /* received when the last of them ended */
} GwAnswerMeter;

/* Responses that exceeded a bound. */
typedef struct {
    uint64_t count;
    uint64_t unlogged; /* since the last log line */
    int64_t logged_us;
} GwAnswerExcess;

/* Sets the limits on bodies and responses. */
void GwAnswerBounds_Init(GwHttpBudget *bodies, uint64_t memory_mb);
void GwAnswerMeter_Start(GwAnswerMeter *m, const GwConn *conn, int64_t now_us);
/* Whether the response arrives so slowly that it counts as one without end.
 * One that stops arriving is not slow: the request's deadline ends it. */
bool GwAnswerMeter_IsTooSlow(const GwAnswerMeter *m, const GwConn *conn,
                             int64_t now_us);
/* Counts a message that came before the response: an interim response, or one
 * that belongs to no or another request. Returns whether it was one too
 * many. */
bool GwAnswerMeter_AddExtra(GwAnswerMeter *m, const GwConn *conn,
                            const GwHttpMessage *msg);
/* Whether too many bytes arrived that begin no message. */
bool GwAnswerMeter_IsPadded(const GwAnswerMeter *m, const GwConn *conn);
/* Whether the connection ended because the response exceeded a bound. */
bool GwAnswerBounds_IsExcess(const GwConn *conn);
/* Counts a response that exceeded a bound, and logs it. `sender`: the server
 * or entry that sent it. */
void GwAnswerBounds_NoteExcess(GwEdge *edge, const char *sender,
                               const GwAnswerMeter *m, const GwConn *conn);

#endif
