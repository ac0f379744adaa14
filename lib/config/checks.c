#include "config/checks.h"

#include <string.h>

/* Rejects an operation with the method and path of an earlier operation: the
 * two could disagree on whether a call may be repeated. */
bool
GwChecks_Operation(const GwService *service, const GwReadContext *at,
                   GError **error)
{
    uint32_t last = service->operation_count - 1;
    const GwOperation *op = &service->operations[last];
    for (uint32_t i = 0; i < last; i++) {
        const GwOperation *other = &service->operations[i];
        if (strcmp(other->method, op->method) == 0 &&
            strcmp(other->path, op->path) == 0) {
            return GwRead_Fail(at, "path", GW_RESULT_DUPLICATE, error,
                               "%s %s is already operations[%u]", op->method,
                               op->path, i);
        }
    }
    return true;
}

/* Returns the position of a backend server in the document. */
static GwReadContext
backend_at(const GwConfig *c, uint32_t i)
{
    GwReadContext at = {0};
    uint32_t place = c->backends[i].place;
    g_snprintf(at.path, sizeof(at.path), "places[%u].backends[%u]", place,
               i - c->places[place].first_backend);
    return at;
}

/* Checks one backend server against those in the tables, and adds it. */
static bool
check_backend(const GwConfig *c, uint32_t i, GHashTable *ids,
              GHashTable *addresses, GError **error)
{
    GwBackend *b = &c->backends[i];
    const GwReadContext at = backend_at(c, i);
    const GwBackend *same_id = g_hash_table_lookup(ids, &b->id);
    const GwBackend *same_address = g_hash_table_lookup(addresses, b->address);
    if (same_id != NULL) {
        return GwRead_Fail(&at, "name", GW_RESULT_DUPLICATE, error,
                           "\"%s\" is already in places[%u]", b->name,
                           same_id->place);
    }
    if (same_address != NULL) {
        return GwRead_Fail(&at, "address", GW_RESULT_DUPLICATE, error,
                           "%s is already that of %s in places[%u]",
                           b->address, same_address->name,
                           same_address->place);
    }
    g_hash_table_insert(ids, &b->id, b);
    g_hash_table_insert(addresses, b->address, b);
    return true;
}

/* Rejects two backend servers of a service with the same name, and two with
 * the same address: the server would get its slots twice. */
bool
GwChecks_Backends(const GwConfig *c, GError **error)
{
    GHashTable *ids = g_hash_table_new(g_int64_hash, g_int64_equal);
    GHashTable *addresses = g_hash_table_new(g_str_hash, g_str_equal);
    bool is_valid = true;
    for (uint32_t i = 0; i < c->backend_count && is_valid; i++) {
        is_valid = check_backend(c, i, ids, addresses, error);
    }
    g_hash_table_destroy(ids);
    g_hash_table_destroy(addresses);
    return is_valid;
}

/* Rejects a region whose name is already used. */
bool
GwChecks_Region(GwConfig *c, uint32_t i, const GwReadContext *at,
                GError **error)
{
    const char *name = c->regions[i].name;
    uint32_t first = GwConfig_FindRegion(c, name);
    return first == i ||
           GwRead_Fail(at, "name", GW_RESULT_DUPLICATE, error,
                       "\"%s\" is already regions[%u]", name, first);
}

/* Rejects a service whose name is already used. */
bool
GwChecks_Service(GwConfig *c, uint32_t i, const GwReadContext *at,
                 GError **error)
{
    const char *name = c->services[i].name;
    uint32_t first = GwConfig_FindService(c, name);
    return first == i ||
           GwRead_Fail(at, "name", GW_RESULT_DUPLICATE, error,
                       "\"%s\" is already services[%u]", name, first);
}

/* Rejects a second place of the same service in the same region. */
bool
GwChecks_Place(GwConfig *c, uint32_t i, const GwReadContext *at,
               GError **error)
{
    const GwPlace *place = &c->places[i];
    uint32_t first = GwConfig_FindPlace(c, place->service, place->region);
    return first == i || GwRead_Fail(at, "region", GW_RESULT_DUPLICATE, error,
                                     "%s in %s is already places[%u]",
                                     c->services[place->service].name,
                                     c->regions[place->region].name, first);
}

/* Rejects a second shift between the same regions, a shift within a region,
 * a shift to a region without a place of the service, and shifts of more
 * than 100 percent in total. */
bool
GwChecks_Shift(GwConfig *c, uint32_t i, const GwReadContext *at,
               GError **error)
{
    const GwShift *shift = &c->shifts[i];
    const char *to = c->regions[shift->to].name;
    uint32_t first =
        GwConfig_FindShift(c, shift->service, shift->from, shift->to);
    if (first != i) {
        return GwRead_Fail(at, "to", GW_RESULT_DUPLICATE, error,
                           "the same shift is already shifts[%u]", first);
    }
    if (shift->from == shift->to) {
        return GwRead_Fail(at, "to", GW_RESULT_INVALID, error,
                           "\"%s\" is also the region in \"from\"", to);
    }
    if (GwConfig_FindPlace(c, shift->service, shift->to) == GW_NONE) {
        return GwRead_Fail(at, "to", GW_RESULT_NOT_FOUND, error,
                           "%s has no place in \"%s\"",
                           c->services[shift->service].name, to);
    }
    uint32_t moved = 0;
    for (uint32_t j = 0; j <= i; j++) {
        const GwShift *other = &c->shifts[j];
        if (other->service == shift->service && other->from == shift->from) {
            moved += other->percent;
        }
    }
    return moved <= 100 ||
           GwRead_Fail(at, "percent", GW_RESULT_OUT_OF_BOUNDS, error,
                       "all shifts of %s from %s move %u percent, above 100",
                       c->services[shift->service].name,
                       c->regions[shift->from].name, moved);
}

/* Rejects a second limit for the same link, and a link within a region. */
bool
GwChecks_Link(GwConfig *c, uint32_t i, const GwReadContext *at, GError **error)
{
    const GwLink *link = &c->links[i];
    uint32_t first = GwConfig_FindLink(c, link->from, link->to);
    if (first != i) {
        return GwRead_Fail(at, "to", GW_RESULT_DUPLICATE, error,
                           "the same link is already links[%u]", first);
    }
    return link->from != link->to ||
           GwRead_Fail(at, "to", GW_RESULT_INVALID, error,
                       "\"%s\" is also the region in \"from\"",
                       c->regions[link->to].name);
}
