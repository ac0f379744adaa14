/* Creates and frees the steering core, and applies configurations. */
#include "router/router_internal.h"

#include <string.h>

static void
free_service(gpointer item)
{
    GwServiceState *service = item;

    g_ptr_array_free(service->servers, TRUE);
    g_ptr_array_free(service->waiting, TRUE);
    g_ptr_array_free(service->reserved_servers, TRUE);
    g_free(service->name);
    g_free(service);
}

static void
free_route_state(gpointer item)
{
    GwRouteState *state = item;

    g_free(state->credit);
    g_free(state->name);
    g_free(state);
}

static void
free_peer(gpointer item)
{
    GwPeer *peer = item;

    g_array_free(peer->loads, TRUE);
    g_free(peer->domain);
    g_free(peer->region);
    g_free(peer->name);
    g_free(peer);
}

static void
free_server(gpointer item)
{
    GwServer *s = item;

    GwServerStart_Unref(s->start);
    g_free(s->id);
    g_free(s->address);
    g_free(s->domain);
    g_free(s);
}

static void
free_path(gpointer item)
{
    GwPath *path = item;

    g_free(path->region);
    g_free(path);
}

GwRouter *
GwRouter_Create(const GwRouterParams *params, int64_t now_us)
{
    GwRouter *r = g_new0(GwRouter, 1);

    r->params = *params;
    r->started_us = now_us;
    r->reach_due_us = INT64_MAX;
    r->end_us = INT64_MAX;
    r->proven_until_us = INT64_MAX;
    r->rng = GwRng_Make(params->seed);
    r->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_service);
    r->routes =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_route_state);
    r->servers = g_hash_table_new(g_str_hash, g_str_equal);
    r->by_hash = g_hash_table_new(NULL, NULL);
    r->keys = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    r->peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_peer);
    r->region_loads = g_hash_table_new_full(
        g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_hash_table_destroy);
    r->evacuated =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    r->starts = GwServerStarts_Create();
    r->paths = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_path);
    r->remote_rtt_us = GW_REMOTE_RTT_US;
    r->open = g_hash_table_new(NULL, NULL);
    r->cross_region.at_us = now_us;
    r->placements = g_array_new(FALSE, FALSE, sizeof(GwPlacement));
    r->removed_servers = g_ptr_array_new_with_free_func(free_server);
    r->ended_requests = g_ptr_array_new_with_free_func(GwRequest_Free);
    r->awaiting_probe = g_ptr_array_new();
    r->awaiting_token = g_ptr_array_new();
    r->quarantine = GwQuarantine_Create();
    r->unconfirmed_crashes = GwCrashes_Create();
    if (params->overload_control) {
        r->shortage = GwShortage_Create();
        r->demand = GwDemandMeter_Create();
    }
    return r;
}

static void
free_request(gpointer key, gpointer value, gpointer ctx)
{
    GwRequest *req = key;
    GwRouter *r = ctx;

    /* A server that was removed from the registry is kept until its last
     * attempt ends. */
    if (req->server != NULL && !req->server->listed &&
        --req->server->refs == 0) {
        g_ptr_array_add(r->removed_servers, req->server);
    }

    (void)value;
    GwRequest_Free(req);
}

void
GwRouter_Free(GwRouter *r)
{
    GHashTableIter iter;
    gpointer value;

    if (r == NULL) {
        return;
    }
    g_hash_table_foreach(r->open, free_request, r);
    g_hash_table_destroy(r->open);
    GwHeap_Free(&r->deadlines);
    g_hash_table_iter_init(&iter, r->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_ptr_array_add(r->removed_servers, value);
    }
    g_hash_table_destroy(r->servers);
    g_hash_table_destroy(r->by_hash);
    g_hash_table_destroy(r->keys);
    g_hash_table_destroy(r->peers);
    g_hash_table_destroy(r->region_loads);
    g_hash_table_destroy(r->evacuated);
    g_hash_table_destroy(r->paths);
    g_hash_table_destroy(r->routes);
    g_hash_table_destroy(r->services);
    g_array_free(r->placements, TRUE);
    g_ptr_array_free(r->removed_servers, TRUE);
    g_ptr_array_free(r->ended_requests, TRUE);
    g_hash_table_destroy(r->starts);
    GwRouting_Unref(r->routing);
    g_ptr_array_free(r->awaiting_probe, TRUE);
    g_ptr_array_free(r->awaiting_token, TRUE);
    GwQuarantine_Free(r->quarantine);
    GwShortage_Free(r->shortage);
    GwDemandMeter_Free(r->demand);
    g_array_free(r->unconfirmed_crashes, TRUE);
    g_free(r);
}

GwShortage *
GwRouter_Shortage(GwRouter *r)
{
    return r->shortage;
}

GwDemandMeter *
GwRouter_DemandMeter(GwRouter *r)
{
    return r->demand;
}

void
GwRouter_SetBounds(GwRouter *r, const GwRouterParams *params)
{
    r->params.retry_ratio = params->retry_ratio;
    r->params.retry_extra = params->retry_extra;
    r->params.retry_window_ms = params->retry_window_ms;
    r->params.entries_max = params->entries_max;
}

/* Applies the new version's settings of each service. */
static void
apply_services(GwRouter *r)
{
    for (uint32_t i = 0; i < r->routing->service_count; i++) {
        const GwRouteService *from = &r->routing->services[i];
        GwServiceState *service = GwRouter_FindOrAddService(r, from->name);
        service->cold_per_s = from->cold_per_s;
        service->connections_max = from->connections_max;
    }
}

/* Returns whether the route was removed and no request refers to its state. */
static gboolean
is_unused(gpointer name, gpointer value, gpointer names)
{
    const GwRouteState *state = value;

    return state->open == 0 && !g_hash_table_contains(names, name);
}

/* Drops the state of removed routes, which would accumulate over years. */
static void
drop_removed_routes(GwRouter *r)
{
    GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);

    for (uint32_t i = 0; i < r->routing->host_count; i++) {
        const GwRouteHost *host = &r->routing->hosts[i];
        for (uint32_t j = 0; j < host->route_count; j++) {
            g_hash_table_add(names, host->routes[j].name);
        }
    }
    g_hash_table_foreach_remove(r->routes, is_unused, names);
    g_hash_table_destroy(names);
}

bool
GwRouter_SetRouting(GwRouter *r, GwRouting *routing)
{
#if GW_MUTANT != 76 /* breaks: an older version replaces a newer one */
    if (r->routing != NULL && routing->version <= r->routing->version) {
        return false;
    }
#endif
    GwRouting_Unref(r->routing);
    r->routing = GwRouting_Ref(routing);
    apply_services(r);
    drop_removed_routes(r);
    return true;
}

const GwRouting *
GwRouter_Routing(const GwRouter *r)
{
    return r->routing;
}

uint32_t
GwRouter_IdleConnectionsMax(const GwRouter *r, const GwServer *s)
{
    uint32_t most = s->service->connections_max / 2;

    if (most == 0) {
        return UINT32_MAX;
    }
    return MAX(most / GwRouter_EntriesMax(r), 1);
}

const char *
GwServer_Id(const GwServer *s)
{
    return s->id;
}

const char *
GwServer_Address(const GwServer *s)
{
    return s->address;
}

uint32_t
GwServer_Hash(const GwServer *s)
{
    return (uint32_t)s->hash;
}

bool
GwServer_IsRemote(const GwServer *s)
{
    return !s->same_region;
}

bool
GwServer_IsListed(const GwServer *s)
{
    return s->listed;
}

void **
GwServer_User(GwServer *s)
{
    return &s->user;
}
