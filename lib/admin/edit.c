#include "admin/edit.h"
#include "common/json.h"

#include "config/reader.h"

#include <string.h>

typedef Gw__Admin__Change Change;
typedef struct json_object Json;

/* Selects an item of an array by up to MATCH_MAX of its string members. */
typedef struct {
    const char *key;
    const char *value;
} Match;
#define MATCH_MAX 3

static bool fail(GError **error, GwResultCode code, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

static bool
fail(GError **error, GwResultCode code, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    char *message = g_strdup_vprintf(format, args);
    va_end(args);
    g_set_error(error, GW_ERROR, (int)code, "%s", message);
    g_free(message);
    return false;
}

/* Returns an array of the object; adds an empty one if absent. */
static Json *
get_or_add_array(Json *object, const char *key)
{
    Json *array = NULL;
    if (!json_object_object_get_ex(object, key, &array)) {
        array = json_object_new_array();
        json_object_object_add(object, key, array);
    }
    return array;
}

static bool
matches(Json *item, const Match *match)
{
    for (size_t i = 0; i < MATCH_MAX && match[i].key != NULL; i++) {
        Json *value = json_object_object_get(item, match[i].key);
        const char *text = json_object_get_string(value);
        if (text == NULL || strcmp(text, match[i].value) != 0) {
            return false;
        }
    }
    return true;
}

/* Returns the index of the item, or -1. */
static int64_t
find_item(Json *array, const Match *match)
{
    size_t count = json_object_array_length(array);
    for (size_t i = 0; i < count; i++) {
        if (matches(json_object_array_get_idx(array, i), match)) {
            return (int64_t)i;
        }
    }
    return -1;
}

static void
set_bool(Json *item, const char *key, bool value)
{
    json_object_object_add(item, key, json_object_new_boolean(value));
}

/* Creates an item with the members of the match. */
static Json *
new_item(const Match *match)
{
    Json *item = json_object_new_object();
    for (size_t i = 0; i < MATCH_MAX && match[i].key != NULL; i++) {
        GwJson_SetText(item, match[i].key, match[i].value);
    }
    return item;
}

static char *
match_text(const Match *match)
{
    GString *out = g_string_new(NULL);
    for (size_t i = 0; i < MATCH_MAX && match[i].key != NULL; i++) {
        g_string_append_printf(out, "%s%s %s", i > 0 ? ", " : "", match[i].key,
                               match[i].value);
    }
    return g_string_free(out, FALSE);
}

static bool
fail_match(GError **error, GwResultCode code, const char *key,
           const Match *match)
{
    char *text = match_text(match);
    fail(error, code, "%s: %s with %s", key,
         code == GW_RESULT_DUPLICATE ? "duplicate item" : "no item", text);
    g_free(text);
    return false;
}

/* Returns the item, or NULL with an error. */
static Json *
find_or_fail(Json *object, const char *key, const Match *match, GError **error)
{
    Json *array = get_or_add_array(object, key);
    int64_t i = find_item(array, match);
    if (i < 0) {
        fail_match(error, GW_RESULT_NOT_FOUND, key, match);
        return NULL;
    }
    return json_object_array_get_idx(array, (size_t)i);
}

/* Appends a new item; NULL with an error when the item exists already. */
static Json *
add_or_fail(Json *object, const char *key, const Match *match, GError **error)
{
    Json *array = get_or_add_array(object, key);
    if (find_item(array, match) >= 0) {
        fail_match(error, GW_RESULT_DUPLICATE, key, match);
        return NULL;
    }
    Json *item = new_item(match);
    json_object_array_add(array, item);
    return item;
}

/* Returns the item; appends a new one if absent. */
static Json *
find_or_add(Json *object, const char *key, const Match *match)
{
    Json *array = get_or_add_array(object, key);
    int64_t i = find_item(array, match);
    if (i >= 0) {
        return json_object_array_get_idx(array, (size_t)i);
    }
    Json *item = new_item(match);
    json_object_array_add(array, item);
    return item;
}

static bool
remove_or_fail(Json *object, const char *key, const Match *match,
               GError **error)
{
    Json *array = get_or_add_array(object, key);
    int64_t i = find_item(array, match);
    if (i < 0) {
        return fail_match(error, GW_RESULT_NOT_FOUND, key, match);
    }
    json_object_array_del_idx(array, (size_t)i, 1);
    return true;
}

#define PLACE(ref)                                                            \
    (const Match[MATCH_MAX])                                                  \
    {                                                                         \
        {"service", (ref)->service},                                          \
        {                                                                     \
            "region", (ref)->region                                           \
        }                                                                     \
    }
#define SHIFT(ref)                                                            \
    (const Match[MATCH_MAX])                                                  \
    {                                                                         \
        {"service", (ref)->service}, {"from", (ref)->from},                   \
        {                                                                     \
            "to", (ref)->to                                                   \
        }                                                                     \
    }
#define LINK(ref)                                                             \
    (const Match[MATCH_MAX])                                                  \
    {                                                                         \
        {"from", (ref)->from},                                                \
        {                                                                     \
            "to", (ref)->to                                                   \
        }                                                                     \
    }
#define NAME(text)                                                            \
    (const Match[MATCH_MAX])                                                  \
    {                                                                         \
        {                                                                     \
            "name", (text)                                                    \
        }                                                                     \
    }

/* Returns the place that has the backend server, or NULL with an error. */
static Json *
place_of_backend(Json *doc, const Gw__Admin__BackendRef *ref, GError **error)
{
    Json *places = get_or_add_array(doc, "places");
    size_t count = json_object_array_length(places);
    const Match service[MATCH_MAX] = {{"service", ref->service}};
    for (size_t i = 0; i < count; i++) {
        Json *place = json_object_array_get_idx(places, i);
        if (matches(place, service) &&
            find_item(get_or_add_array(place, "backends"), NAME(ref->name)) >=
                0) {
            return place;
        }
    }
    fail(error, GW_RESULT_NOT_FOUND,
         "places: service %s has no backend server %s", ref->service,
         ref->name);
    return NULL;
}

static Json *
find_backend(Json *doc, const Gw__Admin__BackendRef *ref, GError **error)
{
    Json *place = place_of_backend(doc, ref, error);
    return place == NULL
               ? NULL
               : find_or_fail(place, "backends", NAME(ref->name), error);
}

static bool
drain_place(Json *doc, const Gw__Admin__PlaceRef *ref, bool drain,
            GError **error)
{
    Json *place = find_or_fail(doc, "places", PLACE(ref), error);
    if (place == NULL) {
        return false;
    }
    set_bool(place, "drain", drain);
    return true;
}

static bool
drain_backend(Json *doc, const Gw__Admin__BackendRef *ref, bool drain,
              GError **error)
{
    Json *backend = find_backend(doc, ref, error);
    if (backend == NULL) {
        return false;
    }
    set_bool(backend, "drain", drain);
    return true;
}

static bool
set_shift(Json *doc, const Gw__Admin__Shift *shift)
{
    Json *item = find_or_add(doc, "shifts", SHIFT(shift));
    GwJson_SetU64(item, "cap", shift->cap);
    GwJson_SetU64(item, "percent", shift->percent);
    return true;
}

static bool
set_link(Json *doc, const Gw__Admin__Link *link)
{
    GwJson_SetU64(find_or_add(doc, "links", LINK(link)), "cap", link->cap);
    return true;
}

static bool
create_region(Json *doc, const Gw__Admin__Region *region, GError **error)
{
    Json *item = add_or_fail(doc, "regions", NAME(region->name), error);
    if (item == NULL) {
        return false;
    }
    GwJson_SetU64(item, "seats", region->seats);
    return true;
}

static bool
create_service(Json *doc, const Gw__Admin__Service *service, GError **error)
{
    Json *item = add_or_fail(doc, "services", NAME(service->name), error);
    if (item == NULL) {
        return false;
    }
    GwJson_SetU64(item, "deadline_max_ms", service->deadline_max_ms);
    GwJson_SetU64(item, "hedge_percentile", service->hedge_percentile);
    Json *operations = get_or_add_array(item, "operations");
    for (size_t i = 0; i < service->n_operations; i++) {
        const Gw__Admin__Operation *op = service->operations[i];
        Json *entry = json_object_new_object();
        GwJson_SetText(entry, "method", op->method);
        GwJson_SetText(entry, "path", op->path);
        set_bool(entry, "idempotent", op->idempotent);
        json_object_array_add(operations, entry);
    }
    return true;
}

static void
append_backend(Json *place, const Gw__Admin__Backend *backend)
{
    Json *item = json_object_new_object();
    GwJson_SetText(item, "name", backend->name);
    GwJson_SetText(item, "address", backend->address);
    GwJson_SetU64(item, "slots", backend->slots);
    if (backend->connections != 0) {
        GwJson_SetU64(item, "connections", backend->connections);
    }
    set_bool(item, "drain", backend->drain);
    json_object_array_add(get_or_add_array(place, "backends"), item);
}

static bool
create_place(Json *doc, const Gw__Admin__Place *place, GError **error)
{
    Json *item = add_or_fail(doc, "places", PLACE(place), error);
    if (item == NULL) {
        return false;
    }
    set_bool(item, "drain", place->drain);
    get_or_add_array(item, "backends");
    for (size_t i = 0; i < place->n_backends; i++) {
        append_backend(item, place->backends[i]);
    }
    return true;
}

static bool
add_backend(Json *doc, const Gw__Admin__AddBackend *add, GError **error)
{
    Json *place = find_or_fail(doc, "places", PLACE(add), error);
    if (place == NULL) {
        return false;
    }
    if (add->backend == NULL) {
        return fail(error, GW_RESULT_INVALID, "backend: missing");
    }
    append_backend(place, add->backend);
    return true;
}

static bool
remove_backend(Json *doc, const Gw__Admin__BackendRef *ref, GError **error)
{
    Json *place = place_of_backend(doc, ref, error);
    return place != NULL &&
           remove_or_fail(place, "backends", NAME(ref->name), error);
}

static bool
set_slots(Json *doc, const Gw__Admin__BackendSlots *slots, GError **error)
{
    const Gw__Admin__BackendRef ref = {.service = slots->service,
                                       .name = slots->name};
    Json *backend = find_backend(doc, &ref, error);
    if (backend == NULL) {
        return false;
    }
    GwJson_SetU64(backend, "slots", slots->slots);
    return true;
}

static bool
apply_change(Json *doc, const Change *c, GError **error)
{
    switch (c->kind_case) {
    case GW__ADMIN__CHANGE__KIND_DRAIN_PLACE:
        return drain_place(doc, c->drain_place, true, error);
    case GW__ADMIN__CHANGE__KIND_UNDRAIN_PLACE:
        return drain_place(doc, c->undrain_place, false, error);
    case GW__ADMIN__CHANGE__KIND_DRAIN_BACKEND:
        return drain_backend(doc, c->drain_backend, true, error);
    case GW__ADMIN__CHANGE__KIND_UNDRAIN_BACKEND:
        return drain_backend(doc, c->undrain_backend, false, error);
    case GW__ADMIN__CHANGE__KIND_SET_SHIFT:
        return set_shift(doc, c->set_shift);
    case GW__ADMIN__CHANGE__KIND_REMOVE_SHIFT:
        return remove_or_fail(doc, "shifts", SHIFT(c->remove_shift), error);
    case GW__ADMIN__CHANGE__KIND_SET_LINK:
        return set_link(doc, c->set_link);
    case GW__ADMIN__CHANGE__KIND_REMOVE_LINK:
        return remove_or_fail(doc, "links", LINK(c->remove_link), error);
    case GW__ADMIN__CHANGE__KIND_CREATE_REGION:
        return create_region(doc, c->create_region, error);
    case GW__ADMIN__CHANGE__KIND_REMOVE_REGION:
        return remove_or_fail(doc, "regions", NAME(c->remove_region->name),
                              error);
    case GW__ADMIN__CHANGE__KIND_CREATE_SERVICE:
        return create_service(doc, c->create_service, error);
    case GW__ADMIN__CHANGE__KIND_REMOVE_SERVICE:
        return remove_or_fail(doc, "services", NAME(c->remove_service->name),
                              error);
    case GW__ADMIN__CHANGE__KIND_CREATE_PLACE:
        return create_place(doc, c->create_place, error);
    case GW__ADMIN__CHANGE__KIND_REMOVE_PLACE:
        return remove_or_fail(doc, "places", PLACE(c->remove_place), error);
    case GW__ADMIN__CHANGE__KIND_ADD_BACKEND:
        return add_backend(doc, c->add_backend, error);
    case GW__ADMIN__CHANGE__KIND_REMOVE_BACKEND:
        return remove_backend(doc, c->remove_backend, error);
    case GW__ADMIN__CHANGE__KIND_SET_SLOTS:
        return set_slots(doc, c->set_slots, error);
    case GW__ADMIN__CHANGE__KIND_SET_WARMUP_STEP:
        GwJson_SetU64(doc, "warmup_step", c->set_warmup_step->step);
        return true;
    default:
        return fail(error, GW_RESULT_INVALID, "the change has no kind");
    }
}

char *
GwEdit_Make(void *ctx, const char *text, GError **error)
{
    const Gw__Admin__Batch *batch = ctx;
    Json *doc = GwRead_Text(text, strlen(text), error);
    if (doc == NULL) {
        return NULL;
    }
    for (size_t i = 0; i < batch->n_changes; i++) {
        if (!apply_change(doc, batch->changes[i], error)) {
            g_prefix_error(error, "changes[%zu]: ", i);
            json_object_put(doc);
            return NULL;
        }
    }
    char *edited = g_strdup(json_object_to_json_string_ext(
        doc, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_NOSLASHESCAPE));
    json_object_put(doc);
    return edited;
}

static void
describe_change(GString *out, const Change *c)
{
    const ProtobufCMessageDescriptor *d = c->base.descriptor;
    const ProtobufCFieldDescriptor *field =
        protobuf_c_message_descriptor_get_field(d, (unsigned)c->kind_case);
    if (field == NULL) {
        return;
    }
    g_string_append_printf(out, "%s%s", out->len > 0 ? "; " : "", field->name);
    const ProtobufCMessage *body =
        *(ProtobufCMessage *const *)((const char *)c + field->offset);
    for (unsigned i = 0; i < body->descriptor->n_fields; i++) {
        const ProtobufCFieldDescriptor *f = &body->descriptor->fields[i];
        const char *at = (const char *)body + f->offset;
        if (f->label == PROTOBUF_C_LABEL_REPEATED) {
            continue;
        }
        if (f->type == PROTOBUF_C_TYPE_STRING) {
            g_string_append_printf(out, " %s", *(char *const *)at);
        }
        else if (f->type == PROTOBUF_C_TYPE_UINT32) {
            g_string_append_printf(out, " %s=%u", f->name,
                                   *(const uint32_t *)at);
        }
    }
}

char *
GwEdit_Describe(const Gw__Admin__Batch *batch)
{
    GString *out = g_string_new(NULL);
    for (size_t i = 0; i < batch->n_changes && out->len < 400; i++) {
        describe_change(out, batch->changes[i]);
    }
    return g_string_free(out, FALSE);
}
