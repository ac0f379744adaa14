/* Counters and latency histograms of requests by route and end. For monitoring
 * only; routing doesn't depend on them. */
#ifndef GW_EDGE_METERS_H
#define GW_EDGE_METERS_H

#include "router/router.h"

typedef enum {
    GW_END_ANSWERED = 0, /* a backend server's answer below 500 */
    GW_END_FAILED,       /* a 5xx of a backend server */
    GW_END_NOT_RUN,      /* 503: proven not run */
    GW_END_UNKNOWN,      /* 502, 504: may have run */
    GW_END_NO_ROUTE,     /* 404 */
    GW_END_UNAUTHORIZED, /* 401 */
    GW_END_OVER_QUOTA,   /* 429: not run */
    GW_END_DISCONNECTED, /* the caller disconnected first */
    GW_END_INTERRUPTED,  /* the entry exited first: may have run */
    GW_END_COUNT
} GwRequestEnd;

const char *GwRequestEnd_Name(GwRequestEnd end);
/* Returns the end of a request that the entry itself answers with `status`. */
GwRequestEnd GwRequestEnd_OfReply(uint16_t status);

typedef struct GwMeters_s GwMeters;

GwMeters *GwMeters_Create(void);
void GwMeters_Free(GwMeters *meters);
/* `why` is GW_REPLY_NONE except for answers made by the entry itself. */
void GwMeters_Add(GwMeters *meters, const char *route, GwRequestEnd end,
                  GwReplyReason why, uint32_t took_ms);
/* Histograms and counters in the text exposition format. */
void GwMeters_Write(const GwMeters *meters, GString *out);

#endif
