#include "common/answer.h"

#include "common/http.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

static void
hash_text(const char *key, const char *pad, char out[17])
{
    char *both = g_strconcat(key, "|", pad, NULL);
    uint64_t h = XXH64(both, strlen(both), 0);
    snprintf(out, 17, "%016llx", (unsigned long long)h);
    g_free(both);
}

/* Returns an answer body with `pad_len` bytes of padding. Free with
 * g_free. */
char *
GsAnswer_Make(const char *backend, const char *key, uint32_t pad_len)
{
    char hash[17];
    char *pad = g_strnfill(pad_len, 'x');
    hash_text(key, pad, hash);
    struct json_object *o = json_object_new_object();
    json_object_object_add(o, "key", json_object_new_string(key));
    json_object_object_add(o, "backend", json_object_new_string(backend));
    json_object_object_add(o, "hash", json_object_new_string(hash));
    json_object_object_add(o, "pad", json_object_new_string(pad));
    char *text = g_strdup(json_object_to_json_string(o));
    json_object_put(o);
    g_free(pad);
    return text;
}

/* Returns true when `text` is a complete answer to `key`; false for NULL. */
bool
GsAnswer_Check(const char *text, const char *key)
{
    struct json_object *o = text != NULL ? json_tokener_parse(text) : NULL;
    if (!json_object_is_type(o, json_type_object)) {
        json_object_put(o);
        return false;
    }
    char hash[17];
    hash_text(key, GsJson_Text(o, "pad", ""), hash);
    bool good = strcmp(GsJson_Text(o, "key", ""), key) == 0 &&
                strcmp(GsJson_Text(o, "hash", ""), hash) == 0;
    json_object_put(o);
    return good;
}
