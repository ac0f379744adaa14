#include "admin/client.h"

#include "config/model.h"
#include "godwitridge_errors.h"

#include <curl/curl.h>
#include <string.h>

struct GwAdminClient_s {
    CURL *curl;
    char *address;
    char *authorization; /* header line, or NULL */
    uint32_t timeout_ms;
};

GwAdminClient *
GwAdminClient_Create(const char *address, const char *token,
                     uint32_t timeout_ms)
{
    GwAdminClient *client = g_new0(GwAdminClient, 1);
    client->curl = curl_easy_init();
    client->address = g_strdup(address);
    client->timeout_ms = timeout_ms;
    if (token != NULL) {
        client->authorization =
            g_strdup_printf("Authorization: Bearer %s", token);
    }
    return client;
}

/* NULL is allowed. */
void
GwAdminClient_Free(GwAdminClient *client)
{
    if (client == NULL) {
        return;
    }
    curl_easy_cleanup(client->curl);
    g_free(client->address);
    g_free(client->authorization);
    g_free(client);
}

/* Appends received bytes; more than GW_CLIENT_BODY_MAX abort the exchange. */
static size_t
append_bytes(char *data, size_t size, size_t count, void *ctx)
{
    GString *out = ctx;
    size_t len = size * count;
    if (out->len + len > GW_CLIENT_BODY_MAX) {
        return 0;
    }
    g_string_append_len(out, data, (gssize)len);
    return len;
}

static struct curl_slist *
header_list(const GwFetchRequest *fetch)
{
    struct curl_slist *list = curl_slist_append(NULL, "Expect:");
    for (size_t i = 0; fetch->headers != NULL && fetch->headers[i] != NULL;
         i++) {
        list = curl_slist_append(list, fetch->headers[i]);
    }
    return list;
}

static void
set_request(CURL *curl, const GwFetchRequest *fetch,
            struct curl_slist *headers)
{
    curl_easy_setopt(curl, CURLOPT_URL, fetch->url);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_PATH_AS_IS, 1L);
    if (strcmp(fetch->method, "GET") == 0) {
        curl_easy_setopt(curl, CURLOPT_HTTPGET, 1L);
        return;
    }
    curl_easy_setopt(curl, CURLOPT_POST, 1L);
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, fetch->method);
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS,
                     fetch->body != NULL ? fetch->body : "");
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, (long)fetch->body_len);
}

/* Uses a new connection for each request: a kept connection may be closed by
 * now, and libcurl would then resend the request on a new connection. */
bool
GwAdminClient_Fetch(GwAdminClient *client, const GwFetchRequest *fetch,
                    GwFetchResponse *out, GError **error)
{
    CURL *curl = client->curl;
    struct curl_slist *headers = header_list(fetch);
    *out = (GwFetchResponse){.body = g_string_new(NULL),
                             .headers = g_string_new(NULL)};
    curl_easy_reset(curl);
    set_request(curl, fetch, headers);
    curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)client->timeout_ms);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_bytes);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, out->body);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, append_bytes);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, out->headers);
    CURLcode rc = curl_easy_perform(curl);
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &out->status);
    curl_slist_free_all(headers);
    if (rc != CURLE_OK) {
        g_set_error(error, GW_ERROR, GW_RESULT_IO, "%s: %s", fetch->url,
                    curl_easy_strerror(rc));
        return false;
    }
    return true;
}

void
GwFetchResponse_Clear(GwFetchResponse *response)
{
    if (response->body != NULL) {
        g_string_free(response->body, TRUE);
        g_string_free(response->headers, TRUE);
    }
    *response = (GwFetchResponse){0};
}

char *
GwFetchResponse_Header(const GwFetchResponse *response, const char *name)
{
    char **lines = g_strsplit(response->headers->str, "\r\n", -1);
    size_t len = strlen(name);
    char *value = NULL;
    for (size_t i = 0; lines[i] != NULL && value == NULL; i++) {
        if (g_ascii_strncasecmp(lines[i], name, len) == 0 &&
            lines[i][len] == ':') {
            value = g_strstrip(g_strdup(lines[i] + len + 1));
        }
    }
    g_strfreev(lines);
    return value;
}

/* Runs an exchange with the admin address; any status but 200 is an error. */
static bool
fetch_admin(GwAdminClient *client, GwFetchRequest fetch, const char *path,
            GwFetchResponse *out, GError **error)
{
    const char *const headers[] = {client->authorization, NULL};
    char *url = g_strdup_printf("http://%s%s", client->address, path);
    fetch.url = url;
    fetch.headers = headers;
    bool is_ok = GwAdminClient_Fetch(client, &fetch, out, error);
    if (is_ok && out->status != 200) {
        is_ok = false;
        g_set_error(error, GW_ERROR,
                    out->status == 401 ? GW_RESULT_DENIED : GW_RESULT_INVALID,
                    "%s: status %ld: %s", url, out->status,
                    g_strchomp(out->body->str));
    }
    g_free(url);
    return is_ok;
}

ProtobufCMessage *
GwAdminClient_Call(GwAdminClient *client, const char *method,
                   const ProtobufCMessage *request,
                   const ProtobufCMessageDescriptor *reply, GError **error)
{
    size_t size = protobuf_c_message_get_packed_size(request);
    uint8_t *packed = g_malloc(size + 1);
    char *path = g_strdup_printf("/rpc/%s", method);
    GwFetchRequest fetch = {
        .method = "POST", .body = packed, .body_len = size};
    GwFetchResponse response = {0};
    ProtobufCMessage *out = NULL;
    protobuf_c_message_pack(request, packed);
    if (fetch_admin(client, fetch, path, &response, error)) {
        out = protobuf_c_message_unpack(reply, NULL, response.body->len,
                                        (const uint8_t *)response.body->str);
        if (out == NULL) {
            g_set_error(error, GW_ERROR, GW_RESULT_CORRUPT,
                        "%s: malformed reply", method);
        }
    }
    GwFetchResponse_Clear(&response);
    g_free(path);
    g_free(packed);
    return out;
}

static char *
fetch_page(GwAdminClient *client, const char *method, const char *path,
           GError **error)
{
    GwFetchRequest fetch = {.method = method};
    GwFetchResponse response = {0};
    char *text = NULL;

    if (fetch_admin(client, fetch, path, &response, error)) {
        text = g_strdup(response.body->str);
    }
    GwFetchResponse_Clear(&response);
    return text;
}

char *
GwAdminClient_Page(GwAdminClient *client, const char *path, GError **error)
{
    return fetch_page(client, "GET", path, error);
}

char *
GwAdminClient_Post(GwAdminClient *client, const char *path, GError **error)
{
    return fetch_page(client, "POST", path, error);
}
