/* The callers' HTTP: look-up, calls, health. */
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

/* Three of four caller threads; the rest are for look-ups and health. */
static uint32_t
threads_bound(const GwRuntime *rt)
{
    return MAX(rt->settings->caller_threads * 3 / 4, 1);
}

/* A connection holds its thread for as long as it is open, idle or not. When
 * most threads are held, or the process leaves, each answer ends its
 * connection: else idle callers would keep new ones waiting for the
 * keep-alive time, and a stop would break connections that callers are about
 * to use. */
static bool
keeps_alive(struct mg_connection *conn)
{
    GwRuntime *rt = mg_get_user_data(mg_get_context(conn));
    return !atomic_load(&rt->leaving) &&
           atomic_load(&rt->caller_connections) <= threads_bound(rt);
}

/* One write, so that the answer leaves in as few packets as can be. */
static int
send_text(struct mg_connection *conn, uint32_t status, const char *headers,
          const char *type, const uint8_t *body, uint32_t body_len)
{
    const struct mg_request_info *info = mg_get_request_info(conn);
    GString *out = g_string_sized_new(512 + body_len);
    bool bodiless = status == 204 || status == 304;

    g_string_append_printf(out, "HTTP/1.1 %u %s\r\n%s", status,
                           status_text(status), headers);
    if (!keeps_alive(conn)) {
        mg_disable_connection_keep_alive(conn);
        g_string_append(out, "Connection: close\r\n");
    }
    if (type[0] != '\0') {
        g_string_append_printf(out, "Content-Type: %s\r\n", type);
    }
    if (!bodiless) {
        g_string_append_printf(out, "Content-Length: %u\r\n", body_len);
    }
    g_string_append(out, "\r\n");
    if (!bodiless && strcmp(info->request_method, "HEAD") != 0) {
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

/* A request that never became a call: surely not run, unless it brings a
 * ticket. Then it may be the resend of one that did run, and "not run" would
 * make its caller book again; nobody has looked the ticket up. */
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

/* A decimal number up to the bound; false when it is none. */
static bool
get_number(const char *text, uint64_t max, uint64_t *out)
{
    return g_ascii_string_to_unsigned(text, 10, 0, max, out, NULL);
}

static GwResult
mint(GwRuntime *rt, uint32_t count, GwTicket *tickets)
{
    pthread_mutex_lock(&rt->node_lock);
    GwResult r = GwNode_MintTickets(rt->node, GwNet_NowUs(), count, tickets);
    pthread_mutex_unlock(&rt->node_lock);
    return r;
}

static bool
tickets_wanted(const struct mg_request_info *info, uint32_t *count)
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
    if (len < 0 || !get_number(text, TICKETS_MAX, &number)) {
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

/* The prebuilt part of the answer; the status when there is none. */
static uint32_t
copy_entries(GwRuntime *rt, const char *service, GString *out,
             bool *self_first)
{
    uint32_t status = 503;
    uint32_t draw =
        (uint32_t)GwCounter_Get(&rt->metrics.lookups) % GW_LOOKUP_DRAWS;
    const Snapshot *snapshot = Snapshot_Enter(rt);
    if (snapshot != NULL && snapshot->config_version != 0) {
        const ServiceView *view = Snapshot_Service(snapshot, service);
        status = view != NULL ? 200 : 404;
        if (view != NULL) {
            *self_first = draw >= view->moving_draws;
            g_string_append(
                out, view->entries[*self_first ? view->moving_draws : draw]);
        }
    }
    Snapshot_Leave();
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
    if (!tickets_wanted(info, &count)) {
        return send_refusal(conn, 400, GW_REASON_BAD_REQUEST);
    }
    GString *out = g_string_new(NULL);
    bool self_first = true;
    uint32_t status = copy_entries(rt, service, out, &self_first);
    if (status != 200) {
        g_string_free(out, TRUE);
        return send_refusal(conn, status,
                            status == 404 ? GW_REASON_NO_SERVICE
                                          : GW_REASON_NOT_READY);
    }
    if (!self_first) {
        count = 0;
    }
    if (atomic_load(&rt->leaving) ||
        (count > 0 && GwResult_IsError(mint(rt, count, tickets)))) {
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
    GwResult r = mint(rt, 0, &none);
    if (r == GW_ERR(LEAVING)) {
        return send_json(conn, 503, "", "{\"state\": \"leaving\"}");
    }
    if (GwResult_IsError(r)) {
        return send_json(conn, 503, "", "{\"state\": \"not-ready\"}");
    }
    return send_json(conn, 200, "", "{\"state\": \"ready\"}");
}

/* Splits "/v1/call/<service>/<path>" and puts the query back. */
static bool
get_target(const struct mg_request_info *info, GwCallRequest *request)
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
get_headers(struct mg_connection *conn, GwCallRequest *request,
            uint64_t *deadline_ms)
{
    const char *type = mg_get_header(conn, "Content-Type");
    const char *deadline = mg_get_header(conn, "GW-Deadline-Ms");

    if (type != NULL &&
        (g_strlcpy(request->content_type, type, GW_TYPE_MAX) >= GW_TYPE_MAX ||
         !GwText_IsHeaderValue(type))) {
        return false;
    }
    *deadline_ms = DEADLINE_DEFAULT_MS;
    return deadline == NULL ||
           (get_number(deadline, GW_DEADLINE_CAP, deadline_ms) &&
            *deadline_ms > 0);
}

/* Reads the body; GW_ERR(TOO_LARGE), or GW_ERR(IO) when it was cut. */
static GwResult
get_body(struct mg_connection *conn, GwCallRequest *request)
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

/* The longest deadline of the service; 0 when the service is unknown. */
static uint32_t
deadline_max(GwRuntime *rt, const char *service, uint64_t *config_version)
{
    uint32_t max_ms = 0;
    const Snapshot *snapshot = Snapshot_Enter(rt);
    *config_version = snapshot != NULL ? snapshot->config_version : 0;
    const ServiceView *view =
        snapshot != NULL ? Snapshot_Service(snapshot, service) : NULL;
    if (view != NULL) {
        max_ms = view->deadline_max_ms;
    }
    Snapshot_Leave();
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

    if (!GwText_IsMethod(info->request_method) || !get_target(info, request) ||
        !get_headers(conn, request, deadline_ms)) {
        return GW_REASON_BAD_REQUEST;
    }
    g_strlcpy(request->method, info->request_method, sizeof(request->method));
    if (ticket != NULL &&
        GwResult_IsError(GwTicket_Parse(ticket, &request->ticket))) {
        return GW_REASON_BAD_TICKET;
    }
    GwResult r = get_body(conn, request);
    if (r == GW_ERR(TOO_LARGE)) {
        return GW_REASON_TOO_LARGE;
    }
    return GwResult_IsError(r) ? GW_REASON_BAD_REQUEST : GW_REASON_NONE;
}

static int
drive_call(struct mg_connection *conn, GwRuntime *rt, bool wait)
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
    uint32_t max_ms = deadline_max(rt, request.service, &config_version);
    if (max_ms != 0) {
        deadline_ms = MIN(deadline_ms, max_ms);
    }
    if (!wait) {
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

/* A call holds its thread until its outcome, up to its deadline. Beyond the
 * bound it is refused unread: surely not run, and look-ups and health still
 * find a thread. One with a ticket may be a resend: it is asked of the node
 * with no time left, which tells what is known of the ticket and starts
 * nothing. */
static int
on_call(struct mg_connection *conn, void *arg)
{
    GwRuntime *rt = arg;
    int status;

    bool room = atomic_fetch_add(&rt->caller_calls, 1) < threads_bound(rt);
    if (room || mg_get_header(conn, "GW-Ticket") != NULL) {
        status = drive_call(conn, rt, room);
    }
    else {
        GwCounter_Add(&rt->metrics.callers_refused, 1);
        status = send_refusal(conn, 503, GW_REASON_QUEUE_FULL);
    }
    atomic_fetch_sub(&rt->caller_calls, 1);
    return status;
}

static int
on_other(struct mg_connection *conn, void *arg)
{
    return send_refusal(conn, 404, GW_REASON_BAD_REQUEST);
}

/* What CivetWeb itself refuses: nothing of it became a call. */
static int
on_http_error(struct mg_connection *conn, int status, const char *message)
{
    send_refusal(conn, (uint32_t)status, GW_REASON_BAD_REQUEST);
    return 0;
}

static int
swallow_log(const struct mg_connection *conn, const char *message)
{
    return 1;
}

static int
begin_connection(const struct mg_connection *conn, void **data)
{
    GwRuntime *rt = mg_get_user_data(mg_get_context(conn));
    atomic_fetch_add(&rt->caller_connections, 1);
    *data = rt;
    return 0;
}

/* Only connections that were begun have data. */
static void
end_connection(const struct mg_connection *conn)
{
    GwRuntime *rt = mg_get_user_connection_data(conn);
    if (rt != NULL) {
        atomic_fetch_sub(&rt->caller_connections, 1);
    }
}

static void *
begin_thread(const struct mg_context *ctx, int type)
{
    Snapshot_RegisterThread();
    return NULL;
}

static void
end_thread(const struct mg_context *ctx, int type, void *data)
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
        .log_message = swallow_log,
        .init_connection = begin_connection,
        .connection_close = end_connection,
        .init_thread = begin_thread,
        .exit_thread = end_thread,
    };

    g_snprintf(threads, sizeof(threads), "%u", rt->settings->caller_threads);
    mg_init_library(0);
    rt->http = mg_start(&callbacks, rt, options);
    if (rt->http == NULL) {
        g_set_error(error, GW_ERROR, GW_RESULT_IO,
                    "cannot serve callers at call_address %s",
                    rt->params.call_address);
        return false;
    }
    mg_set_request_handler(rt->http, ENTRIES_PREFIX "*", on_entries, rt);
    mg_set_request_handler(rt->http, CALL_PREFIX "**", on_call, rt);
    mg_set_request_handler(rt->http, "/v1/health$", on_health, rt);
    mg_set_request_handler(rt->http, "/**", on_other, rt);
    return true;
}
