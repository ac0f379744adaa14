/* Setup and teardown of servers, entries and routes of a fleet. */
#include "fakes/fleet_internal.h"

static GwRouting *
create_routing(const Fleet *f)
{
    const FleetParams *p = f->p;
    GwRouting *routing = GwRouting_Create(1, p->service_count);

    routing->version = 1;
    for (uint32_t i = 0; i < p->service_count; i++) {
        routing->services[i] = (GwRouteService){
            .name = g_strdup(p->services[i].name), .cold_per_s = 5};
    }
    routing->hosts[0].host = g_strdup("h");
    routing->hosts[0].route_count = p->kind_count;
    routing->hosts[0].routes = g_new0(GwRoute, p->kind_count);
    for (uint32_t i = 0; i < p->kind_count; i++) {
        const FleetKind *kind = &p->kinds[i];
        GwRoute *route = &routing->hosts[0].routes[i];
        *route = (GwRoute){
            .name = g_strdup(kind->name),
            .prefix = g_strdup(kind->name),
            .idempotent = kind->idempotent,
            .has_key_affinity = true,
            .timeout_ms = (uint32_t)(Fleet_ScaledUs(f, kind->left_ms) / 1000),
            .objective_ms =
                (uint32_t)(Fleet_ScaledUs(f, kind->objective_ms) / 1000),
            .priority = kind->priority,
            .attempts_max = 2,
            .part_count = 1,
            .parts = g_new0(GwRouteDestination, 1),
        };
        route->parts[0] = (GwRouteDestination){
            .service = g_strdup(kind->service), .weight = 1};
    }
    GwRouting_Seal(routing);
    return routing;
}

static void
add_servers(Fleet *f, const FleetService *service)
{
    for (uint32_t r = 0; r < f->p->regions; r++) {
        for (uint32_t i = 0; i < service->servers[r]; i++) {
            Server *s = g_new0(Server, 1);
            s->id = f->servers->len + 1;
            s->region = r;
            s->service = service;
            g_queue_init(&s->queue);
            g_queue_init(&s->cache);
            g_ptr_array_add(f->servers, s);
            g_hash_table_insert(f->by_id, g_strdup_printf("i-%u", s->id), s);
        }
    }
}

static void
add_servers_to_entry(Fleet *f, Entry *entry)
{
    for (guint i = 0; i < f->servers->len; i++) {
        const Server *s = f->servers->pdata[i];
        char id[16];
        char domain[16];
        char region[16];
        g_snprintf(id, sizeof(id), "i-%u", s->id);
        g_snprintf(domain, sizeof(domain), "d%u-%u", s->region, s->id % 2);
        g_snprintf(region, sizeof(region), "r%u", s->region);
        GwServerInfo info = {
            .id = id,
            .born_ms = 1,
            .service = s->service->name,
            .address = "a",
            .domain = domain,
            .region = region,
            .slots = s->service->slots,
        };
        GwRouter_PutServer(entry->router, f->now_us, &info, entry->actions);
    }
    g_array_set_size(entry->actions, 0);
}

static void
add_entry(Fleet *f, uint32_t i, GwRouting *routing)
{
    Entry *entry = g_new0(Entry, 1);
    uint32_t region = i % f->p->regions;
    GwRouterParams params = {
        .retry_ratio = 0.2,
        .retry_extra = 100,
        .retry_window_ms = 10000,
        .entries_max = f->p->entries,
        .overload_control = f->p->overload_control,
        .seed = f->p->seed * 1000 + i,
    };

    g_snprintf(params.name, sizeof(params.name), "e%u", i);
    g_snprintf(params.region, sizeof(params.region), "r%u", region);
    g_snprintf(params.domain, sizeof(params.domain), "d%u-%u", region,
               i / f->p->regions % 2);
    entry->fleet = f;
    entry->region = region;
    entry->router = GwRouter_Create(&params, f->now_us);
    entry->actions = g_array_new(FALSE, FALSE, sizeof(GwRouterAction));
    (void)GwRouter_SetRouting(entry->router, routing);
    add_servers_to_entry(f, entry);
    g_ptr_array_add(f->entries, entry);
}

/* Adds all peers, since demand forecasts use the number of entries in the
 * region. */
static void
add_peers(Fleet *f)
{
    for (guint i = 0; i < f->entries->len; i++) {
        for (guint k = 0; k < f->entries->len; k++) {
            char name[16];
            char region[16];
            const Entry *other = f->entries->pdata[k];
            g_snprintf(name, sizeof(name), "e%u", k);
            g_snprintf(region, sizeof(region), "r%u", other->region);
            GwPeerInfo info = {.name = name, .region = region, .serves = true};
            if (k != i) {
                GwRouter_PutPeer(((Entry *)f->entries->pdata[i])->router,
                                 f->now_us, &info);
            }
        }
    }
}

void
Fleet_SetUp(Fleet *f)
{
    GwRouting *routing = create_routing(f);

    for (uint32_t i = 0; i < f->p->service_count; i++) {
        add_servers(f, &f->p->services[i]);
    }
    for (uint32_t i = 0; i < f->p->entries; i++) {
        add_entry(f, i, routing);
    }
    add_peers(f);
    GwRouting_Unref(routing);
}

static void
free_entry(Entry *entry)
{
    GwRouter_Free(entry->router);
    g_array_free(entry->actions, TRUE);
    g_free(entry);
}

void
Fleet_TearDown(Fleet *f)
{
    Event *e;

    while ((e = GwHeap_Top(&f->events)) != NULL) {
        GwHeap_Remove(&f->events, &e->place);
        if (e->kind == EV_APPLY_REPORTS) {
            Fleet_FreeSnapshot(e->subject);
        }
        if (e->kind == EV_APPLY_TOTAL) {
            g_array_free(e->subject, TRUE);
        }
        g_free(e);
    }
    GwHeap_Free(&f->events);
    for (guint i = 0; i < f->entries->len; i++) {
        free_entry(f->entries->pdata[i]);
    }
    for (guint i = 0; i < f->servers->len; i++) {
        Server *s = f->servers->pdata[i];
        g_queue_clear(&s->queue);
        g_queue_clear(&s->cache);
        g_free(s);
    }
    g_ptr_array_free(f->entries, TRUE);
    g_ptr_array_free(f->servers, TRUE);
    g_hash_table_destroy(f->by_id);
    g_ptr_array_free(f->calls, TRUE);
    g_ptr_array_free(f->attempts, TRUE);
}
