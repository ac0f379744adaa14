/* Counts of how requests ended, and how long they took, by route. For those
 * who look from outside: nothing here decides anything. */
#ifndef GW_EDGE_METERS_H
#define GW_EDGE_METERS_H

#include "router/router.h"

typedef enum {
    GW_END_ANSWERED = 0, /* a backend server's answer below 500 */
    GW_END_FAILED,       /* a backend server's own 5xx */
    GW_END_NOT_RUN,      /* 503: proven not run */
    GW_END_UNKNOWN,      /* 502, 504: it may have run */
    GW_END_NO_ROUTE,     /* 404 */
    GW_END_LEFT,         /* the caller left first */
    GW_END_CUT,          /* the entry ended first: it may have run */
    GW_END_COUNT
} GwRequestEnd;

const char *GwRequestEnd_Name(GwRequestEnd end);
/* Of a reply of our own with that status. */
GwRequestEnd GwRequestEnd_OfReply(uint16_t status);

typedef struct GwMeters_s GwMeters;

GwMeters *GwMeters_Create(void);
void GwMeters_Free(GwMeters *meters);
/* `why` is NONE but for replies of our own. */
void GwMeters_Add(GwMeters *meters, const char *route, GwRequestEnd end,
                  GwWhy why, uint32_t took_ms);
/* Histograms and counters in the text exposition format. */
void GwMeters_Write(const GwMeters *meters, GString *out);

#endif
