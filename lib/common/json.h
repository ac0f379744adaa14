/* Helpers that set or read one member of a JSON object. */
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

/* The member as text, "" when absent; valid until the object changes or is
 * freed. */
const char *GwJson_GetText(struct json_object *object, const char *key);
/* The member as an integer, 0 when absent. */
int64_t GwJson_GetInt64(struct json_object *object, const char *key);

#endif
