/* Parses the document of docs/PROTOCOLS.md into a GwConfig. Fields are
 * validated here; rules that involve more than one item are in checks.c. */
#include "common/names.h"
#include "config/checks.h"
#include "config/reader.h"

#include <string.h>
#include <xxhash.h>

#define DEADLINE_MIN_MS     10
#define DEADLINE_MAX_MS     600000
#define CAP_MAX             65536
#define CONNECTIONS_MAX     100000
#define CONNECTIONS_DEFAULT 330
#define WARMUP_DEFAULT      4
#define WARMUP_MAX          65536

static bool
read_region(GwConfig *c, uint32_t i, const GwReadContext *at, GError **error)
{
    static const char *const keys[] = {"name", "seats", NULL};
    GwRegion *region = &c->regions[i];
    return GwRead_Keys(at, keys, error) &&
           GwRead_Name(at, "name", region->name, error) &&
           GwRead_U32(at, "seats",
                      &(GwReadBound){.min = 1, .max = GW_SEATS_MAX},
                      &region->seats, error);
}

/* Reads the HTTP method of an operation: upper-case letters. */
static bool
read_method(const GwReadContext *at, GwOperation *op, GError **error)
{
    if (!GwRead_String(at, "method", sizeof(op->method), op->method, error)) {
        return false;
    }
    bool is_valid = op->method[0] != '\0';
    for (const char *p = op->method; *p != '\0'; p++) {
        is_valid = is_valid && g_ascii_isupper(*p);
    }
    return is_valid ||
           GwRead_Fail(at, "method", GW_RESULT_INVALID, error,
                       "\"%s\" must be upper-case letters", op->method);
}

/* Reads the path of an operation, which begins with '/' and may end in '*'. */
static bool
read_path(const GwReadContext *at, GwOperation *op, GError **error)
{
    if (!GwRead_String(at, "path", sizeof(op->path), op->path, error)) {
        return false;
    }
    const char *star = strchr(op->path, '*');
    if (op->path[0] != '/' || (star != NULL && star[1] != '\0')) {
        return GwRead_Fail(at, "path", GW_RESULT_INVALID, error,
                           "\"%s\" must begin with / and hold * only last",
                           op->path);
    }
    return true;
}

static bool
read_operation(GwService *service, uint32_t i, const GwReadContext *at,
               GError **error)
{
    static const char *const keys[] = {"method", "path", "idempotent", NULL};
    GwOperation *op = &service->operations[i];
    return GwRead_Keys(at, keys, error) && read_method(at, op, error) &&
           read_path(at, op, error) &&
           GwRead_Bool(at, "idempotent", &op->idempotent, error);
}

static bool
read_operations(GwService *service, const GwReadContext *at, GError **error)
{
    uint32_t count = 0;
    if (!GwRead_Array(
            at, "operations",
            &(GwReadBound){.max = GW_MAX_OPERATIONS, .optional = true}, &count,
            error)) {
        return false;
    }
    service->operations = g_new0(GwOperation, count);
    for (uint32_t i = 0; i < count; i++) {
        GwReadContext item;
        if (!GwRead_Item(at, "operations", i, &item, error) ||
            !read_operation(service, i, &item, error)) {
            return false;
        }
        service->operation_count = i + 1;
        if (!GwChecks_Operation(service, &item, error)) {
            return false;
        }
    }
    return true;
}

/* Reads the hedging percentile: 0 (off) or 50 to 99. */
static bool
read_hedge(GwService *service, const GwReadContext *at, GError **error)
{
    if (!GwRead_U32(at, "hedge_percentile",
                    &(GwReadBound){.max = 99, .optional = true},
                    &service->hedge_percentile, error)) {
        return false;
    }
    uint32_t p = service->hedge_percentile;
    return p == 0 || p >= 50 ||
           GwRead_Fail(at, "hedge_percentile", GW_RESULT_OUT_OF_BOUNDS, error,
                       "%u is below 50 and not 0", p);
}

static bool
read_service(GwConfig *c, uint32_t i, const GwReadContext *at, GError **error)
{
    static const char *const keys[] = {"name", "deadline_max_ms",
                                       "hedge_percentile", "operations", NULL};
    GwService *service = &c->services[i];
    return GwRead_Keys(at, keys, error) &&
           GwRead_Name(at, "name", service->name, error) &&
           GwRead_U32(
               at, "deadline_max_ms",
               &(GwReadBound){.min = DEADLINE_MIN_MS, .max = DEADLINE_MAX_MS},
               &service->deadline_max_ms, error) &&
           read_hedge(service, at, error) &&
           read_operations(service, at, error);
}

/* Returns the id of a backend server, which is the same in every version. */
static uint64_t
backend_id(const char *service, const char *name)
{
    char key[2 * GW_NAME_MAX + 1];
    g_snprintf(key, sizeof(key), "%s/%s", service, name);
    return GwName_Hash64(key);
}

static bool
read_backend(GwBackend *b, const GwReadContext *at, GError **error)
{
    static const char *const keys[] = {"name",        "address", "slots",
                                       "connections", "drain",   NULL};
    b->connections = CONNECTIONS_DEFAULT;
    return GwRead_Keys(at, keys, error) &&
           GwRead_Name(at, "name", b->name, error) &&
           GwRead_Address(at, "address", b->address, error) &&
           GwRead_U32(at, "slots",
                      &(GwReadBound){.min = 1, .max = GW_MAX_SLOTS}, &b->slots,
                      error) &&
           GwRead_U32(at, "connections",
                      &(GwReadBound){
                          .min = 1, .max = CONNECTIONS_MAX, .optional = true},
                      &b->connections, error) &&
           GwRead_Bool(at, "drain", &b->drain, error);
}

/* Appends the backend servers of place `i` to the array of all. */
static bool
read_backends(GwConfig *c, uint32_t i, const GwReadContext *at, GError **error)
{
    GwPlace *place = &c->places[i];
    uint32_t left = GW_MAX_BACKENDS - c->backend_count;
    uint32_t count = 0;
    if (!GwRead_Array(at, "backends", &(GwReadBound){.max = left}, &count,
                      error)) {
        return false;
    }
    place->first_backend = c->backend_count;
    for (uint32_t j = 0; j < count; j++) {
        GwBackend *b = &c->backends[c->backend_count];
        GwReadContext item;
        if (!GwRead_Item(at, "backends", j, &item, error) ||
            !read_backend(b, &item, error)) {
            return false;
        }
        b->place = i;
        b->id = backend_id(c->services[place->service].name, b->name);
        c->backend_count++;
        place->backend_count++;
    }
    return true;
}

/* Reads a service name and resolves it to an index. */
static bool
read_service_ref(const GwConfig *c, const GwReadContext *at, uint32_t *out,
                 GError **error)
{
    char name[GW_NAME_MAX];
    if (!GwRead_Name(at, "service", name, error)) {
        return false;
    }
    *out = GwConfig_FindService(c, name);
    return *out != GW_NONE ||
           GwRead_Fail(at, "service", GW_RESULT_NOT_FOUND, error,
                       "no service is named \"%s\"", name);
}

/* Reads a region name and resolves it to an index. */
static bool
read_region_ref(const GwConfig *c, const GwReadContext *at, const char *key,
                uint32_t *out, GError **error)
{
    char name[GW_NAME_MAX];
    if (!GwRead_Name(at, key, name, error)) {
        return false;
    }
    *out = GwConfig_FindRegion(c, name);
    return *out != GW_NONE || GwRead_Fail(at, key, GW_RESULT_NOT_FOUND, error,
                                          "no region is named \"%s\"", name);
}

static bool
read_place(GwConfig *c, uint32_t i, const GwReadContext *at, GError **error)
{
    static const char *const keys[] = {"service", "region", "drain",
                                       "backends", NULL};
    GwPlace *place = &c->places[i];
    return GwRead_Keys(at, keys, error) &&
           read_service_ref(c, at, &place->service, error) &&
           read_region_ref(c, at, "region", &place->region, error) &&
           GwRead_Bool(at, "drain", &place->drain, error) &&
           read_backends(c, i, at, error);
}

static bool
read_shift(GwConfig *c, uint32_t i, const GwReadContext *at, GError **error)
{
    static const char *const keys[] = {"service", "from",    "to",
                                       "cap",     "percent", NULL};
    GwShift *shift = &c->shifts[i];
    return GwRead_Keys(at, keys, error) &&
           read_service_ref(c, at, &shift->service, error) &&
           read_region_ref(c, at, "from", &shift->from, error) &&
           read_region_ref(c, at, "to", &shift->to, error) &&
           GwRead_U32(at, "cap", &(GwReadBound){.max = CAP_MAX}, &shift->cap,
                      error) &&
           GwRead_U32(at, "percent",
                      &(GwReadBound){.max = 100, .optional = true},
                      &shift->percent, error);
}

static bool
read_link(GwConfig *c, uint32_t i, const GwReadContext *at, GError **error)
{
    static const char *const keys[] = {"from", "to", "cap", NULL};
    GwLink *link = &c->links[i];
    return GwRead_Keys(at, keys, error) &&
           read_region_ref(c, at, "from", &link->from, error) &&
           read_region_ref(c, at, "to", &link->to, error) &&
           GwRead_U32(at, "cap", &(GwReadBound){.max = CAP_MAX}, &link->cap,
                      error);
}

typedef bool (*ReadFn)(GwConfig *c, uint32_t i, const GwReadContext *at,
                       GError **error);

/* One array of the document, with the functions that read an item and check
 * it against earlier items. `count` grows before each item is read, so that
 * a check sees items up to its own, and the memory of an item read in part
 * is freed. */
typedef struct {
    const char *key;
    GwReadBound bound;
    ReadFn read;
    ReadFn check;
    uint32_t *count;
} Section;

static bool
read_section(GwConfig *c, const Section *section, const GwReadContext *root,
             uint32_t total, GError **error)
{
    for (uint32_t i = 0; i < total; i++) {
        GwReadContext item;
        *section->count = i + 1;
        if (!GwRead_Item(root, section->key, i, &item, error) ||
            !section->read(c, i, &item, error)) {
            return false;
        }
        if (!section->check(c, i, &item, error)) {
            return false;
        }
    }
    return true;
}

/* Reads all arrays, those that define names before those that refer to
 * them. */
static bool
read_sections(GwConfig *c, const GwReadContext *root, GError **error)
{
    const Section sections[] = {
        {"regions",
         {.min = 1, .max = GW_MAX_REGIONS},
         read_region,
         GwChecks_Region,
         &c->region_count},
        {"services",
         {.max = GW_MAX_SERVICES, .optional = true},
         read_service,
         GwChecks_Service,
         &c->service_count},
        {"places",
         {.max = GW_MAX_PLACES, .optional = true},
         read_place,
         GwChecks_Place,
         &c->place_count},
        {"shifts",
         {.max = GW_MAX_SHIFTS, .optional = true},
         read_shift,
         GwChecks_Shift,
         &c->shift_count},
        {"links",
         {.max = GW_MAX_LINKS, .optional = true},
         read_link,
         GwChecks_Link,
         &c->link_count},
    };
    uint32_t totals[G_N_ELEMENTS(sections)];
    for (size_t i = 0; i < G_N_ELEMENTS(sections); i++) {
        if (!GwRead_Array(root, sections[i].key, &sections[i].bound,
                          &totals[i], error)) {
            return false;
        }
    }
    c->regions = g_new0(GwRegion, totals[0]);
    c->services = g_new0(GwService, totals[1]);
    c->places = g_new0(GwPlace, totals[2]);
    c->shifts = g_new0(GwShift, totals[3]);
    c->links = g_new0(GwLink, totals[4]);
    c->backends = g_new0(GwBackend, GW_MAX_BACKENDS);
    for (size_t i = 0; i < G_N_ELEMENTS(sections); i++) {
        if (!read_section(c, &sections[i], root, totals[i], error)) {
            return false;
        }
    }
    c->backends = g_renew(GwBackend, c->backends, MAX(c->backend_count, 1));
    return GwChecks_Backends(c, error);
}

static bool
read_document(GwConfig *c, struct json_object *object, GError **error)
{
    static const char *const keys[] = {"warmup_step", "regions", "services",
                                       "places",      "shifts",  "links",
                                       NULL};
    const GwReadContext root = {.object = object};
    c->warmup_step = WARMUP_DEFAULT;
    return GwRead_Keys(&root, keys, error) &&
           GwRead_U32(
               &root, "warmup_step",
               &(GwReadBound){.min = 1, .max = WARMUP_MAX, .optional = true},
               &c->warmup_step, error) &&
           read_sections(c, &root, error);
}

/* Builds a configuration; returns NULL with `error` set if any part is
 * invalid. */
GwConfig *
GwConfig_Parse(const char *text, uint32_t len, uint64_t version,
               GError **error)
{
    if (len > GW_CONFIG_DOC_MAX) {
        g_set_error(error, GW_ERROR, GW_RESULT_TOO_LARGE,
                    "the document has %u bytes, at most %u", len,
                    GW_CONFIG_DOC_MAX);
        return NULL;
    }
    struct json_object *object = GwRead_Text(text, len, error);
    if (object == NULL) {
        return NULL;
    }
    GwConfig *c = g_new0(GwConfig, 1);
    c->version = version;
    c->checksum = XXH64(text, len, 0);
    c->text_len = len;
    c->text = g_strndup(text, len);
    bool is_valid = read_document(c, object, error);
    json_object_put(object);
    if (!is_valid) {
        GwConfig_Free(c);
        return NULL;
    }
    return c;
}
