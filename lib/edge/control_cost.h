/* Control traffic in bytes, by kind and distance: between entries, and rows
 * received from peers. Callers' traffic is not counted. */
#ifndef GW_EDGE_CONTROL_COST_H
#define GW_EDGE_CONTROL_COST_H

#include <glib.h>
#include <stdint.h>

typedef enum {
    GW_CONTROL_LIVENESS = 0, /* liveness and table versions */
    GW_CONTROL_LOADS,        /* loads of one entry or failure domain */
    GW_CONTROL_SUMS,         /* sums over all entries, from aggregators */
    GW_CONTROL_PLACEMENTS,   /* placements of objects */
    GW_CONTROL_ROWS,         /* rows fetched from a peer */
    GW_CONTROL_SUSPECTS,     /* requests that crash servers */
    GW_CONTROL_QUOTAS,       /* quotas of organisations */
    GW_CONTROL_DEMAND,       /* slot time that entries are offered */
    GW_CONTROL_KIND_COUNT
} GwControlKind;

typedef enum {
    GW_DISTANCE_DOMAIN = 0, /* within the failure domain */
    GW_DISTANCE_REGION,     /* to another failure domain of the region */
    GW_DISTANCE_REMOTE,     /* to another region */
    GW_DISTANCE_COUNT
} GwDistance;

typedef struct {
    uint64_t bytes[GW_CONTROL_KIND_COUNT][GW_DISTANCE_COUNT];
} GwControlCost;

const char *GwControlKind_Name(GwControlKind kind);
const char *GwDistance_Name(GwDistance distance);
uint64_t GwControlCost_Total(const GwControlCost *cost);
/* Appends counters in the Prometheus text exposition format. */
void GwControlCost_Write(const GwControlCost *cost, GString *out);
/* Appends " signs=a/b/c ..." for a log line: bytes since `before`, by
 * distance in the order of GwDistance. */
void GwControlCost_WriteLine(const GwControlCost *cost,
                             const GwControlCost *before, GString *out);

#endif
