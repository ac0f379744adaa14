/* Applies rows of the store to the router's state. */
#include "edge/edge_internal.h"

#include <string.h>

static void
apply_config(GwEdge *edge, const GwStoreRow *row)
{
    GError *error = NULL;

    if (row->removed) {
        return; /* the previous configuration stays in force */
    }
    GwRouting *routing = edge->adapter->read_config(row->value, &error);
    if (routing == NULL) {
        GwLog_Event(GW_LOG_CONFIG_REFUSED, "row=%" PRIu64 " era=%u why=\"%s\"",
                    row->version.number, row->version.era, error->message);
        g_error_free(error);
        return;
    }
    if (GwRouter_SetRouting(edge->router, routing)) {
        GwQuotas_ApplyRouting(edge);
        GwLog_Event(GW_LOG_CONFIG_IN_FORCE,
                    "version=%" PRIu64 " row=%" PRIu64 " era=%u",
                    routing->version, row->version.number, row->version.era);
    }
    GwRouting_Unref(routing);
}

void
GwRouterRows_OnOperatorRow(void *ctx, const GwStoreRow *row)
{
    GwEdge *edge = ctx;
    const char *name = NULL;

    switch (edge->adapter->operator_row(row->key, &name)) {
    case GW_ROW_CONFIG:
        apply_config(edge, row);
        break;
    case GW_ROW_EVACUATION:
        GwRouter_SetEvacuated(edge->router, GwEdge_Now(), name, !row->removed);
        GwLog_Event(GW_LOG_EVACUATION, "domain=%s evacuated=%d", name,
                    !row->removed);
        break;
    case GW_ROW_OTHER:
        break;
    }
}

/* Tolerance for the remaining warm-up time that a server reports: within
 * it, entries are not updated. Work sent to a cold server too early
 * overloads it, so the tolerance for a longer warm-up is tight; work sent
 * too late costs little capacity. */
#define COLD_LONGER_MS 300
#define WARM_SOONER_MS 2000

static bool
is_same_server(const GwServerRegistration *a, const GwServerRegistration *b)
{
    return a->born_ms == b->born_ms && a->slots == b->slots &&
           a->draining == b->draining && strcmp(a->service, b->service) == 0 &&
           strcmp(a->address, b->address) == 0 &&
           strcmp(a->domain, b->domain) == 0;
}

bool
GwRouterRows_IsChange(void *ctx, const char *key, const char *old,
                      int64_t age_us, const char *value)
{
    const GwAdapter *adapter = ((GwEdge *)ctx)->adapter;
    GwServerRegistration old_server;
    GwServerRegistration new_server;

    if (!adapter->read_server(key, old, &old_server, NULL) ||
        !adapter->read_server(key, value, &new_server, NULL) ||
        !is_same_server(&old_server, &new_server)) {
        return true;
    }
    int64_t expected_ms = MAX(old_server.warmup_left_ms - age_us / 1000, 0);
    int64_t longer_ms = new_server.warmup_left_ms - expected_ms;
    return longer_ms > COLD_LONGER_MS || longer_ms < -WARM_SOONER_MS;
}

static GwValueOrder
order_numbers(uint64_t a, uint64_t b)
{
    return a > b ? GW_ORDER_NEWER : a < b ? GW_ORDER_OLDER : GW_ORDER_SAME;
}

GwValueOrder
GwRouterRows_OrderOperatorRow(void *ctx, const char *key, const char *value,
                              const char *than)
{
    const GwAdapter *adapter = ((GwEdge *)ctx)->adapter;
    const char *name = NULL;
    GwValueOrder order = GW_ORDER_NONE;

    if (adapter->operator_row(key, &name) != GW_ROW_CONFIG) {
        return GW_ORDER_NONE;
    }
    GwRouting *a = adapter->read_config(value, NULL);
    GwRouting *b = adapter->read_config(than, NULL);
    if (a != NULL && b != NULL) {
        order = order_numbers(a->version, b->version);
    }
    GwRouting_Unref(a);
    GwRouting_Unref(b);
    return order;
}

GwValueOrder
GwRouterRows_OrderServerRow(void *ctx, const char *key, const char *value,
                            const char *than)
{
    const GwAdapter *adapter = ((GwEdge *)ctx)->adapter;
    GwServerRegistration a;
    GwServerRegistration b;

    if (!adapter->read_server(key, value, &a, NULL) ||
        !adapter->read_server(key, than, &b, NULL)) {
        return GW_ORDER_NONE;
    }
    return a.born_ms != b.born_ms ? order_numbers(a.born_ms, b.born_ms)
                                  : order_numbers(a.heartbeat, b.heartbeat);
}

/* A row may be written again and again: logs each reason once. */
static void
note_invalid(GwEdge *edge, const GwStoreRow *row, const char *why)
{
    const char *noted = g_hash_table_lookup(edge->invalid_servers, row->key);

    if (noted == NULL || strcmp(noted, why) != 0) {
        g_hash_table_insert(edge->invalid_servers, g_strdup(row->key),
                            g_strdup(why));
        GwLog_Event(GW_LOG_BACKEND_INVALID, "server=%s why=\"%s\"", row->key,
                    why);
    }
}

/* Returns the region of the server that a row names, or NULL. */
static const char *
read_server(GwEdge *edge, const GwStoreRow *row, GwServerRegistration *server)
{
    GError *error = NULL;
    const char *region = NULL;

    if (!edge->adapter->read_server(row->key, row->value, server, &error)) {
        note_invalid(edge, row, error->message);
        g_error_free(error);
        return NULL;
    }
    region = GwEdge_RegionOf(edge, server->domain);
    if (region == NULL) {
        note_invalid(edge, row, "unknown failure domain");
        return NULL;
    }
    (void)g_hash_table_remove(edge->invalid_servers, row->key);
    return region;
}

void
GwRouterRows_OnServerRow(void *ctx, const GwStoreRow *row)
{
    GwEdge *edge = ctx;
    GwServerRegistration server;
    const char *region = NULL;
    int64_t now_us = GwEdge_Now();

    if (row->removed) {
        (void)g_hash_table_remove(edge->invalid_servers, row->key);
        GwLog_Event(GW_LOG_BACKEND_GONE, "server=%s removed=1", row->key);
    }
    else {
        region = read_server(edge, row, &server);
    }
    if (region == NULL) {
        GwRouter_DropServer(edge->router, now_us, row->key, edge->actions);
        return;
    }
    GwServerInfo info = {
        .id = server.id,
        .born_ms = server.born_ms,
        .service = server.service,
        .address = server.address,
        .domain = server.domain,
        .region = region,
        .slots = server.slots,
        .draining = server.draining,
        .warmup_left_ms = server.warmup_left_ms,
    };
    GwRouter_PutServer(edge->router, now_us, &info, edge->actions);
    if (server.draining) {
        GwLog_Event(GW_LOG_BACKEND_DRAINING, "server=%s", server.id);
    }
}
