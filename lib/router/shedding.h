/* State of load shedding; shed.c. */
#ifndef GW_ROUTER_SHEDDING_H
#define GW_ROUTER_SHEDDING_H

#include "shortage/shortage.h"

/* Requests offered and admitted, decaying. */
typedef struct {
    double offered;
    double admitted;
    int64_t at_us;
} GwAdmitted;

/* Regions of a service whose slots are counted. */
#define GW_SHEDDING_REGIONS_MAX 16
/* Priorities that are counted apart in a service. */
#define GW_PRIORITY_CLASSES 8

typedef struct {
    uint32_t priority;
    GwAdmitted admitted;
    double owed; /* admissions that other priorities leave to it */
} GwPriorityClass;

/* Load shedding of a service. */
typedef struct {
    int64_t capacity_at_us; /* last count of slots; 0: never */
    uint32_t region_count;  /* with servers that accept requests */
    const char *regions[GW_SHEDDING_REGIONS_MAX];
    GwAdmitted all;
    GwPriorityClass classes[GW_PRIORITY_CLASSES];
    uint32_t class_count;
    /* Admissions that the shares allow beyond those made, by level, for servers
     * of this region and of others. */
    bool has_credits;
    double local_credit[GW_SHORTAGE_LEVELS];
    double remote_credit[GW_SHORTAGE_LEVELS];
    uint64_t shed[GW_SHORTAGE_LEVELS]; /* requests since the start */
} GwShedding;

#endif
