#include "common/client.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONNECT_TIMEOUT_MS   1000L
#define CONNECTION_CACHE_MAX 12L

void
GsClient_Init(GsClient *c)
{
    pthread_mutex_init(&c->lock, NULL);
    c->idle = g_ptr_array_new_with_free_func(curl_easy_cleanup);
}

void
GsClient_Clear(GsClient *c)
{
    g_ptr_array_free(c->idle, TRUE);
    pthread_mutex_destroy(&c->lock);
}

void
GsReply_Clear(GsReply *reply)
{
    if (reply->body != NULL) {
        g_string_free(reply->body, TRUE);
        reply->body = NULL;
    }
}

static CURL *
acquire_handle(GsClient *c)
{
    CURL *h = NULL;
    pthread_mutex_lock(&c->lock);
    if (c->idle->len > 0) {
        h = g_ptr_array_steal_index(c->idle, c->idle->len - 1);
    }
    pthread_mutex_unlock(&c->lock);
    return h != NULL ? h : curl_easy_init();
}

static void
release_handle(GsClient *c, CURL *h)
{
    curl_easy_reset(h); /* keeps the connections open */
    pthread_mutex_lock(&c->lock);
    g_ptr_array_add(c->idle, h);
    pthread_mutex_unlock(&c->lock);
}

static size_t
on_body(char *data, size_t size, size_t count, void *user)
{
    GsReply *r = user;
    g_string_append_len(r->body, data, (gssize)(size * count));
    return size * count;
}

/* Copies the value of header `name` into `out`. Returns false when `line` is
 * another header. */
static bool
header_value(const char *line, const char *name, char *out, size_t cap)
{
    size_t n = strlen(name);
    if (g_ascii_strncasecmp(line, name, n) != 0 || line[n] != ':') {
        return false;
    }
    g_strlcpy(out, line + n + 1, cap);
    g_strstrip(out);
    return true;
}

static size_t
on_header(char *data, size_t size, size_t count, void *user)
{
    GsReply *r = user;
    char value[24];
    char *line = g_strndup(data, size * count);
    header_value(line, "GW-Outcome", r->outcome, sizeof(r->outcome));
    header_value(line, "GW-Reason", r->reason, sizeof(r->reason));
    if (header_value(line, "GW-Retry-After-Ms", value, sizeof(value))) {
        r->retry_after_ms = (uint32_t)strtoul(value, NULL, 10);
    }
    if (header_value(line, "GW-Refused", value, sizeof(value))) {
        r->refused = strcmp(value, "not-run") == 0;
    }
    g_free(line);
    return size * count;
}

/* Records whether any byte was sent, over all tries of libcurl. libcurl
 * resends on a new connection when a reused one turns out to be closed, and
 * reports only the last error: "connection refused", although the first try
 * may have reached a running server. A caller that took this as "nothing
 * sent" would book twice. */
static int
on_debug(CURL *h, curl_infotype type, char *data, size_t size, void *user)
{
    GsReply *r = user;
    if (type == CURLINFO_HEADER_OUT || type == CURLINFO_DATA_OUT) {
        r->has_sent = true;
    }
    return 0;
}

static struct curl_slist *
add_header(struct curl_slist *list, const char *name, const char *value)
{
    char *line = g_strdup_printf("%s: %s", name, value);
    list = curl_slist_append(list, line);
    g_free(line);
    return list;
}

static struct curl_slist *
make_headers(const GsRequest *q)
{
    char number[24];
    struct curl_slist *list = curl_slist_append(NULL, "Expect:");
    if (q->ticket != NULL) {
        list = add_header(list, "GW-Ticket", q->ticket);
    }
    if (q->key != NULL) {
        list = add_header(list, "GW-Key", q->key);
    }
    if (q->deadline_ms > 0) {
        snprintf(number, sizeof(number), "%lld", (long long)q->deadline_ms);
        list = add_header(list, "GW-Deadline-Ms", number);
    }
    if (q->body != NULL) {
        list = add_header(list, "Content-Type", "application/json");
    }
    return list;
}

static void
prepare(CURL *h, const GsRequest *q, GsReply *r, struct curl_slist *headers,
        const char *url)
{
    curl_easy_setopt(h, CURLOPT_URL, url);
    curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST, q->method);
    curl_easy_setopt(h, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(h, CURLOPT_PROXY, "");
    curl_easy_setopt(h, CURLOPT_TIMEOUT_MS, (long)q->timeout_ms);
    curl_easy_setopt(h, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
    curl_easy_setopt(h, CURLOPT_MAXCONNECTS, CONNECTION_CACHE_MAX);
    curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(h, CURLOPT_WRITEDATA, r);
    curl_easy_setopt(h, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(h, CURLOPT_HEADERDATA, r);
    curl_easy_setopt(h, CURLOPT_VERBOSE, 1L);
    curl_easy_setopt(h, CURLOPT_DEBUGFUNCTION, on_debug);
    curl_easy_setopt(h, CURLOPT_DEBUGDATA, r);
    if (q->body != NULL) {
        curl_easy_setopt(h, CURLOPT_POSTFIELDS, q->body);
        curl_easy_setopt(h, CURLOPT_POSTFIELDSIZE, (long)strlen(q->body));
    }
}

static GsSendResult
classify(const GsReply *r, CURLcode rc)
{
    if (rc == CURLE_OK) {
        return GS_SEND_COMPLETE;
    }
    return r->has_sent ? GS_SEND_INTERRUPTED : GS_SEND_NOTHING_SENT;
}

/* Sends a request and waits for the complete answer. libcurl resends once,
 * with the same ticket, when a reused connection is closed before any byte of
 * the answer. The reply must be cleared whatever the result. */
GsSendResult
GsClient_Send(GsClient *c, const GsRequest *request, GsReply *reply)
{
    *reply = (GsReply){.body = g_string_new(NULL)};
    CURL *h = acquire_handle(c);
    char *url =
        g_strdup_printf("http://%s%s", request->address, request->path);
    struct curl_slist *headers = make_headers(request);
    prepare(h, request, reply, headers, url);
    CURLcode rc = curl_easy_perform(h);
    curl_easy_getinfo(h, CURLINFO_RESPONSE_CODE, &reply->status);
    GsSendResult sent = classify(reply, rc);
    release_handle(c, h);
    curl_slist_free_all(headers);
    g_free(url);
    return sent;
}
