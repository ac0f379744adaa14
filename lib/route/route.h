/* Routes: which service answers a request, and within which limits.
 *
 * A GwRouting is one version of what operators set. It is immutable and
 * counted: a request keeps the version by which it was admitted. */
#ifndef GW_ROUTE_ROUTE_H
#define GW_ROUTE_ROUTE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* One of the services that a route is split over. */
typedef struct {
    char *service;
    uint32_t weight;
} GwRoutePart;

typedef struct {
    char *name;
    char *prefix; /* begins and ends with a slash */
    bool idempotent;
    bool warm_keys;      /* a server that lately saw the key answers faster */
    uint32_t timeout_ms; /* longest time a request is kept waiting; 0: none */
    uint32_t objective_ms; /* an answer later than this is worth less */
    uint32_t priority;     /* 0 goes first */
    uint32_t attempts_max; /* backend servers one request may be sent to */
    uint32_t part_count;
    GwRoutePart *parts;
    uint32_t home_count; /* 0: any region */
    char **homes;        /* regions that may see the request */
} GwRoute;

typedef struct {
    char *host;
    uint32_t route_count;
    GwRoute *routes; /* longest prefix first */
    /* The same by the prefix's text; NULL where a prefix ends with no slash,
     * or where routes are few. */
    GwRoute **by_prefix;
} GwRouteHost;

typedef struct {
    char *name;
    uint32_t connections_max; /* of one backend server, from all entries */
    double cold_per_s;        /* requests a second that a cold server bears */
} GwRouteService;

/* What a caller may send, and how long it may take. */
typedef struct {
    uint64_t head_bytes;
    uint64_t body_bytes;
    uint32_t head_timeout_ms;
    uint32_t idle_timeout_ms;
} GwCallerLimits;

typedef struct {
    uint32_t refs;
    uint64_t version;
    GwCallerLimits limits;
    uint32_t host_count;
    GwRouteHost *hosts;
    GwRouteHost **by_name; /* the same by name, in any case; see Seal */
    uint32_t service_count;
    GwRouteService *services;
} GwRouting;

#define GW_DEFAULT_HEAD_BYTES      (16u << 10)
#define GW_DEFAULT_BODY_BYTES      (64u << 20)
#define GW_DEFAULT_HEAD_TIMEOUT_MS 3000
#define GW_DEFAULT_IDLE_TIMEOUT_MS 15000

GwRouting *GwRouting_Create(uint32_t host_count, uint32_t service_count);
GwRouting *GwRouting_Ref(GwRouting *r);
void GwRouting_Unref(GwRouting *r);
/* Sorts hosts and their routes; to be called once after filling in. A look-up
 * among 2,000 routes takes 0.15 us then, against 5.9 us one after the other,
 * and each request makes two (build/bench_route_match). */
void GwRouting_Seal(GwRouting *r);
/* The route of a request, or NULL. `host` may carry a port, `path` a query. */
const GwRoute *GwRouting_Match(const GwRouting *r, const char *host,
                               const char *path);
const GwRouteService *GwRouting_Service(const GwRouting *r, const char *name);
/* Whether the route lets this region see the request. */
bool GwRoute_AllowsRegion(const GwRoute *route, const char *region);

#endif
