/* What is asked of the entry itself: readiness, the directory, its state, and
 * rows for peers. Small answers, each made at once. */
#include "edge/edge_internal.h"

#include <string.h>

typedef struct {
    GwEdge *edge;
    GwConn *conn;
    GList link; /* in edge->clients */
} Client;

static void
send_answer(Client *client, uint16_t status, const char *type,
            const char *body, bool close)
{
    GString *out = g_string_new(NULL);

    g_string_append_printf(out,
                           "HTTP/1.1 %u %s\r\nContent-Type: %s\r\n"
                           "Content-Length: %zu\r\n%s\r\n%s",
                           status, status == 200 ? "OK" : "Error", type,
                           strlen(body), close ? "Connection: close\r\n" : "",
                           body);
    GwConn_Write(client->conn, out);
    g_string_free(out, TRUE);
}

/* The value of a parameter of a query, decoded; NULL when absent. */
static char *
parameter(const char *target, const char *name)
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

static bool
answer_directory(Client *client, const char *target)
{
    GwEdge *edge = client->edge;
    const GwAdapter *a = edge->adapter;
    char *region = parameter(target, a->directory_region);
    char *domain = parameter(target, a->directory_domain);
    GPtrArray *addresses = GwPeers_Directory(edge->peers, region, domain);
    bool some = addresses->len > 0;

    if (some) {
        char *body =
            a->write_directory(addresses, edge->settings->lookup_ttl_ms);
        send_answer(client, 200, "application/json", body, edge->leaving);
        g_free(body);
    }
    else {
        send_answer(client, 503, "text/plain", "no entry is ready\n", false);
    }
    g_ptr_array_free(addresses, TRUE);
    g_free(region);
    g_free(domain);
    return some;
}

static void
answer_metrics(Client *client)
{
    GwEdge *edge = client->edge;
    GString *out = g_string_new(NULL);

    g_string_append_printf(
        out,
        "gw_requests_total %" PRIu64 "\ngw_answered_total %" PRIu64
        "\ngw_replied_404_total %" PRIu64 "\ngw_replied_502_total %" PRIu64
        "\ngw_replied_503_total %" PRIu64 "\ngw_replied_504_total %" PRIu64
        "\ngw_connects_total %" PRIu64 "\ngw_reuses_total %" PRIu64
        "\ngw_store_calls_total %" PRIu64 "\n",
        edge->counts.arrived, edge->counts.answered, edge->counts.replied[0],
        edge->counts.replied[1], edge->counts.replied[2],
        edge->counts.replied[3], edge->counts.connects, edge->counts.reuses,
        edge->counts.store_calls);
    send_answer(client, 200, "text/plain", out->str, false);
    g_string_free(out, TRUE);
}

static void
answer_dump(Client *client)
{
    GString *out = g_string_new(NULL);

    GwRouter_Dump(client->edge->router, GwEdge_Now(), out);
    send_answer(client, 200, "application/json", out->str, false);
    g_string_free(out, TRUE);
}

static void
answer_rows(Client *client, const char *target)
{
    GwEdge *edge = client->edge;
    char *table = NULL;
    char *body = NULL;
    uint64_t after = 0;
    uint16_t status = 404;

    if (edge->adapter->parse_feed_target(target, &table, &after)) {
        status = GwFeed_Answer(edge->operator_feed, table, after, &body);
        if (status == 404) {
            status = GwFeed_Answer(edge->server_feed, table, after, &body);
        }
    }
    send_answer(client, status, "application/json", body != NULL ? body : "{}",
                false);
    g_free(body);
    g_free(table);
}

static void
on_message(void *owner, GwHttpMessage *msg)
{
    Client *client = owner;
    GwEdge *edge = client->edge;
    const char *target = msg->target->str;
    size_t len = strcspn(target, "?");
    const char *ready = edge->adapter->ready_path;
    const char *directory = edge->adapter->directory_path;

    if (strcmp(msg->method, "GET") != 0) {
        send_answer(client, 405, "text/plain", "GET only\n", false);
    }
    else if (strncmp(target, ready, len) == 0 && strlen(ready) == len) {
        bool is_ready = GwEdge_IsReady(edge);
        send_answer(client, is_ready ? 200 : 503, "text/plain",
                    is_ready ? "ready\n" : "not ready\n", false);
    }
    else if (strncmp(target, directory, len) == 0 &&
             strlen(directory) == len) {
        (void)answer_directory(client, target);
    }
    else if (strcmp(target, "/metrics") == 0) {
        answer_metrics(client);
    }
    else if (strcmp(target, "/dump") == 0) {
        answer_dump(client);
    }
    else {
        answer_rows(client, target);
    }
    GwHttpMessage_Free(msg);
}

static void
on_ended(void *owner, GwConnEnd end)
{
    Client *client = owner;

    if (end == GW_CONN_BAD) {
        GwConn_Close(client->conn);
    }
    g_queue_unlink(&client->edge->clients, &client->link);
    g_free(client);
}

static const GwConnOps control_ops = {
    .message = on_message,
    .ended = on_ended,
};

static void
on_connection(uv_stream_t *listener, int status)
{
    GwEdge *edge = listener->data;

    if (status != 0) {
        return;
    }
    Client *client = g_new0(Client, 1);
    GwConnParams params = {
        .loop = &edge->loop,
        .ops = &control_ops,
        .owner = client,
        .requests = true,
        .head_max = 16 << 10,
        .body_max = 64 << 10,
    };
    client->edge = edge;
    client->conn = GwConn_Accept(&params, listener);
    if (client->conn == NULL) {
        g_free(client);
        return;
    }
    client->link.data = client;
    g_queue_push_tail_link(&edge->clients, &client->link);
}

void
GwControl_CloseAll(GwEdge *edge)
{
    Client *client;

    while ((client = g_queue_peek_head(&edge->clients)) != NULL) {
        GwConn_Close(client->conn);
        g_queue_unlink(&edge->clients, &client->link);
        g_free(client);
    }
}

bool
GwControl_Listen(GwEdge *edge, GError **error)
{
    const char *const addresses[] = {
        edge->settings->ready_address,
        edge->settings->directory_address,
        edge->settings->control_address,
        edge->settings->peer_address,
    };

    for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++) {
        if (addresses[i][0] == '\0') {
            continue;
        }
        uv_tcp_t *tcp =
            GwConn_Listen(&edge->loop, addresses[i], on_connection, edge);
        if (tcp == NULL) {
            g_set_error(error, GW_ERROR, GW_RESULT_IO, "can't listen at %s",
                        addresses[i]);
            return false;
        }
        g_ptr_array_add(edge->listeners, tcp);
    }
    return true;
}
