#include "common/json.h"

#include <json-c/json.h>

void
GwJson_SetText(struct json_object *object, const char *key, const char *value)
{
    json_object_object_add(object, key, json_object_new_string(value));
}

void
GwJson_SetU64(struct json_object *object, const char *key, uint64_t value)
{
    json_object_object_add(object, key, json_object_new_uint64(value));
}

void
GwJson_SetBool(struct json_object *object, const char *key, bool value)
{
    json_object_object_add(object, key, json_object_new_boolean(value));
}

const char *
GwJson_GetText(struct json_object *object, const char *key)
{
    const char *text =
        json_object_get_string(json_object_object_get(object, key));

    return text != NULL ? text : "";
}

int64_t
GwJson_GetInt64(struct json_object *object, const char *key)
{
    return json_object_get_int64(json_object_object_get(object, key));
}
