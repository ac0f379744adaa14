/* Simulates many entries on virtual time, with the real steering core in each:
 * backend servers with slots, a queue and an object cache, callers that retry,
 * and loads and placements that entries exchange with a delay. For load tests
 * and for comparing policies. No sockets and no store; requests take the
 * network delay between the regions. */
#ifndef GW_TESTS_FAKES_FLEET_H
#define GW_TESTS_FAKES_FLEET_H

#include "router/router.h"

#define FLEET_REGIONS_MAX 4
#define FLEET_KINDS_MAX   4
#define FLEET_WINDOWS_MAX 64
#define FLEET_WINDOW_S    2

/* One kind of request. Kinds with the same service name share the service. */
typedef struct {
    const char *name;
    const char *service;
    double per_s; /* rate of all callers together */
    uint32_t work_ms;
    uint32_t objective_ms;
    uint32_t left_ms; /* time that the caller waits */
    uint32_t priority;
    uint32_t objects; /* number of objects per region */
    double worth;
    bool idempotent;
} FleetKind;

typedef struct {
    const char *name;
    uint32_t servers[FLEET_REGIONS_MAX]; /* by region */
    uint32_t slots;
    uint32_t keeps; /* objects in a server's cache */
} FleetService;

typedef struct {
    uint32_t regions;
    uint32_t entries; /* distributed over two failure domains per region */
    uint32_t service_count;
    FleetService services[2];
    uint32_t kind_count;
    FleetKind kinds[FLEET_KINDS_MAX];
    uint32_t far_ms;    /* one way between regions; 1 ms within a region */
    uint32_t report_ms; /* interval of reports between entries */
    uint32_t lag_ms;    /* delay until a report is received */
    double burst;       /* factor of the traffic */
    double burst_from_s;
    double burst_to_s; /* during these seconds */
    double seconds;
    double scale; /* factor of all times of the case; 0: 1 */
    uint64_t seed;
    bool overload_control;
    uint32_t totals_lag_ms; /* age of the total demand that entries use */
} FleetParams;

typedef struct {
    uint32_t asked; /* by arrival in the window; retries do not count */
    uint32_t in_time;
    uint32_t late;
    uint32_t retry_or_end;
    double worth; /* worth earned / worth of all requests */
} FleetWindow;

/* Requests of a kind that arrived in a window. */
typedef struct {
    uint32_t asked;
    uint32_t answered;
    uint32_t in_time;
    uint32_t refused_first; /* the first try was refused */
    uint32_t refused_again; /* the retry was refused, or got no answer */
} FleetKindWindow;

/* Results by window of two seconds (times scale). */
typedef struct {
    uint32_t window_count;
    FleetWindow windows[FLEET_WINDOWS_MAX];
    FleetKindWindow kinds[FLEET_KINDS_MAX][FLEET_WINDOWS_MAX];
    /* Requests that were shed, by the time of the refusal. */
    uint32_t shed[FLEET_WINDOWS_MAX];
    /* Share of a region's requests sent to other regions. */
    double cross_region_share[FLEET_REGIONS_MAX][FLEET_WINDOWS_MAX];
    double worth;
    uint64_t choices; /* hash of the sequence of chosen servers */
} FleetReport;

FleetReport Fleet_Run(const FleetParams *params);

#endif
