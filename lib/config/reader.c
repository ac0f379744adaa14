#include "config/reader.h"

#include <arpa/inet.h>
#include <stdarg.h>
#include <string.h>

#define MAX_DEPTH 16

/* Returns the domain of every GError of the library; codes are
 * GwResultCode. */
GQuark
GwError_Quark(void)
{
    return g_quark_from_static_string("godwitridge");
}

/* Returns the first byte after white space and comments. */
static const char *
skip_blank(const char *p, const char *end)
{
    while (p < end) {
        size_t left = (size_t)(end - p);
        if (strchr(" \t\r\n", *p) != NULL) {
            p++;
        }
        else if (left >= 2 && p[0] == '/' && p[1] == '/') {
            const char *line = memchr(p, '\n', left);
            p = line == NULL ? end : line + 1;
        }
        else if (left >= 4 && p[0] == '/' && p[1] == '*') {
            const char *close = memmem(p + 2, left - 2, "*/", 2);
            if (close == NULL) {
                return p;
            }
            p = close + 2;
        }
        else {
            return p;
        }
    }
    return end;
}

static uint32_t
line_at(const char *text, size_t offset)
{
    uint32_t line = 1;
    for (size_t i = 0; i < offset; i++) {
        line += text[i] == '\n';
    }
    return line;
}

/* Runs the tokener once over the whole text. The appended newline ends a
 * final line comment, which the tokener would otherwise wait for. `end` is
 * the offset of the end of the object or of the error. */
static struct json_object *
tokenize(const char *text, size_t len, size_t *end,
         enum json_tokener_error *tokener_error)
{
    struct json_tokener *tok = json_tokener_new_ex(MAX_DEPTH);
    if (tok == NULL) {
        *tokener_error = json_tokener_error_size;
        return NULL;
    }
    char *line = g_malloc(len + 2);
    memcpy(line, text, len);
    memcpy(line + len, "\n", 2);
    json_tokener_set_flags(tok, JSON_TOKENER_VALIDATE_UTF8);
    struct json_object *root =
        json_tokener_parse_ex(tok, line, (int)(len + 1));
    *tokener_error = json_tokener_get_error(tok);
    *end = MIN(json_tokener_get_parse_end(tok), len);
    json_tokener_free(tok);
    g_free(line);
    return root;
}

/* Returns the fault of the text as a whole, or NULL; `at` is the offset. */
static const char *
find_fault(const char *text, size_t len, struct json_object *root,
           enum json_tokener_error tokener_error, size_t *at)
{
    if (tokener_error == json_tokener_continue) {
        return "unexpected end of text";
    }
    if (tokener_error != json_tokener_success) {
        return json_tokener_error_desc(tokener_error);
    }
    if (!json_object_is_type(root, json_type_object)) {
        *at = 0;
        return "the text is not an object";
    }
    const char *rest = skip_blank(text + *at, text + len);
    *at = (size_t)(rest - text);
    return *at == len ? NULL : "text after the object";
}

/* Parses a text that consists of one JSON object, with comments allowed.
 * Otherwise returns NULL with the line in `error`, also for text after the
 * object, which the tokener alone would ignore. */
struct json_object *
GwRead_Text(const char *text, size_t len, GError **error)
{
    enum json_tokener_error tokener_error = json_tokener_success;
    size_t at = 0;
    const char *nul = memchr(text, '\0', len);
    if (nul != NULL) {
        g_set_error(error, GW_ERROR, GW_RESULT_PARSE,
                    "line %u: a NUL byte in the text",
                    line_at(text, (size_t)(nul - text)));
        return NULL;
    }
    struct json_object *root = tokenize(text, len, &at, &tokener_error);
    const char *fault = find_fault(text, len, root, tokener_error, &at);
    if (fault != NULL) {
        g_set_error(error, GW_ERROR, GW_RESULT_PARSE, "line %u: %s",
                    line_at(text, at), fault);
        json_object_put(root);
        return NULL;
    }
    return root;
}

/* Sets an error "path.key: message" and returns false. */
bool
GwRead_Fail(const GwReadContext *at, const char *key, GwResultCode code,
            GError **error, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    char *message = g_strdup_vprintf(format, args);
    va_end(args);
    g_set_error(error, GW_ERROR, (int)code, "%s%s%s: %s", at->path,
                at->path[0] != '\0' && key[0] != '\0' ? "." : "", key,
                message);
    g_free(message);
    return false;
}

/* Rejects a key that is not in the NULL-terminated list: otherwise a
 * misspelt key would silently leave its default in force. */
bool
GwRead_Keys(const GwReadContext *at, const char *const *known, GError **error)
{
    json_object_object_foreach(at->object, key, value)
    {
        (void)value;
        bool found = false;
        for (uint32_t i = 0; known[i] != NULL && !found; i++) {
            found = strcmp(known[i], key) == 0;
        }
        if (!found) {
            return GwRead_Fail(at, key, GW_RESULT_UNKNOWN_KEY, error,
                               "unknown key");
        }
    }
    return true;
}

/* Finds a member of the given type. If it is absent, *out is NULL, which is
 * an error unless `optional`. */
static bool
find_typed(const GwReadContext *at, const char *key, enum json_type type,
           bool optional, struct json_object **out, GError **error)
{
    *out = NULL;
    if (!json_object_object_get_ex(at->object, key, out)) {
        return optional || GwRead_Fail(at, key, GW_RESULT_INVALID, error,
                                       "missing, must be given");
    }
    if (!json_object_is_type(*out, type)) {
        char *text = g_strndup(json_object_to_json_string(*out), 60);
        GwRead_Fail(at, key, GW_RESULT_WRONG_TYPE, error,
                    "%s is of type %s, must be %s", text,
                    json_type_to_name(json_object_get_type(*out)),
                    json_type_to_name(type));
        g_free(text);
        return false;
    }
    return true;
}

/* Reads an integer within its bounds, both ends included. */
bool
GwRead_U32(const GwReadContext *at, const char *key, const GwReadBound *bound,
           uint32_t *out, GError **error)
{
    struct json_object *value = NULL;
    if (!find_typed(at, key, json_type_int, bound->optional, &value, error)) {
        return false;
    }
    if (value == NULL) {
        return true;
    }
    int64_t number = json_object_get_int64(value);
    if (number < bound->min) {
        return GwRead_Fail(at, key, GW_RESULT_OUT_OF_BOUNDS, error,
                           "%" PRId64 " is below %u", number, bound->min);
    }
    if (number > bound->max) {
        return GwRead_Fail(at, key, GW_RESULT_OUT_OF_BOUNDS, error,
                           "%" PRId64 " is above %u", number, bound->max);
    }
    *out = (uint32_t)number;
    return true;
}

/* Reads an optional boolean; if absent, *out is unchanged. */
bool
GwRead_Bool(const GwReadContext *at, const char *key, bool *out,
            GError **error)
{
    struct json_object *value = NULL;
    if (!find_typed(at, key, json_type_boolean, true, &value, error)) {
        return false;
    }
    if (value != NULL) {
        *out = json_object_get_boolean(value);
    }
    return true;
}

/* Reads a required string of at most size - 1 bytes into `out`. An embedded
 * NUL escape is rejected: the rest would be silently dropped. */
bool
GwRead_String(const GwReadContext *at, const char *key, size_t size, char *out,
              GError **error)
{
    struct json_object *value = NULL;
    if (!find_typed(at, key, json_type_string, false, &value, error)) {
        return false;
    }
    const char *text = json_object_get_string(value);
    size_t len = (size_t)json_object_get_string_len(value);
    if (len >= size) {
        return GwRead_Fail(at, key, GW_RESULT_OUT_OF_BOUNDS, error,
                           "%zu bytes long, at most %zu", len, size - 1);
    }
    if (strlen(text) != len) {
        return GwRead_Fail(at, key, GW_RESULT_INVALID, error,
                           "holds a NUL character");
    }
    memcpy(out, text, len + 1);
    return true;
}

/* Returns whether `name` is valid. Names become part of row keys, paths and
 * metrics, so they consist of a-z, 0-9, '-', '_' and '.', and begin with a
 * letter or digit. */
bool
GwName_IsValid(const char *name)
{
    size_t len = strlen(name);
    if (len == 0 || len >= GW_NAME_MAX || !g_ascii_isalnum(name[0])) {
        return false;
    }
    for (size_t i = 0; i < len; i++) {
        if (!g_ascii_islower(name[i]) && !g_ascii_isdigit(name[i]) &&
            strchr("-_.", name[i]) == NULL) {
            return false;
        }
    }
    return true;
}

/* Reads a required name. */
bool
GwRead_Name(const GwReadContext *at, const char *key, char out[GW_NAME_MAX],
            GError **error)
{
    if (!GwRead_String(at, key, GW_NAME_MAX, out, error)) {
        return false;
    }
    return GwName_IsValid(out) ||
           GwRead_Fail(at, key, GW_RESULT_INVALID, error,
                       "\"%s\" is not a valid name: only a-z 0-9 - _ .", out);
}

/* Returns whether the text is "a.b.c.d:port" or "[v6]:port", port 1 to
 * 65535. Host names are rejected: instances connect by IP address. */
bool
GwAddress_IsValid(const char *address)
{
    char host[GW_ADDR_MAX];
    struct in6_addr parsed;
    const char *colon = strrchr(address, ':');
    if (colon == NULL || strlen(address) >= sizeof(host)) {
        return false;
    }
    uint64_t port = 0;
    if (!g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &port, NULL)) {
        return false;
    }
    size_t len = (size_t)(colon - address);
    memcpy(host, address, len);
    host[len] = '\0';
    if (len > 2 && host[0] == '[' && host[len - 1] == ']') {
        host[len - 1] = '\0';
        return inet_pton(AF_INET6, host + 1, &parsed) == 1;
    }
    return inet_pton(AF_INET, host, &parsed) == 1;
}

/* Reads a required ip:port. */
bool
GwRead_Address(const GwReadContext *at, const char *key, char out[GW_ADDR_MAX],
               GError **error)
{
    if (!GwRead_String(at, key, GW_ADDR_MAX, out, error)) {
        return false;
    }
    return GwAddress_IsValid(out) ||
           GwRead_Fail(at, key, GW_RESULT_INVALID, error,
                       "\"%s\" is not ip:port", out);
}

/* Reads the length of an array within its bounds; 0 if optional and absent. */
bool
GwRead_Array(const GwReadContext *at, const char *key,
             const GwReadBound *bound, uint32_t *count, GError **error)
{
    struct json_object *value = NULL;
    *count = 0;
    if (!find_typed(at, key, json_type_array, bound->optional, &value,
                    error)) {
        return false;
    }
    if (value == NULL) {
        return true;
    }
    size_t len = json_object_array_length(value);
    if (len < bound->min) {
        return GwRead_Fail(at, key, GW_RESULT_OUT_OF_BOUNDS, error,
                           "%zu items are below %u", len, bound->min);
    }
    if (len > bound->max) {
        return GwRead_Fail(at, key, GW_RESULT_OUT_OF_BOUNDS, error,
                           "%zu items are above %u", len, bound->max);
    }
    *count = (uint32_t)len;
    return true;
}

/* Sets `out` to item `i` of an array member; the item must be an object. */
bool
GwRead_Item(const GwReadContext *at, const char *key, uint32_t i,
            GwReadContext *out, GError **error)
{
    struct json_object *array = json_object_object_get(at->object, key);
    out->object = json_object_array_get_idx(array, i);
    g_snprintf(out->path, sizeof(out->path), "%s%s%s[%u]", at->path,
               at->path[0] != '\0' ? "." : "", key, i);
    return json_object_is_type(out->object, json_type_object) ||
           GwRead_Fail(out, "", GW_RESULT_WRONG_TYPE, error,
                       "must be an object");
}
