#include "route/route.h"

#include <stdlib.h>
#include <string.h>

GwRouting *
GwRouting_Create(uint32_t host_count, uint32_t service_count)
{
    GwRouting *r = g_new0(GwRouting, 1);

    *r = (GwRouting){
        .refs = 1,
        .limits = {.head_bytes = GW_DEFAULT_HEAD_BYTES,
                   .body_bytes = GW_DEFAULT_BODY_BYTES,
                   .head_timeout_ms = GW_DEFAULT_HEAD_TIMEOUT_MS,
                   .idle_timeout_ms = GW_DEFAULT_IDLE_TIMEOUT_MS},
        .host_count = host_count,
        .hosts = g_new0(GwRouteHost, host_count),
        .service_count = service_count,
        .services = g_new0(GwRouteService, service_count),
    };
    return r;
}

GwRouting *
GwRouting_Ref(GwRouting *r)
{
    r->refs++;
    return r;
}

static void
free_route(GwRoute *route)
{
    g_free(route->name);
    g_free(route->prefix);
    for (uint32_t i = 0; i < route->part_count; i++) {
        g_free(route->parts[i].service);
    }
    g_free(route->parts);
    for (uint32_t i = 0; i < route->home_count; i++) {
        g_free(route->homes[i]);
    }
    g_free(route->homes);
}

void
GwRouting_Unref(GwRouting *r)
{
    if (r == NULL || --r->refs > 0) {
        return;
    }
    for (uint32_t i = 0; i < r->host_count; i++) {
        for (uint32_t j = 0; j < r->hosts[i].route_count; j++) {
            free_route(&r->hosts[i].routes[j]);
        }
        g_free(r->hosts[i].routes);
        g_free(r->hosts[i].by_prefix);
        g_free(r->hosts[i].host);
    }
    for (uint32_t i = 0; i < r->service_count; i++) {
        g_free(r->services[i].name);
    }
    for (uint32_t i = 0; i < r->organisation_count; i++) {
        GwOrganisation_Clear(&r->organisations[i]);
    }
    if (r->keys != NULL) {
        g_array_free(r->keys, TRUE);
    }
    g_free(r->organisations);
    g_free(r->hosts);
    g_free(r->by_name);
    g_free(r->services);
    g_free(r);
}

static int
compare_routes(const void *a, const void *b)
{
    size_t la = strlen(((const GwRoute *)a)->prefix);
    size_t lb = strlen(((const GwRoute *)b)->prefix);

    return (la < lb) - (la > lb);
}

static int
compare_prefixes(const void *a, const void *b)
{
    const GwRoute *ra = *(GwRoute *const *)a;
    const GwRoute *rb = *(GwRoute *const *)b;

    return strcmp(ra->prefix, rb->prefix);
}

static int
compare_hosts(const void *a, const void *b)
{
    const GwRouteHost *ha = *(GwRouteHost *const *)a;
    const GwRouteHost *hb = *(GwRouteHost *const *)b;

    return g_ascii_strcasecmp(ha->host, hb->host);
}

static bool
ends_with_slash(const char *prefix)
{
    size_t len = strlen(prefix);

    return len > 0 && prefix[len - 1] == '/';
}

/* Up to this many routes, linear search is as fast as the index. */
#define LINEAR_ROUTES_MAX 8

static void
index_routes(GwRouteHost *host)
{
    for (uint32_t i = 0; i < host->route_count; i++) {
        if (!ends_with_slash(host->routes[i].prefix)) {
            return;
        }
    }
    if (host->route_count <= LINEAR_ROUTES_MAX) {
        return;
    }
    host->by_prefix = g_new0(GwRoute *, host->route_count);
    for (uint32_t i = 0; i < host->route_count; i++) {
        host->by_prefix[i] = &host->routes[i];
    }
    qsort(host->by_prefix, host->route_count, sizeof(GwRoute *),
          compare_prefixes);
}

void
GwRouting_Seal(GwRouting *r)
{
    r->by_name = g_new0(GwRouteHost *, r->host_count);
    for (uint32_t i = 0; i < r->host_count; i++) {
        GwRouteHost *host = &r->hosts[i];
        if (host->route_count > 1) {
            qsort(host->routes, host->route_count, sizeof(GwRoute),
                  compare_routes);
        }
        index_routes(host);
        r->by_name[i] = host;
    }
    if (r->host_count > 1) {
        qsort(r->by_name, r->host_count, sizeof(GwRouteHost *), compare_hosts);
    }
}

/* Compares the first `len` bytes of a path with a whole prefix, as strcmp. */
static int
compare_with_prefix(const char *path, size_t len, const char *prefix)
{
    int order = strncmp(path, prefix, len);

    return order != 0 ? order : prefix[len] == '\0' ? 0 : -1;
}

static const GwRoute *
find_by_prefix(const GwRouteHost *host, const char *path, size_t len)
{
    uint32_t low = 0;
    uint32_t high = host->route_count;

    while (low < high) {
        uint32_t mid = low + (high - low) / 2;
        int order =
            compare_with_prefix(path, len, host->by_prefix[mid]->prefix);
        if (order == 0) {
            return host->by_prefix[mid];
        }
        if (order < 0) {
            high = mid;
        }
        else {
            low = mid + 1;
        }
    }
    return NULL;
}

/* Looks up each leading part of the path that ends with a slash, the longest
 * first. */
static const GwRoute *
match_indexed(const GwRouteHost *host, const char *path, size_t path_len)
{
    for (size_t len = path_len; len > 0; len--) {
        const GwRoute *route =
            path[len - 1] == '/' ? find_by_prefix(host, path, len) : NULL;
        if (route != NULL) {
            return route;
        }
    }
    return NULL;
}

static const GwRoute *
match_linear(const GwRouteHost *host, const char *path, size_t path_len)
{
    for (uint32_t i = 0; i < host->route_count; i++) {
        size_t len = strlen(host->routes[i].prefix);
        if (len <= path_len &&
            strncmp(host->routes[i].prefix, path, len) == 0) {
            return &host->routes[i];
        }
    }
    return NULL;
}

static const GwRouteHost *
find_host(const GwRouting *r, const char *name, size_t len)
{
    uint32_t low = 0;
    uint32_t high = r->host_count;

    while (low < high) {
        uint32_t mid = low + (high - low) / 2;
        const char *host = r->by_name[mid]->host;
        int order = g_ascii_strncasecmp(name, host, len);
        if (order == 0 && host[len] == '\0') {
            return r->by_name[mid];
        }
        if (order <= 0) {
            high = mid;
        }
        else {
            low = mid + 1;
        }
    }
    return NULL;
}

const GwRoute *
GwRouting_Match(const GwRouting *r, const char *host, const char *path)
{
    size_t path_len = strcspn(path, "?");
    const GwRouteHost *h = find_host(r, host, strcspn(host, ":"));

    if (h == NULL) {
        return NULL;
    }
    return h->by_prefix != NULL ? match_indexed(h, path, path_len)
                                : match_linear(h, path, path_len);
}

const GwRouteService *
GwRouting_FindService(const GwRouting *r, const char *name)
{
    for (uint32_t i = 0; i < r->service_count; i++) {
        if (strcmp(r->services[i].name, name) == 0) {
            return &r->services[i];
        }
    }
    return NULL;
}

bool
GwHomes_Allow(char *const *homes, uint32_t count, const char *region)
{
    for (uint32_t i = 0; i < count; i++) {
        if (strcmp(homes[i], region) == 0) {
            return true;
        }
    }
    return count == 0;
}

bool
GwRoute_AllowsRegion(const GwRoute *route, const char *region)
{
    return GwHomes_Allow(route->homes, route->home_count, region);
}
