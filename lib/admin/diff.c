#include "admin/diff.h"

#include "config/reader.h"

#include <string.h>

typedef struct json_object Json;

/* The members that name an item, in the order they are shown. */
static const char *const name_keys[] = {"service", "region", "from", "to",
                                        "method",  "path",   "name"};

/* The name of an item, such as "vatdesk/ogre"; "" when it has none. A
 * backend server's address and the like are no part of it. */
static char *
item_name(Json *item)
{
    GString *out = g_string_new(NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(name_keys); i++) {
        Json *value = NULL;
        if (json_object_object_get_ex(item, name_keys[i], &value)) {
            g_string_append_printf(out, "%s%s", out->len > 0 ? "/" : "",
                                   json_object_get_string(value));
        }
    }
    return g_string_free(out, FALSE);
}

static Json *
find_named(Json *array, const char *name)
{
    size_t count = json_object_array_length(array);
    for (size_t i = 0; i < count; i++) {
        Json *item = json_object_array_get_idx(array, i);
        char *other = item_name(item);
        bool same = strcmp(other, name) == 0;
        g_free(other);
        if (same) {
            return item;
        }
    }
    return NULL;
}

static void diff_value(GString *out, const char *path, Json *old, Json *now);

/* Items of both arrays, paired by name; `removed` says which way to look. */
static void
diff_items(GString *out, const char *path, Json *from, Json *other,
           bool removed)
{
    size_t count = json_object_array_length(from);
    for (size_t i = 0; i < count; i++) {
        Json *item = json_object_array_get_idx(from, i);
        char *name = item_name(item);
        char *at = g_strdup_printf("%s[%s]", path, name);
        Json *pair = find_named(other, name);
        if (removed && pair == NULL) {
            diff_value(out, at, item, NULL);
        }
        else if (!removed) {
            diff_value(out, at, pair, item);
        }
        g_free(at);
        g_free(name);
    }
}

static void
diff_members(GString *out, const char *path, Json *old, Json *now)
{
    json_object_object_foreach(old, key, value)
    {
        char *at = g_strdup_printf("%s%s%s", path, path[0] ? "." : "", key);
        diff_value(out, at, value, json_object_object_get(now, key));
        g_free(at);
    }
    json_object_object_foreach(now, new_key, new_value)
    {
        if (!json_object_object_get_ex(old, new_key, NULL)) {
            char *at =
                g_strdup_printf("%s%s%s", path, path[0] ? "." : "", new_key);
            diff_value(out, at, NULL, new_value);
            g_free(at);
        }
    }
}

static void
diff_value(GString *out, const char *path, Json *old, Json *now)
{
    if (json_object_is_type(old, json_type_object) &&
        json_object_is_type(now, json_type_object)) {
        diff_members(out, path, old, now);
    }
    else if (json_object_is_type(old, json_type_array) &&
             json_object_is_type(now, json_type_array)) {
        diff_items(out, path, old, now, true);
        diff_items(out, path, now, old, false);
    }
    else if (old == NULL) {
        g_string_append_printf(out, "+ %s: %s\n", path,
                               json_object_to_json_string(now));
    }
    else if (now == NULL) {
        g_string_append_printf(out, "- %s: %s\n", path,
                               json_object_to_json_string(old));
    }
    else if (!json_object_equal(old, now)) {
        char *was = g_strdup(json_object_to_json_string(old));
        g_string_append_printf(out, "  %s: %s -> %s\n", path, was,
                               json_object_to_json_string(now));
        g_free(was);
    }
}

char *
GwDiff_Text(const char *old_text, const char *new_text, GError **error)
{
    Json *old = GwRead_Text(old_text, strlen(old_text), error);
    if (old == NULL) {
        return NULL;
    }
    Json *now = GwRead_Text(new_text, strlen(new_text), error);
    if (now == NULL) {
        json_object_put(old);
        return NULL;
    }
    GString *out = g_string_new(NULL);
    diff_value(out, "", old, now);
    json_object_put(old);
    json_object_put(now);
    return g_string_free(out, FALSE);
}
