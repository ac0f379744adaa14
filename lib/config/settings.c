#include "config/settings.h"

#include "config/reader.h"
#include "config/settings_table.h"
#include "common/names.h"

#include <string.h>

#define DELAY_MAX_US 10000000
#define DELAYS_KEY   "test_delays"

static void *
get_field(const GwSettings *s, const GwSettingRow *row)
{
    return (char *)s + row->offset;
}

static void
set_default(GwSettings *s, const GwSettingRow *row)
{
    if (row->type == GW_SETTING_U32) {
        memcpy(get_field(s, row), &row->value, sizeof(row->value));
    }
    else if (row->text != NULL) {
        g_strlcpy(get_field(s, row), row->text, row->size);
    }
}

/* Reads a 64-bit number. Only 63 bits are allowed: JSON libraries handle no
 * more reliably. */
static bool
read_u64(const GwReadContext *at, const GwSettingRow *row, uint64_t *out,
         GError **error)
{
    struct json_object *value = json_object_object_get(at->object, row->key);
    if (!json_object_is_type(value, json_type_int)) {
        return GwRead_Fail(at, row->key, GW_RESULT_WRONG_TYPE, error,
                           "must be a whole number");
    }
    int64_t number = json_object_get_int64(value);
    if (number < 0) {
        return GwRead_Fail(at, row->key, GW_RESULT_OUT_OF_BOUNDS, error,
                           "%" PRId64 " is below 0", number);
    }
    *out = (uint64_t)number;
    return true;
}

static bool
read_level(const GwReadContext *at, const GwSettingRow *row, char *out,
           GError **error)
{
    if (!GwRead_String(at, row->key, row->size, out, error)) {
        return false;
    }
    return strcmp(out, "error") == 0 || strcmp(out, "warn") == 0 ||
           strcmp(out, "info") == 0 ||
           GwRead_Fail(at, row->key, GW_RESULT_INVALID, error,
                       "\"%s\" is not error, warn or info", out);
}

static bool
read_text(const GwReadContext *at, const GwSettingRow *row, char *out,
          GError **error)
{
    if (!GwRead_String(at, row->key, row->size, out, error)) {
        return false;
    }
    return out[0] != '\0' || GwRead_Fail(at, row->key, GW_RESULT_INVALID,
                                         error, "must not be empty");
}

/* Reads one key of the table into its field. An absent key keeps its
 * default, or is an error if it has none. */
static bool
read_row(GwSettings *s, const GwReadContext *at, const GwSettingRow *row,
         GError **error)
{
    bool absent = !json_object_object_get_ex(at->object, row->key, NULL);
    bool has_default = row->text != NULL || row->type == GW_SETTING_U32 ||
                       row->type == GW_SETTING_U64;
    if (absent && has_default) {
        return true;
    }
    switch (row->type) {
    case GW_SETTING_U32:
        return GwRead_U32(at, row->key,
                          &(GwReadBound){.min = row->min, .max = row->max},
                          get_field(s, row), error);
    case GW_SETTING_U64:
        return read_u64(at, row, get_field(s, row), error);
    case GW_SETTING_NAME:
        return GwRead_Name(at, row->key, get_field(s, row), error);
    case GW_SETTING_ADDRESS:
        return GwRead_Address(at, row->key, get_field(s, row), error);
    case GW_SETTING_TEXT:
        return read_text(at, row, get_field(s, row), error);
    case GW_SETTING_LEVEL:
        return read_level(at, row, get_field(s, row), error);
    }
    return false;
}

/* Rejects keys that are neither in the table nor test_delays. */
static bool
check_keys(const GwReadContext *at, GError **error)
{
    uint32_t count = 0;
    const GwSettingRow *rows = GwSettings_Rows(&count);
    const char **known = g_new0(const char *, count + 2);
    for (uint32_t i = 0; i < count; i++) {
        known[i] = rows[i].key;
    }
    known[count] = DELAYS_KEY;
    bool is_valid = GwRead_Keys(at, known, error);
    g_free(known);
    return is_valid;
}

/* Reads the test hook: a map of region names ("" for other failure domains of
 * this region) to one-way delays in microseconds. */
static bool
read_delays(GwSettings *s, const GwReadContext *root, GError **error)
{
    GwReadContext at = {.path = DELAYS_KEY};
    if (!json_object_object_get_ex(root->object, DELAYS_KEY, &at.object)) {
        return true;
    }
    if (!json_object_is_type(at.object, json_type_object)) {
        return GwRead_Fail(root, DELAYS_KEY, GW_RESULT_WRONG_TYPE, error,
                           "must be an object");
    }
    json_object_object_foreach(at.object, region, value)
    {
        (void)value;
        if (s->delay_count == GW_MAX_REGIONS) {
            return GwRead_Fail(root, DELAYS_KEY, GW_RESULT_OUT_OF_BOUNDS,
                               error, "more than %u regions", GW_MAX_REGIONS);
        }
        if (region[0] != '\0' && !GwName_IsValid(region)) {
            return GwRead_Fail(&at, region, GW_RESULT_INVALID, error,
                               "not a valid region name");
        }
        uint32_t i = s->delay_count++;
        g_strlcpy(s->delays[i].region, region, GW_NAME_MAX);
        if (!GwRead_U32(&at, region, &(GwReadBound){.max = DELAY_MAX_US},
                        &s->delays[i].one_way_us, error)) {
            return false;
        }
    }
    return true;
}

/* Checks rules between keys that the decision code relies on: a loan must
 * leave time to be used, and a paused holder must fence itself before its
 * seat can be claimed. */
static bool
check_related(const GwSettings *s, const GwReadContext *at, GError **error)
{
    const GwNodeParams *p = &s->node;
    if (p->probe_timeout_ms >= p->probe_period_ms) {
        return GwRead_Fail(at, "probe_timeout_ms", GW_RESULT_OUT_OF_BOUNDS,
                           error, "%u is not below probe_period_ms %u",
                           p->probe_timeout_ms, p->probe_period_ms);
    }
    if (2 * p->loan_margin_ms >= p->loan_term_ms) {
        return GwRead_Fail(at, "loan_margin_ms", GW_RESULT_OUT_OF_BOUNDS,
                           error, "%u is not below half of loan_term_ms %u",
                           p->loan_margin_ms, p->loan_term_ms);
    }
    if (p->fence_ms >= p->seat_holdoff_ms) {
        return GwRead_Fail(at, "fence_ms", GW_RESULT_OUT_OF_BOUNDS, error,
                           "%u is not below seat_holdoff_ms %u", p->fence_ms,
                           p->seat_holdoff_ms);
    }
    /* A lent unit may be in use until term and margin are over; the lender's
     * seat must not have a new holder before that. */
    if (p->fence_ms + p->loan_term_ms + p->loan_margin_ms >=
        p->seat_holdoff_ms) {
        return GwRead_Fail(at, "seat_holdoff_ms", GW_RESULT_OUT_OF_BOUNDS,
                           error,
                           "%u is not above fence_ms, loan_term_ms and "
                           "loan_margin_ms together",
                           p->seat_holdoff_ms);
    }
    return p->ticket_retention_ms >= p->ticket_valid_ms ||
           GwRead_Fail(at, "ticket_retention_ms", GW_RESULT_OUT_OF_BOUNDS,
                       error, "%u is below ticket_valid_ms %u",
                       p->ticket_retention_ms, p->ticket_valid_ms);
}

static bool
read_settings(GwSettings *s, const GwReadContext *root, GError **error)
{
    uint32_t count = 0;
    const GwSettingRow *rows = GwSettings_Rows(&count);
    if (!check_keys(root, error)) {
        return false;
    }
    for (uint32_t i = 0; i < count; i++) {
        set_default(s, &rows[i]);
        if (!read_row(s, root, &rows[i], error)) {
            return false;
        }
    }
    if (!g_str_has_prefix(s->platform_url, "http://")) {
        return GwRead_Fail(root, "platform_url", GW_RESULT_INVALID, error,
                           "\"%s\" does not begin with http://",
                           s->platform_url);
    }
    return read_delays(s, root, error) && check_related(s, root, error);
}

/* Returns NULL if any setting is invalid. The nonce of the start,
 * node.id.start, is left to be set. */
GwSettings *
GwSettings_Parse(const char *text, size_t len, GError **error)
{
    GwReadContext root = {.object = GwRead_Text(text, len, error)};
    if (root.object == NULL) {
        return NULL;
    }
    GwSettings *s = g_new0(GwSettings, 1);
    bool is_valid = read_settings(s, &root, error);
    json_object_put(root.object);
    if (!is_valid) {
        GwSettings_Free(s);
        return NULL;
    }
    s->node.id.node = GwName_Hash64(s->node.name);
    return s;
}

/* Reads settings from a file; `error` begins with its path. */
GwSettings *
GwSettings_Load(const char *path, GError **error)
{
    char *text = NULL;
    gsize len = 0;
    GError *cause = NULL;
    if (!g_file_get_contents(path, &text, &len, &cause)) {
        g_set_error(error, GW_ERROR, GW_RESULT_IO, "%s", cause->message);
        g_error_free(cause);
        return NULL;
    }
    GwSettings *s = GwSettings_Parse(text, len, error);
    g_free(text);
    if (s == NULL) {
        g_prefix_error(error, "%s: ", path);
    }
    return s;
}

void
GwSettings_Free(GwSettings *s)
{
    g_free(s);
}

static struct json_object *
row_to_json(const GwSettings *s, const GwSettingRow *row)
{
    uint32_t small = 0;
    uint64_t large = 0;
    switch (row->type) {
    case GW_SETTING_U32:
        memcpy(&small, get_field(s, row), sizeof(small));
        return json_object_new_int64(small);
    case GW_SETTING_U64:
        memcpy(&large, get_field(s, row), sizeof(large));
        return json_object_new_int64((int64_t)large);
    case GW_SETTING_NAME:
    case GW_SETTING_ADDRESS:
    case GW_SETTING_TEXT:
    case GW_SETTING_LEVEL:
        return json_object_new_string(get_field(s, row));
    }
    return NULL;
}

/* Prints every key with the value in force; the text can be loaded again.
 * It contains no secrets, since tokens and keys are in files of their own. */
char *
GwSettings_Print(const GwSettings *s)
{
    uint32_t count = 0;
    const GwSettingRow *rows = GwSettings_Rows(&count);
    struct json_object *root = json_object_new_object();
    for (uint32_t i = 0; i < count; i++) {
        json_object_object_add(root, rows[i].key, row_to_json(s, &rows[i]));
    }
    struct json_object *delays = json_object_new_object();
    for (uint32_t i = 0; i < s->delay_count; i++) {
        json_object_object_add(delays, s->delays[i].region,
                               json_object_new_int64(s->delays[i].one_way_us));
    }
    json_object_object_add(root, DELAYS_KEY, delays);
    char *text = g_strdup(json_object_to_json_string_ext(
        root, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_NOSLASHESCAPE));
    json_object_put(root);
    return text;
}
