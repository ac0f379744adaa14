/* Bytes that entries spend on each other and on the store, by what they are
 * for and by how far they go. Callers' traffic is not in them. */
#ifndef GW_EDGE_CONTROL_COST_H
#define GW_EDGE_CONTROL_COST_H

#include <glib.h>
#include <stdint.h>

typedef enum {
    GW_CONTROL_SIGNS = 0, /* that the sender is there, and what it knows */
    GW_CONTROL_LOADS,     /* of one entry, or of a failure domain */
    GW_CONTROL_SUMS,      /* loads of all, from who adds them up */
    GW_CONTROL_PLACES,    /* of objects */
    GW_CONTROL_ROWS,      /* of the store, fetched from a peer */
    GW_CONTROL_SUSPECTS,  /* requests that crash servers */
    GW_CONTROL_KIND_COUNT
} GwControlKind;

typedef enum {
    GW_WAY_DOMAIN = 0, /* within the failure domain */
    GW_WAY_REGION,     /* to another one of the region */
    GW_WAY_FAR,        /* to another region */
    GW_WAY_COUNT
} GwWay;

typedef struct {
    uint64_t bytes[GW_CONTROL_KIND_COUNT][GW_WAY_COUNT];
} GwControlCost;

const char *GwControlKind_Name(GwControlKind kind);
const char *GwWay_Name(GwWay way);
uint64_t GwControlCost_Total(const GwControlCost *cost);
/* Appends counters in the text exposition format. */
void GwControlCost_Write(const GwControlCost *cost, GString *out);
/* Appends " signs=a/b/c ..." for a log line: bytes by way, in the order of
 * GwWay, since `before`. */
void GwControlCost_WriteLine(const GwControlCost *cost,
                             const GwControlCost *before, GString *out);

#endif
