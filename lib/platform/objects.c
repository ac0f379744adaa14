#include "platform/objects.h"

#include "platform/http_internal.h"

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

/* Requests must have ended; NULL is allowed. */
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

/* Never overwrites: two writers of one name have one winner. */
GwResult
GwObjectClient_Put(GwObjectClient *client, const char *name, const char *data,
                   uint32_t len)
{
    char *path = object_path(name);
    GString *body = g_string_new(NULL);
    GwHttpAsk ask = {
        .method = "PUT",
        .path = path,
        .header = "If-None-Match: *",
        .body = data,
        .body_len = len,
        .once = true,
    };
    uint32_t status = GwHttpClient_Do(client->http, &ask, body);
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
    GwHttpAsk ask = {.method = "GET", .path = path};
    uint32_t status = GwHttpClient_Do(client->http, &ask, body);
    g_free(path);
    if (status != 200) {
        g_string_free(body, TRUE);
        return status == 404 ? GW_ERR(NOT_FOUND) : GW_ERR(STORE_AWAY);
    }
    GwResult r = (GwResult)body->len;
    *data = g_string_free(body, FALSE);
    return r;
}
