/* HTTP for callers: look-ups, calls, health. */
#include "runtime/runtime_internal.h"

#include <stdio.h>
#include <string.h>

#define ENTRIES_PREFIX "/v1/entries/"
#define CALL_PREFIX    "/v1/call/"
#define TICKETS_MAX    16

static const char *
status_text(uint32_t status)
{
    const char *text = mg_get_response_code_text(NULL, (int)status);
    return text != NULL ? text : "Status";
}

/* 3/4 of the caller threads may wait in calls or idle connections; the rest
 * stay free for look-ups and health. */
static uint32_t
busy_threads_max(const GwRuntime *rt)
{
    return MAX(rt->settings->caller_threads * 3 / 4, 1);
}

/* An open connection occupies a thread even when idle. When most threads are
 * occupied or the process is leaving, each answer closes its connection:
 * otherwise idle callers would block new callers for the keep-alive time, and
 * a stop would close connections that callers are about to use. */
static bool
may_keep_alive(struct mg_connection *conn)
{
    GwRuntime *rt = mg_get_user_data(mg_get_context(conn));
    return !atomic_load(&rt->leaving) &&
           atomic_load(&rt->caller_connections) <= busy_threads_max(rt);
}

/* Sends the answer in one write, to use as few packets as possible. */
static int
send_text(struct mg_connection *conn, uint32_t status, const char *headers,
          const char *type, const uint8_t *body, uint32_t body_len)
{
    const struct mg_request_info *info = mg_get_request_info(conn);
    GString *out = g_string_sized_new(512 + body_len);
    bool has_no_body = status == 204 || status == 304;

    g_string_append_printf(out, "HTTP/1.1 %u %s\r\n%s", status,
                           status_text(status), headers);
    if (!may_keep_alive(conn)) {
        mg_disable_connection_keep_alive(conn);
        g_string_append(out, "Connection: close\r\n");
    }
    if (type[0] != '\0') {
        g_string_append_printf(out, "Content-Type: %s\r\n", type);
    }
    if (!has_no_body) {
        g_string_append_printf(out, "Content-Length: %u\r\n", body_len);
    }
    g_string_append(out, "\r\n");
    if (!has_no_body && strcmp(info->request_method, "HEAD") != 0) {
        g_string_append_len(out, (const char *)body, body_len);
    }
    mg_write(conn, out->str, out->len);
    g_string_free(out, TRUE);
    return (int)status;
}

static int
send_json(struct mg_connection *conn, uint32_t status, const char *headers,
          const char *json)
{
    return send_text(conn, status, headers, "application/json",
                     (const uint8_t *)json, (uint32_t)strlen(json));
}

/* Refuses a request before it becomes a call: "not-run", or "unknown" if it
 * has a ticket. Its ticket has not been looked up, so the request may be a
 * resend of a call that ran; after "not-run" the caller would repeat the
 * request, and it would run twice. */
static int
send_refusal(struct mg_connection *conn, uint32_t status, GwReason reason)
{
    const char *outcome =
        mg_get_header(conn, "GW-Ticket") == NULL ? "not-run" : "unknown";
    char headers[128];
    char json[128];
    const char *name = GwReason_Name(reason);

    g_snprintf(headers, sizeof(headers), "GW-Outcome: %s\r\nGW-Reason: %s\r\n",
               outcome, name);
    g_snprintf(json, sizeof(json),
               "{\"outcome\": \"%s\", \"reason\": \"%s\", "
               "\"retry_after_ms\": 0}",
               outcome, name);
    return send_json(conn, status, headers, json);
}

/* Parses a decimal number up to max; false if it is invalid. */
static bool
parse_number(const char *text, uint64_t max, uint64_t *out)
{
    return g_ascii_string_to_unsigned(text, 10, 0, max, out, NULL);
}

static GwResult
mint_tickets(GwRuntime *rt, uint32_t count, GwTicket *tickets)
{
    pthread_mutex_lock(&rt->node_lock);
    GwResult r = GwNode_MintTickets(rt->node, GwNet_NowUs(), count, tickets);
    pthread_mutex_unlock(&rt->node_lock);
    return r;
}

static bool
parse_ticket_count(const struct mg_request_info *info, uint32_t *count)
{
    char text[8];
    uint64_t number = 0;
    const char *query = info->query_string;

    *count = 0;
    if (query == NULL) {
        return true;
    }
    int len = mg_get_var(query, strlen(query), "tickets", text, sizeof(text));
    if (len == -1) {
        return true;
    }
    if (len < 0 || !parse_number(text, TICKETS_MAX, &number)) {
        return false;
    }
    *count = (uint32_t)number;
    return true;
}

static void
append_tickets(GString *out, const GwTicket *tickets, uint32_t count)
{
    char text[GW_TICKET_TEXT_MAX];

    g_string_append(out, ",\"tickets\":[");
    for (uint32_t i = 0; i < count; i++) {
        GwTicket_Format(&tickets[i], text);
        g_string_append_printf(out, "%s\"%s\"", i > 0 ? "," : "", text);
    }
    g_string_append(out, "]}");
}

/* Appends the prebuilt answer. Returns the HTTP status: 200, 404 for an
 * unknown service, 503 before a configuration is active. */
static uint32_t
append_entries(GwRuntime *rt, const char *service, GString *out,
               bool *is_self_first)
{
    uint32_t status = 503;
    uint32_t draw =
        (uint32_t)GwCounter_Get(&rt->metrics.lookups) % GW_LOOKUP_DRAWS;
    const Snapshot *snapshot = Snapshot_ReadLock(rt);
    if (snapshot != NULL && snapshot->config_version != 0) {
        const ServiceView *view = Snapshot_Service(snapshot, service);
        status = view != NULL ? 200 : 404;
        if (view != NULL) {
            *is_self_first = draw >= view->redirect_draws;
            g_string_append(
                out,
                view->entries[*is_self_first ? view->redirect_draws : draw]);
        }
    }
    Snapshot_ReadUnlock();
    return status;
}

static int
on_entries(struct mg_connection *conn, void *arg)
{
    GwRuntime *rt = arg;
    const struct mg_request_info *info = mg_get_request_info(conn);
    const char *service = info->local_uri + strlen(ENTRIES_PREFIX);
    GwTicket tickets[TICKETS_MAX];
    uint32_t count;

    GwCounter_Add(&rt->metrics.lookups, 1);
    if (!parse_ticket_count(info, &count)) {
        return send_refusal(conn, 400, GW_REASON_BAD_REQUEST);
    }
    GString *out = g_string_new(NULL);
    bool is_self_first = true;
    uint32_t status = append_entries(rt, service, out, &is_self_first);
    if (status != 200) {
        g_string_free(out, TRUE);
        return send_refusal(conn, status,
                            status == 404 ? GW_REASON_NO_SERVICE
                                          : GW_REASON_NOT_READY);
    }
    if (!is_self_first) {
        count = 0;
    }
    if (atomic_load(&rt->leaving) ||
        (count > 0 && GwResult_IsError(mint_tickets(rt, count, tickets)))) {
        status = 503;
        count = 0;
    }
    append_tickets(out, tickets, count);
    send_json(conn, status, "", out->str);
    g_string_free(out, TRUE);
    return (int)status;
}

static int
on_health(struct mg_connection *conn, void *arg)
{
    GwRuntime *rt = arg;
    GwTicket none;

    if (atomic_load(&rt->leaving)) {
        return send_json(conn, 503, "", "{\"state\": \"leaving\"}");
    }
    GwResult r = mint_tickets(rt, 0, &none);
    if (r == GW_ERR(LEAVING)) {
        return send_json(conn, 503, "", "{\"state\": \"leaving\"}");
    }
    if (GwResult_IsError(r)) {
        return send_json(conn, 503, "", "{\"state\": \"not-ready\"}");
    }
    return send_json(conn, 200, "", "{\"state\": \"ready\"}");
}

/* Splits "/v1/call/<service>/<path>" and appends the query to the target. */
static bool
parse_target(const struct mg_request_info *info, GwCallRequest *request)
{
    const char *rest = info->local_uri + strlen(CALL_PREFIX);
    const char *path = strchr(rest, '/');
    if (path == NULL || path - rest >= GW_NAME_MAX || path == rest) {
        return false;
    }
    g_strlcpy(request->service, rest, (gsize)(path - rest + 1));
    const char *query = info->query_string;
    int len = g_snprintf(request->target, GW_TARGET_MAX, "%s%s%s", path,
                         query != NULL ? "?" : "", query != NULL ? query : "");
    return len < GW_TARGET_MAX && strlen(path) < GW_PATH_MAX &&
           GwText_IsTarget(request->target);
}

static bool
parse_headers(struct mg_connection *conn, GwCallRequest *request,
              uint64_t *deadline_ms)
{
    const char *type = mg_get_header(conn, "Content-Type");
    const char *deadline = mg_get_header(conn, "GW-Deadline-Ms");

    if (type != NULL &&
        (g_strlcpy(request->content_type, type, GW_CONTENT_TYPE_MAX) >=
             GW_CONTENT_TYPE_MAX ||
         !GwText_IsHeaderValue(type))) {
        return false;
    }
    *deadline_ms = DEADLINE_DEFAULT_MS;
    return deadline == NULL ||
           (parse_number(deadline, GW_DEADLINE_MAX_MS, deadline_ms) &&
            *deadline_ms > 0);
}

/* Reads the body and returns its length, GW_ERR(TOO_LARGE) above GW_BODY_MAX,
 * or GW_ERR(IO) when it is shorter than its Content-Length. */
static GwResult
read_body(struct mg_connection *conn, GwCallRequest *request)
{
    const struct mg_request_info *info = mg_get_request_info(conn);
    uint32_t len = 0;

    if (info->content_length > GW_BODY_MAX) {
        return GW_ERR(TOO_LARGE);
    }
    if (info->content_length == 0 ||
        (info->content_length < 0 &&
         mg_get_header(conn, "Transfer-Encoding") == NULL)) {
        return 0;
    }
    request->body = g_malloc(GW_BODY_MAX + 1);
    while (len <= GW_BODY_MAX) {
        int n = mg_read(conn, request->body + len, GW_BODY_MAX + 1 - len);
        if (n <= 0) {
            break;
        }
        len += (uint32_t)n;
    }
    request->body_len = len;
    if (len > GW_BODY_MAX) {
        return GW_ERR(TOO_LARGE);
    }
    return info->content_length >= 0 && len != info->content_length
               ? GW_ERR(IO)
               : len;
}

/* Returns the maximum deadline of the service in ms, 0 if it is unknown. */
static uint32_t
service_deadline_max(GwRuntime *rt, const char *service,
                     uint64_t *config_version)
{
    uint32_t max_ms = 0;
    const Snapshot *snapshot = Snapshot_ReadLock(rt);
    *config_version = snapshot != NULL ? snapshot->config_version : 0;
    const ServiceView *view =
        snapshot != NULL ? Snapshot_Service(snapshot, service) : NULL;
    if (view != NULL) {
        max_ms = view->deadline_max_ms;
    }
    Snapshot_ReadUnlock();
    return max_ms;
}

static GString *
outcome_headers(const GwFinishAction *finish, uint64_t config_version)
{
    GString *out = g_string_new(NULL);
    char ticket[GW_TICKET_TEXT_MAX];

    g_string_append_printf(out, "GW-Outcome: %s\r\nGW-Reason: %s\r\n",
                           GwOutcome_Name(finish->outcome),
                           GwReason_Name(finish->reason));
    if (finish->retry_after_ms > 0) {
        g_string_append_printf(out, "GW-Retry-After-Ms: %u\r\n",
                               finish->retry_after_ms);
    }
    if (finish->ticket.seq != 0) {
        GwTicket_Format(&finish->ticket, ticket);
        g_string_append_printf(out, "GW-Ticket: %s\r\n", ticket);
    }
    g_string_append_printf(out, "GW-Config-Version: %" G_GUINT64_FORMAT "\r\n",
                           config_version);
    return out;
}

static int
send_outcome(struct mg_connection *conn, const OpenCall *call,
             uint64_t config_version)
{
    const GwFinishAction *finish = &call->finish;
    GString *headers = outcome_headers(finish, config_version);
    char json[160];
    int status;

    if (finish->outcome == GW_OUTCOME_ANSWERED) {
        const GwAnswer *answer = call->answer;
        status =
            send_text(conn, answer->status, headers->str, answer->content_type,
                      answer->body, answer->body_len);
    }
    else {
        g_snprintf(json, sizeof(json),
                   "{\"outcome\": \"%s\", \"reason\": \"%s\", "
                   "\"retry_after_ms\": %u}",
                   GwOutcome_Name(finish->outcome),
                   GwReason_Name(finish->reason), finish->retry_after_ms);
        status =
            send_json(conn, finish->outcome == GW_OUTCOME_NOT_RUN ? 503 : 504,
                      headers->str, json);
    }
    g_string_free(headers, TRUE);
    return status;
}

static GwCallEvent
call_event(const OpenCall *call)
{
    GwCallEvent event = {
        .call = call->handle,
        .ticket = call->request.ticket,
        .deadline_us = call->deadline_us,
    };
    const char *target = call->request.target;
    g_strlcpy(event.service, call->request.service, GW_NAME_MAX);
    g_strlcpy(event.method, call->request.method, sizeof(event.method));
    g_strlcpy(event.path, target, MIN(GW_PATH_MAX, strcspn(target, "?") + 1));
    return event;
}

static GwReason
read_request(struct mg_connection *conn, GwCallRequest *request,
             uint64_t *deadline_ms)
{
    const struct mg_request_info *info = mg_get_request_info(conn);
    const char *ticket = mg_get_header(conn, "GW-Ticket");

    if (!GwText_IsMethod(info->request_method) ||
        !parse_target(info, request) ||
        !parse_headers(conn, request, deadline_ms)) {
        return GW_REASON_BAD_REQUEST;
    }
    g_strlcpy(request->method, info->request_method, sizeof(request->method));
    if (ticket != NULL &&
        GwResult_IsError(GwTicket_Parse(ticket, &request->ticket))) {
        return GW_REASON_BAD_TICKET;
    }
    GwResult r = read_body(conn, request);
    if (r == GW_ERR(TOO_LARGE)) {
        return GW_REASON_TOO_LARGE;
    }
    return GwResult_IsError(r) ? GW_REASON_BAD_REQUEST : GW_REASON_NONE;
}

static int
drive_call(struct mg_connection *conn, GwRuntime *rt, bool may_wait)
{
    GwCallRequest request = {0};
    uint64_t deadline_ms;
    uint64_t config_version;
    int64_t now_us = GwNet_NowUs();

    GwReason reason = read_request(conn, &request, &deadline_ms);
    if (reason != GW_REASON_NONE) {
        g_free(request.body);
        return send_refusal(conn, 400, reason);
    }
    uint32_t max_ms =
        service_deadline_max(rt, request.service, &config_version);
    if (max_ms != 0) {
        deadline_ms = MIN(deadline_ms, max_ms);
    }
    if (!may_wait) {
        deadline_ms = 0;
    }
    OpenCall *call =
        Call_Open(rt, &request, now_us + (int64_t)deadline_ms * 1000);
    GwCallEvent event = call_event(call);
    Call_Drive(rt, call, &event);
    int status = send_outcome(conn, call, config_version);
    Call_Close(rt, call);
    return status;
}

/* A call occupies its thread until its outcome, at most until its deadline.
 * Above the bound a call is refused as "not-run" without reading it, so that
 * threads stay free for look-ups and health. A call with a ticket may be a
 * resend: it goes to the node with a deadline of 0, which returns the state of
 * the ticket and starts no attempt. */
static int
on_call(struct mg_connection *conn, void *arg)
{
    GwRuntime *rt = arg;
    int status;

    bool has_capacity =
        atomic_fetch_add(&rt->caller_calls, 1) < busy_threads_max(rt);
    if (has_capacity || mg_get_header(conn, "GW-Ticket") != NULL) {
        status = drive_call(conn, rt, has_capacity);
    }
    else {
        GwCounter_Add(&rt->metrics.callers_refused, 1);
        status = send_refusal(conn, 503, GW_REASON_QUEUE_FULL);
    }
    atomic_fetch_sub(&rt->caller_calls, 1);
    return status;
}

static int
on_unknown_path(struct mg_connection *conn, void *arg)
{
    return send_refusal(conn, 404, GW_REASON_BAD_REQUEST);
}

/* A request that CivetWeb refuses; it never became a call. */
static int
on_http_error(struct mg_connection *conn, int status, const char *message)
{
    send_refusal(conn, (uint32_t)status, GW_REASON_BAD_REQUEST);
    return 0;
}

static int
ignore_log(const struct mg_connection *conn, const char *message)
{
    return 1;
}

static int
on_connection_open(const struct mg_connection *conn, void **data)
{
    GwRuntime *rt = mg_get_user_data(mg_get_context(conn));
    atomic_fetch_add(&rt->caller_connections, 1);
    *data = rt;
    return 0;
}

/* Only connections that passed on_connection_open have user data. */
static void
on_connection_close(const struct mg_connection *conn)
{
    GwRuntime *rt = mg_get_user_connection_data(conn);
    if (rt != NULL) {
        atomic_fetch_sub(&rt->caller_connections, 1);
    }
}

static void *
on_thread_start(const struct mg_context *ctx, int type)
{
    Snapshot_RegisterThread();
    return NULL;
}

static void
on_thread_exit(const struct mg_context *ctx, int type, void *data)
{
    Snapshot_UnregisterThread();
}

bool
Caller_Start(GwRuntime *rt, GError **error)
{
    char threads[16];
    const char *options[] = {
        "listening_ports",
        rt->params.call_address,
        "num_threads",
        threads,
        "enable_keep_alive",
        "yes",
        "keep_alive_timeout_ms",
        "5000",
        "request_timeout_ms",
        "10000",
        "tcp_nodelay",
        "1",
        "decode_url",
        "no",
        "enable_directory_listing",
        "no",
        "listen_backlog",
        "512",
        "connection_queue",
        "512",
        NULL,
    };
    struct mg_callbacks callbacks = {
        .http_error = on_http_error,
        .log_message = ignore_log,
        .init_connection = on_connection_open,
        .connection_close = on_connection_close,
        .init_thread = on_thread_start,
        .exit_thread = on_thread_exit,
    };

    g_snprintf(threads, sizeof(threads), "%u", rt->settings->caller_threads);
    mg_init_library(0);
    rt->http = mg_start(&callbacks, rt, options);
    if (rt->http == NULL) {
        g_set_error(error, GW_ERROR, GW_RESULT_IO,
                    "cannot listen for callers at call_address %s",
                    rt->params.call_address);
        return false;
    }
    mg_set_request_handler(rt->http, ENTRIES_PREFIX "*", on_entries, rt);
    mg_set_request_handler(rt->http, CALL_PREFIX "**", on_call, rt);
    mg_set_request_handler(rt->http, "/v1/health$", on_health, rt);
    mg_set_request_handler(rt->http, "/**", on_unknown_path, rt);
    return true;
}
