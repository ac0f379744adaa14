#include "route/route.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

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
        g_free(r->hosts[i].host);
    }
    for (uint32_t i = 0; i < r->service_count; i++) {
        g_free(r->services[i].name);
    }
    g_free(r->hosts);
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

void
GwRouting_Seal(GwRouting *r)
{
    for (uint32_t i = 0; i < r->host_count; i++) {
        GwRouteHost *host = &r->hosts[i];
        if (host->route_count > 1) {
            qsort(host->routes, host->route_count, sizeof(GwRoute),
                  compare_routes);
        }
    }
}

const GwRoute *
GwRouting_Match(const GwRouting *r, const char *host, const char *path)
{
    size_t host_len = strcspn(host, ":");
    size_t path_len = strcspn(path, "?");

    for (uint32_t i = 0; i < r->host_count; i++) {
        const GwRouteHost *h = &r->hosts[i];
        if (strlen(h->host) != host_len ||
            strncasecmp(h->host, host, host_len) != 0) {
            continue;
        }
        for (uint32_t j = 0; j < h->route_count; j++) {
            size_t len = strlen(h->routes[j].prefix);
            if (len <= path_len &&
                strncmp(h->routes[j].prefix, path, len) == 0) {
                return &h->routes[j];
            }
        }
    }
    return NULL;
}

const GwRouteService *
GwRouting_Service(const GwRouting *r, const char *name)
{
    for (uint32_t i = 0; i < r->service_count; i++) {
        if (strcmp(r->services[i].name, name) == 0) {
            return &r->services[i];
        }
    }
    return NULL;
}

bool
GwRoute_AllowsRegion(const GwRoute *route, const char *region)
{
    for (uint32_t i = 0; i < route->home_count; i++) {
        if (strcmp(route->homes[i], region) == 0) {
            return true;
        }
    }
    return route->home_count == 0;
}
