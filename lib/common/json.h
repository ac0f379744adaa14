/* Members of JSON objects, set and read in one call. */
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

/* A member as text, "" when there is none; valid as long as the object. */
const char *GwJson_Text(struct json_object *object, const char *key);
/* A member as a number, 0 when there is none. */
int64_t GwJson_Number(struct json_object *object, const char *key);

#endif
