#include "steer/dump.h"
#include "common/json.h"

#include "steer/steer_internal.h"

#include <json-c/json.h>

static void
add_id(json_object *to, const char *key, uint64_t value)
{
    char text[20];
    g_snprintf(text, sizeof(text), "%016lx", (unsigned long)value);
    GwJson_SetText(to, key, text);
}

/* Whether new calls are sent to the server, and if not, why; checks the
 * conditions in the order of the choice. */
static const char *
work_state(const GwBackendState *b, int64_t now_us)
{
    if (GwBackend_IsDraining(b, now_us)) {
        return "draining";
    }
    if (GwBackend_IsEjected(b, now_us)) {
        return "ejected";
    }
    if (!GwBackend_IsAvailable(b, now_us)) {
        return "shedding";
    }
    return GwBackend_SlowStartWeight(b, now_us) < GW_WEIGHT_FULL ? "slow-start"
                                                                 : "in-work";
}

static json_object *
dump_backend(const GwBackendState *b, const char *service, int64_t now_us)
{
    json_object *item = json_object_new_object();

    GwJson_SetText(item, "service", service);
    GwJson_SetText(item, "address", b->address);
    GwJson_SetText(item, "state", work_state(b, now_us));
    GwJson_SetU64(item, "slots", b->slot_count);
    GwJson_SetU64(item, "in_flight", b->in_flight);
    GwJson_SetU64(item, "own_free", b->own_free_count);
    GwJson_SetU64(item, "borrowed_free", b->borrowed_free_count);
    GwJson_SetU64(item, "failures", b->failures);
    GwJson_SetU64(item, "latency_us", (uint64_t)b->latency_us);
    /* A report older than GW_LOAD_FRESH_US is omitted as outdated. */
    if (b->has_load && now_us - b->load_at_us <= GW_LOAD_FRESH_US) {
        GwJson_SetU64(item, "reported_load", b->load);
    }
    return item;
}

static json_object *
dump_backends(const GwSteer *s, int64_t now_us)
{
    json_object *list = json_object_new_array();

    for (uint32_t i = 0; s->config != NULL && i < s->config->service_count;
         i++) {
        const GwServiceState *service = s->by_index[i];
        for (uint32_t k = 0; service != NULL && k < service->backend_count;
             k++) {
            json_object_array_add(
                list, dump_backend(service->backends[k],
                                   s->config->services[i].name, now_us));
        }
    }
    return list;
}

static const char *
kind_name(GwUnitKind kind)
{
    switch (kind) {
    case GW_UNIT_SLOT:
        return "slots";
    case GW_UNIT_SHIFT:
        return "shift";
    case GW_UNIT_LINK:
        return "link";
    }
    return "unnumbered";
}

static void
dump_loans(const GwSteer *s, int64_t now_us, json_object *list)
{
    for (guint i = 0; i < s->lent->len; i++) {
        const GwLent *lent = &g_array_index(s->lent, GwLent, i);
        json_object *item = json_object_new_object();
        GwJson_SetText(item, "direction", "given");
        GwJson_SetText(item, "kind", kind_name(lent->kind));
        add_id(item, "peer", lent->peer.node);
        GwJson_SetU64(item, "units", lent->unit_count);
        GwJson_SetU64(item, "in_flight", lent->in_flight);
        json_object_object_add(
            item, "ends_in_ms",
            json_object_new_int64((lent->expires_us - now_us) / 1000));
        json_object_array_add(list, item);
    }
    for (guint i = 0; i < s->borrowed->len; i++) {
        const GwBorrowed *loan = &g_array_index(s->borrowed, GwBorrowed, i);
        json_object *item = json_object_new_object();
        GwJson_SetText(item, "direction", "taken");
        GwJson_SetText(item, "kind", kind_name(loan->kind));
        add_id(item, "peer", loan->peer.node);
        GwJson_SetU64(item, "units", loan->unit_count);
        json_object_object_add(
            item, "ends_in_ms",
            json_object_new_int64((loan->use_until_us - now_us) / 1000));
        json_object_array_add(list, item);
    }
}

static void
dump_caps(const GwSteer *s, const GPtrArray *caps, bool links,
          json_object *list)
{
    for (guint i = 0; i < caps->len; i++) {
        const GwCapState *cap = g_ptr_array_index(caps, i);
        if (!cap->present || s->config == NULL) {
            continue;
        }
        json_object *item = json_object_new_object();
        GwJson_SetText(item, "kind", links ? "link" : "shift");
        if (!links) {
            GwJson_SetText(item, "service",
                           s->config->services[cap->service].name);
        }
        GwJson_SetText(item, "from", s->config->regions[cap->from].name);
        GwJson_SetText(item, "to", s->config->regions[cap->to].name);
        GwJson_SetU64(item, "cap", cap->cap);
        json_object_array_add(list, item);
    }
}

void
GwSteer_Dump(const GwSteer *s, int64_t now_us, struct json_object *to)
{
    json_object *loans = json_object_new_array();
    json_object *caps = json_object_new_array();

    json_object_object_add(to, "backends", dump_backends(s, now_us));
    dump_loans(s, now_us, loans);
    json_object_object_add(to, "loans", loans);
    dump_caps(s, s->shifts, false, caps);
    dump_caps(s, s->links, true, caps);
    json_object_object_add(to, "caps", caps);
}
