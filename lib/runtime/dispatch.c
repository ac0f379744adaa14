/* One attempt at a backend server, and what its end proves. */
#include "runtime/dispatch_internal.h"
#include "runtime/net_internal.h"

#include <string.h>

#define WAIT_MAX_MS 1000

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

/* Names the multi handle that Trigger has to wake, or none. */
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

/* What came back so far. */
typedef struct {
    GString *body;
    bool too_large;
    bool head_whole; /* the empty line after the headers was seen */
    bool framed;     /* the end of the body can be told from a cut */
    bool refused;
    bool draining;
    bool has_load;
    uint32_t load;
    uint32_t retry_after_ms;
    char content_type[GW_TYPE_MAX];
} Received;

static size_t
take_body(char *bytes, size_t size, size_t count, void *arg)
{
    Received *got = arg;
    size_t len = size * count;
    if (got->body->len + len > GW_BODY_MAX) {
        got->too_large = true;
        return 0;
    }
    g_string_append_len(got->body, bytes, (gssize)len);
    return len;
}

/* The value when the line is that header, else NULL. */
static const char *
value_of(const char *line, const char *name)
{
    size_t len = strlen(name);
    if (g_ascii_strncasecmp(line, name, len) != 0 || line[len] != ':') {
        return NULL;
    }
    const char *value = line + len + 1;
    return value + strspn(value, " \t");
}

static void
take_header_line(Received *got, const char *line)
{
    const char *value;

    if (value_of(line, "Content-Length") != NULL) {
        got->framed = true;
    }
    else if ((value = value_of(line, "Transfer-Encoding")) != NULL) {
        got->framed |= g_ascii_strncasecmp(value, "chunked", 7) == 0;
    }
    else if ((value = value_of(line, "Content-Type")) != NULL) {
        g_strlcpy(got->content_type, value, GW_TYPE_MAX);
    }
    else if ((value = value_of(line, "GW-Refused")) != NULL) {
        got->refused = strcmp(value, "not-run") == 0;
    }
    else if ((value = value_of(line, "GW-Draining")) != NULL) {
        got->draining = strcmp(value, "1") == 0;
    }
    else if ((value = value_of(line, "GW-Load")) != NULL) {
        uint64_t load = g_ascii_strtoull(value, NULL, 10);
        got->has_load = g_ascii_isdigit(value[0]);
        got->load = (uint32_t)MIN(load, UINT32_MAX);
    }
    else if ((value = value_of(line, "GW-Retry-After-Ms")) != NULL) {
        uint64_t ms = g_ascii_strtoull(value, NULL, 10);
        got->retry_after_ms = (uint32_t)MIN(ms, GW_DEADLINE_CAP);
    }
}

/* A new status line starts afresh: headers of a 100 response say nothing
 * about the answer. */
static size_t
take_header(char *bytes, size_t size, size_t count, void *arg)
{
    Received *got = arg;
    size_t len = size * count;
    char line[512];

    if (len >= 5 && memcmp(bytes, "HTTP/", 5) == 0) {
        GString *body = got->body;
        *got = (Received){.body = body};
        return len;
    }
    if (len <= 2 && (bytes[0] == '\r' || bytes[0] == '\n')) {
        got->head_whole = true;
        return len;
    }
    size_t copy = MIN(len, sizeof(line) - 1);
    memcpy(line, bytes, copy);
    line[copy] = '\0';
    g_strchomp(line);
    take_header_line(got, line);
    return len;
}

static struct curl_slist *
request_headers(const GwDispatchAsk *ask, int64_t now_us)
{
    struct curl_slist *headers = NULL;
    int64_t left_ms = MAX((ask->deadline_us - now_us) / 1000, 1);
    char line[GW_TYPE_MAX + 64];

    headers = curl_slist_append(headers, "Expect:");
    headers = curl_slist_append(headers, "Accept:");
    if (ask->content_type != NULL && ask->content_type[0] != '\0') {
        g_snprintf(line, sizeof(line), "Content-Type: %s", ask->content_type);
    }
    else {
        g_strlcpy(line, "Content-Type:", sizeof(line));
    }
    headers = curl_slist_append(headers, line);
    g_snprintf(line, sizeof(line), "GW-Deadline-Ms: %" G_GINT64_FORMAT,
               left_ms);
    headers = curl_slist_append(headers, line);
    g_snprintf(line, sizeof(line), "GW-Request-Id: %s", ask->request_id);
    return curl_slist_append(headers, line);
}

static void
set_method(CURL *easy, const GwDispatchAsk *ask)
{
    bool plain_get = strcmp(ask->method, "GET") == 0 && ask->body_len == 0;
    bool head = strcmp(ask->method, "HEAD") == 0;

    curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
    curl_easy_setopt(easy, CURLOPT_NOBODY, head ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, NULL);
    if (plain_get || head) {
        return;
    }
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
                     ask->body_len > 0 ? (const char *)ask->body : "");
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)ask->body_len);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, ask->method);
}

static void
set_options(Slot *slot, const GwDispatchAsk *ask, Received *got,
            int64_t now_us)
{
    CURL *easy = slot->easy;
    int64_t left_ms = MAX((ask->give_up_us - now_us + 999) / 1000, 1);

    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, ask->target);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)left_ms);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, (long)left_ms);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, slot->reused ? 0L : 1L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, take_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, got);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, take_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, got);
    set_method(easy, ask);
}

/* Drives the transfer until it ends or is aborted. */
static CURLcode
perform(Slot *slot, GwAbort *abort, bool *aborted)
{
    int running = 1;

    while (running > 0) {
        if (is_aborted(abort)) {
            *aborted = true;
            return CURLE_ABORTED_BY_CALLBACK;
        }
        if (curl_multi_perform(slot->multi, &running) != CURLM_OK) {
            return CURLE_FAILED_INIT;
        }
        if (running > 0) {
            curl_multi_poll(slot->multi, NULL, 0, WAIT_MAX_MS, NULL);
        }
    }
    int left = 0;
    const CURLMsg *msg = curl_multi_info_read(slot->multi, &left);
    return msg != NULL && msg->msg == CURLMSG_DONE ? msg->data.result
                                                   : CURLE_FAILED_INIT;
}

/* Proof that no byte of the request left: libcurl counts what it wrote, on
 * every connection of the transfer. A socket refused on a reused connection
 * means that libcurl had begun to send the request again; then nothing is
 * proven, whatever the count says. */
static bool
nothing_written(const Slot *slot)
{
    long written = -1;
    if (slot->socket_refused) {
        return false;
    }
    curl_easy_getinfo(slot->easy, CURLINFO_REQUEST_SIZE, &written);
    return written == 0;
}

/* A body that ends with the connection can't be told from one cut short;
 * such an answer does not count as whole. */
static bool
is_whole(const Slot *slot, const GwDispatchAsk *ask, const Received *got)
{
    long status = 0;
    curl_easy_getinfo(slot->easy, CURLINFO_RESPONSE_CODE, &status);
    if (!got->head_whole || got->too_large || status < 200) {
        return false;
    }
    return got->framed || status == 204 || status == 304 ||
           strcmp(ask->method, "HEAD") == 0;
}

static void
end_whole(const Slot *slot, Received *got, GwDispatchEnd *end)
{
    long status = 0;
    curl_easy_getinfo(slot->easy, CURLINFO_RESPONSE_CODE, &status);
    end->draining = got->draining;
    end->has_load = got->has_load;
    end->reported_load = got->load;
    if (status == 503 && got->refused) {
        end->outcome = GW_OUTCOME_NOT_RUN;
        end->reason = got->draining ? GW_REASON_DRAINING : GW_REASON_SHED;
        end->retry_after_ms = got->retry_after_ms;
        return;
    }
    end->outcome = GW_OUTCOME_ANSWERED;
    end->reason = GW_REASON_NONE;
    end->answer = GwAnswer_Create((uint32_t)status, got->content_type,
                                  g_memdup2(got->body->str, got->body->len),
                                  (uint32_t)got->body->len);
}

/* An answer above GW_BODY_MAX came from a server that ran the request, but
 * the caller can't be given it whole: unknown. */
static void
end_broken(const Slot *slot, CURLcode rc, GwDispatchEnd *end)
{
    if (nothing_written(slot)) {
        end->outcome = GW_OUTCOME_NOT_RUN;
        end->reason = GW_REASON_CONNECT;
        return;
    }
    end->outcome = GW_OUTCOME_UNKNOWN;
    end->reason =
        rc == CURLE_OPERATION_TIMEDOUT ? GW_REASON_SILENT : GW_REASON_BROKEN;
}

static void
run_on_slot(Slot *slot, const GwDispatchAsk *ask, GwAbort *abort,
            GwDispatchEnd *end)
{
    int64_t now_us = GwNet_NowUs();
    Received got = {.body = g_string_new(NULL)};
    struct curl_slist *headers = request_headers(ask, now_us);
    char *url = g_strconcat("http://", ask->address, "/", NULL);
    bool aborted = false;

    set_options(slot, ask, &got, now_us);
    curl_easy_setopt(slot->easy, CURLOPT_URL, url);
    curl_easy_setopt(slot->easy, CURLOPT_HTTPHEADER, headers);
    curl_multi_add_handle(slot->multi, slot->easy);
    set_multi(abort, slot->multi);
    CURLcode rc = perform(slot, abort, &aborted);
    set_multi(abort, NULL);
    if (rc == CURLE_OK && is_whole(slot, ask, &got)) {
        end_whole(slot, &got, end);
    }
    else {
        end_broken(slot, rc, end);
    }
    curl_multi_remove_handle(slot->multi, slot->easy);
    curl_easy_setopt(slot->easy, CURLOPT_HTTPHEADER, NULL);
    curl_slist_free_all(headers);
    g_free(url);
    g_string_free(got.body, TRUE);
}

/* A connection is kept only after a whole answer: one whose answer is late,
 * cut or cancelled would give that answer to the next request. */
void
GwDispatch_Run(GwDispatcher *d, const GwDispatchAsk *ask, GwAbort *abort,
               GwDispatchEnd *end)
{
    *end = (GwDispatchEnd){
        .outcome = GW_OUTCOME_NOT_RUN,
        .reason = GW_REASON_DEADLINE,
    };
    int64_t now_us = GwNet_NowUs();
    if (now_us >= ask->give_up_us || is_aborted(abort)) {
        return;
    }
    Slot *slot = GwPool_Take(d, ask, now_us);
    run_on_slot(slot, ask, abort, end);
    if (slot->socket_refused) {
        atomic_fetch_add(&d->resends_stopped, 1);
    }
    bool reused = slot->reused;
    bool whole = end->answer != NULL || end->reason == GW_REASON_SHED ||
                 end->reason == GW_REASON_DRAINING;
    slot->last_answer_us = GwNet_NowUs();
    GwPool_Give(d, ask->address, slot, whole);
    /* One reused connection fell silent: whatever lost track of it may have
     * lost the others too, and new ones are cheap. */
    if (reused && end->reason == GW_REASON_SILENT) {
        GwPool_Flush(d, ask->address);
    }
}
