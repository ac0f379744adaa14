#include "edge/settings.h"

#include "common/duration.h"
#include "config/reader.h"
#include "router/router_internal.h"

#include <arpa/inet.h>
#include <string.h>

#define DURATION_MAX_MS 3600000
/* Directory answers expire after this time: short enough for callers to stop
 * using a stopped entry soon, and long enough for each caller to send at most
 * one directory request in two seconds. */
#define LOOKUP_TTL_MS       2000
#define ROW_GRACE_MS        2000
#define QUOTA_WINDOW_MS     5000
#define CHANGE_BOUND_MS     2500u
#define CHANGE_BOUND_MIN_MS 500u
#define ENTRIES_MAX         16
#define MEMORY_MB           256
#define FD_LIMIT            1024
/* Defaults for an instance whose settings don't state its capacity. */
#define LINK_MBPS     1000.0
#define CPU_SHARE     1.0
#define LINK_MBPS_MAX 1000000.0
#define CPU_SHARE_MAX 1024.0

static bool
read_text(const GwReadContext *at, const char *key, char *out, size_t size,
          GError **error)
{
    return GwRead_String(at, key, size, out, error);
}

/* Replaces the ports of the seeds with the port at which entries reach each
 * other. */
static bool
override_seed_ports(const GwReadContext *at, GPtrArray *seeds, GError **error)
{
    static const GwReadBound ports = {
        .min = 1, .max = 65535, .optional = true};
    uint32_t port = 0;

    if (!GwRead_U32(at, "seeds_peer_port", &ports, &port, error)) {
        return false;
    }
    for (guint i = 0; port > 0 && i < seeds->len; i++) {
        char *seed = seeds->pdata[i];
        seeds->pdata[i] = g_strdup_printf(
            "%.*s:%u", (int)(strrchr(seed, ':') - seed), seed, port);
        g_free(seed);
    }
    return true;
}

/* Reads a duration with its unit; keeps `out` when the key is absent. */
static bool
read_duration(const GwReadContext *at, const char *key, uint32_t *out,
              GError **error)
{
    struct json_object *member;

    if (!json_object_object_get_ex(at->object, key, &member)) {
        return true;
    }
    const char *text = json_object_get_string(member);
    if (text == NULL || !GwDuration_Parse(text, out) ||
        *out > DURATION_MAX_MS) {
        return GwRead_Fail(at, key, GW_RESULT_INVALID, error,
                           "a time such as \"1500ms\", at most 1 hour");
    }
    return true;
}

/* Within a shorter bound the store can't be asked and the entries told. */
static bool
read_change_bound(const GwReadContext *at, const char *key, uint32_t *out,
                  GError **error)
{
    return read_duration(at, key, out, error) &&
           (*out >= CHANGE_BOUND_MIN_MS ||
            GwRead_Fail(at, key, GW_RESULT_OUT_OF_BOUNDS, error,
                        "a time of at least %u ms", CHANGE_BOUND_MIN_MS));
}

static bool
read_number(const GwReadContext *at, const char *key, double max, double *out,
            GError **error)
{
    struct json_object *member;

    if (!json_object_object_get_ex(at->object, key, &member)) {
        return true;
    }
    double value = json_object_get_double(member);
    bool number = json_object_is_type(member, json_type_double) ||
                  json_object_is_type(member, json_type_int);
    if (!number || value < 0 || value > max) {
        return GwRead_Fail(at, key, GW_RESULT_OUT_OF_BOUNDS, error,
                           "a number from 0 to %g", max);
    }
    *out = value;
    return true;
}

static bool
read_regions(const GwReadContext *at, GHashTable *out, GError **error)
{
    struct json_object *member;

    if (!json_object_object_get_ex(at->object, "regions", &member) ||
        !json_object_is_type(member, json_type_object)) {
        return GwRead_Fail(at, "regions", GW_RESULT_WRONG_TYPE, error,
                           "an object: failure domain to region");
    }
    json_object_object_foreach(member, domain, region)
    {
        if (!json_object_is_type(region, json_type_string)) {
            return GwRead_Fail(at, "regions", GW_RESULT_WRONG_TYPE, error,
                               "the region of \"%s\" must be a string",
                               domain);
        }
        g_hash_table_insert(out, g_strdup(domain),
                            g_strdup(json_object_get_string(region)));
    }
    return true;
}

static bool
read_seeds(const GwReadContext *at, GPtrArray *out, GError **error)
{
    struct json_object *member;

    if (!json_object_object_get_ex(at->object, "seeds", &member)) {
        return true;
    }
    if (!json_object_is_type(member, json_type_array)) {
        return GwRead_Fail(at, "seeds", GW_RESULT_WRONG_TYPE, error,
                           "a list of addresses");
    }
    for (size_t i = 0; i < json_object_array_length(member); i++) {
        struct json_object *item = json_object_array_get_idx(member, i);
        const char *seed = json_object_get_string(item);
        if (seed == NULL || !GwAddress_IsValid(seed)) {
            return GwRead_Fail(at, "seeds", GW_RESULT_INVALID, error,
                               "item %zu is not an address", i);
        }
        g_ptr_array_add(out, g_strdup(seed));
    }
    return true;
}

static bool
read_optional_address(const GwReadContext *at, const char *key, char out[64],
                      GError **error)
{
    return !json_object_object_get_ex(at->object, key, NULL) ||
           GwRead_Address(at, key, out, error);
}

static bool
read_source_address(const GwReadContext *at, GwEdgeSettings *s, GError **error)
{
    struct in_addr ip;

    if (!json_object_object_get_ex(at->object, "source_address", NULL)) {
        return true;
    }
    return read_text(at, "source_address", s->source_address,
                     sizeof(s->source_address), error) &&
           (inet_pton(AF_INET, s->source_address, &ip) == 1 ||
            GwRead_Fail(at, "source_address", GW_RESULT_INVALID, error,
                        "an IP address"));
}

/* Reads the capacity of the instance. */
static bool
read_capacity(const GwReadContext *at, GwEdgeSettings *s, GError **error)
{
    static const GwReadBound memory = {
        .min = 16, .max = 1 << 20, .optional = true};
    static const GwReadBound descriptors = {
        .min = 64, .max = 1 << 20, .optional = true};
    double link_mbps = LINK_MBPS;
    double cpu_share = CPU_SHARE;

    if (!GwRead_U32(at, "memory_mb", &memory, &s->memory_mb, error) ||
        !GwRead_U32(at, "fd_limit", &descriptors, &s->fd_limit, error) ||
        !read_number(at, "link_mbps", LINK_MBPS_MAX, &link_mbps, error) ||
        !read_number(at, "cpu_share", CPU_SHARE_MAX, &cpu_share, error)) {
        return false;
    }
    s->link_kbps = (uint32_t)MAX(link_mbps * 1000, 1);
    s->cpu_milli = (uint32_t)MAX(cpu_share * 1000, 1);
    return true;
}

static bool
read_bounds(const GwReadContext *at, GwEdgeSettings *s, GError **error)
{
    static const GwReadBound extra = {.max = 1000000, .optional = true};
    static const GwReadBound entries = {
        .min = 1, .max = 100000, .optional = true};
    GwRouterParams *r = &s->router;

    return read_capacity(at, s, error) &&
           read_number(at, "retry_ratio", 1.0, &r->retry_ratio, error) &&
           GwRead_U32(at, "retry_extra", &extra, &r->retry_extra, error) &&
           read_duration(at, "retry_window", &r->retry_window_ms, error) &&
           GwRead_U32(at, "entries_max", &entries, &r->entries_max, error) &&
           read_duration(at, "grace", &s->grace_ms, error) &&
           read_duration(at, "lookup_ttl", &s->lookup_ttl_ms, error) &&
           read_change_bound(at, "config_bound", &s->config_bound_ms, error) &&
           read_change_bound(at, "drain_bound", &s->drain_bound_ms, error) &&
           read_duration(at, "revocation_bound", &s->revocation_ms, error) &&
           read_duration(at, "quota_window", &s->quota.window_ms, error) &&
           read_number(at, "quota_overrun", 1.0, &s->quota.overrun, error) &&
           read_number(at, "quota_slack", 1e6, &s->quota.slack, error) &&
           read_duration(at, "row_grace", &s->row_grace_ms, error);
}

static bool
read_log_level(const GwReadContext *at, GwEdgeSettings *s, GError **error)
{
    struct json_object *member;

    if (!json_object_object_get_ex(at->object, "log_level", &member)) {
        return true;
    }
    if (!read_text(at, "log_level", s->log_level, sizeof(s->log_level),
                   error)) {
        return false;
    }
    return strcmp(s->log_level, "error") == 0 ||
           strcmp(s->log_level, "warn") == 0 ||
           strcmp(s->log_level, "info") == 0 ||
           GwRead_Fail(at, "log_level", GW_RESULT_INVALID, error,
                       "\"error\", \"warn\" or \"info\"");
}

static bool
read_all(const GwReadContext *at, GwEdgeSettings *s, GError **error)
{
    static const char *const known[] = {
        "name",
        "region",
        "domain",
        "call_address",
        "ready_address",
        "directory_address",
        "control_address",
        "metrics_address",
        "peer_address",
        "store_address",
        "source_address",
        "seeds",
        "seeds_peer_port",
        "regions",
        "retry_ratio",
        "retry_extra",
        "retry_window",
        "entries_max",
        "grace",
        "lookup_ttl",
        "row_grace",
        "config_bound",
        "drain_bound",
        "revocation_bound",
        "quota_window",
        "quota_overrun",
        "quota_slack",
        "first_start",
        "overload_control",
        "log_level",
        "memory_mb",
        "fd_limit",
        "link_mbps",
        "cpu_share",
        NULL,
    };
    GwRouterParams *r = &s->router;

    return GwRead_Keys(at, known, error) &&
           read_text(at, "name", r->name, sizeof(r->name), error) &&
           read_text(at, "region", r->region, sizeof(r->region), error) &&
           read_text(at, "domain", r->domain, sizeof(r->domain), error) &&
           GwRead_Address(at, "call_address", s->call_address, error) &&
           GwRead_Address(at, "ready_address", s->ready_address, error) &&
           GwRead_Address(at, "directory_address", s->directory_address,
                          error) &&
           GwRead_Address(at, "control_address", s->control_address, error) &&
           read_optional_address(at, "metrics_address", s->metrics_address,
                                 error) &&
           GwRead_Address(at, "peer_address", s->peer_address, error) &&
           GwRead_Address(at, "store_address", s->store_address, error) &&
           read_source_address(at, s, error) &&
           read_seeds(at, s->seeds, error) &&
           override_seed_ports(at, s->seeds, error) &&
           read_regions(at, s->regions, error) && read_bounds(at, s, error) &&
           GwRead_Bool(at, "first_start", &s->first_start, error) &&
           GwRead_Bool(at, "overload_control", &s->router.overload_control,
                       error) &&
           read_log_level(at, s, error);
}

static GwEdgeSettings *
create_default(void)
{
    GwEdgeSettings *s = g_new0(GwEdgeSettings, 1);

    *s = (GwEdgeSettings){
        .router = {.retry_ratio = 0.2,
                   .retry_window_ms = 10000,
                   .entries_max = ENTRIES_MAX},
        .seeds = g_ptr_array_new_with_free_func(g_free),
        .regions =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
        .memory_mb = MEMORY_MB,
        .fd_limit = FD_LIMIT,
        .grace_ms = 10000,
        .lookup_ttl_ms = LOOKUP_TTL_MS,
        .row_grace_ms = ROW_GRACE_MS,
        .config_bound_ms = CHANGE_BOUND_MS,
        .drain_bound_ms = CHANGE_BOUND_MS,
        .quota = {.window_ms = QUOTA_WINDOW_MS},
        .log_level = "info",
    };
    return s;
}

GwEdgeSettings *
GwEdgeSettings_Parse(const char *text, size_t len, GError **error)
{
    struct json_object *root = GwRead_Text(text, len, error);

    if (root == NULL) {
        return NULL;
    }
    GwEdgeSettings *s = create_default();
    GwReadContext at = {.object = root};
    bool ok = read_all(&at, s, error);
    json_object_put(root);
    if (!ok) {
        GwEdgeSettings_Free(s);
        return NULL;
    }
    s->router.seed = GwHash_Text(s->router.name, 0);
    return s;
}

GwEdgeSettings *
GwEdgeSettings_Load(const char *path, GError **error)
{
    char *text;
    gsize len;

    if (!g_file_get_contents(path, &text, &len, error)) {
        return NULL;
    }
    GwEdgeSettings *s = GwEdgeSettings_Parse(text, len, error);
    g_free(text);
    return s;
}

uint32_t
GwEdgeSettings_ChangeBoundMs(const GwEdgeSettings *s)
{
    uint32_t bound_ms = MIN(s->config_bound_ms, s->drain_bound_ms);

    return s->revocation_ms > 0 ? MIN(bound_ms, s->revocation_ms) : bound_ms;
}

void
GwEdgeSettings_Free(GwEdgeSettings *s)
{
    if (s == NULL) {
        return;
    }
    g_ptr_array_free(s->seeds, TRUE);
    g_hash_table_destroy(s->regions);
    g_free(s);
}
