/* Many entries on virtual time, with the real steering core in each: backend
 * servers with slots, a queue and a memory of objects, callers that come back,
 * and loads and places that entries learn of each other after a delay. For
 * tests of load, and for trying policies a hundred times in a minute. No
 * sockets, no store; the way of a request takes its region's delay. */
#ifndef GW_TESTS_FAKES_FLEET_H
#define GW_TESTS_FAKES_FLEET_H

#include "router/router.h"

#define FLEET_REGIONS_MAX 4
#define FLEET_KINDS_MAX   4
#define FLEET_WINDOWS_MAX 64

/* One kind of request, of a service of its own or shared by name. */
typedef struct {
    const char *name;
    const char *service;
    double per_s; /* from all callers together */
    uint32_t work_ms;
    uint32_t objective_ms;
    uint32_t left_ms; /* of the caller's time */
    uint32_t priority;
    uint32_t objects; /* of each region */
    double worth;
    bool idempotent;
} FleetKind;

typedef struct {
    const char *name;
    uint32_t servers[FLEET_REGIONS_MAX]; /* in each region */
    uint32_t slots;
    uint32_t keeps; /* objects that a server remembers */
} FleetService;

typedef struct {
    uint32_t regions;
    uint32_t entries; /* dealt to two failure domains of each region in turn */
    uint32_t service_count;
    FleetService services[2];
    uint32_t kind_count;
    FleetKind kinds[FLEET_KINDS_MAX];
    uint32_t far_ms;    /* one way between regions; near it is 1 ms */
    uint32_t report_ms; /* entries tell each other so often, */
    uint32_t lag_ms;    /* and know it after so long */
    double burst;       /* traffic is multiplied by this, */
    double burst_from_s;
    double burst_to_s; /* between these */
    double seconds;
    double scale; /* of all times of the case; 0: 1 */
    uint64_t seed;
} FleetParams;

typedef struct {
    uint32_t asked; /* by arrival in the window; comebacks count once */
    uint32_t in_time;
    uint32_t late;
    uint32_t refused;
    double worth; /* earned over owed */
} FleetWindow;

/* Of each two seconds (times scale). */
typedef struct {
    uint32_t window_count;
    FleetWindow windows[FLEET_WINDOWS_MAX];
    /* Of a region's requests that ran, those that ran elsewhere. */
    double far_share[FLEET_REGIONS_MAX][FLEET_WINDOWS_MAX];
    double worth;
    uint64_t choices; /* a digest of which server each request was sent to */
} FleetReport;

FleetReport Fleet_Play(const FleetParams *params);

#endif
