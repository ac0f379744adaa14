/* Members of JSON objects, set in one call. */
#ifndef GW_COMMON_JSON_H
#define GW_COMMON_JSON_H

#include <stdbool.h>
#include <stdint.h>

struct json_object;

void GwJson_SetText(struct json_object *object, const char *key,
                    const char *value);
void GwJson_SetU64(struct json_object *object, const char *key,
                   uint64_t value);
void GwJson_SetBool(struct json_object *object, const char *key, bool value);

#endif
