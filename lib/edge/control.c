/* Requests to the entry itself: readiness, the directory, its state, and rows
 * for peers. Each answer is small and sent at once. */
#include "edge/edge_internal.h"

#include <string.h>

static void
send_answer(GwClient *client, uint16_t status, const char *type,
            const char *body)
{
    GwHttpResponse answer = {.status = status, .type = type, .body = body};

    GwClient_Respond(client, &answer);
}

/* Returns the decoded value of a query parameter, NULL when absent; the
 * calling function frees it. */
static char *
query_parameter(const char *target, const char *name)
{
    const char *query = strchr(target, '?');
    char **items = g_strsplit(query != NULL ? query + 1 : "", "&", -1);
    char *value = NULL;
    size_t len = strlen(name);

    for (char **item = items; *item != NULL && value == NULL; item++) {
        if (strncmp(*item, name, len) == 0 && (*item)[len] == '=') {
            value = g_uri_unescape_string(*item + len + 1, NULL);
        }
    }
    g_strfreev(items);
    return value;
}

static void
answer_directory(GwEdge *edge, GwClient *client, const char *target)
{
    const GwAdapter *a = edge->adapter;
    char *region = query_parameter(target, a->directory_region);
    char *domain = query_parameter(target, a->directory_domain);
    GPtrArray *addresses = GwPeers_Directory(edge->peers, region, domain);

    if (addresses->len > 0) {
        char *body =
            a->write_directory(addresses, edge->settings->lookup_ttl_ms);
        GwHttpResponse answer = {
            .status = 200, .body = body, .close = edge->is_stopping};
        GwClient_Respond(client, &answer);
        g_free(body);
    }
    else {
        send_answer(client, 503, "text/plain", "no entry is ready\n");
    }
    g_ptr_array_free(addresses, TRUE);
    g_free(region);
    g_free(domain);
}

static void
answer_page(GwEdge *edge, GwClient *client, const char *type,
            void (*write)(GwEdge *edge, GString *out))
{
    GString *out = g_string_new(NULL);

    write(edge, out);
    send_answer(client, 200, type, out->str);
    g_string_free(out, TRUE);
}

static void
answer_rows(GwEdge *edge, GwClient *client, const char *target)
{
    GwFeed *const feeds[] = {edge->operator_feed, edge->server_feed};
    GwHttpResponse answer = {.status = 404, .body = "{}"};
    GByteArray *rows = NULL;
    GwRowsRequest request;

    if (GwRowsRequest_ReadTarget(target, &request)) {
        for (size_t i = 0; i < G_N_ELEMENTS(feeds) && answer.status == 404;
             i++) {
            rows = GwFeed_AnswerPeer(feeds[i], &request, &answer.status);
        }
    }
    if (rows != NULL) {
        answer.type = "application/octet-stream";
        answer.body = (const char *)rows->data;
        answer.body_len = rows->len;
        edge->counts.row_bytes_out += rows->len;
        GwClient_Respond(client, &answer);
        g_byte_array_free(rows, TRUE);
        return;
    }
    GwClient_Respond(client, &answer);
}

static void
release_suspect(GwEdge *edge, GwClient *client, const char *target)
{
    char *text = query_parameter(target, "fingerprint");
    GwFingerprint f;

    if (text == NULL || !GwFingerprint_Parse(text, &f)) {
        send_answer(client, 400, "text/plain",
                    "fingerprint must be 32 hexadecimal digits\n");
    }
    else if (!GwQuarantine_Release(GwRouter_Quarantine(edge->router),
                                   GwEdge_Now(), &f)) {
        send_answer(client, 404, "text/plain",
                    "no suspected request has this fingerprint\n");
    }
    else {
        send_answer(client, 200, "text/plain", "released\n");
    }
    g_free(text);
}

/* Answers what would be done with the request that the query describes. */
static void
answer_where(GwEdge *edge, GwClient *client, const char *target)
{
    char *host = query_parameter(target, "host");
    char *path = query_parameter(target, "path");
    char *object = query_parameter(target, "object");
    char *credential = query_parameter(target, "key");
    char *time_ms = query_parameter(target, "time_ms");
    guint64 left_ms = 0;

    if (host == NULL || path == NULL || path[0] != '/') {
        send_answer(client, 400, "text/plain",
                    "host and path are needed, and path begins with /\n");
    }
    else if (time_ms != NULL &&
             !g_ascii_string_to_unsigned(time_ms, 10, 1, INT32_MAX, &left_ms,
                                         NULL)) {
        send_answer(client, 400, "text/plain",
                    "time_ms must be a number of milliseconds\n");
    }
    else {
        GwArrival arrival = {
            .host = host,
            .path = path,
            .key = object,
            .credential = credential,
            .left_us = time_ms != NULL ? (int64_t)left_ms * 1000 : -1};
        GString *out = g_string_new(NULL);
        GwRouter_Preview(edge->router, GwEdge_Now(), &arrival, out);
        send_answer(client, 200, NULL, out->str);
        g_string_free(out, TRUE);
    }
    g_free(host);
    g_free(path);
    g_free(object);
    g_free(credential);
    g_free(time_ms);
}

static bool
is_path(const char *target, const char *path)
{
    size_t len = strcspn(target, "?");

    return strlen(path) == len && strncmp(target, path, len) == 0;
}

static void
on_request(void *owner, GwClient *client, GwHttpMessage *msg)
{
    GwEdge *edge = owner;
    const char *target = msg->target->str;

    if (strcmp(msg->method, "POST") == 0 &&
        is_path(target, "/suspects/release")) {
        release_suspect(edge, client, target);
    }
    else if (strcmp(msg->method, "GET") != 0) {
        send_answer(client, 405, "text/plain", "GET only\n");
    }
    else if (is_path(target, edge->adapter->ready_path)) {
        bool is_ready = GwEdge_IsReady(edge) && GwEdge_HasProof(edge);
        send_answer(client, is_ready ? 200 : 503, "text/plain",
                    is_ready ? "ready\n" : "not ready\n");
    }
    else if (is_path(target, edge->adapter->directory_path)) {
        answer_directory(edge, client, target);
    }
    else if (is_path(target, "/metrics")) {
        answer_page(edge, client, "text/plain; version=0.0.4",
                    GwStatus_WriteMetrics);
    }
    else if (is_path(target, "/dump")) {
        answer_page(edge, client, NULL, GwStatus_WriteDump);
    }
    else if (is_path(target, "/suspects")) {
        answer_page(edge, client, NULL, GwStatus_WriteSuspects);
    }
    else if (is_path(target, "/organisations")) {
        answer_page(edge, client, NULL, GwQuotas_WritePage);
    }
    else if (is_path(target, "/where")) {
        answer_where(edge, client, target);
    }
    else if (is_path(target, "/status")) {
        answer_page(edge, client, NULL, GwStatus_Write);
    }
    else {
        answer_rows(edge, client, target);
    }
    GwHttpMessage_Free(msg);
}

/* Descriptors: the directory serves all callers, and the peers' listener all
 * entries; the others a few programs. */
#define FD_PARTS_MANY 8
#define FD_PARTS_FEW  32
/* Callers ask the directory again after 15 s at the latest, some on the same
 * connection. */
#define CLIENT_IDLE_MS 60000

static const GwHttpListenerOps control_ops = {.asked = on_request};

void
GwControl_CloseAll(GwEdge *edge)
{
    g_ptr_array_set_size(edge->controls, 0);
}

void
GwControl_CloseIdle(GwEdge *edge)
{
    for (guint i = 0; i < edge->controls->len; i++) {
        GwHttpListener_CloseIdle(edge->controls->pdata[i]);
    }
}

/* Each listener has descriptors of its own, which neither callers nor the
 * clients of another one can use up. */
bool
GwControl_Listen(GwEdge *edge, GError **error)
{
    const GwEdgeSettings *own = edge->settings;
    const struct {
        const char *address;
        uint32_t fd_parts; /* it may use one of that many parts */
    } listeners[] = {
        {own->ready_address, FD_PARTS_FEW},
        {own->directory_address, FD_PARTS_MANY},
        {own->control_address, FD_PARTS_FEW},
        {own->peer_address, FD_PARTS_MANY},
        {own->metrics_address, FD_PARTS_FEW},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(listeners); i++) {
        if (listeners[i].address[0] == '\0') {
            continue;
        }
        GwHttpListener *serve = GwHttpListener_Create(
            &edge->loop, listeners[i].address, &control_ops, edge);
        if (serve == NULL) {
            g_set_error(error, GW_ERROR, GW_RESULT_IO, "can't listen at %s",
                        listeners[i].address);
            return false;
        }
        GwHttpListener_SetLimits(serve,
                                 MAX(own->fd_limit / listeners[i].fd_parts, 1),
                                 CLIENT_IDLE_MS);
        g_ptr_array_add(edge->controls, serve);
    }
    return true;
}
