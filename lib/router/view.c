/* Read-only views of the steering core, for metrics and dumps. */
#include "common/json.h"
#include "router/router_internal.h"

#include <json-c/json.h>

static GwServiceView
view_of(const GwServiceState *service, int64_t now_us)
{
    GwServiceView view = {
        .name = service->name,
        .servers = service->servers->len,
        .waiting = service->waiting->len,
        .retries_left = service->retries.tokens,
        .answer_age_ms = service->answered_us > 0
                             ? (now_us - service->answered_us) / 1000
                             : -1,
    };

    view.is_reached = !GwService_IsUnreached(service);
    for (guint i = 0; i < service->servers->len; i++) {
        const GwServer *s = service->servers->pdata[i];
        view.ejected += now_us < s->eject_until_us;
        view.limited += GwServer_IsLimited(s);
        view.resting += GwServer_IsResting(s, now_us);
        view.in_flight += s->in_flight;
        view.peers_in_flight += s->peers_in_flight;
    }
    return view;
}

void
GwRouter_EachService(const GwRouter *r, int64_t now_us,
                     void (*visit)(void *ctx, const GwServiceView *view),
                     void *ctx)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, r->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwServiceView view = view_of(value, now_us);
        visit(ctx, &view);
    }
}

/* ---- Shortages ----------------------------------------------------------- */

#define HASH_TEXT_SIZE 9

/* Returns the key that has this hash, or else the hash as text. */
static const char *
name_of(GHashTable *by_name, uint32_t hash, char text[HASH_TEXT_SIZE])
{
    GHashTableIter iter;
    gpointer name;

    g_hash_table_iter_init(&iter, by_name);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        if (GwService_Hash(name) == hash) {
            return name;
        }
    }
    g_snprintf(text, HASH_TEXT_SIZE, "%08x", hash);
    return text;
}

typedef struct {
    const GwRouter *r;
    void (*visit)(void *ctx, const GwNamedShortage *named);
    void *ctx;
} NamedVisit;

static void
visit_named(void *ctx, const GwShortageView *view)
{
    const NamedVisit *v = ctx;
    char service[HASH_TEXT_SIZE];
    char region[HASH_TEXT_SIZE];
    GwNamedShortage named = {
        .service = name_of(v->r->services, view->service, service),
        .region = name_of(v->r->paths, view->region, region),
        .view = view,
    };

    v->visit(v->ctx, &named);
}

void
GwRouter_EachShortage(const GwRouter *r, int64_t now_us,
                      void (*visit)(void *ctx, const GwNamedShortage *named),
                      void *ctx)
{
    NamedVisit v = {.r = r, .visit = visit, .ctx = ctx};

    if (r->shortage != NULL) {
        GwShortage_Each(r->shortage, now_us, visit_named, &v);
    }
}

/* ---- Load shedding ------------------------------------------------------- */

void
GwRouter_EachShedding(const GwRouter *r,
                      void (*visit)(void *ctx, const GwSheddingView *view),
                      void *ctx)
{
    GHashTableIter iter;
    gpointer value;

    if (r->shortage == NULL) {
        return;
    }
    g_hash_table_iter_init(&iter, r->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwServiceState *service = value;
        GwSheddingView view = {.service = service->name,
                               .shed = service->shedding.shed};
        visit(ctx, &view);
    }
}

GwReturnsView
GwRouter_Returns(const GwRouter *r)
{
    return (GwReturnsView){.answered = r->returns_answered,
                           .refused = r->returns_refused};
}

/* ---- Dump ---------------------------------------------------------------- */

static struct json_object *
dump_server(const GwRouter *r, const GwServer *s, int64_t now_us)
{
    struct json_object *item = json_object_new_object();
    int64_t ejected_us = MAX(s->eject_until_us - now_us, 0);

    GwJson_SetText(item, "id", s->id);
    GwJson_SetText(item, "service", s->service->name);
    GwJson_SetText(item, "failure_domain", s->domain);
    GwJson_SetText(item, "address", s->address);
    GwJson_SetU64(item, "slots", s->slots);
    GwJson_SetU64(item, "in_flight", s->in_flight);
    GwJson_SetU64(item, "peers_in_flight", s->peers_in_flight);
    GwJson_SetU64(item, "objects", s->objects);
    GwJson_SetU64(item, "busy_percent",
                  (uint64_t)(100 * GwServer_Utilization(r, s, now_us)));
    GwJson_SetU64(item, "slow_percent", (uint64_t)(100 * s->slowdown));
    GwJson_SetU64(item, "ejected_ms", (uint64_t)ejected_us / 1000);
    GwJson_SetBool(item, "draining", s->start->is_leaving);
    GwJson_SetBool(item, "cold", GwServer_IsCold(s, now_us));
    GwJson_SetU64(item, "rest_ms",
                  (uint64_t)GwServer_RestWaitUs(s, now_us) / 1000);
    if (GwServer_IsLimited(s)) {
        json_object_object_add(item, "limit_per_s",
                               json_object_new_double(s->start->limit.per_s));
        json_object_object_add(
            item, "limit_share_per_s",
            json_object_new_double(s->start->limit.share_per_s));
    }
    return item;
}

void
GwRouter_Dump(const GwRouter *r, int64_t now_us, GString *out)
{
    struct json_object *root = json_object_new_object();
    struct json_object *servers = json_object_new_array();
    GHashTableIter iter;
    gpointer value;

    GwJson_SetU64(root, "config_version",
                  r->routing != NULL ? r->routing->version : 0);
    GwJson_SetU64(root, "open", GwRouter_OpenCount(r));
    GwJson_SetU64(root, "routes", g_hash_table_size(r->routes));
    GwJson_SetU64(root, "objects", g_hash_table_size(r->keys));
    g_hash_table_iter_init(&iter, r->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        json_object_array_add(servers, dump_server(r, value, now_us));
    }
    json_object_object_add(root, "servers", servers);
    g_string_append(
        out, json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
    json_object_put(root);
}
