/* Entries: initial state and reachability. */
#include "fakes/outages_internal.h"

bool
OutageEntry_IsFrozen(const Entry *e)
{
    return e->world->now_us < e->frozen_until_us;
}

bool
OutageEntry_IsReachable(const Entry *e)
{
    return e->world->now_us - e->last_fault_us > CONTACT_US;
}

void
OutageEntry_PutServer(Entry *e, const Server *s, bool draining)
{
    char region[8];
    GwServerInfo info = {
        .id = s->id,
        .born_ms = s->born_ms,
        .service = "s",
        .address = "a",
        .domain = s->domain,
        .region = region,
        .slots = SLOTS,
        .draining = draining,
    };

    g_snprintf(region, sizeof(region), "r%u", s->region);
    GwRouter_PutServer(e->router, e->world->now_us, &info, e->actions);
    OutageEntry_RunActions(e);
}

GwRouting *
Outages_CreateRouting(void)
{
    static const char *const prefixes[] = {"/once/", "/again/"};
    GwRouting *routing = GwRouting_Create(1, 1);

    routing->version = 1;
    routing->services[0] =
        (GwRouteService){.name = g_strdup("s"), .cold_per_s = 5};
    routing->hosts[0].host = g_strdup("h");
    routing->hosts[0].route_count = 2;
    routing->hosts[0].routes = g_new0(GwRoute, 2);
    for (int i = 0; i < 2; i++) {
        GwRoute *route = &routing->hosts[0].routes[i];
        *route = (GwRoute){
            .name = g_strdup(prefixes[i]),
            .prefix = g_strdup(prefixes[i]),
            .idempotent = i == 1,
            .has_key_affinity = true,
            .timeout_ms = 2500,
            .objective_ms = 400,
            .priority = 1,
            .attempts_max = 3,
            .part_count = 1,
            .parts = g_new0(GwRouteDestination, 1),
        };
        route->parts[0] =
            (GwRouteDestination){.service = g_strdup("s"), .weight = 1};
    }
    GwRouting_Seal(routing);
    return routing;
}

static void
add_peers(World *w, Entry *e)
{
    for (uint32_t i = 0; i < w->p->entries; i++) {
        if (i != e->index) {
            w->entries[i].index = i;
            w->entries[i].region = i % REGIONS;
            OutageEntry_PutPeer(e, &w->entries[i], NULL);
        }
    }
}

void
OutageEntry_Start(World *w, Entry *e)
{
    GwRouterParams params = {
        .retry_ratio = 0.2,
        .retry_extra = 100,
        .retry_window_ms = 10000,
        .entries_max = w->p->entries,
        .seed = w->p->seed * 1000 + e->index,
    };

    g_snprintf(params.name, sizeof(params.name), "e%u", e->index);
    g_snprintf(params.region, sizeof(params.region), "r%u", e->region);
    g_snprintf(params.domain, sizeof(params.domain), "d%u-%u", e->region,
               e->index / REGIONS % 2);
    e->router = GwRouter_Create(&params, w->now_us);
    e->actions = g_array_new(FALSE, FALSE, sizeof(GwRouterAction));
    e->peers = g_new0(GwGossipPeer, w->p->entries);
    e->limit_peers = g_new0(GwGossipPeer, w->p->entries);
    e->limits_marked_us = 0;
    e->must_send = g_new0(bool, w->p->entries);
    e->handles = g_hash_table_new(NULL, NULL);
    e->is_tick_scheduled = false;
    e->suspects_marked_us = 0;
    (void)GwRouter_SetRouting(e->router, w->routing);
    add_peers(w, e);
    for (uint32_t i = 0; i < w->p->servers; i++) {
        const Server *s = &w->servers[i];
        if (s->listening || s->is_powered_off) {
            OutageEntry_PutServer(e, s, s->draining && !s->drains_silently);
        }
    }
}

void
OutageEntry_Stop(Entry *e)
{
    GwRouter_Free(e->router);
    g_array_free(e->actions, TRUE);
    g_free(e->peers);
    g_free(e->limit_peers);
    g_free(e->must_send);
    g_hash_table_destroy(e->handles);
}
