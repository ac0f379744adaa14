/* Field readers for JSON with comments.
 *
 * Every reader takes an object with its path in the document, and on
 * failure sets an error that names the path, the bound and the value. */
#ifndef GW_CONFIG_READER_H
#define GW_CONFIG_READER_H

#include "config/model.h"
#include "godwitridge_errors.h"

#include <json-c/json.h>

#define GW_READ_PATH_MAX 256

typedef struct {
    struct json_object *object;
    char path[GW_READ_PATH_MAX]; /* "" at the root */
} GwReadContext;

typedef struct {
    uint32_t min;
    uint32_t max;
    bool optional; /* if absent, the output is unchanged */
} GwReadBound;

struct json_object *GwRead_Text(const char *text, size_t len, GError **error);
bool GwRead_Fail(const GwReadContext *at, const char *key, GwResultCode code,
                 GError **error, const char *format, ...)
    __attribute__((format(printf, 5, 6)));
bool GwRead_Keys(const GwReadContext *at, const char *const *known,
                 GError **error);
bool GwRead_U32(const GwReadContext *at, const char *key,
                const GwReadBound *bound, uint32_t *out, GError **error);
bool GwRead_Bool(const GwReadContext *at, const char *key, bool *out,
                 GError **error);
bool GwRead_String(const GwReadContext *at, const char *key, size_t size,
                   char *out, GError **error);
bool GwRead_Name(const GwReadContext *at, const char *key,
                 char out[GW_NAME_MAX], GError **error);
bool GwRead_Address(const GwReadContext *at, const char *key,
                    char out[GW_ADDR_MAX], GError **error);
bool GwRead_Array(const GwReadContext *at, const char *key,
                  const GwReadBound *bound, uint32_t *count, GError **error);
bool GwRead_Item(const GwReadContext *at, const char *key, uint32_t i,
                 GwReadContext *out, GError **error);
bool GwName_IsValid(const char *name);
bool GwAddress_IsValid(const char *address);

#endif
