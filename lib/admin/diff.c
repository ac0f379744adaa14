#include "admin/diff.h"

#include "config/reader.h"

#include <string.h>

typedef struct json_object Json;

/* Members that form the name of an item, in order. */
static const char *const name_keys[] = {"service", "region", "from", "to",
                                        "method",  "path",   "name"};

/* Returns the name of an item, such as "vatdesk/ogre", for g_free; "" when the
 * item has none of the members. Other members, such as a backend server's
 * address, are not part of the name. */
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

static void diff_value(GString *out, const char *path, Json *old,
                       Json *current);

/* Pairs the items of two arrays by name. With `removed`, reports the items of
 * `from` that `other` lacks, else the new and changed items of `from`. */
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
diff_members(GString *out, const char *path, Json *old, Json *current)
{
    json_object_object_foreach(old, key, value)
    {
        char *at = g_strdup_printf("%s%s%s", path, path[0] ? "." : "", key);
        diff_value(out, at, value, json_object_object_get(current, key));
        g_free(at);
    }
    json_object_object_foreach(current, new_key, new_value)
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
diff_value(GString *out, const char *path, Json *old, Json *current)
{
    if (json_object_is_type(old, json_type_object) &&
        json_object_is_type(current, json_type_object)) {
        diff_members(out, path, old, current);
    }
    else if (json_object_is_type(old, json_type_array) &&
             json_object_is_type(current, json_type_array)) {
        diff_items(out, path, old, current, true);
        diff_items(out, path, current, old, false);
    }
    else if (old == NULL) {
        g_string_append_printf(out, "+ %s: %s\n", path,
                               json_object_to_json_string(current));
    }
    else if (current == NULL) {
        g_string_append_printf(out, "- %s: %s\n", path,
                               json_object_to_json_string(old));
    }
    else if (!json_object_equal(old, current)) {
        char *was = g_strdup(json_object_to_json_string(old));
        g_string_append_printf(out, "  %s: %s -> %s\n", path, was,
                               json_object_to_json_string(current));
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
    Json *current = GwRead_Text(new_text, strlen(new_text), error);
    if (current == NULL) {
        json_object_put(old);
        return NULL;
    }
    GString *out = g_string_new(NULL);
    diff_value(out, "", old, current);
    json_object_put(old);
    json_object_put(current);
    return g_string_free(out, FALSE);
}
