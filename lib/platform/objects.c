#include "platform/objects.h"

#include "platform/http_internal.h"

#include <json-c/json.h>

struct GwObjectClient_s {
    GwHttpClient *http;
};

GwObjectClient *
GwObjectClient_Create(const char *url, uint32_t timeout_ms)
{
    GwObjectClient *client = g_new0(GwObjectClient, 1);
    client->http = GwHttpClient_Create(url, timeout_ms);
    return client;
}

/* All requests must have ended; NULL is allowed. */
void
GwObjectClient_Free(GwObjectClient *client)
{
    if (client == NULL) {
        return;
    }
    GwHttpClient_Free(client->http);
    g_free(client);
}

static char *
object_path(const char *name)
{
    char *escaped = g_uri_escape_string(name, "/", FALSE);
    char *path = g_strconcat("/objects/", escaped, NULL);
    g_free(escaped);
    return path;
}

/* Never overwrites: of several writers of a name at most one succeeds. */
GwResult
GwObjectClient_Put(GwObjectClient *client, const char *name, const char *data,
                   uint32_t len)
{
    char *path = object_path(name);
    GString *body = g_string_new(NULL);
    GwHttpClientRequest request = {
        .method = "PUT",
        .path = path,
        .header = "If-None-Match: *",
        .body = data,
        .body_len = len,
        .is_write = true,
    };
    uint32_t status = GwHttpClient_Do(client->http, &request, body);
    g_string_free(body, TRUE);
    g_free(path);
    if (status == 412) {
        return GW_ERR(CONFLICT);
    }
    return status >= 200 && status < 300 ? 0 : GW_ERR(STORE_AWAY);
}

GwResult
GwObjectClient_Read(GwObjectClient *client, const char *name, char **data)
{
    char *path = object_path(name);
    GString *body = g_string_new(NULL);
    GwHttpClientRequest request = {.method = "GET", .path = path};
    uint32_t status = GwHttpClient_Do(client->http, &request, body);
    g_free(path);
    if (status != 200) {
        g_string_free(body, TRUE);
        return status == 404 ? GW_ERR(NOT_FOUND) : GW_ERR(STORE_AWAY);
    }
    GwResult r = (GwResult)body->len;
    *data = g_string_free(body, FALSE);
    return r;
}

/* Skips rows without a name. */
static GwResult
parse_names(json_object *root, GPtrArray *names)
{
    json_object *rows = NULL;

    if (!json_object_is_type(root, json_type_object) ||
        !json_object_object_get_ex(root, "rows", &rows) ||
        !json_object_is_type(rows, json_type_array)) {
        return GW_ERR(PARSE);
    }
    for (size_t i = 0; i < json_object_array_length(rows); i++) {
        json_object *row = json_object_array_get_idx(rows, i);
        json_object *key = NULL;
        if (json_object_is_type(row, json_type_object) &&
            json_object_object_get_ex(row, "key", &key) &&
            json_object_is_type(key, json_type_string)) {
            g_ptr_array_add(names, g_strdup(json_object_get_string(key)));
        }
    }
    return names->len;
}

GwResult
GwObjectClient_List(GwObjectClient *client, const char *prefix,
                    GPtrArray *names)
{
    char *escaped = GwHttp_Escape(prefix);
    char *path = g_strconcat("/objects?prefix=", escaped, NULL);
    GString *body = g_string_new(NULL);
    GwHttpClientRequest request = {.method = "GET", .path = path};
    GwResult r = GW_ERR(STORE_AWAY);

    if (GwHttpClient_Do(client->http, &request, body) == 200) {
        json_object *root = json_tokener_parse(body->str);
        r = parse_names(root, names);
        json_object_put(root);
    }
    g_string_free(body, TRUE);
    g_free(path);
    g_free(escaped);
    return r;
}
