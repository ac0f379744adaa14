/* One attempt at a backend server, and its outcome. */
#include "runtime/dispatch_internal.h"
#include "runtime/net_internal.h"

#include <string.h>

#define POLL_MAX_MS 1000

GwAbort *
GwAbort_Create(void)
{
    GwAbort *abort = g_new0(GwAbort, 1);
    abort->refs = 1;
    pthread_mutex_init(&abort->mutex, NULL);
    return abort;
}

GwAbort *
GwAbort_Ref(GwAbort *abort)
{
    g_atomic_int_inc(&abort->refs);
    return abort;
}

void
GwAbort_Unref(GwAbort *abort)
{
    if (g_atomic_int_dec_and_test(&abort->refs)) {
        pthread_mutex_destroy(&abort->mutex);
        g_free(abort);
    }
}

void
GwAbort_Trigger(GwAbort *abort)
{
    pthread_mutex_lock(&abort->mutex);
    abort->triggered = true;
    if (abort->multi != NULL) {
        curl_multi_wakeup(abort->multi);
    }
    pthread_mutex_unlock(&abort->mutex);
}

/* Sets the multi handle that GwAbort_Trigger wakes; NULL for none. */
static void
set_multi(GwAbort *abort, CURLM *multi)
{
    pthread_mutex_lock(&abort->mutex);
    abort->multi = multi;
    pthread_mutex_unlock(&abort->mutex);
}

static bool
is_aborted(GwAbort *abort)
{
    pthread_mutex_lock(&abort->mutex);
    bool triggered = abort->triggered;
    pthread_mutex_unlock(&abort->mutex);
    return triggered;
}

/* The part of the response received so far. */
typedef struct {
    GString *body;
    bool is_too_large;
    bool is_head_complete; /* the empty line after the headers arrived */
    bool has_framing;      /* a truncated body can be detected */
    bool is_refusal;
    bool draining;
    bool has_load;
    uint32_t load;
    uint32_t retry_after_ms;
    char content_type[GW_CONTENT_TYPE_MAX];
} Response;

static size_t
append_body(char *bytes, size_t size, size_t count, void *arg)
{
    Response *response = arg;
    size_t len = size * count;
    if (response->body->len + len > GW_BODY_MAX) {
        response->is_too_large = true;
        return 0;
    }
    g_string_append_len(response->body, bytes, (gssize)len);
    return len;
}

/* Returns the value if the line is the named header, else NULL. */
static const char *
header_value(const char *line, const char *name)
{
    size_t len = strlen(name);
    if (g_ascii_strncasecmp(line, name, len) != 0 || line[len] != ':') {
        return NULL;
    }
    const char *value = line + len + 1;
    return value + strspn(value, " \t");
}

static void
parse_header_line(Response *response, const char *line)
{
    const char *value;

    if (header_value(line, "Content-Length") != NULL) {
        response->has_framing = true;
    }
    else if ((value = header_value(line, "Transfer-Encoding")) != NULL) {
        response->has_framing |= g_ascii_strncasecmp(value, "chunked", 7) == 0;
    }
    else if ((value = header_value(line, "Content-Type")) != NULL) {
        g_strlcpy(response->content_type, value, GW_CONTENT_TYPE_MAX);
    }
    else if ((value = header_value(line, "GW-Refused")) != NULL) {
        response->is_refusal = strcmp(value, "not-run") == 0;
    }
    else if ((value = header_value(line, "GW-Draining")) != NULL) {
        response->draining = strcmp(value, "1") == 0;
    }
    else if ((value = header_value(line, "GW-Load")) != NULL) {
        uint64_t load = g_ascii_strtoull(value, NULL, 10);
        response->has_load = g_ascii_isdigit(value[0]);
        response->load = (uint32_t)MIN(load, UINT32_MAX);
    }
    else if ((value = header_value(line, "GW-Retry-After-Ms")) != NULL) {
        uint64_t ms = g_ascii_strtoull(value, NULL, 10);
        response->retry_after_ms = (uint32_t)MIN(ms, GW_DEADLINE_MAX_MS);
    }
}

/* A status line discards earlier headers: those of a 100 response do not
 * belong to the final answer. */
static size_t
on_header(char *bytes, size_t size, size_t count, void *arg)
{
    Response *response = arg;
    size_t len = size * count;
    char line[512];

    if (len >= 5 && memcmp(bytes, "HTTP/", 5) == 0) {
        GString *body = response->body;
        *response = (Response){.body = body};
        return len;
    }
    if (len <= 2 && (bytes[0] == '\r' || bytes[0] == '\n')) {
        response->is_head_complete = true;
        return len;
    }
    size_t copy = MIN(len, sizeof(line) - 1);
    memcpy(line, bytes, copy);
    line[copy] = '\0';
    g_strchomp(line);
    parse_header_line(response, line);
    return len;
}

static struct curl_slist *
create_request_headers(const GwDispatchRequest *request, int64_t now_us)
{
    struct curl_slist *headers = NULL;
    int64_t left_ms = MAX((request->deadline_us - now_us) / 1000, 1);
    char line[GW_CONTENT_TYPE_MAX + 64];

    headers = curl_slist_append(headers, "Expect:");
    headers = curl_slist_append(headers, "Accept:");
    if (request->content_type != NULL && request->content_type[0] != '\0') {
        g_snprintf(line, sizeof(line), "Content-Type: %s",
                   request->content_type);
    }
    else {
        g_strlcpy(line, "Content-Type:", sizeof(line));
    }
    headers = curl_slist_append(headers, line);
    g_snprintf(line, sizeof(line), "GW-Deadline-Ms: %" G_GINT64_FORMAT,
               left_ms);
    headers = curl_slist_append(headers, line);
    g_snprintf(line, sizeof(line), "GW-Request-Id: %s", request->request_id);
    return curl_slist_append(headers, line);
}

static void
set_method(CURL *easy, const GwDispatchRequest *request)
{
    bool plain_get =
        strcmp(request->method, "GET") == 0 && request->body_len == 0;
    bool head = strcmp(request->method, "HEAD") == 0;

    curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
    curl_easy_setopt(easy, CURLOPT_NOBODY, head ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, NULL);
    if (plain_get || head) {
        return;
    }
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
                     request->body_len > 0 ? (const char *)request->body : "");
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)request->body_len);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
}

static void
set_options(PoolConnection *connection, const GwDispatchRequest *request,
            Response *response, int64_t now_us)
{
    CURL *easy = connection->easy;
    int64_t left_ms = MAX((request->give_up_us - now_us + 999) / 1000, 1);

    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, request->target);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)left_ms);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, (long)left_ms);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT,
                     connection->reused ? 0L : 1L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, response);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, response);
    set_method(easy, request);
}

/* Runs the transfer until it ends or is aborted. */
static CURLcode
run_transfer(PoolConnection *connection, GwAbort *abort, bool *aborted)
{
    int running = 1;

    while (running > 0) {
        if (is_aborted(abort)) {
            *aborted = true;
            return CURLE_ABORTED_BY_CALLBACK;
        }
        if (curl_multi_perform(connection->multi, &running) != CURLM_OK) {
            return CURLE_FAILED_INIT;
        }
        if (running > 0) {
            curl_multi_poll(connection->multi, NULL, 0, POLL_MAX_MS, NULL);
        }
    }
    int messages_left = 0;
    const CURLMsg *msg =
        curl_multi_info_read(connection->multi, &messages_left);
    return msg != NULL && msg->msg == CURLMSG_DONE ? msg->data.result
                                                   : CURLE_FAILED_INIT;
}

/* True when no byte of the request was sent: libcurl counts the bytes written
 * on all connections of the transfer. A socket refused on a reused connection
 * means that libcurl started to resend the request; the count then does not
 * show whether the server received the request. */
static bool
is_nothing_sent(const PoolConnection *connection)
{
    long written = -1;
    if (connection->socket_refused) {
        return false;
    }
    curl_easy_getinfo(connection->easy, CURLINFO_REQUEST_SIZE, &written);
    return written == 0;
}

/* A body delimited only by the end of the connection may be truncated, so it
 * does not count as complete. */
static bool
is_complete(const PoolConnection *connection, const GwDispatchRequest *request,
            const Response *response)
{
    long status = 0;
    curl_easy_getinfo(connection->easy, CURLINFO_RESPONSE_CODE, &status);
    if (!response->is_head_complete || response->is_too_large ||
        status < 200 || status > 599) {
        return false;
    }
    return response->has_framing || status == 204 || status == 304 ||
           strcmp(request->method, "HEAD") == 0;
}

static void
set_complete_result(const PoolConnection *connection, Response *response,
                    GwDispatchResult *result)
{
    long status = 0;
    curl_easy_getinfo(connection->easy, CURLINFO_RESPONSE_CODE, &status);
    result->draining = response->draining;
    result->has_load = response->has_load;
    result->reported_load = response->load;
    if (status == 503 && response->is_refusal) {
        result->outcome = GW_OUTCOME_NOT_RUN;
        result->reason =
            response->draining ? GW_REASON_DRAINING : GW_REASON_SHED;
        result->retry_after_ms = response->retry_after_ms;
        return;
    }
    result->outcome = GW_OUTCOME_ANSWERED;
    result->reason = GW_REASON_NONE;
    result->answer =
        GwAnswer_Create((uint32_t)status, response->content_type,
                        g_memdup2(response->body->str, response->body->len),
                        (uint32_t)response->body->len);
}

/* Also for an answer above GW_BODY_MAX: the server ran the request, but the
 * answer can't be delivered, so the outcome is unknown. */
static void
set_failed_result(const PoolConnection *connection, CURLcode rc,
                  GwDispatchResult *result)
{
    if (is_nothing_sent(connection)) {
        result->outcome = GW_OUTCOME_NOT_RUN;
        result->reason = GW_REASON_CONNECT;
        return;
    }
    result->outcome = GW_OUTCOME_UNKNOWN;
    result->reason =
        rc == CURLE_OPERATION_TIMEDOUT ? GW_REASON_SILENT : GW_REASON_BROKEN;
}

static void
run_on_connection(PoolConnection *connection, const GwDispatchRequest *request,
                  GwAbort *abort, GwDispatchResult *result)
{
    int64_t now_us = GwNet_NowUs();
    Response response = {.body = g_string_new(NULL)};
    struct curl_slist *headers = create_request_headers(request, now_us);
    char *url = g_strconcat("http://", request->address, "/", NULL);
    bool aborted = false;

    set_options(connection, request, &response, now_us);
    curl_easy_setopt(connection->easy, CURLOPT_URL, url);
    curl_easy_setopt(connection->easy, CURLOPT_HTTPHEADER, headers);
    curl_multi_add_handle(connection->multi, connection->easy);
    set_multi(abort, connection->multi);
    CURLcode rc = run_transfer(connection, abort, &aborted);
    set_multi(abort, NULL);
    if (rc == CURLE_OK && is_complete(connection, request, &response)) {
        set_complete_result(connection, &response, result);
    }
    else {
        set_failed_result(connection, rc, result);
    }
    curl_multi_remove_handle(connection->multi, connection->easy);
    curl_easy_setopt(connection->easy, CURLOPT_HTTPHEADER, NULL);
    curl_slist_free_all(headers);
    g_free(url);
    g_string_free(response.body, TRUE);
}

/* The connection is kept only after a complete answer. After a late,
 * truncated or cancelled answer, the next request could receive it. */
void
GwDispatch_Run(GwDispatcher *d, const GwDispatchRequest *request,
               GwAbort *abort, GwDispatchResult *result)
{
    *result = (GwDispatchResult){
        .outcome = GW_OUTCOME_NOT_RUN,
        .reason = GW_REASON_DEADLINE,
    };
    int64_t now_us = GwNet_NowUs();
    if (now_us >= request->give_up_us || is_aborted(abort)) {
        return;
    }
    PoolConnection *connection = GwPool_Acquire(d, request, now_us);
    run_on_connection(connection, request, abort, result);
    if (connection->socket_refused) {
        atomic_fetch_add(&d->resends_stopped, 1);
    }
    bool reused = connection->reused;
    bool is_complete_answer = result->answer != NULL ||
                              result->reason == GW_REASON_SHED ||
                              result->reason == GW_REASON_DRAINING;
    connection->last_answer_us = GwNet_NowUs();
    GwPool_Release(d, request->address, connection, is_complete_answer);
    /* A reused connection timed out: a middlebox may have dropped its state
     * for the other idle connections too, and new connections are cheap. */
    if (reused && result->reason == GW_REASON_SILENT) {
        GwPool_CloseIdle(d, request->address);
    }
}
