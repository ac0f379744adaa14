#include "platform/http_internal.h"

#include <curl/curl.h>
#include <pthread.h>
#include <string.h>

#define RESPONSE_MAX     (64u << 20) /* bytes */
#define IDLE_HANDLES_MAX 8

struct GwHttpClient_s {
    char *url;
    uint32_t timeout_ms;
    pthread_mutex_t mutex;
    GPtrArray *idle; /* of CURL * */
};

GwHttpClient *
GwHttpClient_Create(const char *url, uint32_t timeout_ms)
{
    GwHttpClient *client = g_new0(GwHttpClient, 1);
    client->url = g_strdup(url);
    client->timeout_ms = timeout_ms;
    client->idle = g_ptr_array_new_with_free_func(curl_easy_cleanup);
    pthread_mutex_init(&client->mutex, NULL);
    return client;
}

/* All requests must have ended; NULL is allowed. */
void
GwHttpClient_Free(GwHttpClient *client)
{
    if (client == NULL) {
        return;
    }
    g_ptr_array_free(client->idle, TRUE);
    pthread_mutex_destroy(&client->mutex);
    g_free(client->url);
    g_free(client);
}

static CURL *
acquire_handle(GwHttpClient *client)
{
    CURL *easy = NULL;
    pthread_mutex_lock(&client->mutex);
    if (client->idle->len > 0) {
        easy = g_ptr_array_steal_index(client->idle, client->idle->len - 1);
    }
    pthread_mutex_unlock(&client->mutex);
    return easy != NULL ? easy : curl_easy_init();
}

/* Frees a handle whose exchange failed, with its connection: a connection
 * whose peer no longer answers would cost every later request a timeout. */
static void
release_handle(GwHttpClient *client, CURL *easy, bool is_complete)
{
    pthread_mutex_lock(&client->mutex);
    if (is_complete && client->idle->len < IDLE_HANDLES_MAX) {
        g_ptr_array_add(client->idle, easy);
        easy = NULL;
    }
    pthread_mutex_unlock(&client->mutex);
    curl_easy_cleanup(easy);
}

static size_t
append_body(char *bytes, size_t size, size_t count, void *arg)
{
    GString *body = arg;
    size_t len = size * count;
    if (body->len + len > RESPONSE_MAX) {
        return 0;
    }
    g_string_append_len(body, bytes, (gssize)len);
    return len;
}

static void
set_options(const GwHttpClient *client, CURL *easy,
            const GwHttpClientRequest *request, GString *body)
{
    curl_easy_reset(easy);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)client->timeout_ms);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, body);
    /* libcurl resends a request without notice when a reused connection
     * turns out to be closed. A conditional write that took effect the first
     * time would then be reported as a conflict, as if nothing had been
     * written. libcurl never resends on a new connection. */
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, request->is_write ? 1L : 0L);
    if (request->body != NULL) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request->body);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)request->body_len);
    }
}

uint32_t
GwHttpClient_Do(GwHttpClient *client, const GwHttpClientRequest *request,
                GString *body)
{
    CURL *easy = acquire_handle(client);
    struct curl_slist *headers = NULL;
    long status = 0;

    if (easy == NULL) {
        return 0;
    }
    char *url = g_strconcat(client->url, request->path, NULL);
    headers = curl_slist_append(headers, "Expect:");
    headers = curl_slist_append(headers, "Content-Type: application/json");
    if (request->header != NULL) {
        headers = curl_slist_append(headers, request->header);
    }
    set_options(client, easy, request, body);
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    bool is_complete = curl_easy_perform(easy) == CURLE_OK;
    if (is_complete) {
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    }
    release_handle(client, easy, is_complete);
    curl_slist_free_all(headers);
    g_free(url);
    return (uint32_t)status;
}

char *
GwHttp_Escape(const char *text)
{
    return g_uri_escape_string(text, NULL, FALSE);
}
