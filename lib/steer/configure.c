/* Applies a configuration version; state and running calls are kept. */
#include "steer/steer_internal.h"

#include <string.h>

static GwBackendState *
find_or_add_backend(GwSteer *s, int64_t now_us, const GwBackend *config,
                    bool first)
{
    GwBackendState *b = GwSteer_FindBackend(s, config->id);

    if (b == NULL) {
        b = g_new0(GwBackendState, 1);
        b->id = config->id;
        b->slow_start_us = first ? 0 : now_us;
        g_hash_table_insert(s->by_id, &b->id, b);
    }
    else if (!b->present) {
        b->slow_start_us = now_us;
    }
    return b;
}

/* Sets the slot count of one server and the seats of its units. */
static void
configure_slots(GwSteer *s, int64_t now_us, GwBackendState *b, uint32_t slots)
{
    uint32_t old = b->slot_capacity;

    GwBackend_Resize(b, MIN(slots, GW_MAX_SLOTS));
    for (uint32_t i = 0; s->seat_total > 0 && i < b->slot_count; i++) {
        GwSlot *unit = &b->slots[i];
        uint32_t seat = GwSeat_OfUnit(b->id, i, b->slot_count, s->seat_total);
        if (i < old) {
            unit->blocked_until_us = GwSteer_RemapBlock(s, now_us, unit, seat);
            s->unblock_us = MAX(s->unblock_us, unit->blocked_until_us);
        }
        unit->seat = seat;
    }
}

static void
configure_place(GwSteer *s, int64_t now_us, GwServiceState *service,
                const GwPlace *place, bool first)
{
    uint32_t n = place->backend_count;

    service->has_place = n > 0;
    service->place_drain = place->drain;
    service->backend_count = n;
    service->backends = g_renew(GwBackendState *, service->backends, n + 1);
    service->scratch = g_renew(GwBackendState *, service->scratch, n + 1);
    for (uint32_t i = 0; i < n; i++) {
        const GwBackend *config =
            &s->config->backends[place->first_backend + i];
        GwBackendState *b = find_or_add_backend(s, now_us, config, first);
        b->present = true;
        b->config_drain = config->drain || place->drain;
        b->was_draining = b->was_draining || b->config_drain;
        g_strlcpy(b->address, config->address, sizeof(b->address));
        configure_slots(s, now_us, b, config->slots);
        service->backends[i] = b;
    }
    GwSteer_SelectSubset(s, service);
}

static void
configure_services(GwSteer *s)
{
    for (guint i = 0; i < s->services->len; i++) {
        GwServiceState *service = g_ptr_array_index(s->services, i);
        service->index = GW_NONE;
        service->has_place = false;
        service->backend_count = 0;
    }
    memset(s->by_index, 0, sizeof(s->by_index));
    for (uint32_t i = 0; i < s->config->service_count; i++) {
        uint64_t hash = GwName_Hash64(s->config->services[i].name);
        GwServiceState *service = GwSteer_FindService(s, hash);
        if (service == NULL) {
            service = g_new0(GwServiceState, 1);
            service->hash = hash;
            g_ptr_array_add(s->services, service);
        }
        service->index = i;
        s->by_index[i] = service;
    }
}

static void
find_region(GwSteer *s)
{
    s->region = GW_NONE;
    s->seat_total = 0;
    for (uint32_t i = 0; i < s->config->region_count; i++) {
        const GwRegion *region = &s->config->regions[i];
        s->region_hash[i] = GwName_Hash32(region->name);
        if (strcmp(region->name, s->params.region) == 0) {
            s->region = i;
            s->seat_total = region->seats;
        }
    }
}

/* Whether the state of a removed server can be freed: none of its units is
 * in use or on loan. A server that was observed draining is kept for
 * GW_DRAIN_MEMORY_US: otherwise an operator who removes its service and
 * adds it again would cause new calls to a server that is still shutting
 * down. */
static gboolean
is_removable(gpointer key, gpointer value, gpointer data)
{
    const GwBackendState *b = value;
    int64_t now_us = *(const int64_t *)data;

    if (b->present || b->in_flight > 0) {
        return FALSE;
    }
#if GW_MUTANT == 15 /* breaks: a drain outlives the removal of its service */
    now_us = INT64_MAX;
#endif
    if (b->was_draining && now_us - b->removed_us < GW_DRAIN_MEMORY_US) {
        return FALSE;
    }
    for (uint32_t i = 0; i < b->slot_capacity; i++) {
        if (b->slots[i].in_use || b->slots[i].lent_loan != 0 ||
            b->slots[i].borrowed_loan != 0) {
            return FALSE;
        }
    }
    return TRUE;
}

/* Recomputes the free bits of all units. */
void
GwSteer_RefreshAll(GwSteer *s, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, s->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwBackend_RefreshAll(value, now_us);
    }
}

/* Servers are matched by id, so that their state and running calls are kept
 * across versions. */
void
GwSteer_Configure(GwSteer *s, int64_t now_us, const GwConfig *config)
{
    bool first = s->config == NULL;
    GHashTableIter iter;
    gpointer value;

    s->config = config;
    find_region(s);
    g_hash_table_iter_init(&iter, s->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwBackendState *b = value;
        b->removed_us = b->present ? now_us : b->removed_us;
        b->present = false;
    }
    configure_services(s);
    for (uint32_t i = 0; i < config->place_count; i++) {
        const GwPlace *place = &config->places[i];
        if (place->region == s->region) {
            configure_place(s, now_us, s->by_index[place->service], place,
                            first);
        }
    }
    GwSteer_ConfigureCaps(s, now_us);
    g_hash_table_foreach_remove(s->by_id, is_removable, &now_us);
    GwSteer_RefreshAll(s, now_us);
    s->synced = false;
    s->has_freed_units = true;
}
