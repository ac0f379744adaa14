/* The RCU-published copy of node state that look-ups and pollers read. */
#include "runtime/runtime_internal.h"
#include "common/json.h"

#include <json-c/json.h>
#include <string.h>
#include <urcu/urcu-memb.h>

static json_object *
format_entry(const GwLookupEntry *entry)
{
    json_object *item = json_object_new_object();
    GwJson_SetText(item, "name", entry->name);
    GwJson_SetText(item, "address", entry->address);
    GwJson_SetText(item, "failure_domain", entry->domain);
    json_object_object_add(item, "local",
                           json_object_new_boolean(entry->local_region));
    return item;
}

/* Formats a look-up answer without its closing brace: tickets are appended
 * for each request. */
static char *
format_lookup(const GwLookup *lookup)
{
    json_object *root = json_object_new_object();
    json_object *entries = json_object_new_array();
    json_object_object_add(root, "config_version",
                           json_object_new_uint64(lookup->config_version));
    json_object_object_add(root, "ttl_ms",
                           json_object_new_int64(lookup->ttl_ms));
    for (uint32_t i = 0; i < lookup->count; i++) {
        json_object_array_add(entries, format_entry(&lookup->entries[i]));
    }
    json_object_object_add(root, "entries", entries);
    char *text =
        g_strdup(json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
    json_object_put(root);
    text[strlen(text) - 1] = '\0';
    return text;
}

static uint32_t
count_local(const GwLookup *lookup)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < lookup->count; i++) {
        count += lookup->entries[i].local_region;
    }
    return count;
}

/* Copies the answers of all draws; sets *local to the number of entries in
 * this region. False on failure. */
static bool
copy_lookups(const GwNode *node, const char *service, ServiceView *view,
             uint32_t *local)
{
    GwLookup lookup = {0};

    if (GwResult_IsError(
            GwNode_Lookup(node, service, GW_LOOKUP_DRAWS - 1, &lookup))) {
        return false;
    }
    *local = count_local(&lookup);
    view->redirect_draws = lookup.redirect_draws;
    view->entries[lookup.redirect_draws] = format_lookup(&lookup);
    for (uint32_t draw = 0; draw < view->redirect_draws; draw++) {
        GwNode_Lookup(node, service, draw, &lookup);
        view->entries[draw] = format_lookup(&lookup);
    }
    return true;
}

static void
copy_services(const GwNode *node, const GwConfig *config, Snapshot *s)
{
    for (uint32_t i = 0; i < config->service_count; i++) {
        const GwService *service = &config->services[i];
        ServiceView *view = &s->services[s->service_count];
        uint32_t local = 0;
        if (s->service_count == GW_MAX_SERVICES ||
            !copy_lookups(node, service->name, view, &local)) {
            continue;
        }
        g_strlcpy(view->name, service->name, GW_NAME_MAX);
        view->deadline_max_ms = service->deadline_max_ms;
        s->region_entries = MAX(s->region_entries, local);
        s->service_count++;
    }
}

static void
copy_backends(const GwRuntime *rt, const GwConfig *config, Snapshot *s)
{
    s->backends = g_new0(PolledBackend, config->backend_count);
    for (uint32_t i = 0; i < config->backend_count; i++) {
        const GwBackend *backend = &config->backends[i];
        const GwPlace *place = &config->places[backend->place];
        const char *region = config->regions[place->region].name;
        if (strcmp(region, rt->params.region) != 0) {
            continue;
        }
        PolledBackend *polled = &s->backends[s->backend_count++];
        polled->id = backend->id;
        polled->connections = backend->connections;
        g_strlcpy(polled->address, backend->address, GW_ADDR_MAX);
    }
}

static Snapshot *
create_snapshot(const GwRuntime *rt, const Snapshot *old)
{
    Snapshot *s = g_new0(Snapshot, 1);
    const GwConfig *config = GwNode_Config(rt->node);

    if (config == NULL) {
        return s;
    }
    s->config_version = config->version;
    copy_services(rt->node, config, s);
    copy_backends(rt, config, s);
    if (old != NULL && old->text != NULL &&
        old->config_version == config->version) {
        s->text = g_bytes_ref(old->text);
    }
    else {
        s->text = g_bytes_new(config->text, config->text_len);
    }
    return s;
}

/* Retires the old snapshot instead of freeing it: it may still have readers,
 * and waiting for them here would hold node_lock. */
void
Snapshot_Publish(GwRuntime *rt)
{
    Snapshot *old = rt->snapshot;
    Snapshot *fresh = create_snapshot(rt, old);

    __atomic_store_n(&rt->snapshot, fresh, __ATOMIC_RELEASE);
    pthread_mutex_lock(&rt->retired_lock);
    if (old != NULL) {
        g_ptr_array_add(rt->retired, old);
    }
    pthread_mutex_unlock(&rt->retired_lock);
}

/* Returns NULL before the first publication. Valid until Snapshot_ReadUnlock. */
const Snapshot *
Snapshot_ReadLock(GwRuntime *rt)
{
    urcu_memb_read_lock();
    return __atomic_load_n(&rt->snapshot, __ATOMIC_ACQUIRE);
}

void
Snapshot_ReadUnlock(void)
{
    urcu_memb_read_unlock();
}

void
Snapshot_RegisterThread(void)
{
    urcu_memb_register_thread();
}

void
Snapshot_UnregisterThread(void)
{
    urcu_memb_unregister_thread();
}

void
Snapshot_Free(Snapshot *snapshot)
{
    if (snapshot == NULL) {
        return;
    }
    for (uint32_t i = 0; i < snapshot->service_count; i++) {
        for (uint32_t k = 0; k <= GW_LOOKUP_DRAWS; k++) {
            g_free(snapshot->services[i].entries[k]);
        }
    }
    g_free(snapshot->backends);
    if (snapshot->text != NULL) {
        g_bytes_unref(snapshot->text);
    }
    g_free(snapshot);
}

void
Snapshot_FreeRetired(GwRuntime *rt)
{
    pthread_mutex_lock(&rt->retired_lock);
    GPtrArray *retired = rt->retired;
    rt->retired = g_ptr_array_new();
    pthread_mutex_unlock(&rt->retired_lock);
    if (retired->len > 0) {
        urcu_memb_synchronize_rcu();
    }
    for (guint i = 0; i < retired->len; i++) {
        Snapshot_Free(g_ptr_array_index(retired, i));
    }
    g_ptr_array_free(retired, TRUE);
}

const ServiceView *
Snapshot_Service(const Snapshot *snapshot, const char *name)
{
    for (uint32_t i = 0; i < snapshot->service_count; i++) {
        if (strcmp(snapshot->services[i].name, name) == 0) {
            return &snapshot->services[i];
        }
    }
    return NULL;
}
